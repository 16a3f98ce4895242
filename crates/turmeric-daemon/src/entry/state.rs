//! State shared by all async tasks of an entry.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use eyre::Result;
use tokio::sync::Notify;
use turmeric_learning::SizingPolicy;
use turmeric_placement::PlacementPolicy;
use turmeric_settings::{SettingName, SettingsPath, SettingsTree};
use turmeric_store::{PlatformClient, RowTag};
use turmeric_tasks::{AgentView, SchedulerSettings, TaskScheduler};
use turmeric_types::{AgentId, Incarnation, MonoTime, PartitionId};

use super::head::HeadView;
use super::routes::RouteDirectory;
use super::settings::AgentValues;
use super::trial::ExperimentRecorder;
use crate::clock::ProcessClock;
use crate::config::EntryConfig;
use crate::control::Responder;
use crate::http::{HttpClient, new_client};
use crate::lifecycle::SharedLifecycle;
use crate::metrics::ProcessMetrics;
use crate::timeline::Timeline;

/// Maximum number of idle connections to each other process, for calls that are
/// not forwarded requests.
const CALL_CONNECTIONS: usize = 8;

/// State shared by all async tasks of an entry.
///
/// Lock order: `scheduler`, `values`, `routes`, `pending_polls`; each of the
/// other locks is taken alone and held only briefly.
pub(crate) struct EntryState {
    pub(crate) config: EntryConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) lifecycle: SharedLifecycle,
    pub(crate) store: PlatformClient,
    /// Client for calls to agents and other entries.
    pub(crate) calls: HttpClient,
    /// Client that opens a new connection for each call.
    pub(crate) fresh_calls: HttpClient,
    pub(crate) refuses_requests: AtomicBool,
    in_progress: AtomicUsize,
    scheduler: Mutex<TaskScheduler>,
    pub(super) values: Mutex<BTreeMap<AgentId, AgentValues>>,
    routes: Mutex<RouteDirectory>,
    pending_polls: Mutex<BTreeMap<AgentId, PendingPoll>>,
    settings: RwLock<Arc<SettingsTree>>,
    head: Mutex<HeadView>,
    owner_tags: Mutex<BTreeMap<PartitionId, RowTag>>,
    trials: Mutex<ExperimentRecorder>,
    /// Wakes the placement loop.
    pub(crate) placing: Notify,
    /// Wakes the writer of each partition.
    writing: BTreeMap<PartitionId, Notify>,
    /// Signals that transitions have been written.
    pub(crate) written: Notify,
}

/// A long poll of an agent that waits for its response.
pub(crate) struct PendingPoll {
    pub(crate) responder: Responder,
    /// When the response is sent at the latest.
    pub(crate) due_at: MonoTime,
}

/// Counts a request as in progress until dropped.
pub(crate) struct ProgressGuard {
    state: Arc<EntryState>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.state.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryState {
    pub(crate) fn new(config: EntryConfig, clock: ProcessClock) -> Result<Self> {
        let incarnation = clock.incarnation();
        let tree = SettingsTree::new();
        let scheduler = TaskScheduler::new(
            incarnation,
            config.common.terms,
            scheduler_settings(&tree),
            incarnation.get(),
        );
        Ok(Self {
            incarnation,
            clock,
            timeline: Timeline::new(config.id.to_string(), clock),
            metrics: ProcessMetrics::new(config.common.metrics)?,
            lifecycle: SharedLifecycle::new(),
            store: PlatformClient::new(config.platform),
            calls: new_client(CALL_CONNECTIONS),
            fresh_calls: new_client(0),
            refuses_requests: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            scheduler: Mutex::new(scheduler),
            values: Mutex::default(),
            routes: Mutex::new(RouteDirectory::new(
                config.common.zone.clone(),
                incarnation.get(),
            )),
            pending_polls: Mutex::default(),
            settings: RwLock::new(Arc::new(tree)),
            head: Mutex::default(),
            owner_tags: Mutex::default(),
            trials: Mutex::default(),
            placing: Notify::new(),
            writing: PartitionId::all()
                .map(|partition| (partition, Notify::new()))
                .collect(),
            written: Notify::new(),
            config,
        })
    }

    pub(crate) fn scheduler(&self) -> MutexGuard<'_, TaskScheduler> {
        lock(&self.scheduler)
    }

