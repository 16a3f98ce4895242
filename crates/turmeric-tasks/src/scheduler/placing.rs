//! Placement of waiting tasks, and room for urgent ones.

use std::collections::BTreeMap;

use turmeric_learning::{InterferenceRate, LearnedTable};
use turmeric_placement::{AgentSlot, NeedInterference, PlacementNeed};
use turmeric_types::{AgentId, PartitionId, ResourceSet, TaskClass, TaskId, TeamName};

use super::TaskScheduler;
use super::session::{UnconfirmedStart, request_slots_of, service_of};
use super::waiting::WaitingShape;
use crate::{TaskChange, TaskTransition};

/// Tasks that one tick places, so that polls are not kept waiting.
const PLACE_BATCH: usize = 512;

impl TaskScheduler {
    /// Updates the index from what is known of an agent.
    pub(super) fn refresh_slot(&mut self, agent: &AgentId) {
        let Some(session) = self.sessions.get(agent) else {
            return;
        };
        let Some(announced) = &session.announced else {
            return;
        };
        let is_open = session.takes_tasks(session.last_heard);
        let free = session.effective_free();
        let service = service_of(announced);
        let outstanding = if service.is_some() {
            session.outstanding
        } else {
            0
        };
        let interference_permille = session.effective_harm();
        let is_same_slot = self.index.get(agent).is_some_and(|slot| {
            slot.is_open == is_open
                && slot.capacity == announced.capacity
                && slot.zone == announced.zone
                && slot.service == service
        });
        if is_same_slot {
            self.index.set_free(agent, free);
            self.index.set_evictable(agent, session.evictable);
            self.index.set_outstanding(agent, outstanding);
            self.index.set_interference(agent, interference_permille);
            self.index
                .set_interference_budget(agent, session.interference_budget_permille);
            return;
        }
        let slot = AgentSlot {
            zone: announced.zone.clone(),
            rack: announced.rack.clone(),
            capacity: announced.capacity,
            free,
            evictable: session.evictable,
            service,
            request_slots: request_slots_of(announced),
            outstanding,
            interference_permille,
            interference_budget_permille: session.interference_budget_permille,
            is_open,
        };
        self.index.insert(agent.clone(), slot);
    }

    /// Places waiting tasks, the most urgent class and the team that holds
    /// least first.
    pub fn place_waiting(&mut self) {
        if self.is_draining {
            return;
        }
        let mut shapes: Vec<WaitingShape> = self.waiting.shapes().cloned().collect();
        let mut placed = 0;
        while !shapes.is_empty() && placed < PLACE_BATCH {
            shapes.sort_by_cached_key(|shape| {
                let usage = self.team_usage.get(&shape.team).copied().unwrap_or(0);
                (shape.class, usage)
            });
            let mut open_shapes = Vec::new();
            for shape in shapes {
                if placed < PLACE_BATCH && self.place_one(&shape) {
                    placed += 1;
                    open_shapes.push(shape);
                }
            }
            shapes = open_shapes;
        }
    }

    /// Places the oldest task of a shape; returns whether there may be more.
    fn place_one(&mut self, shape: &WaitingShape) -> bool {
        let Some(task) = self.waiting.first(shape) else {
            return false;
        };
        let size = self.size_of(shape);
        if self.is_over_quota(&shape.team, &size) {
            return false;
        }
        let can_evict = shape.class.0 > TaskClass::Batch;
        if !can_evict && self.index.is_known_full(&size) {
            return false;
        }
        let need = self.need_of(shape);
        let Some(agent) = self.choose_worker(&need, can_evict) else {
            return false;
        };
        self.assign(task, &agent, &need);
        true
    }

    fn choose_worker(&mut self, need: &PlacementNeed, can_evict: bool) -> Option<AgentId> {
        let policy = self.settings.placement;
        let chosen = self.index.choose(need, policy, &mut self.random);
        if chosen.is_none() && can_evict {
            return self.index.choose_with_eviction(need, &mut self.random);
        }
        chosen
    }

