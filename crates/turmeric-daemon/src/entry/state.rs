//! What all tasks of an entry share.

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
use super::trial::TrialRecorder;
use crate::clock::ProcessClock;
use crate::config::EntryConfig;
use crate::control::Responder;
use crate::http::{HttpClient, new_client};
use crate::lifecycle::SharedLifecycle;
use crate::metrics::ProcessMetrics;
use crate::timeline::Timeline;

/// Idle connections to each other process, for calls that are not requests.
const CALL_CONNECTIONS: usize = 8;

/// What all tasks of an entry share.
///
/// Lock order: `scheduler`, `values`, `routes`, `held`; each of the other
/// locks is taken alone and for a few steps.
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
    /// Client that opens a connection of its own for each call.
    pub(crate) fresh_calls: HttpClient,
    pub(crate) refuses_requests: AtomicBool,
    in_progress: AtomicUsize,
    scheduler: Mutex<TaskScheduler>,
    pub(super) values: Mutex<BTreeMap<AgentId, AgentValues>>,
    routes: Mutex<RouteDirectory>,
    held: Mutex<BTreeMap<AgentId, HeldResponder>>,
    settings: RwLock<Arc<SettingsTree>>,
    head: Mutex<HeadView>,
    owner_tags: Mutex<BTreeMap<PartitionId, RowTag>>,
    trials: Mutex<TrialRecorder>,
    /// Something may have to be placed.
    pub(crate) placing: Notify,
    /// Something of a partition has to be written.
    writing: BTreeMap<PartitionId, Notify>,
    /// Something was written.
    pub(crate) written: Notify,
}

/// A poll whose answer waits for news.
pub(crate) struct HeldResponder {
    pub(crate) responder: Responder,
    pub(crate) due_at: MonoTime,
}

/// Counts a request in progress.
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
            held: Mutex::default(),
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

    pub(crate) fn held(&self) -> MutexGuard<'_, BTreeMap<AgentId, HeldResponder>> {
        lock(&self.held)
    }

    pub(crate) fn head(&self) -> MutexGuard<'_, HeadView> {
        lock(&self.head)
    }

    pub(crate) fn owner_tags(&self) -> MutexGuard<'_, BTreeMap<PartitionId, RowTag>> {
        lock(&self.owner_tags)
    }

    pub(crate) fn trials(&self) -> MutexGuard<'_, TrialRecorder> {
        lock(&self.trials)
    }

    /// Returns the settings in force.
    pub(crate) fn tree(&self) -> Arc<SettingsTree> {
        self.settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts settings in force, unless newer ones are.
    ///
    /// Returns whether they are in force now because of this call.
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

    /// Returns what wakes the writer of a partition.
    pub(crate) fn writing(&self, partition: PartitionId) -> &Notify {
        &self.writing[&partition]
    }

    /// Wakes the writers of partitions with something to write.
    pub(crate) fn wake_writers(&self) {
        let unwritten = self.scheduler().take_unwritten();
        for partition in unwritten {
            self.writing(partition).notify_one();
        }
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    pub(crate) fn begin_request(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        ProgressGuard {
            state: self.clone(),
        }
    }
}

/// Returns the place of an agent in the settings tree.
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

/// Reads what the scheduler follows from the tree.
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
        harm_limit_permille: number(tree, SettingName::InterferenceLimit, 100) * 10,
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

/// Reads a number that holds for the whole installation.
fn number(tree: &SettingsTree, name: SettingName, default: u64) -> u64 {
    let value = tree.effective(&SettingsPath::root(), name).value;
    value.parse().unwrap_or(default)
}
