//! Errors of calls to a worker.

use std::fmt;

/// Reason why a call to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused the call; nothing was changed.
    Refused {
        /// Reason that the worker gave.
        reason: String,
    },
    /// No usable response arrived; the call may have taken effect.
    Unknown {
        /// Transport, encoding or decoding error, timeout, or unexpected status.
        message: String,
    },
}

impl fmt::Display for WorkerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { reason } => write!(formatter, "the worker refused the call: {reason}"),
            Self::Unknown { message } => write!(
                formatter,
                "no usable response from the worker; the call may have taken effect: {message}"
            ),
        }
    }
}

impl std::error::Error for WorkerError {}
