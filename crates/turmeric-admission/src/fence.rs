//! Which attempts an agent has seen, and which it will never admit.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{Incarnation, RefusalProof, RequestId, WallTime};

use crate::CLOCK_SKEW;

/// Attempts older than this are refused unseen, so that memory stays bounded.
pub const FENCE_TERM: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Fenced,
    Admitted,
    Finished,
}

/// What an agent says when an attempt arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// The attempt may run.
    Admitted,
    /// The attempt was fenced or is too old; it never runs.
    Refused(RefusalProof),
    /// A copy of an attempt that was admitted already.
    Duplicate,
}

/// What an agent says when an entry asks about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// The attempt had not arrived and is refused from now on.
    Fenced(RefusalProof),
    /// The attempt is queued or running.
    Running,
    /// The attempt was answered; the answer was lost on the way.
    Finished,
}

/// The attempts that one life of an agent has seen or fenced.
#[derive(Debug)]
pub struct RequestFence {
    incarnation: Incarnation,
    /// Attempts made earlier may have been admitted by an earlier life.
    trusted_from: WallTime,
    attempts: BTreeMap<RequestId, AttemptState>,
}

/// Returns when the entry made the attempt, from its version 7 identifier.
fn made_at(request: RequestId) -> WallTime {
    // An identifier of another version is as old as can be, so it is refused.
    request.made_at().unwrap_or_default()
}

impl RequestFence {
    /// Creates the fence of one life of an agent, which began at `started_at`.
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
        self.forget_old(now);
        match self.attempts.get(&request) {
            Some(AttemptState::Fenced) => AdmitDecision::Refused(self.proof()),
            Some(_) => AdmitDecision::Duplicate,
            None if made_at(request).after(FENCE_TERM) <= now => {
                AdmitDecision::Refused(self.proof())
            }
            None => {
                self.attempts.insert(request, AttemptState::Admitted);
                AdmitDecision::Admitted
            }
        }
    }

    /// Gives back an attempt that was admitted but certainly did not run.
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

    /// Answers an entry that hears nothing of its attempt.
    pub fn probe(&mut self, request: RequestId, now: WallTime) -> ProbeAnswer {
        self.forget_old(now);
        match self.attempts.get(&request) {
            Some(AttemptState::Admitted) => ProbeAnswer::Running,
            Some(AttemptState::Finished) => ProbeAnswer::Finished,
            Some(AttemptState::Fenced) => ProbeAnswer::Fenced(self.proof()),
            // Of these nothing is known, as if the answer had been lost.
            None if made_at(request) < self.trusted_from => ProbeAnswer::Finished,
            None if made_at(request).after(FENCE_TERM) <= now => ProbeAnswer::Finished,
            None => ProbeAnswer::Fenced(self.refuse(request)),
        }
    }

    fn forget_old(&mut self, now: WallTime) {
        while let Some((request, state)) = self.attempts.first_key_value() {
            let is_old = made_at(*request).after(FENCE_TERM) <= now;
            if !is_old || *state == AttemptState::Admitted {
                return;
            }
            self.attempts.pop_first();
        }
    }
}
