//! Heartbeats of the endpoint beside an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::put;
use eyre::{Result, WrapErr};
use spdlog::{info, warn};
use tokio::net::TcpListener;
use turmeric_platform::read_heartbeat;

use super::agent::AgentState;

/// Serves the heartbeats on `address`.
pub(crate) async fn serve_registry(address: SocketAddr, state: Arc<AgentState>) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))?;
    let router = Router::new()
        .route("/executors/{endpoint}", put(beat).delete(leave))
        .with_state(state);
    tokio::spawn(axum::serve(listener, router).into_future());
    Ok(())
}

async fn beat(
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
    state.take_heartbeat(heartbeat);
    StatusCode::OK
}

/// An endpoint that leaves has ended all that it ran; its next heartbeat, if
/// there is one, begins a new life.
async fn leave(State(state): State<Arc<AgentState>>, Path(endpoint): Path<String>) -> StatusCode {
    info!("endpoint left", kv: { endpoint = endpoint });
    state.endpoint_left(&endpoint);
    StatusCode::OK
}
