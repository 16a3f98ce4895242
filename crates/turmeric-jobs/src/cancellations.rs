//! Cancellations of jobs that are not known.
//!
//! An entry that finds no row of a job cannot tell that there never will be one: the write of another
//! entry may still be on its way, and may take effect seconds later. So the cancellation is stored
//! before it is acknowledged, and any later row of the job counts as cancelled. It is kept as long as
//! the state of a job that has ended.
//!
//! Load pattern: callers cancel thousands of jobs that never were.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use crate::JobCode;

/// Most cancellations of unknown jobs that one entry has stored at any time.
const ENTRY_LIMIT: usize = 500;

/// Number of such cancellations in the store from which on no entry adds any.
const STORE_LIMIT: usize = 2_000;

/// Retry-After for a cancellation that cannot be stored because too many others are.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Cancelled jobs that the leader does not know, each with the time of its cancellation.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancels {
    cancelled_at: BTreeMap<JobCode, WallTime>,
}

impl EarlyCancels {
    /// Records a cancellation; a repeated one changes nothing.
    pub(crate) fn record(&mut self, code: JobCode, at: WallTime) {
        self.cancelled_at.entry(code).or_insert(at);
    }

    /// Drops the cancellation of a job; returns whether there was one.
    pub(crate) fn remove(&mut self, code: JobCode) -> bool {
        self.cancelled_at.remove(&code).is_some()
    }

    /// Returns the jobs that were cancelled more than `retention` ago.
    pub(crate) fn expired(
        &self,
        retention: Duration,
        now: WallTime,
    ) -> impl Iterator<Item = JobCode> {
        let cancels = self.cancelled_at.iter();
        let expired = cancels.filter(move |(_, at)| now > at.after(retention));
        expired.map(|(code, _)| *code)
    }

    /// Returns the number of cancellations.
    pub(crate) fn len(&self) -> usize {
        self.cancelled_at.len()
    }
}

/// Bounds the cancellations of unknown jobs that an entry stores.
#[derive(Clone, Debug, Default)]
pub struct CancelBudget {
    /// Until when each cancellation that this entry has stored is kept.
    kept_until: BTreeMap<JobCode, MonoTime>,
}

impl CancelBudget {
    /// Creates the budget of an entry that has stored none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a place for the cancellation of a job until `deadline`; a repeated one needs no further
    /// place. `stored` is the number of such cancellations in the store.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller is to try again if there is no place left.
    pub fn reserve(
        &mut self,
        code: JobCode,
        stored: usize,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.kept_until.retain(|_, until| now < *until);
        if self.kept_until.contains_key(&code) {
            return Ok(());
        }
        if self.kept_until.len() >= ENTRY_LIMIT || stored >= STORE_LIMIT {
            return Err(RETRY_AFTER);
        }
        self.kept_until.insert(code, deadline);
        Ok(())
    }
}
