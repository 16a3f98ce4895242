//! Latency and throughput of requests routed through entry and agent, compared with direct
//! calls to the endpoint.

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
use crate::percentile::DurationSample;
use turmeric_testbed::LoadClient;

/// Maximum latency that routing may add at the median, in milliseconds.
const MEDIAN_BOUND_MILLIS: f64 = 1.0;

/// Maximum latency that routing may add at the 99th percentile, in milliseconds.
const TAIL_BOUND_MILLIS: f64 = 3.0;

/// Measures the added latency and the throughput; returns whether the added latency is
/// within both bounds.
pub(crate) async fn run(matches: &ArgMatches) -> Result<bool> {
    let entry: SocketAddr = value(matches, "entry");
    let endpoint: SocketAddr = value(matches, "endpoint");
    let count: u64 = value(matches, "requests");
    let client = LoadClient::new();
    let direct_url = format!("http://{endpoint}/check");
    let routed_url = format!("http://{entry}/service/verdikt/check");
    let (mut direct, mut routed) = (DurationSample::default(), DurationSample::default());
    // Direct and routed requests alternate, so that a change of the machine's speed affects both.
    for _ in 0..count {
        direct.push(time_request(&client, &direct_url).await?);
        routed.push(time_request(&client, &routed_url).await?);
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

async fn time_request(client: &LoadClient, url: &str) -> Result<Duration> {
    let request = small_request(url)?;
    let started_at = Instant::now();
    let response = client.send(request).await?;
    ensure!(
        response.status.is_success(),
        "request to {url} failed with status {}",
        response.status
    );
    Ok(started_at.elapsed())
}

/// Sends small requests over `connections` connections; returns successful responses per second.
async fn throughput(url: &str, connections: u64, duration: Duration) -> f64 {
    let succeeded = Arc::new(AtomicU64::new(0));
    let started_at = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..connections {
        let (url, succeeded) = (url.to_owned(), succeeded.clone());
        clients.spawn(async move {
            let client = LoadClient::new();
            while started_at.elapsed() < duration {
                if time_request(&client, &url).await.is_ok() {
                    succeeded.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while clients.join_next().await.is_some() {}
    succeeded.load(Ordering::Relaxed) as f64 / started_at.elapsed().as_secs_f64()
}
