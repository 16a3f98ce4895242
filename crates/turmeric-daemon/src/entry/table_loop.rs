//! Reads and writes the rows with the prefix `head/`.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use spdlog::{info, warn};
use turmeric_schema::{Message, v1};
use turmeric_store::{RowChange, RowCondition, RowTag, StoreError};
use turmeric_types::{MonoTime, OwnerEpoch, PartitionId};

use super::head::{HEAD_PREFIX, HeadView, entry_key, owner_key};
use super::ownership::{LocalEntry, OwnershipStep, plan_ownership};
use super::state::EntryState;
use super::{control_loop, partition_loop, settings};
use crate::timeline::TimelineEvent;

/// Interval between two reads of the head rows.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two heartbeats of this entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the head rows until a later incarnation of this entry has started.
///
/// # Errors
///
/// Returns an error once the head rows show a later incarnation.
pub(crate) async fn run(state: Arc<EntryState>) -> Result<()> {
    let mut heartbeat = 0;
    let mut next_heartbeat_at = MonoTime::default();
    let mut is_reachable = true;
    loop {
        let started_at = state.clock.now();
        if started_at >= next_heartbeat_at {
            heartbeat += 1;
            if write_heartbeat(&state, heartbeat).await {
                next_heartbeat_at = started_at.after(HEARTBEAT_INTERVAL);
            }
        }
        let started_at = state.clock.now();
        match state.store.list_rows(HEAD_PREFIX, "").await {
            Ok(rows) => {
                record_reachability(&state, &mut is_reachable, true);
                let head = HeadView::read(&rows, &state.head().clone(), state.clock.now());
                *state.head() = head;
                apply_head(&state, started_at).await?;
            }
            Err(error) => {
                if is_reachable {
                    warn!("reading the head rows of the table failed: {error}");
                }
                record_reachability(&state, &mut is_reachable, false);
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Records a change between reachable and unreachable.
fn record_reachability(state: &EntryState, is_reachable: &mut bool, now_reachable: bool) {
    if *is_reachable == now_reachable {
        return;
    }
    *is_reachable = now_reachable;
    state
        .trials()
        .mark_disturbed("the table did not answer", state.clock.wall());
    let (kind, text) = if now_reachable {
        ("table-back", "the table answers again")
    } else {
        ("table-lost", "the table does not answer")
    };
    state.timeline.add(TimelineEvent::new(kind, text));
}

/// Writes the heartbeat row of this entry; returns whether the write is known to
/// have succeeded.
async fn write_heartbeat(state: &EntryState, heartbeat: u64) -> bool {
    let row = v1::EntryBeat {
        incarnation: state.incarnation.get(),
        address: state.config.common.listen.to_string(),
        control_address: state.config.control.to_string(),
        beat: heartbeat,
        draining: state.lifecycle.is_draining(),
    };
    let key = entry_key(&state.config.id);
    let change = RowChange::put(key, RowCondition::Any, row.encode_to_vec());
    state.store.apply_changes(&[change]).await.is_ok()
}

/// Applies the head rows from a read that started at `started_at`.
async fn apply_head(state: &Arc<EntryState>, started_at: MonoTime) -> Result<()> {
    let head = state.head().clone();
    if let Some(row) = head.entries.get(&state.config.id)
        && row.beat.incarnation > state.incarnation.get()
    {
        bail!("a later incarnation of this entry is running; this process stops");
    }
    if head.settings > state.tree().version()
        && let Err(error) = settings::load(state, head.settings).await
    {
        // Nothing is confirmed to the scheduler without the newest settings.
        warn!("loading the newest settings failed: {error}");
        return Ok(());
    }
    remove_lost_partitions(state, &head);
    {
        let mut scheduler = state.scheduler();
        scheduler.confirm(started_at, head.settings);
    }
    control_loop::flush(state);
    let owned: Vec<PartitionId> = {
        let scheduler = state.scheduler();
        scheduler
            .owned_partitions()
            .map(|(partition, _)| partition)
            .collect()
    };
    let local = LocalEntry {
        entry: &state.config.id,
        incarnation: state.incarnation,
        is_draining: state.lifecycle.is_draining(),
    };
    for step in plan_ownership(&head, local, &owned, state.clock.now()) {
        apply_step(state, step).await;
    }
    Ok(())
}

/// Removes partitions whose owner rows no longer name this process and epoch.
fn remove_lost_partitions(state: &EntryState, head: &HeadView) {
    let mut scheduler = state.scheduler();
    let lost: Vec<PartitionId> = scheduler
        .owned_partitions()
        .filter(|(partition, epoch)| {
            head.owners.get(partition).is_none_or(|owner| {
                owner.entry != state.config.id
                    || owner.incarnation != state.incarnation
                    || owner.epoch != *epoch
                    || owner.is_released
            })
        })
        .map(|(partition, _)| partition)
        .collect();
    for partition in lost {
        scheduler.remove_partition(partition);
        record_partition_event(state, "partition-lost", partition);
    }
}

/// Records an ownership event in the log and the timeline.
fn record_partition_event(state: &EntryState, kind: &str, partition: PartitionId) {
    info!("{kind}", kv: { partition = partition.to_string() });
    let text = format!("partition {partition}");
    state.timeline.add(TimelineEvent::new(kind, text));
}

/// Carries out one ownership step.
async fn apply_step(state: &Arc<EntryState>, step: OwnershipStep) {
    match step {
        OwnershipStep::Claim {
            partition,
            tag,
            epoch,
        } => {
            if let Some(tag) = write_owner(state, partition, tag, epoch, false).await {
                recover(state, partition, tag, epoch).await;
            }
        }
        OwnershipStep::Recover {
            partition,
            tag,
            epoch,
        } => recover(state, partition, tag, epoch).await,
        OwnershipStep::Release { partition } => release(state, partition).await,
    }
}

/// Writes the owner row; returns its tag if the write is known to have succeeded.
async fn write_owner(
    state: &EntryState,
    partition: PartitionId,
    tag: Option<RowTag>,
    epoch: OwnerEpoch,
    is_released: bool,
) -> Option<RowTag> {
    let row = v1::PartitionOwner {
        epoch: epoch.get(),
        entry: state.config.id.to_string(),
        incarnation: state.incarnation.get(),
        released: is_released,
    };
    let condition = tag.map_or(RowCondition::Absent, RowCondition::Matches);
    let change = RowChange::put(owner_key(partition), condition, row.encode_to_vec());
    match state.store.apply_changes(&[change]).await {
        Ok(tags) => tags.first().copied(),
        // The next read shows whether the write took effect.
        Err(StoreError::Unknown { .. } | StoreError::Conflict { .. }) => None,
        Err(error) => {
            warn!("writing the owner row of the partition failed: {error}", kv: {
                partition = partition.to_string(),
            });
            None
        }
    }
}

/// Reads the partition's log and starts to write it.
async fn recover(state: &Arc<EntryState>, partition: PartitionId, tag: RowTag, epoch: OwnerEpoch) {
    // Leases granted by the previous owner started before this time.
    let owned_since = state.clock.now();
    match partition_loop::read_log(state, partition).await {
        Ok(recovered) => {
            state.owner_tags().insert(partition, tag);
            let next_index = recovered.last_index + 1;
            state.scheduler().add_partition(
                partition,
                epoch,
                recovered.ledger,
                next_index,
                owned_since,
            );
            record_partition_event(state, "partition-owned", partition);
            control_loop::flush(state);
            state.placing.notify_one();
            let snapshot_index = recovered.snapshot_index;
            tokio::spawn(partition_loop::run(
                state.clone(),
                partition,
                epoch,
                snapshot_index,
            ));
        }
        Err(error) => warn!("recovering the partition from its log failed: {error}", kv: {
            partition = partition.to_string(),
        }),
    }
}

/// Releases a partition once all of its transitions are written.
async fn release(state: &EntryState, partition: PartitionId) {
    let epoch = {
        let mut scheduler = state.scheduler();
        if !scheduler.is_flushed(partition) {
            return;
        }
        let epoch = scheduler
            .owned_partitions()
            .find(|(owned, _)| *owned == partition)
            .map(|(_, epoch)| epoch);
        scheduler.remove_partition(partition);
        epoch
    };
    let tag = state.owner_tags().remove(&partition);
    let (Some(epoch), Some(tag)) = (epoch, tag) else {
        return;
    };
    if write_owner(state, partition, Some(tag), epoch, true)
        .await
        .is_some()
    {
        record_partition_event(state, "partition-released", partition);
    }
}
