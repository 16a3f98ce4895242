//! Assignment, analysis and guard of experiments on live traffic.
//!
//! Nothing here reads a clock or the network. Time is cut into slots, and
//! two slots that follow each other make a pair. Within a pair both arms
//! serve, in an order or a split that a hash decides anew for each pair. If
//! the arms are alike, the difference within a pair is as likely to favour
//! one arm as the other, however load drifts and however requests of one
//! slot depend on each other. The analysis rests on this alone.

mod guard;
mod plan;
mod report;
mod sample;
mod sequence;

pub use guard::{GuardReason, GuardRule};
pub use plan::{ArmName, ExperimentPlan, PairNumber, SlotNumber, UnitKind};
pub use report::{MetricName, MetricResult, PairPoint, TrialReport, TrialVerdict};
pub use sample::{ArmSamples, PairSamples};
pub use sequence::{EffectInterval, EffectSequence};
