//! Workers that a job avoids because its tasks failed or were evicted there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{AgentId, JobId, MonoTime};

/// Time for which a job avoids a worker on which a task of it failed or was
/// evicted.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(30);

/// Workers that a job avoids because its tasks failed or were evicted there.
///
/// Without it one faulty worker takes all attempts of a task, since it has free
/// capacity again at once while the healthy ones are full; and a task that was
/// evicted from a busy worker is placed there again.
#[derive(Debug, Default)]
pub(crate) struct AvoidanceTable {
    jobs: BTreeMap<JobId, BTreeMap<AgentId, MonoTime>>,
}

impl AvoidanceTable {
    /// Records that a task of the job failed or was evicted on a worker.
    pub(crate) fn record_return(&mut self, job: JobId, agent: &AgentId, now: MonoTime) {
        self.jobs
            .entry(job)
            .or_default()
            .insert(agent.clone(), now.after(AVOIDANCE_PERIOD));
    }

    /// Returns the workers that the job avoids.
    pub(crate) fn workers(&self, job: JobId) -> BTreeSet<AgentId> {
        self.jobs
            .get(&job)
            .into_iter()
            .flat_map(|agents| agents.keys().cloned())
            .collect()
    }

    /// Removes the entries that have expired at `now`.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) {
        for agents in self.jobs.values_mut() {
            agents.retain(|_, until| now < *until);
        }
        self.jobs.retain(|_, agents| !agents.is_empty());
    }
}
