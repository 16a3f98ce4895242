//! Changes of the settings tree.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use turmeric_types::{FindingList, SettingsVersion, WallTime};
use uuid::Uuid;

use crate::{SettingName, SettingsPath, ValueChange};

/// Identifier of a change; an operator who asks again sends the same one.
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

/// One value set or taken away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEdit {
    /// Place in the tree.
    pub path: SettingsPath,
    /// The setting.
    pub name: SettingName,
    /// The new value; [`None`] lets the place inherit again.
    pub value: Option<String>,
}

/// A change of one or more values, accepted or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Version that the operator looked at.
    pub base: SettingsVersion,
    /// Who makes the change.
    pub author: String,
    /// When the change was made.
    pub changed_at: WallTime,
    /// The values.
    pub edits: Vec<ChangeEdit>,
}

/// Why a change was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The change has mistakes.
    Invalid(FindingList),
    /// Others changed the same or related values since the base version.
    Raced(Vec<ValueChange>),
    /// The change is in force already, as this version.
    Applied(SettingsVersion),
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => findings.fmt(formatter),
            Self::Raced(changes) => {
                formatter.write_str("changed by others since the version you looked at:")?;
                for change in changes {
                    write!(formatter, "\n  {change}")?;
                }
                Ok(())
            }
            Self::Applied(version) => {
                write!(formatter, "the change is in force as version {version}")
            }
        }
    }
}
