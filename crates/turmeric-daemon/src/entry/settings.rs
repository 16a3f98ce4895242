//! The settings tree in the table: reading it, changing it and sending values to agents.

use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use turmeric_schema::{Message, v1};
use turmeric_settings::{ChangeRefusal, SettingName, SettingsChange, SettingsPath, SettingsTree};
use turmeric_store::{RowChange, RowCondition, StoreError};
use turmeric_tasks::AgentView;
use turmeric_types::{AgentId, Incarnation, SettingsVersion};

use super::head::SETTINGS_HEAD_KEY;
use super::state::{EntryState, agent_path, scheduler_settings};
use crate::timeline::TimelineEvent;

/// Prefix of the keys of all changes.
const CHANGE_PREFIX: &str = "settings/change/";

/// Key of the row that points to the newest stored tree.
const TREE_KEY: &str = "settings/tree";

/// Number of changes between two stored trees.
const CHANGES_PER_TREE: u64 = 100;

/// Number of changes before the newest stored tree that stay in the table.
const KEPT_CHANGES: u64 = 2000;

/// Settings that are sent to agents.
const AGENT_SETTINGS: [SettingName; 4] = [
    SettingName::QueueLimit,
    SettingName::LatencyTarget,
    SettingName::BatchSpeed,
    SettingName::EvictionPolicy,
];

fn change_key(version: SettingsVersion) -> String {
    format!("{CHANGE_PREFIX}{:012}", version.get())
}

fn tree_object_name(version: SettingsVersion) -> String {
    format!("settings/tree/{:012}", version.get())
}

/// Settings of an agent, as this entry last computed them.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentValues {
    incarnation: Incarnation,
    values: Vec<v1::Setting>,
    /// Version of the tree from which the agent has had these values.
    since: SettingsVersion,
}

/// Reads the changes since the current tree and applies them.
///
/// Fails if the changes cannot be read or applied, or end before `version`.
pub(crate) async fn load(state: &Arc<EntryState>, version: SettingsVersion) -> Result<()> {
    let mut tree = SettingsTree::clone(&state.tree());
    if tree.version() == SettingsVersion::default() {
        tree = read_stored_tree(state).await?;
    }
    let after = change_key(tree.version());
    let rows = state
        .store
        .list_rows(CHANGE_PREFIX, &after)
        .await
        .wrap_err("reading settings changes")?;
    for row in rows {
        let change: SettingsChange =
            serde_json::from_slice(&row.value).wrap_err_with(|| format!("reading {}", row.key))?;
        tree = tree
            .with_change(&change)
            .map_err(|refusal| eyre!("settings change {} cannot be applied: {refusal}", row.key))?;
    }
    if tree.version() < version {
        return Err(eyre!("settings version {version} is not in the table"));
    }
    apply_tree(state, tree);
    Ok(())
}

async fn read_stored_tree(state: &EntryState) -> Result<SettingsTree> {
    let rows = state
        .store
        .list_rows(TREE_KEY, "")
        .await
        .wrap_err("reading the row of the stored settings tree")?;
    let Some(row) = rows.iter().find(|row| row.key == TREE_KEY) else {
        return Ok(SettingsTree::new());
    };
    let head = v1::SettingsHead::decode(row.value.as_slice())
        .wrap_err("reading the row of the stored settings tree")?;
    let name = tree_object_name(SettingsVersion::new(head.version));
    let bytes = state
        .store
        .get_object(&name)
        .await
        .wrap_err("reading the stored settings tree")?
        .ok_or_else(|| eyre!("object {name} is missing"))?;
    serde_json::from_slice(&bytes).wrap_err("reading the stored settings tree")
}

