//! Assignment of units to arms, and the error of latency quantiles.

#[allow(dead_code, reason = "each test file uses its own part")]
mod traffic;

use proptest::prelude::*;
use traffic::plan;
use turmeric_experiments::{ArmName, ExperimentPlan, PairNumber, UnitKind};
use turmeric_types::{LatencyHistogram, WallTime};

#[test]
fn arms_alternate_within_a_pair_in_an_order_drawn_for_each_pair() {
    let plan = plan(UnitKind::TimeSlot, 1);
    let mut first_arm_b_count = 0;
    for pair in 0..10_000_u64 {
        let [first, second] = [0, 1].map(|half| {
            let now = WallTime::from_millis((2 * pair + half) * plan.slot_millis);
            plan.arm(plan.slot_at(now), "any")
        });
        assert_eq!(second, first.other());
        assert_eq!(first, plan.first_arm(PairNumber::new(pair)));
        first_arm_b_count += u32::from(first == ArmName::B);
    }
    assert!(
        (4800..5200).contains(&first_arm_b_count),
        "{first_arm_b_count} of 10000"
    );
}

#[test]
fn caller_stays_in_its_arm_for_one_pair_only() {
    let plan = plan(UnitKind::Caller, 1);
    let arm_at = |millis| plan.arm(plan.slot_at(WallTime::from_millis(millis)), "boutique-7");
    let in_b = (0..10_000_u64)
        .filter(|pair| {
            let start = pair * 2 * plan.slot_millis;
            let arm = arm_at(start);
            assert_eq!(arm, arm_at(start + 2 * plan.slot_millis - 1));
            arm == ArmName::B
        })
        .count();
    assert!((4800..5200).contains(&in_b), "{in_b} of 10000");
}

#[test]
fn units_are_split_as_configured_and_the_same_at_every_entry() {
    let plan = ExperimentPlan {
        share_percent: 30,
        ..plan(UnitKind::Caller, 1)
    };
    let slot = plan.slot_at(WallTime::from_millis(50_000));
    let arm = |number| plan.arm(slot, &format!("caller-{number}"));
    let in_b = (0..100_000).filter(|number| arm(*number) == ArmName::B);
    let count = in_b.count();
    assert!((29_500..30_500).contains(&count), "{count} of 100000");
    assert_eq!(arm(7), arm(7));
}

#[test]
fn requests_at_the_start_of_a_slot_are_not_counted() {
    let plan = plan(UnitKind::TimeSlot, 1);
    assert!(plan.is_settling(WallTime::from_millis(50_000)));
    assert!(plan.is_settling(WallTime::from_millis(52_499)));
    assert!(!plan.is_settling(WallTime::from_millis(52_500)));
}

proptest! {
    #[test]
    fn quantile_is_off_by_at_most_2_percent(
        mut latencies in proptest::collection::vec(1..100_000_000_u64, 1..300),
        share in 0.01..1.0_f64,
    ) {
        let mut histogram = LatencyHistogram::default();
        for latency in &latencies {
            histogram.record(*latency);
        }
        latencies.sort_unstable();
        let rank = (share * latencies.len() as f64).ceil() as usize;
        let exact = latencies[rank - 1] as f64;
        let found = histogram.quantile(share).unwrap_or_default();
        prop_assert!((found / exact - 1.0).abs() < 0.02, "{} for {}", found, exact);
    }

    #[test]
    fn histogram_is_restored_from_its_buckets(
        latencies in proptest::collection::vec(1..100_000_000_u64, 0..100),
    ) {
        let mut histogram = LatencyHistogram::default();
        for latency in latencies {
            histogram.record(latency);
        }
        prop_assert_eq!(&LatencyHistogram::with_buckets(histogram.buckets()), &histogram);
    }
}
