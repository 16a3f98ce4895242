//! Requests with an idempotency key, which must run at most once.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use http_body_util::BodyExt;
use turmeric_types::{IdempotencyKey, RefusalProof, RequestId, RequestOutcome};

use super::answer::{RETRY_BASE, home_unavailable, not_run, spread, unknown};
use super::attempts::{ServeResult, run_attempts};
use super::body::RequestBody;
use super::claim::{self, ClaimOutcome};
use super::dispatch::AttemptPlan;
use super::state::EntryState;
use crate::agent::{ClaimAnswer, KeyOutcome};
use crate::headers;
use crate::http::{header_text, refuse, set_header, set_retry_after};

/// Largest response body that the key's home agent stores.
const STORED_RESPONSE_LIMIT_BYTES: u64 = 32 << 10;

/// Serves a request that must run at most once.
pub(super) async fn serve_keyed(
    state: &Arc<EntryState>,
    plan: AttemptPlan,
    key: IdempotencyKey,
    fingerprint: u64,
    body: RequestBody,
) -> Response<Body> {
    let claimant = plan.request;
    match claim::claim(state, key, fingerprint, claimant).await {
        ClaimOutcome::Decided(ClaimAnswer::Granted) => {}
        ClaimOutcome::Decided(answer) => return decided_response(state, answer),
        ClaimOutcome::NoHome => return home_unavailable(state, "no key homes are set"),
        // A grant whose response was lost belongs to this attempt alone, and
        // this attempt sends nothing.
        ClaimOutcome::NotSent | ClaimOutcome::Unknown => {
            return home_unavailable(state, "the home agent of the key does not respond");
        }
    }
    let result = run_attempts(state, plan, body).await;
    record_outcome(state, key, claimant, result).await
}

/// Reports the outcome to the key's home agent and returns the final response.
async fn record_outcome(
    state: &Arc<EntryState>,
    key: IdempotencyKey,
    claimant: RequestId,
    result: ServeResult,
) -> Response<Body> {
    let ServeResult {
        outcome,
        retry_after,
        ..
    } = result;
    match outcome {
        RequestOutcome::NotRun(proof) => {
            claim::record(state, key, claimant, KeyOutcome::Released).await;
            not_run(proof, retry_after, "not run")
        }
        RequestOutcome::Unknown => {
            claim::record(state, key, claimant, KeyOutcome::Spent).await;
            unknown("the request may have run")
        }
        RequestOutcome::Answered(response) => record_response(state, key, claimant, response).await,
    }
}

/// Reports a response to the key's home agent, with its body if that is small enough.
async fn record_response(
    state: &Arc<EntryState>,
    key: IdempotencyKey,
    claimant: RequestId,
    response: Response<Body>,
) -> Response<Body> {
    let length =
        header_text(response.headers(), "content-length").and_then(|text| text.parse::<u64>().ok());
    if length.is_none_or(|length| length > STORED_RESPONSE_LIMIT_BYTES) {
        claim::record(state, key, claimant, KeyOutcome::Spent).await;
        return response;
    }
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        claim::record(state, key, claimant, KeyOutcome::Spent).await;
        return unknown("the response ended before it was complete");
    };
    let bytes = collected.to_bytes();
    let outcome = KeyOutcome::Answered {
        status: parts.status.as_u16(),
        body: bytes.to_vec(),
    };
    // The caller does not wait for the report to the home agent.
    let (state, body) = (state.clone(), Body::from(bytes));
    tokio::spawn(async move { claim::record(&state, key, claimant, outcome).await });
    Response::from_parts(parts, body)
}

/// Returns the response to a request whose key was used before or cannot be used.
fn decided_response(state: &EntryState, answer: ClaimAnswer) -> Response<Body> {
    match answer {
        ClaimAnswer::Answered { status, body } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut answer = (status, body).into_response();
            set_header(answer.headers_mut(), headers::OUTCOME, &"answered");
            answer
        }
        ClaimAnswer::Granted | ClaimAnswer::Unknown | ClaimAnswer::InProgress => {
            let mut answer = unknown("the key was used before, or may have been");
            let retry_after = spread(state, RETRY_BASE);
            set_retry_after(answer.headers_mut(), retry_after);
            answer
        }
        ClaimAnswer::Expired => {
            let mut answer = refuse(
                StatusCode::GONE,
                "key-expired",
                "the key has expired; whether it was used is no longer known",
            );
            set_header(answer.headers_mut(), headers::OUTCOME, &"unknown");
            answer
        }
        ClaimAnswer::Mismatch => refuse(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the key was used for a different request; this one did not run",
        ),
        ClaimAnswer::Future | ClaimAnswer::Malformed => refuse(
            StatusCode::BAD_REQUEST,
            "key-from-future",
            "the creation time in the key is in the future; check the caller's clock",
        ),
        ClaimAnswer::Full => {
            let retry_after = spread(state, RETRY_BASE * 5);
            not_run(
                RefusalProof::NeverSent,
                retry_after,
                "the home agent of the key stores as many keys as it can",
            )
        }
    }
}
