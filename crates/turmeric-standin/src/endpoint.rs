//! An endpoint of a service with slots whose speed depends on its VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::get;
use axum::{Json, Router};
use clap::ArgMatches;
use eyre::Result;
use http_body_util::BodyExt;
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

use crate::client::JsonClient;
use crate::fault::{FaultPlan, FaultSwitch};
use crate::flags::value;

/// Time between two announcements to the agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the worker's load.
const NOISE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests that ran for each key; requests without a key are only counted.
#[derive(Clone, Default, Serialize)]
struct EndpointRecord {
    runs: BTreeMap<String, u64>,
    total: u64,
    incomplete: u64,
}

struct EndpointState {
    slots: Semaphore,
    slot_count: u64,
    connection_count: u64,
    service: String,
    service_time: Duration,
    noise_percent: AtomicU64,
    is_draining: AtomicBool,
    record: Mutex<EndpointRecord>,
    fault: FaultSwitch,
}

type Endpoint = Arc<EndpointState>;

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let address: SocketAddr = value(matches, "listen");
    let slot_count: u64 = value(matches, "slots");
    let endpoint: Endpoint = Arc::new(EndpointState {
        slots: Semaphore::new(slot_count as usize),
        slot_count,
        connection_count: value(matches, "connections"),
        service: value(matches, "service"),
        service_time: Duration::from_micros(value(matches, "service-micros")),
        noise_percent: AtomicU64::new(0),
        is_draining: AtomicBool::new(false),
        record: Mutex::new(EndpointRecord::default()),
        fault: FaultSwitch::default(),
    });
    let client = JsonClient::new();
    let worker: SocketAddr = value(matches, "worker");
    tokio::spawn(watch_noise(endpoint.clone(), client.clone(), worker));
    let agent: SocketAddr = value(matches, "agent");
    let announcing = tokio::spawn(announce_forever(endpoint.clone(), client, agent, address));
    let router = Router::new()
        .route("/control", get(show_record).post(set_fault))
        .fallback(serve_request)
        .with_state(endpoint.clone());
    let listener = tokio::net::TcpListener::bind(address).await?;
    let drain = drain_on_signal(endpoint);
    axum::serve(listener, router)
        .with_graceful_shutdown(drain)
        .await?;
    announcing.abort();
    Ok(())
}

/// Time for which the endpoint announces its shutdown before it accepts no more requests.
const DRAIN_DURATION: Duration = Duration::from_secs(3);

/// Waits for SIGTERM and announces the shutdown for [`DRAIN_DURATION`].
async fn drain_on_signal(endpoint: Endpoint) {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    terminate.recv().await;
    endpoint.is_draining.store(true, Ordering::SeqCst);
    tokio::time::sleep(DRAIN_DURATION).await;
}

async fn watch_noise(endpoint: Endpoint, client: JsonClient, worker: SocketAddr) {
    loop {
        tokio::time::sleep(NOISE_INTERVAL).await;
        let noise = client.call("GET", worker, "/v1/noise", &()).await;
        endpoint
            .noise_percent
            .store(noise.unwrap_or(0), Ordering::Relaxed);
    }
}

async fn announce_forever(
    endpoint: Endpoint,
    client: JsonClient,
    agent: SocketAddr,
    address: SocketAddr,
) {
    loop {
        let announcement = serde_json::json!({
            "service": endpoint.service,
            "address": address,
            "slots": endpoint.slot_count,
            "connections": endpoint.connection_count,
            "draining": endpoint.is_draining.load(Ordering::SeqCst),
        });
        let _: Result<serde_json::Value> = client
            .call("POST", agent, "/v1/endpoint", &announcement)
            .await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve_request(
    State(endpoint): State<Endpoint>,
    headers: HeaderMap,
    body: Body,
) -> Result<String, (StatusCode, String)> {
    let Ok(body) = body.collect().await else {
        let mut record = endpoint
            .record
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        record.incomplete += 1;
        return Err((StatusCode::BAD_REQUEST, "the body was cut".to_owned()));
    };
    let body = body.to_bytes();
    let digest = body.iter().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(*byte))
    });
    let _slot = endpoint
        .slots
        .acquire()
        .await
        .map_err(|error| (StatusCode::SERVICE_UNAVAILABLE, error.to_string()))?;
    endpoint.fault.before().await?;
    let key = header_text(&headers, "idempotency-key");
    record_run(&endpoint, key);
    tokio::time::sleep(service_time(&endpoint)).await;
    endpoint.fault.after_write().await;
    let tag = header_text(&headers, "turmeric-test-tag");
    Ok(format!("{tag} {} {digest:08x}", body.len()))
}

/// Returns the time that a request takes; it doubles at full batch load of the VM.
fn service_time(endpoint: &EndpointState) -> Duration {
    let noise = endpoint.noise_percent.load(Ordering::Relaxed) as u32;
    endpoint.service_time * (100 + noise) / 100
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
}

fn record_run(endpoint: &EndpointState, key: &str) {
    let mut record = endpoint
        .record
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    record.total += 1;
    if key != "-" {
        *record.runs.entry(key.to_owned()).or_default() += 1;
    }
}

async fn show_record(State(endpoint): State<Endpoint>) -> Json<EndpointRecord> {
    let record = endpoint
        .record
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    Json(record.clone())
}

async fn set_fault(State(endpoint): State<Endpoint>, Json(plan): Json<FaultPlan>) -> StatusCode {
    endpoint.fault.set(plan);
    StatusCode::OK
}
