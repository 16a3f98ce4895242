//! Errors of calls to a worker.

use std::fmt;

/// Why a call to the worker gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused; nothing was changed.
    Refused {
        /// The worker's reason.
        reason: String,
    },
    /// No answer came; the call may have taken effect.
    Unknown {
        /// What was seen instead of an answer.
        message: String,
    },
}

impl fmt::Display for WorkerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { reason } => write!(formatter, "the worker refused: {reason}"),
            Self::Unknown { message } => write!(
                formatter,
                "no answer from the worker, the call may have taken effect: {message}"
            ),
        }
    }
}

impl std::error::Error for WorkerError {}
