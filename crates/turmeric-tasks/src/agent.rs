//! The part of an agent that holds tasks of its worker.

mod held;
mod reply;
mod room;
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

/// A call that the shell makes to the worker.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Start an attempt; then call [`AgentTasks::start_done`].
    Start(StartRequest),
    /// Stop or forget an attempt; then call [`AgentTasks::stop_done`].
    Stop(StopRequest),
    /// Renew leases; a renewal that fails is made again with the next reply.
    Renew(Vec<LeaseRenewal>),
    /// Attach to the worker again, which has restarted.
    Attach,
}

/// The entry that owns a partition, as far as the agent has heard.
#[derive(Clone, Copy, Debug)]
struct OwnerView {
    slot: usize,
    epoch: OwnerEpoch,
}

/// A report that no entry has acknowledged.
#[derive(Clone, Debug)]
struct PendingReport {
    partition: PartitionId,
    message: v1::TaskReport,
}

/// The tasks that an agent holds, and what it tells the entries of them.
///
/// The ledger is the last word on what the VM has left. It is built from
/// the worker's own list, so that a restarted agent gives nothing twice.
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
    /// The worker's clock, as last read.
    worker_clock: MonoTime,
    used_millicores: u64,
    eviction: EvictionPolicy,
    is_draining: bool,
    /// Number of attempts that have become held.
    changes: u64,
    /// Slowdown that the service can bear, in thousandths, if it is known.
    interference_budget_permille: Option<u64>,
    /// Since when tasks run at full speed, by the worker's clock; use that is
    /// measured at a lower speed says nothing of what a task wants.
    full_speed_since: Option<MonoTime>,
}

impl AgentTasks {
    /// Creates the state of an agent that has just attached to its worker.
    ///
    /// The agent keeps one session with each of `entry_count` entries.
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
            eviction: EvictionPolicy::LeastWorkLost,
            is_draining: false,
            changes: 0,
            interference_budget_permille: None,
            full_speed_since: Some(status.clock),
        };
        for task in &status.tasks {
            tasks.adopt(task);
        }
        tasks.rebuild_ledger(status.capacity);
        tasks
    }

    /// Returns what the VM has.
    pub fn capacity(&self) -> ResourceSet {
        self.ledger.capacity()
    }

    /// Returns what the VM has left, less what is kept for urgent tasks.
    pub fn free(&self) -> ResourceSet {
        self.tasks
            .values()
            .filter(|task| task.state == HeldState::AwaitingRoom)
            .fold(self.ledger.free(), |free, task| {
                free.saturating_sub(&task.resources)
            })
    }

    /// Returns the slowdown of the service beside the tasks that is expected
    /// of them, in thousandths.
    pub fn interference_permille(&self) -> u64 {
        let capacity = self.ledger.capacity().cores;
        self.tasks
            .values()
            .filter(|task| task.state != HeldState::Over)
            .map(|task| task.interference_rate.slowdown_permille(capacity))
            .sum()
    }

    /// Records the slowdown that the service can bear, in thousandths.
    pub fn set_interference_budget(&mut self, permille: Option<u64>) {
        self.interference_budget_permille = permille;
    }

    /// Returns the tasks that the worker holds, by kind.
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

    /// Takes in what tasks of a kind do to the service beside them.
    pub fn record_interference(&mut self, kind: &MeterKind, sample: &InterferenceSample) {
        let held = self.tasks.values_mut();
        for task in held.filter(|task| task.meter_kind() == *kind) {
            task.observed.interference = Some(sample.clone());
        }
    }

    /// Returns whether the worker holds batch tasks.
    pub fn has_batch(&self) -> bool {
        self.tasks
            .values()
            .any(|task| task.class == TaskClass::Batch && task.state == HeldState::Held)
    }

    /// Records at which speed the worker runs batch tasks from now on.
    pub fn set_batch_speed(&mut self, speed_percent: u32) {
        self.full_speed_since = (speed_percent >= 100).then_some(self.worker_clock);
    }

    /// Returns the number of task attempts that hold resources.
    pub fn held_count(&self) -> usize {
        self.tasks
            .values()
            .filter(|task| task.state != HeldState::Over)
            .count()
    }

    /// Changes which batch tasks make room for urgent ones.
    pub fn set_eviction(&mut self, policy: EvictionPolicy) {
        self.eviction = policy;
    }

    /// Refuses all starts from now on.
    pub fn set_draining(&mut self) {
        self.is_draining = true;
    }

    fn rebuild_ledger(&mut self, capacity: ResourceSet) {
        let held = self
            .tasks
            .iter()
            .filter(|(_, task)| !matches!(task.state, HeldState::Over | HeldState::AwaitingRoom))
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

    /// Builds the poll of the entry in `slot`.
    ///
    /// `announcement` holds what the shell knows of the VM; the tasks are
    /// filled in here when the entry needs them.
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
        session.clock_at_poll = worker_clock;
        session.asked_permit = wants_permit;
        let earlier = std::mem::replace(
            &mut session.sent,
            SentState {
                announcement: Some(announcement.clone()),
                load: Some(load),
            },
        );
        // What a poll said that was given up may have arrived all the same.
        let is_sent = earlier.announcement == session.sent.announcement;
        let is_announced = is_sent && session.known.announcement == session.sent.announcement;
        let announcement =
            (session.wants_announcement || !is_announced).then(|| v1::Announcement {
                running,
                ..announcement.clone()
            });
        let is_announcing = announcement.is_some();
        // An entry that needs an announcement may have forgotten the load too.
        let is_loaded = earlier.load == session.sent.load;
        let has_changed = !is_loaded || session.known.load != session.sent.load;
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

    /// Returns whether the entry in `slot` has to be polled again at once.
    pub fn has_news(&self, slot: usize) -> bool {
        let session = &self.sessions[slot];
        let has_report = self.reports.values().any(|report| {
            report.message.number > session.sent_report && self.is_owner(slot, report.partition)
        });
        has_report || (self.wants_permit(slot) && !session.asked_permit)
    }

    /// Forgets what was sent to the entry in `slot`, after a lost exchange.
    pub fn reset_session(&mut self, slot: usize) {
        let session = &mut self.sessions[slot];
        session.known = SentState::default();
        session.sent_report = 0;
        session.asked_permit = false;
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
    /// An entry that compares the agent's tasks with its books needs all of
    /// them, since it may own partitions of which the agent has not heard.
    fn reports_for(&mut self, slot: usize, is_announcing: bool) -> Vec<v1::TaskReport> {
        let reports: Vec<v1::TaskReport> = self
            .reports
            .values()
            .filter(|report| is_announcing || self.is_owner(slot, report.partition))
            .map(|report| report.message.clone())
            .collect();
        if let Some(last) = reports.last() {
            self.sessions[slot].sent_report = last.number;
        }
        reports
    }

    fn running_tasks(&self) -> Vec<v1::RunningTask> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.state != HeldState::Over)
            .map(|(id, task)| v1::RunningTask {
                task: Some(write_task(*id)),
                attempt: task.attempt.get(),
                partition: u32::from(task.partition.get()),
            })
            .collect()
    }
}
