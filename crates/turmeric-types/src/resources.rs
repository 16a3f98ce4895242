//! Processors, memory and accelerators of VMs and tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error for a text that is not a valid size or count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeError {
    text: String,
    expected: &'static str,
}

impl fmt::Display for SizeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} is not {}", self.text, self.expected)
    }
}

impl std::error::Error for SizeError {}

/// Processors of a VM or a task, in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CoreCount(u64);

impl CoreCount {
    /// Creates a count of `millicores` thousandths of a core.
    pub const fn from_millicores(millicores: u64) -> Self {
        Self(millicores)
    }

    /// Returns the count in thousandths of a core.
    pub const fn as_millicores(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CoreCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1000) {
            write!(formatter, "{}", self.0 / 1000)
        } else {
            write!(formatter, "{}m", self.0)
        }
    }
}

impl FromStr for CoreCount {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let failure = || SizeError {
            text: text.to_owned(),
            expected: "a number of cores; for example 4 or 500m",
        };
        let (digits, scale) = match text.strip_suffix('m') {
            Some(digits) => (digits, 1),
            None => (text, 1000),
        };
        let number: u64 = digits.parse().map_err(|_| failure())?;
        number.checked_mul(scale).map(Self).ok_or_else(failure)
    }
}

/// Memory of a VM or a task, in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemorySize(u64);

const MEMORY_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl MemorySize {
    /// Creates a size of `bytes` bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_whole = |unit: u64| self.0 != 0 && self.0.is_multiple_of(unit);
        let (name, unit) = MEMORY_UNITS
            .into_iter()
            .find(|(_, unit)| is_whole(*unit))
            .unwrap_or(("B", 1));
        write!(formatter, "{} {name}", self.0 / unit)
    }
}

impl FromStr for MemorySize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let failure = || SizeError {
            text: text.to_owned(),
            expected: "a memory size; for example 4 GiB, 512 MiB, 64 KiB or 100 B",
        };
        for (name, unit) in MEMORY_UNITS {
            if let Some(digits) = text.strip_suffix(name) {
                let number: u64 = digits.trim().parse().map_err(|_| failure())?;
                return number.checked_mul(unit).map(Self).ok_or_else(failure);
            }
        }
        Err(failure())
    }
}

/// Accelerators of a VM or a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AcceleratorCount(u32);

impl AcceleratorCount {
    /// Creates a count of whole accelerators.
    pub const fn new(count: u32) -> Self {
        Self(count)
    }

    /// Returns the number of accelerators.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for AcceleratorCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for AcceleratorCount {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        text.parse().map(Self).map_err(|_| SizeError {
            text: text.to_owned(),
            expected: "a number of accelerators; for example 2",
        })
    }
}

/// Processors, memory and accelerators together.
///
/// The derived order compares the fields one after the other and serves only for
/// keys of maps; use [`ResourceSet::fits_in`] to check whether one set fits in another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResourceSet {
    /// Processors, in thousandths of a core.
    pub cores: CoreCount,
    /// Memory, in bytes.
    pub memory: MemorySize,
    /// Whole accelerators.
    pub accelerators: AcceleratorCount,
}

impl ResourceSet {
    /// Creates a set from its three resources.
    pub const fn new(cores: CoreCount, memory: MemorySize, accelerators: AcceleratorCount) -> Self {
        Self {
            cores,
            memory,
            accelerators,
        }
    }

    /// Returns whether each resource is at most that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.cores <= other.cores
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Adds two sets.
    ///
    /// Returns [`None`] if a resource overflows.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores: CoreCount(self.cores.0.checked_add(other.cores.0)?),
            memory: MemorySize(self.memory.0.checked_add(other.memory.0)?),
            accelerators: AcceleratorCount(self.accelerators.0.checked_add(other.accelerators.0)?),
        })
    }

    /// Subtracts `other`; a resource that would fall below zero becomes zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores: CoreCount(self.cores.0.saturating_sub(other.cores.0)),
            memory: MemorySize(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_sub(other.accelerators.0),
            ),
        }
    }
}

impl fmt::Display for ResourceSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} cores, {}, {} accelerators",
            self.cores, self.memory, self.accelerators
        )
    }
}
