//! The ledger: the state of all tasks of one partition.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use turmeric_learning::LearnedTable;
use turmeric_schema::{Message, v1};
use turmeric_types::{AgentId, AttemptNumber, JobId, ResourceSet, TaskId, TaskSpec, WallTime};

use crate::convert::{read_resources, read_task, write_resources, write_task};
use crate::learned::{read_learned, write_learned};
use crate::transition::{read_name, read_submitted, write_submitted};
use crate::{DecodeError, ReturnReason, TaskChange, TaskTransition};

/// Time for which a task is kept after its end.
const ENDED_RETENTION: Duration = Duration::from_secs(180);

/// Number of failed attempts after which a task is not retried.
const FAILURE_LIMIT: u32 = 3;

/// The phase of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task waits for a worker.
    Waiting,
    /// This agent may run the task.
    Assigned(AgentId),
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The team cancelled the task.
    Cancelled,
}

impl TaskPhase {
    /// Returns whether the task can never run again.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// The record of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRecord {
    /// The specification that the team submitted.
    pub spec: TaskSpec,
    /// Allocation of the last attempt; the declared resources before the first.
    pub allocated: ResourceSet,
    /// When the task was submitted.
    pub submitted_at: WallTime,
    /// The current phase.
    pub phase: TaskPhase,
    /// Number of the last attempt; zero before the first.
    pub attempt: AttemptNumber,
    /// Work done up to the stored checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failed attempts that were followed by a retry.
    pub failures: u32,
    /// When the task ended; zero before that.
    pub ended_at: WallTime,
}

/// A transition that the state of its task does not allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransitionError {
    task: TaskId,
    message: String,
}

impl fmt::Display for TransitionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "task {}: {}", self.task, self.message)
    }
}

impl std::error::Error for TransitionError {}

/// The tasks of one partition, built from its log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskLedger {
    tasks: BTreeMap<TaskId, TaskRecord>,
    learned: LearnedTable,
}

impl TaskLedger {
    /// Creates a ledger without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns one task.
    pub fn get(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task)
    }

    /// Returns all tasks, sorted by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(task, record)| (*task, record))
    }

    /// Returns the tasks of one job, sorted by identifier.
    pub fn job_tasks(&self, job: JobId) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks
            .range(TaskId::new(job, 0)..=TaskId::new(job, u32::MAX))
            .map(|(task, record)| (*task, record))
    }

    /// Returns usage and interference learned for the job kinds of the partition's teams.
    pub fn learned(&self) -> &LearnedTable {
        &self.learned
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Applies a transition that the log has accepted.
    ///
    /// # Errors
    ///
    /// Fails when the current state of the task does not allow the transition;
    /// the ledger is unchanged then.
    pub fn apply(&mut self, transition: &TaskTransition) -> Result<(), TransitionError> {
        let task = transition.task;
        let failure = |message: String| TransitionError { task, message };
        if let TaskChange::Submitted { spec, submitted_at } = &transition.change {
            if self.tasks.contains_key(&task) {
                return Err(failure("the task is already submitted".to_owned()));
            }
            self.tasks
                .insert(task, TaskRecord::new(spec, *submitted_at));
            return Ok(());
        }
        let record = self
            .tasks
            .get_mut(&task)
            .ok_or_else(|| failure("the task was never submitted".to_owned()))?;
        record.apply(&transition.change).map_err(failure)?;
        record_measurement(&mut self.learned, record, &transition.change);
        Ok(())
    }

    /// Removes ended tasks that are no longer kept at `now`.
    pub fn forget_ended(&mut self, now: WallTime) {
        self.tasks.retain(|_, record| {
            !record.phase.is_terminal() || record.ended_at.after(ENDED_RETENTION) > now
        });
    }

    /// Encodes the ledger as a snapshot of the state after the append at `index`.
    pub fn to_snapshot(&self, index: u64) -> Vec<u8> {
        let tasks = self
            .tasks
            .iter()
            .map(|(task, record)| record.to_state(*task))
            .collect();
        let snapshot = v1::PartitionSnapshot {
            index,
            tasks,
            workloads: write_learned(&self.learned),
        };
        snapshot.encode_to_vec()
    }

    /// Decodes a ledger from a snapshot.
    ///
    /// # Errors
    ///
    /// See [`DecodeError`].
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeError> {
        let snapshot =
            v1::PartitionSnapshot::decode(bytes).map_err(|error| DecodeError::Undecodable {
                message: error.to_string(),
            })?;
        let tasks = snapshot.tasks.iter().map(TaskRecord::from_state);
        Ok(Self {
            tasks: tasks.collect::<Result<_, _>>()?,
            learned: read_learned(&snapshot.workloads)?,
        })
    }
}

/// Adds what was measured of an attempt to the learned data of its job kind.
///
/// Usage is recorded when the task succeeded: up to an eviction or an error a
/// task uses less than it needs. Usage that reached the memory limit is
/// recorded too, as the task needs at least that much.
fn record_measurement(learned: &mut LearnedTable, record: &TaskRecord, change: &TaskChange) {
    let (observed, succeeded) = match change {
        TaskChange::Returned { observed, .. } => (observed, false),
        TaskChange::Ended {
            observed,
            succeeded,
            ..
        } => (observed, *succeeded),
        _ => return,
    };
    if let Some(usage) = observed.usage
        && (succeeded || usage.memory >= record.allocated.memory)
    {
        learned.record_usage(&record.spec, &record.allocated, usage);
    }
    if let Some(sample) = &observed.interference {
        learned.record_interference(&record.spec, sample);
    }
}

