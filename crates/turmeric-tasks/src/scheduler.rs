//! The scheduler of an entry, which owns partitions and places their tasks.

mod avoidance;
mod commit;
mod lapse;
mod order;
mod placing;
mod poll;
mod reconcile;
mod reply;
mod session;
mod submit;
mod view;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use turmeric_learning::SizingPolicy;
use turmeric_placement::{PlacementIndex, PlacementPolicy};
use turmeric_types::{
    AgentId, Incarnation, MonoTime, OwnerEpoch, PartitionId, SettingsVersion, SplitMixRandom,
    TaskId, TeamName, WallTime,
};

use crate::{LeaseTerms, PartitionWriter, TaskLedger, TaskPhase};
use avoidance::AvoidanceTable;
use session::AgentSession;
use waiting::WaitingTasks;

pub use poll::PollContext;
pub use submit::{SubmitDecision, SubmitRequest};
pub use view::{AgentView, WaitReason};

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The policy that chooses a worker for a task.
    pub placement: PlacementPolicy,
    /// Cores that the assigned tasks of a team may hold, in thousandths of a core.
    ///
    /// A team that is not listed has no quota.
    pub quotas: BTreeMap<TeamName, u64>,
    /// The policy that decides how many resources a task is allocated.
    pub sizing: SizingPolicy,
    /// Slowdown of a service that batch tasks may cause at most, in thousandths,
    /// if the placement policy considers interference.
    pub interference_limit_permille: u64,
}

/// The last read of the table that found no newer owner.
#[derive(Clone, Copy, Debug)]
struct TableConfirmation {
    /// When the read began.
    began_at: MonoTime,
    version: SettingsVersion,
}

/// A partition that this entry owns.
#[derive(Debug)]
struct OwnedPartition {
    ledger: TaskLedger,
    writer: PartitionWriter,
    /// Tasks with a transition that is not yet durable.
    pending_tasks: BTreeSet<TaskId>,
    owned_since: MonoTime,
}

/// The scheduler of an entry, which owns partitions and places their tasks.
///
/// Every decision is first written to the log as a transition and takes
/// effect when it is durable. Each agent has the final decision on whether it
/// can hold a task.
#[derive(Debug)]
pub struct TaskScheduler {
    incarnation: Incarnation,
    terms: LeaseTerms,
    settings: SchedulerSettings,
    partitions: BTreeMap<PartitionId, OwnedPartition>,
    /// Grows when this entry takes over a partition, so that agents are notified.
    generation: u64,
    sessions: BTreeMap<AgentId, AgentSession>,
    index: PlacementIndex,
    waiting: WaitingTasks,
    avoidance: AvoidanceTable,
    /// Tasks of owned partitions by the agent that may run them.
    assigned: BTreeMap<AgentId, BTreeSet<TaskId>>,
    /// Cores that assigned tasks hold, by team, in thousandths of a core.
    team_usage: BTreeMap<TeamName, u64>,
    /// Reports to acknowledge once a transition of the task is durable.
    unacknowledged: BTreeMap<TaskId, Vec<(AgentId, u64)>>,
    /// Tasks that were ordered to checkpoint and stop, and when the order may be repeated.
    evicting: BTreeMap<TaskId, MonoTime>,
    /// Tasks to cancel once their pending transition is durable.
    cancelling: BTreeMap<TaskId, WallTime>,
    /// Partitions with transitions to write.
    unwritten: BTreeSet<PartitionId>,
    /// Agents for which a reply may be due.
    agents_to_update: BTreeSet<AgentId>,
    confirmation: Option<TableConfirmation>,
    random: SplitMixRandom,
    is_draining: bool,
}

impl TaskScheduler {
    /// Creates a scheduler that owns no partition.
    pub fn new(
        incarnation: Incarnation,
        terms: LeaseTerms,
        settings: SchedulerSettings,
        seed: u64,
    ) -> Self {
        Self {
            incarnation,
            terms,
            settings,
            partitions: BTreeMap::new(),
            generation: 0,
            sessions: BTreeMap::new(),
            index: PlacementIndex::new(),
            waiting: WaitingTasks::default(),
            avoidance: AvoidanceTable::default(),
            assigned: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            evicting: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            unwritten: BTreeSet::new(),
            agents_to_update: BTreeSet::new(),
            confirmation: None,
            random: SplitMixRandom::new(seed),
            is_draining: false,
        }
    }

    /// Sets the settings for later decisions.
    pub fn set_settings(&mut self, settings: SchedulerSettings) {
        self.settings = settings;
    }

    /// Marks this entry as draining in all later replies, and stops placement.
    pub fn set_draining(&mut self) {
        self.is_draining = true;
    }

