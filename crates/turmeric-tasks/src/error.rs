//! Errors of decoding messages and log records.

use std::fmt;

/// Why a message or a log record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// A required field is missing.
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field has an invalid value.
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Why the value is invalid.
        message: String,
    },
    /// The bytes are not a valid message.
    Undecodable {
        /// Error text of the decoder.
        message: String,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { field } => write!(formatter, "required field {field} is missing"),
            Self::Invalid { field, message } => {
                write!(formatter, "field {field} is invalid: {message}")
            }
            Self::Undecodable { message } => write!(formatter, "cannot decode message: {message}"),
        }
    }
}

impl std::error::Error for DecodeError {}
