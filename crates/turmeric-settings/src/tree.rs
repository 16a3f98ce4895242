//! The settings tree and the values in force at each of its nodes.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};
use turmeric_types::{FindingList, SettingsVersion, WallTime};

use crate::{ChangeEdit, ChangeId, ChangeRefusal, SettingName, SettingsChange, SettingsPath};

/// Number of applied changes whose identifiers are kept, so that retries are safe.
const REMEMBERED_CHANGES: usize = 1000;

/// A value set at a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingEntry {
    /// The value; [`None`] if it was removed.
    pub value: Option<String>,
    /// The version of the tree that set or removed the value.
    pub version: SettingsVersion,
    /// Name of the operator who set or removed the value.
    pub author: String,
    /// Wall time of the change.
    pub changed_at: WallTime,
}

/// The value of a setting in force at a node, and the node that sets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveSetting {
    /// The setting.
    pub name: SettingName,
    /// The value in force.
    pub value: String,
    /// The node that sets the value; [`None`] for the default.
    pub source: Option<SettingsPath>,
    /// The entry at that node; [`None`] for the default.
    pub entry: Option<SettingEntry>,
}

/// A value of one node that a change set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueChange {
    /// Node of the tree.
    pub path: SettingsPath,
    /// The setting.
    pub name: SettingName,
    /// The current value; [`None`] if the node inherits.
    pub value: Option<String>,
    /// Name of the operator who set or removed the value.
    pub author: String,
    /// The version of the tree that set or removed the value.
    pub version: SettingsVersion,
}

impl fmt::Display for ValueChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.value.as_deref().unwrap_or("(inherited)");
        write!(
            formatter,
            "{} {} = {value} (version {}, by {})",
            self.path, self.name, self.version, self.author
        )
    }
}

/// All values that operators have set, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    version: SettingsVersion,
    nodes: BTreeMap<SettingsPath, BTreeMap<SettingName, SettingEntry>>,
    applied: VecDeque<(ChangeId, SettingsVersion)>,
}

impl SettingsTree {
    /// Creates the tree in which every value is the default.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the tree.
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Returns the value in force at `path` and the node that sets it.
    pub fn effective(&self, path: &SettingsPath, name: SettingName) -> EffectiveSetting {
        for node_path in path.ancestry() {
            let entry = self.nodes.get(&node_path).and_then(|node| node.get(&name));
            let Some(entry) = entry else { continue };
            if let Some(value) = &entry.value {
                return EffectiveSetting {
                    name,
                    value: value.clone(),
                    source: Some(node_path),
                    entry: Some(entry.clone()),
                };
            }
        }
        EffectiveSetting {
            name,
            value: name.spec().default.to_owned(),
            source: None,
            entry: None,
        }
    }

    /// Returns the value in force at `path`, parsed as `T`.
    ///
    /// Returns the default of `T` if the value cannot be parsed; the checks of
    /// changes prevent such values.
    pub fn value<T: std::str::FromStr + Default>(
        &self,
        path: &SettingsPath,
        name: SettingName,
    ) -> T {
        self.effective(path, name).value.parse().unwrap_or_default()
    }

    /// Returns whether `path` and all its ancestors are in service.
    ///
    /// Unlike other settings, this one cannot be overridden: a node below one that
    /// is out of service is out of service too.
    pub fn is_in_service(&self, path: &SettingsPath) -> bool {
        path.ancestry()
            .all(|node_path| self.value::<bool>(&node_path, SettingName::InService))
    }

    /// Returns the values set at `path` and below it, in the order of paths.
    pub fn entries<'a>(
        &'a self,
        path: &'a SettingsPath,
    ) -> impl Iterator<Item = (&'a SettingsPath, SettingName, &'a str)> + 'a {
        self.nodes
            .iter()
            .filter(move |(node_path, _)| path.contains(node_path))
            .flat_map(|(node_path, node)| {
                node.iter().filter_map(move |(name, entry)| {
                    Some((node_path, *name, entry.value.as_deref()?))
                })
            })
    }

    /// Returns the version that applied the change; [`None`] if it is not known.
    pub fn applied_version(&self, id: ChangeId) -> Option<SettingsVersion> {
        self.applied
            .iter()
            .find(|(applied, _)| *applied == id)
            .map(|(_, version)| *version)
    }

    /// Returns the next version of the tree, with `change` applied.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change is refused.
    pub fn with_change(&self, change: &SettingsChange) -> Result<Self, ChangeRefusal> {
        if let Some(version) = self.applied_version(change.id) {
            return Err(ChangeRefusal::AlreadyApplied(version));
        }
        let findings = check_edits(change, self.version);
        if !findings.is_empty() {
            return Err(ChangeRefusal::Invalid(findings));
        }
        let conflicts = self.conflicts_with(change);
        if !conflicts.is_empty() {
            return Err(ChangeRefusal::Conflict(conflicts));
        }
        let mut tree = self.clone();
        tree.version = self.version.next();
        for edit in &change.edits {
            tree.apply_edit(edit, change);
        }
        tree.applied.push_back((change.id, tree.version));
        if tree.applied.len() > REMEMBERED_CHANGES {
            tree.applied.pop_front();
        }
        Ok(tree)
    }

    fn apply_edit(&mut self, edit: &ChangeEdit, change: &SettingsChange) {
        let entry = SettingEntry {
            value: edit.value.clone(),
            version: self.version,
            author: change.author.clone(),
            changed_at: change.changed_at,
        };
        self.nodes
            .entry(edit.path.clone())
            .or_default()
            .insert(edit.name, entry);
    }

    /// Returns the values newer than the base of the change that conflict with it:
    /// those of the same settings at the same nodes, their ancestors or descendants.
    fn conflicts_with(&self, change: &SettingsChange) -> Vec<ValueChange> {
        let is_related = |path: &SettingsPath, name: SettingName| {
            change.edits.iter().any(|edit| {
                edit.name == name && (edit.path.contains(path) || path.contains(&edit.path))
            })
        };
        let mut changes = Vec::new();
        for (path, node) in &self.nodes {
            for (name, entry) in node {
                if entry.version > change.base && is_related(path, *name) {
                    changes.push(ValueChange {
                        path: path.clone(),
                        name: *name,
                        value: entry.value.clone(),
                        author: entry.author.clone(),
                        version: entry.version,
                    });
                }
            }
        }
        changes
    }
}

fn check_edits(change: &SettingsChange, version: SettingsVersion) -> FindingList {
    let mut findings = FindingList::new();
    if change.edits.is_empty() {
        findings.push("edits", "a change must contain at least one edit");
    }
    if change.author.is_empty() {
        findings.push(
            "author",
            "the author is empty; expected the name of the operator",
        );
    }
    if change.base > version {
        findings.push(
            "base",
            format!(
                "version {} does not exist; the newest is {version}",
                change.base
            ),
        );
    }
    for (index, edit) in change.edits.iter().enumerate() {
        let is_repeated = change.edits[..index]
            .iter()
            .any(|other| other.path == edit.path && other.name == edit.name);
        let source = format!("{} {}", edit.path, edit.name);
        if is_repeated {
            findings.push(source.clone(), "the change sets this value twice");
        }
        let spec = edit.name.spec();
        findings.collect(source.clone(), spec.check_level(edit.path.level()));
        if let Some(value) = &edit.value {
            findings.collect(source, spec.check_value(value));
        }
    }
    findings
}
