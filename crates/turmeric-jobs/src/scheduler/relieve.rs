//! Moving tasks that are better off elsewhere.
//!
//! Load pattern: an endpoint that drains ends all that it runs when it leaves. Its
//! lasting tasks and those with checkpoints are moved while it still runs them.
//!
//! Load pattern: the serving tasks of a VM near the peak of their swing, while
//! those of another VM are idle or of an image that is not pressed. A filling
//! task that is slowed to less than half for a while is stopped with a checkpoint
//! and placed again; that costs it the restore time of a quarter to 0.6 s.

use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::{EvictionCause, JobEvent};
use crate::{AttemptKey, PlacementRequest, TaskName, VmCapacity, choose_vm};

/// A filling task is moved after it was slowed for this long.
const SLOW_TERM: Duration = Duration::from_millis(1000);

/// For this long a task does not go back to the VM that it was moved from.
const AVOID_TERM: Duration = Duration::from_secs(4);

/// Tasks moved in one round, since each changes what the others find.
const MOVE_LIMIT: usize = 4;

impl JobScheduler {
    /// Recalls filling tasks that are slowed and would do better elsewhere.
    pub(super) fn recall_slowed(&mut self, now: MonoTime) {
        self.avoided.retain(|_, (_, until)| now < *until);
        let slowed: Vec<(String, AttemptKey)> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_ready)
            .flat_map(|(name, vm)| {
                vm.held
                    .iter()
                    .filter(|(_, held)| {
                        !held.is_recalled
                            && held
                                .slowed_at
                                .is_some_and(|since| now > since.after(SLOW_TERM))
                    })
                    .map(|(key, _)| (name.clone(), *key))
            })
            .collect();
        if slowed.is_empty() {
            return;
        }
        let mut rooms = self.open_rooms(now);
        let mut moved = 0;
        for (name, key) in slowed {
            if moved < MOVE_LIMIT && self.move_to_better(&name, key, &mut rooms) {
                moved += 1;
                self.avoided
                    .insert(key.task, (name.clone(), now.after(AVOID_TERM)));
                self.note_recall(&name, key, EvictionCause::Slowed);
                self.news.insert(name);
            }
        }
    }

    fn note_recall(&mut self, name: &str, key: AttemptKey, cause: EvictionCause) {
        self.notes.push(JobEvent::Recalled {
            key,
            vm: name.to_owned(),
            cause,
        });
    }

    /// Recalls what runs on endpoints that drain, as far as others have room.
    pub(super) fn recall_draining(&mut self, now: MonoTime) {
        let leaving: Vec<(String, AttemptKey)> = self
            .vms
            .iter()
            .filter(|(_, vm)| {
                vm.is_ready && vm.facts.as_ref().is_some_and(|facts| facts.is_draining)
            })
            .flat_map(|(name, vm)| {
                let held = vm.held.iter().filter(|(_, held)| !held.is_recalled);
                held.map(|(key, _)| (name.clone(), *key))
            })
            .collect();
        if leaving.is_empty() {
            return;
        }
        let mut rooms = self.open_rooms(now);
        for (name, key) in leaving {
            if self.move_to_better(&name, key, &mut rooms) {
                self.note_recall(&name, key, EvictionCause::Draining);
                self.news.insert(name);
            }
        }
    }

    /// Returns what the VMs offer that take tasks.
    fn open_rooms(&self, now: MonoTime) -> Vec<VmCapacity> {
        self.vms
            .iter()
            .filter(|(_, vm)| !self.closed_zones.contains(&vm.zone))
            .filter_map(|(name, vm)| vm.room(name, &self.headroom, now))
            .collect()
    }

    /// Returns whether the task was recalled, another VM having room for it.
    fn move_to_better(&mut self, name: &str, key: AttemptKey, rooms: &mut [VmCapacity]) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(step) = job.spec.steps.get(key.task.step as usize) else {
            return false;
        };
        // Work that cannot be saved is not thrown away.
        let is_movable = step.checkpoints || step.is_long_running;
        if !is_movable || step.is_gang {
            return false;
        }
        let request = PlacementRequest {
            service: &job.spec.queue.service,
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let others = rooms.iter().filter(|room| room.vm != name);
        let found = choose_vm(&request, others, |vm| {
            self.vms.get(vm).map_or(0, |vm| vm.count_step(&key.task))
        });
        let Some(found) = found.map(|room| room.vm.clone()) else {
            return false;
        };
        if let Some(room) = rooms.iter_mut().find(|room| room.vm == found) {
            room.add(&key.task, step, &self.headroom);
        }
        if let Some(held) = self.vms.get_mut(name).and_then(|vm| vm.held.get_mut(&key)) {
            held.is_recalled = true;
        }
        true
    }

    /// Returns the VM that a task was moved from a short while ago.
    pub(super) fn avoided_vm(&self, task: &TaskName, now: MonoTime) -> Option<&str> {
        self.avoided
            .get(task)
            .filter(|(_, until)| now < *until)
            .map(|(vm, _)| vm.as_str())
    }
}
