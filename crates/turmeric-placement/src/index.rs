//! What an entry knows of the free resources of all workers.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_types::{AgentId, ResourceSet, ServiceName, SplitMixRandom, ZoneName};

use crate::{PlacementNeed, PlacementPolicy};

/// Workers looked at in one decision, so that its cost does not grow with
/// their number.
const PROBE_LIMIT: usize = 32;

/// What an entry knows of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSlot {
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Rack of the worker.
    pub rack: String,
    /// What the VM has.
    pub capacity: ResourceSet,
    /// What is left, less what this entry has assigned since.
    pub free: ResourceSet,
    /// What batch tasks hold there that may be evicted.
    pub evictable: ResourceSet,
    /// Service of the endpoint on the VM, if there is one.
    pub service: Option<ServiceName>,
    /// Requests that the endpoint works on at a time.
    pub request_slots: u32,
    /// Requests outstanding at the endpoint on the VM.
    pub outstanding: u32,
    /// Slowdown of the service that is expected of the tasks there, in
    /// thousandths.
    pub interference_permille: u64,
    /// Slowdown that the service can bear within its target, in thousandths;
    /// absent while not known.
    pub interference_budget_permille: Option<u64>,
    /// Whether the worker takes new tasks.
    pub is_open: bool,
}

/// The workers, ordered by their free processors.
#[derive(Debug, Default)]
pub struct PlacementIndex {
    slots: BTreeMap<AgentId, AgentSlot>,
    open_by_cores: BTreeSet<(u64, AgentId)>,
    open_names: Vec<AgentId>,
    /// The smallest need that found no worker since anything became free.
    unplaced: Option<ResourceSet>,
}

impl PlacementIndex {
    /// Creates an index without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of workers known.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns what is known of one worker.
    pub fn get(&self, agent: &AgentId) -> Option<&AgentSlot> {
        self.slots.get(agent)
    }

