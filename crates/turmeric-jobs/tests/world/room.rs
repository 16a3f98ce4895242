//! Room for absent long-running tasks by the platform's rules (docs/design/restart-stages.md, "What
//! counts as room"), from what the workers run and report only.

use std::collections::BTreeMap;

use turmeric_jobs::{JobPhase, TaskName};
use turmeric_schema::{Message, v1};

use super::World;
use super::restarts::RestartChecks;

/// Time after its last run within which a long-running task must run again, in milliseconds.
const ABSENCE_BOUND: u64 = 9_000;

/// Part of it at the end in which workers must have room at each moment.
const ROOM_TIME: u64 = 3_000;

/// Time without a disturbance after which an absence counts.
const CALM_TIME: u64 = 7_000;

/// Since when there has been room for absent tasks without interruption.
#[derive(Debug, Default)]
pub(super) struct RoomLog {
    /// On each worker.
    by_worker: BTreeMap<(TaskName, usize), u64>,
    /// On whichever worker.
    anywhere: BTreeMap<TaskName, u64>,
}

impl World {
    /// Records since when there has been room for each absent task, since it is absent.
    pub(super) fn record_room(&mut self) {
        let now = self.now;
        let earlier = std::mem::take(&mut self.restarts.rooms);
        let mut rooms = RoomLog::default();
        for task in self.absences.ended_at.keys() {
            for number in 0..self.workers.len() {
                if self.has_room(number, task) {
                    let key = (*task, number);
                    let since = earlier.by_worker.get(&key).copied().unwrap_or(now);
                    rooms.by_worker.insert(key, since);
                    let since = earlier.anywhere.get(task).copied().unwrap_or(now);
                    rooms.anywhere.insert(*task, since);
                }
            }
        }
        self.restarts.rooms = rooms;
    }

    /// Returns whether a worker is up, answers, is not about to leave, and has room for a task.
    fn has_room(&self, number: usize, task: &TaskName) -> bool {
        let worker = &self.workers[number];
        let is_open = worker.answers(self.now) && !worker.ignores_starts(self.now);
        if worker.is_draining || !is_open || self.is_agent_idle(number) {
            return false;
        }
        let Some(spec) = self.store.intake.get(&task.job) else {
            return false;
        };
        let step = &spec.steps[task.step as usize];
        let need = step.need.cores.as_millicores();
        let first = task.first_of_step();
        let same_step = worker.running().map(|key| key.task.first_of_step());
        let same_step = same_step.filter(|other| *other == first).count();
        worker.seen_millicores() + need <= worker.millicores
            && step.vm_limit.is_none_or(|limit| same_step < limit as usize)
    }

    /// Returns whether any worker but `except` has had room for a task all the time since `start`.
    pub(super) fn has_room_since(
        &self,
        start: u64,
        task: &TaskName,
        except: Option<usize>,
    ) -> bool {
        let mut rooms = self.restarts.rooms.by_worker.iter();
        rooms.any(|((other, number), since)| {
            other == task && Some(*number) != except && *since <= start
        })
    }

    /// Returns a task that was absent for too long in calm although there was room for it at each
    /// moment, on whichever worker.
    pub(super) fn unused_room(&self, checks: &mut RestartChecks) -> Option<String> {
        let log = &self.disturbances;
        if log.shared_at.max(log.fault_at) + CALM_TIME >= self.now {
            return None;
        }
        let mut unused = None;
        for (task, ended_at) in &self.absences.ended_at {
            let length = self.now - ended_at;
            if length <= ABSENCE_BOUND || !self.is_wanted(task) {
                continue;
            }
            checks.rooms += 1;
            let since = self.restarts.rooms.anywhere.get(task);
            if since.is_some_and(|since| since + ROOM_TIME <= self.now) {
                let text = format!("{task} is absent for {length} ms beside room");
                unused = unused.or(Some(text));
            }
        }
        unused
    }

    /// Returns whether the store has no end of a task's job.
    fn is_wanted(&self, task: &TaskName) -> bool {
        let Some(value) = self.store.progress.get(&task.job) else {
            return self.store.intake.contains_key(&task.job);
        };
        let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
        JobPhase::read(progress.phase).is_none_or(|phase| !phase.is_terminal())
    }
}
