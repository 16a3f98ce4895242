//! Terms of permits and leases, and the deadlines that follow from them.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Terms that all processes of an installation share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time after a confirmation in which a task may start.
    pub start: Duration,
    /// Time after a confirmation for which a task may run.
    pub run: Duration,
}

/// Share by which two clocks may differ in rate, in percent.
const CLOCK_RATE_PERCENT: u32 = 5;

impl LeaseTerms {
    /// Creates the terms from the run term; a start has 2.5 s.
    pub const fn new(run: Duration) -> Self {
        Self {
            start: Duration::from_millis(2500),
            run,
        }
    }

    /// Returns how long another process waits until a lease has surely ended.
    ///
    /// The wait is longer than the lease, since the worker's clock may run
    /// slower than the waiting process's.
    pub fn wait(&self) -> Duration {
        self.run + self.run * CLOCK_RATE_PERCENT / 100
    }
}

/// When an entry began to read the table, as seen from a poll of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTime {
    /// The worker's clock, read before the poll was sent.
    pub worker_clock: MonoTime,
    /// How long before it received the poll the entry began; zero if later.
    pub age: Duration,
    /// How long after it received the poll the entry began; zero if earlier.
    pub advance: Duration,
}

impl ReadTime {
    /// Returns until when a task may start, by the worker's clock: never later
    /// than `terms.start` after the read, by a clock of that rate.
    pub fn permit_deadline(&self, terms: &LeaseTerms) -> MonoTime {
        self.deadline(terms.start)
    }

    /// Returns until when a task may run, by the worker's clock.
    pub fn lease_deadline(&self, terms: &LeaseTerms) -> MonoTime {
        self.deadline(terms.run)
    }

    fn deadline(&self, term: Duration) -> MonoTime {
        // The worker's clock may be the slower one; then it has advanced less.
        let advance = self.advance * 100 / (100 + CLOCK_RATE_PERCENT);
        self.worker_clock.after(advance + term).before(self.age)
    }
}
