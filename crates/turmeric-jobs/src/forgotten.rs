//! Jobs whose rows were deleted, of which older news may still arrive.

use std::collections::BTreeMap;

use crate::JobCode;

/// Jobs whose rows this leader has deleted, each with the version of the store at the deletion.
///
/// Load pattern: the store forgets its history, so that the whole table of accepted jobs is read
/// again, and jobs are deleted between that read and the moment when their rows are handled. A row
/// of a forgotten job looks like that of a new one.
#[derive(Clone, Debug, Default)]
pub struct ForgottenJobs {
    deleted_at: BTreeMap<JobCode, u64>,
}

impl ForgottenJobs {
    /// Creates the set of a leader that has deleted nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the rows of a job were deleted in the transaction of this version.
    pub fn record(&mut self, code: JobCode, version: u64) {
        self.deleted_at.insert(code, version);
    }

    /// Returns the version at which the rows of a job were deleted, if a row of this version was
    /// written before. A job that was accepted again since has rows of later versions.
    pub fn deleted_after(&self, code: JobCode, row_version: u64) -> Option<u64> {
        let deleted_at = self.deleted_at.get(&code).copied();
        deleted_at.filter(|deleted_at| row_version < *deleted_at)
    }

    /// Drops the deletions up to a version, once no row can arrive any more that was read before it.
    pub fn prune(&mut self, version: u64) {
        self.deleted_at
            .retain(|_, deleted_at| *deleted_at > version);
    }

    /// Returns the number of jobs that are remembered.
    pub fn len(&self) -> usize {
        self.deleted_at.len()
    }

    /// Returns whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.deleted_at.is_empty()
    }
}
