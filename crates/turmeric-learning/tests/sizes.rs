//! Allocations that are learned from the resource usage of tasks of a kind.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use rstest::rstest;
use turmeric_learning::{LearnedTable, SizingPolicy, UsageSample};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, ResourceSet, SplitMixRandom, TaskClass, TaskSpec,
};

const GIB: u64 = 1 << 30;

const LEARNED: SizingPolicy = SizingPolicy::Learned { margin_percent: 15 };

fn resources(millicores: u64, gib: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(gib * GIB),
        AcceleratorCount::new(1),
    )
}

fn spec(kind: Option<&str>) -> TaskSpec {
    TaskSpec {
        team: "leather".parse().unwrap(),
        kind: kind.map(|kind| kind.parse().unwrap()),
        class: TaskClass::Batch,
        resources: resources(8000, 16),
        work_millis: 1000,
    }
}

fn peak(millicores: u64, gib: u64) -> UsageSample {
    UsageSample::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(gib * GIB),
    )
}

/// Returns a table with `count` tasks of the same peak usage.
fn table_after(count: usize, allocated: &ResourceSet, seen: UsageSample) -> LearnedTable {
    let mut table = LearnedTable::new();
    for _ in 0..count {
        table.record_usage(&spec(Some("scan")), allocated, seen);
    }
    table
}

#[test]
fn kind_with_low_usage_gets_a_small_allocation() {
    let table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let size = table.size(&spec(Some("scan")), LEARNED, false);
    assert_eq!(size.cores, CoreCount::from_millicores(2300));
    assert_eq!(size.memory, MemorySize::new(4 * GIB * 115 / 100 + 1));
    assert_eq!(size.accelerators, AcceleratorCount::new(1));
}

#[rstest]
#[case::of_another_kind(table_after(10, &resources(8000, 16), peak(2000, 4)), "other", LEARNED)]
#[case::with_few_samples(table_after(9, &resources(8000, 16), peak(2000, 4)), "scan", LEARNED)]
#[case::with_declared_policy(
    table_after(10, &resources(8000, 16), peak(2000, 4)),
    "scan",
    SizingPolicy::Declared
)]
fn task_gets_its_declared_resources(
    #[case] table: LearnedTable,
    #[case] kind: &str,
    #[case] policy: SizingPolicy,
) {
    let size = table.size(&spec(Some(kind)), policy, false);
    assert_eq!(size, resources(8000, 16));
}

#[test]
fn failed_task_gets_at_least_its_declared_resources() {
    let table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let size = table.size(&spec(Some("scan")), LEARNED, true);
    assert_eq!(size, resources(8000, 16));
}

#[test]
fn usage_at_the_allocation_raises_the_next_allocation() {
    let mut table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let allocated = table.size(&spec(Some("scan")), LEARNED, false);
    table.record_usage(
        &spec(Some("scan")),
        &allocated,
        UsageSample::new(allocated.cores, allocated.memory),
    );
    let size = table.size(&spec(Some("scan")), LEARNED, false);
    assert_eq!(size.cores, CoreCount::from_millicores(8000));
    assert!(size.memory >= MemorySize::new(16 * GIB));
}

#[test]
fn memory_allocation_grows_if_the_declaration_is_too_small() {
    let mut table = LearnedTable::new();
    for _ in 0..10 {
        table.record_usage(&spec(Some("scan")), &resources(8000, 16), peak(1000, 16));
    }
    let size = table.size(&spec(Some("scan")), LEARNED, true);
    assert_eq!(size.memory, MemorySize::new(32 * GIB));
}

#[test]
fn least_recently_used_kinds_are_removed() {
    let mut table = LearnedTable::new();
    let allocated = resources(8000, 16);
    for number in 0..600 {
        let spec = spec(Some(&format!("kind-{number}")));
        table.record_usage(&spec, &allocated, peak(1000, 1));
        // This kind is used all the time.
        table.record_usage(&self::spec(Some("kind-0")), &allocated, peak(1000, 1));
    }
    assert_eq!(table.iter().count(), 512);
    let kinds: Vec<String> = table.iter().map(|(key, _)| key.kind.to_string()).collect();
    assert!(kinds.contains(&"kind-0".to_owned()));
    assert!(kinds.contains(&"kind-599".to_owned()));
    assert!(!kinds.contains(&"kind-1".to_owned()));
}

/// Returns a peak in millicores, from a heavy-tailed distribution.
fn heavy_tailed_peak(random: &mut SplitMixRandom) -> u64 {
    let unit = random.next_unit().max(0.000_001);
    (500.0 * unit.powf(-0.4)).min(7_500.0) as u64
}

#[test]
fn at_most_one_task_in_eleven_demands_more_than_its_allocation() {
    let mut random = SplitMixRandom::new(7);
    let policy = SizingPolicy::Learned { margin_percent: 0 };
    let (mut tasks, mut undersized) = (0, 0);
    for _ in 0..400 {
        let mut table = LearnedTable::new();
        let declared = resources(8000, 16);
        for number in 0..60 {
            let demand = heavy_tailed_peak(&mut random);
            let size = table.size(&spec(Some("scan")), policy, false);
            if number >= 10 {
                tasks += 1;
                undersized += usize::from(demand > size.cores.as_millicores());
            }
            let used = demand.min(size.cores.as_millicores());
            table.record_usage(&spec(Some("scan")), &size, peak(used, 1));
        }
        assert!(
            table
                .size(&spec(Some("scan")), policy, false)
                .fits_in(&declared)
        );
    }
    assert!(
        undersized * 11 <= tasks,
        "the allocation of {undersized} of {tasks} tasks was too small"
    );
}

proptest! {
    #[test]
    fn allocation_is_at_most_the_declared_cores_and_twice_the_declared_memory(
        peaks in proptest::collection::vec((0..20_000_u64, 0..64_u64), 0..50),
        margin in 0..100_u64,
        failed in any::<bool>(),
    ) {
        let mut table = LearnedTable::new();
        let policy = SizingPolicy::Learned { margin_percent: margin };
        let declared = resources(8000, 16);
        for (millicores, gib) in peaks {
            let allocated = table.size(&spec(Some("scan")), policy, failed);
            prop_assert!(allocated.cores <= declared.cores);
            prop_assert!(allocated.memory.as_bytes() <= 2 * declared.memory.as_bytes());
            prop_assert!(allocated.cores.as_millicores() > 0 && allocated.memory.as_bytes() > 0);
            prop_assert_eq!(allocated.accelerators, declared.accelerators);
            if failed {
                prop_assert!(declared.fits_in(&allocated));
            }
            table.record_usage(&spec(Some("scan")), &allocated, peak(millicores, gib));
        }
    }
}
