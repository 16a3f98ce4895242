//! Serves callers' requests, from arrival to the final response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use turmeric_types::RefusalProof;

use super::answer::{RETRY_BASE, final_response, home_unavailable, not_run, spread};
use super::attempts::{new_request_id, run_attempts};
use super::body::read_body;
use super::claim;
use super::dispatch::AttemptPlan;
use super::keyed::serve_keyed;
use super::request::RequestHead;
use super::state::EntryState;
use crate::headers;
use crate::http::{header_text, refuse, refuse_findings, set_header};

/// Serves a request for a service.
pub(crate) async fn serve(
    State(state): State<Arc<EntryState>>,
    Path((service, _)): Path<(String, String)>,
    request: Request<Body>,
) -> Response<Body> {
    let progress = state.begin_request();
    let arrived_at = Instant::now();
    if state.refuses_requests.load(Ordering::SeqCst) {
        return if request.headers().contains_key(headers::KEY) {
            home_unavailable(&state, "the entry is stopping")
        } else {
            let retry_after = spread(&state, RETRY_BASE);
            not_run(
                RefusalProof::NeverSent,
                retry_after,
                "the entry is stopping",
            )
        };
    }
    let head = match RequestHead::read(&service, request.method(), request.headers()) {
        Ok(head) => head,
        Err(findings) => {
            state.metrics.count("request.bad");
            return refuse_findings(StatusCode::BAD_REQUEST, "bad-request", &findings);
        }
    };
    if !state.routes().has_service(&head.service) {
        return refuse(
            StatusCode::NOT_FOUND,
            "no-such-service",
            format!("no endpoint of {} has announced itself", head.service),
        );
    }
    let (parts, body) = request.into_parts();
    let body = match read_body(&parts.headers, body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let first_request = new_request_id();
    let path = forwarded_path(&parts.uri, &service);
    let fingerprint = claim::request_fingerprint(
        &parts.method,
        &parts.uri,
        header_text(&parts.headers, "content-length"),
    );
    let plan = AttemptPlan {
        request: first_request,
        method: parts.method,
        path,
        deadline: arrived_at + head.timeout,
        head,
        headers: parts.headers,
    };
    let mut response = match plan.head.key {
        Some(key) => serve_keyed(&state, plan, key, fingerprint, body).await,
        None => {
            let result = run_attempts(&state, plan, body).await;
            final_response(result)
        }
    };
    set_header(response.headers_mut(), headers::REQUEST, &first_request);
    let version = state.tree().version();
    set_header(response.headers_mut(), headers::VERSION, &version);
    state
        .metrics
        .time_micros("request", arrived_at.elapsed().as_micros() as u64);
    let (parts, body) = response.into_parts();
    let body = body.map_frame(move |frame| {
        // The request is in progress until its last byte is sent.
        let _in_progress = &progress;
        frame
    });
    Response::from_parts(parts, Body::new(body))
}

/// Returns the path and query after the service name.
fn forwarded_path(uri: &axum::http::Uri, service: &str) -> String {
    let whole = uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("/service/{service}");
    whole.strip_prefix(&prefix).unwrap_or("/").to_owned()
}
