//! The ledger of what a VM has given to tasks.

use std::collections::BTreeMap;
use std::fmt;

use turmeric_types::{AttemptNumber, ResourceSet, TaskId};

/// A ledger that has not yet learned what the worker runs.
#[derive(Debug)]
pub struct LedgerUnbuilt;

/// A ledger that knows everything the worker runs.
#[derive(Debug)]
pub struct LedgerReady {
    reservations: BTreeMap<TaskId, (AttemptNumber, ResourceSet)>,
    reserved: ResourceSet,
}

/// The account of a VM's resources; the agent on the VM is its only writer.
///
/// Only a ledger that was rebuilt from the worker's own list can reserve, so
/// an agent that restarted with empty memory cannot give resources twice.
#[derive(Debug)]
pub struct CapacityLedger<S> {
    capacity: ResourceSet,
    state: S,
}

/// Why a reservation was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The VM has not enough left.
    Exhausted {
        /// What is left.
        free: ResourceSet,
    },
    /// The ledger holds a later attempt of the task.
    Stale {
        /// The attempt that the ledger holds.
        held: AttemptNumber,
    },
}

impl fmt::Display for LedgerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exhausted { free } => write!(formatter, "the VM has only {free} left"),
            Self::Stale { held } => write!(formatter, "attempt {held} of the task holds resources"),
        }
    }
}

impl std::error::Error for LedgerError {}

impl CapacityLedger<LedgerUnbuilt> {
    /// Creates the ledger of a VM with `capacity`, which reserves nothing yet.
    pub fn new(capacity: ResourceSet) -> Self {
        Self {
            capacity,
            state: LedgerUnbuilt,
        }
    }

    /// Takes in every task attempt that the worker holds.
    pub fn into_ready(
        self,
        held: impl IntoIterator<Item = (TaskId, AttemptNumber, ResourceSet)>,
    ) -> CapacityLedger<LedgerReady> {
        let mut ledger = CapacityLedger {
            capacity: self.capacity,
            state: LedgerReady {
                reservations: BTreeMap::new(),
                reserved: ResourceSet::default(),
            },
        };
        for (task, attempt, resources) in held {
            ledger.state.reservations.insert(task, (attempt, resources));
        }
        ledger.recount();
        ledger
    }
}

impl CapacityLedger<LedgerReady> {
    /// Returns what the VM has.
    pub fn capacity(&self) -> ResourceSet {
        self.capacity
    }

    /// Returns what is left; zero when tasks hold more than the VM has.
    ///
    /// Tasks can hold more than the VM has after a smaller VM took the slot.
    pub fn free(&self) -> ResourceSet {
        self.capacity.saturating_sub(&self.state.reserved)
    }

    /// Reserves `resources` for an attempt; the same attempt reserves once.
    ///
    /// # Errors
    ///
    /// Refused when too little is left or a later attempt holds resources.
    pub fn reserve(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        resources: ResourceSet,
    ) -> Result<(), LedgerError> {
        if let Some((held, _)) = self.state.reservations.get(&task) {
            return if *held == attempt {
                Ok(())
            } else {
                Err(LedgerError::Stale { held: *held })
            };
        }
        let total = self.state.reserved.checked_add(&resources);
        match total.filter(|total| total.fits_in(&self.capacity)) {
            Some(total) => {
                self.state.reserved = total;
                self.state.reservations.insert(task, (attempt, resources));
                Ok(())
            }
            None => Err(LedgerError::Exhausted { free: self.free() }),
        }
    }

    /// Releases the resources of an attempt; returns whether it held any.
    pub fn release(&mut self, task: TaskId, attempt: AttemptNumber) -> bool {
        match self.state.reservations.get(&task) {
            Some((held, _)) if *held == attempt => {
                self.state.reservations.remove(&task);
                self.recount();
                true
            }
            _ => false,
        }
    }

    /// Returns the attempt of `task` that holds resources.
    pub fn held_attempt(&self, task: TaskId) -> Option<AttemptNumber> {
        self.state
            .reservations
            .get(&task)
            .map(|(attempt, _)| *attempt)
    }

    fn recount(&mut self) {
        self.state.reserved = self
            .state
            .reservations
            .values()
            .fold(ResourceSet::default(), |sum, (_, resources)| {
                sum.checked_add(resources).unwrap_or(sum)
            });
    }
}
