//! Requests that an entry passes to the leader, its own path to the store being
//! lost.
//!
//! The leader's path works, or another entry would lead soon. A job's row is
//! written once whatever the number of tries, so that a request may be passed on
//! although its outcome here is not known.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use spdlog::info;
use turmeric_jobs::DeliveryOutcome;

use crate::http::{HttpClient, new_client};

/// Marks a request that another entry passed on; it is not passed on again.
const FORWARDED_HEADER: &str = "x-turmeric-forwarded";

/// Longest wait for the leader's answer: two tries at the store, and the way.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2000);

/// Longest answer that is read, in bytes; states and counts are short.
const ANSWER_LIMIT: usize = 64 << 10;

/// Idle connections kept to the leader.
const IDLE_CONNECTIONS: usize = 4;

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub(crate) struct ForwardPlan {
    pub(crate) method: Method,
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// What became of a request that was passed on.
#[derive(Debug)]
pub(crate) enum ForwardEnd {
    /// The leader answered.
    Answered(Response<Body>),
    /// It never left this process.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

/// Passes requests to the leader.
pub(crate) struct LeaderForward {
    client: HttpClient,
}

impl LeaderForward {
    pub(crate) fn new() -> Self {
        Self {
            client: new_client(IDLE_CONNECTIONS),
        }
    }

    /// Returns whether another entry passed this request on.
    pub(crate) fn is_forwarded(request: &Request<Body>) -> bool {
        request.headers().contains_key(FORWARDED_HEADER)
    }

    /// Passes a request to the entry at `leader` and reads its whole answer.
    pub(crate) async fn send(&self, leader: SocketAddr, plan: ForwardPlan) -> ForwardEnd {
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
                info!("request not passed on", kv: { reason = error.to_string() });
                return ForwardEnd::NotSent;
            }
        };
        match tokio::time::timeout(FORWARD_TIMEOUT, self.exchange(request)).await {
            Ok(end) => end,
            Err(_) => ForwardEnd::Unknown,
        }
    }

    async fn exchange(&self, request: Request<Body>) -> ForwardEnd {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return ForwardEnd::NotSent,
            Err(error) => {
                info!("leader did not answer", kv: { reason = error.to_string() });
                return ForwardEnd::Unknown;
            }
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = Limited::new(body, ANSWER_LIMIT).collect().await else {
            return ForwardEnd::Unknown;
        };
        let mut answer = Response::new(Body::from(body.to_bytes()));
        *answer.status_mut() = parts.status;
        for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
            if let Some(value) = parts.headers.get(&name) {
                answer.headers_mut().insert(name, HeaderValue::clone(value));
            }
        }
        ForwardEnd::Answered(answer)
    }
}

impl ForwardEnd {
    /// Returns what is known of the request.
    pub(crate) fn outcome(&self) -> DeliveryOutcome {
        match self {
            Self::Answered(response) => outcome_of(response.status()),
            Self::NotSent => DeliveryOutcome::Refused,
            Self::Unknown => DeliveryOutcome::Unknown,
        }
    }
}

/// Returns what a status says of a request.
pub(crate) fn outcome_of(status: StatusCode) -> DeliveryOutcome {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => DeliveryOutcome::Refused,
        status if status.is_server_error() => DeliveryOutcome::Unknown,
        _ => DeliveryOutcome::Answered,
    }
}
