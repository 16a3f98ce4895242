//! Follows long-running tasks that have run and do not run, for the log and the metrics.
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
/// leader's time. The others keep the stage that they had.
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
    /// disturbed; [`None`] if only others can end it.
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
            // One turn of another task; 9 s less the other stages.
            Self::Probe => Some(Duration::from_millis(2500)),
            // Suspected tasks are started one after the other.
            Self::Isolation | Self::Capacity | Self::Row => None,
        }
    }
}

/// The time since the last run of a long-running task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAbsence {
    /// When the task is known to have stopped, or was last heard of.
    pub since: MonoTime,
    /// What it waits for.
    pub stage: RestartStage,
    /// Since when it waits for that.
    pub entered_at: MonoTime,
    /// Time in the earlier stages.
    spent: BTreeMap<RestartStage, Duration>,
    is_logged: bool,
}

impl TaskAbsence {
    fn new(stage: RestartStage, since: MonoTime) -> Self {
        Self {
            since,
            stage,
            entered_at: since,
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

    /// Returns the time spent in each stage until `now`.
    fn stages(&self, now: MonoTime) -> Vec<(RestartStage, Duration)> {
        let mut spent = self.spent.clone();
        *spent.entry(self.stage).or_default() += now.since(self.entered_at);
        spent.into_iter().collect()
    }
}

/// Long-running tasks that have run and do not run.
#[derive(Debug, Default)]
pub(super) struct AbsenceTable {
    absences: BTreeMap<TaskName, TaskAbsence>,
    review_due: MonoTime,
}

impl JobScheduler {
    /// Returns the long-running tasks that have run and do not run, as of the last review.
    pub fn absences(&self) -> impl Iterator<Item = (&TaskName, &TaskAbsence)> {
        self.absences.absences.iter()
    }

    /// Returns since when a long-running task has not run, as of the last review.
    pub(super) fn absent_since(&self, task: &TaskName) -> Option<MonoTime> {
        let absence = self.absences.absences.get(task);
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
            let Some((stage, _)) = stages.remove(task) else {
                if self.is_confirmed(task) {
                    events.push(JobEvent::Resumed {
                        task: *task,
                        absence: now.since(absence.since),
                        stages: absence.stages(now),
                        is_long: absence.is_logged,
                    });
                }
                return false;
            };
            let has_changed = absence.enter(stage.unwrap_or(absence.stage), now);
            let length = now.since(absence.since);
            if length > LOGGED_ABSENCE && (has_changed || !absence.is_logged) {
                absence.is_logged = true;
                events.push(JobEvent::Absent {
                    task: *task,
                    stage: absence.stage,
                    absence: length,
                });
            }
            true
        });
        for (task, (stage, since)) in stages {
            let stage = stage.unwrap_or(RestartStage::Capacity);
            absences.insert(task, TaskAbsence::new(stage, since));
        }
        for event in events {
            self.events.push(event);
        }
        let jobs: BTreeSet<JobCode> = absences.keys().map(|task| task.job).collect();
        self.refusals
            .hasten(|owner| matches!(owner, RowOwner::Job(code) if jobs.contains(code)));
        self.absences = AbsenceTable {
            absences,
            review_due: now.after(REVIEW_INTERVAL),
        };
    }

    /// Returns whether a report says that a task runs.
    fn is_confirmed(&self, task: &TaskName) -> bool {
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
            attempt.is_some_and(|attempt| attempt.is_confirmed)
        })
    }

    /// Returns the stage of each long-running task that does not run, with the time since which it
    /// may not run. The stage is [`None`] for waiting tasks beyond the limit.
    fn restart_stages(
        &self,
        now: MonoTime,
    ) -> BTreeMap<TaskName, (Option<RestartStage>, MonoTime)> {
        let mut stages = BTreeMap::new();
        let mut waiting: Vec<(JobCode, &JobState, TaskName)> = Vec::new();
        let open = self.jobs.iter();
        let open = open.filter(|(_, job)| !job.phase.is_terminal() && job.spec.is_long_running());
        for (code, job) in open {
            for (task, state) in &job.tasks {
                let step = job.spec.steps.get(task.step as usize);
                if step.is_none_or(|step| !step.is_long_running) || state.attempt.get() == 0 {
                    continue;
                }
                if state.location.is_none() {
                    waiting.push((*code, job, *task));
                } else if let Some((stage, since)) = self.placed_stage(task, state, now) {
                    stages.insert(*task, (Some(stage), since));
                }
            }
        }
        if waiting.is_empty() {
            return stages;
        }
        let fleet = self.fleet_capacity(now);
        for (position, (code, job, task)) in waiting.into_iter().enumerate() {
            let stage =
                (position < CHECK_LIMIT).then(|| self.waiting_stage(code, job, &task, &fleet, now));
            stages.insert(task, (stage, now));
        }
        stages
    }

    /// Returns the stage of a task that is placed on a VM, or [`None`] if it runs there, if its
    /// first attempt is about to start, or if the VM has not told this leader yet.
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
        if attempt.is_evicted {
            return Some((RestartStage::Stop, now));
        }
        let is_first = attempt.placed_at == MonoTime::default() || state.attempt.get() == 1;
        if attempt.is_confirmed || is_first {
            return None;
        }
        let stage = if self.is_recorded(&key, attempt) {
            RestartStage::Start
        } else {
            RestartStage::Record
        };
        Some((stage, now))
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
