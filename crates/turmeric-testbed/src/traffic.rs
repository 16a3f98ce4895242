//! Requests and keys as callers make them.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use turmeric_types::{IdempotencyKey, SplitMixRandom, WallTime};
use uuid::Uuid;

/// Returns the wall time.
pub fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
}

/// Returns a new idempotency key made now.
pub fn new_key(random: &mut SplitMixRandom) -> IdempotencyKey {
    let bits = (u128::from(random.next_bits()) << 64) | u128::from(random.next_bits());
    IdempotencyKey::new(wall_time(), bits)
}

/// Returns a new identifier of a job.
pub fn new_job_id() -> String {
    Uuid::now_v7().to_string()
}

/// Returns the digest that the stand-in endpoint answers with.
pub fn digest_of(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(*byte))
    })
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestForm {
    /// Idempotency key; without one the request is declared idempotent.
    pub key: Option<String>,
    /// Text that the stand-in endpoint puts in front of its answer.
    pub tag: String,
    /// Name of the calling application.
    pub caller: String,
    /// Time within which the answer is needed, in milliseconds.
    pub timeout_millis: u64,
    /// Body.
    pub body: Bytes,
}

impl RequestForm {
    /// Creates an idempotent request with a short body.
    pub fn new(tag: impl Into<String>) -> Self {
        Self {
            key: None,
            tag: tag.into(),
            caller: "boutique".to_owned(),
            timeout_millis: 5000,
            body: Bytes::from_static(b"photo"),
        }
    }

    /// Makes the request run at most once.
    pub fn with_key(mut self, key: impl ToString) -> Self {
        self.key = Some(key.to_string());
        self
    }

    /// Changes the time within which the answer is needed.
    pub fn with_timeout(mut self, millis: u64) -> Self {
        self.timeout_millis = millis;
        self
    }

    /// Changes the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Changes the calling application.
    pub fn with_caller(mut self, caller: impl Into<String>) -> Self {
        self.caller = caller.into();
        self
    }

    /// Returns the answer that belongs to this request.
    pub fn expected_answer(&self) -> String {
        let digest = digest_of(&self.body);
        format!("{} {} {digest:08x}", self.tag, self.body.len())
    }

    /// Builds the request to an entry.
    pub fn build(&self, entry: SocketAddr) -> Request<Full<Bytes>> {
        let request = Request::post(format!("http://{entry}/service/verdikt/check"))
            .header("turmeric-caller", &self.caller)
            .header("turmeric-timeout-ms", self.timeout_millis)
            .header("turmeric-test-tag", &self.tag);
        let request = match &self.key {
            Some(key) => request.header("idempotency-key", key),
            None => request.header("turmeric-idempotent", "true"),
        };
        request
            .body(Full::new(self.body.clone()))
            .expect("the parts of the request are well formed")
    }
}
