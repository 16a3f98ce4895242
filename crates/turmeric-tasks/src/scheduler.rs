//! The part of an entry that owns partitions and places their tasks.

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

/// Settings that the scheduler follows.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// How to choose a worker for a task.
    pub placement: PlacementPolicy,
    /// Processors that the running tasks of a team may hold, in thousandths.
    ///
    /// A team that is not listed has no bound.
    pub quotas: BTreeMap<TeamName, u64>,
    /// How much of a VM a task is given.
    pub sizing: SizingPolicy,
    /// Slowdown up to which batch tasks may bring a service, in thousandths,
    /// where the placement policy looks at it.
    pub harm_limit_permille: u64,
}

/// What the entry last read in the table without finding a newer owner.
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
    unsettled: BTreeSet<TaskId>,
    owned_since: MonoTime,
}

/// The part of an entry that owns partitions and places their tasks.
///
/// Every decision becomes a transition in the log first and takes effect
/// when it is durable. An agent's own word is final on what it can hold.
#[derive(Debug)]
pub struct TaskScheduler {
    incarnation: Incarnation,
    terms: LeaseTerms,
    settings: SchedulerSettings,
    partitions: BTreeMap<PartitionId, OwnedPartition>,
    /// Grows when this entry takes a partition, so that agents learn of it.
    generation: u64,
    sessions: BTreeMap<AgentId, AgentSession>,
    index: PlacementIndex,
    waiting: WaitingTasks,
    avoidance: AvoidanceTable,
    /// Tasks of owned partitions by the agent that may run them.
    assigned: BTreeMap<AgentId, BTreeSet<TaskId>>,
    /// Processors that assigned tasks hold, by team, in thousandths.
    team_usage: BTreeMap<TeamName, u64>,
    /// Reports to acknowledge once a transition of the task is durable.
    awaiting: BTreeMap<TaskId, Vec<(AgentId, u64)>>,
    /// Tasks that were told to checkpoint and stop, until a time.
    evicting: BTreeMap<TaskId, MonoTime>,
    /// Tasks to cancel once their present transition is durable.
    cancelling: BTreeMap<TaskId, WallTime>,
    /// Partitions with transitions to write.
    unwritten: BTreeSet<PartitionId>,
    /// Agents that may have something to be told.
    dirty: BTreeSet<AgentId>,
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
            awaiting: BTreeMap::new(),
            evicting: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            unwritten: BTreeSet::new(),
            dirty: BTreeSet::new(),
            confirmation: None,
            random: SplitMixRandom::new(seed),
            is_draining: false,
        }
    }

    /// Changes the settings that later decisions follow.
    pub fn set_settings(&mut self, settings: SchedulerSettings) {
        self.settings = settings;
    }

    /// Tells all agents that this entry is in graceful shutdown.
    pub fn set_draining(&mut self) {
        self.is_draining = true;
    }

    /// Takes a partition whose log was read to its end at `now`.
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
            unsettled: BTreeSet::new(),
            owned_since: now,
        };
        self.partitions.insert(partition, owned);
        self.generation += 1;
        for (agent, session) in &mut self.sessions {
            session.is_reconciled = false;
            self.dirty.insert(agent.clone());
        }
    }

    /// Gives up a partition; agents get no further lease on its tasks.
    pub fn remove_partition(&mut self, partition: PartitionId) {
        let Some(owned) = self.partitions.remove(&partition) else {
            return;
        };
        for session in self.sessions.values_mut() {
            session.drop_orders(partition);
        }
        for (task, record) in owned.ledger.iter() {
            self.waiting.remove(task, record);
            self.awaiting.remove(&task);
            self.cancelling.remove(&task);
            if let TaskPhase::Assigned(agent) = &record.phase {
                self.detach(agent, task);
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

    /// Records that settings and ownership were found unchanged in the table.
    ///
    /// `began_at` is when the read began.
    pub fn confirm(&mut self, began_at: MonoTime, version: SettingsVersion) {
        self.confirmation = Some(TableConfirmation { began_at, version });
        for (agent, session) in &self.sessions {
            if session.poll.is_some_and(|poll| poll.wants_permit) {
                self.dirty.insert(agent.clone());
            }
        }
    }

    /// Returns the partitions with new transitions to write, once.
    pub fn take_unwritten(&mut self) -> BTreeSet<PartitionId> {
        std::mem::take(&mut self.unwritten)
    }

    /// Returns the agents that may have something to be told, once.
    pub fn take_dirty(&mut self) -> BTreeSet<AgentId> {
        std::mem::take(&mut self.dirty)
    }

    /// Opens or closes an agent for new tasks, as settings say.
    pub fn set_agent_open(&mut self, agent: &AgentId, is_open: bool) {
        if let Some(session) = self.sessions.get_mut(agent) {
            session.is_open = is_open;
        }
        self.refresh_slot(agent);
    }

    fn detach(&mut self, agent: &AgentId, task: TaskId) {
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

    /// Returns the partition of a task that this entry owns.
    fn partition_of(&self, task: TaskId) -> Option<PartitionId> {
        self.partitions
            .iter()
            .find(|(_, owned)| owned.ledger.get(task).is_some())
            .map(|(partition, _)| *partition)
    }

    /// Does what is due about once a second: lapsed leases, agents that
    /// left, places that were closed.
    pub fn tick(&mut self, now: MonoTime) {
        self.return_lapsed(now);
        self.forget_sessions(now);
        self.reopen_slots(now);
        self.avoidance.forget_ended(now);
        self.drain_closed(now);
    }

    /// Forgets tasks that ended long before `now`.
    pub fn forget_ended(&mut self, now: WallTime) {
        for owned in self.partitions.values_mut() {
            owned.ledger.forget_ended(now);
        }
    }
}
