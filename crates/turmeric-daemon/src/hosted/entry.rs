//! An entry on the users' platform: serves callers, takes part in the leader election and
//! accepts the connections of agents.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use eyre::{Result, WrapErr, eyre};
use spdlog::info;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use turmeric_admission::ConnectionBudget;
use turmeric_jobs::{
    CancelBudget, FeedLimits, LeaderTimeouts, LeaseLimits, StoreBounds, StoreHealth,
};
use turmeric_platform::{BootSettings, CallClient, StoreClient};

use super::ProcessSignals;
use super::callers::{CallerState, method_label, serve_caller};
use super::forward::LeaderForward;
use super::leadership::{CALL_TIMEOUT, LeaderContext, run_election};
use super::link::open_link;
use super::metrics::{ProcessMetrics, serve_metrics};
use super::operator_feed::follow_operators;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;
use crate::config::HostedConfig;
use crate::connections::{ConnectionHub, accept, internal_budget, internal_limits, serve_limited};

/// A lease is shorter by this than the longest that a worker accepts, so that the worker never
/// shortens it.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// How long a leader renews leases without a confirmation from the store. It writes every 700 ms, and
/// a write takes 0.25 s when the store is slow; another entry takes over after 2.2 s of silence, and
/// waits for what was renewed until then.
const RENEWAL_WINDOW: Duration = Duration::from_millis(1400);

/// States of jobs are kept longer by this than the platform guarantees.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Time for the load balancer to remove an entry: after two failed checks, a second apart.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// Part of the platform's shutdown grace period that is reserved for the last responses.
const STOP_MARGIN: Duration = Duration::from_millis(1500);

/// Maximum number of agent connections that wait for the leader's event loop.
const LINK_BACKLOG: usize = 64;

/// Creates the state of the callers' listener. Its limits are those of the configuration in
/// force.
fn caller_hub(budget: ConnectionBudget, callers: &CallerState) -> ConnectionHub {
    let operators = callers.operators.clone();
    let limits = move || {
        let view = operators.borrow();
        let config = view.config.as_ref();
        config.map(|config| config.limits).unwrap_or_default()
    };
    let connections = Arc::clone(&callers.metrics.connections);
    let metrics = Arc::clone(&callers.metrics);
    ConnectionHub::new(budget, limits, callers.clock, connections).with_refusal_observer(
        move |method, status| metrics.count_refusal(method_label(method), status.as_u16()),
    )
}

/// Returns the limits of leases, which are the same for all processes of a deployment.
pub(crate) fn lease_limits(boot: &BootSettings) -> LeaseLimits {
    LeaseLimits::new(boot.longest_lease.saturating_sub(LEASE_MARGIN))
}

/// Returns the limits of the store on what this entry writes.
fn store_bounds(boot: &BootSettings) -> StoreBounds {
    let bounds = StoreBounds::default();
    let row_bytes = boot.store_limits.row_bytes;
    row_bytes.map_or(bounds, |row_bytes| bounds.with_row_bytes(row_bytes))
}

