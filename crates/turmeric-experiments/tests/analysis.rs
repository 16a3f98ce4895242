//! Validity of comparisons: false positives, statistical power, wrong splits.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "each test file uses its own part")]
mod traffic;

use rstest::rstest;
use traffic::{Traffic, plan};
use turmeric_experiments::{ArmName, PairSamples, TrialReport, TrialVerdict, UnitKind};
use turmeric_types::LatencyHistogram;

const SEEDS: u64 = 1000;
const PAIRS: usize = 60;
const THREADS: u64 = 6;

/// Returns whether the analysis after any pair of the run shows a difference.
fn shows_difference(seed: u64, slowness: f64) -> bool {
    let plan = plan(UnitKind::TimeSlot, seed);
    let mut traffic = Traffic::new(&plan, seed);
    let mut pairs = Vec::new();
    (0..PAIRS).any(|_| {
        pairs.push(traffic.next_pair(slowness));
        let report = TrialReport::new(&plan, &pairs);
        matches!(report.verdict, TrialVerdict::Faster | TrialVerdict::Slower)
    })
}

/// Counts the runs that show a difference after any pair, on several threads.
fn count_differences(seeds: u64, slowness: f64) -> usize {
    let count_share = |thread: u64| {
        let seeds = (thread..seeds).step_by(THREADS as usize);
        seeds
            .filter(|seed| shows_difference(*seed, slowness))
            .count()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || count_share(thread)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    })
}

#[test]
fn equal_arms_show_a_difference_in_at_most_5_of_100_runs_under_repeated_analysis() {
    let false_positives = count_differences(SEEDS, 1.0);
    println!("{false_positives} false positives in {SEEDS} runs");
    assert!(false_positives <= 50, "{false_positives} of {SEEDS}");
}

#[rstest]
#[case::slower(1.2)]
#[case::faster(0.8)]
fn difference_of_20_percent_is_found_in_8_of_10_runs(#[case] slowness: f64) {
    let found = count_differences(200, slowness);
    println!("{found} of 200 runs");
    assert!(found >= 160, "{found} of 200");
}

/// Returns whether the usual comparison, which assumes that requests are independent
/// of each other, shows a difference when repeated after every pair.
fn pooled_requests_show_difference(seed: u64) -> bool {
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

/// Returns the mean and the square of its standard error.
fn moments(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, squares / (count - 1.0) / count)
}

#[test]
fn comparison_of_pooled_requests_gives_false_positives_on_the_test_traffic() {
    let false_positives = (0..100)
        .filter(|seed| pooled_requests_show_difference(*seed))
        .count();
    println!("{false_positives} false positives in 100 runs");
    assert!(
        false_positives > 50,
        "the traffic is too regular to test for false positives"
    );
}

#[test]
fn arms_that_differ_from_the_assignment_make_the_comparison_invalid() {
    let plan = plan(UnitKind::TimeSlot, 1);
    let mut traffic = Traffic::new(&plan, 1);
    let mut pairs: Vec<PairSamples> = (0..20).map(|_| traffic.next_pair(1.0)).collect();
    // Simulates an entry that always serves arm A first, while the load grows.
    for pair in &mut pairs {
        pair.first_arm = Some(ArmName::A);
    }
    let report = TrialReport::new(&plan, &pairs);
    assert!(matches!(report.verdict, TrialVerdict::Invalid(_)));
}

#[test]
fn uneven_split_makes_the_comparison_invalid() {
    let plan = plan(UnitKind::Request, 2);
    let mut traffic = Traffic::new(&plan, 2);
    let mut pairs: Vec<PairSamples> = (0..40).map(|_| traffic.next_pair(1.0)).collect();
    let even = TrialReport::new(&plan, &pairs);
    assert!(!matches!(even.verdict, TrialVerdict::Invalid(_)));
    for pair in &mut pairs {
        // Simulates retries of arm A that are counted in arm B.
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
fn arm_that_refuses_its_slow_requests_is_not_faster() {
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
fn disturbed_pairs_are_excluded_and_reported() {
    let plan = plan(UnitKind::TimeSlot, 4);
    let mut traffic = Traffic::new(&plan, 4);
    let mut pairs: Vec<PairSamples> = (0..10).map(|_| traffic.next_pair(1.0)).collect();
    pairs[3].disturbance = Some("settings changed".to_owned());
    let report = TrialReport::new(&plan, &pairs);
    assert_eq!(report.left_out["settings changed"], 1);
    assert_eq!(report.points.len(), 9);
}

#[test]
fn too_few_pairs_give_no_verdict() {
    let plan = plan(UnitKind::TimeSlot, 5);
    let mut traffic = Traffic::new(&plan, 5);
    let pairs = [traffic.next_pair(3.0)];
    let report = TrialReport::new(&plan, &pairs);
    assert_eq!(report.verdict, TrialVerdict::TooFew);
}
