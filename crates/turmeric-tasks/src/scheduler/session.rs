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

/// Jobs that must fail on a worker in a row before it is set aside.
const FAILED_JOB_LIMIT: usize = 3;

/// Time for which a worker is set aside before it is tried again.
const SET_ASIDE_TERM: Duration = Duration::from_secs(30);

/// A poll that the entry has not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPoll {
    pub(crate) received_at: MonoTime,
    /// When the first poll since the last reply arrived; the hold counts
    /// from there, so that an agent which polls often gets its leases too.
    pub(crate) held_since: MonoTime,
    pub(crate) wants_permit: bool,
}

/// What the agent announced.
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

/// An assigned attempt of which the agent's ledger may not know yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnconfirmedStart {
    pub(crate) attempt: AttemptNumber,
    pub(crate) allocated: ResourceSet,
    /// Slowdown of the service there that is expected of it, in thousandths.
    pub(crate) interference_permille: u64,
}

/// An entry's session with one life of an agent.
#[derive(Debug)]
pub(crate) struct AgentSession {
    pub(crate) incarnation: Incarnation,
    /// Number of the last poll that was taken in.
    pub(crate) sequence: u64,
    pub(crate) announced: Option<AnnouncedState>,
    /// Whether the agent's list of tasks was compared with the books since
    /// this entry last took a partition or took tasks away from the agent.
    pub(crate) is_reconciled: bool,
    pub(crate) last_heard: MonoTime,
    /// No lease that this entry gave the agent lasts longer.
    pub(crate) lease_until: MonoTime,
    pub(crate) poll: Option<HeldPoll>,
    pub(crate) orders: BTreeMap<u64, v1::TaskOrder>,
    pub(crate) next_order: u64,
    pub(crate) sent_order: u64,
    pub(crate) acknowledged_reports: BTreeSet<u64>,
    pub(crate) settings_version: SettingsVersion,
    pub(crate) settings_update: Option<v1::SettingsUpdate>,
    /// What the agent's ledger has left, as last reported.
    pub(crate) free: ResourceSet,
    /// What the agent would take from batch tasks for urgent ones.
    pub(crate) evictable: ResourceSet,
    pub(crate) outstanding: u32,
    /// Assigned attempts of which the agent's ledger may not know yet.
    pub(crate) unconfirmed: BTreeMap<TaskId, UnconfirmedStart>,
    /// Slowdown of the service that is expected of the tasks there, as last
    /// reported, in thousandths.
    pub(crate) interference_permille: u64,
    /// Slowdown that the service can bear, if that is known.
    pub(crate) interference_budget_permille: Option<u64>,
    pub(crate) is_open: bool,
    failed_jobs: BTreeSet<JobId>,
    pub(crate) set_aside_until: MonoTime,
}

impl AgentSession {
    pub(crate) fn new(incarnation: Incarnation, now: MonoTime) -> Self {
        Self {
            incarnation,
            sequence: 0,
            announced: None,
            is_reconciled: false,
            last_heard: now,
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
            set_aside_until: MonoTime::default(),
        }
    }

    /// Returns what is left after the assignments that are on their way.
    pub(crate) fn effective_free(&self) -> ResourceSet {
        self.unconfirmed.values().fold(self.free, |free, start| {
            free.saturating_sub(&start.allocated)
        })
    }

    /// Returns the slowdown that is expected with the assignments that are on
    /// their way, in thousandths.
    pub(crate) fn effective_harm(&self) -> u64 {
        let added: u64 = self
            .unconfirmed
            .values()
            .map(|start| start.interference_permille)
            .sum();
        self.interference_permille + added
    }

    /// Returns what was left before `task` was assigned.
    pub(crate) fn effective_free_before(&self, task: TaskId) -> ResourceSet {
        self.unconfirmed
            .iter()
            .filter(|(assigned, _)| **assigned != task)
            .fold(self.free, |free, (_, start)| {
                free.saturating_sub(&start.allocated)
            })
    }

