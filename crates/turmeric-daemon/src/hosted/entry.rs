//! An entry on the users' platform.

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
use tokio::sync::{mpsc, watch};
use turmeric_jobs::{LeaderTimeouts, LeaseLimits, StoreHealth};
use turmeric_platform::{BootSettings, CallClient, StoreClient};

use super::ProcessSignals;
use super::callers::{CallerState, serve_caller};
use super::forward::LeaderForward;
use super::leadership::{LeadContext, watch_lead};
use super::link::open_link;
use super::meters::{ProcessMeters, serve_meters};
use super::operator_feed::follow_operators;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;
use crate::config::HostedConfig;

/// A lease is this much shorter than the longest that a worker takes, so that
/// it is never cut.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// For how long an earlier leader renews leases without the store: longer than
/// the outages on these sites, so that work survives them.
const LEAD_CONFIDENCE: Duration = Duration::from_secs(12);

/// States of jobs are kept this much longer than promised.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// The balancer takes an entry out after two misses, a second apart.
const BALANCER_TERM: Duration = Duration::from_millis(2500);

/// Kept of the platform's time for a stop, for the last answers.
const STOP_MARGIN: Duration = Duration::from_millis(1500);

/// Connections of agents that wait to be served.
const LINK_BACKLOG: usize = 64;

/// Returns the terms of leases, the same for all processes of a deployment.
pub(crate) fn lease_limits(boot: &BootSettings) -> LeaseLimits {
    LeaseLimits::new(boot.longest_lease.saturating_sub(LEASE_MARGIN))
}

/// Runs an entry until SIGTERM.
pub(crate) async fn run_entry(config: HostedConfig) -> Result<()> {
    let boot = config.boot;
    let mut signals = ProcessSignals::new()?;
    let clock = ProcessClock::new();
    let callers_address = boot
        .callers
        .ok_or_else(|| eyre!("no address for callers"))?;
    let readiness_address = boot
        .readiness
        .ok_or_else(|| eyre!("no address for the balancer"))?;
    let link_address = SocketAddr::new(boot.ip, boot.internal_port);
    let store = StoreClient::new(CallClient::new(), boot.store);
    let (operator_sender, operators) = watch::channel(OperatorView::default());
    let (leader_sender, leader) = watch::channel(LeaderView::default());
    let meters = Arc::new(ProcessMeters::new());
    tokio::spawn(serve_meters(config.metrics, Arc::clone(&meters)));
    let callers = Arc::new(CallerState {
        meters: Arc::clone(&meters),
        store: store.clone(),
        operators: operators.clone(),
        leader,
        clock,
        is_stopping: AtomicBool::new(false),
        forward: LeaderForward::new(),
        address: callers_address,
        path: Mutex::new(StoreHealth::new()),
    });
    tokio::spawn(follow_operators(store.clone(), operator_sender));
    let (link_sender, links) = mpsc::channel(LINK_BACKLOG);
    let link_listener = listen(link_address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = link_listener.accept().await else {
                continue;
            };
            if let Ok(link) = open_link(stream) {
                // The leader's loop takes it; anyone else drops it.
                if link_sender.send(link).await.is_err() {
                    return;
                }
            }
        }
    });
    let context = LeadContext {
        vm: boot.vm.clone(),
        address: link_address,
        processor: boot.processor,
        store,
        clock,
        terms: LeaderTimeouts {
            lease: lease_limits(&boot),
            confirmation_timeout: LEAD_CONFIDENCE,
            retention: boot.state_retention + RETENTION_MARGIN,
        },
        operators,
        leader: leader_sender,
        callers: Arc::clone(&callers),
        meters,
    };
    tokio::spawn(watch_lead(context, links));
    serve_readiness(readiness_address, Arc::clone(&callers)).await?;
    let (stop_sender, stop) = tokio::sync::oneshot::channel::<()>();
    let server = {
        let listener = listen(callers_address).await?;
        let router = Router::new()
            .fallback(serve_caller)
            .with_state(Arc::clone(&callers));
        let server = axum::serve(listener, router).with_graceful_shutdown(async {
            let _ = stop.await;
        });
        tokio::spawn(server.into_future())
    };
    info!("entry serves", kv: { callers = callers_address.to_string(), links = link_address.to_string() });
    signals.terminated().await;
    info!("entry stops: told to");
    callers.is_stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(BALANCER_TERM).await;
    let _ = stop_sender.send(());
    let rest = boot.stop_grace.saturating_sub(BALANCER_TERM + STOP_MARGIN);
    let is_idle = tokio::time::timeout(rest, server).await.is_ok();
    info!("entry stopped", kv: { answered_all = is_idle });
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Tells the balancer whether this entry takes new connections.
async fn serve_readiness(address: SocketAddr, callers: Arc<CallerState>) -> Result<()> {
    let listener = listen(address).await?;
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
    tokio::spawn(axum::serve(listener, router).into_future());
    Ok(())
}
