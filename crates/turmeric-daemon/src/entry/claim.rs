//! Claims of idempotency keys at their homes.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::{Method, Uri};
use turmeric_settings::{SettingName, SettingsPath, SettingsTree};
use turmeric_types::{IdempotencyKey, RequestId, stable_hash};

use super::state::EntryState;
use crate::agent::{ClaimAnswer, ClaimRequest, KeyOutcome, OutcomeRequest};
use crate::http::{CallError, call_json};

/// Longest wait for the answer of a home.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);

/// What an entry learns of a key.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The home decided.
    Decided(ClaimAnswer),
    /// The claim never left this process, so nothing was granted.
    NotSent,
    /// No home is set for keys.
    NoHome,
    /// The home may have granted the key to this attempt, which gave up.
    Unknown,
}

/// Returns the home of a key under these settings.
///
/// A home is an address: a VM that replaces another takes its address over
/// and answers "unknown" to keys that may be older than itself.
fn home_of(tree: &SettingsTree, key: IdempotencyKey) -> Option<SocketAddr> {
    let homes = tree
        .effective(&SettingsPath::root(), SettingName::KeyHomes)
        .value;
    let homes: Vec<&str> = homes.split(',').filter(|home| !home.is_empty()).collect();
    if homes.is_empty() {
        return None;
    }
    let place = key.stable_hash() % homes.len() as u64;
    homes[place as usize].parse().ok()
}

/// Returns a digest that differs between requests that differ.
pub(crate) fn request_print(method: &Method, uri: &Uri, length: Option<&str>) -> u64 {
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
    print: u64,
    request: RequestId,
) -> ClaimOutcome {
    let Some(home) = home_of(&state.tree(), key) else {
        return ClaimOutcome::NoHome;
    };
    let claim = ClaimRequest {
        key: key.to_string(),
        print,
        request,
    };
    // A claim may be sent again: the home grants it to the same attempt.
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

/// Tells the home what became of the request.
///
/// A report that is lost leaves the key granted, and asking again gives
/// "in progress" and later "unknown", never a second run.
pub(crate) async fn record(
    state: &EntryState,
    key: IdempotencyKey,
    request: RequestId,
    outcome: KeyOutcome,
) {
    let Some(home) = home_of(&state.tree(), key) else {
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
        spdlog::debug!("the home of a key did not take its outcome: {error}", kv: {
            key = key.to_string(),
        });
    }
}
