//! Sizes that are learned from what tasks of a kind used.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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

/// A table that has seen `count` tasks with the same peak.
fn table_after(count: usize, allocated: &ResourceSet, seen: UsageSample) -> LearnedTable {
    let mut table = LearnedTable::new();
    for _ in 0..count {
        table.note_usage(&spec(Some("scan")), allocated, seen);
    }
    table
}

#[test]
fn a_kind_that_uses_little_is_given_little() {
    let table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let size = table.size(&spec(Some("scan")), LEARNED, false);
    assert_eq!(size.cores, CoreCount::from_millicores(2300));
    assert_eq!(size.memory, MemorySize::new(4 * GIB * 115 / 100 + 1));
    assert_eq!(size.accelerators, AcceleratorCount::new(1));
}

#[rstest]
#[case::of_another_kind(table_after(10, &resources(8000, 16), peak(2000, 4)), "other", LEARNED)]
#[case::with_few_samples(table_after(9, &resources(8000, 16), peak(2000, 4)), "scan", LEARNED)]
#[case::as_operators_say(
    table_after(10, &resources(8000, 16), peak(2000, 4)),
    "scan",
    SizingPolicy::Declared
)]
fn a_task_is_given_what_was_declared(
    #[case] table: LearnedTable,
    #[case] kind: &str,
    #[case] policy: SizingPolicy,
) {
    let size = table.size(&spec(Some(kind)), policy, false);
    assert_eq!(size, resources(8000, 16));
}

#[test]
fn a_task_that_failed_is_given_no_less_than_was_declared() {
    let table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let size = table.size(&spec(Some("scan")), LEARNED, true);
    assert_eq!(size, resources(8000, 16));
}

#[test]
fn a_task_that_used_all_that_it_was_given_may_have_wanted_more() {
    let mut table = table_after(10, &resources(8000, 16), peak(2000, 4));
    let allocated = table.size(&spec(Some("scan")), LEARNED, false);
    table.note_usage(
        &spec(Some("scan")),
        &allocated,
        UsageSample::new(allocated.cores, allocated.memory),
    );
    let size = table.size(&spec(Some("scan")), LEARNED, false);
    assert_eq!(size.cores, CoreCount::from_millicores(8000));
    assert!(size.memory >= MemorySize::new(16 * GIB));
}

#[test]
fn memory_that_was_declared_too_small_grows() {
    let mut table = LearnedTable::new();
    for _ in 0..10 {
        table.note_usage(&spec(Some("scan")), &resources(8000, 16), peak(1000, 16));
    }
    let size = table.size(&spec(Some("scan")), LEARNED, true);
    assert_eq!(size.memory, MemorySize::new(32 * GIB));
}

#[test]
fn kinds_that_were_not_used_for_long_are_forgotten() {
    let mut table = LearnedTable::new();
    let allocated = resources(8000, 16);
    for number in 0..600 {
        let spec = spec(Some(&format!("kind-{number}")));
        table.note_usage(&spec, &allocated, peak(1000, 1));
        // This one is used all the time.
        table.note_usage(&self::spec(Some("kind-0")), &allocated, peak(1000, 1));
    }
    assert_eq!(table.iter().count(), 512);
    let kinds: Vec<String> = table.iter().map(|(key, _)| key.kind.to_string()).collect();
    assert!(kinds.contains(&"kind-0".to_owned()));
    assert!(kinds.contains(&"kind-599".to_owned()));
    assert!(!kinds.contains(&"kind-1".to_owned()));
}

/// Peaks with a heavy tail, of which few are large.
fn heavy_peak(random: &mut SplitMixRandom) -> u64 {
    let unit = random.next_unit().max(0.000_001);
    (500.0 * unit.powf(-0.4)).min(7_500.0) as u64
}

#[test]
fn at_most_one_task_in_eleven_wants_more_than_it_is_given() {
    let mut random = SplitMixRandom::new(7);
    let policy = SizingPolicy::Learned { margin_percent: 0 };
    let (mut tasks, mut small) = (0, 0);
    for _ in 0..400 {
        let mut table = LearnedTable::new();
        let declared = resources(8000, 16);
        for number in 0..60 {
            let wanted = heavy_peak(&mut random);
            let size = table.size(&spec(Some("scan")), policy, false);
            if number >= 10 {
                tasks += 1;
                small += usize::from(wanted > size.cores.as_millicores());
            }
            let used = wanted.min(size.cores.as_millicores());
            table.note_usage(&spec(Some("scan")), &size, peak(used, 1));
        }
        assert!(
            table
                .size(&spec(Some("scan")), policy, false)
                .fits_in(&declared)
        );
    }
    assert!(
        small * 11 <= tasks,
        "{small} of {tasks} were given too little"
    );
}

proptest! {
    #[test]
    fn no_task_is_given_more_cores_than_declared_or_twice_its_memory(
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
            table.note_usage(&spec(Some("scan")), &allocated, peak(millicores, gib));
        }
    }
}
