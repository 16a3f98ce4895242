//! The agent as the home agent of idempotency keys: it decides which attempt may run a
//! request with a key.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use serde::{Deserialize, Serialize};
use turmeric_admission::{ClaimDecision, RecordedAnswer, RequestFingerprint};
use turmeric_types::{IdempotencyKey, RequestId};

use super::state::AgentState;
use crate::timeline::TimelineEvent;

/// An entry's claim of the right to run the request with a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRequest {
    pub(crate) key: String,
    pub(crate) print: u64,
    pub(crate) request: RequestId,
}

/// The home agent's response to a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub(crate) enum ClaimAnswer {
    Granted,
    InProgress,
    Answered { status: u16, body: Vec<u8> },
    Unknown,
    Mismatch,
    Expired,
    Future,
    Full,
    Malformed,
}

/// Outcome of a request with a granted key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub(crate) enum KeyOutcome {
    /// It ran, and this was the response.
    Answered { status: u16, body: Vec<u8> },
    /// It may have run, or the response is too long to keep.
    Spent,
    /// It certainly did not run, so the key may be claimed again.
    Released,
}

/// An entry's report of the outcome of a request with a granted key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OutcomeRequest {
    pub(crate) key: String,
    pub(crate) request: RequestId,
    pub(crate) outcome: KeyOutcome,
}

/// Decides whether the claiming attempt may run the request with the key.
pub(crate) async fn claim(
    State(state): State<Arc<AgentState>>,
    Json(claim): Json<ClaimRequest>,
) -> Json<ClaimAnswer> {
    let Ok(key) = claim.key.parse::<IdempotencyKey>() else {
        return Json(ClaimAnswer::Malformed);
    };
    let now = state.clock.wall();
    let decision = state
        .keys()
        .claim(key, RequestFingerprint(claim.print), claim.request, now);
    state.timeline.add(
        TimelineEvent::new("key-claim", format!("{key} {}", describe(&decision)))
            .with_request(claim.request),
    );
    Json(match decision {
        ClaimDecision::Granted => ClaimAnswer::Granted,
        ClaimDecision::InProgress => ClaimAnswer::InProgress,
        ClaimDecision::Answered(RecordedAnswer { status, body }) => {
            ClaimAnswer::Answered { status, body }
        }
        ClaimDecision::Unknown => ClaimAnswer::Unknown,
        ClaimDecision::Mismatch => ClaimAnswer::Mismatch,
        ClaimDecision::Expired => ClaimAnswer::Expired,
        ClaimDecision::Future => ClaimAnswer::Future,
        ClaimDecision::Full => ClaimAnswer::Full,
    })
}

fn describe(decision: &ClaimDecision) -> &'static str {
    match decision {
        ClaimDecision::Granted => "granted",
        ClaimDecision::InProgress => "in progress",
        ClaimDecision::Answered(_) => "answered",
        ClaimDecision::Unknown => "unknown",
        ClaimDecision::Mismatch => "key used for another request",
        ClaimDecision::Expired => "expired",
        ClaimDecision::Future => "key dated in the future",
        ClaimDecision::Full => "key ledger is full",
    }
}

/// Records the outcome of a request with a granted key.
pub(crate) async fn record(
    State(state): State<Arc<AgentState>>,
    Json(report): Json<OutcomeRequest>,
) -> Json<()> {
    if let Ok(key) = report.key.parse::<IdempotencyKey>() {
        let mut keys = state.keys();
        match report.outcome {
            KeyOutcome::Answered { status, body } => {
                let answer = RecordedAnswer { status, body };
                keys.record(key, report.request, Some(answer));
            }
            KeyOutcome::Spent => keys.record(key, report.request, None),
            KeyOutcome::Released => keys.release(key, report.request),
        }
    }
    Json(())
}