    /// Adds a partition whose log was read to its end at `now`.
    pub fn add_partition(
        &mut self,
        partition: PartitionId,
        epoch: OwnerEpoch,
        ledger: TaskLedger,
        next_index: u64,
        now: MonoTime,
    ) {
        for (task, record) in ledger.iter() {
            match &record.phase {
                TaskPhase::Waiting => self.waiting.insert(task, record),
                TaskPhase::Assigned(agent) => {
                    self.assigned.entry(agent.clone()).or_default().insert(task);
                    let cores = record.allocated.cores.as_millicores();
                    *self.team_usage.entry(record.spec.team.clone()).or_default() += cores;
                }
                _ => {}
            }
        }
        let owned = OwnedPartition {
            ledger,
            writer: PartitionWriter::new(partition, epoch, next_index),
            pending_tasks: BTreeSet::new(),
            owned_since: now,
        };
        self.partitions.insert(partition, owned);
        self.generation += 1;
        for (agent, session) in &mut self.sessions {
            session.is_reconciled = false;
            self.agents_to_update.insert(agent.clone());
        }
    }

    /// Removes a partition that this entry no longer owns.
    ///
    /// Agents get no further lease on its tasks from this entry.
    pub fn remove_partition(&mut self, partition: PartitionId) {
        let Some(owned) = self.partitions.remove(&partition) else {
            return;
        };
        for session in self.sessions.values_mut() {
            session.drop_orders(partition);
        }
        for (task, record) in owned.ledger.iter() {
            self.waiting.remove(task, record);
            self.unacknowledged.remove(&task);
            self.cancelling.remove(&task);
            if let TaskPhase::Assigned(agent) = &record.phase {
                self.remove_assigned(agent, task);
                let cores = record.allocated.cores.as_millicores();
                self.reduce_usage(&record.spec.team, cores);
            }
        }
    }

    /// Returns the partitions that this entry owns, with their epochs.
    pub fn owned_partitions(&self) -> impl Iterator<Item = (PartitionId, OwnerEpoch)> {
        self.partitions
            .iter()
            .map(|(partition, owned)| (*partition, owned.writer.epoch()))
    }

    /// Records that a read of the table found settings and ownership unchanged.
    ///
    /// `began_at` is when the read began.
    pub fn confirm(&mut self, began_at: MonoTime, version: SettingsVersion) {
        self.confirmation = Some(TableConfirmation { began_at, version });
        for (agent, session) in &self.sessions {
            if session.poll.is_some_and(|poll| poll.wants_permit) {
                self.agents_to_update.insert(agent.clone());
            }
        }
    }

    /// Returns the partitions with new transitions to write, and clears the set.
    pub fn take_unwritten(&mut self) -> BTreeSet<PartitionId> {
        std::mem::take(&mut self.unwritten)
    }

    /// Returns the agents for which a reply may be due, and clears the set.
    pub fn take_agents_to_update(&mut self) -> BTreeSet<AgentId> {
        std::mem::take(&mut self.agents_to_update)
    }

    /// Opens or closes an agent for new tasks.
    ///
    /// Tasks are moved off an agent that is closed.
    pub fn set_agent_open(&mut self, agent: &AgentId, is_open: bool) {
        if let Some(session) = self.sessions.get_mut(agent) {
            session.is_open = is_open;
        }
        self.refresh_slot(agent);
    }

    fn remove_assigned(&mut self, agent: &AgentId, task: TaskId) {
        if let Some(tasks) = self.assigned.get_mut(agent) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.assigned.remove(agent);
            }
        }
    }

    fn reduce_usage(&mut self, team: &TeamName, millicores: u64) {
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage = usage.saturating_sub(millicores);
            if *usage == 0 {
                self.team_usage.remove(team);
            }
        }
    }

    /// Returns the owned partition whose ledger contains the task.
    fn partition_of(&self, task: TaskId) -> Option<PartitionId> {
        self.partitions
            .iter()
            .find(|(_, owned)| owned.ledger.get(task).is_some())
            .map(|(partition, _)| *partition)
    }

    /// Handles lapsed leases, unreachable agents, quarantined workers and closed agents.
    ///
    /// Called about once a second.
    pub fn tick(&mut self, now: MonoTime) {
        self.return_lapsed(now);
        self.remove_sessions(now);
        self.release_quarantined(now);
        self.avoidance.remove_expired(now);
        self.drain_closed(now);
    }

    /// Removes tasks that ended long before `now` from the ledgers.
    pub fn forget_ended(&mut self, now: WallTime) {
        for owned in self.partitions.values_mut() {
            owned.ledger.forget_ended(now);
        }
    }
}
