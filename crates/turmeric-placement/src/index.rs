//! The free resources of all workers as an entry knows them.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_types::{AgentId, ResourceSet, ServiceName, SplitMixRandom, ZoneName};

use crate::{PlacementNeed, PlacementPolicy};

/// Number of workers sampled in one decision, fixed so that its cost does not
/// grow with the number of workers.
const SAMPLE_COUNT: usize = 32;

/// The state of one worker as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSlot {
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Rack of the worker.
    pub rack: String,
    /// Total resources of the VM.
    pub capacity: ResourceSet,
    /// Free resources last reported, less what this entry has assigned since.
    pub free: ResourceSet,
    /// Resources held there by batch tasks that may be evicted.
    pub evictable: ResourceSet,
    /// Service of the endpoint on the VM, if there is one.
    pub service: Option<ServiceName>,
    /// Requests that the endpoint handles concurrently.
    pub request_slots: u32,
    /// Requests outstanding at the endpoint on the VM.
    pub outstanding: u32,
    /// Expected slowdown of the service by the tasks there, in thousandths.
    pub interference_permille: u64,
    /// Slowdown that the service tolerates within its latency target, in
    /// thousandths; absent while unknown.
    pub interference_budget_permille: Option<u64>,
    /// Whether the worker accepts new tasks.
    pub is_open: bool,
}

/// An index of the workers by name and by free processors.
#[derive(Debug, Default)]
pub struct PlacementIndex {
    slots: BTreeMap<AgentId, AgentSlot>,
    open_by_cores: BTreeSet<(u64, AgentId)>,
    open_agents: Vec<AgentId>,
    /// Resources last found on no open worker; reset when a worker gains free
    /// resources.
    unplaced: Option<ResourceSet>,
}

impl PlacementIndex {
    /// Creates an index without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of known workers.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no workers are known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the state of one worker.
    pub fn get(&self, agent: &AgentId) -> Option<&AgentSlot> {
        self.slots.get(agent)
    }

