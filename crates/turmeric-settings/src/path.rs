//! Paths of nodes in the settings tree.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use turmeric_types::ZoneName;

use crate::SettingLevel;

/// First component of the paths of teams.
const TEAM_ROOT: &str = "teams";

/// The path of a node in the settings tree.
///
/// `/` is the root; the levels below it are region, availability zone, service
/// and worker, for example `/morava/morava-a/verdikt/w1`. Teams have the paths
/// `/teams/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingsPath {
    parts: Vec<String>,
}

/// Reason why a text is not a valid path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathError {
    /// The text does not start with a slash.
    Relative,
    /// A component is not a valid name: it is empty, too long or contains a
    /// character that is not allowed in names.
    Part {
        /// The invalid component.
        part: String,
    },
    /// The path has more components than the tree has levels.
    Depth,
}

impl fmt::Display for PathError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Relative => formatter
                .write_str("a path must start with a slash; for example /morava/morava-a/verdikt"),
            Self::Part { part } => write!(
                formatter,
                "{part:?} is not a valid name; a name may contain letters, digits, '-', '_', '.' and ':'"
            ),
            Self::Depth => formatter
                .write_str("a path has at most a region, availability zone, service and worker"),
        }
    }
}

impl std::error::Error for PathError {}

impl SettingsPath {
    /// Returns the root of the tree.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of a team.
    pub fn team(team: &turmeric_types::TeamName) -> Self {
        Self {
            parts: vec![TEAM_ROOT.to_owned(), team.to_string()],
        }
    }

    /// Returns the path of the child node named `part`.
    pub fn child(&self, part: &str) -> Self {
        let mut parts = self.parts.clone();
        parts.push(part.to_owned());
        Self { parts }
    }

    /// Returns the path of the parent node; [`None`] for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, parts) = self.parts.split_last()?;
        Some(Self {
            parts: parts.to_vec(),
        })
    }

    /// Returns this path and all its ancestors, from this path up to the root.
    pub fn ancestry(&self) -> impl Iterator<Item = Self> + '_ {
        (0..=self.parts.len()).rev().map(|length| Self {
            parts: self.parts[..length].to_vec(),
        })
    }

    /// Returns whether this path is `other` or an ancestor of it.
    pub fn contains(&self, other: &Self) -> bool {
        other.parts.starts_with(&self.parts)
    }

    /// Returns the level of the node.
    pub fn level(&self) -> SettingLevel {
        if self.parts.first().is_some_and(|part| part == TEAM_ROOT) {
            return SettingLevel::Team;
        }
        match self.parts.len() {
            0 => SettingLevel::Root,
            1 => SettingLevel::Region,
            2 => SettingLevel::Zone,
            3 => SettingLevel::Service,
            _ => SettingLevel::Worker,
        }
    }
}

impl fmt::Display for SettingsPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "/{}", self.parts.join("/"))
    }
}

/// Returns whether `part` follows the rules for names of availability zones.
fn is_name(part: &str) -> bool {
    part.parse::<ZoneName>().is_ok()
}

impl FromStr for SettingsPath {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        let rest = text.strip_prefix('/').ok_or(PathError::Relative)?;
        if rest.is_empty() {
            return Ok(Self::root());
        }
        let parts: Vec<String> = rest.split('/').map(str::to_owned).collect();
        if let Some(part) = parts.iter().find(|part| !is_name(part)) {
            return Err(PathError::Part { part: part.clone() });
        }
        let limit = if parts[0] == TEAM_ROOT { 2 } else { 4 };
        if parts.len() > limit {
            return Err(PathError::Depth);
        }
        Ok(Self { parts })
    }
}

impl TryFrom<String> for SettingsPath {
    type Error = PathError;

    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<SettingsPath> for String {
    fn from(path: SettingsPath) -> Self {
        path.to_string()
    }
}
