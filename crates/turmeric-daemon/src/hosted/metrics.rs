//! Counters, gauges and latency histograms of a process on the users' platform, served as
//! text. Every label has a fixed set of values.

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
use turmeric_jobs::{ExclusionCause, RowOwner, StartLeg};

use crate::clock::ProcessClock;
use crate::connections::{
    CauseLabels, ConnectionHub, ConnectionMetrics, internal_budget, internal_limits, serve_limited,
};

/// Lowest bound of the histograms, in seconds; each of the twelve bounds is twice the one
/// before, up to 4 s.
const SHORTEST_SECONDS: f64 = 0.002;

/// Number of bounds of each histogram.
const BOUND_COUNT: u16 = 12;

/// Lowest bound of the histogram of waits for leases, in seconds; each of the eight bounds is twice
/// the one before, up to 32 s.
const SHORTEST_LEASE_SECONDS: f64 = 0.25;

/// Number of bounds of that histogram.
const LEASE_BOUND_COUNT: u16 = 8;

/// Method and status of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) method: &'static str,
    pub(crate) status: u32,
}

/// Method of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MethodLabels {
    pub(crate) method: &'static str,
}

/// Kind and outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// Leg of a job's way to its first start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LegLabels {
    pub(crate) leg: &'static str,
}

/// Which leases were waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OriginLabels {
    pub(crate) origin: &'static str,
}

/// What a long-running task waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StageLabels {
    pub(crate) stage: &'static str,
}

/// Why a job or one of its tasks was shed because capacity was insufficient.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShedCause {
    /// The job was refused, because its queueing delay is too long.
    RefusedLate,
    /// A task of an overdue job was evicted in favour of a task in time.
    EvictedOverdue,
}

impl ShedCause {
    /// Returns the metric label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::RefusedLate => "refused_late",
            Self::EvictedOverdue => "evicted_overdue",
        }
    }
}

type OutcomeCounter = Family<OutcomeLabels, Counter<u64, AtomicU64>>;

/// The metrics of a process.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    /// Responses to callers.
    pub(crate) requests: Family<RequestLabels, Counter<u64, AtomicU64>>,
    /// Requests that were refused because the store did not serve them.
    store_refusals: Family<MethodLabels, Counter<u64, AtomicU64>>,
    /// Time from a request to its response.
    pub(crate) request_seconds: Histogram,
    /// Ended jobs by phase, each in time or late.
    pub(crate) jobs_over: OutcomeCounter,
    /// Time from the acceptance of a job to its end.
    pub(crate) job_seconds: Histogram,
    /// Attempts by event and cause.
    pub(crate) attempts: OutcomeCounter,
    /// Jobs refused and tasks evicted because capacity was insufficient.
    pub(crate) jobs_shed: Family<CauseLabels, Counter<u64, AtomicU64>>,
    /// Rows that the store refuses for good, by what they hold.
    refused_rows: Family<CauseLabels, Counter<u64, AtomicU64>>,
    /// Rows of deleted jobs that were read before the deletion and ignored.
    pub(crate) stale_rows: Counter<u64, AtomicU64>,
    /// Time until the outcome of a write of the leader is known.
    pub(crate) commit_seconds: Histogram,
    /// Start and stop calls to the worker beside an agent, by answer.
    pub(crate) worker_calls: OutcomeCounter,
    /// Workers that stopped to answer their agents, or answer again, as the leader sees it.
    pub(crate) workers: OutcomeCounter,
    /// Time from the last sign of a worker until its leases have expired, by whose leases they are.
    lease_wait_seconds: Family<OriginLabels, Histogram, fn() -> Histogram>,
    /// Time from the end of a long-running task to its next run, by the stage that took longest.
    absence_seconds: Family<StageLabels, Histogram, fn() -> Histogram>,
    /// Time from the turn of a long-running task to its first run, by the stage that took longest.
    first_wait_seconds: Family<StageLabels, Histogram, fn() -> Histogram>,
    /// Epoch of this entry's leadership; zero while it does not lead.
    pub(crate) lead_epoch: Gauge<i64, AtomicI64>,
    /// Time of each leg of a job's way to its first start.
    pub(crate) start_leg_seconds: Family<LegLabels, Histogram, fn() -> Histogram>,
    /// Jobs that have not ended, at the leader.
    pub(crate) open_jobs: Gauge<i64, AtomicI64>,
    /// Waiting tasks by the cause that excludes the most VMs, at the leader.
    pub(crate) waiting_tasks: Family<CauseLabels, Gauge<i64, AtomicI64>>,
    /// Answers of the worker beside an agent with an incomplete list of ends.
    pub(crate) incomplete_lists: Counter<u64, AtomicU64>,
    /// Attempts in an agent's table.
    pub(crate) held_attempts: Gauge<i64, AtomicI64>,
    /// Log lines that were dropped because their reader was too slow.
    pub(crate) lines_dropped: Counter<u64, AtomicU64>,
    /// Connections of all listeners.
    pub(crate) connections: Arc<ConnectionMetrics>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SHORTEST_SECONDS, 2.0, BOUND_COUNT))
}

