//! The log of one partition: reading, group commit, snapshots.

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

/// Shortest time between two appends, in which transitions are gathered.
const APPEND_PAUSE: Duration = Duration::from_millis(150);

/// Pause after an append that was not written.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Longest sleep before the loop looks whether it still owns the partition.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// Appends between two snapshots.
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

/// A partition as its snapshot and log say.
pub(crate) struct RecoveredPartition {
    pub(crate) ledger: TaskLedger,
    pub(crate) last_index: u64,
    pub(crate) snapshot_index: u64,
}

/// Reads the newest snapshot and the log that follows it.
pub(crate) async fn read_log(
    state: &EntryState,
    partition: PartitionId,
) -> Result<RecoveredPartition> {
    let pointer = read_pointer(state, partition).await?;
    let mut ledger = match pointer {
        0 => TaskLedger::new(),
        index => read_snapshot(state, partition, index).await?,
    };
    let after = log_key(partition, pointer);
    let rows = state
        .store
        .list_rows(&log_prefix(partition), &after)
        .await
        .wrap_err("reading the log")?;
    let mut last_index = pointer;
    for row in rows {
        let expected = log_key(partition, last_index + 1);
        if row.key != expected {
            return Err(eyre!("row {} where {expected} should be", row.key));
        }
        last_index += 1;
        for transition in PartitionWriter::read_append(&row.value).wrap_err("reading the log")? {
            apply_logged(&mut ledger, &transition);
        }
    }
    Ok(RecoveredPartition {
        ledger,
        last_index,
        snapshot_index: pointer,
    })
}

/// Applies a transition in the way its writer did.
fn apply_logged(ledger: &mut TaskLedger, transition: &TaskTransition) {
    if let Err(error) = ledger.apply(transition) {
        error!("a logged transition does not fit: {error}");
    }
}

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

/// Writes the log of a partition as long as this entry owns it.
pub(crate) async fn run(
    state: Arc<EntryState>,
    partition: PartitionId,
    epoch: OwnerEpoch,
    mut snapshot_index: u64,
) {
    let mut append_due = MonoTime::default();
    while is_owned(&state, partition, epoch) {
        let now = state.clock.now();
        if now < append_due {
            tokio::time::sleep(append_due.since(now)).await;
        }
        let plan = state.scheduler().next_append(partition);
        let Some(plan) = plan else {
            let writing = state.writing(partition).notified();
            let _ = tokio::time::timeout(IDLE_PAUSE, writing).await;
            continue;
        };
        append_due = state.clock.now().after(APPEND_PAUSE);
        let outcome = append(&state, partition, &plan).await;
        let is_written = outcome == AppendOutcome::Written;
        settle(&state, partition, &plan, outcome);
        if !is_written {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        if plan.index >= snapshot_index + SNAPSHOT_APPENDS {
            match write_snapshot(&state, partition, snapshot_index).await {
                Ok(index) => snapshot_index = index,
                Err(error) => warn!("no snapshot: {error:#}", kv: {
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

/// Sends an append and finds out what became of it.
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
            read_occupant(state, &key).await
        }
        Err(StoreError::Conflict { .. }) => AppendOutcome::Fenced,
        Err(StoreError::Throttled | StoreError::Unavailable { .. }) => AppendOutcome::NotWritten,
        Err(StoreError::Unknown { .. } | StoreError::Malformed { .. }) => AppendOutcome::Unknown,
    }
}

/// Reads the row that stands where the append should go.
async fn read_occupant(state: &EntryState, key: &str) -> AppendOutcome {
    match state.store.list_rows(key, "").await {
        Ok(rows) => match rows.into_iter().find(|row| row.key == key) {
            Some(row) => AppendOutcome::Occupied(row.value),
            // A snapshot by a later owner has taken the row away.
            None => AppendOutcome::Fenced,
        },
        Err(_) => AppendOutcome::Unknown,
    }
}

fn settle(
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
                error!("a transition does not fit: {error}");
            }
            for transition in &transitions {
                note_transition(state, transition);
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

fn note_transition(state: &EntryState, transition: &TaskTransition) {
    let (kind, text) = match &transition.change {
        TaskChange::Submitted { spec, .. } => ("submitted", format!("team {}", spec.team)),
        TaskChange::Assigned {
            attempt,
            agent,
            allocated,
        } => {
            let text = format!("attempt {attempt} to {agent}, given {allocated}");
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

/// Stores a snapshot and takes the log before it away.
///
/// Returns the index that the snapshot follows.
async fn write_snapshot(
    state: &EntryState,
    partition: PartitionId,
    earlier_index: u64,
) -> Result<u64> {
    // Read before the book: if the partition is lost and taken again in
    // between, the table refuses this snapshot, which may be the older one.
    let tag = state
        .owner_tags()
        .get(&partition)
        .copied()
        .ok_or_else(|| eyre!("the partition is lost"))?;
    let (snapshot, index) = {
        let mut scheduler = state.scheduler();
        scheduler.forget_ended(state.clock.wall());
        let (ledger, index) = scheduler
            .durable_ledger(partition)
            .ok_or_else(|| eyre!("the partition is lost"))?;
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
    if earlier_index > 0 {
        let earlier = snapshot_name(partition, earlier_index);
        // A snapshot that stays behind costs space and nothing else.
        let _ = state.store.delete_object(&earlier).await;
    }
    Ok(index)
}
