//! Registration of the endpoint beside an agent: heartbeats and deregistration.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::StatusCode;
use axum::routing::put;
use eyre::{Result, WrapErr};
use spdlog::{info, warn};
use tokio::net::TcpListener;
use turmeric_admission::ConnectionBudget;
use turmeric_platform::{RequestLimits, read_heartbeat};
use turmeric_types::MemorySize;

use super::agent::AgentState;
use crate::connections::{ConnectionHub, internal_budget, internal_limits, serve_limited};

/// Maximum size of a heartbeat that the platform lets an endpoint send, in bytes.
const HEARTBEAT_LIMIT: usize = 4 << 20;

/// Memory of all heartbeats that are being received: one endpoint registers, and a heartbeat
/// may arrive while an earlier one is processed.
const HEARTBEAT_MEMORY: MemorySize = MemorySize::new(16 << 20);

/// Accepts heartbeats and deregistrations on `address`.
pub(crate) async fn serve_registry(address: SocketAddr, state: Arc<AgentState>) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))?;
    let router = Router::new()
        .route(
            "/executors/{endpoint}",
            put(handle_heartbeat).delete(handle_deregistration),
        )
        .layer(DefaultBodyLimit::max(HEARTBEAT_LIMIT))
        .with_state(Arc::clone(&state));
    let limits = || RequestLimits {
        body_bytes: HEARTBEAT_LIMIT,
        ..internal_limits()
    };
    let budget = ConnectionBudget {
        memory: HEARTBEAT_MEMORY,
        ..internal_budget()
    };
    let connections = Arc::clone(&state.metrics.connections);
    let hub = ConnectionHub::new(budget, limits, state.clock, connections);
    tokio::spawn(serve_limited(
        listener,
        router,
        Arc::new(hub),
        std::future::pending(),
    ));
    Ok(())
}

async fn handle_heartbeat(
    State(state): State<Arc<AgentState>>,
    Path(endpoint): Path<String>,
    body: Bytes,
) -> StatusCode {
    let heartbeat = match read_heartbeat(&endpoint, &body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            warn!("heartbeat ignored", kv: { endpoint = endpoint, reason = error.to_string() });
            return StatusCode::BAD_REQUEST;
        }
    };
    state.apply_heartbeat(heartbeat);
    StatusCode::OK
}

/// Handles the deregistration of an endpoint, which has ended all of its attempts. A later
/// heartbeat starts a new incarnation.
async fn handle_deregistration(
    State(state): State<Arc<AgentState>>,
    Path(endpoint): Path<String>,
) -> StatusCode {
    info!("endpoint deregistered", kv: { endpoint = endpoint });
    state.record_deregistration(&endpoint);
    StatusCode::OK
}
