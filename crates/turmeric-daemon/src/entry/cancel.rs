//! Cancels jobs, including those owned by other entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use axum::response::IntoResponse;
use turmeric_types::{JobId, PartitionId};

use super::jobs::{DURABLE_TIMEOUT, FORWARD_TIMEOUT, OWNER_RETRY, no_owner, outcome_unknown};
use super::operator::other_entries;
use super::state::EntryState;
use crate::http::refuse;

/// Header that marks a call forwarded by another entry.
const FORWARDED: &str = "turmeric-forwarded";

/// Header that lists the partitions in which an entry has searched for a job.
const SEARCHED: &str = "turmeric-searched";

/// The result of a cancellation at this entry.
enum LocalSearch {
    /// This entry owns the job; this is the response.
    Found(Response<Body>),
    /// The job is in none of the partitions that this entry owns.
    NotHere(BTreeSet<PartitionId>),
}

/// Cancels the tasks of a job.
pub(crate) async fn cancel(
    State(state): State<Arc<EntryState>>,
    Path(job): Path<String>,
    headers: HeaderMap,
) -> Response<Body> {
    let Ok(job) = job.parse::<JobId>() else {
        return refuse(
            StatusCode::BAD_REQUEST,
            "bad-job",
            "not the identifier of a job",
        );
    };
    match cancel_here(&state, job).await {
        LocalSearch::Found(answer) => answer,
        LocalSearch::NotHere(searched) if headers.contains_key(FORWARDED) => not_here(&searched),
        LocalSearch::NotHere(searched) => cancel_elsewhere(&state, job, searched).await,
    }
}

/// Cancels the job if this entry owns it, and waits until that is durable.
async fn cancel_here(state: &Arc<EntryState>, job: JobId) -> LocalSearch {
    let limit = state.clock.now().after(DURABLE_TIMEOUT);
    loop {
        let written = state.written.notified();
        let cancelled = {
            let mut scheduler = state.scheduler();
            let cancelled = scheduler.cancel(job, state.clock.wall());
            let partitions = scheduler.owned_partitions().map(|(owned, _)| owned);
            cancelled.ok_or_else(|| partitions.collect())
        };
        match cancelled {
            Err(searched) => return LocalSearch::NotHere(searched),
            Ok(0) => {
                let body = serde_json::json!({ "job": job });
                return LocalSearch::Found(Json(body).into_response());
            }
            Ok(_) => {
                state.wake_writers();
                let remaining = limit.since(state.clock.now());
                if remaining.is_zero() {
                    return LocalSearch::Found(outcome_unknown());
                }
                let _ = tokio::time::timeout(remaining.min(OWNER_RETRY), written).await;
            }
        }
    }
}

/// Asks the other entries, one of which may own the job.
///
/// Reports that there is no such job only if every partition was searched: a
/// partition that moves from one entry to another is owned by neither.
async fn cancel_elsewhere(
    state: &EntryState,
    job: JobId,
    mut searched: BTreeSet<PartitionId>,
) -> Response<Body> {
    for address in other_entries(state) {
        let Some(response) = ask_entry(state, address, job).await else {
            return outcome_unknown();
        };
        if response.status() != StatusCode::NOT_FOUND {
            return response;
        }
        searched.extend(read_searched(response.headers()));
    }
    if PartitionId::all().all(|partition| searched.contains(&partition)) {
        return no_such_job();
    }
    no_owner()
}

/// Returns the response of another entry, or [`None`] if it gave none.
async fn ask_entry(state: &EntryState, address: SocketAddr, job: JobId) -> Option<Response<Body>> {
    let call = Request::builder()
        .method(Method::DELETE)
        .uri(format!("http://{address}/v1/jobs/{job}"))
        .header(FORWARDED, "true")
        .body(Body::empty())
        .ok()?;
    let answer = tokio::time::timeout(FORWARD_TIMEOUT, state.calls.request(call)).await;
    let response = answer.ok()?.ok()?;
    Some(response.map(Body::new))
}

fn no_such_job() -> Response<Body> {
    refuse(
        StatusCode::NOT_FOUND,
        "no-such-job",
        "no job of this identifier is known; ended jobs are forgotten after three minutes",
    )
}

/// Returns the response that tells another entry which partitions were searched.
fn not_here(searched: &BTreeSet<PartitionId>) -> Response<Body> {
    let mut answer = no_such_job();
    let numbers: Vec<String> = searched.iter().map(PartitionId::to_string).collect();
    if let Ok(value) = HeaderValue::from_str(&numbers.join(",")) {
        answer.headers_mut().insert(SEARCHED, value);
    }
    answer
}

/// Parses the partitions that another entry has searched.
fn read_searched(headers: &HeaderMap) -> BTreeSet<PartitionId> {
    let text = headers
        .get(SEARCHED)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    text.split(',')
        .filter_map(|number| PartitionId::new(number.parse().ok()?))
        .collect()
}
