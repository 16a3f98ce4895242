//! Errors of messages and records that cross the border.

use std::fmt;

/// Why a message or a record was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// A field that must be there is missing.
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field holds a value that it cannot take.
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// What is wrong with it.
        message: String,
    },
    /// The bytes are not a message.
    Undecodable {
        /// What the decoder said.
        message: String,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { field } => write!(formatter, "field {field} is missing"),
            Self::Invalid { field, message } => write!(formatter, "field {field}: {message}"),
            Self::Undecodable { message } => write!(formatter, "not a message: {message}"),
        }
    }
}

impl std::error::Error for DecodeError {}
