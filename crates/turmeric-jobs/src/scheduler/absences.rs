//! Follows long-running tasks that do not run, for the log and the metrics.
//!
//! Load pattern: VMs are lost and replaced while the fleet is full. On its way to the next run a
//! task passes through several waits, some of which follow from a promise and have a bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::MonoTime;

use super::moves::{FleetCapacity, MOVE_TIMEOUT};
use super::notes::JobEvent;
use super::refusals::RowOwner;
use super::{JobScheduler, LeaderTimeouts};
use crate::{AttemptKey, JobCode, JobState, PlacementRequest, TaskName, TaskState, VmCapacity};

/// Time between two reviews of the absent tasks.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Absences that are longer than this are logged. The platform allows 6 s.
const LOGGED_ABSENCE: Duration = Duration::from_secs(4);

/// Most waiting tasks for which a review checks all VMs, so that it takes under 1% of the
/// leader's time. The others keep the stage that they had. At most as many that have never run
/// are followed.
const CHECK_LIMIT: usize = 64;

/// Time from the release of a leadership, or the last write of a crashed leader, until another
/// entry has read the rows.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// What a long-running task waits for between two runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RestartStage {
    /// The end of the leases on its VM, which is silent.
    Leases,
    /// Its end, which it was ordered.
    Stop,
    /// The next round of placement, with space reserved on a VM.
    Reserved,
    /// The next round of placement, with enough free on a VM.
    Placement,
    /// Permission to return to the only VMs with enough free, from which it was evicted or on
    /// which its job failed.
    Retry,
    /// Its turn on the only VMs with enough free, which take one task at a time for now: they are
    /// suspected to be faulty, or start a task that may crash them.
    Probe,
    /// The same, for a task that may crash its VM, whose job has failed on these VMs, or that starts
    /// only with others.
    Isolation,
    /// Enough free on any VM.
    Capacity,
    /// The store's record of its new attempt.
    Record,
    /// A report that its new attempt runs.
    Start,
    /// The row of its job, which the store refuses.
    Row,
}

impl RestartStage {
    /// All stages.
    pub const ALL: [Self; 11] = [
        Self::Leases,
        Self::Stop,
        Self::Reserved,
        Self::Placement,
        Self::Retry,
        Self::Probe,
        Self::Isolation,
        Self::Capacity,
        Self::Record,
        Self::Start,
        Self::Row,
    ];

    /// Returns the stage's name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leases => "leases",
            Self::Stop => "stop",
            Self::Reserved => "reserved",
            Self::Placement => "placement",
            Self::Retry => "retry",
            Self::Probe => "probe",
            Self::Isolation => "isolation",
            Self::Capacity => "capacity",
            Self::Record => "record",
            Self::Start => "start",
            Self::Row => "row",
        }
    }

    /// Returns how long a task may be in the stage while store, leader and its new VM are not
    /// disturbed; [`None`] if only others can end it. [`Self::Row`] counts from when the store
    /// accepts the row.
    pub fn bound(self, timeouts: &LeaderTimeouts) -> Option<Duration> {
        match self {
            Self::Leases => Some(timeouts.lease.wait() + timeouts.renewal_window + TAKEOVER_DELAY),
            Self::Stop => Some(MOVE_TIMEOUT),
            // Two rounds of placement.
            Self::Reserved | Self::Placement => Some(Duration::from_millis(500)),
            Self::Retry => Some(Duration::from_millis(6000)),
            // A write that is under way, and the next one.
            Self::Record => Some(Duration::from_millis(1000)),
            // The timeout of a start. Where no other VM has enough free, the task stays.
            Self::Start => Some(Duration::from_millis(3000)),
            // The longest delay of a retry, and the writes of a record.
            Self::Row => Some(Duration::from_millis(3000)),
            // One turn of another task; 9 s less the other stages.
            Self::Probe => Some(Duration::from_millis(2500)),
            // Suspected tasks are started one after the other.
            Self::Isolation | Self::Capacity => None,
        }
    }

    /// Returns the same while no leader has crashed either, and workers carry out starts.
    pub fn calm_bound(self, timeouts: &LeaderTimeouts) -> Option<Duration> {
        match self {
            Self::Leases => Some(timeouts.lease.wait()),
            Self::Start => Some(CALM_START),
            _ => self.bound(timeouts),
        }
    }
}

