//! Partitions, which divide teams and their jobs among the entries.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{TeamName, stable_hash};

/// Number of partitions; it must not change in a running installation.
pub const PARTITION_COUNT: u16 = 12;

/// A partition of the jobs; one entry at a time writes its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId(u16);

impl PartitionId {
    /// Returns the partition with this number.
    ///
    /// Returns [`None`] if there is no such partition.
    pub const fn new(number: u16) -> Option<Self> {
        if number < PARTITION_COUNT {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Returns the partition that holds all jobs of `team`.
    ///
    /// A team belongs to exactly one partition, so that a single owner enforces its quota.
    pub fn of_team(team: &TeamName) -> Self {
        let hash = stable_hash(team.as_str().bytes());
        Self((hash % u64::from(PARTITION_COUNT)) as u16)
    }

    /// Returns all partitions in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }

    /// Returns the number of the partition.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:02}", self.0)
    }
}
