//! One attempt to serve a request at one endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::http::{Method, Request, Response, StatusCode};
use turmeric_types::{Incarnation, RefusalProof, RequestId, RequestOutcome};

use super::request::RequestHead;
use super::routes::AgentLink;
use super::state::EntryState;
use crate::headers;
use crate::http::{copy_headers, header_text, set_header};
use crate::timeline::TimelineEvent;

/// Time without a response after which the entry probes the agent about the attempt.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Timeout for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that the entry waits beyond the request's deadline, because the agent's own
/// response to a timeout says more than the entry knows.
const RESPONSE_SLACK: Duration = Duration::from_millis(150);

/// What one attempt sends.
pub(crate) struct AttemptPlan {
    pub(crate) request: RequestId,
    pub(crate) method: Method,
    /// Path and query after the service name, including the leading slash.
    pub(crate) path: String,
    pub(crate) head: RequestHead,
    /// The headers of the caller's request.
    pub(crate) headers: axum::http::HeaderMap,
    pub(crate) deadline: Instant,
}

/// The outcome of one attempt and the load data that came with it.
pub(crate) struct AttemptResult {
    pub(crate) outcome: RequestOutcome<Response<Body>>,
    /// The retry delay that the agent asks for.
    pub(crate) retry_after: Option<Duration>,
    /// The service time that the endpoint reports, in microseconds.
    pub(crate) service_micros: Option<f64>,
    /// Requests queued and running at the endpoint.
    pub(crate) load: Option<u32>,
    /// Whether the attempt counts as a failure of the endpoint.
    pub(crate) is_failure: bool,
    /// Whether only the connection failed; it has been replaced.
    pub(crate) is_connection_failure: bool,
}

impl AttemptResult {
    fn not_run(proof: RefusalProof, is_failure: bool) -> Self {
        Self {
            outcome: RequestOutcome::NotRun(proof),
            retry_after: None,
            service_micros: None,
            load: None,
            is_failure,
            is_connection_failure: false,
        }
    }

    fn unknown() -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            retry_after: None,
            service_micros: None,
            load: None,
            is_failure: true,
            is_connection_failure: false,
        }
    }
}

/// Sends the request to the agent of `link` and waits for the head of the response.
pub(crate) async fn attempt(
    state: &Arc<EntryState>,
    link: &AgentLink,
    plan: &AttemptPlan,
    body: Body,
) -> AttemptResult {
    let remaining = plan.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return AttemptResult::not_run(RefusalProof::NeverSent, false);
    }
    let Some(request) = build_request(link, plan, remaining, body) else {
        return AttemptResult::not_run(RefusalProof::NeverSent, false);
    };
    let client = link.client.get();
    let mut exchange = Box::pin(client.request(request));
    let limit = tokio::time::sleep(remaining + RESPONSE_SLACK);
    tokio::pin!(limit);
    let mut probe_at = tokio::time::Instant::now() + PROBE_INTERVAL;
    let mut has_finished = false;
    loop {
        tokio::select! {
            answer = &mut exchange => return match answer {
                Ok(response) => read_response(response.map(Body::new)),
                Err(error) if error.is_connect() => {
                    AttemptResult::not_run(RefusalProof::NeverSent, true)
                }
                Err(_) => resolve_by_probe(state, link, plan).await,
            },
            () = tokio::time::sleep_until(probe_at) => {
                match probe(state, link, plan.request).await {
                    ProbeOutcome::Running => {
                        probe_at = tokio::time::Instant::now() + PROBE_INTERVAL;
                    }
                    ProbeOutcome::Fenced(proof) => {
                        record_unresponsive_connection(state, link, plan.request);
                        link.client.renew(&client);
                        return AttemptResult {
                            is_connection_failure: true,
                            ..AttemptResult::not_run(proof, false)
                        };
                    }
                    // The response may still arrive; it counts as lost if it has
                    // not arrived by the next probe.
                    ProbeOutcome::Finished if !has_finished => {
                        has_finished = true;
                        probe_at = tokio::time::Instant::now() + PROBE_INTERVAL;
                    }
                    ProbeOutcome::Finished => {
                        record_unresponsive_connection(state, link, plan.request);
                        link.client.renew(&client);
                        return AttemptResult {
                            is_failure: false,
                            is_connection_failure: true,
                            ..AttemptResult::unknown()
                        };
                    }
                    ProbeOutcome::NoResponse => {
                        // The agent is unreachable on a new connection too, so
                        // wait for the deadline or the next probe.
                        probe_at = tokio::time::Instant::now() + PROBE_INTERVAL;
                    }
                }
            }
            () = &mut limit => {
                link.client.renew(&client);
                return resolve_by_probe(state, link, plan).await;
            }
        }
    }
}

