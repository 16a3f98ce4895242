//! Submission and cancellation of jobs.

use turmeric_types::{JobId, PartitionId, ResourceSet, TaskId, TaskSpec, WallTime};

use super::TaskScheduler;
use crate::{TaskChange, TaskTransition};

/// Maximum number of tasks of one job.
const JOB_TASK_LIMIT: u32 = 10_000;

/// A request to submit a job.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// Identifier that the team chose; submitting it again has no effect.
    pub job: JobId,
    /// Specification of each task.
    pub spec: TaskSpec,
    /// Number of tasks.
    pub count: u32,
    /// When the entry received the job.
    pub submitted_at: WallTime,
}

/// The scheduler's decision on a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitDecision {
    /// The job is being written to the log; it is accepted once it is durable.
    Writing(PartitionId),
    /// The job is durable already.
    AlreadySubmitted,
    /// The partition of the team belongs to another entry.
    NotOwner(PartitionId),
    /// No worker could ever run such a task.
    NeverFits {
        /// Resources that the task declares.
        need: ResourceSet,
        /// Maximum of each resource over the capacities of the known VMs.
        largest: ResourceSet,
    },
    /// A single task exceeds the team's quota.
    OverQuota {
        /// The quota, in thousandths of a core.
        quota_millicores: u64,
    },
    /// The job has no tasks or too many.
    InvalidTaskCount {
        /// Maximum number of tasks of one job.
        limit: u32,
    },
}

impl TaskScheduler {
    /// Decides on a job and adds its tasks to the log if it is accepted.
    pub fn submit(&mut self, request: &SubmitRequest) -> SubmitDecision {
        let partition = PartitionId::of_team(&request.spec.team);
        if request.count == 0 || request.count > JOB_TASK_LIMIT {
            return SubmitDecision::InvalidTaskCount {
                limit: JOB_TASK_LIMIT,
            };
        }
        let Some(owned) = self.partitions.get(&partition) else {
            return SubmitDecision::NotOwner(partition);
        };
        let last = TaskId::new(request.job, request.count - 1);
        if owned.ledger.get(last).is_some() {
            return SubmitDecision::AlreadySubmitted;
        }
        if owned.pending_tasks.contains(&last) {
            return SubmitDecision::Writing(partition);
        }
        if let Some(refusal) = self.check_spec(&request.spec) {
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
            owned.ledger.get(task).is_some() || owned.pending_tasks.contains(&task)
        })
    }

    fn check_spec(&self, spec: &TaskSpec) -> Option<SubmitDecision> {
        if let Some(quota) = self.settings.quotas.get(&spec.team)
            && spec.resources.cores.as_millicores() > *quota
        {
            return Some(SubmitDecision::OverQuota {
                quota_millicores: *quota,
            });
        }
        let mut capacities = self.index.iter().map(|(_, slot)| slot.capacity).peekable();
        // Without a known worker, VM sizes are not known either.
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

    /// Cancels the tasks of a job that have not ended.
    ///
    /// Returns the number of tasks being cancelled, or [`None`] when no owned
    /// partition contains the job.
    pub fn cancel(&mut self, job: JobId, now: WallTime) -> Option<usize> {
        let partition = self
            .partitions
            .iter()
            .find(|(_, owned)| owned.ledger.job_tasks(job).next().is_some())
            .map(|(partition, _)| *partition)?;
        let open: Vec<TaskId> = self.partitions[&partition]
            .ledger
            .job_tasks(job)
            .filter(|(_, record)| !record.phase.is_terminal())
            .map(|(task, _)| task)
            .collect();
        for task in &open {
            self.cancel_task(partition, *task, now);
        }
        Some(open.len())
    }

    /// Cancels a task, once its pending transition is durable if it has one.
    pub(super) fn cancel_task(&mut self, partition: PartitionId, task: TaskId, now: WallTime) {
        if self.partitions[&partition].pending_tasks.contains(&task) {
            self.cancelling.insert(task, now);
            return;
        }
        self.remove_waiting(task);
        let change = TaskChange::Cancelled { cancelled_at: now };
        self.write(partition, TaskTransition::new(task, change));
    }

    /// Removes a task that is being cancelled from the queue.
    fn remove_waiting(&mut self, task: TaskId) {
        let record = self
            .partitions
            .values()
            .find_map(|owned| owned.ledger.get(task));
        if let Some(record) = record {
            self.waiting.remove(task, record);
        }
    }
}
