//! Health of an entry's connection to the store.
//!
//! Load pattern: the store rejects a third of the machines, or all of them, for seconds.
//! Each job that an entry on such a machine tries to store costs its caller two timeouts,
//! and the retries that should last for the outage are used up in a moment. After
//! several consecutive failures, jobs are forwarded to an entry that reaches the store,
//! or refused immediately with the time after which to retry.

use std::time::Duration;

use turmeric_types::{MonoTime, SplitMixRandom};

use crate::names::JobCode;

/// Consecutive failures after which the store counts as unreachable. When the store loses
/// answers, it loses about one in three.
const FAILURE_LIMIT: u32 = 3;

/// Time without another failure after which the store is tried again. Followers read the
/// leader's row every 400 to 500 ms.
const RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Time after which a caller is asked to retry while no outage has lasted longer than this.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// Longest expected rest of an outage. With it, four retries span the longest outages seen, 9 s,
/// and no caller waits for more than 7 s after the store is back.
const LONGEST_REST: Duration = Duration::from_secs(4);

/// Least multiple of the expected rest after which a job is retried. With 1.0, a caller that is
/// refused 3.5 s into the outage may return at 8 s for the last time: 3 of 360,000 simulated
/// callers made no attempt after an outage of 9 s.
const LEAST_REST: f64 = 1.25;

/// Multiple of the expected rest over which the retries of different jobs are spread.
const RETRY_SPREAD: f64 = 0.5;

/// Health of the connection to the store, judged by the latest calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failures: u32,
    failed_at: MonoTime,
    /// Time of the first failure since the last answered call.
    failing_since: MonoTime,
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
            if self.failures == 0 {
                self.failing_since = now;
            }
            self.failures = self.failures.saturating_add(1);
            self.failed_at = now;
        }
    }

    /// Returns whether a call would most likely fail at `now`.
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        self.failures >= FAILURE_LIMIT && now < self.failed_at.after(RETRY_DELAY)
    }

    /// Returns how long the current outage has lasted at `now`; zero if there is none.
    ///
    /// An outage begins with the first of several consecutive failures and ends only with an
    /// answered call, so it goes on while the store is tried again without success.
    pub fn outage_duration(&self, now: MonoTime) -> Duration {
        if self.failures >= FAILURE_LIMIT {
            now.since(self.failing_since)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the time after which the caller of a job that is refused because of the store
    /// is to submit it again.
    ///
    /// Load pattern: the store is away for 5 to 9 s and all entries refuse jobs, whose callers
    /// retry at most four times. With a constant second, they use up their retries before
    /// the store is back, and the others return in the same second. An outage that has lasted
    /// for a time is expected to last as long again, and retries are spread over half of that
    /// time by job and time of the refusal. The job's objective plays no part: a retry during the outage is refused again.
    pub fn retry_after(&self, code: JobCode, now: MonoTime) -> Duration {
        let elapsed = self.outage_duration(now);
        if elapsed <= SHORTEST_RETRY {
            return SHORTEST_RETRY;
        }
        let rest = elapsed.min(LONGEST_REST);
        let seed = code.bits() ^ elapsed.as_millis() as u64;
        let share = SplitMixRandom::new(seed).next_unit();
        rest.mul_f64(LEAST_REST + RETRY_SPREAD * share)
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
