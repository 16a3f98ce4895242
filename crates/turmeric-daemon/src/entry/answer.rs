//! Final responses to callers.

use std::time::Duration;

use axum::body::Body;
use axum::http::{Response, StatusCode};
use turmeric_types::{RefusalProof, RequestOutcome};

use super::attempts::ServeResult;
use super::state::EntryState;
use crate::headers;
use crate::http::{refuse, set_header, set_retry_after};

/// Retry delay before jitter, used if no agent asked for another one.
pub(super) const RETRY_BASE: Duration = Duration::from_millis(200);

/// Returns the response to a keyed request whose current attempt did not run.
///
/// An earlier attempt with the same key may have run, so the outcome of the
/// request is unknown.
pub(super) fn home_unavailable(state: &EntryState, message: &str) -> Response<Body> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, "home-silent", message);
    let retry_after = spread(state, RETRY_BASE);
    let response_headers = response.headers_mut();
    set_header(response_headers, headers::OUTCOME, &"unknown");
    set_header(response_headers, headers::ATTEMPT, &"not-run");
    set_retry_after(response_headers, retry_after);
    response
}

/// Adds random jitter of up to 100 % to a retry delay.
pub(super) fn spread(state: &EntryState, base: Duration) -> Duration {
    base.mul_f64(1.0 + state.routes().next_unit())
}

/// Returns the response to a request without a key.
pub(super) fn final_response(result: ServeResult) -> Response<Body> {
    match result.outcome {
        RequestOutcome::Answered(response) => response,
        RequestOutcome::NotRun(proof) => not_run(proof, result.retry_after, "not run"),
        RequestOutcome::Unknown => unknown("the request may have run"),
    }
}

/// Returns the response to a request that is proven not to have run.
pub(super) fn not_run(proof: RefusalProof, retry_after: Duration, message: &str) -> Response<Body> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, "not-run", message);
    let response_headers = response.headers_mut();
    set_header(response_headers, headers::OUTCOME, &"not-run");
    set_header(response_headers, headers::PROOF, &proof);
    set_retry_after(response_headers, retry_after);
    response
}

/// Returns the response to a request that may or may not have run.
pub(super) fn unknown(message: &str) -> Response<Body> {
    let mut response = refuse(StatusCode::GATEWAY_TIMEOUT, "unknown", message);
    set_header(response.headers_mut(), headers::OUTCOME, &"unknown");
    response
}
