//! Identifiers of processes, availability zones, customers, teams, jobs and requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::WallTime;

/// Maximum length of a name, in bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// Reason why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty or too long.
    Length {
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The text contains a character that is not allowed in names.
    Character {
        /// The first such character.
        character: char,
    },
    /// The text is not a UUID.
    Uuid {
        /// The rejected text.
        text: String,
    },
    /// The text is not a task identifier: job UUID, slash, task index.
    Task {
        /// The rejected text.
        text: String,
    },
}

impl fmt::Display for IdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length { length } => write!(
                formatter,
                "a name must have 1 to {NAME_LIMIT_BYTES} bytes, but this one has {length}"
            ),
            Self::Character { character } => write!(
                formatter,
                "a name may contain letters, digits, '-', '_', '.' and ':', but not {character:?}"
            ),
            Self::Uuid { text } => write!(
                formatter,
                "{text:?} is not a UUID; for example 0193f5a0-7c1e-7000-8000-000000000001"
            ),
            Self::Task { text } => write!(
                formatter,
                "{text:?} is not a task identifier; expected JOB/INDEX, for example 0193f5a0-7c1e-7000-8000-000000000001/0"
            ),
        }
    }
}

impl std::error::Error for IdError {}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > NAME_LIMIT_BYTES {
        return Err(IdError::Length { length: text.len() });
    }
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    match text.chars().find(|character| !is_allowed(*character)) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// The slot of an agent; it stays the same when the VM in the slot is replaced.
    AgentId
);
name_type!(
    /// An entry process.
    EntryId
);
name_type!(
    /// A worker: a VM that runs tasks.
    WorkerId
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A service whose endpoints answer requests.
    ServiceName
);
name_type!(
    /// A team that owns jobs and has a quota.
    TeamName
);
name_type!(
    /// A kind of job of a team; its tasks have similar resource needs and behavior.
    JobKind
);
name_type!(
    /// A customer's application that sends requests.
    CallerName
);

/// Returns the creation time in a UUID of version 7, or [`None`] for other versions.
pub(crate) fn read_time(uuid: &Uuid) -> Option<WallTime> {
    let timestamp = uuid
        .get_timestamp()
        .filter(|_| uuid.get_version_num() == 7)?;
    let (seconds, nanos) = timestamp.to_unix();
    let millis = seconds * 1000 + u64::from(nanos) / 1_000_000;
    Some(WallTime::from_millis(millis))
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(Uuid);

        impl $name {
            /// Creates an identifier from 128 bits.
            pub const fn new(bits: u128) -> Self {
                Self(Uuid::from_u128(bits))
            }

            /// Returns the 16 bytes of the identifier.
            pub fn as_bytes(&self) -> &[u8; 16] {
                self.0.as_bytes()
            }

            /// Returns the creation time of the identifier, if it is a UUID of version 7.
            pub fn made_at(&self) -> Option<WallTime> {
                read_time(&self.0)
            }

            /// Decodes the identifier from 16 bytes; returns [`None`] for another length.
            pub fn from_slice(bytes: &[u8]) -> Option<Self> {
                Uuid::from_slice(bytes).ok().map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Uuid::parse_str(text).map(Self).map_err(|_| IdError::Uuid {
                    text: text.to_owned(),
                })
            }
        }

        impl From<Uuid> for $name {
            fn from(uuid: Uuid) -> Self {
                Self(uuid)
            }
        }
    };
}

uuid_type!(
    /// A job: one or more tasks that a team submits together.
    JobId
);
uuid_type!(
    /// One attempt of an entry to get a request served.
    RequestId
);

/// A task: one unit of work of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that contains the task.
    pub job: JobId,
    /// Zero-based position of the task in its job.
    pub index: u32,
}

impl TaskId {
    /// Creates the identifier of task `index` of `job`.
    pub const fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let failure = || IdError::Task {
            text: text.to_owned(),
        };
        let (job, index) = text.split_once('/').ok_or_else(failure)?;
        Ok(Self {
            job: job.parse().map_err(|_| failure())?,
            index: index.parse().map_err(|_| failure())?,
        })
    }
}
