//! Workers that a job avoids since its tasks failed or were evicted there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{AgentId, JobId, MonoTime};

/// Time for which a job avoids a worker on which a task of it failed or was
/// evicted.
const AVOIDANCE_TERM: Duration = Duration::from_secs(30);

/// Workers that a job avoids since its tasks failed or were evicted there.
///
/// Without it one bad worker with room takes all tries of a task, since it
/// has room again at once while the good ones are full; and a task that was
/// evicted from a busy worker comes back to it.
#[derive(Debug, Default)]
pub(crate) struct AvoidanceTable {
    jobs: BTreeMap<JobId, BTreeMap<AgentId, MonoTime>>,
}

impl AvoidanceTable {
    /// Records that a task of the job failed or was evicted on a worker.
    pub(crate) fn note_return(&mut self, job: JobId, agent: &AgentId, now: MonoTime) {
        self.jobs
            .entry(job)
            .or_default()
            .insert(agent.clone(), now.after(AVOIDANCE_TERM));
    }

    /// Returns the workers that the job avoids.
    pub(crate) fn workers(&self, job: JobId) -> BTreeSet<AgentId> {
        self.jobs
            .get(&job)
            .into_iter()
            .flat_map(|agents| agents.keys().cloned())
            .collect()
    }

    /// Forgets what is over at `now`.
    pub(crate) fn forget_ended(&mut self, now: MonoTime) {
        for agents in self.jobs.values_mut() {
            agents.retain(|_, until| now < *until);
        }
        self.jobs.retain(|_, agents| !agents.is_empty());
    }
}
