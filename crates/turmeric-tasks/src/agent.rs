//! The agent's state machine for the task attempts on its worker.

mod eviction;
mod held;
mod reply;
mod session;
mod status;

use std::collections::BTreeMap;

use turmeric_learning::{InterferenceRate, InterferenceSample, MeterKind, MeterTasks};
use turmeric_placement::{CapacityLedger, EvictionPolicy, LedgerReady};
use turmeric_schema::v1;
use turmeric_schema::v1::task_report::Event;
use turmeric_types::{
    AttemptNumber, Incarnation, MonoTime, OwnerEpoch, PartitionId, ResourceSet, TaskClass, TaskId,
};
use turmeric_worker::{LeaseRenewal, StartRequest, StopRequest, WorkerStatus};

use crate::LeaseTerms;
use crate::convert::{write_resources, write_task};
use held::{HeldState, HeldTask};
use session::{EntrySession, SentState};

pub use status::StatusVersion;

/// A call that the agent process must make to the worker.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Start an attempt, then pass the result to [`AgentTasks::handle_start_result`].
    Start(StartRequest),
    /// Stop or forget an attempt, then pass the result to [`AgentTasks::handle_stop_result`].
    Stop(StopRequest),
    /// Renew leases; a failed renewal is retried with the next reply.
    Renew(Vec<LeaseRenewal>),
    /// Attach again, because the worker has restarted.
    Attach,
}

/// The latest owner of a partition that the agent knows of.
#[derive(Clone, Copy, Debug)]
struct OwnerView {
    slot: usize,
    epoch: OwnerEpoch,
}

/// A report that the owner of the partition has not acknowledged.
#[derive(Clone, Debug)]
struct PendingReport {
    partition: PartitionId,
    message: v1::TaskReport,
}

/// The task attempts that an agent holds, and its sessions with the entries.
///
/// The capacity ledger is authoritative for the free capacity of the VM. It is
/// built from the worker's list of attempts, so that a restarted agent does not
/// allocate the same resources twice.
#[derive(Debug)]
pub struct AgentTasks {
    incarnation: Incarnation,
    terms: LeaseTerms,
    ledger: CapacityLedger<LedgerReady>,
    tasks: BTreeMap<TaskId, HeldTask>,
    owners: BTreeMap<PartitionId, OwnerView>,
    reports: BTreeMap<u64, PendingReport>,
    next_report: u64,
    sessions: Vec<EntrySession>,
    /// Last known value of the worker's clock.
    worker_clock: MonoTime,
    used_millicores: u64,
    eviction_policy: EvictionPolicy,
    is_draining: bool,
    /// Counts the attempts that the worker has started to hold.
    latest_held_version: u64,
    /// Slowdown that the service tolerates, in thousandths, if known.
    interference_budget_permille: Option<u64>,
    /// Since when batch tasks run at full speed, by the worker's clock. Usage
    /// measured at a lower speed does not show what a task needs.
    full_speed_since: Option<MonoTime>,
}

impl AgentTasks {
    /// Creates the state of an agent that has just attached to its worker.
    ///
    /// The agent has one session with each of `entry_count` entries.
    pub fn new(
        incarnation: Incarnation,
        terms: LeaseTerms,
        status: &WorkerStatus,
        entry_count: usize,
    ) -> Self {
        let mut tasks = Self {
            incarnation,
            terms,
            ledger: CapacityLedger::new(status.capacity).into_ready([]),
            tasks: BTreeMap::new(),
            owners: BTreeMap::new(),
            reports: BTreeMap::new(),
            next_report: 1,
            sessions: vec![EntrySession::default(); entry_count],
            worker_clock: status.clock,
            used_millicores: status.used_millicores,
            eviction_policy: EvictionPolicy::LeastWorkLost,
            is_draining: false,
            latest_held_version: 0,
            interference_budget_permille: None,
            full_speed_since: Some(status.clock),
        };
        for task in &status.tasks {
            tasks.adopt(task);
        }
        tasks.rebuild_ledger(status.capacity);
        tasks
    }

    /// Returns the capacity of the VM.
    pub fn capacity(&self) -> ResourceSet {
        self.ledger.capacity()
    }

