//! The ledger of idempotency keys that their home agent keeps.
//!
//! The home agent of a key decides which attempt may run a request with it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{IdempotencyKey, RequestId, WallTime};

/// Largest clock skew of callers, and of VMs.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time for which a key can be used after its creation.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);

/// Most keys that a home agent keeps.
const KEY_LIMIT: usize = 100_000;

/// Most bytes of answers that a home agent keeps.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Longest answer that a home agent keeps.
const ANSWER_BODY_LIMIT_BYTES: usize = 32 << 10;

/// A digest of a request, to detect a key that is used for different requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprint(pub u64);

/// An answer kept for a caller that retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
enum KeyState {
    Granted {
        request: RequestId,
    },
    Answered(RecordedAnswer),
    /// The request may have run; its answer is not kept.
    Spent,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    fingerprint: RequestFingerprint,
    state: KeyState,
}

/// Decision of the home agent on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claimant, and no other, may run the request.
    Granted,
    /// Another claimant holds the key; the request may be running.
    InProgress,
    /// The request ran; this is its answer.
    Answered(RecordedAnswer),
    /// The request may have run; its answer is not known.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The key is older than [`KEY_WINDOW`].
    Expired,
    /// The creation time of the key is in the future.
    Future,
    /// The ledger is full; the request did not run.
    Full,
}

/// The keys that one incarnation of a home agent has granted.
///
/// Keys sort by their creation time, so the oldest are removed first.
#[derive(Debug)]
pub struct KeyLedger {
    /// Keys created before this time may have been granted by an earlier
    /// incarnation.
    trusted_from: WallTime,
    entries: BTreeMap<IdempotencyKey, KeyEntry>,
    answer_bytes: usize,
    /// Keys with a kept answer, oldest first.
    answered: BTreeSet<IdempotencyKey>,
}

impl KeyLedger {
    /// Creates the ledger of a home agent that started at `started_at`.
    ///
    /// An earlier incarnation may have granted keys with creation times of up to
    /// two skews after `started_at`: one of the caller's clock and one of the VM's.
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
        fingerprint: RequestFingerprint,
        request: RequestId,
        now: WallTime,
    ) -> ClaimDecision {
        self.remove_expired(now);
        if key.created_at() > now.after(CLOCK_SKEW) {
            return ClaimDecision::Future;
        }
        if key.created_at().after(KEY_WINDOW) <= now {
            return ClaimDecision::Expired;
        }
        if let Some(entry) = self.entries.get(&key) {
            return decide_known(entry, fingerprint, request);
        }
        if key.created_at() < self.trusted_from {
            return ClaimDecision::Unknown;
        }
        if self.entries.len() >= KEY_LIMIT {
            return ClaimDecision::Full;
        }
        let state = KeyState::Granted { request };
        self.entries.insert(key, KeyEntry { fingerprint, state });
        ClaimDecision::Granted
    }

    /// Removes a key whose holder has proof that the request did not run.
    pub fn release(&mut self, key: IdempotencyKey, request: RequestId) {
        if self.is_held_by(key, request) {
            self.entries.remove(&key);
        }
    }

    /// Records the answer, or with [`None`] that it is not known.
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

    fn remove_expired(&mut self, now: WallTime) {
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

    /// Drops the oldest answers, but not their keys, beyond [`ANSWER_LIMIT_BYTES`].
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

fn decide_known(
    entry: &KeyEntry,
    fingerprint: RequestFingerprint,
    request: RequestId,
) -> ClaimDecision {
    if entry.fingerprint != fingerprint {
        return ClaimDecision::Mismatch;
    }
    match &entry.state {
        KeyState::Granted { request: holder } if *holder == request => ClaimDecision::Granted,
        KeyState::Granted { .. } => ClaimDecision::InProgress,
        KeyState::Answered(answer) => ClaimDecision::Answered(answer.clone()),
        KeyState::Spent => ClaimDecision::Unknown,
    }
}