impl TaskRecord {
    fn new(spec: &TaskSpec, submitted_at: WallTime) -> Self {
        Self {
            spec: spec.clone(),
            allocated: spec.resources,
            submitted_at,
            phase: TaskPhase::Waiting,
            attempt: AttemptNumber::default(),
            checkpoint_millis: 0,
            evictions: 0,
            failures: 0,
            ended_at: WallTime::default(),
        }
    }

    /// Returns whether the task is assigned to `agent` in `attempt`.
    pub fn is_assigned(&self, agent: &AgentId, attempt: AttemptNumber) -> bool {
        self.attempt == attempt && self.phase == TaskPhase::Assigned(agent.clone())
    }

    fn apply(&mut self, change: &TaskChange) -> Result<(), String> {
        match change {
            TaskChange::Submitted { .. } => Err("the task is already submitted".to_owned()),
            TaskChange::Assigned {
                attempt,
                agent,
                allocated,
            } => self.assign(*attempt, agent, allocated),
            TaskChange::Returned {
                attempt,
                checkpoint_millis,
                reason,
                observed: _,
            } => {
                self.check_attempt(*attempt)?;
                self.phase = TaskPhase::Waiting;
                self.checkpoint_millis = self.checkpoint_millis.max(*checkpoint_millis);
                self.evictions += u32::from(*reason == ReturnReason::Evicted);
                self.failures += u32::from(*reason == ReturnReason::Failed);
                Ok(())
            }
            TaskChange::Ended {
                attempt,
                succeeded,
                ended_at,
                observed: _,
            } => {
                self.check_attempt(*attempt)?;
                self.phase = if *succeeded {
                    TaskPhase::Succeeded
                } else {
                    TaskPhase::Failed
                };
                self.ended_at = *ended_at;
                Ok(())
            }
            TaskChange::Cancelled { cancelled_at } => {
                if self.phase.is_terminal() {
                    return Err("the task has already ended and cannot be cancelled".to_owned());
                }
                self.phase = TaskPhase::Cancelled;
                self.ended_at = *cancelled_at;
                Ok(())
            }
        }
    }

    fn assign(
        &mut self,
        attempt: AttemptNumber,
        agent: &AgentId,
        allocated: &ResourceSet,
    ) -> Result<(), String> {
        if self.phase != TaskPhase::Waiting {
            return Err(format!(
                "the task cannot be assigned in phase {:?}",
                self.phase
            ));
        }
        if attempt != self.attempt.next() {
            return Err(format!(
                "attempt {attempt} does not follow the last attempt {}",
                self.attempt
            ));
        }
        self.attempt = attempt;
        // A log of an earlier version does not contain the allocation.
        let is_logged = *allocated != ResourceSet::default();
        self.allocated = if is_logged {
            *allocated
        } else {
            self.spec.resources
        };
        self.phase = TaskPhase::Assigned(agent.clone());
        Ok(())
    }

    fn check_attempt(&self, attempt: AttemptNumber) -> Result<(), String> {
        match self.phase {
            TaskPhase::Assigned(_) if self.attempt == attempt => Ok(()),
            _ => Err(format!(
                "attempt {attempt} is not the current one; the task is {:?} in attempt {}",
                self.phase, self.attempt
            )),
        }
    }

    /// Returns whether one more failed attempt ends the task.
    pub fn is_last_attempt(&self) -> bool {
        self.failures + 1 >= FAILURE_LIMIT
    }

    fn to_state(&self, task: TaskId) -> v1::TaskState {
        let (phase, agent) = match &self.phase {
            TaskPhase::Waiting => (v1::TaskPhase::Waiting, String::new()),
            TaskPhase::Assigned(agent) => (v1::TaskPhase::Assigned, agent.to_string()),
            TaskPhase::Succeeded => (v1::TaskPhase::Succeeded, String::new()),
            TaskPhase::Failed => (v1::TaskPhase::Failed, String::new()),
            TaskPhase::Cancelled => (v1::TaskPhase::Cancelled, String::new()),
        };
        v1::TaskState {
            task: Some(write_task(task)),
            submitted: Some(write_submitted(&self.spec, self.submitted_at)),
            attempt: self.attempt.get(),
            checkpoint_millis: self.checkpoint_millis,
            phase: phase.into(),
            agent,
            evictions: self.evictions,
            failures: self.failures,
            ended_at: self.ended_at.as_millis(),
            given: Some(write_resources(&self.allocated)),
        }
    }

    fn from_state(state: &v1::TaskState) -> Result<(TaskId, Self), DecodeError> {
        let submitted = state
            .submitted
            .as_ref()
            .ok_or(DecodeError::Missing { field: "submitted" })?;
        let (spec, submitted_at) = read_submitted(submitted)?;
        let phase = match v1::TaskPhase::try_from(state.phase) {
            Ok(v1::TaskPhase::Waiting) => TaskPhase::Waiting,
            Ok(v1::TaskPhase::Assigned) => TaskPhase::Assigned(read_name("agent", &state.agent)?),
            Ok(v1::TaskPhase::Succeeded) => TaskPhase::Succeeded,
            Ok(v1::TaskPhase::Failed) => TaskPhase::Failed,
            Ok(v1::TaskPhase::Cancelled) => TaskPhase::Cancelled,
            Err(error) => {
                return Err(DecodeError::Invalid {
                    field: "phase",
                    message: error.to_string(),
                });
            }
        };
        let allocated = state.given.as_ref();
        let record = Self {
            allocated: allocated
                .map_or(spec.resources, |allocated| read_resources(Some(allocated))),
            spec,
            submitted_at,
            phase,
            attempt: AttemptNumber::new(state.attempt),
            checkpoint_millis: state.checkpoint_millis,
            evictions: state.evictions,
            failures: state.failures,
            ended_at: WallTime::from_millis(state.ended_at),
        };
        Ok((read_task(state.task.as_ref())?, record))
    }
}
