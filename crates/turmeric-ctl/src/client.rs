//! Calls to entries and agents.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::CommandError;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A client of the entries.
pub(crate) struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) entries: Vec<SocketAddr>,
}

impl OperatorClient {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            entries,
        }
    }

    /// Reads from the first entry that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.first_answer("GET", path, &Value::Null).await
    }

    /// Sends to the first entry that answers.
    ///
    /// Every such call carries an identifier, so that a second entry may be
    /// asked after an answer was lost.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.first_answer("POST", path, body).await
    }

    /// Deletes at the first entry that answers.
    pub(crate) async fn delete(&self, path: &str) -> Result<Value, CommandError> {
        self.first_answer("DELETE", path, &Value::Null).await
    }

    async fn first_answer(
        &self,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<Value, CommandError> {
        let mut failures = Vec::new();
        for entry in &self.entries {
            match self.call(method, *entry, path, body).await {
                Err(CommandError::Unreachable { message }) => failures.push(message),
                other => return other,
            }
        }
        Err(CommandError::Unreachable {
            message: format!("no entry answers: {}", failures.join("; ")),
        })
    }

    /// Calls one process.
    pub(crate) async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Value, CommandError> {
        let unreachable = |message: String| CommandError::Unreachable {
            message: format!("{address}: {message}"),
        };
        let bytes = if body.is_null() {
            Bytes::new()
        } else {
            Bytes::from(body.to_string())
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(bytes))
            .map_err(|error| unreachable(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok::<_, hyper_util::client::legacy::Error>((status, body))
        };
        let (status, body) = tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| unreachable(format!("nothing within {CALL_TIMEOUT:?}")))?
            .map_err(|error| unreachable(error.to_string()))?;
        let body = body
            .map_err(|error| unreachable(error.to_string()))?
            .to_bytes();
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status.is_success() {
            return Ok(value);
        }
        if value["code"] == "unknown" {
            return Err(unreachable(text_of(&value["message"])));
        }
        Err(CommandError::Refused {
            code: text_of(&value["code"]),
            message: text_of(&value["message"]),
        })
    }
}

/// Returns a JSON value as people write it.
pub(crate) fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
