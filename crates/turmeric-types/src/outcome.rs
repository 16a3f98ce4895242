//! What became of a request, and the proof that a refusal needs.

use std::fmt;

use crate::Incarnation;

/// Why a request certainly did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalProof {
    /// It never left this process.
    NeverSent,
    /// The endpoint's agent refused it before admission, or fenced its
    /// identifier so that a late copy is refused too.
    FencedByAgent {
        /// The life of the agent that fenced it.
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

/// What became of one attempt to have a request served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome<A> {
    /// The endpoint answered.
    Answered(A),
    /// The request did not run and will not run.
    NotRun(RefusalProof),
    /// The request may have run.
    Unknown,
}

impl<A> RequestOutcome<A> {
    /// Returns what is known of a request whose earlier attempt may have run.
    ///
    /// That the last attempt did not run proves nothing of the earlier one.
    pub fn after_unknown(self) -> Self {
        match self {
            Self::NotRun(_) => Self::Unknown,
            other => other,
        }
    }

    /// Returns whether another attempt cannot run the request twice.
    ///
    /// An idempotent request may run twice without harm.
    pub fn may_retry(&self, is_idempotent: bool) -> bool {
        match self {
            Self::Answered(_) => false,
            Self::NotRun(_) => true,
            Self::Unknown => is_idempotent,
        }
    }
}
