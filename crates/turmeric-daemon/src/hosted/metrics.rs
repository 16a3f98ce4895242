//! Counters and latency histograms of a process on the users' platform, served
//! as text. Every label has a fixed set of values.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64};
use std::time::Duration;

use axum::Router;
use axum::http::header;
use axum::routing::get;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use spdlog::{info, warn};
use tokio::net::TcpListener;

/// Shortest time that the histograms tell apart, in seconds; each of the twelve
/// bounds is twice the one before, up to 4 s.
const SHORTEST_SECONDS: f64 = 0.002;

/// Number of bounds of each histogram.
const BOUND_COUNT: u16 = 12;

/// Method and status of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) method: &'static str,
    pub(crate) status: u32,
}

/// What was done and how it went.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

type OutcomeCounter = Family<OutcomeLabels, Counter<u64, AtomicU64>>;

/// The metrics of a process.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    /// Answered requests of callers.
    pub(crate) requests: Family<RequestLabels, Counter<u64, AtomicU64>>,
    /// Time to the answer of a request.
    pub(crate) request_seconds: Histogram,
    /// Jobs that were over, by phase, in time or late.
    pub(crate) jobs_over: OutcomeCounter,
    /// Time from the acceptance of a job until it was over.
    pub(crate) job_seconds: Histogram,
    /// Attempts by what became of them.
    pub(crate) attempts: OutcomeCounter,
    /// Time until the store had confirmed a write of the leader.
    pub(crate) commit_seconds: Histogram,
    /// Calls to the worker beside an agent.
    pub(crate) worker_calls: OutcomeCounter,
    /// Epoch of this leader; zero while another entry leads.
    pub(crate) lead_epoch: Gauge<i64, AtomicI64>,
    /// Jobs that are not over, at the leader.
    pub(crate) open_jobs: Gauge<i64, AtomicI64>,
    /// Attempts that an agent holds.
    pub(crate) held_attempts: Gauge<i64, AtomicI64>,
    /// Log lines that were left out because the reader was too slow.
    pub(crate) lines_dropped: Counter<u64, AtomicU64>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SHORTEST_SECONDS, 2.0, BOUND_COUNT))
}

impl ProcessMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("turmericlb"),
            requests: Family::default(),
            request_seconds: histogram(),
            jobs_over: Family::default(),
            job_seconds: histogram(),
            attempts: Family::default(),
            commit_seconds: histogram(),
            worker_calls: Family::default(),
            lead_epoch: Gauge::default(),
            open_jobs: Gauge::default(),
            held_attempts: Gauge::default(),
            lines_dropped: crate::logging::dropped_lines(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Answered requests", self.requests.clone());
        registry.register_with_unit(
            "request",
            "Time to the answer of a request",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register("jobs_over", "Jobs that were over", self.jobs_over.clone());
        registry.register_with_unit(
            "job",
            "Time from acceptance until a job was over",
            Unit::Seconds,
            self.job_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Attempts by what became of them",
            self.attempts.clone(),
        );
        registry.register_with_unit(
            "commit",
            "Time until the store confirmed a write of the leader",
            Unit::Seconds,
            self.commit_seconds.clone(),
        );
        registry.register(
            "worker_calls",
            "Calls to the worker",
            self.worker_calls.clone(),
        );
        registry.register(
            "lead_epoch",
            "Epoch of this leader, or zero",
            self.lead_epoch.clone(),
        );
        registry.register(
            "open_jobs",
            "Jobs that are not over",
            self.open_jobs.clone(),
        );
        registry.register(
            "held_attempts",
            "Attempts that an agent holds",
            self.held_attempts.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that were left out",
            self.lines_dropped.clone(),
        );
    }

    pub(crate) fn count_request(&self, method: &'static str, status: u16, elapsed: Duration) {
        let labels = RequestLabels {
            method,
            status: u32::from(status),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_seconds.observe(elapsed.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            warn!("metrics cannot be written");
        }
        text
    }
}

pub(crate) fn count(counter: &OutcomeCounter, kind: &'static str, outcome: &'static str) {
    counter
        .get_or_create(&OutcomeLabels { kind, outcome })
        .inc();
}

/// Serves the metrics. A taken port is logged; the process works on without.
pub(crate) async fn serve_metrics(address: SocketAddr, metrics: Arc<ProcessMetrics>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!("metrics not served", kv: {
                address = address.to_string(), reason = error.to_string()
            });
            return;
        }
    };
    info!("metrics served", kv: { address = address.to_string() });
    let text = move || {
        let metrics = Arc::clone(&metrics);
        async move {
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            ([(header::CONTENT_TYPE, content_type)], metrics.text())
        }
    };
    let router = Router::new().route("/metrics", get(text));
    if let Err(error) = axum::serve(listener, router).await {
        warn!("metrics served no more", kv: { reason = error.to_string() });
    }
}