/// Applies a tree in this entry and offers its values to the agents.
///
/// Does nothing if the entry already has this version or a newer one.
fn apply_tree(state: &Arc<EntryState>, tree: SettingsTree) {
    let version = tree.version();
    let earlier = state.tree();
    if !state.set_tree(tree) {
        return;
    }
    let tree = state.tree();
    state.timeline.add(TimelineEvent::new(
        "settings",
        format!("settings version {version} is in force"),
    ));
    if !is_same_for_services(&earlier, &tree) {
        state
            .trials()
            .mark_disturbed("settings changed", state.clock.wall());
    }
    let now = state.clock.now();
    let mut scheduler = state.scheduler();
    scheduler.set_settings(scheduler_settings(&tree));
    for view in scheduler.agents(now) {
        let is_open = tree.is_in_service(&agent_path(&view));
        scheduler.set_agent_open(&view.agent, is_open);
        if let Some(update) = pending_values(state, &tree, &view) {
            scheduler.offer_settings(&view.agent, update);
        }
        let view = AgentView { is_open, ..view };
        state.routes().update(&view, now);
    }
    drop(scheduler);
    state.placing.notify_one();
}

/// Returns whether the trees differ in nothing but quotas of teams.
fn is_same_for_services(one: &SettingsTree, other: &SettingsTree) -> bool {
    let root = SettingsPath::root();
    let compared = |tree: &SettingsTree| -> Vec<_> {
        tree.entries(&root)
            .filter(|(_, name, _)| *name != SettingName::QuotaCores)
            .map(|(path, name, value)| (path.clone(), name, value.to_owned()))
            .collect()
    };
    compared(one) == compared(other)
}

/// Returns the values of an agent, if the agent has not confirmed them yet.
pub(crate) fn pending_values(
    state: &EntryState,
    tree: &SettingsTree,
    view: &AgentView,
) -> Option<v1::SettingsUpdate> {
    let path = agent_path(view);
    let values: Vec<v1::Setting> = AGENT_SETTINGS
        .iter()
        .map(|name| v1::Setting {
            name: name.to_string(),
            value: tree.effective(&path, *name).value,
        })
        .collect();
    let mut known = state
        .values
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let known = known.entry(view.agent.clone()).or_default();
    if known.incarnation != view.incarnation || known.values != values {
        *known = AgentValues {
            incarnation: view.incarnation,
            values: values.clone(),
            since: tree.version(),
        };
    }
    (view.settings_version < known.since).then(|| v1::SettingsUpdate {
        version: tree.version().get(),
        values,
    })
}

/// Returns the version in force at an agent.
///
/// An agent whose values have not changed since its own version counts as
/// having the newest one.
pub(crate) fn agent_version(
    state: &EntryState,
    tree: &SettingsTree,
    view: &AgentView,
) -> SettingsVersion {
    let known = state
        .values
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    match known.get(&view.agent) {
        Some(values)
            if values.incarnation == view.incarnation && view.settings_version >= values.since =>
        {
            tree.version()
        }
        _ => view.settings_version,
    }
}

/// Removes the values of agents that are not in `present`, which is sorted by agent.
pub(crate) fn retain_values(state: &EntryState, present: &[AgentView]) {
    state
        .values
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .retain(|agent: &AgentId, _| {
            present
                .binary_search_by(|view| view.agent.cmp(agent))
                .is_ok()
        });
}

/// Outcome of a settings change.
pub(crate) enum ChangeOutcome {
    /// It is durable and in force in this entry, as this version.
    Accepted(SettingsVersion),
    /// It is invalid or conflicts with a later change; nothing was changed.
    Refused(ChangeRefusal),
    /// It could not be written to the table; nothing was changed.
    Unavailable(StoreError),
    /// It may have been written; a retry with the same identifier tells.
    Unknown(StoreError),
}

/// Makes a change durable and puts it in force.
pub(crate) async fn change(state: &Arc<EntryState>, change: &SettingsChange) -> ChangeOutcome {
    // The tree of this entry may be outdated; the table is authoritative.
    let (newest, tag) = match read_head(state).await {
        Ok(head) => head,
        Err(error) => return ChangeOutcome::Unavailable(error),
    };
    if newest > state.tree().version()
        && let Err(report) = load(state, newest).await
    {
        return ChangeOutcome::Unavailable(StoreError::Unavailable {
            message: format!("{report:#}"),
        });
    }
    let tree = state.tree();
    if tree.version() != newest {
        return ChangeOutcome::Unavailable(StoreError::Unavailable {
            message: "another settings change is being made; try again".to_owned(),
        });
    }
    let next = match tree.with_change(change) {
        Ok(next) => next,
        Err(ChangeRefusal::AlreadyApplied(version)) => return ChangeOutcome::Accepted(version),
        Err(refusal) => return ChangeOutcome::Refused(refusal),
    };
    write_change(state, change, next, tag).await
}