    /// Returns all workers in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&AgentId, &AgentSlot)> {
        self.slots.iter()
    }

    /// Adds a worker or replaces its state.
    pub fn insert(&mut self, agent: AgentId, slot: AgentSlot) {
        self.detach(&agent);
        if slot.is_open {
            self.open_by_cores
                .insert((slot.free.cores.as_millicores(), agent.clone()));
            if let Err(position) = self.open_agents.binary_search(&agent) {
                self.open_agents.insert(position, agent.clone());
            }
        }
        self.slots.insert(agent, slot);
        self.unplaced = None;
    }

    /// Sets the free resources of a worker.
    pub fn set_free(&mut self, agent: &AgentId, free: ResourceSet) {
        let Some(slot) = self.slots.get_mut(agent) else {
            return;
        };
        if !free.fits_in(&slot.free) {
            self.unplaced = None;
        }
        if slot.is_open {
            let old = (slot.free.cores.as_millicores(), agent.clone());
            self.open_by_cores.remove(&old);
            self.open_by_cores
                .insert((free.cores.as_millicores(), agent.clone()));
        }
        slot.free = free;
    }

    /// Sets the resources that evictions can free on a worker.
    pub fn set_evictable(&mut self, agent: &AgentId, evictable: ResourceSet) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.evictable = evictable;
        }
    }

    /// Sets the number of requests outstanding at a worker's endpoint.
    pub fn set_outstanding(&mut self, agent: &AgentId, outstanding: u32) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.outstanding = outstanding;
        }
    }

    /// Sets the expected slowdown of the service by the tasks on a worker, in
    /// thousandths.
    pub fn set_interference(&mut self, agent: &AgentId, interference_permille: u64) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.interference_permille = interference_permille;
        }
    }

    /// Sets the slowdown that the service on a worker tolerates, in
    /// thousandths.
    pub fn set_interference_budget(
        &mut self,
        agent: &AgentId,
        interference_budget_permille: Option<u64>,
    ) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.interference_budget_permille = interference_budget_permille;
        }
    }

    /// Removes a worker.
    pub fn remove(&mut self, agent: &AgentId) {
        self.detach(agent);
        self.slots.remove(agent);
    }

    /// Removes a worker from the lookups of open workers.
    fn detach(&mut self, agent: &AgentId) {
        let Some(slot) = self.slots.get(agent) else {
            return;
        };
        let key = (slot.free.cores.as_millicores(), agent.clone());
        self.open_by_cores.remove(&key);
        if let Ok(position) = self.open_agents.binary_search(agent) {
            self.open_agents.remove(position);
        }
    }

    /// Returns whether the last search for `resources` or less found them free
    /// on no open worker, and no worker gained free resources since.
    pub fn is_known_full(&self, resources: &ResourceSet) -> bool {
        self.unplaced
            .is_some_and(|unplaced| unplaced.fits_in(resources))
    }

    /// Chooses a worker on which `need` fits.
    ///
    /// Returns [`None`] when no open worker has enough free resources, or when
    /// no sampled service tolerates the task.
    pub fn choose(
        &mut self,
        need: &PlacementNeed,
        policy: PlacementPolicy,
        random: &mut SplitMixRandom,
    ) -> Option<AgentId> {
        let resources = need.resources();
        if self.is_known_full(resources) {
            return None;
        }
        let chosen = match policy {
            PlacementPolicy::FirstFit => self.first_fit(need),
            PlacementPolicy::BestFit => self.best_fit(need),
            PlacementPolicy::Random => self.random_fit(need, random),
            PlacementPolicy::LeastInterference => self.least_interference(need, random),
        };
        if chosen.is_none() && need.allows_all() && !self.has_free(resources) {
            self.unplaced = Some(*resources);
        }
        chosen
    }

    /// Chooses a worker on which `need` fits once batch tasks are evicted.
    ///
    /// Takes the worker with the most free processors of a sample, so that few
    /// tasks are evicted. Searches all workers only if no sampled one fits.
    pub fn choose_with_eviction(
        &self,
        need: &PlacementNeed,
        random: &mut SplitMixRandom,
    ) -> Option<AgentId> {
        let count = self.open_agents.len();
        if count == 0 {
            return None;
        }
        let fits = |agent: &&AgentId| {
            let slot = self.slots.get(*agent).filter(|_| need.allows(agent));
            slot.is_some_and(|slot| {
                let total = slot.free.checked_add(&slot.evictable);
                total.is_some_and(|total| need.resources().fits_in(&total))
            })
        };
        let free_cores = |agent: &&AgentId| self.slots.get(*agent).map(|slot| slot.free.cores);
        (0..SAMPLE_COUNT)
            .map(|_| &self.open_agents[random.next_below(count)])
            .filter(fits)
            .max_by_key(free_cores)
            .or_else(|| self.open_agents.iter().find(fits))
            .cloned()
    }

    /// Returns whether `need` fits in the total resources of an open worker.
    pub fn has_capacity(&self, need: &PlacementNeed) -> bool {
        self.open_agents
            .iter()
            .filter(|agent| need.allows(agent))
            .filter_map(|agent| self.slots.get(agent))
            .any(|slot| need.resources().fits_in(&slot.capacity))
    }

    /// Returns whether an open worker has `resources` free.
    fn has_free(&self, resources: &ResourceSet) -> bool {
        self.best_fit(&PlacementNeed::new(*resources)).is_some()
    }

    fn fits(&self, agent: &AgentId, need: &PlacementNeed) -> bool {
        self.slots
            .get(agent)
            .is_some_and(|slot| need.resources().fits_in(&slot.free) && need.allows(agent))
    }

    fn first_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
        self.open_agents
            .iter()
            .find(|agent| self.fits(agent, need))
            .cloned()
    }

    fn best_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
        // The first name sorts before every other worker with as many cores.
        let first = need.resources().cores.as_millicores();
        let smallest = (first, self.open_agents.first()?.clone());
        self.open_by_cores
            .range(smallest..)
            .map(|(_, agent)| agent)
            .find(|agent| self.fits(agent, need))
            .cloned()
    }

    fn sample(&self, need: &PlacementNeed, random: &mut SplitMixRandom) -> Vec<&AgentId> {
        if self.open_agents.is_empty() {
            return Vec::new();
        }
        (0..SAMPLE_COUNT)
            .map(|_| &self.open_agents[random.next_below(self.open_agents.len())])
            .filter(|agent| self.fits(agent, need))
            .collect()
    }

    fn random_fit(&self, need: &PlacementNeed, random: &mut SplitMixRandom) -> Option<AgentId> {
        let sample = self.sample(need, random);
        match sample.first() {
            Some(agent) => Some((*agent).clone()),
            None => self.worst_fit(need),
        }
    }

    /// Chooses the sampled worker whose service is slowed least, and of equal
    /// ones the one with the fewest free processors.
    ///
    /// A task that no sampled service tolerates waits; the next round draws
    /// another sample.
    fn least_interference(
        &self,
        need: &PlacementNeed,
        random: &mut SplitMixRandom,
    ) -> Option<AgentId> {
        let sample = self.sample(need, random);
        if sample.is_empty() {
            let agent = self.worst_fit(need)?;
            let slot = self.slots.get(&agent)?;
            return need.is_tolerated_by(slot).then_some(agent);
        }
        sample
            .into_iter()
            .filter_map(|agent| Some((agent, self.slots.get(agent)?)))
            .filter(|(_, slot)| need.is_tolerated_by(slot))
            .min_by_key(|(_, slot)| (interference_cost(slot, need), slot.free.cores))
            .map(|(agent, _)| agent.clone())
    }

    /// Searches all workers, the one with the most free processors first.
    fn worst_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
        let first = need.resources().cores.as_millicores();
        self.open_by_cores
            .iter()
            .rev()
            .take_while(|(cores, _)| *cores >= first)
            .map(|(_, agent)| agent)
            .find(|agent| self.fits(agent, need))
            .cloned()
    }
}

/// Returns the cost of adding `need` to the service on a VM, without a unit.
///
/// It is the part of the interference budget that the slowdown uses, in
/// thousandths; while no budget is known, the slowdown times the number of
/// requests.
fn interference_cost(slot: &AgentSlot, need: &PlacementNeed) -> u64 {
    if slot.service.is_none() {
        return 0;
    }
    let slowdown = need.slowdown_on(slot);
    match slot.interference_budget_permille {
        Some(budget) => slowdown * 1000 / budget.max(1),
        None => slowdown * (u64::from(slot.outstanding) + 1),
    }
}
