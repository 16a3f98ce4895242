//! Writes the scheduler's decisions to the store, many in one transaction.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use turmeric_schema::{Message, v1};
use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::refusals::{RowChoice, RowOwner};
use crate::progress_rows::{ProgressPart, WriteRoom};
use crate::{JobCode, LeasePromise, StoreBounds};

/// Most jobs written in one transaction.
const JOB_LIMIT: usize = 60;

/// Rows of each transaction beside those of jobs: the leader's row, which is expected and
/// written, and the interference between images.
const OWN_ROWS: usize = 3;

/// Most jobs whose rows one transaction deletes.
const FORGET_LIMIT: usize = 10;

/// Most rows of these jobs, unless a single job has more.
const FORGET_ROW_LIMIT: usize = 30;

/// Rows that every job may have: its acceptance, its cancellation and its progress.
const JOB_ROWS: usize = 3;

/// Bytes of the leader's row beside the loads of the queues.
const LEADER_ROW_OVERHEAD: usize = 2 << 10;

/// Most bytes that the encoding of a queue's load adds to the row beside those of the load itself.
const LOAD_OVERHEAD: usize = 6;

/// Time between two writes of a leader that has nothing to record; other entries take over
/// after several times as long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Shortest time between two writes, so that decisions share a write.
const COMMIT_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two writes of the interference estimates, which take seconds to learn.
pub(super) const HEADROOM_INTERVAL: Duration = Duration::from_secs(2);

/// One transaction; either all of it takes effect or nothing.
#[derive(Clone, Debug)]
pub struct CommitPlan {
    /// Number of this write within the epoch, as stored in the leader's row.
    pub sequence: u64,
    /// The encoded leader's row.
    pub leader_row: Vec<u8>,
    /// Encoded progress of the jobs that changed.
    pub progress: Vec<(JobCode, Vec<u8>)>,
    /// Encoded further rows with progress of jobs, which may have no row in `progress`.
    pub parts: Vec<(JobCode, ProgressPart, Vec<u8>)>,
    /// Encoded interference estimates, if they are due to be written.
    pub headroom: Option<Vec<u8>>,
    /// Jobs whose rows are all deleted, or that were cancelled without ever having been known.
    pub forgotten: Vec<JobCode>,
    /// Further rows with progress of these jobs.
    pub forgotten_parts: Vec<(JobCode, ProgressPart)>,
    /// When the write was begun.
    begun_at: MonoTime,
    /// What the leader's row promises.
    promise: LeasePromise,
    /// Revision of each job in `progress`.
    revisions: Vec<(JobCode, u64)>,
}

impl CommitPlan {
    /// Returns the owners of all rows but the leader's own.
    pub fn owners(&self) -> Vec<RowOwner> {
        let progress = self.progress.iter().map(|(code, _)| *code);
        let parts = self.parts.iter().map(|(code, ..)| *code);
        let jobs: BTreeSet<JobCode> = progress
            .chain(parts)
            .chain(self.forgotten.iter().copied())
            .collect();
        let headroom = self.headroom.as_ref().map(|_| RowOwner::Interference);
        jobs.into_iter()
            .map(RowOwner::Job)
            .chain(headroom)
            .collect()
    }

    /// Returns the bytes of all values that an owner's rows would hold.
    pub fn bytes_of(&self, owner: RowOwner) -> usize {
        match owner {
            RowOwner::Job(code) => {
                let progress = self.progress.iter().filter(|(job, _)| *job == code);
                let parts = self.parts.iter().filter(|(job, ..)| *job == code);
                let progress = progress.map(|(_, value)| value.len());
                let parts = parts.map(|(_, _, value)| value.len());
                progress.chain(parts).sum()
            }
            RowOwner::Interference => self.headroom.as_ref().map_or(0, Vec::len),
        }
    }
}

/// Encoded progress of jobs for one transaction.
#[derive(Default)]
struct ProgressBatch {
    progress: Vec<(JobCode, Vec<u8>)>,
    parts: Vec<(JobCode, ProgressPart, Vec<u8>)>,
    revisions: Vec<(JobCode, u64)>,
}

