//! Outcomes of requests, and the proof that a request did not run.

use std::fmt;

use crate::Incarnation;

/// Proof that a request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalProof {
    /// The request never left this process.
    NeverSent,
    /// The endpoint's agent refused the request before admission, or fenced its
    /// identifier so that a late copy is refused too.
    FencedByAgent {
        /// The incarnation of the agent that refused or fenced it.
        incarnation: Incarnation,
    },
}

impl fmt::Display for RefusalProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverSent => formatter.write_str("never-sent"),
            Self::FencedByAgent { incarnation } => {
                write!(formatter, "fenced-by-agent;incarnation={incarnation}")
            }
        }
    }
}

/// Outcome of one attempt to get a request served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome<A> {
    /// The endpoint responded.
    Answered(A),
    /// The request did not run and will not run.
    NotRun(RefusalProof),
    /// The request may have run.
    Unknown,
}

impl<A> RequestOutcome<A> {
    /// Returns the outcome of a request of which an earlier attempt may have run.
    ///
    /// If the last attempt did not run, that says nothing about the earlier one.
    pub fn after_unknown(self) -> Self {
        match self {
            Self::NotRun(_) => Self::Unknown,
            other => other,
        }
    }

    /// Returns whether the request may be retried.
    ///
    /// A request that is not idempotent must not run twice; an idempotent one may.
    pub fn may_retry(&self, is_idempotent: bool) -> bool {
        match self {
            Self::Answered(_) => false,
            Self::NotRun(_) => true,
            Self::Unknown => is_idempotent,
        }
    }
}