async fn read_head(state: &EntryState) -> Result<(SettingsVersion, RowCondition), StoreError> {
    let rows = state.store.list_rows(SETTINGS_HEAD_KEY, "").await?;
    let Some(row) = rows.iter().find(|row| row.key == SETTINGS_HEAD_KEY) else {
        return Ok((SettingsVersion::default(), RowCondition::Absent));
    };
    let head =
        v1::SettingsHead::decode(row.value.as_slice()).map_err(|error| StoreError::Malformed {
            message: error.to_string(),
        })?;
    let version = SettingsVersion::new(head.version);
    Ok((version, RowCondition::Matches(row.tag)))
}

async fn write_change(
    state: &Arc<EntryState>,
    change: &SettingsChange,
    next: SettingsTree,
    condition: RowCondition,
) -> ChangeOutcome {
    let version = next.version();
    let head = v1::SettingsHead {
        version: version.get(),
    };
    let Ok(record) = serde_json::to_vec(change) else {
        return ChangeOutcome::Unavailable(StoreError::Malformed {
            message: "the settings change cannot be serialized".to_owned(),
        });
    };
    let changes = [
        RowChange::put(SETTINGS_HEAD_KEY, condition, head.encode_to_vec()),
        RowChange::put(change_key(version), RowCondition::Absent, record),
    ];
    match state.store.apply_changes(&changes).await {
        Ok(_) => {
            apply_tree(state, next);
            if version.get().is_multiple_of(CHANGES_PER_TREE) {
                tokio::spawn(store_tree(state.clone(), version));
            }
            ChangeOutcome::Accepted(version)
        }
        Err(StoreError::Conflict { .. }) => ChangeOutcome::Unavailable(StoreError::Unavailable {
            message: "another settings change was made first; check the settings and retry"
                .to_owned(),
        }),
        Err(error @ StoreError::Unknown { .. }) => ChangeOutcome::Unknown(error),
        Err(error) => ChangeOutcome::Unavailable(error),
    }
}

/// Stores the current tree, so that a starting entry has few changes to read.
async fn store_tree(state: Arc<EntryState>, version: SettingsVersion) {
    let tree = state.tree();
    let Ok(bytes) = serde_json::to_vec(&*tree) else {
        return;
    };
    let stored = tree.version();
    if state
        .store
        .put_object(&tree_object_name(stored), bytes)
        .await
        .is_err()
    {
        return;
    }
    let pointer = v1::SettingsHead {
        version: stored.get(),
    };
    let oldest = version.get().saturating_sub(KEPT_CHANGES);
    let changes = [
        RowChange::put(TREE_KEY, RowCondition::Any, pointer.encode_to_vec()),
        RowChange::DeleteRange {
            first: change_key(SettingsVersion::default()),
            last: change_key(SettingsVersion::new(oldest)),
        },
    ];
    if let Err(error) = state.store.apply_changes(&changes).await {
        spdlog::warn!("cannot point the settings row to the newly stored tree: {error}");
    }
}

/// Reads the changes that are kept in the table, oldest first.
pub(crate) async fn history(state: &EntryState) -> Result<Vec<SettingsChange>, StoreError> {
    let rows = state.store.list_rows(CHANGE_PREFIX, "").await?;
    rows.iter()
        .map(|row| {
            serde_json::from_slice(&row.value).map_err(|error| StoreError::Malformed {
                message: format!("{}: {error}", row.key),
            })
        })
        .collect()
}

/// Returns the settings path of a service in this entry's availability zone.
pub(crate) fn service_path(
    state: &EntryState,
    service: &turmeric_types::ServiceName,
) -> SettingsPath {
    SettingsPath::root()
        .child(&state.config.common.region)
        .child(state.config.common.zone.as_str())
        .child(service.as_str())
}
