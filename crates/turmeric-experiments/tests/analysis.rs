//! Whether comparisons can be trusted: false alarms, power, broken splits.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

#[allow(dead_code, reason = "each test file uses its own part")]
mod traffic;

use rstest::rstest;
use traffic::{Traffic, plan};
use turmeric_experiments::{ArmName, PairSamples, TrialReport, TrialVerdict, UnitKind};
use turmeric_types::LatencyHistogram;

const SEEDS: u64 = 1000;
const PAIRS: usize = 60;
const LANES: u64 = 6;

/// Returns whether any look at the growing run shows a difference.
fn is_ever_shown(seed: u64, slowness: f64) -> bool {
    let plan = plan(UnitKind::TimeSlot, seed);
    let mut traffic = Traffic::new(&plan, seed);
    let mut pairs = Vec::new();
    (0..PAIRS).any(|_| {
        pairs.push(traffic.next_pair(slowness));
        let report = TrialReport::new(&plan, &pairs);
        matches!(report.verdict, TrialVerdict::Faster | TrialVerdict::Slower)
    })
}

/// Counts the runs that ever show a difference, on several threads.
fn count_shown(seeds: u64, slowness: f64) -> usize {
    let count_lane = |lane: u64| {
        let seeds = (lane..seeds).step_by(LANES as usize);
        seeds.filter(|seed| is_ever_shown(*seed, slowness)).count()
    };
    std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..LANES)
            .map(|lane| scope.spawn(move || count_lane(lane)))
            .collect();
        lanes.into_iter().map(|lane| lane.join().unwrap()).sum()
    })
}

#[test]
fn a_against_a_shows_a_difference_in_at_most_5_of_100_runs_however_often_one_looks() {
    let alarms = count_shown(SEEDS, 1.0);
    println!("{alarms} false alarms in {SEEDS} runs");
    assert!(alarms <= 50, "{alarms} of {SEEDS}");
}

#[rstest]
#[case::slower(1.2)]
#[case::faster(0.8)]
fn a_difference_of_a_fifth_is_found_in_8_of_10_runs(#[case] slowness: f64) {
    let found = count_shown(200, slowness);
    println!("{found} of 200 runs");
    assert!(found >= 160, "{found} of 200");
}

/// The usual comparison, which takes requests for independent of each other
/// and is looked at after every pair.
fn is_ever_shown_by_pooled_requests(seed: u64) -> bool {
    let plan = plan(UnitKind::TimeSlot, seed);
    let mut traffic = Traffic::new(&plan, seed);
    let mut logs = [Vec::new(), Vec::new()];
    (0..PAIRS).any(|_| {
        let pair = traffic.next_pair(1.0);
        for (arm, values) in [(ArmName::A, 0), (ArmName::B, 1)] {
            let latency = &pair.arm(arm).latency;
            for (bucket, count) in latency.buckets() {
                logs[values].extend((0..count).map(|_| f64::from(bucket)));
            }
        }
        let [a, b] = [moments(&logs[0]), moments(&logs[1])];
        (a.0 - b.0).abs() > 1.96 * (a.1 + b.1).sqrt()
    })
}

/// Returns the mean and its squared standard error.
fn moments(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, squares / (count - 1.0) / count)
}

#[test]
fn the_traffic_fools_a_comparison_of_pooled_requests() {
    let alarms = (0..100)
        .filter(|seed| is_ever_shown_by_pooled_requests(*seed))
        .count();
    println!("{alarms} false alarms in 100 runs");
    assert!(alarms > 50, "the check of false alarms would see nothing");
}

#[test]
fn arms_that_are_not_as_assigned_are_found() {
    let plan = plan(UnitKind::TimeSlot, 1);
    let mut traffic = Traffic::new(&plan, 1);
    let mut pairs: Vec<PairSamples> = (0..20).map(|_| traffic.next_pair(1.0)).collect();
    // An entry that always serves arm A first, as the load grows.
    for pair in &mut pairs {
        pair.first_arm = Some(ArmName::A);
    }
    let report = TrialReport::new(&plan, &pairs);
    assert!(matches!(report.verdict, TrialVerdict::Invalid(_)));
}

#[test]
fn a_split_that_is_not_even_is_found() {
    let plan = plan(UnitKind::Request, 2);
    let mut traffic = Traffic::new(&plan, 2);
    let mut pairs: Vec<PairSamples> = (0..40).map(|_| traffic.next_pair(1.0)).collect();
    let even = TrialReport::new(&plan, &pairs);
    assert!(!matches!(even.verdict, TrialVerdict::Invalid(_)));
    for pair in &mut pairs {
        // Retries of arm A are counted in arm B.
        pair.b
            .latency
            .merge(&LatencyHistogram::with_buckets([(500, 40)]));
    }
    let report = TrialReport::new(&plan, &pairs);
    assert!(
        matches!(report.verdict, TrialVerdict::Invalid(_)),
        "{:?}",
        report.verdict
    );
}

#[test]
fn an_arm_gains_nothing_from_refusing_its_slow_requests() {
    let plan = plan(UnitKind::TimeSlot, 3);
    let mut traffic = Traffic::new(&plan, 3);
    let pairs: Vec<PairSamples> = (0..40)
        .map(|_| {
            let mut pair = traffic.next_pair(1.0);
            let kept: Vec<(u32, u64)> = pair.b.latency.buckets().collect();
            let fastest = &kept[..kept.len() / 2];
            pair.b.latency = LatencyHistogram::with_buckets(fastest.iter().copied());
            pair.b.refused = 200 - pair.b.latency.total();
            pair
        })
        .collect();
    let report = TrialReport::new(&plan, &pairs);
    assert_eq!(report.verdict, TrialVerdict::Slower);
}

#[test]
fn disturbed_pairs_are_left_out_and_counted() {
    let plan = plan(UnitKind::TimeSlot, 4);
    let mut traffic = Traffic::new(&plan, 4);
    let mut pairs: Vec<PairSamples> = (0..10).map(|_| traffic.next_pair(1.0)).collect();
    pairs[3].disturbance = Some("settings changed".to_owned());
    let report = TrialReport::new(&plan, &pairs);
    assert_eq!(report.left_out["settings changed"], 1);
    assert_eq!(report.points.len(), 9);
}

#[test]
fn few_pairs_give_no_verdict() {
    let plan = plan(UnitKind::TimeSlot, 5);
    let mut traffic = Traffic::new(&plan, 5);
    let pairs = [traffic.next_pair(3.0)];
    let report = TrialReport::new(&plan, &pairs);
    assert_eq!(report.verdict, TrialVerdict::TooFew);
}
