//! A small JSON client between stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, ensure};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of other stand-ins and of the agent.
#[derive(Clone)]
pub(crate) struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        body: &Q,
    ) -> Result<A> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
        let response = tokio::time::timeout(CALL_TIMEOUT, self.client.request(request)).await??;
        ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let body = response.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&body)?)
    }
}
