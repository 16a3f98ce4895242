//! The idempotency key of a request.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;

use crate::ids::read_time;
use crate::{WallTime, stable_hash};

/// The idempotency key of a request: a UUID of version 7.
///
/// The key carries its creation time, so that a process which restarted with
/// empty memory can tell the keys it may have forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Uuid);

/// Why a text is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The text is not a UUID.
    Malformed,
    /// The UUID has another version and carries no creation time.
    Version {
        /// The version found.
        version: usize,
    },
}

impl fmt::Display for KeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => formatter.write_str("the key is not a UUID"),
            Self::Version { version } => write!(
                formatter,
                "the key is a UUID of version {version}; a key is a UUID of version 7, which carries its creation time"
            ),
        }
    }
}

impl std::error::Error for KeyError {}

impl IdempotencyKey {
    /// Creates a key made at `time` with `random` bits behind the time.
    pub fn new(time: WallTime, random: u128) -> Self {
        let bytes = random.to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(time.as_millis(), &tail).into_uuid())
    }

    /// Returns when the caller made the key, by the caller's clock.
    pub fn created_at(&self) -> WallTime {
        read_time(&self.0).unwrap_or_default()
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Returns a hash that is the same in every process and build.
    pub fn stable_hash(&self) -> u64 {
        stable_hash(self.as_bytes().iter().copied())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError::Malformed)?;
        match uuid.get_version_num() {
            7 => Ok(Self(uuid)),
            version => Err(KeyError::Version { version }),
        }
    }
}
