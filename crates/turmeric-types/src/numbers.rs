//! Numbers that order incarnations, attempts, partition owners and settings versions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name($inner);

        impl $name {
            /// Creates a number with this value.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the value.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next higher number.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

counter_type!(
    /// One run of a process in its slot; a later run has a higher number.
    ///
    /// The number is the wall time of the start, in milliseconds since 1970.
    Incarnation(u64)
);
counter_type!(
    /// One attempt to run a task; the number is the fencing token of its start order.
    AttemptNumber(u32)
);
counter_type!(
    /// One ownership of a partition; a later ownership has a higher number.
    OwnerEpoch(u64)
);
counter_type!(
    /// A version of the settings tree.
    SettingsVersion(u64)
);
