//! Idempotency keys of requests.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;

use crate::ids::read_time;
use crate::{WallTime, stable_hash};

/// The idempotency key of a request: a UUID of version 7.
///
/// The key contains its creation time, so that a process that restarted without
/// its state can tell which keys it may have seen before the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Uuid);

/// Reason why a text is not a valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The text is not a UUID.
    Malformed,
    /// The UUID has a version other than 7.
    Version {
        /// The version of the UUID.
        version: usize,
    },
}

impl fmt::Display for KeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => formatter.write_str("the idempotency key is not a UUID"),
            Self::Version { version } => write!(
                formatter,
                "the idempotency key is a UUID of version {version}; it must be of version 7, which contains the creation time"
            ),
        }
    }
}

impl std::error::Error for KeyError {}

impl IdempotencyKey {
    /// Creates a key with the creation time `time`, followed by the upper bits of `random`.
    pub fn new(time: WallTime, random: u128) -> Self {
        let bytes = random.to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(time.as_millis(), &tail).into_uuid())
    }

    /// Returns the creation time of the key, by the caller's clock.
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