    /// Returns the free capacity of the VM, less what is kept for starts that
    /// wait for an eviction.
    pub fn free(&self) -> ResourceSet {
        self.tasks
            .values()
            .filter(|task| task.state == HeldState::AwaitingCapacity)
            .fold(self.ledger.free(), |free, task| {
                free.saturating_sub(&task.resources)
            })
    }

    /// Returns the slowdown that the tasks are expected to cause to the service
    /// beside them, in thousandths.
    pub fn interference_permille(&self) -> u64 {
        let capacity = self.ledger.capacity().cores;
        self.tasks
            .values()
            .filter(|task| task.state != HeldState::Terminated)
            .map(|task| task.interference_rate.slowdown_permille(capacity))
            .sum()
    }

    /// Sets the slowdown that the service tolerates, in thousandths.
    pub fn set_interference_budget(&mut self, permille: Option<u64>) {
        self.interference_budget_permille = permille;
    }

    /// Returns the number of tasks that the worker holds and their expected
    /// interference, by kind.
    pub fn meter_tasks(&self) -> Vec<MeterTasks> {
        let mut by_kind: BTreeMap<MeterKind, MeterTasks> = BTreeMap::new();
        for task in self.tasks.values() {
            if task.state != HeldState::Held {
                continue;
            }
            let kind = task.meter_kind();
            let tasks = by_kind.entry(kind.clone()).or_insert(MeterTasks {
                kind,
                count: 0,
                expected: InterferenceRate::default(),
            });
            tasks.count += 1;
            tasks.expected = tasks.expected.plus(task.interference_rate);
        }
        by_kind.into_values().collect()
    }

    /// Records the measured interference of tasks of a kind with the service
    /// beside them.
    pub fn record_interference(&mut self, kind: &MeterKind, sample: &InterferenceSample) {
        let held = self.tasks.values_mut();
        for task in held.filter(|task| task.meter_kind() == *kind) {
            task.measurement.interference = Some(sample.clone());
        }
    }

    /// Returns whether the worker holds batch tasks.
    pub fn has_batch(&self) -> bool {
        self.tasks
            .values()
            .any(|task| task.class == TaskClass::Batch && task.state == HeldState::Held)
    }

    /// Sets the speed at which the worker runs batch tasks from now on, in percent.
    pub fn set_batch_speed(&mut self, speed_percent: u32) {
        self.full_speed_since = (speed_percent >= 100).then_some(self.worker_clock);
    }

    /// Returns the number of task attempts that hold resources.
    pub fn held_count(&self) -> usize {
        self.tasks
            .values()
            .filter(|task| task.state != HeldState::Terminated)
            .count()
    }

    /// Sets the policy that chooses which batch tasks are evicted for urgent ones.
    pub fn set_eviction_policy(&mut self, policy: EvictionPolicy) {
        self.eviction_policy = policy;
    }

    /// Refuses all starts from now on.
    pub fn set_draining(&mut self) {
        self.is_draining = true;
    }

    fn rebuild_ledger(&mut self, capacity: ResourceSet) {
        let held = self
            .tasks
            .iter()
            .filter(|(_, task)| {
                !matches!(
                    task.state,
                    HeldState::Terminated | HeldState::AwaitingCapacity
                )
            })
            .map(|(id, task)| (*id, task.attempt, task.resources));
        self.ledger = CapacityLedger::new(capacity).into_ready(held);
    }

    fn report(
        &mut self,
        partition: PartitionId,
        task: TaskId,
        attempt: AttemptNumber,
        event: Event,
    ) {
        let message = v1::TaskReport {
            number: self.next_report,
            task: Some(write_task(task)),
            attempt: attempt.get(),
            partition: u32::from(partition.get()),
            event: Some(event),
        };
        let report = PendingReport { partition, message };
        self.reports.insert(self.next_report, report);
        self.next_report += 1;
    }