    pub(crate) fn routes(&self) -> MutexGuard<'_, RouteDirectory> {
        lock(&self.routes)
    }

    pub(crate) fn pending_polls(&self) -> MutexGuard<'_, BTreeMap<AgentId, PendingPoll>> {
        lock(&self.pending_polls)
    }

    pub(crate) fn head(&self) -> MutexGuard<'_, HeadView> {
        lock(&self.head)
    }

    pub(crate) fn owner_tags(&self) -> MutexGuard<'_, BTreeMap<PartitionId, RowTag>> {
        lock(&self.owner_tags)
    }

    pub(crate) fn trials(&self) -> MutexGuard<'_, ExperimentRecorder> {
        lock(&self.trials)
    }

    /// Returns the settings in force.
    pub(crate) fn tree(&self) -> Arc<SettingsTree> {
        self.settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies settings unless the current ones are as new or newer.
    ///
    /// Returns whether this call applied them.
    pub(crate) fn set_tree(&self, tree: SettingsTree) -> bool {
        let mut settings = self
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if tree.version() <= settings.version() {
            return false;
        }
        *settings = Arc::new(tree);
        true
    }

    /// Returns the notifier that wakes the writer of a partition.
    pub(crate) fn writing(&self, partition: PartitionId) -> &Notify {
        &self.writing[&partition]
    }

    /// Wakes the writers of partitions with unwritten transitions.
    pub(crate) fn wake_writers(&self) {
        let unwritten = self.scheduler().take_unwritten();
        for partition in unwritten {
            self.writing(partition).notify_one();
        }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        ProgressGuard {
            state: self.clone(),
        }
    }
}

/// Returns the path of an agent in the settings tree.
pub(crate) fn agent_path(view: &AgentView) -> SettingsPath {
    let service = view
        .endpoints
        .first()
        .map_or("none", |endpoint| endpoint.service.as_str());
    SettingsPath::root()
        .child(&view.region)
        .child(view.zone.as_str())
        .child(service)
        .child(&view.worker)
}

/// Reads the scheduler's settings from the settings tree.
pub(crate) fn scheduler_settings(tree: &SettingsTree) -> SchedulerSettings {
    let root = SettingsPath::root();
    let placement = tree.effective(&root, SettingName::PlacementPolicy).value;
    let mut quotas = BTreeMap::new();
    for (path, name, value) in tree.entries(&root) {
        if name != SettingName::QuotaCores {
            continue;
        }
        let team = path.to_string();
        let team = team
            .strip_prefix("/teams/")
            .and_then(|team| team.parse().ok());
        if let (Some(team), Ok(cores)) = (team, value.parse::<u64>()) {
            quotas.insert(team, cores.saturating_mul(1000));
        }
    }
    SchedulerSettings {
        placement: placement
            .parse()
            .unwrap_or(PlacementPolicy::LeastInterference),
        quotas,
        sizing: sizing_policy(tree),
        interference_limit_permille: number(tree, SettingName::InterferenceLimit, 100) * 10,
    }
}

fn sizing_policy(tree: &SettingsTree) -> SizingPolicy {
    let sizes = tree.effective(&SettingsPath::root(), SettingName::TaskSizes);
    if sizes.value == "declared" {
        return SizingPolicy::Declared;
    }
    SizingPolicy::Learned {
        margin_percent: number(tree, SettingName::SizeMargin, 15),
    }
}

/// Reads a number that is set for the whole installation.
fn number(tree: &SettingsTree, name: SettingName, default: u64) -> u64 {
    let value = tree.effective(&SettingsPath::root(), name).value;
    value.parse().unwrap_or(default)
}