/// Records that the agent responds only on a new connection.
fn record_unresponsive_connection(state: &EntryState, link: &AgentLink, request: RequestId) {
    state.timeline.add(
        TimelineEvent::new(
            "silent-connection",
            "the agent responds only on a new connection; its old connections are replaced",
        )
        .with_request(request)
        .with_agent(&link.agent),
    );
}

fn build_request(
    link: &AgentLink,
    plan: &AttemptPlan,
    remaining: Duration,
    body: Body,
) -> Option<Request<Body>> {
    let uri = format!("http://{}/forward{}", link.address, plan.path);
    let mut request = Request::builder()
        .method(plan.method.clone())
        .uri(uri)
        .body(body)
        .ok()?;
    let target = request.headers_mut();
    copy_headers(&plan.headers, target);
    if let Some(tag) = plan.headers.get("turmeric-test-tag") {
        target.insert("turmeric-test-tag", tag.clone());
    }
    set_header(target, headers::REQUEST, &plan.request);
    set_header(target, headers::CALLER, &plan.head.caller);
    set_header(target, headers::SERVICE, &plan.head.service);
    set_header(target, headers::TIMEOUT, &remaining.as_millis());
    Some(request)
}

/// Reads the outcome and the load data from the headers of a response.
fn read_response(response: Response<Body>) -> AttemptResult {
    let response_headers = response.headers();
    let number =
        |name| header_text(response_headers, name).and_then(|text| text.parse::<u64>().ok());
    let load = number(headers::LOAD).map(|load| load as u32);
    let service_micros = number(headers::SERVICE_MICROS).map(|micros| micros as f64);
    let retry_after = number(headers::RETRY_AFTER_MILLIS).map(Duration::from_millis);
    let is_draining = response_headers.contains_key(headers::DRAINING);
    let proof = header_text(response_headers, headers::PROOF).and_then(read_proof);
    let (outcome, is_failure) = match (header_text(response_headers, headers::OUTCOME), proof) {
        (Some("answered"), _) => (RequestOutcome::Answered(response), false),
        (Some("not-run"), Some(proof)) => (RequestOutcome::NotRun(proof), is_draining),
        _ => (RequestOutcome::Unknown, true),
    };
    AttemptResult {
        outcome,
        retry_after,
        service_micros,
        load,
        is_failure,
        is_connection_failure: false,
    }
}

/// Parses the proof header that an agent sends with a refusal.
fn read_proof(text: &str) -> Option<RefusalProof> {
    let incarnation = text.strip_prefix("fenced-by-agent;incarnation=")?;
    Some(RefusalProof::FencedByAgent {
        incarnation: Incarnation::new(incarnation.parse().ok()?),
    })
}

/// The state of an attempt at its agent, as a probe finds it.
enum ProbeOutcome {
    /// The agent proves that the request has not run and never will.
    Fenced(RefusalProof),
    Running,
    Finished,
    /// The agent gave no usable response to the probe.
    NoResponse,
}

/// Asks the agent on a new connection for the state of an attempt.
async fn probe(state: &EntryState, link: &AgentLink, request: RequestId) -> ProbeOutcome {
    let uri = format!("http://{}/v1/requests/{request}/probe", link.address);
    let Ok(call) = Request::post(uri).body(Body::empty()) else {
        return ProbeOutcome::NoResponse;
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, state.fresh_calls.request(call)).await;
    let Ok(Ok(response)) = answer else {
        return ProbeOutcome::NoResponse;
    };
    let response = response.map(Body::new);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let proof = header_text(response.headers(), headers::PROOF).and_then(read_proof);
        return proof.map_or(ProbeOutcome::NoResponse, ProbeOutcome::Fenced);
    }
    match axum::body::to_bytes(response.into_body(), 64).await {
        Ok(body) if body.as_ref() == b"running" => ProbeOutcome::Running,
        Ok(body) if body.as_ref() == b"finished" => ProbeOutcome::Finished,
        _ => ProbeOutcome::NoResponse,
    }
}

/// Probes whether an attempt that ended without a response may have run or can still run.
async fn resolve_by_probe(
    state: &EntryState,
    link: &AgentLink,
    plan: &AttemptPlan,
) -> AttemptResult {
    match probe(state, link, plan.request).await {
        ProbeOutcome::Fenced(proof) => AttemptResult::not_run(proof, true),
        ProbeOutcome::Running | ProbeOutcome::Finished | ProbeOutcome::NoResponse => {
            AttemptResult::unknown()
        }
    }
}
