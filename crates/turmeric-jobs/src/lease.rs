//! Leases that limit how long a worker may run the attempts assigned to its VM.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Rate by which a worker's clock may run slow, in percent: 2% by the platform's
/// contract, rounded up to allow for timer inaccuracy on both sides.
const CLOCK_SLOW_PERCENT: u32 = 4;

/// Margin that the leader adds before it treats a lease as expired: it covers a call in
/// flight and the time that a stop takes.
const END_SLACK: Duration = Duration::from_millis(300);

/// Durations of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// How long a worker may continue after the report of its agent that the leader
    /// answered.
    pub term: Duration,
}

impl LeaseLimits {
    /// Creates limits from the longest lease that a worker accepts.
    pub const fn new(term: Duration) -> Self {
        Self { term }
    }

    /// Returns how long after a report the leader waits until the lease granted for it
    /// has certainly expired.
    pub fn wait(&self) -> Duration {
        self.term + self.term * CLOCK_SLOW_PERCENT / 100 + END_SLACK
    }
}

/// Reading of the worker's clock, matched to the agent's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time of the agent's clock when the answer arrived.
    pub received_at: MonoTime,
    /// Time of the worker's clock in the answer, in milliseconds.
    pub worker_millis: u64,
}

/// Permission to run attempts, starting at the time of an agent's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Time of the agent's clock when it made the report that the leader answered.
    pub reported_at: MonoTime,
}

impl LeaseGrant {
    /// Returns the end of the lease by the worker's clock, in milliseconds.
    ///
    /// It is at most `limits.term` after the report, even if a process was paused in
    /// between, because the worker's clock was read before `reading.received_at`.
    pub fn worker_deadline(&self, limits: &LeaseLimits, reading: &ClockReading) -> u64 {
        let end = self.reported_at.after(limits.term);
        let ahead = end.since(reading.received_at).as_millis() as u64;
        let behind = reading.received_at.since(end).as_millis() as u64;
        (reading.worker_millis + ahead).saturating_sub(behind)
    }
}
