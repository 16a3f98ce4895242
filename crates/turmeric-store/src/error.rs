//! Errors of the platform's services.

use std::fmt;

/// Why an operation on the platform's services gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// A condition of the transaction does not hold; nothing was changed.
    Conflict {
        /// The first key whose condition failed.
        key: String,
    },
    /// The service is over its rate; nothing was changed.
    Throttled,
    /// The service refused the operation before it took effect.
    Unavailable {
        /// What the service said.
        message: String,
    },
    /// No answer came; the operation may have taken effect.
    Unknown {
        /// What was seen instead of an answer.
        message: String,
    },
    /// The answer could not be read.
    Malformed {
        /// What was wrong with it.
        message: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { key } => write!(formatter, "the condition on row {key} does not hold"),
            Self::Throttled => formatter.write_str("the platform's service is over its rate"),
            Self::Unavailable { message } => {
                write!(formatter, "the platform's service refused: {message}")
            }
            Self::Unknown { message } => write!(
                formatter,
                "no answer from the platform's service, the operation may have taken effect: {message}"
            ),
            Self::Malformed { message } => {
                write!(
                    formatter,
                    "unreadable answer from the platform's service: {message}"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}
