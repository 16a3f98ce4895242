//! At most one attempt runs under a key, whatever is asked in which order.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turmeric_admission::{
    CLOCK_SKEW, ClaimDecision, KEY_WINDOW, KeyLedger, RecordedAnswer, RequestFingerprint,
};
use turmeric_types::{IdempotencyKey, RequestId, WallTime};

const START: WallTime = WallTime::from_millis(1_000_000);
const PRINT: RequestFingerprint = RequestFingerprint(7);

#[derive(Clone, Debug)]
enum KeyEvent {
    Pass(u64),
    Claim {
        key: usize,
        request: u128,
    },
    Answer {
        key: usize,
        request: u128,
    },
    Spend {
        key: usize,
        request: u128,
    },
    /// The home restarts with empty memory.
    Restart,
}

fn event() -> impl Strategy<Value = KeyEvent> {
    prop_oneof![
        4 => (0..5_000_u64).prop_map(KeyEvent::Pass),
        8 => (0..6_usize, 0..4_u128).prop_map(|(key, request)| KeyEvent::Claim { key, request }),
        2 => (0..6_usize, 0..4_u128).prop_map(|(key, request)| KeyEvent::Answer { key, request }),
        2 => (0..6_usize, 0..4_u128).prop_map(|(key, request)| KeyEvent::Spend { key, request }),
        1 => Just(KeyEvent::Restart),
        1 => (100_000..700_000_u64).prop_map(KeyEvent::Pass),
    ]
}

proptest! {
    #[test]
    fn one_attempt_at_most_is_granted_a_key(
        events in proptest::collection::vec(event(), 1..200),
        offsets in proptest::collection::vec(0..200_000_u64, 6),
    ) {
        let mut now = START;
        let mut ledger = KeyLedger::new(now);
        let keys: Vec<IdempotencyKey> = offsets
            .iter()
            .enumerate()
            .map(|(place, offset)| {
                IdempotencyKey::new(START.after(Duration::from_millis(*offset)), (place as u128) << 64)
            })
            .collect();
        let mut granted: BTreeMap<IdempotencyKey, u128> = BTreeMap::new();
        for event in events {
            match event {
                KeyEvent::Pass(millis) => now = now.after(Duration::from_millis(millis)),
                KeyEvent::Claim { key, request } => {
                    let decision = ledger.claim(keys[key], PRINT, RequestId::new(request), now);
                    if decision == ClaimDecision::Granted {
                        let holder = *granted.entry(keys[key]).or_insert(request);
                        prop_assert_eq!(holder, request, "a second attempt was granted the key");
                    }
                }
                KeyEvent::Answer { key, request } => {
                    let answer = RecordedAnswer { status: 200, body: vec![key as u8] };
                    ledger.record(keys[key], RequestId::new(request), Some(answer));
                }
                KeyEvent::Spend { key, request } => {
                    ledger.record(keys[key], RequestId::new(request), None);
                }
                KeyEvent::Restart => ledger = KeyLedger::new(now),
            }
        }
    }
}

fn key_at(millis_after_start: u64) -> IdempotencyKey {
    IdempotencyKey::new(
        START.after(Duration::from_millis(millis_after_start)),
        1 << 100,
    )
}

#[test]
fn a_restarted_home_says_unknown_to_keys_it_may_have_granted() {
    let mut ledger = KeyLedger::new(START);
    let late = START.after(Duration::from_secs(10));
    let request = RequestId::new(1);
    let doubtful = 2 * CLOCK_SKEW.as_millis() as u64 - 1;
    let decision = ledger.claim(key_at(doubtful), PRINT, request, late);
    assert_eq!(decision, ClaimDecision::Unknown);
    let decision = ledger.claim(key_at(doubtful + 1), PRINT, request, late);
    assert_eq!(decision, ClaimDecision::Granted);
}

#[test]
fn a_released_key_may_be_claimed_again() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    let key = key_at(4000);
    ledger.claim(key, PRINT, RequestId::new(1), now);
    ledger.release(key, RequestId::new(2));
    let second = ledger.claim(key, PRINT, RequestId::new(2), now);
    assert_eq!(
        second,
        ClaimDecision::InProgress,
        "only the holder releases"
    );
    ledger.release(key, RequestId::new(1));
    let second = ledger.claim(key, PRINT, RequestId::new(2), now);
    assert_eq!(second, ClaimDecision::Granted);
}

#[test]
fn a_key_of_another_request_is_told_so() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    ledger.claim(key_at(4000), PRINT, RequestId::new(1), now);
    let other = ledger.claim(key_at(4000), RequestFingerprint(8), RequestId::new(2), now);
    assert_eq!(other, ClaimDecision::Mismatch);
}

#[test]
fn old_keys_expire_and_leave_no_memory() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    for place in 0..1000 {
        let key = IdempotencyKey::new(now, place << 64);
        ledger.claim(key, PRINT, RequestId::new(place), now);
    }
    assert_eq!(ledger.len(), 1000);
    let later = now.after(KEY_WINDOW);
    let expired = ledger.claim(key_at(5000), PRINT, RequestId::new(1), later);
    assert_eq!(expired, ClaimDecision::Expired);
    assert!(ledger.is_empty());
}

#[test]
fn answers_stay_within_their_limit_and_keys_stay_spent() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    let keys: Vec<IdempotencyKey> = (0..600_u128)
        .map(|place| IdempotencyKey::new(now, place << 64))
        .collect();
    for key in &keys {
        ledger.claim(*key, PRINT, RequestId::new(1), now);
        let answer = RecordedAnswer {
            status: 200,
            body: vec![0; 32 << 10],
        };
        ledger.record(*key, RequestId::new(1), Some(answer));
    }
    let kept = |ledger: &mut KeyLedger, key| {
        let decision = ledger.claim(key, PRINT, RequestId::new(2), now);
        matches!(decision, ClaimDecision::Answered(_))
    };
    let count = keys.iter().filter(|key| kept(&mut ledger, **key)).count();
    assert_eq!(count, 256, "8 MiB hold 256 answers of 32 KiB");
    let first = ledger.claim(keys[0], PRINT, RequestId::new(2), now);
    assert_eq!(
        first,
        ClaimDecision::Unknown,
        "the oldest answer is dropped"
    );
}
