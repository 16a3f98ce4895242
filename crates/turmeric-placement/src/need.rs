//! What a task requires of the worker on which it is placed.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_learning::{InterferencePair, InterferenceRate, LoadLevel};
use turmeric_types::{AgentId, ResourceSet};

use crate::AgentSlot;

/// How much a task is expected to slow a service on the same VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NeedInterference {
    /// Learned rates, by service and load level.
    pub known: BTreeMap<InterferencePair, InterferenceRate>,
    /// The rate for every other service.
    pub assumed: InterferenceRate,
}

impl NeedInterference {
    /// Returns the rate for a service at a load level.
    ///
    /// Falls back to the rate at the other load level, then to the assumed
    /// rate.
    pub fn rate(&self, pair: &InterferencePair) -> InterferenceRate {
        let other = InterferencePair {
            service: pair.service.clone(),
            level: pair.level.other(),
        };
        let known = self.known.get(pair).or_else(|| self.known.get(&other));
        known.copied().unwrap_or(self.assumed)
    }
}

/// What a task requires of the worker on which it is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementNeed {
    resources: ResourceSet,
    avoided: BTreeSet<AgentId>,
    interference: NeedInterference,
    interference_limit_permille: u64,
}

impl PlacementNeed {
    /// Creates the need of a task that reserves `resources`, may run on any
    /// worker and slows no service.
    pub fn new(resources: ResourceSet) -> Self {
        Self {
            resources,
            avoided: BTreeSet::new(),
            interference: NeedInterference::default(),
            interference_limit_permille: u64::MAX,
        }
    }

    /// Sets the workers that must not be chosen.
    pub fn with_avoided(self, avoided: BTreeSet<AgentId>) -> Self {
        Self { avoided, ..self }
    }

    /// Sets how much the task is expected to slow services.
    pub fn with_interference(self, interference: NeedInterference) -> Self {
        Self {
            interference,
            ..self
        }
    }

    /// Sets the highest slowdown, in thousandths, that a service may suffer
    /// from this and all other tasks on its VM.
    pub fn with_interference_limit(self, interference_limit_permille: u64) -> Self {
        Self {
            interference_limit_permille,
            ..self
        }
    }

    /// Returns the resources that must be free on the worker.
    pub fn resources(&self) -> &ResourceSet {
        &self.resources
    }

    /// Returns whether the worker may be chosen.
    pub fn allows(&self, agent: &AgentId) -> bool {
        !self.avoided.contains(agent)
    }

    /// Returns whether every worker may be chosen.
    pub(crate) fn allows_all(&self) -> bool {
        self.avoided.is_empty()
    }

    /// Returns the interference with the service on a worker; zero without a
    /// service.
    pub fn interference_on(&self, slot: &AgentSlot) -> InterferenceRate {
        let Some(service) = &slot.service else {
            return InterferenceRate::default();
        };
        self.interference.rate(&InterferencePair {
            service: service.clone(),
            level: LoadLevel::new(slot.outstanding, slot.request_slots),
        })
    }

    /// Returns the expected slowdown, in thousandths, of the service on a
    /// worker from this task and all tasks already there.
    pub(crate) fn slowdown_on(&self, slot: &AgentSlot) -> u64 {
        let added = self
            .interference_on(slot)
            .slowdown_permille(slot.capacity.cores);
        slot.interference_permille + added
    }

    /// Returns whether the service on a worker tolerates this task in addition
    /// to the tasks already there.
    pub fn is_tolerated_by(&self, slot: &AgentSlot) -> bool {
        let budget = slot.interference_budget_permille.unwrap_or(u64::MAX);
        let limit = budget.min(self.interference_limit_permille);
        slot.service.is_none() || self.slowdown_on(slot) <= limit
    }
}
