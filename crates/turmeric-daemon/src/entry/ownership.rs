//! Which partitions an entry takes and gives up.

use turmeric_store::RowTag;
use turmeric_types::{
    EntryId, Incarnation, MonoTime, OwnerEpoch, PartitionId, SplitMixRandom, stable_hash,
};

use super::head::HeadView;

/// What an entry does about a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnershipStep {
    /// Write itself as the owner.
    Claim {
        partition: PartitionId,
        /// Tag of the row that is replaced; [`None`] where there is none.
        tag: Option<RowTag>,
        epoch: OwnerEpoch,
    },
    /// Read the log: the row names this process already.
    Recover {
        partition: PartitionId,
        tag: RowTag,
        epoch: OwnerEpoch,
    },
    /// Give the partition up to the entry that should have it.
    Release { partition: PartitionId },
}

/// The process that decides.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerSelf<'a> {
    pub(crate) entry: &'a EntryId,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_draining: bool,
}

/// Returns the entry that should own a partition, the same in every entry.
fn preferred<'a>(
    partition: PartitionId,
    entries: impl Iterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    entries.max_by_key(|entry| weight(partition, entry))
}

/// Returns a hash of partition and entry that is the same in every build.
fn weight(partition: PartitionId, entry: &EntryId) -> u64 {
    let number = partition.get().to_be_bytes();
    let hash = stable_hash(number.into_iter().chain(entry.as_str().bytes()));
    SplitMixRandom::new(hash).next_bits()
}

/// Decides what to do about every partition.
///
/// `owned` lists the partitions whose log this process has read.
pub(crate) fn plan_ownership(
    head: &HeadView,
    me: OwnerSelf<'_>,
    owned: &[PartitionId],
    now: MonoTime,
) -> Vec<OwnershipStep> {
    let live: Vec<&EntryId> = head
        .live_entries(now)
        .filter(|(_, row)| !row.beat.draining)
        .map(|(entry, _)| entry)
        .collect();
    PartitionId::all()
        .filter_map(|partition| plan_partition(head, me, owned, &live, partition))
        .collect()
}

fn plan_partition(
    head: &HeadView,
    me: OwnerSelf<'_>,
    owned: &[PartitionId],
    live: &[&EntryId],
    partition: PartitionId,
) -> Option<OwnershipStep> {
    let is_preferred = preferred(partition, live.iter().copied()) == Some(me.entry);
    let Some(owner) = head.owners.get(&partition) else {
        return (is_preferred && !me.is_draining).then_some(OwnershipStep::Claim {
            partition,
            tag: None,
            epoch: OwnerEpoch::new(1),
        });
    };
    let is_mine = owner.entry == *me.entry && owner.incarnation == me.incarnation;
    if is_mine && !owner.is_released {
        let is_read = owned.contains(&partition);
        if is_read {
            let is_leaving = me.is_draining || (!is_preferred && !live.is_empty());
            return is_leaving.then_some(OwnershipStep::Release { partition });
        }
        return Some(OwnershipStep::Recover {
            partition,
            tag: owner.tag,
            epoch: owner.epoch,
        });
    }
    // An earlier life of this entry is over; another entry may be alive.
    let is_free = owner.is_released || owner.entry == *me.entry || !live.contains(&&owner.entry);
    (is_free && is_preferred && !me.is_draining).then_some(OwnershipStep::Claim {
        partition,
        tag: Some(owner.tag),
        epoch: owner.epoch.next(),
    })
}
