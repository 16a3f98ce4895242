//! Forwards callers' requests to the leader while this entry cannot reach the store.
//!
//! The leader can reach the store, or another entry soon takes over. A job's row is written
//! at most once, however often the request is tried, so a request may be forwarded even if
//! its outcome at this entry is unknown.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use spdlog::info;
use turmeric_jobs::DeliveryOutcome;

use crate::http::{HttpClient, new_client};

/// Header of a request that another entry forwarded; it is not forwarded again.
const FORWARDED_HEADER: &str = "x-turmeric-forwarded";

/// Timeout of a forwarded request: two attempts at the store and the round trip.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2000);

/// Maximum size of the leader's response body, in bytes; phases and counts are short.
const ANSWER_LIMIT: usize = 64 << 10;

/// Maximum number of idle connections to the leader.
const IDLE_CONNECTIONS: usize = 4;

/// The parts of a request that are forwarded.
#[derive(Clone, Debug)]
pub(crate) struct ForwardPlan {
    pub(crate) method: Method,
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Result of forwarding a request.
#[derive(Debug)]
pub(crate) enum ForwardResult {
    /// The leader answered.
    Answered(Response<Body>),
    /// The request was not sent.
    NotSent,
    /// No complete response arrived; the leader may have carried out the request.
    Unknown,
}

/// Client that forwards requests to the leader.
pub(crate) struct LeaderForward {
    client: HttpClient,
}

impl LeaderForward {
    /// Creates a client without connections.
    pub(crate) fn new() -> Self {
        Self {
            client: new_client(IDLE_CONNECTIONS),
        }
    }

    /// Returns whether another entry forwarded this request.
    pub(crate) fn is_forwarded(request: &Request<Body>) -> bool {
        request.headers().contains_key(FORWARDED_HEADER)
    }

    /// Forwards a request to the entry at `leader` and reads its whole response.
    pub(crate) async fn send(&self, leader: SocketAddr, plan: ForwardPlan) -> ForwardResult {
        let request = Request::builder()
            .method(plan.method)
            .uri(format!("http://{leader}{}", plan.path))
            .header(header::HOST, plan.host)
            .header(header::CONTENT_TYPE, "application/json")
            .header(FORWARDED_HEADER, "1")
            .body(Body::from(plan.body));
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                info!("building a forwarded request failed", kv: { reason = error.to_string() });
                return ForwardResult::NotSent;
            }
        };
        match tokio::time::timeout(FORWARD_TIMEOUT, self.exchange(request)).await {
            Ok(end) => end,
            Err(_) => ForwardResult::Unknown,
        }
    }

    async fn exchange(&self, request: Request<Body>) -> ForwardResult {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return ForwardResult::NotSent,
            Err(error) => {
                info!("leader did not answer a forwarded request", kv: {
                    reason = error.to_string()
                });
                return ForwardResult::Unknown;
            }
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = Limited::new(body, ANSWER_LIMIT).collect().await else {
            return ForwardResult::Unknown;
        };
        let mut answer = Response::new(Body::from(body.to_bytes()));
        *answer.status_mut() = parts.status;
        for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
            if let Some(value) = parts.headers.get(&name) {
                answer.headers_mut().insert(name, HeaderValue::clone(value));
            }
        }
        ForwardResult::Answered(answer)
    }
}

impl ForwardResult {
    /// Returns what this result tells about the outcome of the request.
    pub(crate) fn outcome(&self) -> DeliveryOutcome {
        match self {
            Self::Answered(response) => outcome_of(response.status()),
            Self::NotSent => DeliveryOutcome::Refused,
            Self::Unknown => DeliveryOutcome::Unknown,
        }
    }
}

/// Returns what a response status tells about the outcome of a request.
pub(crate) fn outcome_of(status: StatusCode) -> DeliveryOutcome {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => DeliveryOutcome::Refused,
        status if status.is_server_error() => DeliveryOutcome::Unknown,
        _ => DeliveryOutcome::Answered,
    }
}
