//! Mixed load of requests and batch tasks, with a report and a check of the invariants.

mod jobs;
mod report;
mod requests;

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;

use crate::flags::{value, values};
use turmeric_testbed::LoadClient;
use turmeric_testbed::StandinRecords;

/// Load to generate and the addresses of its targets.
pub(crate) struct MixedPlan {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) workers: Vec<SocketAddr>,
    pub(crate) endpoints: Vec<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) duration: Duration,
    /// Requests per second.
    pub(crate) rate: u64,
    pub(crate) jobs: u64,
    pub(crate) seed: u64,
}

/// Generates the load and prints the report; returns whether all invariants held.
pub(crate) async fn run(matches: &ArgMatches) -> Result<bool> {
    let plan = MixedPlan {
        entries: values(matches, "entries"),
        workers: values(matches, "workers"),
        endpoints: values(matches, "endpoints"),
        platform: value(matches, "platform"),
        duration: Duration::from_secs(value(matches, "seconds")),
        rate: value(matches, "rate"),
        jobs: value(matches, "jobs"),
        seed: value(matches, "seed"),
    };
    let client = LoadClient::new();
    println!(
        "driving {} requests a second and {} jobs for {:?}",
        plan.rate, plan.jobs, plan.duration
    );
    let (requests, jobs) =
        tokio::join!(requests::drive(&client, &plan), jobs::drive(&client, &plan));
    let jobs = jobs?;
    let records = StandinRecords::read(&client, &plan.endpoints, &plan.workers).await;
    let platform: serde_json::Value = client.get_json(plan.platform, "/control").await?;
    Ok(report::print(requests, &jobs, &records, &platform))
}
