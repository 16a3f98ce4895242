//! Parses the head of a caller's request.

use std::time::Duration;

use axum::http::{HeaderMap, Method};
use turmeric_types::{CallerName, FindingList, IdempotencyKey, ServiceName};

use crate::headers;
use crate::http::header_text;

/// Timeout of a request that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest timeout that a caller may set, in milliseconds.
const TIMEOUT_LIMIT_MILLIS: u64 = 120_000;

/// Largest request body, in bytes.
pub(crate) const BODY_LIMIT_BYTES: u64 = 16 << 20;

/// Caller name of a request that sets none.
const ANONYMOUS_CALLER: &str = "anonymous";

/// The service, caller, timeout and idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) timeout: Duration,
    /// The key of a request that must run at most once.
    pub(crate) key: Option<IdempotencyKey>,
}

impl RequestHead {
    /// Parses the head of a request for `service`.
    ///
    /// # Errors
    ///
    /// Returns all invalid values together.
    pub(crate) fn read(
        service: &str,
        method: &Method,
        request_headers: &HeaderMap,
    ) -> Result<Self, FindingList> {
        let mut findings = FindingList::new();
        let service = findings.collect("service", service.parse::<ServiceName>());
        let caller = header_text(request_headers, headers::CALLER).unwrap_or(ANONYMOUS_CALLER);
        let caller = findings.collect(headers::CALLER, caller.parse::<CallerName>());
        let timeout = findings.collect(headers::TIMEOUT, read_timeout(request_headers));
        let key = findings.collect(headers::KEY, read_key(method, request_headers));
        findings.collect("content-length", check_length(request_headers));
        let head = || {
            Some(Self {
                service: service?,
                caller: caller?,
                timeout: timeout?,
                key: key?,
            })
        };
        let head = head();
        findings.into_result(head)
    }

    /// Returns whether the request may safely run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.key.is_none()
    }
}

fn read_timeout(request_headers: &HeaderMap) -> Result<Duration, String> {
    if !request_headers.contains_key(headers::TIMEOUT) {
        return Ok(DEFAULT_TIMEOUT);
    }
    let text = header_text(request_headers, headers::TIMEOUT).unwrap_or_default();
    match text.parse() {
        Ok(millis) if (1..=TIMEOUT_LIMIT_MILLIS).contains(&millis) => {
            Ok(Duration::from_millis(millis))
        }
        _ => Err(format!(
            "{text:?} is not a number of milliseconds from 1 to {TIMEOUT_LIMIT_MILLIS}"
        )),
    }
}

/// Parses the idempotency key; a request that is not idempotent must have one.
fn read_key(
    method: &Method,
    request_headers: &HeaderMap,
) -> Result<Option<IdempotencyKey>, String> {
    let is_declared = header_text(request_headers, headers::IDEMPOTENT) == Some("true");
    let is_idempotent = is_declared || method.is_idempotent();
    if !request_headers.contains_key(headers::KEY) {
        return if is_idempotent {
            Ok(None)
        } else {
            Err(format!(
                "no value; {method} may change something, so it needs a UUID of version 7, or {}: true",
                headers::IDEMPOTENT
            ))
        };
    }
    let text = header_text(request_headers, headers::KEY).unwrap_or_default();
    text.parse::<IdempotencyKey>()
        .map(Some)
        .map_err(|error| format!("{text:?}: {error}"))
}

fn check_length(request_headers: &HeaderMap) -> Result<(), String> {
    let Some(value) = request_headers.get("content-length") else {
        return Ok(());
    };
    match value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
    {
        Some(length) if length <= BODY_LIMIT_BYTES => Ok(()),
        _ => Err(format!("not a length of at most {BODY_LIMIT_BYTES} bytes")),
    }
}
