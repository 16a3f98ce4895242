//! Leases that limit how long a worker may run the attempts assigned to its VM.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Rate by which a worker's clock may run slow, in percent: 2% by the platform's
/// contract, rounded up to allow for timer inaccuracy on both sides.
const CLOCK_SLOW_PERCENT: u32 = 4;

/// Margin that the leader adds before it treats a lease as expired: it covers a call in
/// flight and the time that a stop takes.
const END_SLACK: Duration = Duration::from_millis(300);

/// How long after it was sent a call that got no answer may be carried out.
pub(crate) const DELAYED_CALL_LIMIT: Duration = Duration::from_secs(15);

/// Leases are renewed once they end this much later, so that most calls carry no deadline.
const RENEWAL_STEP: Duration = Duration::from_millis(300);

/// Longest term of a lease: long enough to outlast the restart of a killed agent (3.5 s and a
/// heartbeat), short enough for the tasks of an unreachable worker to be placed elsewhere soon.
const MAX_TERM: Duration = Duration::from_secs(6);

/// Durations of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// How long a worker may continue after the report of its agent that the leader
    /// answered.
    pub term: Duration,
    /// Longest lease that a worker accepts.
    accepted: Duration,
}

impl LeaseLimits {
    /// Creates limits from the longest lease that a worker accepts.
    pub const fn new(accepted: Duration) -> Self {
        let is_short = accepted.as_millis() < MAX_TERM.as_millis();
        let term = if is_short { accepted } else { MAX_TERM };
        Self { term, accepted }
    }

    /// Returns how long after a report the lease granted for it has certainly expired.
    pub fn wait(&self) -> Duration {
        with_slow_clock(self.term)
    }

    /// Returns the same for an agent of an earlier version, which counts from the report the
    /// longest lease that the worker accepts.
    pub fn earlier_wait(&self) -> Duration {
        with_slow_clock(self.accepted)
    }
}

/// Returns how long a lease of `term` may last at most.
fn with_slow_clock(term: Duration) -> Duration {
    term + term * CLOCK_SLOW_PERCENT / 100 + END_SLACK
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
    /// Returns whether the lease has ended.
    pub fn has_expired(&self, limits: &LeaseLimits, now: MonoTime) -> bool {
        now > self.reported_at.after(limits.term)
    }

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

/// The leases under which a worker may be running attempts, as its agent knows them.
///
/// A worker that restarts under its identifier starts its clock anew and takes a deadline by the
/// earlier clock for the longest lease that it accepts. Such a deadline can reach it only by a call that
/// was not answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerLease {
    reading: Option<ClockReading>,
    /// Latest deadline that the worker may have been given by this agent, by the worker's clock in
    /// milliseconds.
    deadline_millis: u64,
    /// Latest deadline that the worker may have been given by earlier agents.
    earlier_deadline_millis: u64,
    /// Latest deadline of a renewal that the worker has answered.
    renewed_millis: u64,
    /// Calls of earlier agents can be carried out until then; [`None`] before the first fencing.
    earlier_calls_until: Option<MonoTime>,
    /// Until when calls with a deadline can be carried out that got no answer.
    unanswered_until: MonoTime,
    /// The worker has accepted a token of this agent in this incarnation.
    is_fenced: bool,
}

impl WorkerLease {
    /// Creates the record of a worker that has not answered this agent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the record of the worker's next incarnation.
    pub fn next_incarnation(&self) -> Self {
        Self {
            earlier_calls_until: self.earlier_calls_until,
            unanswered_until: self.unanswered_until,
            ..Self::default()
        }
    }

    /// Returns the worker's clock as last read.
    pub fn reading(&self) -> Option<ClockReading> {
        self.reading
    }

    /// Records the worker's clock as read from an answer.
    pub fn record_reading(&mut self, reading: ClockReading) {
        self.reading = Some(reading);
    }

    /// Records that the worker has accepted a new fencing token: until then, an earlier agent
    /// may have renewed leases, of which this agent knows nothing, and a deadline by the clock of an
    /// earlier incarnation may have arrived.
    pub fn record_fencing(&mut self, limits: &LeaseLimits, now: MonoTime) {
        let Some(reading) = self.reading else {
            return;
        };
        let longest = now.since(reading.received_at) + limits.accepted;
        let longest_millis = reading
            .worker_millis
            .saturating_add(longest.as_millis() as u64);
        // Another agent had replaced the token, and may have brought any deadline.
        let is_repeated = std::mem::replace(&mut self.is_fenced, true);
        if is_repeated || now <= self.unanswered_until {
            self.record_deadline(longest_millis);
        }
        let calls_until = *self
            .earlier_calls_until
            .get_or_insert(now.after(DELAYED_CALL_LIMIT));
        if now <= calls_until {
            self.earlier_deadline_millis = self.earlier_deadline_millis.max(longest_millis);
        }
    }

