//! Requests that an entry forwards to the endpoint beside this agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Request, Response, StatusCode, Uri};
use axum::response::IntoResponse;
use http_body_util::BodyExt;
use turmeric_admission::{AdmitDecision, ProbeAnswer};
use turmeric_types::{CallerName, RefusalProof, RequestId, ServiceName};

use super::admission::SlotPermit;
use super::state::AgentState;
use crate::headers;
use crate::http::{copy_headers, header_text, set_header, set_retry_after};
use crate::timeline::TimelineEvent;

/// Delay after which to retry at an endpoint that accepts no requests.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Headers that an entry sets on a forwarded request.
struct ForwardHead {
    request: RequestId,
    caller: CallerName,
    service: ServiceName,
    timeout: Duration,
}

/// Reads the headers of a forwarded request; [`None`] if one is missing or malformed.
fn read_head(request_headers: &HeaderMap) -> Option<ForwardHead> {
    let text = |name| header_text(request_headers, name);
    Some(ForwardHead {
        request: text(headers::REQUEST)?.parse().ok()?,
        caller: text(headers::CALLER)?.parse().ok()?,
        service: text(headers::SERVICE)?.parse().ok()?,
        timeout: Duration::from_millis(text(headers::TIMEOUT)?.parse().ok()?),
    })
}

/// Marks an attempt as finished when its response has been sent or abandoned.
struct FinishGuard {
    state: Arc<AgentState>,
    request: RequestId,
    _permit: SlotPermit,
}

impl Drop for FinishGuard {
    fn drop(&mut self) {
        self.state.fence().finish(self.request);
    }
}

/// Admits a request and forwards it to the endpoint.
pub(crate) async fn forward(
    State(state): State<Arc<AgentState>>,
    request: Request<Body>,
) -> Response<Body> {
    let Some(head) = read_head(request.headers()) else {
        return (
            StatusCode::BAD_REQUEST,
            "request lacks the headers that an entry sets",
        )
            .into_response();
    };
    let arrived_at = Instant::now();
    match state.fence().admit(head.request, state.clock.wall()) {
        AdmitDecision::Admitted => {}
        AdmitDecision::Refused(proof) => {
            return not_run_response(&state, proof, UNAVAILABLE_RETRY_AFTER);
        }
        AdmitDecision::Duplicate => {
            return unknown_response("this attempt has arrived at the agent before");
        }
    }
    let Some(address) = open_endpoint(&state, &head.service) else {
        let proof = state.fence().refuse(head.request);
        return not_run_response(&state, proof, UNAVAILABLE_RETRY_AFTER);
    };
    let permit = match state.gate.acquire_slot(&head.caller, head.timeout).await {
        Ok(permit) => permit,
        Err(retry_after) => {
            let proof = state.fence().refuse(head.request);
            state.metrics.count("request.refused");
            state.timeline.add(
                TimelineEvent::new(
                    "refused",
                    "the request queue is full or its wait exceeds the deadline",
                )
                .with_request(head.request),
            );
            return not_run_response(&state, proof, retry_after);
        }
    };
    forward_to_endpoint(&state, head, address, arrived_at, permit, request).await
}

/// Returns the address of the endpoint if it accepts new requests of the service.
fn open_endpoint(state: &AgentState, service: &ServiceName) -> Option<SocketAddr> {
    if state.lifecycle.is_draining() {
        return None;
    }
    let endpoint = state.endpoint();
    endpoint
        .open_at(state.clock.now())
        .filter(|endpoint| endpoint.service == *service)
        .map(|endpoint| endpoint.address)
}

