//! The entry role: serves callers and operators, routes requests and places tasks.

mod answer;
mod attempts;
mod body;
mod cancel;
mod claim;
mod control_loop;
mod dispatch;
mod head;
mod jobs;
mod keyed;
mod learned;
mod operator;
mod ownership;
mod partition_loop;
mod request;
mod router;
mod routes;
mod serve;
mod settings;
mod state;
mod table_loop;
mod trial;

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use spdlog::info;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::clock::ProcessClock;
use crate::config::EntryConfig;
use crate::control::ControlServer;
use crate::http;
use crate::lifecycle::LifecycleEvent;
use crate::timeline::TimelineEvent;
use state::EntryState;

/// Time for which an entry that shuts down still accepts requests, until the load
/// balancer has seen that it is not ready.
const DRAIN_GRACE: Duration = Duration::from_millis(2500);

/// Interval between checks for requests in progress during a planned stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry until a planned stop.
pub(crate) async fn run(config: EntryConfig) -> Result<()> {
    let clock = ProcessClock::new();
    let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let listener = TcpListener::bind(config.common.listen)
        .await
        .wrap_err_with(|| format!("listening at {}", config.common.listen))?;
    let (control, polls) = ControlServer::listen(config.control)
        .wrap_err_with(|| format!("listening at {}", config.control))?;
    let state = Arc::new(EntryState::new(config, clock)?);
    tokio::spawn(control_loop::receive(state.clone(), polls));
    tokio::spawn(control_loop::run_timers(state.clone()));
    tokio::spawn(control_loop::place(state.clone()));
    tokio::spawn(trial::run(state.clone()));
    let mut superseded = tokio::spawn(table_loop::run(state.clone()));
    let router = router::build(state.clone());
    let server = tokio::spawn(async move { http::serve(listener, router).await });
    state.lifecycle.handle(LifecycleEvent::Prepared);
    info!("serving", kv: {
        entry = state.config.id.to_string(),
        incarnation = state.incarnation.get(),
    });
    tokio::select! {
        _ = terminate.recv() => {}
        outcome = &mut superseded => return outcome.wrap_err("watching the table")?,
    }
    drain(&state).await;
    superseded.abort();
    server.abort();
    control.close();
    Ok(())
}

/// Releases partitions, reports not ready to the load balancer, and waits for
/// requests in progress.
async fn drain(state: &Arc<EntryState>) {
    state.lifecycle.handle(LifecycleEvent::StopAsked);
    state
        .timeline
        .add(TimelineEvent::new("drain", "planned stop of the entry"));
    state.scheduler().set_draining();
    let limit = state.clock.now().after(state.config.common.drain_limit);
    tokio::time::sleep(DRAIN_GRACE).await;
    state
        .refuses_requests
        .store(true, std::sync::atomic::Ordering::SeqCst);
    while state.in_progress() > 0 && state.clock.now() < limit {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    state.lifecycle.handle(LifecycleEvent::Idle);
    info!("planned stop", kv: { in_progress = state.in_progress() });
}
