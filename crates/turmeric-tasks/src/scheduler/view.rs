//! What operators and the rest of the entry can see of the scheduler.

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

/// Why a task waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// It is about to be placed.
    NextRound,
    /// Its team holds as much as its quota allows.
    Quota,
    /// It failed on these workers and waits for another one.
    FailedThere {
        /// The workers, in order.
        agents: Vec<AgentId>,
    },
    /// The services on all workers with room bear no more of its kind now.
    ServicesBusy,
    /// No open worker has enough left.
    NoRoom {
        /// What the task asks for.
        need: ResourceSet,
        /// Open workers that are looked at.
        open_workers: usize,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NextRound => formatter.write_str("it is about to be placed"),
            Self::Quota => formatter.write_str("its team holds as much as its quota allows"),
            Self::FailedThere { agents } => {
                let names: Vec<String> = agents.iter().map(AgentId::to_string).collect();
                write!(
                    formatter,
                    "it failed on {} and waits for another worker",
                    names.join(", ")
                )
            }
            Self::ServicesBusy => {
                formatter.write_str("services beside it would miss their latency targets")
            }
            Self::NoRoom { need, open_workers } => write!(
                formatter,
                "none of the {open_workers} open workers has {need} left"
            ),
        }
    }
}

/// What an entry knows of one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent.
    pub agent: AgentId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Name of the worker.
    pub worker: String,
    /// Region of the worker.
    pub region: String,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Address for requests and operators' calls.
    pub address: String,
    /// What the VM has.
    pub capacity: ResourceSet,
    /// What is left.
    pub free: ResourceSet,
    /// Endpoints beside the agent.
    pub endpoints: Vec<v1::Endpoint>,
    /// Requests queued and running at the endpoint.
    pub outstanding: u32,
    /// Settings version in force at the agent.
    pub settings_version: SettingsVersion,
    /// Whether settings let it take work.
    pub is_open: bool,
    /// Whether the agent is in graceful shutdown.
    pub is_draining: bool,
    /// Whether the agent polls this entry.
    pub is_heard: bool,
}

impl TaskScheduler {
    /// Returns what is known of all agents that have announced themselves.
    pub fn agents(&self, now: MonoTime) -> Vec<AgentView> {
        self.sessions
            .keys()
            .filter_map(|agent| self.agent(agent, now))
            .collect()
    }

    /// Returns what is known of one agent.
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
            is_heard: self.is_heard(agent, now),
        })
    }

    /// Returns all tasks of owned partitions.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.partitions
            .values()
            .flat_map(|owned| owned.ledger.iter())
    }

    /// Returns what was learned of the kinds of owned partitions.
    pub fn learned(&self) -> impl Iterator<Item = (&WorkloadKey, &LearnedWorkload)> {
        self.partitions
            .values()
            .flat_map(|owned| owned.ledger.learned().iter())
    }

    /// Returns why a task waits; [`None`] when it does not.
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
        let with_room: Vec<(&AgentId, &AgentSlot)> = open()
            .filter(|(_, slot)| need.resources().fits_in(&slot.free))
            .collect();
        if with_room.is_empty() {
            return Some(WaitReason::NoRoom {
                need: *need.resources(),
                open_workers: open().count(),
            });
        }
        let mut allowed = with_room
            .iter()
            .filter(|(agent, _)| need.allows(agent))
            .peekable();
        if allowed.peek().is_none() {
            let agents = with_room.iter().map(|(agent, _)| (*agent).clone());
            return Some(WaitReason::FailedThere {
                agents: agents.collect(),
            });
        }
        let looks_at_harm = self.settings.placement == PlacementPolicy::LeastInterference;
        if looks_at_harm && !allowed.any(|(_, slot)| need.is_tolerated_by(slot)) {
            return Some(WaitReason::ServicesBusy);
        }
        Some(WaitReason::NextRound)
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of tasks that agents may run, by class.
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
