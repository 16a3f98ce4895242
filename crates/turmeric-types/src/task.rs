//! What a team declares about a task.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{JobKind, ResourceSet, TeamName};

/// How urgently a task has to start, most urgent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Work that may be evicted and resumed.
    Batch,
    /// Batch work that starts ahead of other work and may evict it.
    Urgent,
    /// A task that serves a latency target and is never evicted for other work.
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
                "{text:?} is not a class; expected batch, urgent or latency-critical"
            )),
        }
    }
}

/// What a team declares about each task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The team that owns the task.
    pub team: TeamName,
    /// Kind of the job; without one nothing is learned from its tasks.
    pub kind: Option<JobKind>,
    /// How urgently the task has to start.
    pub class: TaskClass,
    /// Declared resources; the real need may differ.
    pub resources: ResourceSet,
    /// Work of the task on an idle VM, in milliseconds.
    pub work_millis: u64,
}
