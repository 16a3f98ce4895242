//! Progress of one job, as decided and recorded by the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::WallTime;

use crate::progress_rows::ProgressRows;
use crate::{
    AttemptNumber, CrashRecord, EndpointIncarnation, EstimateTable, JobCode, JobSpec,
    RemainingWork, StepEstimate, StepSpec, TaskName,
};

/// Phase of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobPhase {
    /// The job is accepted, and no task is known to have started. Tasks may be placed and ordered.
    #[default]
    Queued,
    /// A worker has started a task at least once. Earlier versions recorded this once a task was
    /// placed.
    Running,
    /// All tasks have succeeded.
    Done,
    /// A task reached its limit of failed attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the job has ended and none of its tasks will run again.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Decodes a phase from a row of the store.
    ///
    /// Returns [`None`] for a number that no version has written.
    pub fn read(number: u32) -> Option<Self> {
        match number {
            0 => Some(Self::Queued),
            1 => Some(Self::Running),
            2 => Some(Self::Done),
            3 => Some(Self::Failed),
            4 => Some(Self::Cancelled),
            _ => None,
        }
    }

    /// Encodes the phase for a row of the store.
    pub(crate) fn write(self) -> u32 {
        match self {
            Self::Queued => 0,
            Self::Running => 1,
            Self::Done => 2,
            Self::Failed => 3,
            Self::Cancelled => 4,
        }
    }
}

/// VM and endpoint incarnation to which an attempt is assigned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptLocation {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the endpoint that may run the attempt.
    pub incarnation: EndpointIncarnation,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskState {
    /// The task succeeded.
    pub is_done: bool,
    /// Number of the last attempt.
    pub attempt: AttemptNumber,
    /// Attempts that failed. A set, because an end may be reported more than once.
    pub failed_attempts: BTreeSet<AttemptNumber>,
    /// Crashes of endpoints under its attempts.
    pub crashes: CrashRecord,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Location at which the last attempt may be running.
    pub location: Option<AttemptLocation>,
    /// How often this leader has evicted it because it made no progress, or was not started; of a
    /// long-running task, since it was last at work.
    pub stalls: u32,
    /// An attempt has run, or may have.
    pub has_run: bool,
    /// An earlier leader placed an attempt, and no report to this one has said that one runs.
    pub is_inherited: bool,
}

impl TaskState {
    /// Returns whether the task still has to run and no attempt of it may be running.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.location.is_none()
    }
}

/// State of one job at the leader.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Its code.
    pub(crate) code: JobCode,
    /// The job as it was accepted, except that its estimates are corrected by the observed
    /// progress of its tasks.
    pub spec: JobSpec,
    /// Current phase.
    pub phase: JobPhase,
    /// When the job ended.
    pub ended_at: Option<WallTime>,
    /// All tasks of all occurrences.
    pub tasks: BTreeMap<TaskName, TaskState>,
    /// Number of changes since this leader added the job.
    pub revision: u64,
    /// Revision that is recorded in the store.
    pub recorded_revision: u64,
    /// Estimated run times of the tasks of each step.
    pub estimates: Vec<StepEstimate>,
    /// Further rows with its progress.
    pub(crate) rows: ProgressRows,
}

impl JobState {
    /// Creates the state of a job without recorded progress.
    pub fn new(code: JobCode, spec: JobSpec) -> Self {
        let mut tasks = BTreeMap::new();
        for occurrence in 0..spec.occurrences() {
            for (step, step_spec) in (0..).zip(&spec.steps) {
                for index in 0..step_spec.count {
                    let name = TaskName {
                        job: code,
                        occurrence,
                        step,
                        index,
                    };
                    tasks.insert(name, TaskState::default());
                }
            }
        }
        let stated = spec.steps.iter().map(|step| step.estimate);
        let estimates = stated.map(|stated| StepEstimate::new(stated, stated));
        Self {
            code,
            rows: ProgressRows::default(),
            estimates: estimates.collect(),
            spec,
            phase: JobPhase::Queued,
            ended_at: None,
            tasks,
            revision: 0,
            recorded_revision: 0,
        }
    }

    /// Returns the job's code.
    pub fn code(&self) -> JobCode {
        self.code
    }

