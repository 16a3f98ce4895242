//! At most one attempt runs with a key, in any order of claims and answers.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turmeric_admission::{
    CLOCK_SKEW, ClaimDecision, KEY_WINDOW, KeyLedger, RecordedAnswer, RequestFingerprint,
};
use turmeric_types::{IdempotencyKey, RequestId, WallTime};

const START: WallTime = WallTime::from_millis(1_000_000);
const FINGERPRINT: RequestFingerprint = RequestFingerprint(7);

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
    /// The home agent restarts without its ledger.
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
    fn at_most_one_attempt_is_granted_a_key(
        events in proptest::collection::vec(event(), 1..200),
        offsets in proptest::collection::vec(0..200_000_u64, 6),
    ) {
        let mut now = START;
        let mut ledger = KeyLedger::new(now);
        let keys: Vec<IdempotencyKey> = offsets
            .iter()
            .enumerate()
            .map(|(number, offset)| {
                IdempotencyKey::new(
                    START.after(Duration::from_millis(*offset)),
                    (number as u128) << 64,
                )
            })
            .collect();
        let mut granted: BTreeMap<IdempotencyKey, u128> = BTreeMap::new();
        for event in events {
            match event {
                KeyEvent::Pass(millis) => now = now.after(Duration::from_millis(millis)),
                KeyEvent::Claim { key, request } => {
                    let decision =
                        ledger.claim(keys[key], FINGERPRINT, RequestId::new(request), now);
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
fn restarted_home_agent_answers_unknown_for_keys_it_may_have_granted() {
    let mut ledger = KeyLedger::new(START);
    let late = START.after(Duration::from_secs(10));
    let request = RequestId::new(1);
    let doubtful = 2 * CLOCK_SKEW.as_millis() as u64 - 1;
    let decision = ledger.claim(key_at(doubtful), FINGERPRINT, request, late);
    assert_eq!(decision, ClaimDecision::Unknown);
    let decision = ledger.claim(key_at(doubtful + 1), FINGERPRINT, request, late);
    assert_eq!(decision, ClaimDecision::Granted);
}

#[test]
fn released_key_can_be_claimed_again() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    let key = key_at(4000);
    ledger.claim(key, FINGERPRINT, RequestId::new(1), now);
    ledger.release(key, RequestId::new(2));
    let second = ledger.claim(key, FINGERPRINT, RequestId::new(2), now);
    assert_eq!(
        second,
        ClaimDecision::InProgress,
        "only the holder can release a key"
    );
    ledger.release(key, RequestId::new(1));
    let second = ledger.claim(key, FINGERPRINT, RequestId::new(2), now);
    assert_eq!(second, ClaimDecision::Granted);
}

#[test]
fn key_used_for_another_request_is_a_mismatch() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    ledger.claim(key_at(4000), FINGERPRINT, RequestId::new(1), now);
    let other = ledger.claim(key_at(4000), RequestFingerprint(8), RequestId::new(2), now);
    assert_eq!(other, ClaimDecision::Mismatch);
}

#[test]
fn expired_keys_are_refused_and_removed() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    for number in 0..1000 {
        let key = IdempotencyKey::new(now, number << 64);
        ledger.claim(key, FINGERPRINT, RequestId::new(number), now);
    }
    assert_eq!(ledger.len(), 1000);
    let later = now.after(KEY_WINDOW);
    let expired = ledger.claim(key_at(5000), FINGERPRINT, RequestId::new(1), later);
    assert_eq!(expired, ClaimDecision::Expired);
    assert!(ledger.is_empty());
}

#[test]
fn oldest_answers_are_dropped_beyond_the_limit_but_their_keys_are_kept() {
    let mut ledger = KeyLedger::new(START);
    let now = START.after(Duration::from_secs(5));
    let keys: Vec<IdempotencyKey> = (0..600_u128)
        .map(|number| IdempotencyKey::new(now, number << 64))
        .collect();
    for key in &keys {
        ledger.claim(*key, FINGERPRINT, RequestId::new(1), now);
        let answer = RecordedAnswer {
            status: 200,
            body: vec![0; 32 << 10],
        };
        ledger.record(*key, RequestId::new(1), Some(answer));
    }
    let kept = |ledger: &mut KeyLedger, key| {
        let decision = ledger.claim(key, FINGERPRINT, RequestId::new(2), now);
        matches!(decision, ClaimDecision::Answered(_))
    };
    let count = keys.iter().filter(|key| kept(&mut ledger, **key)).count();
    assert_eq!(count, 256, "8 MiB hold 256 answers of 32 KiB");
    let first = ledger.claim(keys[0], FINGERPRINT, RequestId::new(2), now);
    assert_eq!(
        first,
        ClaimDecision::Unknown,
        "the oldest answer is dropped"
    );
}
