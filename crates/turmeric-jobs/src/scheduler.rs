//! The leading entry's decisions: what runs where, what is recorded, what
//! agents are told.
//!
//! One entry leads. Every decision is written to the store first and acted on
//! when the store has answered; each write is conditional on the one before,
//! so that nothing of an earlier leader takes effect after a takeover.

mod commit;
mod ends;
mod load;
mod notes;
mod orders;
mod place;
mod relieve;
mod vm;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{CoreCount, MonoTime, WallTime};

use crate::{
    AttemptKey, EstimateTable, HeadroomTable, JobCode, JobPhase, JobSpec, JobState, LeaseLimits,
    QueuePolicy, TaskName,
};
use notes::EventList;
use vm::{HeldRun, VmState};

pub use commit::CommitPlan;
pub use notes::{EvictionCause, JobEvent, LossCause};

/// Times that the platform's contract or its clocks set.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerms {
    /// Leases of workers.
    pub lease: LeaseLimits,
    /// For how long an earlier leader may go on renewing leases without word
    /// from the store.
    pub confidence: Duration,
    /// For how long the state of a job that is over is kept.
    pub retention: Duration,
}

/// The leading entry's decisions.
#[derive(Debug)]
pub struct JobScheduler {
    terms: LeaderTerms,
    epoch: u64,
    holder: String,
    address: String,
    /// Where this entry takes callers' requests.
    callers_address: String,
    /// Processor of this entry.
    processor: CoreCount,
    /// Most processor of any entry that has led.
    strongest: CoreCount,
    took_over_at: MonoTime,
    jobs: BTreeMap<JobCode, JobState>,
    /// Cancelled before the job itself was read.
    early_cancels: BTreeSet<JobCode>,
    vms: BTreeMap<String, VmState>,
    queues: BTreeMap<String, QueuePolicy>,
    closed_zones: BTreeSet<String>,
    dirty: BTreeSet<JobCode>,
    commit_sequence: u64,
    is_committing: bool,
    committed_at: MonoTime,
    order_sequence: u64,
    /// VMs that have something to be told at once.
    news: BTreeSet<String>,
    is_releasing: bool,
    /// VMs that tasks were recalled from, until when they do not go back.
    avoided: BTreeMap<TaskName, (String, MonoTime)>,
    headroom: HeadroomTable,
    estimates: EstimateTable,
    headroom_kept_at: MonoTime,
    /// Loads of the queues as last reckoned, at first by the earlier leader.
    loads: Vec<v1::QueueLoad>,
    loads_at: MonoTime,
    notes: EventList,
}

impl JobScheduler {
    /// Creates the scheduler of an entry that has just taken the lead.
    pub fn new(
        terms: LeaderTerms,
        epoch: u64,
        holder: String,
        address: String,
        now: MonoTime,
    ) -> Self {
        Self {
            terms,
            epoch,
            holder,
            address,
            callers_address: String::new(),
            processor: CoreCount::default(),
            strongest: CoreCount::default(),
            took_over_at: now,
            jobs: BTreeMap::new(),
            early_cancels: BTreeSet::new(),
            vms: BTreeMap::new(),
            queues: BTreeMap::new(),
            closed_zones: BTreeSet::new(),
            dirty: BTreeSet::new(),
            commit_sequence: 0,
            is_committing: false,
            committed_at: now,
            order_sequence: 0,
            news: BTreeSet::new(),
            is_releasing: false,
            avoided: BTreeMap::new(),
            headroom: HeadroomTable::new(),
            estimates: EstimateTable::new(),
            headroom_kept_at: now,
            loads: Vec::new(),
            loads_at: MonoTime::default(),
            notes: EventList::default(),
        }
    }

    /// Goes on telling what the earlier leader said of the queues, until enough
    /// VMs were heard.
    pub fn with_loads(mut self, loads: Vec<v1::QueueLoad>) -> Self {
        self.loads = loads;
        self
    }