fn lease_histogram() -> Histogram {
    let bounds = exponential_buckets(SHORTEST_LEASE_SECONDS, 2.0, LEASE_BOUND_COUNT);
    Histogram::new(bounds)
}

impl ProcessMetrics {
    /// Creates and registers the metrics, all at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("turmericlb"),
            requests: Family::default(),
            store_refusals: Family::default(),
            request_seconds: histogram(),
            jobs_over: Family::default(),
            job_seconds: histogram(),
            attempts: Family::default(),
            jobs_shed: Family::default(),
            refused_rows: Family::default(),
            stale_rows: Counter::default(),
            commit_seconds: histogram(),
            worker_calls: Family::default(),
            workers: Family::default(),
            lease_wait_seconds: Family::new_with_constructor(lease_histogram),
            absence_seconds: Family::new_with_constructor(lease_histogram),
            first_wait_seconds: Family::new_with_constructor(lease_histogram),
            lead_epoch: Gauge::default(),
            start_leg_seconds: Family::new_with_constructor(histogram),
            open_jobs: Gauge::default(),
            waiting_tasks: Family::default(),
            incomplete_lists: Counter::default(),
            held_attempts: Gauge::default(),
            lines_dropped: crate::logging::dropped_lines(),
            connections: Arc::default(),
        };
        metrics.register();
        metrics.register_connections();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Responses to callers", self.requests.clone());
        registry.register(
            "store_refusals",
            "Requests that were refused because of the store",
            self.store_refusals.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from a request to its response",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register(
            "jobs_over",
            "Ended jobs by phase, in time or late",
            self.jobs_over.clone(),
        );
        registry.register_with_unit(
            "job",
            "Time from the acceptance of a job to its end",
            Unit::Seconds,
            self.job_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Attempts by event and cause",
            self.attempts.clone(),
        );
        registry.register(
            "jobs_shed",
            "Jobs refused and tasks evicted because capacity was insufficient",
            self.jobs_shed.clone(),
        );
        registry.register(
            "refused_rows",
            "Rows that the store refuses for good, by what they hold",
            self.refused_rows.clone(),
        );
        registry.register(
            "stale_rows",
            "Rows of deleted jobs that were read before the deletion and ignored",
            self.stale_rows.clone(),
        );
        registry.register_with_unit(
            "commit",
            "Time until the outcome of a write of the leader is known",
            Unit::Seconds,
            self.commit_seconds.clone(),
        );
        registry.register(
            "worker_calls",
            "Start and stop calls to the worker",
            self.worker_calls.clone(),
        );
        registry.register(
            "workers",
            "Workers that stopped to answer their agents, or answer again",
            self.workers.clone(),
        );
        registry.register_with_unit(
            "lease_wait",
            "Time from the last sign of a worker until its leases have expired",
            Unit::Seconds,
            self.lease_wait_seconds.clone(),
        );
        registry.register_with_unit(
            "absence",
            "Time from the end of a long-running task to its next run",
            Unit::Seconds,
            self.absence_seconds.clone(),
        );
        registry.register_with_unit(
            "first_wait",
            "Time from the turn of a long-running task to its first run",
            Unit::Seconds,
            self.first_wait_seconds.clone(),
        );
        registry.register(
            "lead_epoch",
            "Epoch of this entry's leadership, or zero while it does not lead",
            self.lead_epoch.clone(),
        );
        registry.register_with_unit(
            "start_leg",
            "Time of each leg of a job's way to its first start",
            Unit::Seconds,
            self.start_leg_seconds.clone(),
        );
        registry.register(
            "open_jobs",
            "Jobs that have not ended",
            self.open_jobs.clone(),
        );
        registry.register(
            "waiting_tasks",
            "Tasks that fit no VM, by the cause that excludes the most VMs",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "incomplete_lists",
            "Answers of the worker with an incomplete list of ends",
            self.incomplete_lists.clone(),
        );
        registry.register(
            "held_attempts",
            "Attempts in the agent's table",
            self.held_attempts.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that were dropped",
            self.lines_dropped.clone(),
        );
    }

    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "connections_closed",
            "Connections closed because of a limit, by cause",
            self.connections.closed.clone(),
        );
        registry.register(
            "open_connections",
            "Open connections of all HTTP listeners",
            self.connections.open.clone(),
        );
        registry.register(
            "buffered_bytes",
            "Memory of the buffers of these connections",
            self.connections.buffered_bytes.clone(),
        );
    }

    /// Counts a response and records the time that it took.
    pub(crate) fn count_request(&self, method: &'static str, status: u16, elapsed: Duration) {
        let labels = RequestLabels {
            method,
            status: u32::from(status),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a request that was refused because of the store.
    pub(crate) fn count_store_refusal(&self, method: &'static str) {
        self.store_refusals
            .get_or_create(&MethodLabels { method })
            .inc();
    }

    /// Sets the number of waiting tasks for each cause; `tasks` returns the number.
    pub(crate) fn set_waiting_tasks(&self, tasks: impl Fn(ExclusionCause) -> usize) {
        for cause in ExclusionCause::ALL {
            let labels = CauseLabels {
                cause: cause.label(),
            };
            let gauge = self.waiting_tasks.get_or_create(&labels);
            gauge.set(tasks(cause) as i64);
        }
    }

    /// Records the time of a leg of a job's way to its first start.
    pub(crate) fn record_leg(&self, leg: StartLeg, elapsed: Duration) {
        let labels = LegLabels { leg: leg.label() };
        self.start_leg_seconds
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Records how long the leader waited for the leases on a VM after the last sign of its worker.
    pub(crate) fn record_lease_wait(&self, origin: &'static str, elapsed: Duration) {
        self.lease_wait_seconds
            .get_or_create(&OriginLabels { origin })
            .observe(elapsed.as_secs_f64());
    }

    /// Records how long a long-running task did not run.
    pub(crate) fn record_absence(&self, has_run: bool, stage: &'static str, elapsed: Duration) {
        let seconds = if has_run {
            &self.absence_seconds
        } else {
            &self.first_wait_seconds
        };
        seconds
            .get_or_create(&StageLabels { stage })
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a row that the store refuses for good; [`None`] stands for the leader's own.
    pub(crate) fn count_refused_row(&self, owner: Option<RowOwner>) {
        let cause = match owner {
            None => "leader",
            Some(RowOwner::Job(_)) => "progress",
            Some(RowOwner::Interference) => "interference",
        };
        self.refused_rows
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a refused job or an evicted task.
    pub(crate) fn count_shed(&self, cause: ShedCause) {
        let labels = CauseLabels {
            cause: cause.label(),
        };
        self.jobs_shed.get_or_create(&labels).inc();
    }

    /// Counts a refusal of a request that was not received whole, which has no duration.
    pub(crate) fn count_refusal(&self, method: &'static str, status: u16) {
        let status = u32::from(status);
        self.requests
            .get_or_create(&RequestLabels { method, status })
            .inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            warn!("encoding the metrics failed");
        }
        text
    }
}

/// Increments the counter of a kind and outcome.
pub(crate) fn count(counter: &OutcomeCounter, kind: &'static str, outcome: &'static str) {
    counter
        .get_or_create(&OutcomeLabels { kind, outcome })
        .inc();
}

/// Serves the metrics on `address`. If the port is taken, logs that; the process then runs
/// without metrics.
pub(crate) async fn serve_metrics(
    address: SocketAddr,
    metrics: Arc<ProcessMetrics>,
    clock: ProcessClock,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!("the address for metrics cannot be bound", kv: {
                address = address.to_string(), reason = error.to_string()
            });
            return;
        }
    };
    info!("serving metrics", kv: { address = address.to_string() });
    let connections = Arc::clone(&metrics.connections);
    let hub = ConnectionHub::new(internal_budget(), internal_limits, clock, connections);
    let text = move || {
        let metrics = Arc::clone(&metrics);
        async move {
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            ([(header::CONTENT_TYPE, content_type)], metrics.text())
        }
    };
    let router = Router::new().route("/metrics", get(text));
    serve_limited(listener, router, Arc::new(hub), std::future::pending()).await;
}
