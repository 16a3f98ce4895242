//! Task classes and declared task properties.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{JobKind, ResourceSet, TeamName};

/// Urgency of a task, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// A task that may be evicted and resumed.
    Batch,
    /// A batch task that starts before less urgent tasks and may evict them.
    Urgent,
    /// A task with a latency target; it is never evicted for other work.
    LatencyCritical,
}

impl fmt::Display for TaskClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Batch => "batch",
            Self::Urgent => "urgent",
            Self::LatencyCritical => "latency-critical",
        })
    }
}

impl FromStr for TaskClass {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "batch" => Ok(Self::Batch),
            "urgent" => Ok(Self::Urgent),
            "latency-critical" => Ok(Self::LatencyCritical),
            _ => Err(format!(
                "{text:?} is not a task class; expected batch, urgent or latency-critical"
            )),
        }
    }
}

/// Properties that a team declares for each task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The team that owns the task.
    pub team: TeamName,
    /// Kind of the job; nothing is learned from tasks without a kind.
    pub kind: Option<JobKind>,
    /// Urgency of the task.
    pub class: TaskClass,
    /// Declared resources; actual use may differ.
    pub resources: ResourceSet,
    /// Duration of the task on an otherwise idle VM, in milliseconds.
    pub work_millis: u64,
}
