//! The log of one partition: recovery, group commit and snapshots.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use spdlog::{error, warn};
use turmeric_schema::{Message, v1};
use turmeric_store::{RowChange, RowCondition, StoreError};
use turmeric_tasks::{
    AppendOutcome, AppendPlan, PartitionWriter, TaskChange, TaskLedger, TaskTransition,
};
use turmeric_types::{MonoTime, OwnerEpoch, PartitionId};

use super::control_loop;
use super::head::owner_key;
use super::state::EntryState;
use crate::timeline::TimelineEvent;

/// Minimum time between two appends; transitions in between are batched.
const APPEND_INTERVAL: Duration = Duration::from_millis(150);

/// Delay after an append that was not written.
const FAILURE_DELAY: Duration = Duration::from_millis(300);

/// Longest wait before the loop checks again that this entry owns the partition.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of appends between two snapshots.
const SNAPSHOT_APPENDS: u64 = 64;

fn log_prefix(partition: PartitionId) -> String {
    format!("log/{partition}/")
}

fn log_key(partition: PartitionId, index: u64) -> String {
    format!("log/{partition}/{index:012}")
}

fn snapshot_key(partition: PartitionId) -> String {
    format!("snapshot/{partition}")
}

fn snapshot_name(partition: PartitionId, index: u64) -> String {
    format!("snapshot/{partition}/{index:012}")
}

/// A partition recovered from its snapshot and log.
pub(crate) struct RecoveredPartition {
    pub(crate) ledger: TaskLedger,
    /// Index of the last append in the log.
    pub(crate) last_index: u64,
    /// Index of the last append in the snapshot; 0 if there is no snapshot.
    pub(crate) snapshot_index: u64,
}

/// Recovers a partition from its newest snapshot and the log after it.
pub(crate) async fn read_log(
    state: &EntryState,
    partition: PartitionId,
) -> Result<RecoveredPartition> {
    let snapshot_index = read_pointer(state, partition).await?;
    let mut ledger = match snapshot_index {
        0 => TaskLedger::new(),
        index => read_snapshot(state, partition, index).await?,
    };
    let after = log_key(partition, snapshot_index);
    let rows = state
        .store
        .list_rows(&log_prefix(partition), &after)
        .await
        .wrap_err("reading the log")?;
    let mut last_index = snapshot_index;
    for row in rows {
        let expected = log_key(partition, last_index + 1);
        if row.key != expected {
            return Err(eyre!(
                "the log of a partition has row {} where {expected} is expected",
                row.key
            ));
        }
        last_index += 1;
        for transition in PartitionWriter::read_append(&row.value).wrap_err("reading the log")? {
            apply_logged(&mut ledger, &transition);
        }
    }
    Ok(RecoveredPartition {
        ledger,
        last_index,
        snapshot_index,
    })
}

/// Applies a logged transition as its writer did: an error is logged, not returned.
fn apply_logged(ledger: &mut TaskLedger, transition: &TaskTransition) {
    if let Err(error) = ledger.apply(transition) {
        error!("the ledger refused a logged transition: {error}");
    }
}

/// Returns the index of the newest snapshot, or 0 if there is none.
async fn read_pointer(state: &EntryState, partition: PartitionId) -> Result<u64> {
    let key = snapshot_key(partition);
    let rows = state
        .store
        .list_rows(&key, "")
        .await
        .wrap_err("reading the snapshot row")?;
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(0);
    };
    let pointer =
        v1::SnapshotPointer::decode(row.value.as_slice()).wrap_err("reading the snapshot row")?;
    Ok(pointer.index)
}

async fn read_snapshot(
    state: &EntryState,
    partition: PartitionId,
    index: u64,
) -> Result<TaskLedger> {
    let name = snapshot_name(partition, index);
    let bytes = state
        .store
        .get_object(&name)
        .await
        .wrap_err("reading a snapshot")?
        .ok_or_else(|| eyre!("snapshot {name} is missing"))?;
    TaskLedger::from_snapshot(&bytes).wrap_err("reading a snapshot")
}

/// Writes the log of a partition for as long as this entry owns it.
pub(crate) async fn run(
    state: Arc<EntryState>,
    partition: PartitionId,
    epoch: OwnerEpoch,
    mut snapshot_index: u64,
) {
    let mut next_append_at = MonoTime::default();
    while is_owned(&state, partition, epoch) {
        let now = state.clock.now();
        if now < next_append_at {
            tokio::time::sleep(next_append_at.since(now)).await;
        }
        let plan = state.scheduler().next_append(partition);
        let Some(plan) = plan else {
            let writing = state.writing(partition).notified();
            let _ = tokio::time::timeout(IDLE_TIMEOUT, writing).await;
            continue;
        };
        next_append_at = state.clock.now().after(APPEND_INTERVAL);
        let outcome = append(&state, partition, &plan).await;
        let is_written = outcome == AppendOutcome::Written;
        record_append(&state, partition, &plan, outcome);
        if !is_written {
            tokio::time::sleep(FAILURE_DELAY).await;
        }
        if plan.index >= snapshot_index + SNAPSHOT_APPENDS {
            match write_snapshot(&state, partition, snapshot_index).await {
                Ok(index) => snapshot_index = index,
                Err(error) => warn!("writing a snapshot of the partition failed: {error:#}", kv: {
                    partition = partition.to_string(),
                }),
            }
        }
    }
}