    /// Records the end of an attempt on the worker.
    pub(crate) fn note_end(&mut self, task: TaskId, succeeded: bool, now: MonoTime) {
        self.unconfirmed.remove(&task);
        if succeeded {
            self.failed_jobs.clear();
            self.set_aside_until = MonoTime::default();
            return;
        }
        // A job that fails everywhere counts once for each worker.
        self.failed_jobs.insert(task.job);
        if self.failed_jobs.len() >= FAILED_JOB_LIMIT {
            self.failed_jobs.pop_first();
            self.set_aside_until = now.after(SET_ASIDE_TERM);
        }
    }

    /// Returns whether an order started the attempt that is unconfirmed.
    fn confirms(&self, task: TaskId, order: &v1::TaskOrder) -> bool {
        matches!(order.action, Some(Action::Start(_)))
            && self
                .unconfirmed
                .get(&task)
                .is_some_and(|start| start.attempt.get() == order.attempt)
    }

    /// Forgets an attempt that was taken away from the agent.
    pub(crate) fn forget_task(&mut self, task: TaskId) {
        self.unconfirmed.remove(&task);
    }

    pub(crate) fn takes_tasks(&self, now: MonoTime) -> bool {
        let is_draining = self
            .announced
            .as_ref()
            .is_none_or(|announced| announced.is_draining);
        !is_draining && self.is_open && self.is_reconciled && now >= self.set_aside_until
    }

    pub(crate) fn push_order(&mut self, mut order: v1::TaskOrder) {
        order.number = self.next_order;
        self.orders.insert(self.next_order, order);
        self.next_order += 1;
    }

    /// Records the version in force at the agent, and keeps what is newer.
    pub(crate) fn note_settings(&mut self, version: SettingsVersion) {
        self.settings_version = version;
        let is_known = |update: &mut v1::SettingsUpdate| update.version <= version.get();
        self.settings_update.take_if(is_known);
    }

    /// Drops the order to start an attempt that is over.
    ///
    /// A start that is still offered would reach the agent together with a
    /// lease, while the task is placed elsewhere.
    pub(crate) fn withdraw_start(&mut self, task: TaskId, attempt: AttemptNumber) {
        self.unconfirmed.remove(&task);
        self.orders.retain(|_, order| {
            let is_start = matches!(order.action, Some(Action::Start(_)));
            !is_start
                || order.attempt != attempt.get()
                || read_task(order.task.as_ref()) != Ok(task)
        });
    }

    /// Drops the orders of a partition that the entry has given up.
    pub(crate) fn drop_orders(&mut self, partition: PartitionId) {
        let number = u32::from(partition.get());
        self.orders.retain(|_, order| order.partition != number);
    }

    /// Drops the orders that the agent has taken in.
    ///
    /// Its ledger knows of their starts from now on.
    pub(crate) fn acknowledge_orders(&mut self, number: u64) {
        for order in self.orders.range(..=number).map(|(_, order)| order) {
            if let Ok(task) = read_task(order.task.as_ref())
                && self.confirms(task, order)
            {
                self.unconfirmed.remove(&task);
            }
        }
        self.orders = self.orders.split_off(&(number + 1));
        // What was sent but not taken in got lost and is sent again.
        self.sent_order = number;
        // A session that was forgotten and opened anew goes on counting, so
        // that the agent does not take its orders for old ones.
        self.next_order = self.next_order.max(number + 1);
    }
}

/// Returns the service of the endpoint beside the agent.
pub(crate) fn service_of(announced: &AnnouncedState) -> Option<ServiceName> {
    announced.endpoints.first()?.service.parse().ok()
}

/// Returns how many requests the endpoint beside the agent works on at a time.
pub(crate) fn request_slots_of(announced: &AnnouncedState) -> u32 {
    let endpoint = announced.endpoints.first();
    endpoint.map_or(0, |endpoint| endpoint.slots)
}
