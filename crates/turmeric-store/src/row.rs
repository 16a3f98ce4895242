//! Rows of the table service and the changes that a transaction makes.

use serde::{Deserialize, Serialize};

/// The version tag of a row, as the service gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowTag(pub u64);

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version tag; each change gives a new one.
    pub tag: RowTag,
    /// Value of the row.
    #[serde(with = "crate::encoding")]
    pub value: Vec<u8>,
}

/// What must hold of a row before a transaction changes anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowCondition {
    /// Nothing is asked of the row.
    Any,
    /// There is no such row.
    Absent,
    /// The row has this tag.
    Matches(RowTag),
}

/// One part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum RowChange {
    /// Writes a value.
    Put {
        /// Key of the row.
        key: String,
        /// What must hold of the row.
        condition: RowCondition,
        /// The new value.
        #[serde(with = "crate::encoding")]
        value: Vec<u8>,
    },
    /// Only checks the row.
    Check {
        /// Key of the row.
        key: String,
        /// What must hold of the row.
        condition: RowCondition,
    },
    /// Deletes every row from `first` up to and with `last`.
    DeleteRange {
        /// First key to delete.
        first: String,
        /// Last key to delete.
        last: String,
    },
}

impl RowChange {
    /// Creates a write of `value` at `key` under `condition`.
    pub fn put(key: impl Into<String>, condition: RowCondition, value: Vec<u8>) -> Self {
        Self::Put {
            key: key.into(),
            condition,
            value,
        }
    }
}
