//! Final answers to callers.

use std::time::Duration;

use axum::body::Body;
use axum::http::{Response, StatusCode};
use turmeric_types::{RefusalProof, RequestOutcome};

use super::attempts::ServeResult;
use super::state::EntryState;
use crate::headers;
use crate::http::{refuse, set_header, set_retry_after};

/// When to come back if no endpoint said so, before the spread.
pub(super) const RETRY_BASE: Duration = Duration::from_millis(200);

/// Answers a request of which only this attempt is known not to run.
///
/// An earlier attempt with the same key may have run, so the outcome of the
/// request is unknown.
pub(super) fn home_silent(state: &EntryState, message: &str) -> Response<Body> {
    let mut answer = refuse(StatusCode::SERVICE_UNAVAILABLE, "home-silent", message);
    let retry_after = spread(state, RETRY_BASE);
    let answer_headers = answer.headers_mut();
    set_header(answer_headers, headers::OUTCOME, &"unknown");
    set_header(answer_headers, headers::ATTEMPT, &"not-run");
    set_retry_after(answer_headers, retry_after);
    answer
}

/// Spreads a time to come back over as much again.
pub(super) fn spread(state: &EntryState, base: Duration) -> Duration {
    base.mul_f64(1.0 + state.routes().next_unit())
}

pub(super) fn final_answer(result: ServeResult) -> Response<Body> {
    match result.outcome {
        RequestOutcome::Answered(response) => response,
        RequestOutcome::NotRun(proof) => not_run(proof, result.retry_after, "not run"),
        RequestOutcome::Unknown => unknown("the request may have run"),
    }
}

pub(super) fn not_run(proof: RefusalProof, retry_after: Duration, message: &str) -> Response<Body> {
    let mut answer = refuse(StatusCode::SERVICE_UNAVAILABLE, "not-run", message);
    let answer_headers = answer.headers_mut();
    set_header(answer_headers, headers::OUTCOME, &"not-run");
    set_header(answer_headers, headers::PROOF, &proof);
    set_retry_after(answer_headers, retry_after);
    answer
}

pub(super) fn unknown(message: &str) -> Response<Body> {
    let mut answer = refuse(StatusCode::GATEWAY_TIMEOUT, "unknown", message);
    set_header(answer.headers_mut(), headers::OUTCOME, &"unknown");
    answer
}