/// Time from the order to start an attempt until a report says that it runs, if the worker carries
/// the order out.
const CALM_START: Duration = Duration::from_millis(500);

/// The time since the last run of a long-running task, or since its turn if it has never run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAbsence {
    /// When the task is known to have stopped, or was last heard of.
    pub since: MonoTime,
    /// An attempt of the task has run, or may have. The bounds of the stages hold only for such
    /// tasks.
    pub has_run: bool,
    /// What it waits for.
    pub stage: RestartStage,
    /// Since when it waits for that.
    pub entered_at: MonoTime,
    /// Time in the earlier stages.
    spent: BTreeMap<RestartStage, Duration>,
    is_logged: bool,
}

impl TaskAbsence {
    fn new(review: &StageReview) -> Self {
        Self {
            since: review.since,
            has_run: review.has_run,
            stage: review.stage.unwrap_or(RestartStage::Capacity),
            entered_at: review.since,
            spent: BTreeMap::new(),
            is_logged: false,
        }
    }

    /// Moves on to a stage; returns whether it is another one.
    fn enter(&mut self, stage: RestartStage, now: MonoTime) -> bool {
        if stage == self.stage {
            return false;
        }
        *self.spent.entry(self.stage).or_default() += now.since(self.entered_at);
        self.stage = stage;
        self.entered_at = now;
        true
    }

    /// Returns whether the absence should be logged, at the latest stage.
    fn is_due(&self, has_changed: bool, now: MonoTime) -> bool {
        let is_long = now.since(self.since) > LOGGED_ABSENCE;
        if self.has_run {
            return is_long && (has_changed || !self.is_logged);
        }
        // Without room the platform counts no absence, and whole jobs wait in a full fleet.
        is_long && !self.is_logged && self.stage != RestartStage::Capacity
    }

    /// Returns the time spent in each stage until `now`.
    fn stages(&self, now: MonoTime) -> Vec<(RestartStage, Duration)> {
        let mut spent = self.spent.clone();
        *spent.entry(self.stage).or_default() += now.since(self.entered_at);
        spent.into_iter().collect()
    }
}

/// What a review finds of a long-running task that does not run.
struct StageReview {
    /// [`None`] for waiting tasks beyond the limit.
    stage: Option<RestartStage>,
    /// Since when the task may not run.
    since: MonoTime,
    has_run: bool,
}

/// Long-running tasks that do not run.
#[derive(Debug, Default)]
pub(super) struct AbsenceTable {
    absences: BTreeMap<TaskName, TaskAbsence>,
    review_due: MonoTime,
}

impl JobScheduler {
    /// Returns the long-running tasks that have run and do not run, as of the last review.
    pub fn absences(&self) -> impl Iterator<Item = (&TaskName, &TaskAbsence)> {
        let absences = self.absences.absences.iter();
        absences.filter(|(_, absence)| absence.has_run)
    }

    /// Returns the long-running tasks that wait for their first run, as of the last review.
    pub fn first_waits(&self) -> impl Iterator<Item = (&TaskName, &TaskAbsence)> {
        let absences = self.absences.absences.iter();
        absences.filter(|(_, absence)| !absence.has_run)
    }

    /// Returns since when a long-running task that has run has not, as of the last review.
    pub(super) fn absent_since(&self, task: &TaskName) -> Option<MonoTime> {
        let absence = self.absences.absences.get(task);
        let absence = absence.filter(|absence| absence.has_run);
        absence.map(|absence| absence.since)
    }

