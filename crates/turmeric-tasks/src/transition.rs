//! Task transitions, as stored in the partition log.

use turmeric_schema::v1;
use turmeric_types::{AgentId, AttemptNumber, JobKind, ResourceSet, TaskId, TaskSpec, WallTime};

use crate::convert::{
    read_class, read_resources, read_task, write_class, write_resources, write_task,
};
use crate::{AttemptMeasurement, DecodeError};

/// Why a task was returned to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// The agent refused the start; the attempt never ran.
    Refused,
    /// The task was checkpointed and stopped.
    Evicted,
    /// The agent lost the lease, or no longer holds the attempt.
    LeaseLapsed,
    /// The attempt failed and the task is retried.
    Failed,
}

/// A change of the state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskChange {
    /// A team submitted the task.
    Submitted {
        /// The specification that the team submitted.
        spec: TaskSpec,
        /// When it was submitted.
        submitted_at: WallTime,
    },
    /// An agent may run the task in this attempt.
    Assigned {
        /// The attempt.
        attempt: AttemptNumber,
        /// The agent.
        agent: AgentId,
        /// Resources allocated to the attempt.
        allocated: ResourceSet,
    },
    /// The attempt ended and the task waits again.
    Returned {
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// Work done up to the stored checkpoint, in milliseconds.
        checkpoint_millis: u64,
        /// Why the attempt ended.
        reason: ReturnReason,
        /// What the agent measured of the attempt.
        observed: AttemptMeasurement,
    },
    /// The task ended.
    Ended {
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// Whether it succeeded.
        succeeded: bool,
        /// When the entry learned of the end.
        ended_at: WallTime,
        /// What the agent measured of the attempt.
        observed: AttemptMeasurement,
    },
    /// The team cancelled the task.
    Cancelled {
        /// When the team cancelled it.
        cancelled_at: WallTime,
    },
}

/// A change of the state of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskTransition {
    /// The task.
    pub task: TaskId,
    /// The change.
    pub change: TaskChange,
}

pub(crate) fn write_submitted(spec: &TaskSpec, submitted_at: WallTime) -> v1::TaskSubmitted {
    v1::TaskSubmitted {
        team: spec.team.to_string(),
        class: write_class(spec.class),
        resources: Some(write_resources(&spec.resources)),
        work_millis: spec.work_millis,
        submitted_at: submitted_at.as_millis(),
        kind: spec
            .kind
            .as_ref()
            .map(JobKind::to_string)
            .unwrap_or_default(),
    }
}

pub(crate) fn read_submitted(
    submitted: &v1::TaskSubmitted,
) -> Result<(TaskSpec, WallTime), DecodeError> {
    let spec = TaskSpec {
        team: read_name("team", &submitted.team)?,
        class: read_class(submitted.class),
        resources: read_resources(submitted.resources.as_ref()),
        work_millis: submitted.work_millis,
        kind: read_optional_name("kind", &submitted.kind)?,
    };
    Ok((spec, WallTime::from_millis(submitted.submitted_at)))
}

pub(crate) fn read_name<T: std::str::FromStr>(
    field: &'static str,
    text: &str,
) -> Result<T, DecodeError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| DecodeError::Invalid {
        field,
        message: error.to_string(),
    })
}

/// Parses an optional name; an empty text stands for an absent one.
pub(crate) fn read_optional_name<T: std::str::FromStr>(
    field: &'static str,
    text: &str,
) -> Result<Option<T>, DecodeError>
where
    T::Err: std::fmt::Display,
{
    if text.is_empty() {
        return Ok(None);
    }
    read_name(field, text).map(Some)
}

impl TaskTransition {
    /// Creates a transition of `task`.
    pub fn new(task: TaskId, change: TaskChange) -> Self {
        Self { task, change }
    }

