//! The scheduler of the leader: places tasks, records decisions and sends orders to agents.
//!
//! Exactly one entry is the leader. Each decision is written to the store before the leader
//! acts on it. Each write is conditional on the previous one, so no write of an earlier
//! leader takes effect after a takeover.

mod absences;
mod commit;
mod consolidate;
mod crashes;
mod ends;
mod exclusions;
mod leases;
mod load;
mod losses;
mod moves;
mod notes;
mod orders;
mod place;
mod preempt;
mod refusals;
mod relieve;
mod restarts;
mod suspicion;
mod turns;
mod vm;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{CoreCount, MonoTime, WallTime};

use crate::cancellations::EarlyCancels;
use crate::{
    AttemptKey, EstimateTable, HeadroomTable, JobCode, JobPhase, JobSpec, JobState, LeaseLimits,
    LeasePromise, PolicySet, ProgressPart, QueuePolicy, StoreBounds, TaskName,
};
use absences::AbsenceTable;
use commit::HEADROOM_INTERVAL;
use crashes::CrashHistory;
use leases::LeaseBook;
use moves::MoveReservation;
use notes::EventList;
use refusals::RefusalSearch;
use vm::{VmAttempt, VmState};

pub use absences::{RestartStage, TaskAbsence};
pub use commit::CommitPlan;
pub use exclusions::{ExclusionCounts, ExclusionSummary, WaitingStep};
pub use notes::{EvictionCause, JobEvent, LeaseOrigin, LossCause};
pub use refusals::RowOwner;

/// Timeouts that follow from the platform's contract and its clocks.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTimeouts {
    /// Limits of the workers' leases.
    pub lease: LeaseLimits,
    /// How long a leader keeps renewing leases after the begin of the last write that the store has
    /// confirmed.
    pub renewal_window: Duration,
    /// How long the state of a job is kept after the job has ended.
    pub retention: Duration,
}

/// Schedules jobs for one term of leadership.
#[derive(Debug)]
pub struct JobScheduler {
    timeouts: LeaderTimeouts,
    policies: PolicySet,
    epoch: u64,
    holder: String,
    address: String,
    /// Address at which this entry accepts callers' requests.
    callers_address: String,
    /// Processors of this entry.
    cores: CoreCount,
    /// Most processors of any entry that has been the leader.
    max_leader_cores: CoreCount,
    took_over_at: MonoTime,
    leases: LeaseBook,
    jobs: BTreeMap<JobCode, JobState>,
    /// Jobs that were cancelled before the job itself was read.
    early_cancels: EarlyCancels,
    vms: BTreeMap<String, VmState>,
    queues: BTreeMap<String, QueuePolicy>,
    closed_zones: BTreeSet<String>,
    /// Jobs that changed since their last write began.
    dirty: BTreeSet<JobCode>,
    /// Jobs whose first start is written with the next transaction, for which none is due earlier.
    unrecorded_starts: BTreeSet<JobCode>,
    /// The last job that a write took up.
    last_written: JobCode,
    commit_sequence: u64,
    is_committing: bool,
    committed_at: MonoTime,
    /// When the last write that the store has confirmed was begun.
    confirmed_at: MonoTime,
    order_sequence: u64,
    /// VMs to which new orders should be sent at once.
    pending_updates: BTreeSet<String>,
    is_releasing: bool,
    /// The VM that each task was evicted from, and until when the task is not placed there.
    avoided: BTreeMap<TaskName, (String, MonoTime)>,
    /// The VMs on which starts of each task were rejected, and until when others are preferred.
    rejections: BTreeMap<TaskName, BTreeMap<String, MonoTime>>,
    /// Space reserved for long-running tasks that are being moved.
    moves: BTreeMap<TaskName, MoveReservation>,
    /// Long-running tasks that do not run.
    absences: AbsenceTable,
    consolidation_due: MonoTime,
    /// Number of VMs, by ascending serving work, that the next round of consolidation passes
    /// over because the rounds before found no plan for them.
    consolidation_offset: usize,
    crash_history: CrashHistory,
    /// Jobs that fail with the next round of placement, since one of their tasks is given up.
    crashed_jobs: BTreeSet<JobCode>,
    headroom: HeadroomTable,
    estimates: EstimateTable,
    /// When the interference estimates are written next.
    headroom_due: MonoTime,
    bounds: StoreBounds,
    refusals: RefusalSearch,
    /// Queue loads as last computed; those of the earlier leader at first.
    loads: Vec<v1::QueueLoad>,
    loads_computed_at: MonoTime,
    events: EventList,
}

