//! Removes VMs for good, returns them as new ones, and suspends agents.

use turmeric_schema::v1;

use super::worker::{ModelWorker, WorkerSilence};
use super::{ROUND, World, WorldFault};

/// Time between the announced end of an endpoint and its removal, in milliseconds.
pub(super) const DRAIN_NOTICE: u64 = 2_000;

/// How a VM ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalOrder {
    /// Worker and agent end at the same time.
    Together,
    /// The worker ends first. Its agent goes on reporting for so many rounds.
    WorkerFirst { agent_rounds: u64 },
    /// The worker answers no call any more and runs its tasks until their leases end. Its agent
    /// goes on reporting for so many rounds, after which both end.
    WorkerSilent {
        agent_rounds: u64,
        silence: WorkerSilence,
    },
}

/// How far the removal of a VM has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RemovalPhase {
    Announced,
    WorkerLost,
    Gone,
}

/// A VM that is being removed, or has been.
#[derive(Clone, Debug)]
pub(super) struct VmRemoval {
    worker: usize,
    order: RemovalOrder,
    worker_lost_at: u64,
    gone_at: u64,
    /// When it returns as a new VM.
    returns_at: Option<u64>,
    is_gone: bool,
}

impl VmRemoval {
    fn phase(&self, now: u64) -> RemovalPhase {
        if now >= self.gone_at {
            RemovalPhase::Gone
        } else if now >= self.worker_lost_at {
            RemovalPhase::WorkerLost
        } else {
            RemovalPhase::Announced
        }
    }
}

/// A suspended agent, with what it had received when it was suspended.
#[derive(Debug)]
pub(super) struct AgentSuspension {
    until: u64,
    orders: Vec<v1::VmOrders>,
    /// The poll of its worker that it was about to send.
    renewal: HeldRenewal,
}

#[derive(Clone, Copy, Debug)]
struct HeldRenewal {
    worker_incarnation: u64,
    fence: u64,
    recorded_end: u64,
    deadline: Option<u64>,
}

impl World {
    /// Begins to remove a VM, unless that has begun already, with an announced end or without notice.
    pub(super) fn remove_vm(
        &mut self,
        worker: usize,
        notice: u64,
        order: RemovalOrder,
        returns_after: Option<u64>,
    ) {
        if self.removals.iter().any(|removal| removal.worker == worker) {
            return;
        }
        let worker_lost_at = self.now + notice;
        let agent_rounds = match order {
            RemovalOrder::Together => 0,
            RemovalOrder::WorkerFirst { agent_rounds }
            | RemovalOrder::WorkerSilent { agent_rounds, .. } => agent_rounds,
        };
        let gone_at = worker_lost_at + agent_rounds * ROUND;
        self.workers[worker].is_draining = notice > 0;
        self.removals.push(VmRemoval {
            worker,
            order,
            worker_lost_at,
            gone_at,
            returns_at: returns_after.map(|rounds| gone_at + rounds * ROUND),
            is_gone: false,
        });
        self.advance_removals();
    }

    /// Ends workers and agents whose time has come, and returns VMs that come back.
    pub(super) fn advance_removals(&mut self) {
        let now = self.now;
        let mut removals = std::mem::take(&mut self.removals);
        for removal in &mut removals {
            let worker = &mut self.workers[removal.worker];
            match (removal.phase(now), removal.order) {
                (RemovalPhase::Announced, _) => {}
                (RemovalPhase::WorkerLost, RemovalOrder::WorkerSilent { silence, .. }) => {
                    // A crash would end the silence.
                    worker.set_silence(u64::MAX, silence);
                }
                (RemovalPhase::WorkerLost | RemovalPhase::Gone, _) => worker.remove(),
            }
            if removal.phase(now) == RemovalPhase::Gone && !removal.is_gone {
                removal.is_gone = true;
                self.end_agent(removal.worker);
            }
        }
        let is_back = |removal: &VmRemoval| removal.returns_at.is_some_and(|at| now >= at);
        let (back, rest) = removals.into_iter().partition(is_back);
        self.removals = rest;
        for removal in back {
            self.return_vm(removal.worker);
        }
    }

    /// Ends an agent without a last report.
    fn end_agent(&mut self, number: usize) {
        self.suspensions.remove(&number);
        self.agents[number] = self.new_agent(number);
        for entry in 0..self.leaders.len() {
            self.replace_link(entry, number);
        }
    }

    fn return_vm(&mut self, number: usize) {
        let now = self.now;
        self.workers[number].return_as_new(now);
        self.end_agent(number);
    }

    /// Has workers take this long to stop an attempt, in milliseconds.
    pub fn with_stop_time(mut self, stop_time: u64) -> Self {
        for worker in &mut self.workers {
            worker.stop_time = stop_time;
        }
        self
    }

