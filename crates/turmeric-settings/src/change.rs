//! Changes to the settings tree, and the reasons why they are refused.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use turmeric_types::{FindingList, SettingsVersion, WallTime};
use uuid::Uuid;

use crate::{SettingName, SettingsPath, ValueChange};

/// Identifier of a change; a retry sends the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Creates an identifier from 128 bits.
    pub const fn new(bits: u128) -> Self {
        Self(Uuid::from_u128(bits))
    }
}

impl From<Uuid> for ChangeId {
    fn from(uuid: Uuid) -> Self {
        Self(uuid)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ChangeId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, uuid::Error> {
        text.parse().map(Self)
    }
}

/// One value that is set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEdit {
    /// Node of the tree.
    pub path: SettingsPath,
    /// The setting.
    pub name: SettingName,
    /// The new value; [`None`] removes the value, so that the node inherits again.
    pub value: Option<String>,
}

/// A change of one or more values, which is applied or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Version of the tree on which the operator based the change.
    pub base: SettingsVersion,
    /// Name of the operator who makes the change.
    pub author: String,
    /// Wall time of the change.
    pub changed_at: WallTime,
    /// The values to set or remove.
    pub edits: Vec<ChangeEdit>,
}

/// Reason why a change was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The change contains errors.
    Invalid(FindingList),
    /// Other operators changed the same values since the base version, at these
    /// nodes or at nodes above or below them.
    Conflict(Vec<ValueChange>),
    /// The change was already applied, as this version.
    AlreadyApplied(SettingsVersion),
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => findings.fmt(formatter),
            Self::Conflict(changes) => {
                formatter.write_str(
                    "other operators changed these values after the base version of the change:",
                )?;
                for change in changes {
                    write!(formatter, "\n  {change}")?;
                }
                Ok(())
            }
            Self::AlreadyApplied(version) => {
                write!(
                    formatter,
                    "the change was already applied as version {version}"
                )
            }
        }
    }
}
