//! Rows with tags and transactions of conditional changes.

use std::collections::BTreeMap;

use turmeric_store::{RowChange, RowCondition, RowTag, TableRow};

/// The rows of the table service.
#[derive(Default)]
pub(crate) struct RowTable {
    rows: BTreeMap<String, (RowTag, Vec<u8>)>,
    last_tag: u64,
}

impl RowTable {
    /// Returns all rows whose key starts with `prefix` and comes after `after`.
    pub(crate) fn list(&self, prefix: &str, after: &str) -> Vec<TableRow> {
        let first = prefix.max(after).to_owned();
        self.rows
            .range(first..)
            .skip_while(|(key, _)| key.as_str() == after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (tag, value))| TableRow {
                key: key.clone(),
                tag: *tag,
                value: value.clone(),
            })
            .collect()
    }

    /// Applies all changes, or none and returns the key that stood against it.
    pub(crate) fn apply(&mut self, changes: Vec<RowChange>) -> Result<Vec<RowTag>, String> {
        for change in &changes {
            self.check(change)?;
        }
        let mut tags = Vec::new();
        for change in changes {
            match change {
                RowChange::Put { key, value, .. } => {
                    self.last_tag += 1;
                    let tag = RowTag(self.last_tag);
                    self.rows.insert(key, (tag, value));
                    tags.push(tag);
                }
                RowChange::Check { .. } => {}
                RowChange::DeleteRange { first, last } => {
                    self.rows.retain(|key, _| *key < first || *key > last);
                }
            }
        }
        Ok(tags)
    }

    fn check(&self, change: &RowChange) -> Result<(), String> {
        let (key, condition) = match change {
            RowChange::Put { key, condition, .. } | RowChange::Check { key, condition } => {
                (key, condition)
            }
            RowChange::DeleteRange { .. } => return Ok(()),
        };
        let tag = self.rows.get(key).map(|(tag, _)| *tag);
        let holds = match condition {
            RowCondition::Any => true,
            RowCondition::Absent => tag.is_none(),
            RowCondition::Matches(expected) => tag == Some(*expected),
        };
        if holds { Ok(()) } else { Err(key.clone()) }
    }
}
