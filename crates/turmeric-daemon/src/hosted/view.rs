//! Snapshots of the operators' table and of the leader's row, shared by the asynchronous tasks
//! of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use turmeric_jobs::{QueueDelay, QueuePolicy, WorkDelay};
use turmeric_platform::OperatorConfig;
use turmeric_schema::v1;
use turmeric_types::MonoTime;

/// The operators' settings as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorView {
    /// The configuration in force; [`None`] until one has been read.
    pub(crate) config: Option<Arc<OperatorConfig>>,
    /// Availability zones that are out of service.
    pub(crate) closed_zones: BTreeSet<String>,
}

impl OperatorView {
    /// Returns the queues by name.
    pub(crate) fn queues(&self) -> BTreeMap<String, QueuePolicy> {
        let routes = self.config.iter().flat_map(|config| &config.routes);
        routes
            .map(|route| (route.policy.route.clone(), route.policy.clone()))
            .collect()
    }
}

/// Load of one queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueView {
    /// Number of accepted jobs of which no task has started.
    pub(crate) waiting: u32,
    /// Expected delay of a job that arrives now.
    pub(crate) delay: QueueDelay,
}

/// The leader's row as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderView {
    /// Loads of the queues that have jobs.
    pub(crate) queues: BTreeMap<String, QueueView>,
    /// When the row was read.
    pub(crate) read_at: MonoTime,
    /// Address at which the leader serves callers' requests.
    pub(crate) callers_address: Option<SocketAddr>,
    /// Number of cancelled jobs in the store that have no row of their own.
    pub(crate) early_cancels: usize,
}

impl LeaderView {
    /// Creates the view of a row that was read at `read_at`.
    pub(crate) fn new(row: &v1::LeaderRow, read_at: MonoTime) -> Self {
        let queues = row
            .queues
            .iter()
            .map(|queue| {
                let view = QueueView {
                    waiting: queue.waiting,
                    delay: QueueDelay {
                        delay: Duration::from_millis(queue.delay_millis),
                        steps: queue.steps.iter().map(read_step).collect(),
                    },
                };
                (queue.route.clone(), view)
            })
            .collect();
        Self {
            queues,
            read_at,
            callers_address: row.callers_address.parse().ok(),
            early_cancels: row.early_cancels as usize,
        }
    }
}

fn read_step(step: &v1::WorkDelay) -> WorkDelay {
    WorkDelay {
        work: step.work,
        delay: Duration::from_millis(step.delay_millis),
    }
}
