//! Evicts tasks that should run on another VM.
//!
//! Load pattern: a draining endpoint terminates all its attempts when it leaves. Its
//! long-running tasks and those with checkpoints are moved while they still run there.
//!
//! Load pattern: the serving tasks of one VM are near the peak of their load, while those of
//! another VM are idle or of an image that suffers little interference. A best-effort task
//! that has been slowed to less than half of its speed for a while is stopped with a
//! checkpoint and placed again, which costs it the restore time of 0.25 s to 0.6 s.

use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::{EvictionCause, JobEvent};
use crate::{AttemptKey, PlacementRequest, TaskName, VmCapacity, choose_vm};

/// A best-effort task is moved after it has been slowed for this long.
const SLOW_TIMEOUT: Duration = Duration::from_millis(1000);

/// For this long, an evicted task is not placed again on the VM that it was evicted from.
const AVOID_DURATION: Duration = Duration::from_secs(4);

/// Most slowed tasks evicted in one round, since each eviction changes the free capacity that
/// the others find.
const EVICTION_LIMIT: usize = 4;

impl JobScheduler {
    /// Evicts slowed best-effort tasks for which another VM has free capacity.
    pub(super) fn evict_slowed(&mut self, now: MonoTime) {
        self.avoided.retain(|_, (_, until)| now < *until);
        let slowed: Vec<(String, AttemptKey)> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_ready)
            .flat_map(|(name, vm)| {
                vm.attempts
                    .iter()
                    .filter(|(_, attempt)| {
                        !attempt.is_evicted
                            && attempt
                                .slowed_since
                                .is_some_and(|since| now > since.after(SLOW_TIMEOUT))
                    })
                    .map(|(key, _)| (name.clone(), *key))
            })
            .collect();
        if slowed.is_empty() {
            return;
        }
        let mut capacities = self.open_capacities(now);
        let mut evicted = 0;
        for (name, key) in slowed {
            if evicted < EVICTION_LIMIT && self.evict_if_placeable(&name, key, &mut capacities) {
                evicted += 1;
                self.avoided
                    .insert(key.task, (name.clone(), now.after(AVOID_DURATION)));
                self.record_eviction(&name, key, EvictionCause::Slowed);
                self.pending_updates.insert(name);
            }
        }
    }

    pub(super) fn record_eviction(&mut self, name: &str, key: AttemptKey, cause: EvictionCause) {
        self.events.push(JobEvent::Evicted {
            key,
            vm: name.to_owned(),
            cause,
        });
    }

    /// Evicts tasks from draining endpoints, as far as other VMs have free capacity.
    pub(super) fn evict_draining(&mut self, now: MonoTime) {
        let draining: Vec<(String, AttemptKey)> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_ready && vm.info.as_ref().is_some_and(|info| info.is_draining))
            .flat_map(|(name, vm)| {
                let attempts = vm
                    .attempts
                    .iter()
                    .filter(|(_, attempt)| !attempt.is_evicted);
                attempts.map(|(key, _)| (name.clone(), *key))
            })
            .collect();
        if draining.is_empty() {
            return;
        }
        let mut capacities = self.open_capacities(now);
        for (name, key) in draining {
            if self.evict_if_placeable(&name, key, &mut capacities) {
                self.record_eviction(&name, key, EvictionCause::Draining);
                self.pending_updates.insert(name);
            }
        }
    }

    /// Returns the free capacity of each VM on which tasks may be placed.
    fn open_capacities(&self, now: MonoTime) -> Vec<VmCapacity> {
        self.fleet_capacity(now).vms.into_values().collect()
    }

    /// Marks an attempt as evicted if another VM has free capacity for its task.
    ///
    /// Returns whether it did so.
    fn evict_if_placeable(
        &mut self,
        name: &str,
        key: AttemptKey,
        capacities: &mut [VmCapacity],
    ) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(step) = job.spec.steps.get(key.task.step as usize) else {
            return false;
        };
        // Without checkpoints, eviction would discard the work done so far.
        let is_evictable = step.checkpoints || step.is_long_running;
        if !is_evictable || step.is_gang {
            return false;
        }
        let request = PlacementRequest {
            service: self.service(job),
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let others = capacities.iter().filter(|capacity| capacity.vm != name);
        let found = choose_vm(&request, others, |vm| {
            self.count_step(vm, &key.task.first_of_step())
        });
        let Some(found) = found.map(|capacity| capacity.vm.clone()) else {
            return false;
        };
        if let Some(capacity) = capacities.iter_mut().find(|capacity| capacity.vm == found) {
            capacity.add(&key.task, step, &self.headroom);
        }
        if let Some(attempt) = self
            .vms
            .get_mut(name)
            .and_then(|vm| vm.attempts.get_mut(&key))
        {
            attempt.is_evicted = true;
        }
        true
    }

    /// Returns the VM that a task was recently evicted from and must not return to yet.
    pub(super) fn avoided_vm(&self, task: &TaskName, now: MonoTime) -> Option<&str> {
        self.avoided
            .get(task)
            .filter(|(_, until)| now < *until)
            .map(|(vm, _)| vm.as_str())
    }
}
