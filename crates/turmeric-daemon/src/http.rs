//! HTTP clients and responses that entries and agents share.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which idle connections are dropped, so that one which became
/// unresponsive unnoticed is rarely reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a JSON response, in bytes.
const JSON_LIMIT_BYTES: usize = 16 << 20;

/// Serves `router` with `TCP_NODELAY`, so that small responses are sent without delay.
pub(crate) async fn serve(
    listener: tokio::net::TcpListener,
    router: Router,
) -> std::io::Result<()> {
    let listener = listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            spdlog::debug!("cannot set TCP_NODELAY on an accepted connection: {error}");
        }
    });
    axum::serve(listener, router).await
}

/// A pooled HTTP client.
pub(crate) type HttpClient = Client<HttpConnector, Body>;

/// Creates a client that keeps at most `idle` idle connections per host.
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
/// An unresponsive connection stays open, so the pool cannot tell it from a working
/// one. Replacing the client drops every idle connection.
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

    /// Returns the current client.
    pub(crate) fn get(&self) -> Arc<HttpClient> {
        self.client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the client, unless it has been replaced since `seen` was returned.
    pub(crate) fn renew(&self, seen: &Arc<HttpClient>) {
        let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&client, seen) {
            *client = Arc::new(new_client(self.idle));
        }
    }
}

/// Why a JSON call returned no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The connection failed; nothing was sent.
    NotSent,
    /// The peer responded with a status other than 200, and this body.
    Status(StatusCode, String),
    /// There was no readable response; the call may have taken effect.
    Unknown(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent => formatter.write_str("cannot connect to the peer"),
            Self::Status(status, text) => {
                write!(formatter, "peer responded with status {status}: {text}")
            }
            Self::Unknown(text) => write!(formatter, "no readable response from the peer: {text}"),
        }
    }
}

/// Makes a JSON call to another process of the system.
///
/// # Errors
///
/// Returns whether the call was not sent, was refused, or may have taken effect.
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
        .unwrap_or_else(|_| Err(CallError::Unknown(format!("timed out after {timeout:?}"))))
}

/// Body of an error response to a caller or operator.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    /// Stable code of the error.
    pub(crate) code: &'static str,
    /// Description of the error, for people.
    pub(crate) message: String,
    /// Mistakes in the input, each with the flag, header or field that holds it.
    pub(crate) findings: Vec<ErrorFinding>,
}

/// One mistake in the input.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorFinding {
    pub(crate) place: String,
    pub(crate) message: String,
}

/// Returns an error response with a stable code.
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

/// Returns an error response that lists all mistakes in the input.
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

/// Sets a header; omits it if the value is not valid header text.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets the headers with the retry delay, in whole seconds (rounded up) and milliseconds.
pub(crate) fn set_retry_after(headers: &mut HeaderMap, delay: Duration) {
    let millis = delay.as_millis() as u64;
    set_header(headers, "retry-after", &millis.div_ceil(1000));
    set_header(headers, crate::headers::RETRY_AFTER_MILLIS, &millis);
}

/// Returns the text of a header, or [`None`] if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "upgrade",
];

/// Copies the headers to forward: all but `host`, hop-by-hop headers and those of
/// turmericlb.
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
