//! Tasks that wait for a worker, grouped by what placement needs to know of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use turmeric_types::{
    JobId, JobKind, ResourceSet, TaskClass, TaskId, TaskSpec, TeamName, WallTime,
};

use crate::TaskRecord;

/// The properties by which waiting tasks are grouped for placement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingShape {
    /// The most urgent class sorts first.
    pub(crate) class: Reverse<TaskClass>,
    pub(crate) team: TeamName,
    pub(crate) kind: Option<JobKind>,
    /// Resources that the team declared.
    pub(crate) resources: ResourceSet,
    /// Whether an attempt has failed; then no less is allocated than declared.
    pub(crate) has_failed: bool,
    /// Job of a task that failed or was evicted, which avoids some workers.
    pub(crate) returned_job: Option<JobId>,
}

impl WaitingShape {
    /// Returns the declared specification, as far as placement needs it.
    pub(crate) fn spec(&self) -> TaskSpec {
        TaskSpec {
            team: self.team.clone(),
            kind: self.kind.clone(),
            class: self.class.0,
            resources: self.resources,
            work_millis: 0,
        }
    }
}

/// Tasks that wait for a worker.
///
/// Placement treats tasks of one shape alike, so that a shape which fits on no
/// worker is tried once, however many tasks have it.
#[derive(Debug, Default)]
pub(crate) struct WaitingTasks {
    shapes: BTreeMap<WaitingShape, BTreeSet<(WallTime, TaskId)>>,
    count: usize,
}

pub(crate) fn shape_of(task: TaskId, record: &TaskRecord) -> WaitingShape {
    WaitingShape {
        class: Reverse(record.spec.class),
        team: record.spec.team.clone(),
        kind: record.spec.kind.clone(),
        resources: record.spec.resources,
        has_failed: record.failures > 0,
        returned_job: (record.failures + record.evictions > 0).then_some(task.job),
    }
}

impl WaitingTasks {
    pub(crate) fn insert(&mut self, task: TaskId, record: &TaskRecord) {
        let tasks = self.shapes.entry(shape_of(task, record)).or_default();
        if tasks.insert((record.submitted_at, task)) {
            self.count += 1;
        }
    }

    pub(crate) fn remove(&mut self, task: TaskId, record: &TaskRecord) {
        let shape = shape_of(task, record);
        let Some(tasks) = self.shapes.get_mut(&shape) else {
            return;
        };
        if tasks.remove(&(record.submitted_at, task)) {
            self.count -= 1;
        }
        if tasks.is_empty() {
            self.shapes.remove(&shape);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn shapes(&self) -> impl Iterator<Item = &WaitingShape> {
        self.shapes.keys()
    }

    /// Returns the task of this shape that was submitted first.
    pub(crate) fn first(&self, shape: &WaitingShape) -> Option<TaskId> {
        let (_, task) = self.shapes.get(shape)?.first()?;
        Some(*task)
    }
}
