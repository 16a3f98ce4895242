//! Whether an entry's own path to the store works.
//!
//! Load pattern: the store turns away a third of the machines, or all of them, for
//! seconds. Each job that an entry there still tries to store costs its caller two
//! timeouts, and the tries that were to last for the outage are used up in a
//! moment. Once calls have failed in a row, jobs are passed to an entry whose path
//! works, or refused at once with the time to come back.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Failures in a row after which the path counts as lost: one of three answers is
/// lost on a day when the store loses answers.
const FAILURE_LIMIT: u32 = 3;

/// Without another failure for this long, the path is tried again; followers read
/// the leader's row every 400 to 500 ms.
const DOUBT_TERM: Duration = Duration::from_millis(1500);

/// What the last calls to the store say of the path to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failures: u32,
    failed_at: MonoTime,
}

impl StoreHealth {
    /// Creates a path that is held to work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in whether a call had an answer from a store that works.
    pub fn note_call(&mut self, is_answered: bool, now: MonoTime) {
        if is_answered {
            self.failures = 0;
        } else {
            self.failures += 1;
            self.failed_at = now;
        }
    }

    /// Returns whether a call would most likely fail now.
    pub fn is_lost(&self, now: MonoTime) -> bool {
        self.failures >= FAILURE_LIMIT && now < self.failed_at.after(DOUBT_TERM)
    }
}

/// What is known of a request after a try, here or at the entry that it was passed
/// to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// It was answered for good.
    Settled,
    /// It was not carried out and never will be.
    Refused,
    /// It may have been carried out, or may be yet.
    Unknown,
}

impl DeliveryOutcome {
    /// Returns what is known after another try.
    ///
    /// Load pattern: a try whose answer is lost, followed by one that is refused. The
    /// caller must not be told that the job was not accepted.
    pub fn and_then(self, next: Self) -> Self {
        match (self, next) {
            (Self::Settled, _) | (_, Self::Settled) => Self::Settled,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Refused, Self::Refused) => Self::Refused,
        }
    }
}
