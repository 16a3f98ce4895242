//! HTTP routes of the agent.

use std::sync::Arc;

use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::{any, get, post};
use axum::{Json, Router};
use serde::Serialize;

use super::endpoint::EndpointAnnouncement;
use super::state::AgentState;
use super::{forward, keys};
use crate::timeline::TimelinePage;

/// Maximum body size of a call that is not a forwarded request.
const CALL_LIMIT_BYTES: usize = 1 << 20;

/// Builds the router of the agent.
pub(crate) fn build(state: Arc<AgentState>) -> Router {
    let calls = Router::new()
        .route("/v1/endpoint", post(announce_endpoint))
        .route("/v1/keys/claim", post(keys::claim))
        .route("/v1/keys/record", post(keys::record))
        .route("/v1/requests/{request}/probe", post(forward::probe))
        .route("/v1/status", get(show_status))
        .route("/v1/timeline", get(show_timeline))
        .route("/healthz", get(|| async { "alive" }))
        .route("/readyz", get(show_ready))
        .layer(DefaultBodyLimit::max(CALL_LIMIT_BYTES));
    let forwarded = Router::new()
        .route("/forward/{*path}", any(forward::forward))
        .layer(DefaultBodyLimit::disable());
    calls.merge(forwarded).with_state(state)
}

/// Records the endpoint's announcement.
async fn announce_endpoint(
    State(state): State<Arc<AgentState>>,
    Json(announcement): Json<EndpointAnnouncement>,
) -> Json<()> {
    let slots = announcement.slots;
    let is_new = state.endpoint().announce(announcement, state.clock.now());
    if is_new {
        state.gate.set_slots(slots);
        state.wake_polls();
    }
    Json(())
}

/// Status of an agent, for operators.
#[derive(Serialize)]
struct AgentStatus {
    agent: String,
    incarnation: u64,
    version: &'static str,
    settings_version: u64,
    outstanding: usize,
    tasks: usize,
    free: String,
    capacity: String,
    keys: usize,
}

async fn show_status(State(state): State<Arc<AgentState>>) -> Json<AgentStatus> {
    let (task_count, free, capacity) = {
        let tasks = state.tasks();
        (tasks.held_count(), tasks.free(), tasks.capacity())
    };
    Json(AgentStatus {
        agent: state.agent.to_string(),
        incarnation: state.incarnation.get(),
        version: env!("CARGO_PKG_VERSION"),
        settings_version: state.settings().version.get(),
        outstanding: state.outstanding(),
        tasks: task_count,
        free: free.to_string(),
        capacity: capacity.to_string(),
        keys: state.keys().len(),
    })
}

async fn show_timeline(State(state): State<Arc<AgentState>>) -> Json<TimelinePage> {
    Json(state.timeline.page())
}

async fn show_ready(State(state): State<Arc<AgentState>>) -> (StatusCode, &'static str) {
    if state.lifecycle.is_serving() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
