//! The HTTP client of the worker's interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use turmeric_types::Incarnation;

use crate::{
    AttachRequest, LeaseRenewal, RenewRequest, StartRequest, StopAnswer, StopRequest,
    ThrottleRequest, WorkerError, WorkerStatus,
};

/// Longest wait for an answer of the worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A client of one worker's interface.
#[derive(Debug)]
pub struct WorkerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl WorkerClient {
    /// Creates a client of the worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }

    /// Reads the worker's clock, capacity and tasks.
    ///
    /// # Errors
    ///
    /// See [`WorkerError`]; a read changes nothing.
    pub async fn status(&self) -> Result<WorkerStatus, WorkerError> {
        self.call(Method::GET, "/v1/worker", &()).await
    }

    /// Makes the worker refuse every earlier incarnation of the agent.
    ///
    /// # Errors
    ///
    /// Refused when a later incarnation has attached.
    pub async fn attach(&self, incarnation: Incarnation) -> Result<WorkerStatus, WorkerError> {
        let request = AttachRequest { incarnation };
        self.call(Method::POST, "/v1/attach", &request).await
    }

    /// Starts a task attempt; starting the same attempt again has no effect.
    ///
    /// # Errors
    ///
    /// Refused when the attempt is old or the time for it has passed.
    pub async fn start(&self, request: &StartRequest) -> Result<(), WorkerError> {
        self.call(Method::POST, "/v1/start", request).await
    }

    /// Renews leases.
    ///
    /// # Errors
    ///
    /// Refused when a later incarnation has attached.
    pub async fn renew(
        &self,
        incarnation: Incarnation,
        renewals: Vec<LeaseRenewal>,
    ) -> Result<(), WorkerError> {
        let request = RenewRequest {
            incarnation,
            renewals,
        };
        self.call(Method::POST, "/v1/renew", &request).await
    }

    /// Stops or forgets a task attempt; doing so twice has no further effect.
    ///
    /// # Errors
    ///
    /// Refused when the checkpoint cannot be stored; the task goes on then.
    pub async fn stop(&self, request: &StopRequest) -> Result<StopAnswer, WorkerError> {
        self.call(Method::POST, "/v1/stop", request).await
    }

    /// Slows the batch tasks of the worker.
    ///
    /// # Errors
    ///
    /// Refused when a later incarnation has attached.
    pub async fn throttle(&self, request: &ThrottleRequest) -> Result<(), WorkerError> {
        self.call(Method::POST, "/v1/throttle", request).await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<A, WorkerError> {
        let body = serde_json::to_vec(body).map_err(unknown)?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(unknown)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(unknown)?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(unknown)?;
            Ok::<_, WorkerError>((status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(unknown)??;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(unknown),
            StatusCode::CONFLICT => Err(WorkerError::Refused {
                reason: String::from_utf8_lossy(&body).into_owned(),
            }),
            other => Err(WorkerError::Unknown {
                message: format!("status {other}"),
            }),
        }
    }
}

fn unknown(error: impl std::fmt::Display) -> WorkerError {
    WorkerError::Unknown {
        message: error.to_string(),
    }
}
