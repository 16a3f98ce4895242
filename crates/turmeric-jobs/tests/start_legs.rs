//! Legs of a job's way to its first start.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use turmeric_jobs::{JobCode, StartLeg, StartTracker};
use turmeric_types::MonoTime;

/// Guards against a leg that is measured twice or out of order: later placements, writes and
/// reports of the same job are no first start.
#[test]
fn each_leg_is_measured_once_and_in_order() {
    let at = MonoTime::from_millis;
    let (job, other) = (JobCode::new(1), JobCode::new(2));
    let mut legs = StartTracker::default();
    assert_eq!(legs.finish(job, StartLeg::Placement, at(90)), None);
    legs.begin(job, at(100));
    legs.begin(job, at(120));
    legs.begin(other, at(100));
    assert_eq!(legs.finish(job, StartLeg::Record, at(130)), None);
    for (leg, end, millis) in [
        (StartLeg::Placement, 150, 50),
        (StartLeg::Record, 220, 70),
        (StartLeg::Order, 230, 10),
    ] {
        let elapsed = legs.finish(job, leg, at(end));
        assert_eq!(elapsed, Some(Duration::from_millis(millis)));
        assert_eq!(legs.finish(job, leg, at(900)), None);
    }
    assert!(!legs.is_empty());
    legs.remove(other);
    assert!(legs.is_empty());
}
