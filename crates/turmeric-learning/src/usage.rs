//! Peaks of use of the tasks of one kind.

use std::collections::VecDeque;

use turmeric_types::{CoreCount, MemorySize, ResourceSet};

/// Peaks that are kept of one kind.
///
/// The next task exceeds the largest of `n` earlier ones with a probability
/// of at most `1 / (n + 1)`, whatever their distribution, as long as the
/// order in which tasks of a kind come says nothing of their size.
const HISTORY_LENGTH: usize = 32;

/// Peaks that must be known before a size is learned from them.
const SAMPLE_FLOOR: usize = 10;

/// A task that used this share of what it was given may have wanted more.
const CAPPED_PERCENT: u64 = 95;

/// The most that one task was seen to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageSample {
    /// Processors.
    pub cores: CoreCount,
    /// Memory.
    pub memory: MemorySize,
}

impl UsageSample {
    /// Creates a sample.
    pub fn new(cores: CoreCount, memory: MemorySize) -> Self {
        Self { cores, memory }
    }

    /// Returns the larger of both, each resource by itself.
    pub fn max(self, other: Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    /// Returns what the task may have wanted.
    ///
    /// Use that reaches what the task was `allocated` says only that it wanted at
    /// least that much. Then what was `declared` counts, and of memory twice
    /// what was given if that was no less.
    pub fn wanted(self, allocated: &ResourceSet, declared: &ResourceSet) -> Self {
        let is_capped = |used: u64, allocated: u64| used * 100 >= allocated * CAPPED_PERCENT;
        let (given_cores, given_memory) = (allocated.cores, allocated.memory);
        let cores = if is_capped(self.cores.as_millicores(), given_cores.as_millicores()) {
            declared.cores
        } else {
            self.cores
        };
        let memory = if !is_capped(self.memory.as_bytes(), given_memory.as_bytes()) {
            self.memory
        } else if given_memory < declared.memory {
            declared.memory
        } else {
            MemorySize::new(given_memory.as_bytes().saturating_mul(2))
        };
        Self { cores, memory }
    }
}

/// The newest peaks of the tasks of one kind, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageHistory {
    peaks: VecDeque<UsageSample>,
}

impl UsageHistory {
    /// Creates a history without peaks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a peak; the oldest one goes when there are many.
    pub fn push(&mut self, peak: UsageSample) {
        if self.peaks.len() == HISTORY_LENGTH {
            self.peaks.pop_front();
        }
        self.peaks.push_back(peak);
    }

    /// Returns the peaks, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &UsageSample> {
        self.peaks.iter()
    }

    /// Returns the number of peaks that are kept.
    pub fn len(&self) -> usize {
        self.peaks.len()
    }

    /// Returns whether no peak is known.
    pub fn is_empty(&self) -> bool {
        self.peaks.is_empty()
    }

    /// Returns the largest peak, each resource by itself.
    ///
    /// Returns [`None`] while too few are known to rely on.
    pub fn bound(&self) -> Option<UsageSample> {
        if self.peaks.len() < SAMPLE_FLOOR {
            return None;
        }
        self.peaks.iter().copied().reduce(UsageSample::max)
    }
}