async fn forward_to_endpoint(
    state: &Arc<AgentState>,
    head: ForwardHead,
    address: SocketAddr,
    arrived_at: Instant,
    permit: SlotPermit,
    request: Request<Body>,
) -> Response<Body> {
    let Ok(outgoing) = build_outgoing(address, request) else {
        let proof = state.fence().refuse(head.request);
        return not_run_response(state, proof, UNAVAILABLE_RETRY_AFTER);
    };
    let client = state.endpoint_client.get();
    let started_at = Instant::now();
    let remaining = head.timeout.saturating_sub(arrived_at.elapsed());
    let mut guard = FinishGuard {
        state: state.clone(),
        request: head.request,
        _permit: permit,
    };
    match tokio::time::timeout(remaining, client.request(outgoing)).await {
        Ok(Ok(response)) => {
            let micros = started_at.elapsed().as_micros() as u64;
            guard._permit.set_service_micros(micros as f64);
            let outstanding = state.outstanding() as u32;
            state.watch().record_response(
                arrived_at.elapsed(),
                micros,
                outstanding,
                state.clock.now(),
            );
            forward_response(state, response.map(Body::new), micros, guard)
        }
        Ok(Err(error)) if error.is_connect() => {
            state.endpoint().set_draining();
            state.wake_polls();
            let proof = state.fence().refuse(head.request);
            not_run_response(state, proof, UNAVAILABLE_RETRY_AFTER)
        }
        Ok(Err(error)) => {
            state.timeline.add(
                TimelineEvent::new("endpoint-lost", error.to_string()).with_request(head.request),
            );
            unknown_response("the connection to the endpoint failed before a complete response")
        }
        Err(_) => {
            let latency = arrived_at.elapsed();
            state.watch().record_latency(latency, state.clock.now());
            // The connection may be unresponsive, so no other request may use it.
            state.endpoint_client.renew(&client);
            state.timeline.add(
                TimelineEvent::new(
                    "endpoint-silent",
                    "no response from the endpoint within the deadline",
                )
                .with_request(head.request),
            );
            unknown_response("no response from the endpoint within the deadline")
        }
    }
}

fn build_outgoing(
    address: SocketAddr,
    request: Request<Body>,
) -> Result<Request<Body>, axum::http::Error> {
    let (parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .strip_prefix("/forward")
        .unwrap_or("/");
    let uri: Uri = format!("http://{address}{path}").parse()?;
    let mut outgoing = Request::builder()
        .method(parts.method)
        .uri(uri)
        .body(body)?;
    copy_headers(&parts.headers, outgoing.headers_mut());
    for name in [headers::CALLER, "turmeric-test-tag"] {
        if let Some(value) = parts.headers.get(name) {
            outgoing.headers_mut().insert(name, value.clone());
        }
    }
    Ok(outgoing)
}

/// Returns the endpoint's response to the entry; the slot is released after its last
/// byte.
fn forward_response(
    state: &AgentState,
    response: Response<Body>,
    service_micros: u64,
    guard: FinishGuard,
) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let body = Body::new(body.map_frame(move |frame| {
        let _guard = &guard;
        frame
    }));
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    let response_headers = response.headers_mut();
    copy_headers(&parts.headers, response_headers);
    set_header(response_headers, headers::OUTCOME, &"answered");
    set_header(response_headers, headers::SERVICE_MICROS, &service_micros);
    set_header(response_headers, headers::LOAD, &state.outstanding());
    response
}

/// Builds the response for an attempt that certainly did not run.
fn not_run_response(
    state: &AgentState,
    proof: RefusalProof,
    retry_after: Duration,
) -> Response<Body> {
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, "request was not run").into_response();
    let response_headers = response.headers_mut();
    set_header(response_headers, headers::OUTCOME, &"not-run");
    set_header(response_headers, headers::PROOF, &proof);
    set_header(response_headers, headers::LOAD, &state.outstanding());
    set_retry_after(response_headers, retry_after);
    if state.lifecycle.is_draining() {
        set_header(response_headers, headers::DRAINING, &true);
    }
    response
}

/// Builds the response for an attempt that may have run.
fn unknown_response(text: &'static str) -> Response<Body> {
    let mut response = (StatusCode::GATEWAY_TIMEOUT, text).into_response();
    set_header(response.headers_mut(), headers::OUTCOME, &"unknown");
    response
}

/// Reports the state of an attempt to an entry that got no response, and fences the
/// attempt if it has not arrived.
pub(crate) async fn probe(
    State(state): State<Arc<AgentState>>,
    Path(request): Path<String>,
) -> Response<Body> {
    let Ok(request) = request.parse::<RequestId>() else {
        return (StatusCode::BAD_REQUEST, "malformed request identifier").into_response();
    };
    let probe = state.fence().probe(request, state.clock.wall());
    match probe {
        ProbeAnswer::Fenced(proof) => {
            state.timeline.add(
                TimelineEvent::new("fenced", "the attempt had not arrived at the agent")
                    .with_request(request),
            );
            not_run_response(&state, proof, UNAVAILABLE_RETRY_AFTER)
        }
        ProbeAnswer::Running => "running".into_response(),
        ProbeAnswer::Finished => "finished".into_response(),
    }
}
