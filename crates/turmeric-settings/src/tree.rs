//! The settings tree and what it gives at each place.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};
use turmeric_types::{FindingList, SettingsVersion, WallTime};

use crate::{ChangeEdit, ChangeId, ChangeRefusal, SettingName, SettingsChange, SettingsPath};

/// Changes whose identifiers are remembered, so that asking again is safe.
const REMEMBERED_CHANGES: usize = 1000;

/// A value set at a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingEntry {
    /// The value; [`None`] where it was taken away.
    pub value: Option<String>,
    /// The version that set it.
    pub version: SettingsVersion,
    /// Who set it.
    pub author: String,
    /// When it was set.
    pub changed_at: WallTime,
}

/// A value and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveSetting {
    /// The setting.
    pub name: SettingName,
    /// The value in force.
    pub value: String,
    /// The place that sets it; [`None`] for the default.
    pub source: Option<SettingsPath>,
    /// The entry at that place.
    pub entry: Option<SettingEntry>,
}

/// What a change makes different, or what others made different.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueChange {
    /// Place in the tree.
    pub path: SettingsPath,
    /// The setting.
    pub name: SettingName,
    /// Value now; [`None`] where the place inherits.
    pub value: Option<String>,
    /// Who set it.
    pub author: String,
    /// The version that set it.
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

    /// Returns the value in force at `path` and where it comes from.
    pub fn effective(&self, path: &SettingsPath, name: SettingName) -> EffectiveSetting {
        for place in path.ancestry() {
            let entry = self.nodes.get(&place).and_then(|node| node.get(&name));
            let Some(entry) = entry else { continue };
            if let Some(value) = &entry.value {
                return EffectiveSetting {
                    name,
                    value: value.clone(),
                    source: Some(place),
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

    /// Returns the value in force at `path`, read as `T`.
    ///
    /// Falls back to the default of `T` when the value cannot be read, which
    /// the checks on changes prevent.
    pub fn value<T: std::str::FromStr + Default>(
        &self,
        path: &SettingsPath,
        name: SettingName,
    ) -> T {
        self.effective(path, name).value.parse().unwrap_or_default()
    }

    /// Returns whether `path` and every place above it take new work.
    ///
    /// Unlike other settings, a place cannot be in service below one that is
    /// out of it.
    pub fn is_in_service(&self, path: &SettingsPath) -> bool {
        path.ancestry()
            .all(|place| self.value::<bool>(&place, SettingName::InService))
    }

    /// Returns every value set below `path`, in order.
    pub fn entries<'a>(
        &'a self,
        path: &'a SettingsPath,
    ) -> impl Iterator<Item = (&'a SettingsPath, SettingName, &'a str)> + 'a {
        self.nodes
            .iter()
            .filter(move |(place, _)| path.contains(place))
            .flat_map(|(place, node)| {
                node.iter()
                    .filter_map(move |(name, entry)| Some((place, *name, entry.value.as_deref()?)))
            })
    }

    /// Returns the version of a change that was applied.
    pub fn applied_version(&self, id: ChangeId) -> Option<SettingsVersion> {
        self.applied
            .iter()
            .find(|(applied, _)| *applied == id)
            .map(|(_, version)| *version)
    }

    /// Returns the tree with `change` applied, as the next version.
    ///
    /// # Errors
    ///
    /// See [`ChangeRefusal`]; nothing is changed then.
    pub fn with_change(&self, change: &SettingsChange) -> Result<Self, ChangeRefusal> {
        if let Some(version) = self.applied_version(change.id) {
            return Err(ChangeRefusal::Applied(version));
        }
        let findings = check_edits(change, self.version);
        if !findings.is_empty() {
            return Err(ChangeRefusal::Invalid(findings));
        }
        let raced = self.changes_since(change);
        if !raced.is_empty() {
            return Err(ChangeRefusal::Raced(raced));
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

    /// Returns values related to the change that are newer than its base.
    fn changes_since(&self, change: &SettingsChange) -> Vec<ValueChange> {
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
        findings.push("edits", "a change holds at least one value");
    }
    if change.author.is_empty() {
        findings.push("author", "no value; the name of the operator");
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
    for (place, edit) in change.edits.iter().enumerate() {
        let is_repeated = change.edits[..place]
            .iter()
            .any(|other| other.path == edit.path && other.name == edit.name);
        let at = format!("{} {}", edit.path, edit.name);
        if is_repeated {
            findings.push(at.clone(), "the value stands twice in the change");
        }
        let spec = edit.name.spec();
        findings.collect(at.clone(), spec.check_level(edit.path.level()));
        if let Some(value) = &edit.value {
            findings.collect(at, spec.check_value(value));
        }
    }
    findings
}