    /// Adds VMs that are not there yet.
    pub fn with_spares(mut self, count: usize) -> Self {
        for _ in 0..count {
            let number = self.workers.len();
            let mut worker = ModelWorker::new(&format!("w{number}"));
            worker.remove();
            self.workers.push(worker);
            let agent = self.new_agent(number);
            self.agents.push(agent);
            self.removals.push(VmRemoval {
                worker: number,
                order: RemovalOrder::Together,
                worker_lost_at: self.now,
                gone_at: self.now,
                returns_at: None,
                is_gone: true,
            });
        }
        self
    }

    /// Returns a VM that is gone as a new one.
    pub(super) fn register_vm(&mut self, worker: usize) {
        if self.is_gone(worker) {
            self.removals.retain(|removal| removal.worker != worker);
            self.return_vm(worker);
        }
    }

    /// Returns whether a VM is gone for good, or not there yet.
    pub(super) fn is_gone(&self, worker: usize) -> bool {
        let mut removals = self.removals.iter();
        removals.any(|removal| removal.worker == worker && removal.is_gone)
    }

    /// Returns all VMs that are being removed or have been, and resumes all agents.
    pub(super) fn restore_vms(&mut self) {
        for removal in std::mem::take(&mut self.removals) {
            self.return_vm(removal.worker);
        }
        let suspended: Vec<usize> = self.suspensions.keys().copied().collect();
        for number in suspended {
            self.resume_agent(number);
        }
    }

    /// Returns whether a worker has ended for good, or will not answer again.
    pub(super) fn is_worker_lost(&self, worker: usize) -> bool {
        let mut removals = self.removals.iter();
        removals.any(|removal| {
            removal.worker == worker && removal.phase(self.now) >= RemovalPhase::WorkerLost
        })
    }

    /// Returns whether an agent does nothing: its VM is gone, or it is suspended.
    pub(super) fn is_agent_idle(&self, number: usize) -> bool {
        self.is_gone(number) || self.suspensions.contains_key(&number)
    }

    /// Suspends an agent for so many rounds, right after it has reported and before its next poll
    /// is sent.
    pub(super) fn suspend_agent(&mut self, number: usize, rounds: u64) {
        if self.is_agent_idle(number) {
            return;
        }
        let agent = &self.agents[number];
        let suspension = AgentSuspension {
            until: self.now + rounds * ROUND,
            orders: Vec::new(),
            renewal: HeldRenewal {
                worker_incarnation: self.workers[number].incarnation,
                fence: agent.fence,
                recorded_end: agent.table.recorded_end(),
                deadline: agent.lease_deadline().filter(|_| !agent.is_unresponsive),
            },
        };
        if let Some(deadline) = suspension.renewal.deadline {
            self.agents[number].lease.record_deadline(deadline);
        }
        self.suspensions.insert(number, suspension);
        // The orders that answer its last report wait for it.
        if self.delay_percent == 0 {
            for entry in 0..self.leaders.len() {
                self.exchange(entry, number);
            }
        }
    }

    pub(super) fn advance_suspensions(&mut self) {
        let now = self.now;
        let suspensions = self.suspensions.iter();
        let due = suspensions.filter(|(_, suspension)| now >= suspension.until);
        let due: Vec<usize> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.resume_agent(number);
        }
    }

    /// Resumes an agent, which sends the poll and handles the orders that it had.
    fn resume_agent(&mut self, number: usize) {
        let Some(suspension) = self.suspensions.remove(&number) else {
            return;
        };
        let renewal = suspension.renewal;
        let worker = &mut self.workers[number];
        // The poll names the incarnation; another one rejects it.
        if worker.incarnation == renewal.worker_incarnation && self.agents[number].table.is_synced()
        {
            // The answer is not waited for any more.
            worker.renew_unanswered(
                renewal.fence,
                renewal.recorded_end,
                renewal.deadline,
                self.now,
            );
        }
        for orders in suspension.orders {
            self.deliver_orders(number, orders);
        }
    }

    /// Has an agent apply orders, at once or when it is no longer suspended.
    pub(super) fn deliver_orders(&mut self, number: usize, mut orders: v1::VmOrders) {
        if let Some(suspension) = self.suspensions.get_mut(&number) {
            suspension.orders.push(orders);
            return;
        }
        if self.fault == Some(WorldFault::LateGrant) && orders.stamp_millis > 0 {
            orders.stamp_millis = self.now;
        }
        let now = self.mono();
        let table = &mut self.agents[number].table;
        table.apply_orders(&orders, now).unwrap();
    }
}
