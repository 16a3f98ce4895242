//! Peaks of resource usage of the tasks of one kind.

use std::collections::VecDeque;

use turmeric_types::{CoreCount, MemorySize, ResourceSet};

/// Number of peaks that are kept of one kind.
///
/// The next task exceeds the largest of `n` earlier ones with a probability
/// of at most `1 / (n + 1)`, whatever their distribution, as long as the
/// order in which tasks of a kind arrive is independent of their size.
const HISTORY_LENGTH: usize = 32;

/// Number of peaks that are needed to learn an allocation from them.
const SAMPLE_FLOOR: usize = 10;

/// Usage in percent of the allocation from which the demand may have been higher.
const CAPPED_PERCENT: u64 = 95;

/// The peak resource usage of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageSample {
    /// Cores.
    pub cores: CoreCount,
    /// Memory.
    pub memory: MemorySize,
}

impl UsageSample {
    /// Creates a sample.
    pub fn new(cores: CoreCount, memory: MemorySize) -> Self {
        Self { cores, memory }
    }

    /// Returns the maximum of both, separately for each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    /// Returns the estimated demand of the task.
    ///
    /// Usage that reaches the `allocated` resources is only a lower limit of the
    /// demand. The estimate is then what was `declared` or, if at least that much
    /// memory was allocated, twice the allocated memory.
    pub fn demand(self, allocated: &ResourceSet, declared: &ResourceSet) -> Self {
        let is_capped = |used: u64, allocated: u64| used * 100 >= allocated * CAPPED_PERCENT;
        let (allocated_cores, allocated_memory) = (allocated.cores, allocated.memory);
        let cores = if is_capped(self.cores.as_millicores(), allocated_cores.as_millicores()) {
            declared.cores
        } else {
            self.cores
        };
        let memory = if !is_capped(self.memory.as_bytes(), allocated_memory.as_bytes()) {
            self.memory
        } else if allocated_memory < declared.memory {
            declared.memory
        } else {
            MemorySize::new(allocated_memory.as_bytes().saturating_mul(2))
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

    /// Adds a peak, and removes the oldest one if the history is full.
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

    /// Returns whether no peak is kept.
    pub fn is_empty(&self) -> bool {
        self.peaks.is_empty()
    }

    /// Returns the largest peak, separately for each resource.
    ///
    /// Returns [`None`] while there are too few peaks to rely on.
    pub fn bound(&self) -> Option<UsageSample> {
        if self.peaks.len() < SAMPLE_FLOOR {
            return None;
        }
        self.peaks.iter().copied().reduce(UsageSample::max)
    }
}
