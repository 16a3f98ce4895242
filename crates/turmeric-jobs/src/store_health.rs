//! Health of an entry's connection to the store.
//!
//! Load pattern: the store rejects a third of the machines, or all of them, for seconds.
//! Each job that an entry on such a machine tries to store costs its caller two timeouts,
//! and the retries that should last for the outage are used up in a moment. After
//! several consecutive failures, jobs are forwarded to an entry that reaches the store,
//! or refused immediately with the time after which to retry.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Consecutive failures after which the store counts as unreachable. When the store loses
/// answers, it loses about one in three.
const FAILURE_LIMIT: u32 = 3;

/// Time without another failure after which the store is tried again. Followers read the
/// leader's row every 400 to 500 ms.
const RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Health of the connection to the store, judged by the latest calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failures: u32,
    failed_at: MonoTime,
}

impl StoreHealth {
    /// Creates the state of a connection that is assumed to work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether a call was answered by a working store.
    pub fn record_call(&mut self, is_answered: bool, now: MonoTime) {
        if is_answered {
            self.failures = 0;
        } else {
            self.failures += 1;
            self.failed_at = now;
        }
    }

    /// Returns whether a call would most likely fail at `now`.
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        self.failures >= FAILURE_LIMIT && now < self.failed_at.after(RETRY_DELAY)
    }
}

/// Outcome of an attempt to deliver a request, on this entry or on the entry to which it
/// was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The request has a final answer.
    Answered,
    /// The request was not carried out and never will be.
    Refused,
    /// The request may have been carried out, or may still be.
    Unknown,
}

impl DeliveryOutcome {
    /// Returns the outcome of this attempt and the next one together.
    ///
    /// Load pattern: the answer of an attempt is lost, and the next attempt is refused. The
    /// caller must not be told that the job was not accepted.
    pub fn combine(self, next: Self) -> Self {
        match (self, next) {
            (Self::Answered, _) | (_, Self::Answered) => Self::Answered,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Refused, Self::Refused) => Self::Refused,
        }
    }
}
