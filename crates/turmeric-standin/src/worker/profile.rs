//! What tasks of a kind really need and do, whatever was declared.

use serde::{Deserialize, Serialize};
use turmeric_types::{CoreCount, JobKind, MemorySize, MonoTime, ResourceSet};
use turmeric_worker::TaskUsage;

/// What tasks of one kind really need and do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KindProfile {
    pub(crate) kind: JobKind,
    pub(crate) cores: CoreCount,
    pub(crate) memory: MemorySize,
    /// Slowdown of the service on the VM, in thousandths times cores.
    #[serde(rename = "harm")]
    pub(crate) interference: u64,
}

/// What one task really needs and does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskBehaviour {
    cores: CoreCount,
    memory: MemorySize,
    interference: u64,
}

impl TaskBehaviour {
    /// Returns the behaviour of a task that is given `allocated`.
    ///
    /// A task of an unknown kind uses all it is given and harms as much.
    pub(crate) fn new(profile: Option<&KindProfile>, allocated: &ResourceSet) -> Self {
        match profile {
            Some(profile) => Self {
                cores: profile.cores,
                memory: profile.memory,
                interference: profile.interference,
            },
            None => Self {
                cores: allocated.cores,
                memory: allocated.memory,
                interference: allocated.cores.as_millicores(),
            },
        }
    }

    /// Returns whether the task needs more memory than it is given.
    pub(crate) fn is_starved(&self, allocated: &ResourceSet) -> bool {
        self.memory > allocated.memory
    }

    /// Returns the work done in `micros` with what the task is given.
    pub(crate) fn progress(&self, allocated: &ResourceSet, micros: u64) -> u64 {
        let wanted = self.cores.as_millicores().max(1);
        micros * allocated.cores.as_millicores().min(wanted) / wanted
    }

    /// Returns the processors in use at a speed, in thousandths of a core.
    pub(crate) fn used_millicores(&self, allocated: &ResourceSet, speed_percent: u64) -> u64 {
        self.cores.min(allocated.cores).as_millicores() * speed_percent / 100
    }

    /// Returns the harm at a speed, in thousandths times cores.
    pub(crate) fn interference(&self, speed_percent: u64) -> u64 {
        self.interference * speed_percent / 100
    }

    /// Returns what was measured at `measured_at`.
    pub(crate) fn usage(
        &self,
        allocated: &ResourceSet,
        speed_percent: u64,
        measured_at: MonoTime,
    ) -> TaskUsage {
        TaskUsage {
            measured_at,
            cores: CoreCount::from_millicores(self.used_millicores(allocated, speed_percent)),
            memory: self.memory.min(allocated.memory),
        }
    }
}
