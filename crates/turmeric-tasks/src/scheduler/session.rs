//! An entry's session with one agent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_types::{
    AttemptNumber, Incarnation, JobId, MonoTime, PartitionId, ResourceSet, ServiceName,
    SettingsVersion, TaskId, ZoneName,
};

use crate::convert::read_task;

/// Number of jobs that must fail in a row on a worker before it is quarantined.
const FAILED_JOB_LIMIT: usize = 3;

/// Time for which a quarantined worker gets no tasks.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(30);

/// A poll that is waiting for a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPoll {
    pub(crate) received_at: MonoTime,
    /// When the first poll since the last reply arrived. The long-poll timeout
    /// starts then, so that an agent which polls often still gets its leases.
    pub(crate) pending_since: MonoTime,
    pub(crate) wants_permit: bool,
}

/// The state that the agent announced.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedState {
    pub(crate) worker: String,
    pub(crate) region: String,
    pub(crate) zone: ZoneName,
    pub(crate) rack: String,
    pub(crate) address: String,
    pub(crate) capacity: ResourceSet,
    pub(crate) endpoints: Vec<v1::Endpoint>,
    pub(crate) is_draining: bool,
}

/// An assigned attempt that the agent's reported load may not include yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnconfirmedStart {
    pub(crate) attempt: AttemptNumber,
    pub(crate) allocated: ResourceSet,
    /// Expected slowdown of the agent's service by this attempt, in thousandths.
    pub(crate) interference_permille: u64,
}

/// An entry's session with one incarnation of an agent.
#[derive(Debug)]
pub(crate) struct AgentSession {
    pub(crate) incarnation: Incarnation,
    /// Number of the last poll that was handled.
    pub(crate) sequence: u64,
    pub(crate) announced: Option<AnnouncedState>,
    /// Whether the agent's list of tasks was reconciled with the ledgers since
    /// this entry last added a partition or returned lapsed tasks of the agent.
    pub(crate) is_reconciled: bool,
    pub(crate) last_poll_at: MonoTime,
    /// Time by which all leases that this entry granted to the agent have expired.
    pub(crate) lease_until: MonoTime,
    pub(crate) poll: Option<PendingPoll>,
    pub(crate) orders: BTreeMap<u64, v1::TaskOrder>,
    pub(crate) next_order: u64,
    pub(crate) sent_order: u64,
    pub(crate) acknowledged_reports: BTreeSet<u64>,
    pub(crate) settings_version: SettingsVersion,
    pub(crate) settings_update: Option<v1::SettingsUpdate>,
    /// Free capacity of the agent, as last reported.
    pub(crate) free: ResourceSet,
    /// Capacity that the agent can free for urgent tasks by eviction of batch tasks.
    pub(crate) evictable: ResourceSet,
    pub(crate) outstanding: u32,
    /// Assigned attempts that the agent's reported load may not include yet.
    pub(crate) unconfirmed: BTreeMap<TaskId, UnconfirmedStart>,
    /// Expected slowdown of the service by the tasks on this worker, as last
    /// reported, in thousandths.
    pub(crate) interference_permille: u64,
    /// Slowdown that the service can tolerate, in thousandths, if known.
    pub(crate) interference_budget_permille: Option<u64>,
    pub(crate) is_open: bool,
    failed_jobs: BTreeSet<JobId>,
    pub(crate) quarantined_until: MonoTime,
}

impl AgentSession {
    pub(crate) fn new(incarnation: Incarnation, now: MonoTime) -> Self {
        Self {
            incarnation,
            sequence: 0,
            announced: None,
            is_reconciled: false,
            last_poll_at: now,
            lease_until: MonoTime::default(),
            poll: None,
            orders: BTreeMap::new(),
            next_order: 1,
            sent_order: 0,
            acknowledged_reports: BTreeSet::new(),
            settings_version: SettingsVersion::default(),
            settings_update: None,
            free: ResourceSet::default(),
            evictable: ResourceSet::default(),
            outstanding: 0,
            unconfirmed: BTreeMap::new(),
            interference_permille: 0,
            interference_budget_permille: None,
            is_open: false,
            failed_jobs: BTreeSet::new(),
            quarantined_until: MonoTime::default(),
        }
    }

    /// Returns the free capacity minus that of the unconfirmed assignments.
    pub(crate) fn effective_free(&self) -> ResourceSet {
        self.unconfirmed.values().fold(self.free, |free, start| {
            free.saturating_sub(&start.allocated)
        })
    }

    /// Returns the expected slowdown of the service, including that by the
    /// unconfirmed assignments, in thousandths.
    pub(crate) fn effective_interference(&self) -> u64 {
        let added: u64 = self
            .unconfirmed
            .values()
            .map(|start| start.interference_permille)
            .sum();
        self.interference_permille + added
    }

