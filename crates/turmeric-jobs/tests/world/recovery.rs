//! Records how long long-running tasks do not run after they have run.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_jobs::{JobSpec, TaskName};

use super::World;

/// Time after its last run within which a long-running task must run again, in milliseconds, by
/// the platform's rules: 6 s, and 3 s more before its absence counts.
const RECOVERY_BOUND: u64 = 9_000;

/// When long-running tasks did not run.
#[derive(Debug, Default)]
pub(super) struct AbsenceLog {
    /// Tasks that have run and do not run now, with the end of the last run.
    pub(super) ended_at: BTreeMap<TaskName, u64>,
    running: BTreeSet<TaskName>,
    /// Tasks that were absent for too long and run again, with the length of the absence.
    late: Vec<(TaskName, u64)>,
}

impl World {
    /// Records which long-running tasks run.
    pub(super) fn record_absences(&mut self) {
        let now = self.now;
        let running: BTreeSet<TaskName> = self
            .workers
            .iter()
            .flat_map(|worker| worker.running())
            .map(|key| key.task)
            .filter(|task| {
                let job = self.store.intake.get(&task.job);
                job.is_some_and(JobSpec::is_long_running)
            })
            .collect();
        let is_cancelled = |task: &TaskName| self.store.cancelled.contains(&task.job);
        let log = &mut self.absences;
        for task in log.running.difference(&running) {
            log.ended_at.insert(*task, now);
        }
        log.ended_at.retain(|task, ended_at| {
            let is_back = running.contains(task);
            if is_back && now - *ended_at > RECOVERY_BOUND {
                log.late.push((*task, now - *ended_at));
            }
            !is_back && !is_cancelled(task)
        });
        log.running = running;
    }

    /// Returns the long-running tasks that were absent for longer than the platform allows, or are,
    /// with the length of the absence in milliseconds.
    pub fn late_tasks(&self) -> Vec<(String, u64)> {
        let absent = self.absences.ended_at.iter();
        let absent = absent.map(|(task, ended_at)| (*task, self.now - ended_at));
        let absent = absent.filter(|(_, length)| *length > RECOVERY_BOUND);
        let late = self.absences.late.iter().copied().chain(absent);
        late.map(|(task, length)| (task.to_string(), length))
            .collect()
    }

    /// Returns whether a long-running task that has run does not run.
    pub(super) fn has_absences(&self) -> bool {
        !self.absences.ended_at.is_empty()
    }

    /// Returns the number of long-running tasks that run at a worker.
    pub fn long_running_on(&self, worker: usize) -> usize {
        let tasks = self.workers[worker].running().map(|key| key.task);
        let is_long_running = |task: &TaskName| {
            let job = self.store.intake.get(&task.job);
            job.is_some_and(JobSpec::is_long_running)
        };
        tasks.filter(is_long_running).count()
    }
}
