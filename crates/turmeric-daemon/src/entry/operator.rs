//! HTTP handlers for operators: settings, agents, status, timeline and readiness.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{Query, State};
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use serde::{Deserialize, Serialize};
use turmeric_settings::{
    ChangeRefusal, EffectiveSetting, SettingName, SettingsChange, SettingsPath, SettingsTree,
};

use super::settings::{self, ChangeOutcome};
use super::state::{EntryState, agent_path};
use crate::http::{refuse, refuse_findings, set_retry_after};
use crate::timeline::TimelinePage;

/// Delay after which a client should retry a change that was not confirmed.
const CHANGE_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Returns the addresses of the other live entries.
pub(crate) fn other_entries(state: &EntryState) -> Vec<SocketAddr> {
    let now = state.clock.now();
    let head = state.head();
    head.live_entries(now)
        .filter(|(entry, _)| **entry != state.config.id)
        .filter_map(|(_, row)| row.beat.address.parse().ok())
        .collect()
}

/// Shows the settings tree in force.
pub(crate) async fn show_tree(State(state): State<Arc<EntryState>>) -> Json<SettingsTree> {
    Json(SettingsTree::clone(&state.tree()))
}

/// Path, and optionally the setting, whose effective values to explain.
#[derive(Deserialize)]
pub(crate) struct ExplainQuery {
    path: String,
    name: Option<String>,
}

/// Shows the effective values at a path and where they come from.
pub(crate) async fn explain(
    State(state): State<Arc<EntryState>>,
    Query(query): Query<ExplainQuery>,
) -> Response<Body> {
    let mut findings = turmeric_types::FindingList::new();
    let path = findings.collect("path", query.path.parse::<SettingsPath>());
    let name = match &query.name {
        Some(name) => findings
            .collect("name", name.parse::<SettingName>())
            .map(Some),
        None => Some(None),
    };
    let parts = || Some((path?, name?));
    let parts = parts();
    let (path, name) = match findings.into_result(parts) {
        Ok(parts) => parts,
        Err(findings) => {
            return refuse_findings(StatusCode::BAD_REQUEST, "bad-request", &findings);
        }
    };
    let tree = state.tree();
    let names = match name {
        Some(name) => vec![name],
        None => turmeric_settings::SETTING_SPECS
            .iter()
            .map(|spec| spec.name)
            .collect(),
    };
    let settings: Vec<EffectiveSetting> = names
        .into_iter()
        .map(|name| tree.effective(&path, name))
        .collect();
    Json(settings).into_response()
}

/// Applies a settings change, or responds with the reason for its refusal.
pub(crate) async fn change_settings(
    State(state): State<Arc<EntryState>>,
    Json(change): Json<SettingsChange>,
) -> Response<Body> {
    match settings::change(&state, &change).await {
        ChangeOutcome::Accepted(version) => {
            Json(serde_json::json!({ "version": version, "accepted": true })).into_response()
        }
        ChangeOutcome::Refused(ChangeRefusal::Invalid(findings)) => {
            refuse_findings(StatusCode::UNPROCESSABLE_ENTITY, "bad-change", &findings)
        }
        ChangeOutcome::Refused(refusal) => {
            refuse(StatusCode::CONFLICT, "raced", refusal.to_string())
        }
        ChangeOutcome::Unavailable(error) => {
            let mut response = refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-changed",
                format!("the settings were not changed: {error}"),
            );
            set_retry_after(response.headers_mut(), CHANGE_RETRY_DELAY);
            response
        }
        ChangeOutcome::Unknown(error) => {
            let mut response = refuse(
                StatusCode::GATEWAY_TIMEOUT,
                "unknown",
                format!(
                    "the outcome is unknown; retry the change with the same identifier: {error}"
                ),
            );
            set_retry_after(response.headers_mut(), CHANGE_RETRY_DELAY);
            response
        }
    }
}

/// An effective value of an agent that a change would alter.
#[derive(Serialize)]
struct PreviewLine {
    agent: String,
    name: SettingName,
    before: String,
    after: String,
}

