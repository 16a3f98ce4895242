//! Request bodies: short ones are buffered for retries, long ones are streamed.

use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::request::BODY_LIMIT_BYTES;
use crate::http::{header_text, refuse};

/// Longest body that is buffered so that it can be sent again, in bytes.
const BUFFERED_BODY_LIMIT_BYTES: u64 = 256 << 10;

/// Timeout for receiving a short body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A body that can be sent once or several times.
pub(super) enum RequestBody {
    Buffered(Bytes),
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Returns the body for one more attempt, or [`None`] if it cannot be sent again.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns whether the body can be sent in one more attempt.
    pub(super) fn can_repeat(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.is_some(),
        }
    }
}

/// Buffers a short body; a long one, or one without a length, is streamed.
pub(super) async fn read_body(
    request_headers: &axum::http::HeaderMap,
    body: Body,
) -> Result<RequestBody, Response<Body>> {
    let length =
        header_text(request_headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    match length {
        Some(length) if length <= BUFFERED_BODY_LIMIT_BYTES => {
            let collected = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await;
            match collected {
                Ok(Ok(collected)) => Ok(RequestBody::Buffered(collected.to_bytes())),
                Ok(Err(error)) => Err(refuse(
                    StatusCode::BAD_REQUEST,
                    "body-cut",
                    format!("the body ended early: {error}"),
                )),
                Err(_) => Err(refuse(
                    StatusCode::REQUEST_TIMEOUT,
                    "body-slow",
                    format!("the body did not arrive within {BODY_TIMEOUT:?}"),
                )),
            }
        }
        // The limit also holds for bodies without a length.
        _ if request_headers.contains_key("content-length")
            || request_headers.contains_key("transfer-encoding") =>
        {
            let limited = Limited::new(body, BODY_LIMIT_BYTES as usize);
            Ok(RequestBody::Streamed(Some(Body::new(limited))))
        }
        _ => Ok(RequestBody::Buffered(Bytes::new())),
    }
}
