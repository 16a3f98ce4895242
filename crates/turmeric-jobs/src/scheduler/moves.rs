//! Moves of long-running tasks to other VMs, with the space that is reserved for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::EvictionCause;
use super::vm::VmState;
use crate::{AttemptKey, LongRunningRestart, StepSpec, TaskName, VmCapacity};

/// Most tasks that consolidation moves at one time. Tasks of draining endpoints do not count: all
/// of them must move before their endpoints leave.
pub(super) const MOVE_LIMIT: usize = 8;

/// The space reserved for a moved task is released after this time: the longest time that a worker
/// takes to stop a task, two reports of its agent and a write to a slow store. Another long-running
/// task may wait beside it for 3 s at most, its own record and start included.
pub(super) const MOVE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Progress that a worker lists for a long-running task while it is at work, in percent.
pub(super) const AT_WORK_PERCENT: u32 = 100;

/// Space reserved for a task that is being moved.
#[derive(Clone, Debug)]
pub(super) struct MoveReservation {
    /// The VM that the task is moved to.
    pub(super) vm: String,
    /// The VM that the task is moved from; empty for one that runs nowhere.
    source: String,
    /// Why the task is moved; [`None`] for one that runs nowhere.
    cause: Option<EvictionCause>,
    /// When the space is released if the task was not placed.
    deadline: MonoTime,
}

/// Capacity of all VMs on which tasks may be placed.
pub(super) struct FleetCapacity {
    /// Capacity of each VM, less the space reserved on it.
    pub(super) vms: BTreeMap<String, VmCapacity>,
    /// The VM on which space is reserved for each task that is being moved.
    pub(super) reserved: BTreeMap<TaskName, String>,
}

impl JobScheduler {
    /// Releases the space reserved for tasks that were not placed in time or whose job has ended.
    pub(super) fn expire_reservations(&mut self, now: MonoTime) {
        let jobs = &self.jobs;
        let is_open = |task: &TaskName| {
            let job = jobs.get(&task.job);
            job.is_some_and(|job| !job.phase.is_terminal())
        };
        self.moves
            .retain(|task, reservation| now < reservation.deadline && is_open(task));
    }

    /// Keeps the attempts that are to leave a VM that no order reaches any longer, and releases the
    /// space reserved for their tasks.
    ///
    /// Such an attempt may not have been stopped, and its task can't be placed before its lease has
    /// expired. If the VM reports again, the attempt is evicted anew where there is space for it.
    pub(super) fn revoke_moves(&mut self, now: MonoTime) {
        for (name, vm) in &mut self.vms {
            if vm.is_reachable(now) {
                continue;
            }
            let is_draining = vm.info.as_ref().is_some_and(|info| info.is_draining);
            let evicted = vm.attempts.iter_mut();
            for (key, attempt) in evicted.filter(|(_, attempt)| attempt.is_evicted) {
                let reservation = self.moves.get(&key.task);
                let is_moved = reservation.is_some_and(|reservation| reservation.source == *name);
                if is_moved {
                    self.moves.remove(&key.task);
                }
                if is_moved || is_draining {
                    attempt.is_evicted = false;
                    self.pending_updates.insert(name.clone());
                }
            }
        }
    }

    /// Evicts an attempt and reserves space on another VM for its task.
    pub(super) fn begin_move(
        &mut self,
        source: &str,
        key: AttemptKey,
        target: String,
        cause: EvictionCause,
        now: MonoTime,
    ) {
        if self.evict(source, key, cause) {
            let reservation = MoveReservation {
                vm: target,
                source: source.to_owned(),
                cause: Some(cause),
                deadline: now.after(MOVE_TIMEOUT),
            };
            self.moves.insert(key.task, reservation);
        }
    }

    /// Reserves space for long-running tasks that have run and run nowhere, the longest absent first.
    ///
    /// Load pattern: VMs are replaced one after the other while the fleet is full. Each new VM would
    /// be kept for tasks that still run on the next one that leaves, and then for finite jobs and
    /// for long-running ones that have never run.
    pub(super) fn reserve_restarts(&mut self, now: MonoTime) {
        let interrupted = self.interrupted_by_absence(now);
        if self.policies.long_running_restart != LongRunningRestart::First || interrupted.is_empty()
        {
            return;
        }
        let mut vms = self.fleet_capacity(now).vms;
        vms.retain(|_, capacity| !capacity.is_suspect);
        // Steps whose tasks fit no VM. Hundreds of tasks may wait, and checking all VMs for each of
        // them takes more time than all the rest of a placement.
        let mut full_steps: BTreeSet<TaskName> = BTreeSet::new();
        for task in interrupted {
            // Those that may crash their VM wait for a turn, and would keep the space from the others.
            if full_steps.contains(&task.first_of_step()) || self.may_crash(&task) {
                continue;
            }
            let Some(target) = self.choose_target("", &task, &mut vms, now) else {
                if self.avoided_vm(&task, now).is_none() {
                    full_steps.insert(task.first_of_step());
                }
                continue;
            };
            if self.may_reserve(&task, &target, now) {
                let reservation = MoveReservation {
                    vm: target,
                    source: String::new(),
                    cause: None,
                    deadline: now.after(MOVE_TIMEOUT),
                };
                self.moves.insert(task, reservation);
            }
        }
    }

