//! Guard that stops an experiment if arm B degrades the service.

#[allow(dead_code, reason = "each test file uses its own part")]
mod traffic;

use traffic::{Traffic, plan};
use turmeric_experiments::{GuardReason, GuardRule, PairSamples, UnitKind};

const RULE: GuardRule = GuardRule {
    target_micros: 100_000.0,
    margin_percent: 25,
};

fn pairs(slowness: &[f64]) -> Vec<PairSamples> {
    let plan = plan(UnitKind::TimeSlot, 1);
    let mut traffic = Traffic::new(&plan, 1);
    slowness
        .iter()
        .map(|factor| traffic.next_pair(*factor))
        .collect()
}

#[test]
fn arm_that_exceeds_the_target_is_stopped_after_two_pairs() {
    assert_eq!(
        RULE.judge(&pairs(&[1.0, 20.0])),
        None,
        "a single slow pair must not stop the arm"
    );
    let reason = RULE.judge(&pairs(&[1.0, 20.0, 20.0]));
    assert!(matches!(reason, Some(GuardReason::Latency { .. })));
}

#[test]
fn arm_is_not_stopped_if_both_arms_exceed_the_target() {
    let mut both = pairs(&[20.0, 20.0]);
    for pair in &mut both {
        pair.a = pair.b.clone();
    }
    assert_eq!(RULE.judge(&both), None);
}

#[test]
fn arm_that_fails_requests_is_stopped() {
    let mut failing = pairs(&[1.0, 1.0]);
    for pair in &mut failing {
        pair.b.unknown = 20;
    }
    let reason = RULE.judge(&failing);
    assert!(matches!(reason, Some(GuardReason::Failures { .. })));
}
