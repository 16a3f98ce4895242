//! Admits each attempt of a request at most once, and none that was fenced.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{Incarnation, RefusalProof, RequestId, WallTime};

use crate::CLOCK_SKEW;

/// Age at which a finished or fenced attempt is forgotten.
///
/// Unknown attempts of this age are refused, so that memory stays bounded.
pub const FENCE_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Fenced,
    Admitted,
    Finished,
}

/// Decision of an agent on an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// The attempt may run.
    Admitted,
    /// The attempt was fenced or is too old; it will never run.
    Refused(RefusalProof),
    /// The attempt was already admitted; this is a copy of it.
    Duplicate,
}

/// Answer of an agent to an entry that asks about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// The attempt had not arrived; it is refused if it arrives later.
    Fenced(RefusalProof),
    /// The attempt is queued or running.
    Running,
    /// The attempt was answered, or may have been; the answer is lost.
    Finished,
}

/// The attempts that one incarnation of an agent has admitted or fenced.
#[derive(Debug)]
pub struct RequestFence {
    incarnation: Incarnation,
    /// Attempts created before this time may have been admitted by an earlier
    /// incarnation.
    trusted_from: WallTime,
    attempts: BTreeMap<RequestId, AttemptState>,
}

/// Returns when the entry created the attempt, from its version 7 identifier.
fn creation_time(request: RequestId) -> WallTime {
    // An identifier of another version counts as created at time zero, so that
    // it is refused.
    request.made_at().unwrap_or_default()
}

impl RequestFence {
    /// Creates the fence of an agent incarnation that started at `started_at`.
    pub fn new(incarnation: Incarnation, started_at: WallTime) -> Self {
        Self {
            incarnation,
            trusted_from: started_at.after(CLOCK_SKEW).after(CLOCK_SKEW),
            attempts: BTreeMap::new(),
        }
    }

    /// Returns how many attempts are kept.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt is kept.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn proof(&self) -> RefusalProof {
        RefusalProof::FencedByAgent {
            incarnation: self.incarnation,
        }
    }

    /// Decides on an attempt that has arrived.
    pub fn admit(&mut self, request: RequestId, now: WallTime) -> AdmitDecision {
        self.remove_expired(now);
        match self.attempts.get(&request) {
            Some(AttemptState::Fenced) => AdmitDecision::Refused(self.proof()),
            Some(_) => AdmitDecision::Duplicate,
            None if creation_time(request).after(FENCE_RETENTION) <= now => {
                AdmitDecision::Refused(self.proof())
            }
            None => {
                self.attempts.insert(request, AttemptState::Admitted);
                AdmitDecision::Admitted
            }
        }
    }

    /// Withdraws the admission of an attempt that certainly did not run.
    ///
    /// The attempt is fenced, so that a late copy does not run either.
    pub fn refuse(&mut self, request: RequestId) -> RefusalProof {
        self.attempts.insert(request, AttemptState::Fenced);
        self.proof()
    }

    /// Records that an attempt was answered.
    pub fn finish(&mut self, request: RequestId) {
        if let Some(state) = self.attempts.get_mut(&request)
            && *state == AttemptState::Admitted
        {
            *state = AttemptState::Finished;
        }
    }

    /// Answers an entry that has no answer to its attempt, and fences the
    /// attempt if it has not arrived.
    pub fn probe(&mut self, request: RequestId, now: WallTime) -> ProbeAnswer {
        self.remove_expired(now);
        match self.attempts.get(&request) {
            Some(AttemptState::Admitted) => ProbeAnswer::Running,
            Some(AttemptState::Finished) => ProbeAnswer::Finished,
            Some(AttemptState::Fenced) => ProbeAnswer::Fenced(self.proof()),
            // Nothing is known of these attempts: they may have run, so they count
            // as answered with the answer lost.
            None if creation_time(request) < self.trusted_from => ProbeAnswer::Finished,
            None if creation_time(request).after(FENCE_RETENTION) <= now => ProbeAnswer::Finished,
            None => ProbeAnswer::Fenced(self.refuse(request)),
        }
    }

    fn remove_expired(&mut self, now: WallTime) {
        while let Some((request, state)) = self.attempts.first_key_value() {
            let is_expired = creation_time(*request).after(FENCE_RETENTION) <= now;
            if !is_expired || *state == AttemptState::Admitted {
                return;
            }
            self.attempts.pop_first();
        }
    }
}
