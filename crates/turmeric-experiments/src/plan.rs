//! Which arm serves which unit.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use turmeric_types::{SplitMixRandom, WallTime, stable_hash};

/// Part of a slot at its start whose requests are not counted: one in this
/// many. The effect of the other arm wears off in it.
const SETTLE_DIVISOR: u64 = 4;

/// An arm of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ArmName {
    /// The policy in force.
    A,
    /// The policy on trial.
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

/// What is assigned to an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnitKind {
    /// Each request by itself. Honest only if the arms share no VM.
    Request,
    /// All requests of a caller within a pair. Honest only if the arms share
    /// no VM.
    Caller,
    /// All requests of a time slot. Honest also if requests disturb each
    /// other, as long as the effect of an arm ends soon after its slot.
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
            _ => Err(format!("{text:?} is not request, caller or time-slot")),
        }
    }
}

/// Number of a time slot since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotNumber(u64);

impl SlotNumber {
    /// Returns the pair to which the slot belongs.
    pub fn pair(self) -> PairNumber {
        PairNumber(self.0 / 2)
    }

    /// Returns whether the slot is the first one of its pair.
    pub fn is_first(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

/// Number of two slots that follow each other.
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

    /// Returns the number of the pair that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for PairNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// How an experiment assigns units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentPlan {
    /// Name of this run, which differs from those of all other runs.
    pub run: String,
    /// What is assigned.
    pub unit: UnitKind,
    /// Length of a slot, in milliseconds.
    pub slot_millis: u64,
    /// Share of units in arm B, in percent; time slots take turns and have
    /// 50.
    pub share_percent: u64,
}

impl ExperimentPlan {
    /// Returns the slot of a time.
    pub fn slot_at(&self, now: WallTime) -> SlotNumber {
        SlotNumber(now.as_millis() / self.slot_millis.max(1))
    }

    /// Returns when a pair begins.
    pub fn pair_start(&self, pair: PairNumber) -> WallTime {
        WallTime::from_millis(pair.0 * 2 * self.slot_millis.max(1))
    }

    /// Returns whether requests that arrive at this time are not counted,
    /// since the other arm may still have an effect.
    pub fn is_settling(&self, now: WallTime) -> bool {
        let length = self.slot_millis.max(1);
        self.unit == UnitKind::TimeSlot && now.as_millis() % length < length / SETTLE_DIVISOR
    }

    /// Returns the arm that serves the first slot of a pair, if time slots
    /// are assigned.
    pub fn first_arm(&self, pair: PairNumber) -> ArmName {
        if self.place_of(pair, "") < 50 {
            ArmName::A
        } else {
            ArmName::B
        }
    }

    /// Returns the arm of a unit.
    ///
    /// It depends on the names alone, so that every entry agrees without
    /// talking and a retry stays in its arm.
    pub fn arm(&self, slot: SlotNumber, unit: &str) -> ArmName {
        if self.unit == UnitKind::TimeSlot {
            let first = self.first_arm(slot.pair());
            return if slot.is_first() {
                first
            } else {
                first.other()
            };
        }
        if self.place_of(slot.pair(), unit) < self.share_percent {
            ArmName::B
        } else {
            ArmName::A
        }
    }

    /// Returns a place from 0 to 99 that is drawn anew for each pair, so that
    /// a caller of its own kind does not stay in one arm.
    fn place_of(&self, pair: PairNumber, unit: &str) -> u64 {
        let name = self.run.bytes().chain([0]);
        let number = pair.0.to_be_bytes();
        let hash = stable_hash(name.chain(number).chain(unit.bytes()));
        SplitMixRandom::new(hash).next_bits() % 100
    }
}
