//! Tests of when an entry treats the store as unreachable.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_jobs::{DeliveryOutcome, StoreHealth};
use turmeric_types::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn store_is_unreachable_after_three_failures_until_the_first_answer() {
    let mut health = StoreHealth::new();
    for call in 0..3 {
        assert!(!health.is_unreachable(at(call * 10)));
        health.record_call(false, at(call * 10));
    }
    assert!(health.is_unreachable(at(30)));
    // Meanwhile, a follower's poll fails every 0.4 s.
    for poll in 1..20 {
        assert!(health.is_unreachable(at(poll * 400)));
        health.record_call(false, at(poll * 400));
    }
    health.record_call(true, at(8000));
    assert!(!health.is_unreachable(at(8000)));
}

#[test]
fn store_is_tried_again_after_a_time_without_failures() {
    let mut health = StoreHealth::new();
    for call in 0..9 {
        health.record_call(false, at(call));
    }
    assert!(health.is_unreachable(at(1000)));
    assert!(!health.is_unreachable(at(2000)));
}

/// A request is reported as refused only if no attempt may have been carried out.
#[rstest]
#[case(
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Unknown
)]
#[case(
    DeliveryOutcome::Refused,
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Unknown
)]
#[case(
    DeliveryOutcome::Refused,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Refused
)]
#[case(
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Answered,
    DeliveryOutcome::Answered
)]
#[case(
    DeliveryOutcome::Answered,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Answered
)]
fn request_with_a_lost_answer_is_never_reported_as_refused(
    #[case] first: DeliveryOutcome,
    #[case] next: DeliveryOutcome,
    #[case] combined: DeliveryOutcome,
) {
    assert_eq!(first.combine(next), combined);
}

proptest! {
    /// A store that loses a third of its answers still counts as reachable for most calls.
    #[test]
    fn lost_answers_rarely_look_like_an_outage(seed in any::<u64>()) {
        let mut random = turmeric_types::SplitMixRandom::new(seed);
        let mut health = StoreHealth::new();
        let mut unreachable = 0;
        for call in 0..1000_u64 {
            unreachable += u32::from(health.is_unreachable(at(call * 50)));
            health.record_call(random.next_below(100) >= 30, at(call * 50));
        }
        prop_assert!(unreachable < 100, "{unreachable} of 1000");
    }

    /// After any sequence of calls, one answer is enough.
    #[test]
    fn one_answer_makes_the_store_reachable(calls in prop::collection::vec(any::<bool>(), 0..50)) {
        let mut health = StoreHealth::new();
        for (number, is_answered) in calls.iter().enumerate() {
            health.record_call(*is_answered, at(number as u64 * 10));
        }
        health.record_call(true, at(1000));
        prop_assert!(!health.is_unreachable(at(1000) .after(Duration::from_millis(1))));
    }
}