    /// Converts the transition to a log record.
    pub(crate) fn to_record(&self) -> v1::TaskTransition {
        use v1::task_transition::Change;
        let change = match &self.change {
            TaskChange::Submitted { spec, submitted_at } => {
                Change::Submitted(write_submitted(spec, *submitted_at))
            }
            TaskChange::Assigned {
                attempt,
                agent,
                allocated,
            } => Change::Assigned(v1::TaskAssigned {
                attempt: attempt.get(),
                agent: agent.to_string(),
                given: Some(write_resources(allocated)),
            }),
            TaskChange::Returned {
                attempt,
                checkpoint_millis,
                reason,
                observed,
            } => Change::Returned(v1::TaskReturned {
                attempt: attempt.get(),
                checkpoint_millis: *checkpoint_millis,
                reason: write_reason(*reason),
                usage: observed.write_usage(),
                harm: observed.write_interference(),
            }),
            TaskChange::Ended {
                attempt,
                succeeded,
                ended_at,
                observed,
            } => Change::Ended(v1::TaskEnded {
                attempt: attempt.get(),
                succeeded: *succeeded,
                ended_at: ended_at.as_millis(),
                usage: observed.write_usage(),
                harm: observed.write_interference(),
            }),
            TaskChange::Cancelled { cancelled_at } => Change::Cancelled(v1::TaskCancelled {
                cancelled_at: cancelled_at.as_millis(),
            }),
        };
        v1::TaskTransition {
            task: Some(write_task(self.task)),
            change: Some(change),
        }
    }

    /// Converts a log record to a transition.
    pub(crate) fn from_record(record: &v1::TaskTransition) -> Result<Self, DecodeError> {
        use v1::task_transition::Change;
        let task = read_task(record.task.as_ref())?;
        let change = match record.change.as_ref() {
            Some(Change::Submitted(submitted)) => {
                let (spec, submitted_at) = read_submitted(submitted)?;
                TaskChange::Submitted { spec, submitted_at }
            }
            Some(Change::Assigned(assigned)) => TaskChange::Assigned {
                attempt: AttemptNumber::new(assigned.attempt),
                agent: read_name("agent", &assigned.agent)?,
                allocated: read_resources(assigned.given.as_ref()),
            },
            Some(Change::Returned(returned)) => TaskChange::Returned {
                attempt: AttemptNumber::new(returned.attempt),
                checkpoint_millis: returned.checkpoint_millis,
                reason: read_reason(returned.reason),
                observed: AttemptMeasurement::read(
                    returned.usage.as_ref(),
                    returned.harm.as_ref(),
                )?,
            },
            Some(Change::Ended(ended)) => TaskChange::Ended {
                attempt: AttemptNumber::new(ended.attempt),
                succeeded: ended.succeeded,
                ended_at: WallTime::from_millis(ended.ended_at),
                observed: AttemptMeasurement::read(ended.usage.as_ref(), ended.harm.as_ref())?,
            },
            Some(Change::Cancelled(cancelled)) => TaskChange::Cancelled {
                cancelled_at: WallTime::from_millis(cancelled.cancelled_at),
            },
            None => return Err(DecodeError::Missing { field: "change" }),
        };
        Ok(Self { task, change })
    }
}

fn write_reason(reason: ReturnReason) -> i32 {
    let reason = match reason {
        ReturnReason::Refused => v1::ReturnReason::Refused,
        ReturnReason::Evicted => v1::ReturnReason::Evicted,
        ReturnReason::LeaseLapsed => v1::ReturnReason::LeaseLapsed,
        ReturnReason::Failed => v1::ReturnReason::Failed,
    };
    reason.into()
}

fn read_reason(reason: i32) -> ReturnReason {
    match v1::ReturnReason::try_from(reason) {
        Ok(v1::ReturnReason::Refused) => ReturnReason::Refused,
        Ok(v1::ReturnReason::Evicted) => ReturnReason::Evicted,
        Ok(v1::ReturnReason::Failed) => ReturnReason::Failed,
        Ok(v1::ReturnReason::LeaseLapsed | v1::ReturnReason::Unspecified) | Err(_) => {
            ReturnReason::LeaseLapsed
        }
    }
}