    /// Returns the long-running tasks that have run, run nowhere and have no space reserved, the
    /// longest absent first.
    pub(super) fn interrupted_by_absence(&self, now: MonoTime) -> Vec<TaskName> {
        let mut interrupted = self.interrupted_tasks();
        interrupted.sort_by_key(|task| (self.absent_since(task).unwrap_or(now), *task));
        interrupted
    }

    fn interrupted_tasks(&self) -> Vec<TaskName> {
        let open = self.jobs.values().filter(|job| !job.phase.is_terminal());
        let long_running = open.filter(|job| job.spec.is_long_running());
        let tasks = long_running.flat_map(|job| &job.tasks);
        let interrupted = tasks
            .filter(|(_, state)| state.is_waiting() && state.attempt.get() > 0)
            .map(|(task, _)| *task);
        interrupted
            .filter(|task| !self.moves.contains_key(task))
            .filter(|task| self.step(task).is_some_and(|step| step.is_long_running))
            .collect()
    }

    /// Returns how many tasks consolidation is moving.
    pub(super) fn consolidation_moves(&self) -> usize {
        self.count_moves(EvictionCause::Consolidated)
    }

    /// Returns how many tasks are being moved for a cause.
    pub(super) fn count_moves(&self, cause: EvictionCause) -> usize {
        let moves = self.moves.values();
        moves
            .filter(|reservation| reservation.cause == Some(cause))
            .count()
    }

    /// Reserves other space for tasks of draining endpoints whose VM has become unavailable.
    pub(super) fn replace_lost_targets(&mut self, fleet: &mut FleetCapacity, now: MonoTime) {
        let lost = self.moves.iter().filter(|(task, reservation)| {
            reservation.cause == Some(EvictionCause::Draining) && !fleet.reserved.contains_key(task)
        });
        let lost: Vec<(TaskName, String)> = lost
            .map(|(task, reservation)| (*task, reservation.source.clone()))
            .collect();
        for (task, source) in lost {
            let target = self
                .choose_target(&source, &task, &mut fleet.vms, now)
                .filter(|target| self.may_reserve(&task, target, now));
            if let (Some(target), Some(reservation)) = (target, self.moves.get_mut(&task)) {
                reservation.vm = target;
            }
        }
    }

    /// Evicts the tasks that may be moved now; the others follow in a later round.
    ///
    /// Returns whether any task was evicted.
    pub(super) fn begin_moves(
        &mut self,
        source: &str,
        moves: Vec<(AttemptKey, String)>,
        now: MonoTime,
    ) -> bool {
        let mut has_begun = false;
        for (key, target) in moves {
            if self.consolidation_moves() >= MOVE_LIMIT || !self.is_step_complete(&key.task) {
                continue;
            }
            self.begin_move(source, key, target, EvictionCause::Consolidated, now);
            has_begun = true;
        }
        has_begun
    }

    /// Returns whether all tasks of a task's step are at work, so that one may be moved.
    pub(super) fn is_step_complete(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(job) = job.filter(|_| self.is_placeable(task.job)) else {
            return false;
        };
        job.tasks.range(task.step_range()).all(|(name, state)| {
            let Some(location) = &state.location else {
                return false;
            };
            let key = AttemptKey {
                task: *name,
                attempt: state.attempt,
            };
            let attempt = self
                .vms
                .get(&location.vm)
                .filter(|vm| vm.is_ready)
                .and_then(|vm| vm.attempts.get(&key));
            attempt.is_some_and(|attempt| !attempt.is_evicted && attempt.percent == AT_WORK_PERCENT)
        })
    }

    /// Returns whether space on a VM is reserved for a task that is being moved.
    pub(super) fn is_move_target(&self, vm: &str) -> bool {
        self.moves.values().any(|reservation| reservation.vm == vm)
    }

    /// Returns how many tasks of a step are on a VM or being moved to it.
    pub(super) fn count_step(&self, vm: &str, first: &TaskName) -> u32 {
        let placed = self.vms.get(vm).map_or(0, |vm| vm.count_step(first));
        let moved = self
            .moves
            .iter()
            .filter(|(task, reservation)| task.first_of_step() == *first && reservation.vm == vm);
        placed + moved.count() as u32
    }

    /// Returns the capacity of the VMs in service, less the space reserved for moves.
    pub(super) fn fleet_capacity(&self, now: MonoTime) -> FleetCapacity {
        let open = |vm: &VmState| !self.closed_zones.contains(&vm.zone);
        let vms = self.vms.iter().filter(|(_, vm)| open(vm));
        let vms = vms.filter_map(|(name, vm)| {
            Some((name.clone(), vm.free_capacity(name, &self.headroom, now)?))
        });
        let mut capacity = FleetCapacity {
            vms: vms.collect(),
            reserved: BTreeMap::new(),
        };
        for (task, reservation) in &self.moves {
            let (Some(vm), Some(step)) = (capacity.vms.get_mut(&reservation.vm), self.step(task))
            else {
                continue;
            };
            // The VM may have come back smaller since the space was reserved.
            if step.reserved().fits_in(&vm.free) {
                vm.add(task, step, &self.headroom);
                capacity.reserved.insert(*task, reservation.vm.clone());
            }
        }
        capacity
    }

    fn step(&self, task: &TaskName) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(task.step as usize)
    }
}
