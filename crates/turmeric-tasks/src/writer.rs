//! Group commit of a partition's transitions, with fencing against other owners.

use std::fmt;

use turmeric_schema::{Message, v1};
use turmeric_types::{OwnerEpoch, PartitionId};

use crate::{DecodeError, TaskTransition};

/// Maximum number of transitions in one append, so that its row stays small.
const APPEND_LIMIT: usize = 512;

/// An append that the caller sends to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendPlan {
    /// Index of the row in the partition's log.
    pub index: u64,
    /// Value of the row.
    pub record: Vec<u8>,
}

/// The outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The row was written.
    Written,
    /// The table refused the append without effect; it is sent again.
    NotWritten,
    /// No response arrived; the append is sent again, unchanged.
    Unknown,
    /// The row already exists, with this value.
    Occupied(Vec<u8>),
    /// Another entry owns the partition.
    Fenced,
}

/// Why a writer can no longer write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriterError {
    /// Another entry owns the partition.
    Fenced,
}

impl fmt::Display for WriterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("another entry owns the partition")
    }
}

impl std::error::Error for WriterError {}

#[derive(Debug)]
struct AppendInFlight {
    plan: AppendPlan,
    transitions: Vec<TaskTransition>,
}

/// The only writer of a partition's log, until it is fenced.
///
/// At most one append is in flight. Until its outcome is known, the same bytes
/// are sent to the same index again, so that an append whose response was lost
/// is recognised and never written twice.
#[derive(Debug)]
pub struct PartitionWriter {
    partition: PartitionId,
    epoch: OwnerEpoch,
    next_index: u64,
    pending: Vec<TaskTransition>,
    in_flight: Option<AppendInFlight>,
    is_fenced: bool,
}

impl PartitionWriter {
    /// Creates a writer that continues the log at `next_index`.
    pub fn new(partition: PartitionId, epoch: OwnerEpoch, next_index: u64) -> Self {
        Self {
            partition,
            epoch,
            next_index,
            pending: Vec::new(),
            in_flight: None,
            is_fenced: false,
        }
    }

    /// Returns the partition.
    pub fn partition(&self) -> PartitionId {
        self.partition
    }

    /// Returns the epoch in which this writer owns the partition.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns the index of the last append that is known to be written.
    pub fn last_index(&self) -> u64 {
        self.next_index - 1
    }

    /// Returns whether no transition is pending or in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Adds a transition to the next append.
    pub fn push(&mut self, transition: TaskTransition) {
        self.pending.push(transition);
    }

    /// Returns the append to send now, if there is anything to write.
    pub fn next_append(&mut self) -> Option<AppendPlan> {
        if self.is_fenced {
            return None;
        }
        if self.in_flight.is_none() && !self.pending.is_empty() {
            let count = self.pending.len().min(APPEND_LIMIT);
            let transitions: Vec<TaskTransition> = self.pending.drain(..count).collect();
            let record = v1::LogAppend {
                epoch: self.epoch.get(),
                transitions: transitions.iter().map(TaskTransition::to_record).collect(),
            };
            let plan = AppendPlan {
                index: self.next_index,
                record: record.encode_to_vec(),
            };
            self.in_flight = Some(AppendInFlight { plan, transitions });
        }
        self.in_flight.as_ref().map(|append| append.plan.clone())
    }

    /// Handles the outcome of `plan`; returns the transitions that are now
    /// durable.
    ///
    /// The outcome of an append that is not in flight is ignored: an earlier
    /// writer of this process sent it, before it lost the partition.
    ///
    /// # Errors
    ///
    /// [`WriterError::Fenced`] when another entry owns the partition; this
    /// writer sends no further appends then.
    pub fn handle_outcome(
        &mut self,
        plan: &AppendPlan,
        outcome: AppendOutcome,
    ) -> Result<Vec<TaskTransition>, WriterError> {
        let is_current = |append: &mut AppendInFlight| append.plan == *plan;
        let Some(append) = self.in_flight.take_if(is_current) else {
            return Ok(Vec::new());
        };
        let is_ours = match outcome {
            AppendOutcome::Written => true,
            AppendOutcome::Occupied(record) => record == append.plan.record,
            AppendOutcome::NotWritten | AppendOutcome::Unknown => {
                self.in_flight = Some(append);
                return Ok(Vec::new());
            }
            AppendOutcome::Fenced => false,
        };
        if !is_ours {
            self.is_fenced = true;
            return Err(WriterError::Fenced);
        }
        self.next_index += 1;
        Ok(append.transitions)
    }

    /// Decodes the transitions of an append from the log.
    ///
    /// # Errors
    ///
    /// See [`DecodeError`].
    pub fn read_append(record: &[u8]) -> Result<Vec<TaskTransition>, DecodeError> {
        let append = v1::LogAppend::decode(record).map_err(|error| DecodeError::Undecodable {
            message: error.to_string(),
        })?;
        append
            .transitions
            .iter()
            .map(TaskTransition::from_record)
            .collect()
    }
}
