//! HTTP clients and answers that both roles use.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use axum::response::IntoResponse;
use axum::serve::ListenerExt;
use axum::{Json, Router};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use turmeric_types::FindingList;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections are dropped after this time, so that one which went
/// silent unnoticed is seldom used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest JSON answer that is read.
const JSON_LIMIT_BYTES: usize = 16 << 20;

/// Serves `router`; small answers are sent without delay.
pub(crate) async fn serve(
    listener: tokio::net::TcpListener,
    router: Router,
) -> std::io::Result<()> {
    let listener = listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            spdlog::debug!("a connection keeps its delay: {error}");
        }
    });
    axum::serve(listener, router).await
}

pub(crate) type HttpClient = Client<HttpConnector, Body>;

/// Creates a client that keeps at most `idle` connections a host.
pub(crate) fn new_client(idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .build(connector)
}

/// A client whose connections can all be replaced at once.
///
/// A connection that went silent stays open, so the pool cannot tell it from
/// a good one. Replacing the client drops every idle connection.
pub(crate) struct RenewableClient {
    idle: usize,
    client: Mutex<Arc<HttpClient>>,
}

impl RenewableClient {
    pub(crate) fn new(idle: usize) -> Self {
        Self {
            idle,
            client: Mutex::new(Arc::new(new_client(idle))),
        }
    }

    pub(crate) fn get(&self) -> Arc<HttpClient> {
        self.client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the client, unless that was done since `seen` was taken.
    pub(crate) fn renew(&self, seen: &Arc<HttpClient>) {
        let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&client, seen) {
            *client = Arc::new(new_client(self.idle));
        }
    }
}

/// Why a JSON call gave no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No connection; nothing was sent.
    NotSent,
    /// The peer answered with another status.
    Status(StatusCode, String),
    /// No readable answer; the call may have taken effect.
    Unknown(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent => formatter.write_str("no connection"),
            Self::Status(status, text) => write!(formatter, "status {status}: {text}"),
            Self::Unknown(text) => write!(formatter, "no answer: {text}"),
        }
    }
}

/// Makes a JSON call to another process of the system.
pub(crate) async fn call_json<Q: Serialize, A: DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    body: &Q,
    timeout: Duration,
) -> Result<A, CallError> {
    let unknown = |error: &dyn std::fmt::Display| CallError::Unknown(error.to_string());
    let body = serde_json::to_vec(body).map_err(|error| unknown(&error))?;
    let request = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Body::from(body))
        .map_err(|error| unknown(&error))?;
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent
            } else {
                unknown(&error)
            }
        })?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), JSON_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| unknown(&error))?
            .to_bytes();
        if status != StatusCode::OK {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(CallError::Status(status, text));
        }
        serde_json::from_slice(&body).map_err(|error| unknown(&error))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(CallError::Unknown(format!("nothing within {timeout:?}"))))
}

/// An error as callers and operators get it.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    /// Stable code of the error.
    pub(crate) code: &'static str,
    /// What is wrong, for people.
    pub(crate) message: String,
    /// Mistakes in the input, each with its place.
    pub(crate) findings: Vec<ErrorFinding>,
}

/// One mistake in the input.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorFinding {
    pub(crate) place: String,
    pub(crate) message: String,
}

/// An answer that refuses, with a stable code.
pub(crate) fn refuse(
    status: StatusCode,
    code: &'static str,
    message: impl Into<String>,
) -> Response<Body> {
    let body = ErrorBody {
        code,
        message: message.into(),
        findings: Vec::new(),
    };
    (status, Json(body)).into_response()
}

/// An answer that lists all mistakes in the input.
pub(crate) fn refuse_findings(
    status: StatusCode,
    code: &'static str,
    findings: &FindingList,
) -> Response<Body> {
    let body = ErrorBody {
        code,
        message: findings.to_string(),
        findings: findings
            .iter()
            .map(|finding| ErrorFinding {
                place: finding.place.clone(),
                message: finding.message.clone(),
            })
            .collect(),
    };
    (status, Json(body)).into_response()
}

/// Sets a header from a value that is always plain text.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Tells the caller when to come back, in whole seconds and milliseconds.
pub(crate) fn set_retry_after(headers: &mut HeaderMap, term: Duration) {
    let millis = term.as_millis() as u64;
    set_header(headers, "retry-after", &millis.div_ceil(1000));
    set_header(headers, crate::headers::RETRY_AFTER_MILLIS, &millis);
}

/// Returns the text of a header.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "upgrade",
];

/// Copies the headers that are passed on, without those of turmericlb.
pub(crate) fn copy_headers(source: &HeaderMap, target: &mut HeaderMap) {
    for (name, value) in source {
        let is_dropped = HOP_HEADERS.contains(&name.as_str())
            || name.as_str().starts_with(crate::headers::PREFIX)
            || name == "host";
        if !is_dropped {
            target.append(name.clone(), value.clone());
        }
    }
}
