//! Bodies of requests: short ones are kept, long ones are passed on.

use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::request::BODY_LIMIT_BYTES;
use crate::http::{header_text, refuse};

/// Bodies up to this length are kept, so that they can be sent again.
const KEPT_BODY_BYTES: u64 = 256 << 10;

/// Longest wait for a short body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A body that can be sent once or several times.
pub(super) enum RequestBody {
    Kept(Bytes),
    Once(Option<Body>),
}

impl RequestBody {
    /// Returns the body for one more attempt.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) => Some(Body::from(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    pub(super) fn can_repeat(&self) -> bool {
        match self {
            Self::Kept(_) => true,
            Self::Once(body) => body.is_some(),
        }
    }
}

/// Reads a short body whole; a long one is passed on as it comes.
pub(super) async fn read_body(
    request_headers: &axum::http::HeaderMap,
    body: Body,
) -> Result<RequestBody, Response<Body>> {
    let length =
        header_text(request_headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    match length {
        Some(length) if length <= KEPT_BODY_BYTES => {
            let collected = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await;
            match collected {
                Ok(Ok(collected)) => Ok(RequestBody::Kept(collected.to_bytes())),
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
            Ok(RequestBody::Once(Some(Body::new(limited))))
        }
        _ => Ok(RequestBody::Kept(Bytes::new())),
    }
}
