//! Jobs that teams submit and cancel.

use turmeric_types::{JobId, PartitionId, ResourceSet, TaskId, TaskSpec, WallTime};

use super::TaskScheduler;
use crate::{TaskChange, TaskTransition};

/// Most tasks of one job.
const JOB_TASK_LIMIT: u32 = 10_000;

/// A job that a team submits.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// Identifier that the team chose; sending it again changes nothing.
    pub job: JobId,
    /// What each task asks for.
    pub spec: TaskSpec,
    /// Number of tasks.
    pub count: u32,
    /// When the entry received the job.
    pub submitted_at: WallTime,
}

/// What the scheduler says to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitDecision {
    /// The job is on its way into the log; it counts once it is durable.
    Writing(PartitionId),
    /// The job is durable already.
    Known,
    /// The partition of the team belongs to another entry.
    NotOwner(PartitionId),
    /// No worker could ever run such a task.
    NeverFits {
        /// What the task asks for.
        need: ResourceSet,
        /// The largest VM known.
        largest: ResourceSet,
    },
    /// One task alone is over the team's quota.
    OverQuota {
        /// The quota, in thousandths of a core.
        quota_millicores: u64,
    },
    /// The job has no task or too many.
    BadCount {
        /// Most tasks of one job.
        limit: u32,
    },
}

impl TaskScheduler {
    /// Decides on a job and adds its tasks to the log.
    pub fn submit(&mut self, request: &SubmitRequest) -> SubmitDecision {
        let partition = PartitionId::of_team(&request.spec.team);
        if request.count == 0 || request.count > JOB_TASK_LIMIT {
            return SubmitDecision::BadCount {
                limit: JOB_TASK_LIMIT,
            };
        }
        let Some(owned) = self.partitions.get(&partition) else {
            return SubmitDecision::NotOwner(partition);
        };
        let last = TaskId::new(request.job, request.count - 1);
        if owned.ledger.get(last).is_some() {
            return SubmitDecision::Known;
        }
        if owned.unsettled.contains(&last) {
            return SubmitDecision::Writing(partition);
        }
        if let Some(refusal) = self.refuse_spec(&request.spec) {
            return refusal;
        }
        for index in 0..request.count {
            let task = TaskId::new(request.job, index);
            if self.is_known(partition, task) {
                continue;
            }
            let change = TaskChange::Submitted {
                spec: request.spec.clone(),
                submitted_at: request.submitted_at,
            };
            self.write(partition, TaskTransition::new(task, change));
        }
        SubmitDecision::Writing(partition)
    }

    fn is_known(&self, partition: PartitionId, task: TaskId) -> bool {
        self.partitions.get(&partition).is_some_and(|owned| {
            owned.ledger.get(task).is_some() || owned.unsettled.contains(&task)
        })
    }

    fn refuse_spec(&self, spec: &TaskSpec) -> Option<SubmitDecision> {
        if let Some(quota) = self.settings.quotas.get(&spec.team)
            && spec.resources.cores.as_millicores() > *quota
        {
            return Some(SubmitDecision::OverQuota {
                quota_millicores: *quota,
            });
        }
        let mut capacities = self.index.iter().map(|(_, slot)| slot.capacity).peekable();
        // Without any worker known, the sizes are not known either.
        capacities.peek()?;
        let mut largest = ResourceSet::default();
        for capacity in capacities {
            if spec.resources.fits_in(&capacity) {
                return None;
            }
            largest = largest.max(capacity);
        }
        Some(SubmitDecision::NeverFits {
            need: spec.resources,
            largest,
        })
    }

    /// Cancels the tasks of a job that are not over.
    ///
    /// Returns how many are being cancelled, or [`None`] when this entry
    /// knows no such job.
    pub fn cancel(&mut self, job: JobId, now: WallTime) -> Option<usize> {
        let partition = self
            .partitions
            .iter()
            .find(|(_, owned)| owned.ledger.job_tasks(job).next().is_some())
            .map(|(partition, _)| *partition)?;
        let open: Vec<TaskId> = self.partitions[&partition]
            .ledger
            .job_tasks(job)
            .filter(|(_, record)| !record.phase.is_over())
            .map(|(task, _)| task)
            .collect();
        for task in &open {
            self.cancel_task(partition, *task, now);
        }
        Some(open.len())
    }

    /// Writes the end of a task, after its present transition if it has one.
    pub(super) fn cancel_task(&mut self, partition: PartitionId, task: TaskId, now: WallTime) {
        if self.partitions[&partition].unsettled.contains(&task) {
            self.cancelling.insert(task, now);
            return;
        }
        self.withdraw(task);
        let change = TaskChange::Cancelled { cancelled_at: now };
        self.write(partition, TaskTransition::new(task, change));
    }

    /// Takes a task that is being cancelled out of the waiting ones.
    fn withdraw(&mut self, task: TaskId) {
        let record = self
            .partitions
            .values()
            .find_map(|owned| owned.ledger.get(task));
        if let Some(record) = record {
            self.waiting.remove(task, record);
        }
    }
}
