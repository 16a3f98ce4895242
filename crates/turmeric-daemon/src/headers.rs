//! HTTP headers that callers, entries, agents and endpoints exchange.

/// Idempotency key of a request: a UUID of version 7.
pub(crate) const KEY: &str = "idempotency-key";

/// Time within which the caller needs the response, in milliseconds.
pub(crate) const TIMEOUT: &str = "turmeric-timeout-ms";

/// Name of the calling application.
pub(crate) const CALLER: &str = "turmeric-caller";

/// `true` on a request that may safely run more than once.
pub(crate) const IDEMPOTENT: &str = "turmeric-idempotent";

/// Identifier of an attempt; a UUID of version 7.
pub(crate) const REQUEST: &str = "turmeric-request";

/// Service that the request is for.
pub(crate) const SERVICE: &str = "turmeric-service";

/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "turmeric-outcome";

/// `not-run` when this attempt did not run, regardless of earlier attempts.
pub(crate) const ATTEMPT: &str = "turmeric-attempt";

/// Proof that the request did not run, sent with the outcome `not-run`.
pub(crate) const PROOF: &str = "turmeric-proof";

/// Delay after which to retry, in milliseconds.
pub(crate) const RETRY_AFTER_MILLIS: &str = "turmeric-retry-after-ms";

/// Time for which the endpoint processed the request, in microseconds.
pub(crate) const SERVICE_MICROS: &str = "turmeric-service-us";

/// Number of requests queued and running at the endpoint.
pub(crate) const LOAD: &str = "turmeric-load";

/// Version of the settings under which the request was routed.
pub(crate) const VERSION: &str = "turmeric-settings-version";

/// Set by the agent when the endpoint is in graceful shutdown.
pub(crate) const DRAINING: &str = "turmeric-draining";

/// Experiment arm under which the request was routed.
pub(crate) const ARM: &str = "turmeric-arm";

/// Experiment run under which the request was routed.
pub(crate) const EXPERIMENT: &str = "turmeric-experiment";

/// Routing policy that routed the request.
pub(crate) const POLICY: &str = "turmeric-policy";

/// Prefix of all headers of turmericlb.
pub(crate) const PREFIX: &str = "turmeric-";
