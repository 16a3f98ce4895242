//! What a partition has learned about the job kinds of its teams.

use std::collections::BTreeMap;

use turmeric_types::{JobKind, ResourceSet, TaskSpec, TeamName};

use crate::{
    InterferenceEstimate, InterferencePair, InterferenceRate, InterferenceSample, SizingPolicy,
    UsageHistory, UsageSample,
};

/// Kinds that one partition remembers.
const KIND_LIMIT: usize = 512;

/// Pairs of service and load level that are remembered of one kind.
const PAIR_LIMIT: usize = 16;

/// A job kind of one team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadKey {
    /// The team.
    pub team: TeamName,
    /// The name that the team gave the kind.
    pub kind: JobKind,
}

impl WorkloadKey {
    /// Returns the key of a task, if it has a kind.
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
    /// The latest peaks of resource usage.
    pub usage: UsageHistory,
    /// Interference, by service and load level.
    pub interference: BTreeMap<InterferencePair, InterferenceEstimate>,
    /// Number of its last sample; the kind with the lowest one is removed first.
    pub changed_at: u64,
}

/// What a partition has learned about the job kinds of its teams.
///
/// The table depends only on the samples and their order, so that an entry that
/// reads the log of the partition has the same table as the earlier owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearnedTable {
    workloads: BTreeMap<WorkloadKey, LearnedWorkload>,
    samples: u64,
}

impl LearnedTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all kinds, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkloadKey, &LearnedWorkload)> {
        self.workloads.iter()
    }

    /// Returns what is known of one kind.
    pub fn get(&self, key: &WorkloadKey) -> Option<&LearnedWorkload> {
        self.workloads.get(key)
    }

    /// Adds a kind from a snapshot.
    pub fn insert(&mut self, key: WorkloadKey, workload: LearnedWorkload) {
        self.samples = self.samples.max(workload.changed_at);
        self.workloads.insert(key, workload);
    }

    /// Records the peak usage of a task that ran with the `allocated` resources.
    pub fn record_usage(&mut self, spec: &TaskSpec, allocated: &ResourceSet, peak: UsageSample) {
        let demand = peak.demand(allocated, &spec.resources);
        if let Some(workload) = self.touch(spec) {
            workload.usage.push(demand);
        }
    }

    /// Records a sample that was measured while a task ran.
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

    /// Returns the kind of a task and marks it as the latest changed one.
    ///
    /// Adds the kind if it is unknown. Returns [`None`] if the task has no kind.
    fn touch(&mut self, spec: &TaskSpec) -> Option<&mut LearnedWorkload> {
        let key = WorkloadKey::of_spec(spec)?;
        if !self.workloads.contains_key(&key) && self.workloads.len() == KIND_LIMIT {
            self.remove_oldest();
        }
        self.samples += 1;
        let workload = self.workloads.entry(key).or_default();
        workload.changed_at = self.samples;
        Some(workload)
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .workloads
            .iter()
            .min_by_key(|(_, workload)| workload.changed_at)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.workloads.remove(&key);
        }
    }

    /// Returns the allocation of a task.
    pub fn size(&self, spec: &TaskSpec, policy: SizingPolicy, failed: bool) -> ResourceSet {
        let bound = WorkloadKey::of_spec(spec)
            .and_then(|key| self.workloads.get(&key))
            .and_then(|workload| workload.usage.bound());
        policy.size(&spec.resources, bound, failed)
    }

    /// Returns the expected interference of a task with the services for which
    /// there are samples, by service and load level.
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