    /// Returns the deadline of a lease if the worker has to be told.
    pub fn renewal(&self, limits: &LeaseLimits, grant: LeaseGrant, now: MonoTime) -> Option<u64> {
        let deadline_millis = grant.worker_deadline(limits, &self.reading?);
        let next_millis = self.renewed_millis + RENEWAL_STEP.as_millis() as u64;
        let is_due = !grant.has_expired(limits, now) && deadline_millis >= next_millis;
        is_due.then_some(deadline_millis)
    }

    /// Records that the worker has answered a call that renewed its leases.
    pub fn record_renewal(&mut self, deadline_millis: u64) {
        self.renewed_millis = self.renewed_millis.max(deadline_millis);
    }

    /// Records that a call with a deadline got no answer: it may be carried out later.
    pub fn record_unanswered(&mut self, now: MonoTime) {
        self.unanswered_until = now.after(DELAYED_CALL_LIMIT);
    }

    /// Records a deadline that is sent to the worker.
    pub fn record_deadline(&mut self, deadline_millis: u64) {
        self.deadline_millis = self.deadline_millis.max(deadline_millis);
    }

    /// Returns the time until all leases have expired, if none is renewed; [`None`] before the worker
    /// has answered.
    pub fn remaining(&self, now: MonoTime) -> Option<Duration> {
        self.time_until(self.latest_deadline(), now)
    }

    fn latest_deadline(&self) -> u64 {
        self.deadline_millis.max(self.earlier_deadline_millis)
    }

    /// Returns the time until a deadline has certainly passed by the worker's clock.
    fn time_until(&self, deadline_millis: u64, now: MonoTime) -> Option<Duration> {
        let reading = self.reading?;
        let granted = deadline_millis.saturating_sub(reading.worker_millis);
        let granted = Duration::from_millis(granted);
        let end = reading.received_at.after(with_slow_clock(granted));
        Some(end.since(now))
    }

    /// Returns the time until all leases have expired, with those that may yet be renewed under
    /// `grant` or under one that counts from now. The leader grants none to an agent whose worker
    /// does not answer.
    pub fn wait(
        &self,
        limits: &LeaseLimits,
        grant: Option<LeaseGrant>,
        is_unresponsive: bool,
        now: MonoTime,
    ) -> Duration {
        let given = self.remaining(now).unwrap_or(limits.earlier_wait());
        given.max(self.renewable_wait(limits, grant, is_unresponsive, now))
    }

    /// Returns the same without the leases that only earlier agents can have renewed.
    pub fn own_wait(
        &self,
        limits: &LeaseLimits,
        grant: Option<LeaseGrant>,
        is_unresponsive: bool,
        now: MonoTime,
    ) -> Duration {
        let given = self.time_until(self.deadline_millis, now);
        let renewable = self.renewable_wait(limits, grant, is_unresponsive, now);
        given.unwrap_or_default().max(renewable)
    }

    /// Returns the time until the leases have expired that this agent may yet renew.
    fn renewable_wait(
        &self,
        limits: &LeaseLimits,
        grant: Option<LeaseGrant>,
        is_unresponsive: bool,
        now: MonoTime,
    ) -> Duration {
        if !is_unresponsive {
            return limits.wait();
        }
        let granted = grant.map(|grant| grant.reported_at.after(limits.wait()).since(now));
        granted.unwrap_or_default()
    }

    /// Returns whether all leases have expired although the worker does not answer, even if its
    /// clock is slow.
    pub fn has_expired(&self, now: MonoTime) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let elapsed = now.since(reading.received_at);
        let least = elapsed - elapsed * CLOCK_SLOW_PERCENT / 100;
        let clock_millis = reading
            .worker_millis
            .saturating_add(least.as_millis() as u64);
        clock_millis.saturating_sub(self.latest_deadline()) > END_SLACK.as_millis() as u64
    }
}
