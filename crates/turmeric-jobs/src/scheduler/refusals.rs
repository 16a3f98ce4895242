//! Finds the row for which the store refuses a transaction for good, and leaves it out of further
//! writes.
//!
//! The store accepts a transaction as a whole or not at all. Load pattern: one row exceeds a limit
//! of the store, and every transaction with it is refused. The leader must go on to write its own
//! row, or it is replaced by an entry that meets the same refusal.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::commit::CommitPlan;
use crate::JobCode;

/// Time after which a row that was refused is written again, alone.
const ROW_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which the leader's own row is written again after a refusal.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What a row that the leader writes beside its own belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowOwner {
    /// Progress of a job.
    Job(JobCode),
    /// Interference between images.
    Interference,
}

impl fmt::Display for RowOwner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(code) => write!(formatter, "progress of job {code}"),
            Self::Interference => write!(formatter, "interference between images"),
        }
    }
}

/// What the next transaction may contain beside the leader's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RowChoice {
    /// All that is due.
    Any,
    /// Only rows of these owners.
    Only(Vec<RowOwner>),
}

impl RowChoice {
    pub(super) fn allows(&self, owner: RowOwner) -> bool {
        match self {
            Self::Any => true,
            Self::Only(owners) => owners.contains(&owner),
        }
    }
}

/// Search for rows that the store refuses.
///
/// The owners of a refused transaction are written again in ever smaller sets until one of them is
/// refused alone. Between two attempts the leader writes only its own row.
#[derive(Debug, Default)]
pub(super) struct RefusalSearch {
    /// Owners of refused transactions that have not been accepted since.
    suspects: Vec<RowOwner>,
    /// Most suspects in the next transaction.
    suspect_limit: usize,
    /// The next transaction contains only the leader's row.
    is_leader_only: bool,
    /// Owners whose rows are left out, each until the next attempt.
    excluded: BTreeMap<RowOwner, MonoTime>,
    /// Earliest time of the next transaction.
    retry_due: MonoTime,
}

impl RefusalSearch {
    /// Returns what the next transaction may contain.
    pub(super) fn choice(&self) -> RowChoice {
        if self.is_leader_only {
            return RowChoice::Only(Vec::new());
        }
        if self.suspects.is_empty() {
            return RowChoice::Any;
        }
        let suspects = self.suspects.iter().take(self.suspect_limit.max(1));
        RowChoice::Only(suspects.copied().collect())
    }

    /// Returns the earliest time of the next transaction.
    pub(super) fn retry_due(&self) -> MonoTime {
        self.retry_due
    }

    /// Returns whether the rows of an owner are left out.
    pub(super) fn is_excluded(&self, owner: RowOwner) -> bool {
        self.excluded.contains_key(&owner)
    }

    /// Makes the owners suspects again whose rows have been left out for long enough.
    ///
    /// Returns them.
    fn readmit(&mut self, now: MonoTime) -> Vec<RowOwner> {
        let is_due = |due: &MonoTime| *due <= now;
        let owners = self.excluded.iter().filter(|(_, due)| is_due(due));
        let owners: Vec<RowOwner> = owners.map(|(owner, _)| *owner).collect();
        self.excluded.retain(|_, due| !is_due(due));
        if !owners.is_empty() {
            self.suspects.extend(&owners);
            self.suspect_limit = 1;
        }
        owners
    }

    /// Drops suspects that have nothing to write any more.
    fn retain_suspects(&mut self, has_rows: impl Fn(&RowOwner) -> bool) {
        self.suspects.retain(has_rows);
    }

    fn record_accepted(&mut self, owners: &[RowOwner]) {
        self.is_leader_only = false;
        self.suspects.retain(|suspect| !owners.contains(suspect));
        if !owners.is_empty() {
            self.suspect_limit = self.suspects.len().div_ceil(2);
        }
    }

    /// Records that a transaction was refused; returns the owner at fault, once it is known.
    fn record_refused(&mut self, owners: &[RowOwner], now: MonoTime) -> Option<RowOwner> {
        self.is_leader_only = !owners.is_empty();
        match owners {
            [] => {
                self.retry_due = now.after(LEADER_RETRY_INTERVAL);
                None
            }
            [owner] => {
                self.excluded.insert(*owner, now.after(ROW_RETRY_INTERVAL));
                self.suspects.retain(|suspect| suspect != owner);
                self.suspect_limit = self.suspects.len().div_ceil(2);
                Some(*owner)
            }
            _ => {
                self.suspects.retain(|suspect| !owners.contains(suspect));
                self.suspects.splice(0..0, owners.iter().copied());
                self.suspect_limit = owners.len() / 2;
                None
            }
        }
    }
}

impl JobScheduler {
    /// Prepares the choice of the rows of the next transaction.
    pub(super) fn prepare_choice(&mut self, now: MonoTime, wall: WallTime) -> RowChoice {
        for owner in self.refusals.readmit(now) {
            if let RowOwner::Job(code) = owner {
                self.dirty.insert(code);
            }
        }
        let mut search = std::mem::take(&mut self.refusals);
        search.retain_suspects(|owner| match owner {
            RowOwner::Job(code) => {
                let job = self.jobs.get(code);
                let is_expired = job.is_some_and(|job| self.is_expired(job, wall));
                is_expired || self.dirty.contains(code)
            }
            RowOwner::Interference => now >= self.headroom_due,
        });
        self.refusals = search;
        self.refusals.choice()
    }

    /// Records that the store has accepted the rows of a transaction.
    pub(super) fn record_accepted(&mut self, plan: &CommitPlan) {
        self.refusals.record_accepted(&plan.owners());
    }

    /// Has the VMs of a job's attempts withdraw those that were never ordered.
    fn release_unsent(&mut self, code: JobCode) {
        let Some(job) = self.jobs.get(&code) else {
            return;
        };
        let locations = job
            .tasks
            .values()
            .filter_map(|state| state.location.as_ref());
        self.pending_updates
            .extend(locations.map(|location| location.vm.clone()));
    }

    /// Records that the store refuses the transaction for good, whatever its conditions.
    ///
    /// Returns the owner of the row at fault, once it is known. Its rows are left out for a while;
    /// until the store has accepted them, no new attempt of its tasks is ordered.
    pub fn commit_refused(&mut self, plan: &CommitPlan, now: MonoTime) -> Option<RowOwner> {
        self.is_committing = false;
        self.committed_at = now;
        let owners = plan.owners();
        for owner in &owners {
            match owner {
                RowOwner::Job(code) if !plan.forgotten.contains(code) => {
                    if let Some(job) = self.jobs.get_mut(code) {
                        job.mark_unsaved();
                        self.dirty.insert(*code);
                    }
                }
                RowOwner::Job(_) => {}
                RowOwner::Interference => self.headroom_due = now,
            }
        }
        let fault = self.refusals.record_refused(&owners, now);
        if let Some(RowOwner::Job(code)) = &fault {
            self.dirty.remove(code);
            self.release_unsent(*code);
        }
        fault
    }
}
