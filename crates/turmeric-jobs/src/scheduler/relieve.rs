//! Evicts tasks that should run on another VM.
//!
//! Load pattern: a draining endpoint terminates all its attempts when it leaves. Its
//! long-running tasks and those with checkpoints are moved while they still run there.
//!
//! Load pattern: the serving tasks of one VM are near the peak of their load, while those of
//! another VM are idle or of an image that suffers little interference. A best-effort task
//! that has been slowed to less than half of its speed for a while is stopped with a
//! checkpoint and placed again, which costs it the restore time of 0.25 s to 0.6 s.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::{EvictionCause, JobEvent};
use super::refusals::RowOwner;
use super::vm::VmState;
use crate::{AttemptKey, JobCode, PlacementRequest, TaskName, VmCapacity, choose_vm};

/// A best-effort task is moved after it has been slowed for this long.
const SLOW_TIMEOUT: Duration = Duration::from_millis(1000);

/// For this long, an evicted task is not placed again on the VM that it was evicted from.
pub(super) const AVOID_DURATION: Duration = Duration::from_secs(4);

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
            .filter(|(_, vm)| vm.is_ready && vm.is_reachable(now))
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
        let mut capacities = self.fleet_capacity(now).vms;
        let mut evicted = 0;
        for (name, key) in slowed {
            if evicted < EVICTION_LIMIT
                && self
                    .choose_target(&name, &key.task, &mut capacities, now)
                    .is_some()
                && self.evict(&name, key, EvictionCause::Slowed)
            {
                evicted += 1;
                self.avoid_vm(key.task, &name, now);
            }
        }
    }

    /// Marks an attempt as evicted, so that the next orders for its VM stop it.
    ///
    /// Returns whether the attempt is known.
    pub(super) fn evict(&mut self, name: &str, key: AttemptKey, cause: EvictionCause) -> bool {
        let vm = self.vms.get_mut(name);
        let Some(attempt) = vm.and_then(|vm| vm.attempts.get_mut(&key)) else {
            return false;
        };
        attempt.is_evicted = true;
        self.record_eviction(name, key, cause);
        self.pending_updates.insert(name.to_owned());
        true
    }

    pub(super) fn record_eviction(&mut self, name: &str, key: AttemptKey, cause: EvictionCause) {
        self.events.push(JobEvent::Evicted {
            key,
            vm: name.to_owned(),
            cause,
        });
    }

    /// Evicts tasks from draining endpoints, as far as other VMs have free capacity. Tasks with
    /// checkpoints get what the long-running tasks leave.
    pub(super) fn evict_draining(&mut self, now: MonoTime) {
        self.move_long_running(now);
        let mut draining = self.draining_attempts(now);
        draining.retain(|(_, key)| !self.is_long_running(key));
        if draining.is_empty() {
            return;
        }
        let mut capacities = self.fleet_capacity(now).vms;
        for (name, key) in draining {
            let target = self.choose_target(&name, &key.task, &mut capacities, now);
            if target.is_some() {
                self.evict(&name, key, EvictionCause::Draining);
            }
        }
    }

    /// Evicts long-running tasks from draining endpoints, and reserves the capacity found for
    /// each of them until it is placed.
    ///
    /// Load pattern: the fleet is full and finite tasks wait. One of them would take the capacity
    /// while the long-running task stops, which takes up to 0.9 s.
    pub(super) fn move_long_running(&mut self, now: MonoTime) {
        let mut draining = self.draining_attempts(now);
        draining.retain(|(_, key)| self.is_long_running(key));
        if draining.is_empty() && self.count_moves(EvictionCause::Draining) == 0 {
            return;
        }
        self.reserve_restarts(now);
        let mut fleet = self.fleet_capacity(now);
        self.replace_lost_targets(&mut fleet, now);
        for (name, key) in draining {
            let Some(target) = self.choose_target(&name, &key.task, &mut fleet.vms, now) else {
                continue;
            };
            self.move_attempt(&name, key, target, EvictionCause::Draining, now);
        }
    }

    /// Returns the attempts on draining endpoints that can be stopped and are not to end anyway.
    fn draining_attempts(&self, now: MonoTime) -> Vec<(String, AttemptKey)> {
        let is_draining = |vm: &VmState| vm.info.as_ref().is_some_and(|info| info.is_draining);
        self.vms
            .iter()
            .filter(|(_, vm)| vm.is_ready && vm.is_reachable(now) && is_draining(vm))
            .flat_map(|(name, vm)| {
                let attempts = vm.attempts.iter();
                let wanted = attempts.filter(|(key, attempt)| self.is_wanted(key, attempt));
                wanted.map(|(key, _)| (name.clone(), *key))
            })
            .collect()
    }

    /// Returns whether tasks of a job may be placed: none of its attempts is ordered while the store
    /// refuses its row.
    pub(super) fn is_placeable(&self, job: JobCode) -> bool {
        !self.refusals.is_refused(RowOwner::Job(job))
    }

    /// Evicts an attempt, and reserves space on another VM for its task if that may be reserved.
    pub(super) fn move_attempt(
        &mut self,
        source: &str,
        key: AttemptKey,
        target: String,
        cause: EvictionCause,
        now: MonoTime,
    ) {
        if self.may_reserve(&key.task, &target, now) {
            self.begin_move(source, key, target, cause, now);
        } else {
            self.evict(source, key, cause);
        }
    }

    /// Keeps a task from the VM that it was evicted from, for a while.
    pub(super) fn avoid_vm(&mut self, task: TaskName, vm: &str, now: MonoTime) {
        let until = now.after(AVOID_DURATION);
        self.avoided.insert(task, (vm.to_owned(), until));
    }

    /// Returns whether space on a VM may be reserved for a task that is to be moved there.
    ///
    /// Suspected tasks and VMs are left to placement, which isolates them.
    pub(super) fn may_reserve(&self, task: &TaskName, target: &str, now: MonoTime) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.tasks.get(task));
        let is_suspect_task = state.is_some_and(|state| state.crashes.is_suspect);
        let vm = self.vms.get(target);
        let is_suspect_vm = vm.is_some_and(|vm| vm.suspicion.is_suspect(now));
        !is_suspect_task && !is_suspect_vm
    }

    /// Chooses another VM with free capacity for a task that may be evicted from a VM, and
    /// accounts for the task there.
    pub(super) fn choose_target(
        &self,
        source: &str,
        task: &TaskName,
        capacities: &mut BTreeMap<String, VmCapacity>,
        now: MonoTime,
    ) -> Option<String> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        // Without checkpoints, eviction would discard the work done so far.
        let is_evictable = step.checkpoints || step.is_long_running;
        if !is_evictable || step.is_gang || !self.is_placeable(task.job) {
            return None;
        }
        let request = PlacementRequest {
            service: self.service(job),
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let avoided = self.avoided_vm(task, now);
        let others = || {
            capacities.values().filter(|capacity| {
                capacity.vm != source
                    && avoided != Some(capacity.vm.as_str())
                    && self.may_retry(task.job, capacity, now)
            })
        };
        let placed = |vm: &str| self.count_step(vm, &task.first_of_step());
        let preferred = others().filter(|capacity| !self.has_rejected(task, &capacity.vm));
        let found = choose_vm(&request, preferred, placed)
            .or_else(|| choose_vm(&request, others(), placed))?;
        let target = found.vm.clone();
        if found.is_suspect {
            // It takes one task at a time.
            capacities.remove(&target);
        } else if let Some(capacity) = capacities.get_mut(&target) {
            capacity.add(task, step, &self.headroom);
        }
        Some(target)
    }

    /// Returns the VM that a task was recently evicted from and must not return to yet.
    pub(super) fn avoided_vm(&self, task: &TaskName, now: MonoTime) -> Option<&str> {
        self.avoided
            .get(task)
            .filter(|(_, until)| now < *until)
            .map(|(vm, _)| vm.as_str())
    }
}
