//! The path through entry and agent against direct calls to the endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::ArgMatches;
use eyre::{Result, ensure};
use http_body_util::Full;
use hyper::Request;

use crate::flags::value;
use crate::percentile::TimeSample;
use turmeric_testbed::LoadClient;

/// Most that the path may add at the median, in milliseconds.
const MEDIAN_BOUND_MILLIS: f64 = 1.0;

/// Most that the path may add at the 99th percentile, in milliseconds.
const TAIL_BOUND_MILLIS: f64 = 3.0;

/// Measures added time and throughput; returns whether the bounds hold.
pub(crate) async fn run(matches: &ArgMatches) -> Result<bool> {
    let entry: SocketAddr = value(matches, "entry");
    let endpoint: SocketAddr = value(matches, "endpoint");
    let count: u64 = value(matches, "requests");
    let client = LoadClient::new();
    let direct_url = format!("http://{endpoint}/check");
    let routed_url = format!("http://{entry}/service/verdikt/check");
    let (mut direct, mut routed) = (TimeSample::default(), TimeSample::default());
    // The two take turns, so that a change of the machine's speed hits both.
    for _ in 0..count {
        direct.push(time_one(&client, &direct_url).await?);
        routed.push(time_one(&client, &routed_url).await?);
    }
    println!("direct  {} of {}", direct.summary(), direct.len());
    println!("routed  {} of {}", routed.summary(), routed.len());
    let added = |permille| {
        let (routed, direct) = (
            routed.clone().permille(permille),
            direct.clone().permille(permille),
        );
        (routed.as_secs_f64() - direct.as_secs_f64()) * 1000.0
    };
    let (median, tail) = (added(500), added(990));
    println!(
        "added   p50 {median:.3} ms (bound {MEDIAN_BOUND_MILLIS}), p99 {tail:.3} ms (bound {TAIL_BOUND_MILLIS})"
    );
    let connections: u64 = value(matches, "connections");
    let duration = Duration::from_secs(value(matches, "seconds"));
    let direct_rate = throughput(&direct_url, connections, duration).await;
    let routed_rate = throughput(&routed_url, connections, duration).await;
    println!(
        "rate    direct {direct_rate:.0}/s, routed {routed_rate:.0}/s, ratio {:.3}",
        routed_rate / direct_rate
    );
    Ok(median <= MEDIAN_BOUND_MILLIS && tail <= TAIL_BOUND_MILLIS)
}

fn small_request(url: &str) -> Result<Request<Full<Bytes>>> {
    Ok(Request::get(url).body(Full::default())?)
}

async fn time_one(client: &LoadClient, url: &str) -> Result<Duration> {
    let request = small_request(url)?;
    let started_at = Instant::now();
    let answer = client.send(request).await?;
    ensure!(answer.status.is_success(), "{url}: {}", answer.status);
    Ok(started_at.elapsed())
}

/// Sends small requests over many connections; returns answers a second.
async fn throughput(url: &str, connections: u64, duration: Duration) -> f64 {
    let answered = Arc::new(AtomicU64::new(0));
    let started_at = Instant::now();
    let mut senders = tokio::task::JoinSet::new();
    for _ in 0..connections {
        let (url, answered) = (url.to_owned(), answered.clone());
        senders.spawn(async move {
            let client = LoadClient::new();
            while started_at.elapsed() < duration {
                if time_one(&client, &url).await.is_ok() {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while senders.join_next().await.is_some() {}
    answered.load(Ordering::Relaxed) as f64 / started_at.elapsed().as_secs_f64()
}