impl JobScheduler {
    /// Writes within `bounds` instead of the platform's usual limits.
    pub fn with_store_bounds(mut self, bounds: StoreBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns when the next write is due.
    pub fn commit_due(&self) -> MonoTime {
        let is_idle = self.dirty.is_empty() && !self.leases.is_row_due();
        let interval = if is_idle && !self.is_releasing {
            HEARTBEAT_INTERVAL
        } else {
            COMMIT_INTERVAL
        };
        let mut due = self.committed_at.after(interval);
        if let Some(readmission) = self.refusals.readmission_due() {
            let earliest = self.committed_at.after(COMMIT_INTERVAL);
            due = due.min(readmission.max(earliest));
        }
        due.max(self.refusals.retry_due())
    }

    /// Returns the next transaction if one is due and none is in flight.
    pub fn begin_commit(&mut self, now: MonoTime, wall: WallTime) -> Option<CommitPlan> {
        if self.is_committing || now < self.commit_due() {
            return None;
        }
        self.is_committing = true;
        self.commit_sequence += 1;
        for code in std::mem::take(&mut self.unrecorded_starts) {
            if !self.refusals.is_excluded(RowOwner::Job(code)) {
                self.dirty.insert(code);
            }
        }
        let choice = self.prepare_choice(now, wall);
        let mut room = WriteRoom::new(&self.bounds, OWN_ROWS);
        let forgotten = self.choose_forgotten(&choice, &mut room, wall);
        let batch = self.take_progress(&choice, &mut room);
        let parts_of = |code: &JobCode| {
            let parts = self.jobs.get(code).map(|job| job.rows.parts());
            let code = *code;
            let parts = parts.unwrap_or_default().into_iter();
            parts.map(move |part| (code, part))
        };
        let forgotten_parts = forgotten.iter().flat_map(parts_of).collect();
        let promise = self.promise_leases(now);
        self.leases.begin_row(promise.clone());
        Some(CommitPlan {
            headroom: self.take_headroom(&choice, now),
            sequence: self.commit_sequence,
            leader_row: self.leader_row(&promise, now, wall).encode_to_vec(),
            progress: batch.progress,
            parts: batch.parts,
            forgotten,
            forgotten_parts,
            begun_at: now,
            promise,
            revisions: batch.revisions,
        })
    }

    /// Chooses ended jobs, and cancelled ones that never came, whose rows are deleted, as far as these
    /// fit into one transaction.
    fn choose_forgotten(
        &self,
        choice: &RowChoice,
        room: &mut WriteRoom,
        wall: WallTime,
    ) -> Vec<JobCode> {
        let ended = self
            .jobs
            .iter()
            .filter(|(code, job)| self.is_expired(job, wall) && !self.dirty.contains(code))
            .map(|(code, job)| (*code, JOB_ROWS + job.rows.parts().len()));
        let unknown = self.early_cancels.expired(self.timeouts.retention, wall);
        let expired = ended
            .chain(unknown.map(|code| (code, JOB_ROWS)))
            .filter(|(code, _)| choice.allows(RowOwner::Job(*code)))
            .filter(|(code, _)| !self.refusals.is_excluded(RowOwner::Job(*code)));
        let mut forgotten = Vec::new();
        let mut rows = 0;
        for (code, job_rows) in expired.take(FORGET_LIMIT) {
            if rows + job_rows > FORGET_ROW_LIMIT && !forgotten.is_empty() {
                break;
            }
            rows += job_rows;
            forgotten.push(code);
        }
        room.rows = room.rows.saturating_sub(rows);
        forgotten
    }

    /// Encodes the interference estimates if they are due.
    fn take_headroom(&mut self, choice: &RowChoice, now: MonoTime) -> Option<Vec<u8>> {
        let owner = RowOwner::Interference;
        let is_due = now >= self.headroom_due && !self.refusals.is_excluded(owner);
        if !is_due || !choice.allows(owner) {
            return None;
        }
        self.headroom_due = now.after(HEADROOM_INTERVAL);
        let row = self.headroom.write(self.bounds.value_bytes);
        Some(row.encode_to_vec())
    }

    /// Takes the progress of jobs that changed, as far as it fits into one transaction. Jobs take
    /// turns, so that those that change all the time delay no other.
    ///
    /// Load pattern: a burst of large jobs changes all of them at once, and their progress exceeds
    /// what the store accepts in one call.
    fn take_progress(&mut self, choice: &RowChoice, room: &mut WriteRoom) -> ProgressBatch {
        let after_last = (Bound::Excluded(self.last_written), Bound::Unbounded);
        let due = self.dirty.range(after_last);
        let due = due.chain(self.dirty.range(..=self.last_written));
        let due = due.filter(|code| choice.allows(RowOwner::Job(**code)));
        let due: Vec<JobCode> = due.take(JOB_LIMIT).copied().collect();
        let mut batch = ProgressBatch::default();
        for code in due {
            let Some(job) = self.jobs.get_mut(&code) else {
                self.dirty.remove(&code);
                continue;
            };
            let write = job.write_rows(room);
            let parts = write.parts.into_iter();
            batch
                .parts
                .extend(parts.map(|(part, value)| (code, part, value)));
            self.last_written = code;
            let Some(first) = write.first else {
                // It goes on in one of the next transactions.
                break;
            };
            batch.revisions.push((code, job.revision));
            batch.progress.push((code, first));
            self.dirty.remove(&code);
        }
        batch
    }

    fn leader_row(
        &mut self,
        promise: &LeasePromise,
        now: MonoTime,
        wall: WallTime,
    ) -> v1::LeaderRow {
        let overhead = LEADER_ROW_OVERHEAD + promise.row_bytes();
        let room = self.bounds.value_bytes.saturating_sub(overhead);
        let mut row = v1::LeaderRow {
            epoch: self.epoch,
            sequence: self.commit_sequence,
            holder: self.holder.clone(),
            address: self.address.clone(),
            callers_address: self.callers_address.clone(),
            released: self.is_releasing,
            queues: limit_loads(self.queue_loads(now, wall), room),
            holder_millicores: self.cores.as_millicores(),
            early_cancels: self.early_cancels.len() as u32,
            strongest_millicores: self.max_leader_cores.max(self.cores).as_millicores(),
            ..v1::LeaderRow::default()
        };
        promise.write(&mut row, now);
        row
    }

    /// Records that the store has committed the transaction.
    pub fn commit_done(&mut self, plan: &CommitPlan, now: MonoTime) {
        self.is_committing = false;
        self.committed_at = now;
        self.record_accepted(plan);
        // The answer may have been on its way while this entry was suspended, and replaced.
        self.confirmed_at = plan.begun_at;
        self.leases.confirm(plan.promise.clone());
        self.grant_withheld(now);
        for (code, revision) in &plan.revisions {
            if let Some(job) = self.jobs.get_mut(code) {
                job.recorded_revision = *revision;
            }
        }
        for code in &plan.forgotten {
            self.jobs.remove(code);
            self.early_cancels.remove(*code);
        }
        for (name, vm) in &mut self.vms {
            let before = vm.unrecorded_ends.len();
            vm.unrecorded_ends.retain(|_, (code, revision)| {
                self.jobs
                    .get(code)
                    .is_some_and(|job| job.recorded_revision < *revision)
            });
            let has_starts = vm.attempts.iter().any(|(key, attempt)| {
                attempt.sent_at.is_none()
                    && plan.revisions.iter().any(|(code, _)| *code == key.task.job)
            });
            if vm.unrecorded_ends.len() < before || has_starts {
                self.pending_updates.insert(name.clone());
            }
        }
    }

    /// Returns the latest time at which the store is known to have had this entry as the leader.
    pub fn confirmed_at(&self) -> MonoTime {
        self.confirmed_at
    }
}

/// Shortens loads of queues to at most `limit` encoded bytes: first they lose the delays of small
/// jobs, then those of queues that have the fewest waiting jobs are left out.
///
/// Load pattern: operators add hundreds of queues, and all of them have jobs.
fn limit_loads(mut loads: Vec<v1::QueueLoad>, limit: usize) -> Vec<v1::QueueLoad> {
    let size = |load: &v1::QueueLoad| load.encoded_len() + LOAD_OVERHEAD;
    if loads.iter().map(size).sum::<usize>() <= limit {
        return loads;
    }
    for load in &mut loads {
        load.steps.clear();
    }
    loads.sort_by_key(|load| Reverse(load.waiting));
    let mut bytes = 0;
    loads.retain(|load| {
        let fits = bytes + size(load) <= limit;
        bytes += if fits { size(load) } else { 0 };
        fits
    });
    loads
}
