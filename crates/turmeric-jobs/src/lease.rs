//! Until when a worker may run what the leader gave its VM.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Share by which a worker's clock may run slow, in percent (2% by the
/// platform, rounded up with room for the timers of both ends).
const CLOCK_SLOW_PERCENT: u32 = 4;

/// Added to a lease before the leader concludes that it has ended: a call that
/// was on its way, and a stop that takes its time.
const END_SLACK: Duration = Duration::from_millis(300);

/// Terms of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// How long a worker runs on after its agent's report that was answered.
    pub term: Duration,
}

impl LeaseLimits {
    /// Creates limits from the longest lease that a worker takes.
    pub const fn new(term: Duration) -> Self {
        Self { term }
    }

    /// Returns how long the leader waits after a report until the lease that
    /// rests on it has surely ended.
    pub fn wait(&self) -> Duration {
        self.term + self.term * CLOCK_SLOW_PERCENT / 100 + END_SLACK
    }
}

/// A reading of the worker's clock between two readings of the agent's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The agent's clock when the answer arrived.
    pub received_at: MonoTime,
    /// The worker's clock in the answer, in milliseconds.
    pub worker_millis: u64,
}

/// The right to run, counted from a report of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The agent's clock when it made the report that was answered.
    pub reported_at: MonoTime,
}

impl LeaseGrant {
    /// Returns the end of the lease by the worker's clock, in milliseconds.
    ///
    /// Never later than `limits.term` after the report, whatever was paused in
    /// between: the worker's clock was read before `reading.received_at`.
    pub fn worker_deadline(&self, limits: &LeaseLimits, reading: &ClockReading) -> u64 {
        let end = self.reported_at.after(limits.term);
        let ahead = end.since(reading.received_at).as_millis() as u64;
        let behind = reading.received_at.since(end).as_millis() as u64;
        (reading.worker_millis + ahead).saturating_sub(behind)
    }
}
