//! The agent role: one process beside each endpoint on a worker.

mod admission;
mod endpoint;
mod forward;
mod keys;
mod poll_loop;
mod router;
mod state;
mod watch;
mod worker_loop;

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use turmeric_worker::WorkerClient;

use crate::clock::ProcessClock;
use crate::config::AgentConfig;
use crate::http;
use crate::lifecycle::LifecycleEvent;
use crate::timeline::TimelineEvent;
use state::AgentState;

pub(crate) use keys::{ClaimAnswer, ClaimRequest, KeyOutcome, OutcomeRequest};

/// Interval between attempts to attach to the worker at startup.
const ATTACH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between checks for requests in progress during a planned stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a stopping agent keeps polling, so that the entries learn of
/// its stop.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// Runs an agent until a planned stop.
pub(crate) async fn run(config: AgentConfig) -> Result<()> {
    let clock = ProcessClock::new();
    let listener = TcpListener::bind(config.common.listen)
        .await
        .wrap_err_with(|| format!("listening at {}", config.common.listen))?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let worker = WorkerClient::new(config.worker_address);
    let status = tokio::select! {
        status = attach(&worker, &clock) => status,
        _ = terminate.recv() => return Ok(()),
    };
    let state = Arc::new(AgentState::new(config, clock, worker, &status)?);
    info!("agent attached to the worker", kv: {
        agent = state.agent.to_string(),
        incarnation = state.incarnation.get(),
        tasks = status.tasks.len(),
    });
    let mut worker_watch = tokio::spawn(worker_loop::run(state.clone(), status.instance));
    for slot in 0..state.config.entries.len() {
        tokio::spawn(poll_loop::run(state.clone(), slot));
    }
    let router = router::build(state.clone());
    let server = tokio::spawn(async move { http::serve(listener, router).await });
    state.lifecycle.handle(LifecycleEvent::Prepared);
    tokio::select! {
        _ = terminate.recv() => {}
        watch_result = &mut worker_watch => {
            server.abort();
            return watch_result.wrap_err("watching the worker")?;
        }
    }
    drain(&state).await;
    server.abort();
    Ok(())
}

/// Attaches to the worker, which then refuses earlier incarnations of this agent.
///
/// Retries until the worker answers.
async fn attach(worker: &WorkerClient, clock: &ProcessClock) -> turmeric_worker::WorkerStatus {
    loop {
        match worker.attach(clock.incarnation()).await {
            Ok(status) => return status,
            Err(error) => warn!("agent cannot attach to the worker: {error}"),
        }
        tokio::time::sleep(ATTACH_RETRY_INTERVAL).await;
    }
}

/// Refuses new work, informs the entries, and waits for requests in progress for at
/// most the drain limit.
async fn drain(state: &AgentState) {
    state.lifecycle.handle(LifecycleEvent::StopAsked);
    state.tasks().set_draining();
    state
        .timeline
        .add(TimelineEvent::new("drain", "planned stop of the agent"));
    state.wake_polls();
    let deadline = state.clock.now().after(state.config.common.drain_limit);
    tokio::time::sleep(DRAIN_NOTICE_PERIOD).await;
    while state.outstanding() > 0 && state.clock.now() < deadline {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    state.lifecycle.handle(LifecycleEvent::Idle);
    info!("agent drained for a planned stop", kv: { outstanding = state.outstanding() });
}
