//! The ledger of the resources that a VM has reserved for tasks.

use std::collections::BTreeMap;
use std::fmt;

use turmeric_types::{AttemptNumber, ResourceSet, TaskId};

/// State of a ledger that does not yet know what the worker runs.
#[derive(Debug)]
pub struct LedgerUninitialized;

/// State of a ledger that knows everything the worker runs.
#[derive(Debug)]
pub struct LedgerReady {
    reservations: BTreeMap<TaskId, (AttemptNumber, ResourceSet)>,
    reserved: ResourceSet,
}

/// The reservations on a VM; the agent on the VM is their only writer.
///
/// Only a ledger that was rebuilt from the worker's own list can reserve, so
/// an agent that restarted with empty memory cannot allocate resources twice.
#[derive(Debug)]
pub struct CapacityLedger<S> {
    capacity: ResourceSet,
    state: S,
}

/// Why a reservation was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The VM has too few free resources.
    Exhausted {
        /// The free resources.
        free: ResourceSet,
    },
    /// Another attempt of the task holds a reservation.
    OtherAttempt {
        /// The attempt that holds the reservation.
        held: AttemptNumber,
    },
}

impl fmt::Display for LedgerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exhausted { free } => write!(formatter, "the VM has only {free} free"),
            Self::OtherAttempt { held } => {
                write!(
                    formatter,
                    "attempt {held} of the task already holds a reservation"
                )
            }
        }
    }
}

impl std::error::Error for LedgerError {}

impl CapacityLedger<LedgerUninitialized> {
    /// Creates the ledger of a VM with `capacity`, which cannot reserve yet.
    pub fn new(capacity: ResourceSet) -> Self {
        Self {
            capacity,
            state: LedgerUninitialized,
        }
    }

    /// Makes the ledger ready with every task attempt that the worker holds.
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
    /// Returns the total resources of the VM.
    pub fn capacity(&self) -> ResourceSet {
        self.capacity
    }

    /// Returns the free resources; zero when tasks hold more than the VM has.
    ///
    /// This happens after the VM was replaced by a smaller one.
    pub fn free(&self) -> ResourceSet {
        self.capacity.saturating_sub(&self.state.reserved)
    }

    /// Reserves `resources` for an attempt; repeating it for the same attempt
    /// has no effect.
    ///
    /// # Errors
    ///
    /// Fails when too few resources are free or another attempt of the task
    /// holds a reservation.
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
                Err(LedgerError::OtherAttempt { held: *held })
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

    /// Returns the attempt of `task` that holds a reservation.
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
