//! HTTP client for the platform's table service and object store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::{RowChange, RowTag, StoreError, TableRow};

/// Timeout of a request to the platform's services, including the response body.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after which an idle connection is closed, so that a connection whose
/// peer stopped responding is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to the platform's table service and object store.
#[derive(Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Deserialize)]
struct TransactionResponse {
    tags: Vec<RowTag>,
}

#[derive(Deserialize)]
struct ConflictResponse {
    key: String,
}

impl PlatformClient {
    /// Creates a client for the services at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build_http();
        Self {
            client,
            address,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        }
    }

    /// Returns the numbers of table reads and table writes that this client has sent.
    pub fn operation_counts(&self) -> (u64, u64) {
        (
            self.reads.load(Ordering::Relaxed),
            self.writes.load(Ordering::Relaxed),
        )
    }

    /// Reads all rows whose key starts with `prefix` and comes after `after`.
    ///
    /// Rows are sorted by key. With an empty `after`, all rows with the prefix
    /// are returned.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]; a read changes nothing and may be retried.
    pub async fn list_rows(&self, prefix: &str, after: &str) -> Result<Vec<TableRow>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/rows?prefix={prefix}&after={after}");
        let body = self.send(Method::GET, &path, Bytes::new()).await?;
        parse_json(&body)
    }

    /// Applies `changes` atomically: either all of them or none.
    ///
    /// Returns the new tags of the written rows, in the order of the
    /// [`RowChange::Put`] entries.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Unknown`] the changes may have been applied; the
    /// caller must read the rows to find out.
    pub async fn apply_changes(&self, changes: &[RowChange]) -> Result<Vec<RowTag>, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::to_vec(changes).map_err(|error| StoreError::Malformed {
            message: error.to_string(),
        })?;
        let body = self
            .send(Method::POST, "/v1/transaction", body.into())
            .await?;
        parse_json::<TransactionResponse>(&body).map(|response| response.tags)
    }

    /// Stores an object; storing the same bytes again has no further effect.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]; the call may be retried.
    pub async fn put_object(&self, name: &str, content: Vec<u8>) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{name}");
        self.send(Method::PUT, &path, content.into())
            .await
            .map(|_| ())
    }

    /// Reads an object; returns [`None`] if no object has this name.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/objects/{name}");
        match self.send_raw(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => check_status(status, body).map(Some),
        }
    }

    /// Deletes the object with this name, if it exists.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]; the call may be retried.
    pub async fn delete_object(&self, name: &str) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{name}");
        self.send(Method::DELETE, &path, Bytes::new())
            .await
            .map(|_| ())
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, StoreError> {
        let (status, body) = self.send_raw(method, path, body).await?;
        check_status(status, body)
    }

    async fn send_raw(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Malformed {
                message: error.to_string(),
            })?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| transport_error(&error))?;
            let status = response.status();
            let body =
                response
                    .into_body()
                    .collect()
                    .await
                    .map_err(|error| StoreError::Unknown {
                        message: error.to_string(),
                    })?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| {
                Err(StoreError::Unknown {
                    message: format!("the request timed out after {REQUEST_TIMEOUT:?}"),
                })
            })
    }
}

fn transport_error(error: &hyper_util::client::legacy::Error) -> StoreError {
    let message = error.to_string();
    if error.is_connect() {
        StoreError::Unavailable { message }
    } else {
        StoreError::Unknown { message }
    }
}

fn check_status(status: StatusCode, body: Bytes) -> Result<Bytes, StoreError> {
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::CONFLICT => Err(StoreError::Conflict {
            key: parse_json::<ConflictResponse>(&body)?.key,
        }),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable {
            message: String::from_utf8_lossy(&body).into_owned(),
        }),
        other => Err(StoreError::Malformed {
            message: format!("unexpected status {other}"),
        }),
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed {
        message: error.to_string(),
    })
}
