//! Views of the scheduler's state for operators and the rest of the entry.

use std::fmt;

use turmeric_learning::{LearnedWorkload, WorkloadKey};
use turmeric_placement::{AgentSlot, PlacementPolicy};
use turmeric_schema::v1;
use turmeric_types::{
    AgentId, Incarnation, MonoTime, ResourceSet, SettingsVersion, TaskClass, TaskId, ZoneName,
};

use super::TaskScheduler;
use super::waiting::shape_of;
use crate::{TaskPhase, TaskRecord};

/// The reason why a task waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The next placement round can place the task.
    NextPlacementRound,
    /// The task would exceed its team's quota.
    Quota,
    /// The task avoids these workers, on which its job failed or was evicted.
    AvoidsWorkers {
        /// The workers, sorted.
        agents: Vec<AgentId>,
    },
    /// No worker with enough free capacity has a service that tolerates the interference.
    ServicesAtLimit,
    /// No open worker has enough free capacity.
    NoFreeCapacity {
        /// The allocation that the task needs.
        need: ResourceSet,
        /// Number of open workers.
        open_workers: usize,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NextPlacementRound => {
                formatter.write_str("the next placement round can place it")
            }
            Self::Quota => formatter.write_str("it would exceed the quota of its team"),
            Self::AvoidsWorkers { agents } => {
                let names: Vec<String> = agents.iter().map(AgentId::to_string).collect();
                write!(
                    formatter,
                    "it failed on {} and waits for another worker",
                    names.join(", ")
                )
            }
            Self::ServicesAtLimit => {
                formatter.write_str("services on the same VMs would miss their latency targets")
            }
            Self::NoFreeCapacity { need, open_workers } => write!(
                formatter,
                "none of the {open_workers} open workers has {need} free"
            ),
        }
    }
}

/// What an entry knows about one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Identifier of the agent.
    pub agent: AgentId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Name of the worker.
    pub worker: String,
    /// Region of the worker.
    pub region: String,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Address for requests and calls by operators.
    pub address: String,
    /// Capacity of the VM.
    pub capacity: ResourceSet,
    /// Free capacity, without that of unconfirmed assignments.
    pub free: ResourceSet,
    /// Endpoints on the agent's VM.
    pub endpoints: Vec<v1::Endpoint>,
    /// Requests queued and running at the endpoint.
    pub outstanding: u32,
    /// Settings version that the agent uses.
    pub settings_version: SettingsVersion,
    /// Whether settings allow tasks on the worker.
    pub is_open: bool,
    /// Whether the agent is in graceful shutdown.
    pub is_draining: bool,
    /// Whether the agent has polled this entry recently.
    pub is_reachable: bool,
}

impl TaskScheduler {
    /// Returns views of all agents that have sent an announcement.
    pub fn agents(&self, now: MonoTime) -> Vec<AgentView> {
        self.sessions
            .keys()
            .filter_map(|agent| self.agent(agent, now))
            .collect()
    }

    /// Returns the view of one agent, or [`None`] before its announcement.
    pub fn agent(&self, agent: &AgentId, now: MonoTime) -> Option<AgentView> {
        let session = self.sessions.get(agent)?;
        let announced = session.announced.as_ref()?;
        Some(AgentView {
            agent: agent.clone(),
            incarnation: session.incarnation,
            worker: announced.worker.clone(),
            region: announced.region.clone(),
            zone: announced.zone.clone(),
            address: announced.address.clone(),
            capacity: announced.capacity,
            free: session.effective_free(),
            endpoints: announced.endpoints.clone(),
            outstanding: session.outstanding,
            settings_version: session.settings_version,
            is_open: session.is_open,
            is_draining: announced.is_draining,
            is_reachable: self.is_reachable(agent, now),
        })
    }

    /// Returns all tasks of owned partitions.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.partitions
            .values()
            .flat_map(|owned| owned.ledger.iter())
    }

    /// Returns learned usage and interference by job kind, for owned partitions.
    pub fn learned(&self) -> impl Iterator<Item = (&WorkloadKey, &LearnedWorkload)> {
        self.partitions
            .values()
            .flat_map(|owned| owned.ledger.learned().iter())
    }

    /// Returns why a task waits, or [`None`] when it does not.
    pub fn wait_reason(&self, task: TaskId) -> Option<WaitReason> {
        let record = self.record_of(task)?;
        if record.phase != TaskPhase::Waiting {
            return None;
        }
        let shape = shape_of(task, record);
        let need = self.need_of(&shape);
        if self.is_over_quota(&shape.team, need.resources()) {
            return Some(WaitReason::Quota);
        }
        let open = || self.index.iter().filter(|(_, slot)| slot.is_open);
        let with_capacity: Vec<(&AgentId, &AgentSlot)> = open()
            .filter(|(_, slot)| need.resources().fits_in(&slot.free))
            .collect();
        if with_capacity.is_empty() {
            return Some(WaitReason::NoFreeCapacity {
                need: *need.resources(),
                open_workers: open().count(),
            });
        }
        let mut allowed = with_capacity
            .iter()
            .filter(|(agent, _)| need.allows(agent))
            .peekable();
        if allowed.peek().is_none() {
            let agents = with_capacity.iter().map(|(agent, _)| (*agent).clone());
            return Some(WaitReason::AvoidsWorkers {
                agents: agents.collect(),
            });
        }
        let considers_interference = self.settings.placement == PlacementPolicy::LeastInterference;
        if considers_interference && !allowed.any(|(_, slot)| need.is_tolerated_by(slot)) {
            return Some(WaitReason::ServicesAtLimit);
        }
        Some(WaitReason::NextPlacementRound)
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of assigned tasks of the class.
    pub fn assigned_count(&self, class: TaskClass) -> usize {
        self.assigned
            .values()
            .flatten()
            .filter(|task| {
                self.record_of(**task)
                    .is_some_and(|record| record.spec.class == class)
            })
            .count()
    }
}
