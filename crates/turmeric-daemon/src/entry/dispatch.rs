//! One attempt to have a request served by one endpoint.

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

/// Time without an answer after which the agent is asked about the attempt.
const PROBE_PAUSE: Duration = Duration::from_millis(1000);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time by which an entry waits longer than the agent, whose own answer
/// says more.
const ANSWER_SLACK: Duration = Duration::from_millis(150);

/// What one attempt sends.
pub(crate) struct AttemptPlan {
    pub(crate) request: RequestId,
    pub(crate) method: Method,
    /// Path and query behind the service's name, with the first slash.
    pub(crate) path: String,
    pub(crate) head: RequestHead,
    pub(crate) headers: axum::http::HeaderMap,
    pub(crate) deadline: Instant,
}

/// What one attempt learned beside its outcome.
pub(crate) struct AttemptResult {
    pub(crate) outcome: RequestOutcome<Response<Body>>,
    /// When the agent asks to come back.
    pub(crate) retry_after: Option<Duration>,
    /// The endpoint's own time, in microseconds.
    pub(crate) service_micros: Option<f64>,
    /// Requests queued and running at the endpoint.
    pub(crate) load: Option<u32>,
    /// Whether the endpoint is to blame.
    pub(crate) is_failure: bool,
    /// Whether only the connection is to blame, which was replaced.
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

/// Sends the request to the agent of `link` and waits for the answer's head.
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
    let limit = tokio::time::sleep(remaining + ANSWER_SLACK);
    tokio::pin!(limit);
    let mut probe_at = tokio::time::Instant::now() + PROBE_PAUSE;
    let mut has_finished = false;
    loop {
        tokio::select! {
            answer = &mut exchange => return match answer {
                Ok(response) => read_answer(response.map(Body::new)),
                Err(error) if error.is_connect() => {
                    AttemptResult::not_run(RefusalProof::NeverSent, true)
                }
                Err(_) => settle_by_probe(state, link, plan).await,
            },
            () = tokio::time::sleep_until(probe_at) => {
                match probe(state, link, plan.request).await {
                    ProbeOutcome::Running => {
                        probe_at = tokio::time::Instant::now() + PROBE_PAUSE;
                    }
                    ProbeOutcome::Fenced(proof) => {
                        note_silent(state, link, plan.request);
                        link.client.renew(&client);
                        return AttemptResult {
                            is_connection_failure: true,
                            ..AttemptResult::not_run(proof, false)
                        };
                    }
                    // The answer may be on its way; it is lost if it has not
                    // come by the next probe.
                    ProbeOutcome::Finished if !has_finished => {
                        has_finished = true;
                        probe_at = tokio::time::Instant::now() + PROBE_PAUSE;
                    }
                    ProbeOutcome::Finished => {
                        note_silent(state, link, plan.request);
                        link.client.renew(&client);
                        return AttemptResult {
                            is_failure: false,
                            is_connection_failure: true,
                            ..AttemptResult::unknown()
                        };
                    }
                    ProbeOutcome::NoAnswer => {
                        // The agent cannot be reached on a new connection
                        // either; wait for the deadline or another probe.
                        probe_at = tokio::time::Instant::now() + PROBE_PAUSE;
                    }
                }
            }
            () = &mut limit => {
                link.client.renew(&client);
                return settle_by_probe(state, link, plan).await;
            }
        }
    }
}

fn note_silent(state: &EntryState, link: &AgentLink, request: RequestId) {
    state.timeline.add(
        TimelineEvent::new(
            "silent-connection",
            "the agent answers on a new connection only; the old ones are replaced",
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

fn read_answer(response: Response<Body>) -> AttemptResult {
    let answer_headers = response.headers();
    let number = |name| header_text(answer_headers, name).and_then(|text| text.parse::<u64>().ok());
    let load = number(headers::LOAD).map(|load| load as u32);
    let service_micros = number(headers::SERVICE_MICROS).map(|micros| micros as f64);
    let retry_after = number(headers::RETRY_AFTER_MILLIS).map(Duration::from_millis);
    let is_draining = answer_headers.contains_key(headers::DRAINING);
    let proof = header_text(answer_headers, headers::PROOF).and_then(read_proof);
    let (outcome, is_failure) = match (header_text(answer_headers, headers::OUTCOME), proof) {
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

/// Reads the proof that an agent gives with a refusal.
fn read_proof(text: &str) -> Option<RefusalProof> {
    let incarnation = text.strip_prefix("fenced-by-agent;incarnation=")?;
    Some(RefusalProof::FencedByAgent {
        incarnation: Incarnation::new(incarnation.parse().ok()?),
    })
}

enum ProbeOutcome {
    Fenced(RefusalProof),
    Running,
    Finished,
    NoAnswer,
}

/// Asks the agent, on a new connection, what became of an attempt.
async fn probe(state: &EntryState, link: &AgentLink, request: RequestId) -> ProbeOutcome {
    let uri = format!("http://{}/v1/requests/{request}/probe", link.address);
    let Ok(call) = Request::post(uri).body(Body::empty()) else {
        return ProbeOutcome::NoAnswer;
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, state.fresh_calls.request(call)).await;
    let Ok(Ok(response)) = answer else {
        return ProbeOutcome::NoAnswer;
    };
    let response = response.map(Body::new);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let proof = header_text(response.headers(), headers::PROOF).and_then(read_proof);
        return proof.map_or(ProbeOutcome::NoAnswer, ProbeOutcome::Fenced);
    }
    match axum::body::to_bytes(response.into_body(), 64).await {
        Ok(body) if body.as_ref() == b"running" => ProbeOutcome::Running,
        Ok(body) if body.as_ref() == b"finished" => ProbeOutcome::Finished,
        _ => ProbeOutcome::NoAnswer,
    }
}

/// Learns whether an attempt that ended without an answer can still run.
async fn settle_by_probe(
    state: &EntryState,
    link: &AgentLink,
    plan: &AttemptPlan,
) -> AttemptResult {
    match probe(state, link, plan.request).await {
        ProbeOutcome::Fenced(proof) => AttemptResult::not_run(proof, true),
        ProbeOutcome::Running | ProbeOutcome::Finished | ProbeOutcome::NoAnswer => {
            AttemptResult::unknown()
        }
    }
}
