//! Limits of the calls by which the leader awaits accepted and cancelled jobs.

use std::time::Duration;

/// Share of the bound on cancellations that one call may take, in percent. The rest is left for
/// another call, the leader's write and the stops that follow.
const TIMEOUT_PERCENT: u32 = 50;

/// Limits of the calls to the feed of accepted and cancelled jobs.
///
/// Failure: the connection on which a call waits for changes goes silent. Cancellations take no
/// effect until the call is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedLimits {
    timeout: Duration,
}

impl FeedLimits {
    /// Creates the limits for a bound on the time from the acknowledgement of a cancellation until
    /// nothing of the job starts any more. `call_timeout` is the longest time of an ordinary call to
    /// the store.
    pub fn new(cancellation_bound: Duration, call_timeout: Duration) -> Self {
        Self {
            timeout: call_timeout.max(cancellation_bound * TIMEOUT_PERCENT / 100),
        }
    }

    /// Returns after which time a call is given up.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns for how long a call asks the store to wait for changes.
    pub fn wait(&self) -> Duration {
        self.timeout / 2
    }
}
