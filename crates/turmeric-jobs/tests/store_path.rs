//! When an entry holds its path to the store for lost.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_jobs::{DeliveryOutcome, StoreHealth};
use turmeric_types::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn an_outage_is_noticed_after_three_calls_and_ends_with_the_first_answer() {
    let mut path = StoreHealth::new();
    for call in 0..3 {
        assert!(!path.is_lost(at(call * 10)));
        path.note_call(false, at(call * 10));
    }
    assert!(path.is_lost(at(30)));
    // A follower's poll fails every 0.4 s meanwhile.
    for poll in 1..20 {
        assert!(path.is_lost(at(poll * 400)));
        path.note_call(false, at(poll * 400));
    }
    path.note_call(true, at(8000));
    assert!(!path.is_lost(at(8000)));
}

#[test]
fn a_path_that_nobody_tries_is_not_held_for_lost() {
    let mut path = StoreHealth::new();
    for call in 0..9 {
        path.note_call(false, at(call));
    }
    assert!(path.is_lost(at(1000)));
    assert!(!path.is_lost(at(2000)));
}

/// A refusal is told only when no try may have been carried out.
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
    DeliveryOutcome::Settled,
    DeliveryOutcome::Settled
)]
#[case(
    DeliveryOutcome::Settled,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Settled
)]
fn a_lost_answer_is_never_told_as_a_refusal(
    #[case] first: DeliveryOutcome,
    #[case] next: DeliveryOutcome,
    #[case] known: DeliveryOutcome,
) {
    assert_eq!(first.and_then(next), known);
}

proptest! {
    /// A store that loses a third of its answers keeps most jobs.
    #[test]
    fn lost_answers_alone_seldom_look_like_an_outage(seed in any::<u64>()) {
        let mut random = turmeric_types::SplitMixRandom::new(seed);
        let mut path = StoreHealth::new();
        let mut lost = 0;
        for call in 0..1000_u64 {
            lost += u32::from(path.is_lost(at(call * 50)));
            path.note_call(random.next_below(100) >= 30, at(call * 50));
        }
        prop_assert!(lost < 100, "{lost} of 1000");
    }

    /// Whatever came before, one answer is enough.
    #[test]
    fn an_answer_always_regains_the_path(calls in prop::collection::vec(any::<bool>(), 0..50)) {
        let mut path = StoreHealth::new();
        for (number, is_answered) in calls.iter().enumerate() {
            path.note_call(*is_answered, at(number as u64 * 10));
        }
        path.note_call(true, at(1000));
        prop_assert!(!path.is_lost(at(1000) .after(Duration::from_millis(1))));
    }
}
