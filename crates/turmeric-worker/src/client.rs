//! HTTP client for the worker interface.

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
    AttachRequest, LeaseRenewal, RenewRequest, StartRequest, StopRequest, StopResponse,
    ThrottleRequest, WorkerError, WorkerStatus,
};

/// Timeout of a call to the worker, including the response body.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Calls the HTTP interface of one worker.
#[derive(Debug)]
pub struct WorkerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl WorkerClient {
    /// Creates a client for the worker at `address`.
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
    /// Refused if a later incarnation of the agent has attached.
    pub async fn attach(&self, incarnation: Incarnation) -> Result<WorkerStatus, WorkerError> {
        let request = AttachRequest { incarnation };
        self.call(Method::POST, "/v1/attach", &request).await
    }

    /// Starts a task attempt; starting the same attempt again has no effect.
    ///
    /// # Errors
    ///
    /// Refused if the worker has already seen this task with a later attempt, or
    /// if its clock has passed `not_after`.
    pub async fn start(&self, request: &StartRequest) -> Result<(), WorkerError> {
        self.call(Method::POST, "/v1/start", request).await
    }

    /// Renews the leases of task attempts.
    ///
    /// # Errors
    ///
    /// Refused if a later incarnation of the agent has attached.
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

    /// Stops or forgets a task attempt; repeating the call has no further effect.
    ///
    /// # Errors
    ///
    /// Refused if the checkpoint cannot be stored; the task then keeps running.
    pub async fn stop(&self, request: &StopRequest) -> Result<StopResponse, WorkerError> {
        self.call(Method::POST, "/v1/stop", request).await
    }

    /// Limits the speed of the worker's batch tasks.
    ///
    /// # Errors
    ///
    /// Refused if a later incarnation of the agent has attached.
    pub async fn throttle(&self, request: &ThrottleRequest) -> Result<(), WorkerError> {
        self.call(Method::POST, "/v1/throttle", request).await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<A, WorkerError> {
        let body = serde_json::to_vec(body).map_err(unknown_outcome)?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(unknown_outcome)?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(unknown_outcome)?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(unknown_outcome)?;
            Ok::<_, WorkerError>((status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(unknown_outcome)??;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(unknown_outcome),
            StatusCode::CONFLICT => Err(WorkerError::Refused {
                reason: String::from_utf8_lossy(&body).into_owned(),
            }),
            other => Err(WorkerError::Unknown {
                message: format!("unexpected status {other}"),
            }),
        }
    }
}

fn unknown_outcome(error: impl std::fmt::Display) -> WorkerError {
    WorkerError::Unknown {
        message: error.to_string(),
    }
}
