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

/// Time after which the row of a job with an absent long-running task is first written again. It
/// doubles with each further refusal.
const FIRST_URGENT_DELAY: Duration = Duration::from_millis(500);

/// Longest time until such a row is written again. Placement, record and start follow within 4.5 s,
/// and the platform allows 9 s.
const LONGEST_URGENT_DELAY: Duration = Duration::from_millis(2000);

/// Refusals after which the delay no longer doubles.
const URGENT_DOUBLINGS: u32 = 8;

/// Shortest time between two rows that are written again, unless the last one was accepted.
const RETRY_SPACING: Duration = Duration::from_millis(100);

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
    /// Owners whose rows are left out.
    excluded: BTreeMap<RowOwner, RowExclusion>,
    /// Number of refusals of owners that were found at fault and have not been accepted since.
    refusal_counts: BTreeMap<RowOwner, u32>,
    /// A row that was left out has been refused again, and others are written before the next one.
    is_ordinary_due: bool,
    /// The last row that was written again was accepted.
    is_recovering: bool,
    /// Earliest time at which a row that was left out is written again.
    readmit_due: MonoTime,
    /// Earliest time of the next transaction.
    retry_due: MonoTime,
}

/// How long the rows of an owner are left out.
#[derive(Clone, Copy, Debug)]
struct RowExclusion {
    due: MonoTime,
    /// The same while a long-running task of the job is absent.
    urgent_due: MonoTime,
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

    /// Returns whether the store has refused the rows of an owner alone, and accepted none since.
    pub(super) fn is_refused(&self, owner: RowOwner) -> bool {
        self.refusal_counts.contains_key(&owner)
    }

    /// Returns when a row that is left out is written again next.
    pub(super) fn readmission_due(&self) -> Option<MonoTime> {
        let dues = self.excluded.values().map(|exclusion| exclusion.due);
        let first = dues.min()?;
        Some(if self.is_recovering {
            first
        } else {
            first.max(self.readmit_due)
        })
    }

    /// Has the rows of owners for which `is_urgent` holds written again earlier.
    pub(super) fn hasten(&mut self, is_urgent: impl Fn(&RowOwner) -> bool) {
        for (owner, exclusion) in &mut self.excluded {
            if exclusion.urgent_due < exclusion.due && is_urgent(owner) {
                exclusion.due = exclusion.urgent_due;
            }
        }
    }

    /// Makes an owner a suspect again whose rows have been left out for long enough, or all of them
    /// once such rows were accepted. Others are written between two that are refused.
    ///
    /// Returns them.
    fn readmit(&mut self, now: MonoTime) -> Vec<RowOwner> {
        let is_due = self.readmission_due().is_some_and(|due| due <= now);
        let is_searching = self.is_leader_only || !self.suspects.is_empty();
        if !is_due || is_searching || self.is_ordinary_due {
            return Vec::new();
        }
        let due = self.excluded.iter();
        let due = due.filter(|(_, exclusion)| exclusion.due <= now);
        let mut owners: Vec<(MonoTime, RowOwner)> = due
            .map(|(owner, exclusion)| (exclusion.due, *owner))
            .collect();
        owners.sort();
        if !self.is_recovering {
            owners.truncate(1);
        }
        let owners: Vec<RowOwner> = owners.into_iter().map(|(_, owner)| owner).collect();
        for owner in &owners {
            self.excluded.remove(owner);
        }
        self.suspects.extend(&owners);
        self.suspect_limit = self.suspects.len().div_ceil(2);
        self.readmit_due = now.after(RETRY_SPACING);
        owners
    }

    /// Drops suspects that have nothing to write any more.
    fn retain_suspects(&mut self, has_rows: impl Fn(&RowOwner) -> bool) {
        self.suspects.retain(has_rows);
        let (suspects, excluded) = (&self.suspects, &self.excluded);
        self.refusal_counts
            .retain(|owner, _| excluded.contains_key(owner) || suspects.contains(owner));
    }

    fn record_accepted(&mut self, owners: &[RowOwner]) {
        if !self.is_leader_only {
            self.is_ordinary_due = false;
        }
        self.is_leader_only = false;
        self.suspects.retain(|suspect| !owners.contains(suspect));
        if !owners.is_empty() {
            self.suspect_limit = self.suspects.len().div_ceil(2);
        }
        for owner in owners {
            self.is_recovering |= self.refusal_counts.remove(owner).is_some();
        }
    }

    /// Records that a transaction was refused; returns the owner at fault, once it is known.
    fn record_refused(&mut self, owners: &[RowOwner], now: MonoTime) -> Option<RowOwner> {
        self.is_leader_only = !owners.is_empty();
        self.is_recovering = false;
        match owners {
            [] => {
                self.retry_due = now.after(LEADER_RETRY_INTERVAL);
                None
            }
            [owner] => {
                let count = self.refusal_counts.entry(*owner).or_default();
                let delay = FIRST_URGENT_DELAY * 2_u32.pow((*count).min(URGENT_DOUBLINGS));
                *count = count.saturating_add(1);
                let exclusion = RowExclusion {
                    due: now.after(ROW_RETRY_INTERVAL),
                    urgent_due: now.after(delay.min(LONGEST_URGENT_DELAY)),
                };
                self.excluded.insert(*owner, exclusion);
                self.is_ordinary_due = true;
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
