//! How much of a VM is allocated to a task.

use turmeric_types::{CoreCount, MemorySize, ResourceSet};

use crate::UsageSample;

/// Smallest allocation of a task, in percent of what was declared.
const FLOOR_PERCENT: u64 = 5;

/// Largest allocation of memory, in percent of what was declared.
const MEMORY_CEILING_PERCENT: u64 = 200;

/// Determines how much of a VM is allocated to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizingPolicy {
    /// The resources that its team declared.
    Declared,
    /// The largest observed demand of tasks of its kind, plus a margin.
    Learned {
        /// Margin that is added to the peak, in percent of the peak.
        margin_percent: u64,
    },
}

impl SizingPolicy {
    /// Returns the allocation of a task.
    ///
    /// `bound` is the largest peak of its kind, if enough are known. A task that
    /// has `failed` before gets at least what was declared. No task gets more cores
    /// or accelerators than were declared.
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
        let min_cores = if failed { cores } else { floor(cores) };
        let min_memory = if failed { memory } else { floor(memory) };
        let demanded_cores = with_margin(bound.cores.as_millicores());
        let demanded_memory = with_margin(bound.memory.as_bytes());
        ResourceSet::new(
            CoreCount::from_millicores(demanded_cores.clamp(min_cores, cores)),
            MemorySize::new(demanded_memory.clamp(min_memory, memory_ceiling)),
            declared.accelerators,
        )
    }
}
