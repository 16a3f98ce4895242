//! The ledger of idempotency keys at their home.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{IdempotencyKey, RequestId, WallTime};

/// Most by which the clocks of callers, and of VMs, differ.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time for which a key can be used after its creation.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);

/// Keys that one home keeps at most.
const KEY_LIMIT: usize = 100_000;

/// Bytes of answers that one home keeps at most.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Longest answer that a home keeps.
const ANSWER_BODY_LIMIT_BYTES: usize = 32 << 10;

/// A digest that tells whether two requests with one key are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprint(pub u64);

/// An answer kept for a caller who asks again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
enum KeyState {
    Granted { request: RequestId },
    Answered(RecordedAnswer),
    Spent,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    print: RequestFingerprint,
    state: KeyState,
}

/// What the home says to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claimant alone may run the request.
    Granted,
    /// Another claimant holds the key; the request may be running.
    InProgress,
    /// The request ran and this was the answer.
    Answered(RecordedAnswer),
    /// The request may have run; the answer is not kept.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The key is older than the window.
    Expired,
    /// The key was made in the future.
    Future,
    /// The home keeps as many keys as it can; the request did not run.
    Full,
}

/// The keys that one life of a home has granted.
///
/// Keys sort by their creation time, so the oldest are forgotten first.
#[derive(Debug)]
pub struct KeyLedger {
    trusted_from: WallTime,
    entries: BTreeMap<IdempotencyKey, KeyEntry>,
    answer_bytes: usize,
    /// Keys with a kept answer, oldest first.
    answered: BTreeSet<IdempotencyKey>,
}

impl KeyLedger {
    /// Creates the ledger of a home that started at `started_at`.
    ///
    /// An earlier life may have granted any key that was made before then,
    /// or one skew after by the caller's clock and one by the VM's.
    pub fn new(started_at: WallTime) -> Self {
        Self {
            trusted_from: started_at.after(CLOCK_SKEW).after(CLOCK_SKEW),
            entries: BTreeMap::new(),
            answer_bytes: 0,
            answered: BTreeSet::new(),
        }
    }

    /// Returns how many keys are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides whether `request` may run under `key`.
    pub fn claim(
        &mut self,
        key: IdempotencyKey,
        print: RequestFingerprint,
        request: RequestId,
        now: WallTime,
    ) -> ClaimDecision {
        self.forget_old(now);
        if key.created_at() > now.after(CLOCK_SKEW) {
            return ClaimDecision::Future;
        }
        if key.created_at().after(KEY_WINDOW) <= now {
            return ClaimDecision::Expired;
        }
        if let Some(entry) = self.entries.get(&key) {
            return decide_known(entry, print, request);
        }
        if key.created_at() < self.trusted_from {
            return ClaimDecision::Unknown;
        }
        if self.entries.len() >= KEY_LIMIT {
            return ClaimDecision::Full;
        }
        let state = KeyState::Granted { request };
        self.entries.insert(key, KeyEntry { print, state });
        ClaimDecision::Granted
    }

    /// Gives a key back whose holder has proof that the request did not run.
    pub fn release(&mut self, key: IdempotencyKey, request: RequestId) {
        if self.is_held_by(key, request) {
            self.entries.remove(&key);
        }
    }

    /// Records the answer, or that the answer is not known.
    pub fn record(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        answer: Option<RecordedAnswer>,
    ) {
        if !self.is_held_by(key, request) {
            return;
        }
        let state = match answer {
            Some(answer) if answer.body.len() <= ANSWER_BODY_LIMIT_BYTES => {
                self.answer_bytes += answer.body.len();
                self.answered.insert(key);
                KeyState::Answered(answer)
            }
            _ => KeyState::Spent,
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = state;
        }
        self.drop_answers();
    }

    fn is_held_by(&self, key: IdempotencyKey, request: RequestId) -> bool {
        self.entries.get(&key).is_some_and(|entry| {
            matches!(entry.state, KeyState::Granted { request: holder } if holder == request)
        })
    }

    fn forget_old(&mut self, now: WallTime) {
        while let Some((key, _)) = self.entries.first_key_value() {
            if key.created_at().after(KEY_WINDOW) > now {
                return;
            }
            if let Some((key, entry)) = self.entries.pop_first() {
                self.answer_bytes -= answer_length(&entry);
                self.answered.remove(&key);
            }
        }
    }

    /// Drops the oldest answers, but never the keys, over the limit of bytes.
    fn drop_answers(&mut self) {
        while self.answer_bytes > ANSWER_LIMIT_BYTES {
            let Some(key) = self.answered.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.answer_bytes -= answer_length(entry);
                entry.state = KeyState::Spent;
            }
        }
    }
}

fn answer_length(entry: &KeyEntry) -> usize {
    match &entry.state {
        KeyState::Answered(answer) => answer.body.len(),
        KeyState::Granted { .. } | KeyState::Spent => 0,
    }
}

fn decide_known(entry: &KeyEntry, print: RequestFingerprint, request: RequestId) -> ClaimDecision {
    if entry.print != print {
        return ClaimDecision::Mismatch;
    }
    match &entry.state {
        KeyState::Granted { request: holder } if *holder == request => ClaimDecision::Granted,
        KeyState::Granted { .. } => ClaimDecision::InProgress,
        KeyState::Answered(answer) => ClaimDecision::Answered(answer.clone()),
        KeyState::Spent => ClaimDecision::Unknown,
    }
}
