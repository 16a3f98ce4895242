//! Errors of commands, each with its exit code and what to do next.

use std::fmt;

use turmeric_types::FindingList;

/// Why a command did not succeed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The arguments have mistakes.
    Arguments(FindingList),
    /// An entry refused.
    Refused {
        /// Stable code of the refusal.
        code: String,
        /// What the entry said.
        message: String,
    },
    /// No entry could be reached, or the answer was lost.
    Unreachable {
        /// What was tried and seen.
        message: String,
    },
    /// The time for waiting is over.
    TimedOut {
        /// What is still missing.
        message: String,
    },
    /// A check has findings.
    Findings {
        /// How many of each level.
        message: String,
    },
    /// A file cannot be checked.
    UnusableInput {
        /// Which file, and why.
        message: String,
    },
}

impl CommandError {
    /// Returns the documented exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreachable { .. } | Self::Findings { .. } => 1,
            Self::Arguments(_) | Self::UnusableInput { .. } => 2,
            Self::Refused { .. } => 3,
            Self::TimedOut { .. } => 4,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(findings) => write!(formatter, "the arguments have {findings}"),
            Self::Refused { code, message } => write!(formatter, "refused ({code}): {message}"),
            Self::Unreachable { message } => write!(
                formatter,
                "{message}\n  help: name entries that run with --entries or TURMERIC_ENTRIES"
            ),
            Self::Findings { message } | Self::UnusableInput { message } => {
                formatter.write_str(message)
            }
            Self::TimedOut { message } => write!(formatter, "timed out: {message}"),
        }
    }
}