    /// Builds the poll for the entry in `slot`.
    ///
    /// `announcement` holds what the agent process knows of the VM; the running
    /// tasks are added here when the entry needs them. `outstanding` is the
    /// number of requests that are queued or running at the endpoint.
    pub fn begin_poll(
        &mut self,
        slot: usize,
        announcement: &v1::Announcement,
        outstanding: u32,
    ) -> v1::PollRequest {
        let load = v1::AgentLoad {
            free: Some(write_resources(&self.free())),
            evictable: Some(write_resources(&self.evictable())),
            outstanding,
            used_millicores: self.used_millicores,
            harm_permille: self.interference_permille(),
            harm_budget_permille: self.interference_budget_permille,
        };
        let wants_permit = self.wants_permit(slot);
        let running = self.running_tasks();
        let worker_clock = self.worker_clock;
        let session = &mut self.sessions[slot];
        session.sequence += 1;
        session.poll_clocks.insert(session.sequence, worker_clock);
        session.requested_permit = wants_permit;
        let earlier = std::mem::replace(
            &mut session.sent,
            SentState {
                announcement: Some(announcement.clone()),
                load: Some(load),
            },
        );
        // The entry may have received a poll whose reply the agent gave up on.
        let is_sent = earlier.announcement == session.sent.announcement;
        let is_announced =
            is_sent && session.acknowledged.announcement == session.sent.announcement;
        let announcement =
            (session.wants_announcement || !is_announced).then(|| v1::Announcement {
                running,
                ..announcement.clone()
            });
        let is_announcing = announcement.is_some();
        // An entry that needs an announcement may have lost the load too.
        let is_loaded = earlier.load == session.sent.load;
        let has_changed = !is_loaded || session.acknowledged.load != session.sent.load;
        let load = (is_announcing || has_changed).then_some(load);
        let poll = v1::PollRequest {
            incarnation: self.incarnation.get(),
            sequence: session.sequence,
            acknowledged_order: session.last_order,
            announcement,
            wants_permit,
            entry_incarnation: session.entry_incarnation,
            ownership_generation: session.generation,
            load,
            ..v1::PollRequest::default()
        };
        v1::PollRequest {
            reports: self.reports_for(slot, is_announcing),
            ..poll
        }
    }

    /// Returns whether the entry in `slot` must be polled again at once, because
    /// it lacks a report or a request for a permit.
    pub fn has_pending_updates(&self, slot: usize) -> bool {
        let session = &self.sessions[slot];
        let has_report = self.reports.values().any(|report| {
            report.message.number > session.last_sent_report
                && self.is_owner(slot, report.partition)
        });
        has_report || (self.wants_permit(slot) && !session.requested_permit)
    }

    /// Discards what the entry in `slot` is assumed to know, after a lost poll
    /// or reply.
    pub fn reset_session(&mut self, slot: usize) {
        let session = &mut self.sessions[slot];
        session.acknowledged = SentState::default();
        session.poll_clocks.clear();
        session.last_sent_report = 0;
        session.requested_permit = false;
        session.wants_announcement = true;
    }

    fn is_owner(&self, slot: usize, partition: PartitionId) -> bool {
        self.owners
            .get(&partition)
            .is_some_and(|owner| owner.slot == slot)
    }

    fn wants_permit(&self, slot: usize) -> bool {
        self.tasks.values().any(|task| {
            task.state == HeldState::AwaitingPermit && self.is_owner(slot, task.partition)
        })
    }

    /// Returns the reports that the entry in `slot` needs.
    ///
    /// An entry that gets an announcement compares the agent's tasks with its
    /// ledger. It needs all reports, since it may own partitions that the agent
    /// does not know it owns.
    fn reports_for(&mut self, slot: usize, is_announcing: bool) -> Vec<v1::TaskReport> {
        let reports: Vec<v1::TaskReport> = self
            .reports
            .values()
            .filter(|report| is_announcing || self.is_owner(slot, report.partition))
            .map(|report| report.message.clone())
            .collect();
        if let Some(last) = reports.last() {
            self.sessions[slot].last_sent_report = last.number;
        }
        reports
    }

    fn running_tasks(&self) -> Vec<v1::RunningTask> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.state != HeldState::Terminated)
            .map(|(id, task)| v1::RunningTask {
                task: Some(write_task(*id)),
                attempt: task.attempt.get(),
                partition: u32::from(task.partition.get()),
            })
            .collect()
    }
}
