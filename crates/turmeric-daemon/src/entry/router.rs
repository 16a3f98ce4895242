//! The entry's HTTP paths.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, delete, get, post};

use super::state::EntryState;
use super::{cancel, jobs, learned, operator, serve, trial};

/// Longest body of a call that is not a request for a service.
const CALL_LIMIT_BYTES: usize = 4 << 20;

pub(crate) fn build(state: Arc<EntryState>) -> Router {
    let calls = Router::new()
        .route("/v1/jobs", post(jobs::submit))
        .route("/v1/jobs/{job}", delete(cancel::cancel))
        .route("/v1/tasks", get(jobs::list_tasks))
        .route("/v1/tasks/count", get(jobs::count_tasks))
        .route("/v1/learned", get(learned::list_learned))
        .route("/v1/settings", get(operator::show_tree))
        .route("/v1/settings/change", post(operator::change_settings))
        .route("/v1/settings/preview", post(operator::preview_change))
        .route("/v1/settings/explain", get(operator::explain))
        .route("/v1/settings/history", get(operator::show_history))
        .route("/v1/experiments", get(trial::list_experiments))
        .route("/v1/experiments/{name}", get(trial::show_experiment))
        .route("/v1/agents", get(operator::list_agents))
        .route("/v1/status", get(operator::show_status))
        .route("/v1/timeline", get(operator::show_timeline))
        .route("/healthz", get(|| async { "alive" }))
        .route("/readyz", get(operator::show_ready))
        .layer(DefaultBodyLimit::max(CALL_LIMIT_BYTES));
    let requests = Router::new()
        .route("/service/{service}/{*path}", any(serve::serve))
        .layer(DefaultBodyLimit::disable());
    calls.merge(requests).with_state(state)
}
