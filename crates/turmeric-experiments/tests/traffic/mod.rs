//! Synthetic traffic whose load drifts and whose latencies have heavy tails.

use turmeric_experiments::{ArmName, ExperimentPlan, PairNumber, PairSamples, UnitKind};
use turmeric_types::SplitMixRandom;

/// Number of requests of each arm in a pair.
const REQUESTS: usize = 200;

pub fn plan(unit: UnitKind, seed: u64) -> ExperimentPlan {
    ExperimentPlan {
        run: format!("trial.{seed}"),
        unit,
        slot_millis: 10_000,
        share_percent: 50,
    }
}

/// Generator of the traffic of one service, pair by pair.
pub struct Traffic {
    random: SplitMixRandom,
    /// Logarithm of the effect of load on latency, which drifts slowly.
    drift: f64,
    next_pair: u64,
    plan: ExperimentPlan,
}

impl Traffic {
    pub fn new(plan: &ExperimentPlan, seed: u64) -> Self {
        Self {
            random: SplitMixRandom::new(seed),
            drift: 0.0,
            next_pair: 1000,
            plan: plan.clone(),
        }
    }

    /// Returns the next pair, in which arm B takes `slowness` times as long as arm A.
    pub fn next_pair(&mut self, slowness: f64) -> PairSamples {
        let pair = PairNumber::new(self.next_pair);
        self.next_pair += 1;
        let first = self.plan.first_arm(pair);
        let mut samples = PairSamples::new(pair);
        samples.first_arm = (self.plan.unit == UnitKind::TimeSlot).then_some(first);
        for arm in [first, first.other()] {
            self.drift = 0.9 * self.drift + 0.15 * (self.random.next_unit() - 0.5);
            let factor = if arm == ArmName::B { slowness } else { 1.0 };
            let scale = 5000.0 * factor * self.drift.exp();
            for _ in 0..REQUESTS {
                // Pareto with exponent 2.5: its variance is barely finite.
                let tail = (1.0 - self.random.next_unit()).powf(-0.4);
                samples.arm_mut(arm).latency.record((scale * tail) as u64);
            }
        }
        samples
    }
}
