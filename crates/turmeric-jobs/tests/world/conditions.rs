//! Records what disturbs the store, the leaders, the links of agents and the VMs.

use std::collections::BTreeSet;

use turmeric_jobs::{AttemptKey, JobScheduler};

use super::World;

/// What a VM and the link of its agent are like in a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct VmCondition {
    /// Endpoint and incarnation of its worker.
    worker_start: (u64, u64),
    agent_start: u64,
    /// It is not there, or has gone for good.
    is_gone: bool,
    /// Its worker is down or has left.
    is_down: bool,
    /// Its worker answers no call.
    is_silent: bool,
    /// Its agent is suspended, or no leader hears it.
    is_cut: bool,
    /// Its worker fails all finite attempts.
    is_failing: bool,
    /// How often it has failed long-running attempts.
    failure_count: u64,
    millicores: u64,
}

impl VmCondition {
    fn is_faulty(&self) -> bool {
        self.is_down || self.is_silent || self.is_cut || self.is_failing
    }
}

/// When a VM was last disturbed.
#[derive(Clone, Debug, Default)]
pub(super) struct VmRecord {
    condition: VmCondition,
    /// When its condition last changed.
    pub(super) changed_at: u64,
    /// When it was last faulty, or its condition changed.
    pub(super) disturbed_at: u64,
    /// Attempts that its worker ran in the last round.
    running: BTreeSet<AttemptKey>,
}

/// When the parts of a world were last disturbed.
#[derive(Debug, Default)]
pub(super) struct DisturbanceLog {
    /// When the store, a leader or the messages of all agents were last disturbed.
    pub(super) shared_at: u64,
    /// When any VM was last faulty, or gone with attempts. The arrival of a VM does not count, nor
    /// does the end of one that runs nothing.
    pub(super) fleet_at: u64,
    /// When any VM was last faulty, or gone without notice with attempts. By the platform's rules no
    /// arrival and no announced end counts, nor a task that fails by itself; that one counts here
    /// because of issue 68 (KNOWN-RED.txt).
    pub(super) fault_at: u64,
    /// When a worker last started an attempt, which may have taken the room that a task waits for.
    pub(super) started_at: u64,
    pub(super) vms: Vec<VmRecord>,
}

impl World {
    /// Records a disturbance of the store, a leader or the messages of all agents.
    pub(super) fn disturb_shared(&mut self) {
        self.disturbances.shared_at = self.now;
    }

    /// Records what is disturbed in this round, in which leaders do not hear `cut_agent`.
    pub(super) fn record_disturbances(&mut self, cut_agent: Option<usize>) {
        let now = self.now;
        let is_paused = self.paused_until.iter().any(|until| now <= *until);
        if self.delay_percent > 0 || is_paused || !self.store.refused.is_empty() {
            self.disturb_shared();
        }
        // Reports that were on their way in an earlier leadership.
        if !self.replaced_links.is_empty() || self.leaders.iter().flatten().count() > 1 {
            self.disturb_shared();
        }
        let numbers = 0..self.workers.len();
        let conditions: Vec<(VmCondition, bool, bool, BTreeSet<AttemptKey>)> = numbers
            .map(|number| {
                let running = self.workers[number].running().copied().collect();
                let ignores_starts = self.workers[number].ignores_starts(now);
                let condition = self.vm_condition(number, cut_agent);
                let is_announced = self.workers[number].is_draining;
                (condition, ignores_starts, is_announced, running)
            })
            .collect();
        let log = &mut self.disturbances;
        log.vms.resize_with(conditions.len(), VmRecord::default);
        for (record, current) in log.vms.iter_mut().zip(conditions) {
            let (condition, ignores_starts, is_announced, running) = current;
            let has_changed = condition != record.condition;
            let is_arrival = record.condition.is_gone && !condition.is_gone;
            let is_empty_end = condition.is_gone && record.running.is_empty();
            let is_faulty = condition.is_faulty() && !condition.is_gone;
            if has_changed {
                record.changed_at = now;
            }
            if has_changed || is_faulty {
                record.disturbed_at = now;
            }
            let is_planned = is_arrival || is_empty_end;
            if is_faulty || ignores_starts || (has_changed && !is_planned) {
                log.fleet_at = now;
            }
            let is_announced_end = condition.is_gone && is_announced;
            let is_expected = is_planned || is_announced_end;
            if is_faulty || ignores_starts || (has_changed && !is_expected) {
                log.fault_at = now;
            }
            if !running.is_subset(&record.running) {
                log.started_at = now;
            }
            record.condition = condition;
            record.running = running;
        }
    }

    fn vm_condition(&self, number: usize, cut_agent: Option<usize>) -> VmCondition {
        let worker = &self.workers[number];
        let agent = &self.agents[number];
        VmCondition {
            worker_start: worker.start_number(),
            agent_start: agent.start,
            is_gone: self.is_gone(number),
            is_down: worker.has_left || self.is_worker_lost(number),
            is_silent: !worker.has_left && !worker.answers(self.now),
            is_cut: cut_agent == Some(number) || self.is_agent_idle(number),
            is_failing: worker.fail_all,
            failure_count: worker.failure_count,
            millicores: worker.millicores,
        }
    }

    /// Returns the leader by the store.
    pub(super) fn current_leader(&self) -> Option<&JobScheduler> {
        let mut leaders = self.leaders.iter().flatten();
        leaders.find(|leader| leader.epoch() == self.store.epoch)
    }
}
