//! Terms of start permits and leases, and the deadlines derived from them.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Terms of permits and leases, which all processes of an installation share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time after a confirmation within which a task may start.
    pub start: Duration,
    /// Time after a confirmation for which a task may run.
    pub run: Duration,
}

/// Maximum difference between the rates of two clocks, in percent.
const CLOCK_RATE_PERCENT: u32 = 5;

impl LeaseTerms {
    /// Creates the terms with the given run term and a start term of 2.5 s.
    pub const fn new(run: Duration) -> Self {
        Self {
            start: Duration::from_millis(2500),
            run,
        }
    }

    /// Returns how long another process must wait until a lease has certainly expired.
    ///
    /// The wait is longer than the lease, since the worker's clock may run
    /// slower than that of the waiting process.
    pub fn expiry_wait(&self) -> Duration {
        self.run + self.run * CLOCK_RATE_PERCENT / 100
    }
}

/// When an entry began to read the table, relative to a poll of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTime {
    /// The worker's clock, read before the poll was sent.
    pub worker_clock: MonoTime,
    /// How long before receiving the poll the entry began the read; zero if it began later.
    pub age: Duration,
    /// How long after receiving the poll the entry began the read; zero if it began earlier.
    pub advance: Duration,
}

impl ReadTime {
    /// Returns until when a task may start, by the worker's clock: at most
    /// `terms.start` after the read began, by a clock of that rate.
    pub fn permit_deadline(&self, terms: &LeaseTerms) -> MonoTime {
        self.deadline(terms.start)
    }

    /// Returns until when a task may run, by the worker's clock.
    pub fn lease_deadline(&self, terms: &LeaseTerms) -> MonoTime {
        self.deadline(terms.run)
    }

    fn deadline(&self, term: Duration) -> MonoTime {
        // The worker's clock may be slower than the entry's and have advanced less.
        let advance = self.advance * 100 / (100 + CLOCK_RATE_PERCENT);
        self.worker_clock.after(advance + term).before(self.age)
    }
}