    /// Restores the progress that an earlier leader recorded in the first row of the job.
    pub fn restore(&mut self, progress: v1::JobProgress) {
        self.phase = JobPhase::read(progress.phase).unwrap_or_default();
        self.ended_at = (progress.ended_at > 0).then(|| WallTime::from_millis(progress.ended_at));
        self.restore_rows(&progress);
        self.restore_tasks(progress.tasks);
    }

    /// Returns the name of a recorded task.
    pub(crate) fn name_of(&self, task: &v1::TaskProgress) -> TaskName {
        TaskName {
            job: self.code,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        }
    }

    pub(crate) fn restore_tasks(&mut self, tasks: Vec<v1::TaskProgress>) {
        let attempts = |numbers: Vec<u64>| numbers.into_iter().map(AttemptNumber::new).collect();
        for task in tasks {
            let name = self.name_of(&task);
            let location = (!task.vm.is_empty()).then_some(AttemptLocation {
                vm: task.vm,
                incarnation: EndpointIncarnation {
                    endpoint: task.endpoint,
                    started_at_millis: task.born,
                },
            });
            let Some(state) = self.tasks.get_mut(&name) else {
                continue;
            };
            let has_run = location.is_some() || self.phase != JobPhase::Queued;
            *state = TaskState {
                is_done: task.done,
                attempt: AttemptNumber::new(task.run),
                failed_attempts: attempts(task.failed_runs),
                crashes: CrashRecord {
                    attempts: attempts(task.crashed_runs),
                    uncertain: attempts(task.uncertain_runs),
                    is_suspect: task.suspect,
                },
                checkpoint: String::new(),
                location,
                stalls: 0,
                has_run: task.run > 0 && has_run,
                is_inherited: task.run > 0,
            };
            if !task.done {
                self.save_checkpoint(&name, &task.checkpoint);
            }
        }
    }

    /// Records that a worker has started a task; returns whether it is the first one.
    pub(crate) fn record_start(&mut self) -> bool {
        let is_first = self.phase == JobPhase::Queued;
        if is_first {
            self.phase = JobPhase::Running;
        }
        is_first
    }

    /// Records that the job has changed.
    pub fn mark_changed(&mut self) {
        self.revision += 1;
    }

    /// Corrects the prior estimates of all steps by what was learned of their queue.
    pub fn correct_estimates(&mut self, table: &EstimateTable) {
        for step in 0..self.estimates.len() {
            let stated = self.estimates[step].stated;
            self.estimates[step].prior = table.correct(&self.spec.queue.route, stated);
            self.update_estimate(step);
        }
    }

    /// Records progress of a task of a step.
    pub fn record_progress(&mut self, step: u32, worked: Duration, percent: u32) {
        if let Some(estimate) = self.estimates.get_mut(step as usize) {
            estimate.record_progress(worked, percent);
            self.update_estimate(step as usize);
        }
    }

    fn update_estimate(&mut self, step: usize) {
        if let (Some(spec), Some(estimate)) =
            (self.spec.steps.get_mut(step), self.estimates.get(step))
        {
            spec.estimate = estimate.expected();
        }
    }

    /// Returns whether all tasks of a step of an occurrence have succeeded.
    pub fn is_step_done(&self, code: JobCode, occurrence: u32, step: u32) -> bool {
        let first = TaskName {
            job: code,
            occurrence,
            step,
            index: 0,
        };
        self.tasks
            .range(first.step_range())
            .all(|(_, state)| state.is_done)
    }

    /// Returns the remaining work of the job, over all its occurrences. It counts the work
    /// of the tasks that are not placed yet.
    pub fn remaining(&self, code: JobCode) -> RemainingWork {
        let critical_path = self
            .spec
            .critical_path_of(|step| !self.is_step_done(code, 0, step));
        let core_millis = self
            .tasks
            .iter()
            .filter(|(_, state)| state.is_waiting())
            .filter_map(|(name, _)| self.spec.steps.get(name.step as usize))
            .map(StepSpec::task_work)
            .sum();
        RemainingWork {
            critical_path_millis: critical_path.as_millis() as u64,
            core_millis,
        }
    }

    /// Returns whether all steps that a task depends on have succeeded.
    pub fn is_ready(&self, name: &TaskName) -> bool {
        self.spec.steps.get(name.step as usize).is_some_and(|step| {
            step.after
                .iter()
                .all(|after| self.is_step_done(name.job, name.occurrence, *after))
        })
    }
}