impl JobScheduler {
    /// Creates the scheduler of an entry that has just become the leader.
    pub fn new(
        timeouts: LeaderTimeouts,
        epoch: u64,
        holder: String,
        address: String,
        now: MonoTime,
    ) -> Self {
        Self {
            timeouts,
            policies: PolicySet::default(),
            epoch,
            holder,
            address,
            callers_address: String::new(),
            cores: CoreCount::default(),
            max_leader_cores: CoreCount::default(),
            took_over_at: now,
            leases: LeaseBook::new(&timeouts, now),
            jobs: BTreeMap::new(),
            early_cancels: EarlyCancels::default(),
            vms: BTreeMap::new(),
            queues: BTreeMap::new(),
            closed_zones: BTreeSet::new(),
            dirty: BTreeSet::new(),
            unrecorded_starts: BTreeSet::new(),
            last_written: JobCode::new(0),
            commit_sequence: 0,
            is_committing: false,
            committed_at: now,
            confirmed_at: now,
            order_sequence: 0,
            pending_updates: BTreeSet::new(),
            is_releasing: false,
            avoided: BTreeMap::new(),
            rejections: BTreeMap::new(),
            moves: BTreeMap::new(),
            absences: AbsenceTable::default(),
            consolidation_due: now,
            consolidation_offset: 0,
            crash_history: CrashHistory::default(),
            crashed_jobs: BTreeSet::new(),
            headroom: HeadroomTable::new(),
            estimates: EstimateTable::new(),
            headroom_due: now.after(HEADROOM_INTERVAL),
            bounds: StoreBounds::default(),
            refusals: RefusalSearch::default(),
            loads: Vec::new(),
            loads_computed_at: MonoTime::default(),
            events: EventList::default(),
        }
    }

    /// Decides by `policies` instead of the default ones.
    pub fn with_policies(mut self, policies: PolicySet) -> Self {
        self.policies = policies;
        self
    }

    /// Counts as confirmed by the store since `at`, when the takeover was begun.
    pub fn with_confirmation(mut self, at: MonoTime) -> Self {
        self.confirmed_at = at;
        self
    }

    /// Waits for the leases that earlier leaders promised, and grants those that the row of the
    /// takeover promises, which is the first one of this leader.
    pub fn with_promises(mut self, earlier: LeasePromise, own: LeasePromise) -> Self {
        self.leases = LeaseBook::with_promises(earlier, own);
        self
    }

    /// Publishes the earlier leader's queue loads until enough VMs have reported.
    pub fn with_loads(mut self, loads: Vec<v1::QueueLoad>) -> Self {
        self.loads = loads;
        self
    }

    /// Publishes the address to which other entries forward callers' requests.
    pub fn with_callers_address(mut self, address: String) -> Self {
        self.callers_address = address;
        self
    }

    /// Records this entry's processors and the most that any leader has had.
    pub fn with_cores(mut self, own: CoreCount, max_leader: CoreCount) -> Self {
        self.cores = own;
        self.max_leader_cores = max_leader;
        self
    }

