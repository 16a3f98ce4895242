//! Tests of run time estimates and their correction by observed progress.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use proptest::prelude::*;
use turmeric_jobs::{EstimateTable, StepEstimate};
use turmeric_types::SplitMixRandom;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// With an estimate that is off by a factor of three, half a second of work of one task
/// corrects the estimate of all tasks of the step.
#[test]
fn progress_of_one_task_corrects_the_step() {
    let mut step = StepEstimate::new(millis(1_000), millis(1_000));
    assert_eq!(step.expected(), millis(1_000));
    step.record_progress(millis(500), 17);
    let expected = step.expected();
    assert!(
        (millis(1_900)..millis(2_200)).contains(&expected),
        "{expected:?}"
    );
    assert_eq!(step.observed(), None);
    for _ in 0..10 {
        step.record_progress(millis(500), 17);
    }
    let expected = step.expected();
    assert!(
        (millis(2_750)..millis(2_950)).contains(&expected),
        "{expected:?}"
    );
    assert!(step.observed().unwrap() > millis(2_900));
}

/// Draws a run time of 0.4 to 5.4 s and an estimate that is off by up to nine tenths.
fn draw_step(random: &mut SplitMixRandom) -> (Duration, Duration) {
    let real = 400 + random.next_below(5_000) as u64;
    let stated = real * (10 + random.next_below(180) as u64) / 100;
    (millis(stated), millis(real))
}

fn observed_step(stated: Duration, real: Duration) -> StepEstimate {
    let mut step = StepEstimate::new(stated, stated);
    step.record_progress(real, 100);
    step
}

/// In a queue with imprecise estimates, the mean error after some steps is a third smaller
/// than that of the stated estimates.
#[test]
fn estimate_errors_of_a_queue_are_learned() {
    let (mut stated_error, mut error) = (0.0, 0.0);
    for seed in 1..=20 {
        let mut random = SplitMixRandom::new(seed);
        let mut table = EstimateTable::new();
        for number in 0..120 {
            let (stated, real) = draw_step(&mut random);
            let corrected = table.correct("queue", stated);
            if number >= 20 {
                let log =
                    |estimate: Duration| (estimate.as_secs_f64() / real.as_secs_f64()).ln().abs();
                stated_error += log(stated);
                error += log(corrected);
            }
            table.record_step("queue", &observed_step(stated, real));
        }
    }
    assert!(error < 0.8 * stated_error, "{error} of {stated_error}");
}

/// Estimates of a queue that states them correctly are not changed, nor are those of a
/// queue without observed steps.
#[test]
fn correct_estimates_are_not_changed() {
    let mut random = SplitMixRandom::new(4);
    let mut table = EstimateTable::new();
    for _ in 0..60 {
        let (_, real) = draw_step(&mut random);
        assert_eq!(table.correct("other", real), real);
        table.record_step("queue", &observed_step(real, real));
    }
    for _ in 0..20 {
        let (_, real) = draw_step(&mut random);
        let corrected = table.correct("queue", real).as_secs_f64() / real.as_secs_f64();
        assert!((0.98..1.02).contains(&corrected), "{corrected}");
    }
}

proptest! {
    /// For any stated estimates and any progress, an estimate stays within the bounds of
    /// the correction.
    #[test]
    fn corrections_stay_within_bounds(
        steps in proptest::collection::vec((0..40_000_000_u64, 0..40_000_000_u64, 0..200_u32), 0..40),
        stated in 0..40_000_000_u64,
    ) {
        let mut table = EstimateTable::new();
        for (stated, worked, percent) in steps {
            let mut step = StepEstimate::new(millis(stated), millis(stated));
            step.record_progress(millis(worked), percent);
            prop_assert!(step.expected() <= Duration::from_secs(40_000_000));
            table.record_step("queue", &step);
        }
        let corrected = table.correct("queue", millis(stated));
        prop_assert!(corrected >= millis(stated / 5));
        prop_assert!(corrected <= millis(stated * 5 + 1));
    }
}
