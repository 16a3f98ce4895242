//! What a partition has learned of the kinds of its teams.

use std::collections::BTreeMap;

use turmeric_types::{JobKind, ResourceSet, TaskSpec, TeamName};

use crate::{
    InterferenceEstimate, InterferencePair, InterferenceRate, InterferenceSample, SizingPolicy,
    UsageHistory, UsageSample,
};

/// Kinds that one partition remembers.
const KIND_LIMIT: usize = 512;

/// Pairs of service and load that are remembered of one kind.
const PAIR_LIMIT: usize = 16;

/// A kind of job of one team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadKey {
    /// The team.
    pub team: TeamName,
    /// The kind, as the team names it.
    pub kind: JobKind,
}

impl WorkloadKey {
    /// Returns the key of a task, if its team named a kind.
    pub fn of_spec(spec: &TaskSpec) -> Option<Self> {
        let kind = spec.kind.clone()?;
        Some(Self {
            team: spec.team.clone(),
            kind,
        })
    }
}

/// What is known of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearnedWorkload {
    /// The newest peaks of use.
    pub usage: UsageHistory,
    /// Harm to services, by service and load.
    pub interference: BTreeMap<InterferencePair, InterferenceEstimate>,
    /// Number of the sample that came last, to forget old kinds.
    pub changed_at: u64,
}

/// What a partition has learned of the kinds of its teams.
///
/// It follows from the samples and their order alone, so that an entry which
/// reads the partition's log knows what the earlier owner knew.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearnedTable {
    workloads: BTreeMap<WorkloadKey, LearnedWorkload>,
    samples: u64,
}

impl LearnedTable {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all kinds in order.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkloadKey, &LearnedWorkload)> {
        self.workloads.iter()
    }

    /// Returns what is known of one kind.
    pub fn get(&self, key: &WorkloadKey) -> Option<&LearnedWorkload> {
        self.workloads.get(key)
    }

    /// Adds a kind as a snapshot has it.
    pub fn insert(&mut self, key: WorkloadKey, workload: LearnedWorkload) {
        self.samples = self.samples.max(workload.changed_at);
        self.workloads.insert(key, workload);
    }

    /// Takes in the peak of a task that was `allocated` resources.
    pub fn note_usage(&mut self, spec: &TaskSpec, allocated: &ResourceSet, peak: UsageSample) {
        let wanted = peak.wanted(allocated, &spec.resources);
        if let Some(workload) = self.touch(spec) {
            workload.usage.push(wanted);
        }
    }

    /// Takes in what was measured while a task ran.
    pub fn record_interference(&mut self, spec: &TaskSpec, sample: &InterferenceSample) {
        let Some(workload) = self.touch(spec) else {
            return;
        };
        let is_known = workload.interference.contains_key(&sample.pair);
        if is_known || workload.interference.len() < PAIR_LIMIT {
            let estimate = workload
                .interference
                .entry(sample.pair.clone())
                .or_default();
            estimate.push(sample.rate);
        }
    }

    /// Returns the kind of a task, made if need be, as the newest one.
    fn touch(&mut self, spec: &TaskSpec) -> Option<&mut LearnedWorkload> {
        let key = WorkloadKey::of_spec(spec)?;
        if !self.workloads.contains_key(&key) && self.workloads.len() == KIND_LIMIT {
            self.forget_oldest();
        }
        self.samples += 1;
        let workload = self.workloads.entry(key).or_default();
        workload.changed_at = self.samples;
        Some(workload)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .workloads
            .iter()
            .min_by_key(|(_, workload)| workload.changed_at)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.workloads.remove(&key);
        }
    }

    /// Returns what a task is given.
    pub fn size(&self, spec: &TaskSpec, policy: SizingPolicy, failed: bool) -> ResourceSet {
        let bound = WorkloadKey::of_spec(spec)
            .and_then(|key| self.workloads.get(&key))
            .and_then(|workload| workload.usage.bound());
        policy.size(&spec.resources, bound, failed)
    }

    /// Returns how much a task is expected to slow services of which there
    /// are samples, by service and load.
    pub fn interference(&self, spec: &TaskSpec) -> BTreeMap<InterferencePair, InterferenceRate> {
        let assumed = InterferenceRate::assumed(spec.resources.cores);
        let workload = WorkloadKey::of_spec(spec).and_then(|key| self.workloads.get(&key));
        workload
            .iter()
            .flat_map(|workload| &workload.interference)
            .map(|(pair, estimate)| (pair.clone(), estimate.rate(assumed)))
            .collect()
    }
}
