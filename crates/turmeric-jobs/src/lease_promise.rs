//! What the leader's row in the store promises about leases.
//!
//! The leader grants a lease only if the row covers it. So the next leader knows from the row when all
//! leases have expired, whatever became of the leader before it, and copies into its own row what
//! it has found.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::MonoTime;

use crate::LeaseLimits;

/// How long after its last write a leader of an earlier version, whose row promises nothing, goes
/// on granting leases.
const EARLIER_WINDOW: Duration = Duration::from_secs(12);

/// Bytes of a VM in the row beside its name, at most.
const VM_BYTES: usize = 16;

/// Promise of a leader's row: when the leases have expired that it or an earlier leader granted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeasePromise {
    /// When they have expired on all VMs but those in `expiring`.
    ends_at: MonoTime,
    /// The VMs on which no lease is granted for now, with the time when theirs have expired.
    expiring: BTreeMap<String, MonoTime>,
}

impl LeasePromise {
    /// Creates the promise that all leases have expired at `ends_at`.
    pub fn new(ends_at: MonoTime) -> Self {
        Self {
            ends_at,
            expiring: BTreeMap::new(),
        }
    }

    /// Creates the promise that is assumed of a leader of an earlier version whose last write took
    /// effect by `written_at`.
    pub fn unknown(limits: &LeaseLimits, written_at: MonoTime) -> Self {
        Self::new(written_at.after(EARLIER_WINDOW + limits.earlier_wait()))
    }

    /// Creates the promise of a store in which no leader has ever written its row.
    pub fn none() -> Self {
        Self::default()
    }

    /// Returns whether no leader has granted a lease.
    pub(crate) fn is_none(&self) -> bool {
        *self == Self::none()
    }

    /// Adds the VMs on which no lease is granted for now, as far as they take at most `limit` bytes
    /// in the row. On the others, leases count as granted.
    pub(crate) fn with_expiring(
        mut self,
        vms: impl Iterator<Item = (String, MonoTime)>,
        limit: usize,
    ) -> Self {
        let mut bytes = 0;
        for (vm, end) in vms {
            bytes += vm.len() + VM_BYTES;
            if bytes > limit {
                self.ends_at = self.ends_at.max(end);
            } else {
                self.expiring.insert(vm, end);
            }
        }
        self
    }

    /// Returns the promise of an entry that takes over at `now`: it may grant leases within `window`,
    /// and those of earlier leaders remain.
    pub fn take_over(&self, limits: &LeaseLimits, window: Duration, now: MonoTime) -> Self {
        Self {
            ends_at: self.ends_at.max(now.after(window + limits.wait())),
            expiring: self.expiring.clone(),
        }
    }

    /// Returns the promise that covers only what both cover.
    pub(crate) fn meet(mut self, other: Self) -> Self {
        self.ends_at = self.ends_at.min(other.ends_at);
        self.expiring.extend(other.expiring);
        self
    }

    /// Returns when all leases on a VM have expired.
    pub fn end_on(&self, vm: &str) -> MonoTime {
        self.expiring.get(vm).copied().unwrap_or(self.ends_at)
    }

    /// Returns whether a lease on a VM that has expired at `end` may be granted.
    pub(crate) fn covers(&self, vm: &str, end: MonoTime) -> bool {
        end <= self.ends_at && !self.expiring.contains_key(vm)
    }

    /// Returns the bytes that the VMs take in the row, at most.
    pub(crate) fn row_bytes(&self) -> usize {
        let names = self.expiring.keys();
        names.map(|vm| vm.len() + VM_BYTES).sum()
    }

    /// Reads the promise of a row that was in the store by `written_at`.
    pub fn read(row: &v1::LeaderRow, limits: &LeaseLimits, written_at: MonoTime) -> Self {
        if row.leases_left_millis == 0 {
            return Self::unknown(limits, written_at);
        }
        // No leader promises more than one of an earlier version does.
        let longest = Self::unknown(limits, written_at).ends_at;
        let end = |millis| longest.min(written_at.after(Duration::from_millis(millis)));
        let expiring = row.expiring_vms.iter();
        Self {
            ends_at: end(row.leases_left_millis),
            expiring: expiring
                .map(|lease| (lease.vm.clone(), end(lease.left_millis)))
                .collect(),
        }
    }

    /// Writes the promise to a row that is not in the store before `now`.
    pub fn write(&self, row: &mut v1::LeaderRow, now: MonoTime) {
        // Rounded up, and never zero: that stands for no promise.
        let left = |end: MonoTime| end.since(now).as_millis() as u64 + 1;
        row.leases_left_millis = left(self.ends_at);
        row.expiring_vms = self
            .expiring
            .iter()
            .map(|(vm, end)| v1::VmLease {
                vm: vm.clone(),
                left_millis: left(*end),
            })
            .collect();
    }
}