fn is_owned(state: &EntryState, partition: PartitionId, epoch: OwnerEpoch) -> bool {
    state
        .scheduler()
        .owned_partitions()
        .any(|owned| owned == (partition, epoch))
}

/// Writes an append, on condition that this entry still owns the partition.
async fn append(state: &EntryState, partition: PartitionId, plan: &AppendPlan) -> AppendOutcome {
    let Some(tag) = state.owner_tags().get(&partition).copied() else {
        return AppendOutcome::Fenced;
    };
    let key = log_key(partition, plan.index);
    let changes = [
        RowChange::Check {
            key: owner_key(partition),
            condition: RowCondition::Matches(tag),
        },
        RowChange::put(&key, RowCondition::Absent, plan.record.clone()),
    ];
    let result = state.store.apply_changes(&changes).await;
    state.metrics.count("log.append");
    match result {
        Ok(_) => AppendOutcome::Written,
        Err(StoreError::Conflict { key: failed }) if failed == key => {
            read_conflicting_row(state, &key).await
        }
        Err(StoreError::Conflict { .. }) => AppendOutcome::Fenced,
        Err(StoreError::Throttled | StoreError::Unavailable { .. }) => AppendOutcome::NotWritten,
        Err(StoreError::Unknown { .. } | StoreError::Malformed { .. }) => AppendOutcome::Unknown,
    }
}

/// Reads the row that already exists at the key of an append.
async fn read_conflicting_row(state: &EntryState, key: &str) -> AppendOutcome {
    match state.store.list_rows(key, "").await {
        Ok(rows) => match rows.into_iter().find(|row| row.key == key) {
            Some(row) => AppendOutcome::Occupied(row.value),
            // A later owner has deleted the row after a snapshot.
            None => AppendOutcome::Fenced,
        },
        Err(_) => AppendOutcome::Unknown,
    }
}

/// Reports the outcome of an append to the scheduler and records what it made durable.
fn record_append(
    state: &Arc<EntryState>,
    partition: PartitionId,
    plan: &AppendPlan,
    outcome: AppendOutcome,
) {
    let settled = state
        .scheduler()
        .handle_append_outcome(partition, plan, outcome);
    match settled {
        Ok((transitions, errors)) => {
            for error in errors {
                error!("the ledger refused a written transition: {error}");
            }
            for transition in &transitions {
                record_transition(state, transition);
            }
            if !transitions.is_empty() {
                state.written.notify_waiters();
                state.placing.notify_one();
                state.wake_writers();
                control_loop::flush(state);
            }
        }
        Err(error) => {
            let text = format!("partition {partition}: {error}");
            state.timeline.add(TimelineEvent::new("fenced", text));
        }
    }
}

/// Adds a transition to the metrics and the timeline.
fn record_transition(state: &EntryState, transition: &TaskTransition) {
    let (kind, text) = match &transition.change {
        TaskChange::Submitted { spec, .. } => ("submitted", format!("team {}", spec.team)),
        TaskChange::Assigned {
            attempt,
            agent,
            allocated,
        } => {
            let text = format!("attempt {attempt} to {agent}, allocated {allocated}");
            ("assigned", text)
        }
        TaskChange::Returned {
            attempt, reason, ..
        } => ("returned", format!("attempt {attempt}: {reason:?}")),
        TaskChange::Ended {
            attempt, succeeded, ..
        } => ("ended", format!("attempt {attempt}, success {succeeded}")),
        TaskChange::Cancelled { .. } => ("cancelled", String::new()),
    };
    state.metrics.count(&format!("task.{kind}"));
    state
        .timeline
        .add(TimelineEvent::new(kind, text).with_task(transition.task));
}

/// Stores a snapshot and deletes the log rows that it covers.
///
/// Returns the index of the last append in the snapshot.
async fn write_snapshot(
    state: &EntryState,
    partition: PartitionId,
    previous_index: u64,
) -> Result<u64> {
    // The tag is read before the ledger: if the partition is lost and claimed again
    // in between, the table refuses this snapshot, which may be out of date.
    let tag = state
        .owner_tags()
        .get(&partition)
        .copied()
        .ok_or_else(|| eyre!("this entry no longer owns the partition"))?;
    let (snapshot, index) = {
        let mut scheduler = state.scheduler();
        scheduler.forget_ended(state.clock.wall());
        let (ledger, index) = scheduler
            .durable_ledger(partition)
            .ok_or_else(|| eyre!("this entry no longer owns the partition"))?;
        (ledger.to_snapshot(index), index)
    };
    let name = snapshot_name(partition, index);
    state
        .store
        .put_object(&name, snapshot)
        .await
        .wrap_err("storing the snapshot")?;
    let pointer = v1::SnapshotPointer { index }.encode_to_vec();
    let changes = [
        RowChange::Check {
            key: owner_key(partition),
            condition: RowCondition::Matches(tag),
        },
        RowChange::put(snapshot_key(partition), RowCondition::Any, pointer),
        RowChange::DeleteRange {
            first: log_key(partition, 0),
            last: log_key(partition, index),
        },
    ];
    state
        .store
        .apply_changes(&changes)
        .await
        .wrap_err("writing the snapshot row")?;
    if previous_index > 0 {
        let previous = snapshot_name(partition, previous_index);
        // If this fails, the old snapshot only takes up space.
        let _ = state.store.delete_object(&previous).await;
    }
    Ok(index)
}
