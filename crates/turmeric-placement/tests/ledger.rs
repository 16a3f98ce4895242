//! The ledger of a VM never reserves more than the capacity.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;

use proptest::prelude::*;
use turmeric_placement::CapacityLedger;
use turmeric_types::{
    AcceleratorCount, AttemptNumber, CoreCount, JobId, MemorySize, ResourceSet, TaskId,
};

fn resources(cores: u64, accelerators: u32) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(cores << 30),
        AcceleratorCount::new(accelerators),
    )
}

fn task(number: u128) -> TaskId {
    TaskId::new(JobId::new(number), 0)
}

proptest! {
    #[test]
    fn reservations_never_exceed_the_capacity(
        steps in proptest::collection::vec((0..6_u128, 1..4_u32, 1..8_u64, 0..3_u32, any::<bool>()), 1..200),
    ) {
        let capacity = resources(16, 2);
        let mut ledger = CapacityLedger::new(capacity).into_ready([]);
        let mut held: BTreeMap<TaskId, (AttemptNumber, ResourceSet)> = BTreeMap::new();
        for (number, attempt, cores, accelerators, is_reserve) in steps {
            let (task, attempt) = (task(number), AttemptNumber::new(attempt));
            let need = resources(cores, accelerators);
            if is_reserve {
                if ledger.reserve(task, attempt, need).is_ok() {
                    held.entry(task).or_insert((attempt, need));
                }
            } else if ledger.release(task, attempt) {
                held.remove(&task);
            }
            let total = held.values().fold(ResourceSet::default(), |sum, (_, one)| {
                sum.checked_add(one).unwrap()
            });
            prop_assert!(total.fits_in(&capacity));
            prop_assert_eq!(ledger.free(), capacity.saturating_sub(&total));
        }
    }
}

#[test]
fn ledger_rebuilt_on_a_smaller_vm_reserves_nothing_until_enough_is_free() {
    let held = [
        (task(1), AttemptNumber::new(1), resources(8, 0)),
        (task(2), AttemptNumber::new(1), resources(8, 0)),
    ];
    let mut ledger = CapacityLedger::new(resources(8, 0)).into_ready(held);
    assert_eq!(ledger.free(), ResourceSet::default());
    assert!(ledger.release(task(1), AttemptNumber::new(1)));
    assert!(
        ledger
            .reserve(task(3), AttemptNumber::new(1), resources(1, 0))
            .is_err()
    );
    assert!(ledger.release(task(2), AttemptNumber::new(1)));
    assert!(
        ledger
            .reserve(task(3), AttemptNumber::new(1), resources(8, 0))
            .is_ok()
    );
}

#[test]
fn earlier_attempt_releases_nothing_of_a_later_one() {
    let mut ledger = CapacityLedger::new(resources(8, 0)).into_ready([]);
    ledger
        .reserve(task(1), AttemptNumber::new(2), resources(8, 0))
        .unwrap();
    assert!(!ledger.release(task(1), AttemptNumber::new(1)));
    assert_eq!(ledger.held_attempt(task(1)), Some(AttemptNumber::new(2)));
}
