//! Requests that must run at most once.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use http_body_util::BodyExt;
use turmeric_types::{IdempotencyKey, RefusalProof, RequestId, RequestOutcome};

use super::answer::{RETRY_BASE, home_silent, not_run, spread, unknown};
use super::attempts::{ServeResult, run_attempts};
use super::body::RequestBody;
use super::claim::{self, ClaimOutcome};
use super::dispatch::AttemptPlan;
use super::state::EntryState;
use crate::agent::{ClaimAnswer, KeyOutcome};
use crate::headers;
use crate::http::{header_text, refuse, set_header, set_retry_after};

/// Answers whose body is at most this long are kept by the key's home.
const KEPT_ANSWER_BYTES: u64 = 32 << 10;

/// Serves a request that must run at most once.
pub(super) async fn serve_keyed(
    state: &Arc<EntryState>,
    plan: AttemptPlan,
    key: IdempotencyKey,
    print: u64,
    body: RequestBody,
) -> Response<Body> {
    let claimant = plan.request;
    match claim::claim(state, key, print, claimant).await {
        ClaimOutcome::Decided(ClaimAnswer::Granted) => {}
        ClaimOutcome::Decided(answer) => return decided_answer(state, answer),
        ClaimOutcome::NoHome => return home_silent(state, "no key homes are set"),
        // A grant that was lost on the way belongs to this attempt alone,
        // which sends nothing.
        ClaimOutcome::NotSent | ClaimOutcome::Unknown => {
            return home_silent(state, "the home of the key does not answer");
        }
    }
    let result = run_attempts(state, plan, body).await;
    record_outcome(state, key, claimant, result).await
}

/// Tells the key's home what became of the request, then answers.
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
        RequestOutcome::Answered(response) => record_answer(state, key, claimant, response).await,
    }
}

async fn record_answer(
    state: &Arc<EntryState>,
    key: IdempotencyKey,
    claimant: RequestId,
    response: Response<Body>,
) -> Response<Body> {
    let length =
        header_text(response.headers(), "content-length").and_then(|text| text.parse::<u64>().ok());
    if length.is_none_or(|length| length > KEPT_ANSWER_BYTES) {
        claim::record(state, key, claimant, KeyOutcome::Spent).await;
        return response;
    }
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        claim::record(state, key, claimant, KeyOutcome::Spent).await;
        return unknown("the answer was cut");
    };
    let bytes = collected.to_bytes();
    let outcome = KeyOutcome::Answered {
        status: parts.status.as_u16(),
        body: bytes.to_vec(),
    };
    // The answer does not wait for its record.
    let (state, body) = (state.clone(), Body::from(bytes));
    tokio::spawn(async move { claim::record(&state, key, claimant, outcome).await });
    Response::from_parts(parts, body)
}

/// Answers a request whose key was used before, or cannot be used.
fn decided_answer(state: &EntryState, answer: ClaimAnswer) -> Response<Body> {
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
                "the key is too old; whether it was used is not known any more",
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
                "the home of the key keeps as many keys as it can",
            )
        }
    }
}