/// Shows which effective values of agents a change would alter, without applying it.
pub(crate) async fn preview_change(
    State(state): State<Arc<EntryState>>,
    Json(change): Json<SettingsChange>,
) -> Response<Body> {
    let tree = state.tree();
    let next = match tree.with_change(&change) {
        Ok(next) => next,
        Err(ChangeRefusal::Invalid(findings)) => {
            return refuse_findings(StatusCode::UNPROCESSABLE_ENTITY, "bad-change", &findings);
        }
        Err(refusal) => return refuse(StatusCode::CONFLICT, "raced", refusal.to_string()),
    };
    let agents = state.scheduler().agents(state.clock.now());
    let mut lines = Vec::new();
    for view in &agents {
        let path = agent_path(view);
        for edit in &change.edits {
            let before = tree.effective(&path, edit.name).value;
            let after = next.effective(&path, edit.name).value;
            if before != after {
                lines.push(PreviewLine {
                    agent: view.agent.to_string(),
                    name: edit.name,
                    before,
                    after,
                });
            }
        }
    }
    Json(serde_json::json!({ "agents": agents.len(), "changes": lines })).into_response()
}

/// Lists the settings changes that are kept in the table, oldest first.
pub(crate) async fn show_history(State(state): State<Arc<EntryState>>) -> Response<Body> {
    match settings::history(&state).await {
        Ok(changes) => Json(changes).into_response(),
        Err(error) => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-history",
            error.to_string(),
        ),
    }
}

/// An agent, as shown to operators.
#[derive(Serialize)]
struct AgentLine {
    agent: String,
    path: String,
    address: String,
    incarnation: u64,
    capacity: String,
    free: String,
    outstanding: u32,
    settings_version: u64,
    in_service: bool,
    draining: bool,
    heard: bool,
}

/// Lists the agents that have registered with this entry.
pub(crate) async fn list_agents(State(state): State<Arc<EntryState>>) -> impl IntoResponse {
    let agents = state.scheduler().agents(state.clock.now());
    let tree = state.tree();
    let lines: Vec<AgentLine> = agents
        .iter()
        .map(|view| AgentLine {
            agent: view.agent.to_string(),
            path: agent_path(view).to_string(),
            address: view.address.clone(),
            incarnation: view.incarnation.get(),
            capacity: view.capacity.to_string(),
            free: view.free.to_string(),
            outstanding: view.outstanding,
            settings_version: settings::agent_version(&state, &tree, view).get(),
            in_service: view.is_open,
            draining: view.is_draining,
            heard: view.is_reachable,
        })
        .collect();
    Json(lines)
}

/// State of an entry, as shown to operators.
#[derive(Serialize)]
struct EntryStatus {
    entry: String,
    incarnation: u64,
    version: &'static str,
    settings_version: u64,
    agents: usize,
    partitions: Vec<u16>,
    waiting_tasks: usize,
    in_progress: usize,
    store_reads: u64,
    store_writes: u64,
    hold_millis: u64,
    entries: Vec<String>,
}

/// Shows the state of this entry.
pub(crate) async fn show_status(State(state): State<Arc<EntryState>>) -> impl IntoResponse {
    let (store_reads, store_writes) = state.store.operation_counts();
    let entries = other_entries(&state)
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    let scheduler = state.scheduler();
    Json(EntryStatus {
        entry: state.config.id.to_string(),
        incarnation: state.incarnation.get(),
        version: env!("CARGO_PKG_VERSION"),
        settings_version: state.tree().version().get(),
        agents: scheduler.agents(state.clock.now()).len(),
        partitions: scheduler
            .owned_partitions()
            .map(|(partition, _)| partition.get())
            .collect(),
        waiting_tasks: scheduler.waiting_count(),
        in_progress: state.in_progress(),
        store_reads,
        store_writes,
        hold_millis: scheduler.poll_timeout().as_millis() as u64,
        entries,
    })
}

/// Shows the timeline of this entry.
pub(crate) async fn show_timeline(State(state): State<Arc<EntryState>>) -> Json<TimelinePage> {
    Json(state.timeline.page())
}

/// Reports to the load balancer whether this entry accepts requests.
pub(crate) async fn show_ready(State(state): State<Arc<EntryState>>) -> (StatusCode, &'static str) {
    if state.lifecycle.is_serving() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
