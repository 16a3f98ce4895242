//! Errors of requests to the platform's services.

use std::fmt;

/// Reason why a request to the platform's services failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// A condition of the transaction does not hold; nothing was changed.
    Conflict {
        /// First key whose condition failed.
        key: String,
    },
    /// The service's rate limit was exceeded; nothing was changed.
    Throttled,
    /// The service could not be reached or refused the operation; nothing was
    /// changed.
    Unavailable {
        /// Connection error, or the service's response body.
        message: String,
    },
    /// No complete response arrived; the operation may have taken effect.
    Unknown {
        /// Transport error or timeout.
        message: String,
    },
    /// The request could not be built, or the response had an unexpected status
    /// or body.
    Malformed {
        /// Encoding or decoding error, or the unexpected status.
        message: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { key } => write!(formatter, "the condition on row {key} does not hold"),
            Self::Throttled => {
                formatter.write_str("the rate limit of the platform's service was exceeded")
            }
            Self::Unavailable { message } => {
                write!(
                    formatter,
                    "the platform's service is unavailable: {message}"
                )
            }
            Self::Unknown { message } => write!(
                formatter,
                "no response from the platform's service; \
                 the operation may have taken effect: {message}"
            ),
            Self::Malformed { message } => {
                write!(
                    formatter,
                    "malformed request to or response from the platform's service: {message}"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}