    /// Returns the epoch of this leadership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.phase.is_terminal())
            .count()
    }

    /// Returns the number of cancelled jobs that are not known.
    pub fn early_cancels(&self) -> usize {
        self.early_cancels.len()
    }

    /// Returns the state of a job, if the job is known.
    pub fn job(&self, code: JobCode) -> Option<&JobState> {
        self.jobs.get(&code)
    }

    /// Sets the queues that the operators have configured.
    pub fn set_queues(&mut self, queues: BTreeMap<String, QueuePolicy>) {
        self.queues = queues;
    }

    /// Sets the availability zones that operators have taken out of service.
    pub fn set_closed_zones(&mut self, zones: BTreeSet<String>) {
        self.closed_zones = zones;
    }

    /// Gives up leadership with the next commit; no more tasks are placed.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Adds an accepted job; does nothing if the job is already known.
    pub fn add_job(&mut self, code: JobCode, spec: JobSpec, now: WallTime) {
        if self.jobs.contains_key(&code) {
            return;
        }
        let mut job = JobState::new(code, spec);
        job.correct_estimates(&self.estimates);
        self.jobs.insert(code, job);
        if self.early_cancels.remove(code) {
            self.cancel_job(code, now);
        }
    }

    /// Restores the progress that an earlier leader recorded for a job.
    pub fn restore_job(&mut self, code: JobCode, progress: v1::JobProgress) {
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        job.restore(progress);
        self.restore_attempts(code);
    }

    /// Restores a further row with the progress of a job, after the first one.
    pub fn restore_part(&mut self, code: JobCode, part: ProgressPart, progress: v1::JobProgress) {
        if let Some(job) = self.jobs.get_mut(&code) {
            job.restore_part(part, progress);
        }
        if matches!(part, ProgressPart::Tasks(_)) {
            self.restore_attempts(code);
        }
    }

    /// Adds the attempts of a restored job to their VMs.
    fn restore_attempts(&mut self, code: JobCode) {
        let Some(job) = self.jobs.get(&code) else {
            return;
        };
        let attempts: Vec<(AttemptKey, VmAttempt)> = job
            .tasks
            .iter()
            .filter_map(|(name, state)| {
                let location = state.location.clone()?;
                let step = job.spec.steps.get(name.step as usize)?;
                let key = AttemptKey {
                    task: *name,
                    attempt: state.attempt,
                };
                Some((key, VmAttempt::new(location, step)))
            })
            .collect();
        for (key, attempt) in attempts {
            let name = attempt.location.vm.clone();
            let earlier_end = self.leases.earlier_end_on(&name);
            let vm = self
                .vms
                .entry(name)
                .or_insert_with(|| VmState::new(self.took_over_at, earlier_end));
            vm.attempts.insert(key, attempt);
        }
    }

    /// Restores the interference estimates that an earlier leader recorded.
    pub fn restore_headroom(&mut self, row: v1::HeadroomRow) {
        self.headroom = HeadroomTable::read(row, self.took_over_at);
    }

    /// Cancels a job; its attempts are stopped at once.
    pub fn cancel_job(&mut self, code: JobCode, now: WallTime) {
        self.cancel_job_since(code, now, now);
    }

    /// Cancels a job that its caller has cancelled at `at`. If the job is not known, its row may
    /// still be on its way.
    pub fn cancel_job_since(&mut self, code: JobCode, at: WallTime, now: WallTime) {
        let Some(job) = self.jobs.get(&code) else {
            // The entry's clock may be ahead.
            self.early_cancels.record(code, at.min(now));
            return;
        };
        if !job.phase.is_terminal() {
            self.finish_job(code, JobPhase::Cancelled, now);
        }
    }

    /// Ends a job and stops the attempts of it that are still running.
    fn finish_job(&mut self, code: JobCode, phase: JobPhase, now: WallTime) {
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        job.phase = phase;
        job.ended_at = Some(now);
        for step in &job.estimates {
            self.estimates.record_step(&job.spec.queue.route, step);
        }
        for state in job.tasks.values_mut() {
            if let Some(location) = state.location.take() {
                self.pending_updates.insert(location.vm);
            }
        }
        job.drop_checkpoints();
        self.touch(code);
        self.record_job_end(code, now);
    }

    /// Marks a job as changed, so that the next commit writes it.
    fn touch(&mut self, code: JobCode) {
        if let Some(job) = self.jobs.get_mut(&code) {
            job.mark_changed();
            if !self.refusals.is_excluded(RowOwner::Job(code)) {
                self.dirty.insert(code);
            }
        }
    }

    /// Returns the VMs to which new orders should be sent, and clears the list.
    pub fn take_pending_updates(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.pending_updates)
    }

    /// Returns whether the state of a job has been kept long enough to be deleted.
    fn is_expired(&self, job: &JobState, now: WallTime) -> bool {
        job.ended_at
            .is_some_and(|ended| now > ended.after(self.timeouts.retention))
    }
}
