//! Assignment of units to arms.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use turmeric_types::{SplitMixRandom, WallTime, stable_hash};

/// Divisor of the slot length that gives the part at the start of a slot whose
/// requests are not counted. The effect of the previous arm ends in this part.
const SETTLE_DIVISOR: u64 = 4;

/// An arm of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ArmName {
    /// The current policy.
    A,
    /// The policy under test.
    B,
}

impl ArmName {
    /// Returns the other arm.
    pub fn other(self) -> Self {
        match self {
            Self::A => Self::B,
            Self::B => Self::A,
        }
    }
}

impl fmt::Display for ArmName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::A => "a",
            Self::B => "b",
        })
    }
}

/// Kind of unit that is assigned to an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnitKind {
    /// Each single request. Unbiased only if the arms share no VM.
    Request,
    /// All requests of a caller within a pair. Unbiased only if the arms share
    /// no VM.
    Caller,
    /// All requests of a time slot. Unbiased even if requests affect each other,
    /// as long as the effect of an arm ends soon after its slot.
    TimeSlot,
}

impl fmt::Display for UnitKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Request => "request",
            Self::Caller => "caller",
            Self::TimeSlot => "time-slot",
        })
    }
}

impl FromStr for UnitKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "request" => Ok(Self::Request),
            "caller" => Ok(Self::Caller),
            "time-slot" => Ok(Self::TimeSlot),
            _ => Err(format!(
                "{text:?} is not an experiment unit; expected request, caller or time-slot"
            )),
        }
    }
}

/// Number of a time slot, counted from 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotNumber(u64);

impl SlotNumber {
    /// Returns the pair that contains the slot.
    pub fn pair(self) -> PairNumber {
        PairNumber(self.0 / 2)
    }

    /// Returns whether the slot is the first one of its pair.
    pub fn is_first(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

/// Number of a pair of consecutive slots, counted from 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PairNumber(u64);

impl PairNumber {
    /// Creates the number of a pair.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next pair.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for PairNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// How an experiment assigns units to arms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentPlan {
    /// Unique name of this run of the experiment.
    pub run: String,
    /// Kind of unit that is assigned to an arm.
    pub unit: UnitKind,
    /// Length of a slot, in milliseconds.
    pub slot_millis: u64,
    /// Share of units in arm B, in percent. With time slots it is 50, since the
    /// arms alternate.
    pub share_percent: u64,
}

impl ExperimentPlan {
    /// Returns the slot that contains `now`.
    pub fn slot_at(&self, now: WallTime) -> SlotNumber {
        SlotNumber(now.as_millis() / self.slot_millis.max(1))
    }

    /// Returns the start time of a pair.
    pub fn pair_start(&self, pair: PairNumber) -> WallTime {
        WallTime::from_millis(pair.0 * 2 * self.slot_millis.max(1))
    }

    /// Returns whether requests that arrive at `now` are not counted, because the
    /// previous arm may still have an effect.
    pub fn is_settling(&self, now: WallTime) -> bool {
        let length = self.slot_millis.max(1);
        self.unit == UnitKind::TimeSlot && now.as_millis() % length < length / SETTLE_DIVISOR
    }

    /// Returns the arm that serves the first slot of a pair, if the units are time
    /// slots.
    pub fn first_arm(&self, pair: PairNumber) -> ArmName {
        if self.bucket_of(pair, "") < 50 {
            ArmName::A
        } else {
            ArmName::B
        }
    }

    /// Returns the arm of a unit.
    ///
    /// The arm depends only on the plan, the slot and the unit's name, so that all
    /// entries agree without communication and a retry stays in its arm.
    pub fn arm(&self, slot: SlotNumber, unit: &str) -> ArmName {
        if self.unit == UnitKind::TimeSlot {
            let first = self.first_arm(slot.pair());
            return if slot.is_first() {
                first
            } else {
                first.other()
            };
        }
        if self.bucket_of(slot.pair(), unit) < self.share_percent {
            ArmName::B
        } else {
            ArmName::A
        }
    }

    /// Returns a pseudo-random number from 0 to 99 that is independent for each pair,
    /// so that a caller with unusual requests does not stay in one arm.
    fn bucket_of(&self, pair: PairNumber, unit: &str) -> u64 {
        let name = self.run.bytes().chain([0]);
        let number = pair.0.to_be_bytes();
        let hash = stable_hash(name.chain(number).chain(unit.bytes()));
        SplitMixRandom::new(hash).next_bits() % 100
    }
}
