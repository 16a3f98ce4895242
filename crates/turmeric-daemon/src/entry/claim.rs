//! Claims of idempotency keys at their home agents.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::{Method, Uri};
use turmeric_settings::{SettingName, SettingsPath, SettingsTree};
use turmeric_types::{IdempotencyKey, RequestId, stable_hash};

use super::state::EntryState;
use crate::agent::{ClaimAnswer, ClaimRequest, KeyOutcome, OutcomeRequest};
use crate::http::{CallError, call_json};

/// Timeout for the response of a home agent.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);

/// The result of claiming a key.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The home agent decided.
    Decided(ClaimAnswer),
    /// The claim never left this process, so nothing was granted.
    NotSent,
    /// The settings name no home agent for keys.
    NoHome,
    /// The home agent may have granted the key to this attempt, but the entry
    /// received no response.
    Unknown,
}

/// Returns the address of the home agent of a key under these settings.
///
/// Home agents are named by address: a VM that replaces another takes over its
/// address and answers "unknown" for keys that may be older than itself.
fn home_agent(tree: &SettingsTree, key: IdempotencyKey) -> Option<SocketAddr> {
    let homes = tree
        .effective(&SettingsPath::root(), SettingName::KeyHomes)
        .value;
    let homes: Vec<&str> = homes.split(',').filter(|home| !home.is_empty()).collect();
    if homes.is_empty() {
        return None;
    }
    let index = key.stable_hash() % homes.len() as u64;
    homes[index as usize].parse().ok()
}

/// Returns a fingerprint of the method, path, query and content length of a request.
pub(crate) fn request_fingerprint(method: &Method, uri: &Uri, length: Option<&str>) -> u64 {
    let parts = [
        method.as_str(),
        uri.path(),
        uri.query().unwrap_or(""),
        length.unwrap_or(""),
    ];
    stable_hash(parts.iter().flat_map(|part| part.bytes().chain([0])))
}

/// Claims a key for one attempt.
pub(crate) async fn claim(
    state: &EntryState,
    key: IdempotencyKey,
    fingerprint: u64,
    request: RequestId,
) -> ClaimOutcome {
    let Some(home) = home_agent(&state.tree(), key) else {
        return ClaimOutcome::NoHome;
    };
    let claim = ClaimRequest {
        key: key.to_string(),
        print: fingerprint,
        request,
    };
    // Resending a claim is safe: the home agent grants it again to the same attempt.
    let first = send_claim(state, home, &claim, false).await;
    match first {
        Err(CallError::Unknown(_)) => match send_claim(state, home, &claim, true).await {
            Ok(answer) => ClaimOutcome::Decided(answer),
            Err(_) => ClaimOutcome::Unknown,
        },
        Err(CallError::NotSent) => ClaimOutcome::NotSent,
        Err(CallError::Status(..)) => ClaimOutcome::Unknown,
        Ok(answer) => ClaimOutcome::Decided(answer),
    }
}

/// Sends a claim, on a new connection if `is_fresh` is set.
async fn send_claim(
    state: &EntryState,
    home: SocketAddr,
    claim: &ClaimRequest,
    is_fresh: bool,
) -> Result<ClaimAnswer, CallError> {
    let client = if is_fresh {
        &state.fresh_calls
    } else {
        &state.calls
    };
    call_json(client, home, "/v1/keys/claim", claim, CLAIM_TIMEOUT).await
}

/// Reports the outcome of a request to the home agent of its key.
///
/// If the report is lost, the key stays granted: later claims get "in progress"
/// and then "unknown", never a second attempt.
pub(crate) async fn record(
    state: &EntryState,
    key: IdempotencyKey,
    request: RequestId,
    outcome: KeyOutcome,
) {
    let Some(home) = home_agent(&state.tree(), key) else {
        return;
    };
    let report = OutcomeRequest {
        key: key.to_string(),
        request,
        outcome,
    };
    let result: Result<(), CallError> = call_json(
        &state.calls,
        home,
        "/v1/keys/record",
        &report,
        CLAIM_TIMEOUT,
    )
    .await;
    if let Err(error) = result {
        spdlog::debug!("the home agent of the key did not record the outcome: {error}", kv: {
            key = key.to_string(),
        });
    }
}
