//! What a task asks of the worker that is chosen for it.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_learning::{InterferencePair, InterferenceRate, LoadLevel};
use turmeric_types::{AgentId, ResourceSet};

use crate::AgentSlot;

/// How much a task is expected to slow the services beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NeedInterference {
    /// Rates that are known, by service and load.
    pub known: BTreeMap<InterferencePair, InterferenceRate>,
    /// The rate beside every other service.
    pub assumed: InterferenceRate,
}

impl NeedInterference {
    /// Returns the rate beside a service.
    ///
    /// Without a rate at the same load the one at the other load counts.
    pub fn rate(&self, pair: &InterferencePair) -> InterferenceRate {
        let other = InterferencePair {
            service: pair.service.clone(),
            level: pair.level.other(),
        };
        let known = self.known.get(pair).or_else(|| self.known.get(&other));
        known.copied().unwrap_or(self.assumed)
    }
}

/// What a task asks of the worker that is chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementNeed {
    resources: ResourceSet,
    avoided: BTreeSet<AgentId>,
    interference: NeedInterference,
    harm_limit_permille: u64,
}

impl PlacementNeed {
    /// Creates the need of a task that takes `resources` on any worker and
    /// harms no service.
    pub fn new(resources: ResourceSet) -> Self {
        Self {
            resources,
            avoided: BTreeSet::new(),
            interference: NeedInterference::default(),
            harm_limit_permille: u64::MAX,
        }
    }

    /// Changes the workers that are not chosen.
    pub fn with_avoided(self, avoided: BTreeSet<AgentId>) -> Self {
        Self { avoided, ..self }
    }

    /// Changes how much the task is expected to slow services.
    pub fn with_harm(self, interference: NeedInterference) -> Self {
        Self {
            interference,
            ..self
        }
    }

    /// Changes the slowdown, in thousandths, up to which a service may be
    /// brought by this and all other tasks beside it.
    pub fn with_harm_limit(self, harm_limit_permille: u64) -> Self {
        Self {
            harm_limit_permille,
            ..self
        }
    }

    /// Returns the resources that the worker must have left.
    pub fn resources(&self) -> &ResourceSet {
        &self.resources
    }

    /// Returns whether the worker may be chosen at all.
    pub fn allows(&self, agent: &AgentId) -> bool {
        !self.avoided.contains(agent)
    }

    /// Returns whether every worker may be chosen.
    pub(crate) fn allows_all(&self) -> bool {
        self.avoided.is_empty()
    }

    /// Returns the harm to the service on a worker; none without a service.
    pub fn harm_on(&self, slot: &AgentSlot) -> InterferenceRate {
        let Some(service) = &slot.service else {
            return InterferenceRate::default();
        };
        self.interference.rate(&InterferencePair {
            service: service.clone(),
            level: LoadLevel::new(slot.outstanding, slot.request_slots),
        })
    }

    /// Returns the slowdown, in thousandths, of the service on a worker with
    /// this task and all others that are there.
    pub(crate) fn slowdown_on(&self, slot: &AgentSlot) -> u64 {
        let added = self.harm_on(slot).slowdown_permille(slot.capacity.cores);
        slot.interference_permille + added
    }

    /// Returns whether the service on a worker tolerates this task too.
    pub fn is_tolerated_by(&self, slot: &AgentSlot) -> bool {
        let budget = slot.interference_budget_permille.unwrap_or(u64::MAX);
        let limit = budget.min(self.harm_limit_permille);
        slot.service.is_none() || self.slowdown_on(slot) <= limit
    }
}