    /// Returns the free capacity before `task` was assigned.
    pub(crate) fn effective_free_before(&self, task: TaskId) -> ResourceSet {
        self.unconfirmed
            .iter()
            .filter(|(assigned, _)| **assigned != task)
            .fold(self.free, |free, (_, start)| {
                free.saturating_sub(&start.allocated)
            })
    }

    /// Records the end of an attempt, and quarantines the worker after repeated failures.
    pub(crate) fn record_end(&mut self, task: TaskId, succeeded: bool, now: MonoTime) {
        self.unconfirmed.remove(&task);
        if succeeded {
            self.failed_jobs.clear();
            self.quarantined_until = MonoTime::default();
            return;
        }
        // A job counts once on each worker, however many of its attempts fail.
        self.failed_jobs.insert(task.job);
        if self.failed_jobs.len() >= FAILED_JOB_LIMIT {
            self.failed_jobs.pop_first();
            self.quarantined_until = now.after(QUARANTINE_PERIOD);
        }
    }

    /// Returns whether the order is the one that started the task's unconfirmed attempt.
    fn confirms(&self, task: TaskId, order: &v1::TaskOrder) -> bool {
        matches!(order.action, Some(Action::Start(_)))
            && self
                .unconfirmed
                .get(&task)
                .is_some_and(|start| start.attempt.get() == order.attempt)
    }

    /// Removes the task from the unconfirmed assignments.
    pub(crate) fn remove_unconfirmed(&mut self, task: TaskId) {
        self.unconfirmed.remove(&task);
    }

    pub(crate) fn accepts_tasks(&self, now: MonoTime) -> bool {
        let is_draining = self
            .announced
            .as_ref()
            .is_none_or(|announced| announced.is_draining);
        !is_draining && self.is_open && self.is_reconciled && now >= self.quarantined_until
    }

    pub(crate) fn push_order(&mut self, mut order: v1::TaskOrder) {
        order.number = self.next_order;
        self.orders.insert(self.next_order, order);
        self.next_order += 1;
    }

    /// Records the settings version that the agent uses, and drops an offered
    /// update that is not newer.
    pub(crate) fn record_settings_version(&mut self, version: SettingsVersion) {
        self.settings_version = version;
        let is_applied = |update: &mut v1::SettingsUpdate| update.version <= version.get();
        self.settings_update.take_if(is_applied);
    }

    /// Drops the order to start an attempt that the agent lost.
    ///
    /// Otherwise the start order could reach the agent together with a lease,
    /// while the task is already placed on another worker. Returns whether there was such an
    /// order, which an earlier reply may still bring to the agent.
    pub(crate) fn withdraw_start(&mut self, task: TaskId, attempt: AttemptNumber) -> bool {
        self.unconfirmed.remove(&task);
        let order_count = self.orders.len();
        self.orders.retain(|_, order| {
            let is_start = matches!(order.action, Some(Action::Start(_)));
            !is_start
                || order.attempt != attempt.get()
                || read_task(order.task.as_ref()) != Ok(task)
        });
        self.orders.len() < order_count
    }

    /// Drops the orders of a partition that the entry no longer owns.
    pub(crate) fn drop_orders(&mut self, partition: PartitionId) {
        let number = u32::from(partition.get());
        self.orders.retain(|_, order| order.partition != number);
    }

    /// Drops the orders that the agent has acknowledged.
    ///
    /// The load that it reports includes the attempts that they started.
    pub(crate) fn acknowledge_orders(&mut self, number: u64) {
        for order in self.orders.range(..=number).map(|(_, order)| order) {
            if let Ok(task) = read_task(order.task.as_ref())
                && self.confirms(task, order)
            {
                self.unconfirmed.remove(&task);
            }
        }
        self.orders = self.orders.split_off(&(number + 1));
        // Orders that were sent but not acknowledged are sent again.
        self.sent_order = number;
        // A session that was removed and created again continues the numbering,
        // so that the agent does not ignore its orders as already handled.
        self.next_order = self.next_order.max(number + 1);
    }
}

/// Returns the service of the endpoint on the agent's VM.
pub(crate) fn service_of(announced: &AnnouncedState) -> Option<ServiceName> {
    announced.endpoints.first()?.service.parse().ok()
}

/// Returns how many requests the endpoint on the agent's VM handles concurrently.
pub(crate) fn request_slots_of(announced: &AnnouncedState) -> u32 {
    let endpoint = announced.endpoints.first();
    endpoint.map_or(0, |endpoint| endpoint.slots)
}