    /// Reviews which long-running tasks do not run, and what each of them waits for.
    pub(super) fn review_absences(&mut self, now: MonoTime) {
        if now < self.absences.review_due || self.is_releasing {
            return;
        }
        let mut stages = self.restart_stages(now);
        let mut absences = std::mem::take(&mut self.absences.absences);
        let mut events = Vec::new();
        absences.retain(|task, absence| {
            let Some(review) = stages.remove(task) else {
                if self.runs(task) {
                    events.push(JobEvent::Resumed {
                        task: *task,
                        has_run: absence.has_run,
                        absence: now.since(absence.since),
                        stages: absence.stages(now),
                        is_long: absence.is_logged,
                    });
                }
                return false;
            };
            if review.has_run != absence.has_run {
                *absence = TaskAbsence::new(&review);
            }
            let has_changed = absence.enter(review.stage.unwrap_or(absence.stage), now);
            if absence.is_due(has_changed, now) {
                absence.is_logged = true;
                events.push(JobEvent::Absent {
                    task: *task,
                    has_run: absence.has_run,
                    stage: absence.stage,
                    absence: now.since(absence.since),
                });
            }
            true
        });
        let new = stages.iter();
        absences.extend(new.map(|(task, review)| (*task, TaskAbsence::new(review))));
        for event in events {
            self.events.push(event);
        }
        let interrupted = absences.iter().filter(|(_, absence)| absence.has_run);
        let jobs: BTreeSet<JobCode> = interrupted.map(|(task, _)| task.job).collect();
        self.refusals
            .hasten(|owner| matches!(owner, RowOwner::Job(code) if jobs.contains(code)));
        self.absences = AbsenceTable {
            absences,
            review_due: now.after(REVIEW_INTERVAL),
        };
    }

    /// Returns whether the last report of its VM says that a task runs.
    fn runs(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        let job = job.filter(|job| !job.phase.is_terminal());
        let state = job.and_then(|job| job.tasks.get(task));
        let location = state.and_then(|state| Some((state.attempt, state.location.as_ref()?)));
        location.is_some_and(|(attempt, location)| {
            let key = AttemptKey {
                task: *task,
                attempt,
            };
            let vm = self.vms.get(&location.vm);
            let attempt = vm.and_then(|vm| vm.attempts.get(&key));
            attempt.is_some_and(|attempt| attempt.is_known_to_run())
        })
    }

    /// Returns the stage of each long-running task that does not run.
    fn restart_stages(&self, now: MonoTime) -> BTreeMap<TaskName, StageReview> {
        let mut stages = BTreeMap::new();
        let mut waiting: Vec<(JobCode, &JobState, TaskName, &TaskState)> = Vec::new();
        let mut new: Vec<(JobCode, &JobState, TaskName, &TaskState)> = Vec::new();
        let open = self.jobs.iter();
        let open = open.filter(|(_, job)| !job.phase.is_terminal() && job.spec.is_long_running());
        for (code, job) in open {
            for (task, state) in &job.tasks {
                let step = job.spec.steps.get(task.step as usize);
                if step.is_none_or(|step| !step.is_long_running) {
                    continue;
                }
                if state.location.is_none() && state.has_run {
                    waiting.push((*code, job, *task, state));
                } else if state.location.is_none() {
                    // An occurrence of a repeating job may not be due yet.
                    let may_start =
                        job.spec.repeat.is_none() && job.is_ready(&task.first_of_step());
                    if may_start && new.len() < CHECK_LIMIT {
                        new.push((*code, job, *task, state));
                    }
                } else if let Some((stage, since)) = self.placed_stage(task, state, now) {
                    let review = StageReview {
                        stage: Some(stage),
                        since,
                        has_run: state.has_run,
                    };
                    stages.insert(*task, review);
                }
            }
        }
        if waiting.is_empty() && new.is_empty() {
            return stages;
        }
        let fleet = self.fleet_capacity(now);
        let checked = waiting.iter().take(CHECK_LIMIT).chain(&new);
        for (code, job, task, state) in checked {
            let review = StageReview {
                stage: Some(self.waiting_stage(*code, job, task, &fleet, now)),
                since: self.stopped_at(state, now),
                has_run: state.has_run,
            };
            stages.insert(*task, review);
        }
        for (_, _, task, state) in waiting.iter().skip(CHECK_LIMIT) {
            let review = StageReview {
                stage: None,
                since: self.stopped_at(state, now),
                has_run: true,
            };
            stages.insert(*task, review);
        }
        stages
    }

