//! Records how long long-running tasks do not run after they have run.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_jobs::{JobSpec, TaskName};

use super::{ROUND, World};

/// Time after its last run within which a long-running task must run again, in milliseconds, by
/// the platform's rules: 6 s, and 3 s more before its absence counts.
const RECOVERY_BOUND: u64 = 9_000;

/// When long-running tasks did not run.
#[derive(Debug, Default)]
pub(super) struct AbsenceLog {
    /// Tasks that have run and do not run now, with the end of the last run.
    ended_at: BTreeMap<TaskName, u64>,
    running: BTreeSet<TaskName>,
    /// The tasks that were absent for too long, in the order in which that was noticed.
    late: Vec<TaskName>,
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
        log.ended_at
            .retain(|task, _| !running.contains(task) && !is_cancelled(task));
        for (task, ended_at) in &log.ended_at {
            // Each is noticed once, in the first round after the bound.
            if now - ended_at > RECOVERY_BOUND && now - ended_at <= RECOVERY_BOUND + ROUND {
                log.late.push(*task);
            }
        }
        log.running = running;
    }

    /// Returns the long-running tasks that were absent for longer than the platform allows.
    pub fn late_tasks(&self) -> &[TaskName] {
        &self.absences.late
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
