//! Rows of the table service and the changes in a transaction.

use serde::{Deserialize, Serialize};

/// Version tag of a row, assigned by the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowTag(pub u64);

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version tag, which changes with every write to the row.
    pub tag: RowTag,
    /// Value of the row.
    #[serde(with = "crate::encoding")]
    pub value: Vec<u8>,
}

/// Precondition on a row; if it fails, the transaction changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowCondition {
    /// Always holds.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this tag.
    Matches(RowTag),
}

/// One entry of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum RowChange {
    /// Writes a value.
    Put {
        /// Key of the row.
        key: String,
        /// Precondition on the row.
        condition: RowCondition,
        /// New value of the row.
        #[serde(with = "crate::encoding")]
        value: Vec<u8>,
    },
    /// Checks a precondition without writing.
    Check {
        /// Key of the row.
        key: String,
        /// Precondition on the row.
        condition: RowCondition,
    },
    /// Deletes all rows from `first` to `last`, both inclusive.
    DeleteRange {
        /// First key to delete.
        first: String,
        /// Last key to delete.
        last: String,
    },
}

impl RowChange {
    /// Creates a [`RowChange::Put`] that writes `value` at `key` if `condition` holds.
    pub fn put(key: impl Into<String>, condition: RowCondition, value: Vec<u8>) -> Self {
        Self::Put {
            key: key.into(),
            condition,
            value,
        }
    }
}
