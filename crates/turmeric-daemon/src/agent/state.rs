//! State shared by all async tasks of an agent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use eyre::{Result, WrapErr};
use tokio::sync::Notify;
use turmeric_admission::{KeyLedger, RequestFence};
use turmeric_schema::v1;
use turmeric_tasks::{AgentTasks, write_resources};
use turmeric_types::{AgentId, AttemptNumber, Incarnation, SettingsVersion, TaskId};
use turmeric_worker::{WorkerClient, WorkerStatus};

use super::admission::AdmissionGate;
use super::endpoint::EndpointRecord;
use super::watch::ServiceWatch;
use crate::clock::ProcessClock;
use crate::config::AgentConfig;
use crate::http::RenewableClient;
use crate::lifecycle::SharedLifecycle;
use crate::metrics::ProcessMetrics;
use crate::timeline::Timeline;

/// Maximum number of idle connections kept to the endpoint; an endpoint accepts as many.
const IDLE_ENDPOINT_CONNECTIONS: usize = 64;

/// Settings in force at an agent.
#[derive(Debug, Default)]
pub(crate) struct AgentSettings {
    pub(crate) version: SettingsVersion,
    pub(crate) values: BTreeMap<String, String>,
}

/// State shared by all async tasks of an agent.
///
/// Lock order: `tasks`, `settings`, `endpoint`; each of the other locks is
/// taken alone and held briefly.
pub(crate) struct AgentState {
    pub(crate) config: AgentConfig,
    pub(crate) agent: AgentId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) lifecycle: SharedLifecycle,
    pub(crate) worker: WorkerClient,
    pub(crate) endpoint_client: RenewableClient,
    pub(crate) gate: AdmissionGate,
    tasks: Mutex<AgentTasks>,
    settings: Mutex<AgentSettings>,
    endpoint: Mutex<EndpointRecord>,
    fence: Mutex<RequestFence>,
    keys: Mutex<KeyLedger>,
    watch: Mutex<ServiceWatch>,
    /// Attempts whose stop was sent to the worker and has not been answered.
    stopping: Mutex<BTreeSet<(TaskId, AttemptNumber)>>,
    /// Wakes the poll loop of each entry, in the order of the settings.
    wakes: Vec<Notify>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AgentState {
    pub(crate) fn new(
        config: AgentConfig,
        clock: ProcessClock,
        worker: WorkerClient,
        status: &WorkerStatus,
    ) -> Result<Self> {
        let agent: AgentId = format!("{}.{:08x}", config.worker, status.instance)
            .parse()
            .wrap_err("naming the agent")?;
        let incarnation = status.incarnation;
        let entry_count = config.entries.len();
        let tasks = AgentTasks::new(incarnation, config.common.terms, status, entry_count);
        Ok(Self {
            incarnation,
            clock,
            timeline: Timeline::new(agent.to_string(), clock),
            metrics: ProcessMetrics::new(config.common.metrics)?,
            lifecycle: SharedLifecycle::new(),
            worker,
            endpoint_client: RenewableClient::new(IDLE_ENDPOINT_CONNECTIONS),
            gate: AdmissionGate::new(),
            tasks: Mutex::new(tasks),
            settings: Mutex::default(),
            endpoint: Mutex::default(),
            fence: Mutex::new(RequestFence::new(incarnation, clock.wall())),
            keys: Mutex::new(KeyLedger::new(clock.wall())),
            watch: Mutex::new(ServiceWatch::new()),
            stopping: Mutex::default(),
            wakes: (0..entry_count).map(|_| Notify::new()).collect(),
            agent,
            config,
        })
    }

    pub(crate) fn tasks(&self) -> MutexGuard<'_, AgentTasks> {
        lock(&self.tasks)
    }

    pub(crate) fn settings(&self) -> MutexGuard<'_, AgentSettings> {
        lock(&self.settings)
    }

    pub(crate) fn endpoint(&self) -> MutexGuard<'_, EndpointRecord> {
        lock(&self.endpoint)
    }

    pub(crate) fn fence(&self) -> MutexGuard<'_, RequestFence> {
        lock(&self.fence)
    }

    pub(crate) fn keys(&self) -> MutexGuard<'_, KeyLedger> {
        lock(&self.keys)
    }

    pub(crate) fn watch(&self) -> MutexGuard<'_, ServiceWatch> {
        lock(&self.watch)
    }

    pub(crate) fn stopping(&self) -> MutexGuard<'_, BTreeSet<(TaskId, AttemptNumber)>> {
        lock(&self.stopping)
    }

    /// Returns the number of requests that are queued or running.
    pub(crate) fn outstanding(&self) -> usize {
        self.gate.outstanding()
    }

    /// Returns the notifier that wakes the poll loop of the entry at `entry_index`.
    pub(crate) fn wake(&self, entry_index: usize) -> &Notify {
        &self.wakes[entry_index]
    }

    /// Wakes the poll loops of all entries.
    pub(crate) fn wake_polls(&self) {
        for wake in &self.wakes {
            wake.notify_one();
        }
    }

    /// Wakes the poll loops of the entries for which the agent has pending updates.
    pub(crate) fn wake_polls_with_updates(&self) {
        let tasks = self.tasks();
        for (entry_index, wake) in self.wakes.iter().enumerate() {
            if tasks.has_pending_updates(entry_index) {
                wake.notify_one();
            }
        }
    }

    /// Returns the announcement of this agent, without its tasks.
    pub(crate) fn announcement(&self, tasks: &AgentTasks) -> v1::Announcement {
        v1::Announcement {
            worker: self.config.worker.to_string(),
            region: self.config.common.region.clone(),
            zone: self.config.common.zone.to_string(),
            rack: self.config.rack.clone(),
            address: self.config.advertise.to_string(),
            capacity: Some(write_resources(&tasks.capacity())),
            endpoints: self.endpoint().announced(self.clock.now()),
            running: Vec::new(),
            draining: self.lifecycle.is_draining(),
        }
    }
}
