//! How much of a VM a task is given.

use turmeric_types::{CoreCount, MemorySize, ResourceSet};

use crate::UsageSample;

/// The least that a task is given, in percent of what was declared.
const FLOOR_PERCENT: u64 = 5;

/// The most memory that a task is given, in percent of what was declared.
const MEMORY_CEILING_PERCENT: u64 = 200;

/// How much of a VM a task is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizingPolicy {
    /// What its team declared.
    Declared,
    /// The most that tasks of its kind were seen to want, and a margin.
    Learned {
        /// Added to the peak, in percent of it.
        margin_percent: u64,
    },
}

impl SizingPolicy {
    /// Returns what a task is given.
    ///
    /// `bound` is the largest peak of its kind, if enough are known. A task
    /// that has `failed` before gets no less than was declared. No task gets
    /// more processors or accelerators than were declared.
    pub fn size(
        self,
        declared: &ResourceSet,
        bound: Option<UsageSample>,
        failed: bool,
    ) -> ResourceSet {
        let (Self::Learned { margin_percent }, Some(bound)) = (self, bound) else {
            return *declared;
        };
        let with_margin = |peak: u64| {
            let margin = peak.saturating_mul(margin_percent).div_ceil(100);
            peak.saturating_add(margin)
        };
        let floor = |declared: u64| (declared * FLOOR_PERCENT).div_ceil(100);
        let cores = declared.cores.as_millicores();
        let memory = declared.memory.as_bytes();
        let memory_ceiling = memory.saturating_mul(MEMORY_CEILING_PERCENT) / 100;
        let least_cores = if failed { cores } else { floor(cores) };
        let least_memory = if failed { memory } else { floor(memory) };
        let wanted_cores = with_margin(bound.cores.as_millicores());
        let wanted_memory = with_margin(bound.memory.as_bytes());
        ResourceSet::new(
            CoreCount::from_millicores(wanted_cores.clamp(least_cores, cores)),
            MemorySize::new(wanted_memory.clamp(least_memory, memory_ceiling)),
            declared.accelerators,
        )
    }
}
