//! The agent as the home of idempotency keys.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use serde::{Deserialize, Serialize};
use turmeric_admission::{ClaimDecision, RecordedAnswer, RequestFingerprint};
use turmeric_types::{IdempotencyKey, RequestId};

use super::state::AgentState;
use crate::timeline::TimelineEvent;

/// An entry asks for the right to run the request with a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRequest {
    pub(crate) key: String,
    pub(crate) print: u64,
    pub(crate) request: RequestId,
}

/// The home's answer to a claim.
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

/// What became of a request with a granted key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub(crate) enum KeyOutcome {
    /// It ran and this was the answer.
    Answered { status: u16, body: Vec<u8> },
    /// It may have run, or the answer is too long to keep.
    Spent,
    /// It certainly did not run; the key may be claimed again.
    Released,
}

/// An entry tells what became of a request with a granted key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OutcomeRequest {
    pub(crate) key: String,
    pub(crate) request: RequestId,
    pub(crate) outcome: KeyOutcome,
}

/// Decides on a claim.
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
        ClaimDecision::Mismatch => "used for another request",
        ClaimDecision::Expired => "expired",
        ClaimDecision::Future => "from the future",
        ClaimDecision::Full => "no room",
    }
}

/// Records what became of a request.
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
