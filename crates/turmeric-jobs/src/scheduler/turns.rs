//! Shares VMs between tasks that may crash them and all others.
//!
//! Load pattern: an endpoint crashes while hundreds of tasks are started on it, and all of them are
//! suspected. Each is started alone on a VM, which takes nothing else meanwhile. Suspected tasks
//! and all others take turns on each VM, so that neither wait for more than one turn of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::place::{PlacementRound, ServiceUsage, TaskPlacement};
use crate::{PlacementFailures, PlacementRequest, StepSpec, TaskName, VmCapacity};

/// Longest time for which a VM takes nothing else before a suspected task is placed there. Orders
/// that wait for the store may keep a start recent.
const TURN_TIMEOUT: Duration = Duration::from_millis(500);

/// The suspected task that a VM takes next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextSuspect {
    task: TaskName,
    /// When it is placed although other starts are recent.
    deadline: MonoTime,
}

/// Suspected tasks that wait for their turns in one round of placement.
pub(super) struct SuspectTurns {
    /// VMs on which other tasks go before the next suspected one.
    yielding: BTreeSet<String>,
    /// The suspected task that comes next on each VM, for which space is kept.
    booked: BTreeMap<String, TaskName>,
    booked_tasks: BTreeSet<TaskName>,
    /// Suspected tasks that no VM can take next.
    failures: PlacementFailures,
}

impl SuspectTurns {
    /// Returns whether a suspected task may be placed on a VM at once.
    pub(super) fn is_open(&self, capacity: &VmCapacity) -> bool {
        !capacity.has_recent_start && !self.yielding.contains(&capacity.vm)
    }

    /// Returns whether a suspected task may be the next one on a VM.
    pub(super) fn may_book(&self, capacity: &VmCapacity) -> bool {
        !self.booked.contains_key(&capacity.vm)
    }

    /// Makes a suspected task the next one on a VM.
    pub(super) fn book(&mut self, vm: &str, task: TaskName) {
        self.booked.insert(vm.to_owned(), task);
        self.booked_tasks.insert(task);
    }

    /// Records that no VM can take a suspected task of the step next.
    pub(super) fn record_failure(&mut self, service: &str, step: &StepSpec) {
        self.failures.record(service, step);
    }

    /// Returns whether a suspected task has a VM already, or is known to get none in this round.
    pub(super) fn is_settled(&self, task: &TaskName, service: &str, step: &StepSpec) -> bool {
        self.booked_tasks.contains(task) || self.failures.covers(service, step)
    }
}

impl JobScheduler {
    /// Returns the turns of suspected tasks in a round of placement.
    pub(super) fn suspect_turns(&self) -> SuspectTurns {
        let yielding = self.vms.iter().filter(|(_, vm)| vm.yields_turn);
        let next = self.vms.values().filter_map(|vm| vm.next_suspect);
        SuspectTurns {
            yielding: yielding.map(|(name, _)| name.clone()).collect(),
            booked: BTreeMap::new(),
            booked_tasks: next.map(|next| next.task).collect(),
            failures: PlacementFailures::new(),
        }
    }

    /// Returns whether a task may crash its VM, so that it is started alone.
    pub(super) fn may_crash(&self, task: &TaskName) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.tasks.get(task));
        state.is_some_and(|state| state.crashes.is_suspect)
    }

    /// Places suspected tasks on the VMs that are kept for them, once no other start there is recent.
    ///
    /// Returns how many tasks were placed.
    pub(super) fn place_next_suspects(&mut self, now: MonoTime, wall: WallTime) -> usize {
        let mut due = Vec::new();
        for (name, vm) in &mut self.vms {
            let Some(next) = vm.next_suspect else {
                continue;
            };
            if now >= next.deadline || !vm.has_recent_start(now) {
                vm.next_suspect = None;
                due.push((name.clone(), next.task));
            }
        }
        if due.is_empty() {
            return 0;
        }
        let capacities = self.fleet_capacity(now).vms;
        let usage = ServiceUsage::new(capacities.values());
        let mut placed = 0;
        for (vm, task) in due {
            let capacity = capacities.get(&vm);
            if !capacity.is_some_and(|vm| self.may_take_turn(&task, vm, &usage, now, wall)) {
                continue;
            }
            placed += self.place_suspect(vm, task, now, wall);
        }
        placed
    }

    /// Returns whether a suspected task that was to be the next one on a VM can still be.
    fn may_take_turn(
        &self,
        task: &TaskName,
        capacity: &VmCapacity,
        usage: &ServiceUsage,
        now: MonoTime,
        wall: WallTime,
    ) -> bool {
        let Some((job, step)) = self.restart_step(task, wall) else {
            return false;
        };
        let state = job.tasks.get(task);
        let is_waiting = state.is_some_and(|state| state.is_waiting());
        let service = self.service(job);
        let request = PlacementRequest {
            service,
            step,
            table: &self.headroom,
            is_starved: self.is_starved(job, service, usage, wall),
        };
        is_waiting
            && !job.phase.is_terminal()
            && self.avoided_vm(task, now) != Some(capacity.vm.as_str())
            && self.may_retry(task.job, capacity, now)
            && request.fits(capacity, || {
                self.count_step(&capacity.vm, &task.first_of_step())
            })
    }

    fn place_suspect(
        &mut self,
        vm: String,
        task: TaskName,
        now: MonoTime,
        wall: WallTime,
    ) -> usize {
        let state = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.tasks.get(&task));
        let Some(state) = state else {
            return 0;
        };
        let placement = TaskPlacement {
            task,
            attempt: state.attempt.next(),
            vm,
        };
        self.commit_choice(task.job, vec![placement], now, wall);
        1
    }

    /// Places the next suspected task on each VM that no other task has taken in a round, and keeps
    /// the other VMs for theirs.
    ///
    /// Returns how many tasks were placed.
    pub(super) fn place_booked(&mut self, round: &mut PlacementRound) -> usize {
        let (now, wall) = (round.now, round.wall);
        let mut placed = 0;
        for (name, task) in std::mem::take(&mut round.turns.booked) {
            let Some(vm) = self.vms.get_mut(&name) else {
                continue;
            };
            if vm.has_recent_start(now) {
                // A VM that may be faulty takes no other task in this turn.
                if vm.suspicion.is_suspect(now) {
                    continue;
                }
                vm.next_suspect = Some(NextSuspect {
                    task,
                    deadline: now.after(TURN_TIMEOUT),
                });
            } else {
                placed += self.place_suspect(name, task, now, wall);
            }
        }
        placed
    }
}