    /// Returns all workers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&AgentId, &AgentSlot)> {
        self.slots.iter()
    }

    /// Adds a worker or replaces what is known of it.
    pub fn insert(&mut self, agent: AgentId, slot: AgentSlot) {
        self.detach(&agent);
        if slot.is_open {
            self.open_by_cores
                .insert((slot.free.cores.as_millicores(), agent.clone()));
            if let Err(place) = self.open_names.binary_search(&agent) {
                self.open_names.insert(place, agent.clone());
            }
        }
        self.slots.insert(agent, slot);
        self.unplaced = None;
    }

    /// Changes what is left on a worker.
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

    /// Changes what may be evicted on a worker.
    pub fn set_evictable(&mut self, agent: &AgentId, evictable: ResourceSet) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.evictable = evictable;
        }
    }

    /// Changes the number of requests outstanding at a worker's endpoint.
    pub fn set_outstanding(&mut self, agent: &AgentId, outstanding: u32) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.outstanding = outstanding;
        }
    }

    /// Changes the slowdown that is expected of the tasks on a worker, in
    /// thousandths.
    pub fn set_harm(&mut self, agent: &AgentId, interference_permille: u64) {
        if let Some(slot) = self.slots.get_mut(agent) {
            slot.interference_permille = interference_permille;
        }
    }

    /// Changes the slowdown that the service on a worker can bear, in
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

    /// Forgets a worker.
    pub fn remove(&mut self, agent: &AgentId) {
        self.detach(agent);
        self.slots.remove(agent);
    }

    fn detach(&mut self, agent: &AgentId) {
        let Some(slot) = self.slots.get(agent) else {
            return;
        };
        let key = (slot.free.cores.as_millicores(), agent.clone());
        self.open_by_cores.remove(&key);
        if let Ok(place) = self.open_names.binary_search(agent) {
            self.open_names.remove(place);
        }
    }

    /// Returns whether no worker had `resources` left when that was last
    /// looked for, and nothing became free since.
    pub fn is_known_full(&self, resources: &ResourceSet) -> bool {
        self.unplaced
            .is_some_and(|unplaced| unplaced.fits_in(resources))
    }

    /// Chooses a worker on which `need` fits.
    ///
    /// Returns [`None`] when no open worker has enough left.
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
        if chosen.is_none() && need.allows_all() && !self.has_room(resources) {
            self.unplaced = Some(*resources);
        }
        chosen
    }

    /// Chooses a worker on which `need` fits after batch tasks are evicted.
    ///
    /// Of a sample it takes the worker with most processors left, so that few
    /// tasks are evicted; only if none fits it looks at all workers.
    pub fn choose_with_eviction(
        &self,
        need: &PlacementNeed,
        random: &mut SplitMixRandom,
    ) -> Option<AgentId> {
        let count = self.open_names.len();
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
        (0..PROBE_LIMIT)
            .map(|_| &self.open_names[random.next_below(count)])
            .filter(fits)
            .max_by_key(free_cores)
            .or_else(|| self.open_names.iter().find(fits))
            .cloned()
    }

    /// Returns whether an open worker could hold `need` if it were empty.
    pub fn has_capacity(&self, need: &PlacementNeed) -> bool {
        self.open_names
            .iter()
            .filter(|agent| need.allows(agent))
            .filter_map(|agent| self.slots.get(agent))
            .any(|slot| need.resources().fits_in(&slot.capacity))
    }

    /// Returns whether an open worker has `resources` left.
    fn has_room(&self, resources: &ResourceSet) -> bool {
        self.best_fit(&PlacementNeed::new(*resources)).is_some()
    }

    fn fits(&self, agent: &AgentId, need: &PlacementNeed) -> bool {
        self.slots
            .get(agent)
            .is_some_and(|slot| need.resources().fits_in(&slot.free) && need.allows(agent))
    }

    fn first_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
        self.open_names
            .iter()
            .find(|agent| self.fits(agent, need))
            .cloned()
    }

    fn best_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
        // The first name sorts before every other one of the same size.
        let first = need.resources().cores.as_millicores();
        let smallest = (first, self.open_names.first()?.clone());
        self.open_by_cores
            .range(smallest..)
            .map(|(_, agent)| agent)
            .find(|agent| self.fits(agent, need))
            .cloned()
    }

    fn sample(&self, need: &PlacementNeed, random: &mut SplitMixRandom) -> Vec<&AgentId> {
        if self.open_names.is_empty() {
            return Vec::new();
        }
        (0..PROBE_LIMIT)
            .map(|_| &self.open_names[random.next_below(self.open_names.len())])
            .filter(|agent| self.fits(agent, need))
            .collect()
    }

    fn random_fit(&self, need: &PlacementNeed, random: &mut SplitMixRandom) -> Option<AgentId> {
        let sample = self.sample(need, random);
        match sample.first() {
            Some(agent) => Some((*agent).clone()),
            None => self.emptiest_fit(need),
        }
    }

    /// Chooses the sampled worker whose service suffers least, and of equal
    /// ones the fullest.
    ///
    /// A task that all sampled services cannot bear waits; the next round
    /// draws another sample.
    fn least_interference(
        &self,
        need: &PlacementNeed,
        random: &mut SplitMixRandom,
    ) -> Option<AgentId> {
        let sample = self.sample(need, random);
        if sample.is_empty() {
            let emptiest = self.emptiest_fit(need)?;
            let slot = self.slots.get(&emptiest)?;
            return need.is_tolerated_by(slot).then_some(emptiest);
        }
        sample
            .into_iter()
            .filter_map(|agent| Some((agent, self.slots.get(agent)?)))
            .filter(|(_, slot)| need.is_tolerated_by(slot))
            .min_by_key(|(_, slot)| (harm_to_service(slot, need), slot.free.cores))
            .map(|(agent, _)| agent.clone())
    }

    /// Looks through all workers, the one with most processors left first.
    fn emptiest_fit(&self, need: &PlacementNeed) -> Option<AgentId> {
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

/// Harm to the service on a VM when `need` is added, without a unit.
///
/// It is the part of the budget that the slowdown takes, in thousandths;
/// while no budget is known, the slowdown times the number of requests.
fn harm_to_service(slot: &AgentSlot, need: &PlacementNeed) -> u64 {
    if slot.service.is_none() {
        return 0;
    }
    let slowdown = need.slowdown_on(slot);
    match slot.interference_budget_permille {
        Some(budget) => slowdown * 1000 / budget.max(1),
        None => slowdown * (u64::from(slot.outstanding) + 1),
    }
}
