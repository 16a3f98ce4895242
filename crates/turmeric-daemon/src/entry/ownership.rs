//! Decides which partitions an entry claims, recovers and releases.

use turmeric_store::RowTag;
use turmeric_types::{
    EntryId, Incarnation, MonoTime, OwnerEpoch, PartitionId, SplitMixRandom, stable_hash,
};

use super::head::HeadView;

/// A step that an entry takes for one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnershipStep {
    /// Write this entry as the owner.
    Claim {
        partition: PartitionId,
        /// Tag of the owner row that is replaced, or [`None`] if there is no row.
        tag: Option<RowTag>,
        epoch: OwnerEpoch,
    },
    /// Read the log; the owner row already names this process.
    Recover {
        partition: PartitionId,
        tag: RowTag,
        epoch: OwnerEpoch,
    },
    /// Release the partition to its preferred owner.
    Release { partition: PartitionId },
}

/// The entry process that plans its own steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalEntry<'a> {
    pub(crate) entry: &'a EntryId,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_draining: bool,
}

/// Returns the entry that should own a partition (rendezvous hashing).
///
/// All entries with the same list of live entries compute the same owner.
fn preferred_owner<'a>(
    partition: PartitionId,
    entries: impl Iterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    entries.max_by_key(|entry| weight(partition, entry))
}

/// Returns a hash of a partition and an entry that is the same in every build.
fn weight(partition: PartitionId, entry: &EntryId) -> u64 {
    let number = partition.get().to_be_bytes();
    let hash = stable_hash(number.into_iter().chain(entry.as_str().bytes()));
    SplitMixRandom::new(hash).next_bits()
}

/// Returns the steps that this entry takes for all partitions.
///
/// `owned` lists the partitions whose log this process has read.
pub(crate) fn plan_ownership(
    head: &HeadView,
    local: LocalEntry<'_>,
    owned: &[PartitionId],
    now: MonoTime,
) -> Vec<OwnershipStep> {
    let live: Vec<&EntryId> = head
        .live_entries(now)
        .filter(|(_, row)| !row.beat.draining)
        .map(|(entry, _)| entry)
        .collect();
    PartitionId::all()
        .filter_map(|partition| plan_partition(head, local, owned, &live, partition))
        .collect()
}

fn plan_partition(
    head: &HeadView,
    local: LocalEntry<'_>,
    owned: &[PartitionId],
    live: &[&EntryId],
    partition: PartitionId,
) -> Option<OwnershipStep> {
    let is_preferred = preferred_owner(partition, live.iter().copied()) == Some(local.entry);
    let Some(owner) = head.owners.get(&partition) else {
        return (is_preferred && !local.is_draining).then_some(OwnershipStep::Claim {
            partition,
            tag: None,
            epoch: OwnerEpoch::new(1),
        });
    };
    let is_local = owner.entry == *local.entry && owner.incarnation == local.incarnation;
    if is_local && !owner.is_released {
        let is_recovered = owned.contains(&partition);
        if is_recovered {
            let must_release = local.is_draining || (!is_preferred && !live.is_empty());
            return must_release.then_some(OwnershipStep::Release { partition });
        }
        return Some(OwnershipStep::Recover {
            partition,
            tag: owner.tag,
            epoch: owner.epoch,
        });
    }
    // An earlier incarnation of this entry has ended; another entry may still be live.
    let is_free = owner.is_released || owner.entry == *local.entry || !live.contains(&&owner.entry);
    (is_free && is_preferred && !local.is_draining).then_some(OwnershipStep::Claim {
        partition,
        tag: Some(owner.tag),
        epoch: owner.epoch.next(),
    })
}
