//! Checks that long-running tasks that have run, run again in time: by the leader's view, stage for
//! stage, and by what the workers run.

use std::collections::BTreeMap;

use turmeric_jobs::{AttemptNumber, JobScheduler, LeaderTimeouts, RestartStage, TaskName};

use super::room::RoomLog;
use super::{ROUND, TERMS, World};

/// Time between two reviews of the absent tasks by a leader, and a round: a stage may have ended
/// this long before the leader tells.
const REVIEW_DELAY: u64 = 250 + ROUND;

/// A worker that is gone may have been heard for this long before.
const REPORT_DELAY: u64 = 200;

/// Stalls of a task after which the timeout of its starts grows.
const FREE_STALLS: u32 = 1;

/// The present stage of an absent task at the leader.
#[derive(Debug, PartialEq, Eq)]
struct StageEntry {
    stage: RestartStage,
    /// The leader's epoch and the task's attempt, with which a stage begins anew.
    epoch: u64,
    attempt: AttemptNumber,
    entered_at: u64,
}

/// Stages of absent tasks, and room for them.
#[derive(Debug, Default)]
pub(super) struct RestartLog {
    entries: BTreeMap<TaskName, StageEntry>,
    pub(super) rooms: RoomLog,
    checks: RestartChecks,
    /// Violations of the rules of restarts.
    violations: Vec<String>,
}

/// How often the checks of restarts applied, in task rounds.
#[derive(Clone, Debug, Default)]
pub struct RestartChecks {
    /// Rounds in which the time in a stage was compared with its bound.
    pub stages: BTreeMap<RestartStage, u64>,
    /// Rounds in which a task was absent for too long in calm, so that no worker might have room.
    pub rooms: u64,
}

impl RestartChecks {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: &Self) {
        for (stage, count) in &other.stages {
            *self.stages.entry(*stage).or_default() += count;
        }
        self.rooms += other.rooms;
    }
}

impl World {
    /// Returns how often the checks of restarts applied.
    pub fn restart_checks(&self) -> &RestartChecks {
        &self.restarts.checks
    }

    /// Returns the first violation of the rules of restarts.
    pub fn late_restart(&self) -> Option<&str> {
        self.restarts.violations.first().map(String::as_str)
    }

    /// Checks how long absent tasks have been in their stage, and whether a worker has room for them.
    pub(super) fn check_restarts(&mut self) {
        self.record_room();
        self.record_stages();
        let mut checks = std::mem::take(&mut self.restarts.checks);
        let violations = [self.late_stage(&mut checks), self.unused_room(&mut checks)];
        let violations = violations.into_iter().flatten();
        self.restarts.violations.extend(violations);
        self.restarts.checks = checks;
    }

    /// Records the stages that the current leader tells.
    fn record_stages(&mut self) {
        let mut entries = BTreeMap::new();
        if let Some(leader) = self.current_leader() {
            for (task, absence) in leader.absences() {
                let state = leader.job(task.job).and_then(|job| job.tasks.get(task));
                let mut entry = StageEntry {
                    stage: absence.stage,
                    epoch: leader.epoch(),
                    attempt: state.map(|state| state.attempt).unwrap_or_default(),
                    entered_at: absence.entered_at.as_millis(),
                };
                // A stage begins anew with an attempt; the leader counts from the first one.
                if let Some(known) = self.restarts.entries.get(task) {
                    let is_same = known.stage == entry.stage && known.epoch == entry.epoch;
                    if is_same && known.attempt == entry.attempt {
                        entry.entered_at = entry.entered_at.max(known.entered_at);
                    } else if is_same {
                        entry.entered_at = self.now;
                    }
                }
                entries.insert(*task, entry);
            }
        }
        self.restarts.entries = entries;
    }

    /// Returns a task that was in a stage for longer than its bound, although nothing has disturbed
    /// what the stage depends on.
    fn late_stage(&self, checks: &mut RestartChecks) -> Option<String> {
        let leader = self.current_leader()?;
        let timeouts = LeaderTimeouts {
            lease: self.limits,
            ..TERMS
        };
        let mut late = None;
        for (task, entry) in &self.restarts.entries {
            // A change of the leader is a disturbance, and workers that carry out no starts are.
            let is_calm = self.disturbances.fleet_at < entry.entered_at;
            // The promise of a leader that was replaced before lasts for its renewal window.
            let window = TERMS.renewal_window.as_millis() as u64;
            let is_led = self.disturbances.shared_at + window < entry.entered_at;
            let bound = match entry.stage {
                RestartStage::Leases if !is_led => entry.stage.bound(&timeouts),
                RestartStage::Start if !is_calm => entry.stage.bound(&timeouts),
                _ => entry.stage.calm_bound(&timeouts),
            };
            let Some(bound) = bound else {
                continue;
            };
            if !self.is_stage_calm(leader, task, entry) {
                continue;
            }
            *checks.stages.entry(entry.stage).or_default() += 1;
            let started_at = match entry.stage {
                // Its bound counts from when the store accepts the row again.
                RestartStage::Row => entry.entered_at.max(self.disturbances.shared_at),
                _ => entry.entered_at,
            };
            let length = self.now - started_at;
            if length > bound.as_millis() as u64 + REVIEW_DELAY {
                let label = entry.stage.label();
                late = late.or(Some(format!("{task} is in {label} for {length} ms")));
            }
        }
        late
    }

    /// Returns whether nothing has disturbed, since a task entered its stage, what the stage depends
    /// on: always the store, the leaders and the messages of all agents; beside them its VM, or, for
    /// tasks on none, all VMs. Other tasks may take room that is not reserved.
    fn is_stage_calm(&self, leader: &JobScheduler, task: &TaskName, entry: &StageEntry) -> bool {
        let log = &self.disturbances;
        if entry.stage == RestartStage::Row {
            return self.now > log.shared_at;
        }
        if log.shared_at >= entry.entered_at {
            return false;
        }
        let state = leader.job(task.job).and_then(|job| job.tasks.get(task));
        let location = state.and_then(|state| state.location.as_ref());
        let number = location.and_then(|location| location.vm.strip_prefix('w')?.parse().ok());
        let vm = number.and_then(|number: usize| log.vms.get(number));
        let is_vm_calm = vm.is_some_and(|vm| vm.disturbed_at < entry.entered_at);
        match entry.stage {
            // The silence itself is what the task waits for.
            RestartStage::Leases => {
                vm.is_some_and(|vm| vm.changed_at <= entry.entered_at + REPORT_DELAY)
            }
            RestartStage::Stop | RestartStage::Record => is_vm_calm,
            RestartStage::Start => {
                let is_first = state.is_some_and(|state| state.stalls <= FREE_STALLS);
                is_vm_calm && is_first && self.has_room_since(entry.entered_at, task, number)
            }
            RestartStage::Reserved | RestartStage::Probe => log.fleet_at < entry.entered_at,
            // Another task may take the room first.
            _ => log.fleet_at.max(log.started_at) < entry.entered_at,
        }
    }
}
