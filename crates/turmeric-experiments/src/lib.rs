//! Assignment, analysis and guard of experiments on live traffic.
//!
//! Nothing in this crate reads a clock or the network. Time is divided into
//! slots, and two consecutive slots form a pair. Within a pair both arms serve
//! requests, in an order or a split that a hash determines independently for
//! each pair. If the arms do not differ, the difference within a pair is as
//! likely to favour one arm as the other, however the load drifts and however
//! the requests of one slot depend on each other. The analysis assumes nothing
//! else.

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
