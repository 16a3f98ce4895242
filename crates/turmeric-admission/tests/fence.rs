//! Decisions of an agent on attempts that arrive late, twice or never.

use std::time::Duration;

use proptest::prelude::*;
use turmeric_admission::{AdmitDecision, FENCE_RETENTION, ProbeAnswer, RequestFence, RetryBudget};
use turmeric_types::{Incarnation, RequestId, WallTime};

/// Start of the agent, 100 seconds before `NOW`.
const START: WallTime = WallTime::from_millis(900_000);
const NOW: WallTime = WallTime::from_millis(1_000_000);

fn request(millis: u64, number: u128) -> RequestId {
    RequestId::new((u128::from(millis) << 80) | (7 << 76) | number)
}

proptest! {
    #[test]
    fn attempt_is_admitted_once_and_never_after_it_was_fenced(
        steps in proptest::collection::vec((0..4_u128, 0..4_u8, 0..60_000_u64), 1..200),
    ) {
        let mut fence = RequestFence::new(Incarnation::new(1), START);
        let mut now = NOW;
        let mut admitted = std::collections::BTreeSet::new();
        let mut fenced = std::collections::BTreeSet::new();
        for (number, kind, pass) in steps {
            now = now.after(Duration::from_millis(pass / 10));
            let id = request(NOW.as_millis(), number);
            match kind {
                0 | 1 => if fence.admit(id, now) == AdmitDecision::Admitted {
                    prop_assert!(!fenced.contains(&id), "a fenced attempt was admitted");
                    prop_assert!(admitted.insert(id), "an attempt was admitted twice");
                },
                2 => if let ProbeAnswer::Fenced(_) = fence.probe(id, now) {
                    prop_assert!(!admitted.contains(&id), "an admitted attempt was fenced");
                    fenced.insert(id);
                },
                _ => fence.finish(id),
            }
        }
    }
}

#[test]
fn old_attempts_are_removed_and_refused() {
    let mut fence = RequestFence::new(Incarnation::new(1), START);
    for number in 0..10_000 {
        let id = request(NOW.as_millis(), number);
        fence.admit(id, NOW);
        fence.finish(id);
    }
    let later = NOW.after(FENCE_RETENTION);
    assert!(matches!(
        fence.admit(request(NOW.as_millis(), 5), later),
        AdmitDecision::Refused(_)
    ));
    assert!(fence.is_empty());
}

#[test]
fn retries_are_at_most_a_tenth_of_requests_plus_one() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(retries <= 101, "{retries} retries for 1000 requests");
}

#[test]
fn restarted_agent_fences_no_attempt_that_its_earlier_incarnation_may_have_admitted() {
    let mut fence = RequestFence::new(Incarnation::new(2), NOW);
    let before = request(NOW.as_millis() - 10, 1);
    let now = NOW.after(Duration::from_millis(50));
    assert_eq!(fence.probe(before, now), ProbeAnswer::Finished);
    let late = NOW.after(Duration::from_secs(5));
    let after = request(late.as_millis(), 2);
    assert!(matches!(fence.probe(after, late), ProbeAnswer::Fenced(_)));
}