/// Runs an entry until SIGTERM.
pub(crate) async fn run_entry(config: HostedConfig) -> Result<()> {
    let boot = config.boot;
    let mut signals = ProcessSignals::new()?;
    let clock = ProcessClock::new();
    let callers_address = boot
        .callers
        .ok_or_else(|| eyre!("the platform's settings have no address for callers"))?;
    let readiness_address = boot.readiness.ok_or_else(|| {
        eyre!("the platform's settings have no address for the load balancer's readiness checks")
    })?;
    let link_address = SocketAddr::new(boot.ip, boot.internal_port);
    let store = StoreClient::new(CallClient::new(), boot.store);
    let (operator_sender, operators) = watch::channel(OperatorView::default());
    let (leader_sender, leader) = watch::channel(LeaderView::default());
    let metrics = Arc::new(ProcessMetrics::new());
    tokio::spawn(serve_metrics(config.metrics, Arc::clone(&metrics), clock));
    let state_retention = boot.state_retention + RETENTION_MARGIN;
    let budget = ConnectionBudget::new(boot.memory, boot.descriptors);
    let callers = Arc::new(CallerState {
        metrics: Arc::clone(&metrics),
        store: store.clone(),
        operators: operators.clone(),
        leader,
        clock,
        is_stopping: AtomicBool::new(false),
        forward: LeaderForward::new(),
        address: callers_address,
        admission_account: config.policies.admission_account,
        // Half as much as the buffers of requests, in KiB.
        job_memory: Semaphore::new((budget.memory.as_bytes() >> 11) as usize),
        store_bounds: store_bounds(&boot),
        store_health: Mutex::new(StoreHealth::new()),
        cancel_budget: Mutex::new(CancelBudget::new()),
        state_retention,
    });
    tokio::spawn(follow_operators(store.clone(), operator_sender));
    let (link_sender, links) = mpsc::channel(LINK_BACKLOG);
    let link_listener = listen(link_address).await?;
    tokio::spawn(async move {
        loop {
            let stream = accept(&link_listener).await;
            if let Ok(link) = open_link(stream) {
                // A leader serves the connection; any other entry closes it.
                if link_sender.send(link).await.is_err() {
                    return;
                }
            }
        }
    });
    let context = LeaderContext {
        vm: boot.vm.clone(),
        address: link_address,
        processor: boot.processor,
        store,
        clock,
        terms: LeaderTimeouts {
            lease: lease_limits(&boot),
            renewal_window: RENEWAL_WINDOW,
            retention: state_retention,
        },
        policies: config.policies,
        feed_limits: FeedLimits::new(boot.cancellation_bound, CALL_TIMEOUT),
        operators,
        leader: leader_sender,
        callers: Arc::clone(&callers),
        metrics,
    };
    tokio::spawn(run_election(context, links));
    serve_readiness(readiness_address, Arc::clone(&callers)).await?;
    let (stop_sender, stop) = tokio::sync::oneshot::channel::<()>();
    let server = {
        let listener = listen(callers_address).await?;
        let router = Router::new()
            .fallback(serve_caller)
            .with_state(Arc::clone(&callers));
        let hub = caller_hub(budget, &callers);
        let server = serve_limited(listener, router, Arc::new(hub), async {
            let _ = stop.await;
        });
        tokio::spawn(server)
    };
    info!("entry is serving", kv: {
        callers = callers_address.to_string(), links = link_address.to_string()
    });
    signals.terminated().await;
    info!("entry is stopping after SIGTERM");
    callers.is_stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(BALANCER_DELAY).await;
    let _ = stop_sender.send(());
    let rest = boot.stop_grace.saturating_sub(BALANCER_DELAY + STOP_MARGIN);
    let is_idle = tokio::time::timeout(rest, server).await.is_ok();
    info!("entry stopped", kv: { answered_all = is_idle });
    Ok(())
}

/// Binds a listener to `address`.
async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Serves the load balancer's checks of whether this entry accepts new connections.
async fn serve_readiness(address: SocketAddr, callers: Arc<CallerState>) -> Result<()> {
    let listener = listen(address).await?;
    let clock = callers.clock;
    let connections = Arc::clone(&callers.metrics.connections);
    let ready = move || {
        let callers = Arc::clone(&callers);
        async move {
            let has_config = callers.operators.borrow().config.is_some();
            let is_stopping = callers.is_stopping.load(Ordering::Relaxed);
            if has_config && !is_stopping {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    let router = Router::new().fallback(get(ready));
    let hub = ConnectionHub::new(internal_budget(), internal_limits, clock, connections);
    tokio::spawn(serve_limited(
        listener,
        router,
        Arc::new(hub),
        std::future::pending(),
    ));
    Ok(())
}
