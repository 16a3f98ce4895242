//! Reading and writing of the rows below `head/`.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use spdlog::{info, warn};
use turmeric_schema::{Message, v1};
use turmeric_store::{RowChange, RowCondition, RowTag, StoreError};
use turmeric_types::{MonoTime, OwnerEpoch, PartitionId};

use super::head::{HEAD_PREFIX, HeadView, entry_key, owner_key};
use super::ownership::{OwnerSelf, OwnershipStep, plan_ownership};
use super::state::EntryState;
use super::{control_loop, partition_loop, settings};
use crate::timeline::TimelineEvent;

/// Pause between two readings of the head rows.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two writings of this entry's row.
const BEAT_PAUSE: Duration = Duration::from_secs(2);

/// Watches the head rows until a later life of this entry has started.
pub(crate) async fn run(state: Arc<EntryState>) -> Result<()> {
    let mut beat = 0;
    let mut beat_due = MonoTime::default();
    let mut is_reachable = true;
    loop {
        let began_at = state.clock.now();
        if began_at >= beat_due {
            beat += 1;
            if write_beat(&state, beat).await {
                beat_due = began_at.after(BEAT_PAUSE);
            }
        }
        let began_at = state.clock.now();
        match state.store.list_rows(HEAD_PREFIX, "").await {
            Ok(rows) => {
                note_reachable(&state, &mut is_reachable, true);
                let head = HeadView::read(&rows, &state.head().clone(), state.clock.now());
                *state.head() = head;
                take_head(&state, began_at).await?;
            }
            Err(error) => {
                if is_reachable {
                    warn!("the table cannot be read: {error}");
                }
                note_reachable(&state, &mut is_reachable, false);
            }
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

fn note_reachable(state: &EntryState, is_reachable: &mut bool, now_reachable: bool) {
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

/// Writes that this entry is alive; returns whether it is written.
async fn write_beat(state: &EntryState, beat: u64) -> bool {
    let row = v1::EntryBeat {
        incarnation: state.incarnation.get(),
        address: state.config.common.listen.to_string(),
        control_address: state.config.control.to_string(),
        beat,
        draining: state.lifecycle.is_draining(),
    };
    let key = entry_key(&state.config.id);
    let change = RowChange::put(key, RowCondition::Any, row.encode_to_vec());
    state.store.apply_changes(&[change]).await.is_ok()
}

/// Acts on what was read by a reading that began at `began_at`.
async fn take_head(state: &Arc<EntryState>, began_at: MonoTime) -> Result<()> {
    let head = state.head().clone();
    if let Some(row) = head.entries.get(&state.config.id)
        && row.beat.incarnation > state.incarnation.get()
    {
        bail!("a later process runs as this entry; this one stops");
    }
    if head.settings > state.tree().version()
        && let Err(error) = settings::load(state, head.settings).await
    {
        // Without the newest settings nothing is confirmed.
        warn!("the newest settings cannot be read: {error}");
        return Ok(());
    }
    give_up_lost(state, &head);
    {
        let mut scheduler = state.scheduler();
        scheduler.confirm(began_at, head.settings);
    }
    control_loop::flush(state);
    let owned: Vec<PartitionId> = {
        let scheduler = state.scheduler();
        scheduler
            .owned_partitions()
            .map(|(partition, _)| partition)
            .collect()
    };
    let me = OwnerSelf {
        entry: &state.config.id,
        incarnation: state.incarnation,
        is_draining: state.lifecycle.is_draining(),
    };
    for step in plan_ownership(&head, me, &owned, state.clock.now()) {
        take_step(state, step).await;
    }
    Ok(())
}

/// Gives up partitions whose rows name another owner.
fn give_up_lost(state: &EntryState, head: &HeadView) {
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
        note_partition(state, "partition-lost", partition);
    }
}

fn note_partition(state: &EntryState, kind: &str, partition: PartitionId) {
    info!("{kind}", kv: { partition = partition.to_string() });
    let text = format!("partition {partition}");
    state.timeline.add(TimelineEvent::new(kind, text));
}

async fn take_step(state: &Arc<EntryState>, step: OwnershipStep) {
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

/// Writes the owner row; returns its tag when that is known to be done.
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
        // The next reading shows whether it took effect.
        Err(StoreError::Unknown { .. } | StoreError::Conflict { .. }) => None,
        Err(error) => {
            warn!("a partition was not claimed: {error}", kv: {
                partition = partition.to_string(),
            });
            None
        }
    }
}

async fn recover(state: &Arc<EntryState>, partition: PartitionId, tag: RowTag, epoch: OwnerEpoch) {
    // Leases of the earlier owner count from before this time.
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
            note_partition(state, "partition-owned", partition);
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
        Err(error) => warn!("a partition's log cannot be read: {error}", kv: {
            partition = partition.to_string(),
        }),
    }
}

/// Gives a partition up once everything of it is written.
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
        note_partition(state, "partition-released", partition);
    }
}
