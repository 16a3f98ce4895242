//! Placement of waiting tasks, with eviction of batch tasks for urgent ones.

use std::collections::BTreeMap;

use turmeric_learning::{InterferenceRate, LearnedTable};
use turmeric_placement::{AgentSlot, NeedInterference, PlacementNeed};
use turmeric_types::{AgentId, PartitionId, ResourceSet, TaskClass, TaskId, TeamName};

use super::TaskScheduler;
use super::session::{UnconfirmedStart, request_slots_of, service_of};
use super::waiting::WaitingShape;
use crate::{TaskChange, TaskTransition};

/// Tasks that one round places at most, so that polls are not delayed.
const PLACE_BATCH: usize = 512;

impl TaskScheduler {
    /// Updates the placement index from the agent's session.
    pub(super) fn refresh_slot(&mut self, agent: &AgentId) {
        let Some(session) = self.sessions.get(agent) else {
            return;
        };
        let Some(announced) = &session.announced else {
            return;
        };
        let is_open = session.accepts_tasks(session.last_poll_at);
        let free = session.effective_free();
        let service = service_of(announced);
        let outstanding = if service.is_some() {
            session.outstanding
        } else {
            0
        };
        let interference_permille = session.effective_interference();
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

    /// Places waiting tasks: the most urgent class first, and within a class the
    /// team that holds the fewest cores.
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

    /// Places the oldest task of a shape; returns whether it was placed.
    fn place_one(&mut self, shape: &WaitingShape) -> bool {
        let Some(task) = self.waiting.first(shape) else {
            return false;
        };
        let size = self.allocation_of(shape);
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

    /// Returns what a task of the shape needs from a worker.
    pub(super) fn need_of(&self, shape: &WaitingShape) -> PlacementNeed {
        let need = PlacementNeed::new(self.allocation_of(shape))
            .with_interference(self.interference_of(shape));
        let need = match shape.class.0 {
            TaskClass::Batch => {
                need.with_interference_limit(self.settings.interference_limit_permille)
            }
            TaskClass::Urgent | TaskClass::LatencyCritical => need,
        };
        self.exclude_avoided(need, shape)
    }

    /// Returns the allocation of a task of the shape.
    ///
    /// It is larger than declared only if a worker could hold it.
    fn allocation_of(&self, shape: &WaitingShape) -> ResourceSet {
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

    fn interference_of(&self, shape: &WaitingShape) -> NeedInterference {
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

    /// Excludes the workers on which tasks of the job recently failed or were
    /// evicted, unless no other worker could ever hold the task.
    fn exclude_avoided(&self, need: PlacementNeed, shape: &WaitingShape) -> PlacementNeed {
        let Some(job) = shape.returned_job else {
            return need;
        };
        let restricted = need.clone().with_avoided(self.avoidance.workers(job));
        if self.index.has_capacity(&restricted) {
            restricted
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

    /// Writes the assignment and subtracts its resources from the agent's free capacity.
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
            self.index
                .set_interference(agent, session.effective_interference());
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
