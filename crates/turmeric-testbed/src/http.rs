//! A small HTTP client for load and for the stand-ins' records.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer with its whole body.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A client that keeps its connections.
#[derive(Clone)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LoadClient {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadClient {
    /// Creates a client.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpAnswer> {
        let exchange = async {
            let response = self.client.request(request).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, eyre::Report>(HttpAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .wrap_err("no answer in time")?
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// Fails when there is no good answer.
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
        let answer = self.send(request).await?;
        ensure!(
            answer.status.is_success(),
            "{address}{path}: {}",
            answer.status
        );
        serde_json::from_slice(&answer.body).wrap_err_with(|| format!("reading {address}{path}"))
    }

    /// Sends JSON.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn post_json<Q: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
    ) -> Result<HttpAnswer> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
        self.send(request).await
    }
}