    /// Tells other entries where to pass callers' requests on.
    pub fn with_callers(mut self, address: String) -> Self {
        self.callers_address = address;
        self
    }

    /// Records this entry's processor, and the most of any that has led.
    pub fn with_processor(mut self, own: CoreCount, strongest: CoreCount) -> Self {
        self.processor = own;
        self.strongest = strongest;
        self
    }

    /// Returns the epoch of this leadership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of jobs that are not over.
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.phase.is_terminal())
            .count()
    }

    /// Returns what is known of a job.
    pub fn job(&self, code: JobCode) -> Option<&JobState> {
        self.jobs.get(&code)
    }

    /// Puts the operators' queues in force.
    pub fn set_queues(&mut self, queues: BTreeMap<String, QueuePolicy>) {
        self.queues = queues;
    }

    /// Puts the zones in force that operators have taken out.
    pub fn set_closed_zones(&mut self, zones: BTreeSet<String>) {
        self.closed_zones = zones;
    }

    /// Gives the lead up with the next commit; nothing is placed any more.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Takes in an accepted job. One that is known already changes nothing.
    pub fn add_job(&mut self, code: JobCode, spec: JobSpec, now: WallTime) {
        if self.jobs.contains_key(&code) {
            return;
        }
        let mut job = JobState::new(code, spec);
        job.correct_estimates(&self.estimates);
        self.jobs.insert(code, job);
        if self.early_cancels.remove(&code) {
            self.cancel_job(code, now);
        }
    }

    /// Takes in what an earlier leader recorded of a job.
    pub fn restore_job(&mut self, code: JobCode, progress: v1::JobProgress) {
        let earlier_end = self.earlier_end();
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        job.restore(code, progress);
        let placed: Vec<(AttemptKey, HeldRun)> = job
            .tasks
            .iter()
            .filter_map(|(name, state)| {
                let place = state.location.clone()?;
                let step = job.spec.steps.get(name.step as usize)?;
                let key = AttemptKey {
                    task: *name,
                    attempt: state.attempt,
                };
                Some((key, HeldRun::recorded(place, step)))
            })
            .collect();
        for (key, held) in placed {
            let vm = self
                .vms
                .entry(held.place.vm.clone())
                .or_insert_with(|| VmState::new(self.took_over_at, earlier_end));
            vm.held.insert(key, held);
        }
    }

    /// Takes in what an earlier leader learned of pairs of images.
    pub fn restore_headroom(&mut self, row: v1::HeadroomRow) {
        self.headroom = HeadroomTable::read(row, self.took_over_at);
    }

    /// Cancels a job; its attempts are recalled at once.
    pub fn cancel_job(&mut self, code: JobCode, now: WallTime) {
        let Some(job) = self.jobs.get(&code) else {
            self.early_cancels.insert(code);
            return;
        };
        if !job.phase.is_terminal() {
            self.finish_job(code, JobPhase::Cancelled, now);
        }
    }

    /// Ends a job and recalls what still runs of it.
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
            if let Some(place) = state.location.take() {
                self.news.insert(place.vm);
            }
        }
        self.touch(code);
        self.note_over(code, now);
    }

    fn touch(&mut self, code: JobCode) {
        if let Some(job) = self.jobs.get_mut(&code) {
            job.mark_changed();
            self.dirty.insert(code);
        }
    }

    /// Returns the VMs that have something to be told, once.
    pub fn take_news(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.news)
    }

    /// Returns until when an earlier leader may have renewed leases: until it
    /// lost confidence.
    fn earlier_end(&self) -> MonoTime {
        self.took_over_at.after(self.terms.confidence)
    }

    /// Returns whether the state of a job may be forgotten.
    fn is_expired(&self, job: &JobState, now: WallTime) -> bool {
        job.ended_at
            .is_some_and(|ended| now > ended.after(self.terms.retention))
    }
}