    /// Returns what a task of the shape asks of a worker.
    pub(super) fn need_of(&self, shape: &WaitingShape) -> PlacementNeed {
        let need = PlacementNeed::new(self.size_of(shape)).with_interference(self.harm_of(shape));
        let need = match shape.class.0 {
            TaskClass::Batch => need.with_interference_limit(self.settings.harm_limit_permille),
            TaskClass::Urgent | TaskClass::LatencyCritical => need,
        };
        self.avoid_returned(need, shape)
    }

    /// Returns what a task of the shape is given.
    ///
    /// More than was declared is given only if a worker could hold it.
    fn size_of(&self, shape: &WaitingShape) -> ResourceSet {
        let Some(learned) = self.learned_of(&shape.team) else {
            return shape.resources;
        };
        let size = learned.size(&shape.spec(), self.settings.sizing, shape.has_failed);
        let is_larger = !size.fits_in(&shape.resources);
        if is_larger && !self.index.has_capacity(&PlacementNeed::new(size)) {
            return shape.resources;
        }
        size
    }

    fn harm_of(&self, shape: &WaitingShape) -> NeedInterference {
        let known = self.learned_of(&shape.team);
        NeedInterference {
            known: known.map_or_else(BTreeMap::new, |learned| learned.interference(&shape.spec())),
            assumed: InterferenceRate::assumed(shape.resources.cores),
        }
    }

    fn learned_of(&self, team: &TeamName) -> Option<&LearnedTable> {
        let partition = PartitionId::of_team(team);
        let owned = self.partitions.get(&partition)?;
        Some(owned.ledger.learned())
    }

    /// Adds the workers on which tasks of the job lately failed or were
    /// evicted, unless no other worker could ever hold the task.
    fn avoid_returned(&self, need: PlacementNeed, shape: &WaitingShape) -> PlacementNeed {
        let Some(job) = shape.returned_job else {
            return need;
        };
        let careful = need.clone().with_avoided(self.avoidance.workers(job));
        if self.index.has_capacity(&careful) {
            careful
        } else {
            need
        }
    }

    pub(super) fn is_over_quota(&self, team: &TeamName, need: &ResourceSet) -> bool {
        let Some(quota) = self.settings.quotas.get(team) else {
            return false;
        };
        let usage = self.team_usage.get(team).copied().unwrap_or(0);
        usage + need.cores.as_millicores() > *quota
    }

    /// Writes the assignment and takes the resources off what is left.
    fn assign(&mut self, task: TaskId, agent: &AgentId, need: &PlacementNeed) {
        let Some(partition) = self.partition_of(task) else {
            return;
        };
        let Some(record) = self.partitions[&partition].ledger.get(task) else {
            return;
        };
        let attempt = record.attempt.next();
        let allocated = *need.resources();
        let team = record.spec.team.clone();
        self.waiting.remove(task, record);
        *self.team_usage.entry(team).or_default() += allocated.cores.as_millicores();
        let interference_permille = self.index.get(agent).map_or(0, |slot| {
            need.interference_on(slot)
                .slowdown_permille(slot.capacity.cores)
        });
        if let Some(session) = self.sessions.get_mut(agent) {
            let start = UnconfirmedStart {
                attempt,
                allocated,
                interference_permille,
            };
            session.unconfirmed.insert(task, start);
            // An urgent task may take more than is free, by eviction.
            let taken = allocated.saturating_sub(&session.effective_free_before(task));
            session.evictable = session.evictable.saturating_sub(&taken);
            self.index.set_evictable(agent, session.evictable);
            self.index.set_interference(agent, session.effective_harm());
            let free = session.effective_free();
            self.index.set_free(agent, free);
        }
        let change = TaskChange::Assigned {
            attempt,
            agent: agent.clone(),
            allocated,
        };
        self.write(partition, TaskTransition::new(task, change));
    }
}