    /// Returns since when a task that is found not to run at `now` may not run: since the takeover
    /// if no report to this leader has said that it runs.
    fn stopped_at(&self, state: &TaskState, now: MonoTime) -> MonoTime {
        if state.is_inherited {
            self.took_over_at
        } else {
            now
        }
    }

    /// Returns the stage of a task that is placed on a VM, or [`None`] if it runs there or if the VM
    /// has not told this leader yet.
    fn placed_stage(
        &self,
        task: &TaskName,
        state: &TaskState,
        now: MonoTime,
    ) -> Option<(RestartStage, MonoTime)> {
        let location = state.location.as_ref()?;
        let vm = self.vms.get(&location.vm)?;
        let key = AttemptKey {
            task: *task,
            attempt: state.attempt,
        };
        let attempt = vm.attempts.get(&key)?;
        if !vm.is_reachable(now) {
            let heard_at = vm.unresponsive_since.unwrap_or(vm.reported_at);
            return Some((RestartStage::Leases, heard_at));
        }
        let since = self.stopped_at(state, now);
        if attempt.is_evicted {
            return Some((RestartStage::Stop, since));
        }
        if attempt.is_known_to_run() || attempt.is_untold() {
            return None;
        }
        let stage = if self.is_recorded(&key, attempt) {
            RestartStage::Start
        } else {
            RestartStage::Record
        };
        Some((stage, since))
    }

    /// Returns the stage of a task that is on no VM.
    fn waiting_stage(
        &self,
        code: JobCode,
        job: &JobState,
        task: &TaskName,
        fleet: &FleetCapacity,
        now: MonoTime,
    ) -> RestartStage {
        if !self.is_placeable(code) {
            return RestartStage::Row;
        }
        if fleet.reserved.contains_key(task) {
            return RestartStage::Reserved;
        }
        let Some(step) = job.spec.steps.get(task.step as usize) else {
            return RestartStage::Capacity;
        };
        let request = PlacementRequest {
            service: self.service(job),
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let first = task.first_of_step();
        let avoided = self.avoided_vm(task, now);
        let mut stage = RestartStage::Capacity;
        for vm in fleet.vms.values() {
            if !request.fits(vm, || self.count_step(&vm.vm, &first)) {
                continue;
            }
            if avoided != Some(vm.vm.as_str()) && self.may_retry(code, vm, now) {
                return RestartStage::Placement;
            }
            stage = RestartStage::Retry;
        }
        if stage != RestartStage::Capacity {
            return stage;
        }
        let goes_after_others = step.is_gang || self.may_crash(task);
        for (name, vm) in &self.vms {
            if fleet.vms.contains_key(name) || self.closed_zones.contains(&vm.zone) {
                continue;
            }
            let capacity = vm.capacity(name, &self.headroom, now);
            let fits = |vm: VmCapacity| request.fits(&vm, || self.count_step(&vm.vm, &first));
            if !capacity.is_some_and(fits) {
                continue;
            }
            let is_avoided = avoided == Some(name.as_str());
            if !goes_after_others && !is_avoided && !vm.suspicion.has_failed(code) {
                return RestartStage::Probe;
            }
            stage = RestartStage::Isolation;
        }
        stage
    }
}
