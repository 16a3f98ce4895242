//! Measurements of the resources that agents, tasks and task starts use in an entry.

pub(crate) mod measure;
mod session;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;

use crate::flags::value;

/// Parameters of one capacity measurement.
pub(crate) struct CapacityPlan {
    pub(crate) entry: SocketAddr,
    pub(crate) control: SocketAddr,
    /// Process ID of the entry.
    pub(crate) pid: u32,
    pub(crate) agents: usize,
    /// Long tasks that run during the measurement.
    pub(crate) running: u32,
    /// Task starts per second.
    pub(crate) starts: u32,
    pub(crate) duration: Duration,
}

/// Runs one measurement and prints its result as one line of JSON.
pub(crate) async fn run(matches: &ArgMatches) -> Result<bool> {
    let plan = CapacityPlan {
        entry: value(matches, "entry"),
        control: value(matches, "control"),
        pid: value::<u64>(matches, "pid") as u32,
        agents: value::<u64>(matches, "agents") as usize,
        running: value::<u64>(matches, "running") as u32,
        starts: value::<u64>(matches, "starts") as u32,
        duration: Duration::from_secs(value(matches, "seconds")),
    };
    let point = measure::measure(&plan).await?;
    println!("{}", serde_json::to_string(&point)?);
    Ok(true)
}
