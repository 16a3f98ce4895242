//! Recording of the samples that this entry collects for running experiments.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use turmeric_experiments::{PairNumber, PairSamples, UnitKind};
use turmeric_types::WallTime;

use super::{AssignedArm, ExperimentSetup, RoutingDecision};
use crate::entry::state::EntryState;

/// Time for which a pair stays open after its end, since the clocks of entries may differ.
const CLOCK_SKEW_LIMIT: Duration = Duration::from_millis(1000);

/// How a request of an experiment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ArmOutcome {
    /// The head of its response arrived.
    Answered,
    /// It did not run.
    Refused,
    /// Whether it ran is unknown, or its caller disconnected.
    Unknown,
}

/// A pair of slots whose samples are still being recorded.
#[derive(Debug)]
struct OpenPair {
    samples: PairSamples,
    /// Number of requests that have not ended.
    in_progress: usize,
}

/// An experiment that this entry follows.
#[derive(Debug)]
struct OpenExperiment {
    setup: ExperimentSetup,
    /// When this entry began to follow it; a pair that began earlier is incomplete.
    followed_since: WallTime,
    pairs: BTreeMap<PairNumber, OpenPair>,
}

impl OpenExperiment {
    /// Returns a pair, which is opened if it is not open yet.
    fn pair_mut(&mut self, pair: PairNumber) -> &mut OpenPair {
        let plan = &self.setup.plan;
        let is_whole = plan.pair_start(pair) >= self.followed_since;
        self.pairs.entry(pair).or_insert_with(|| {
            let mut samples = PairSamples::new(pair);
            if plan.unit == UnitKind::TimeSlot {
                samples.first_arm = Some(plan.first_arm(pair));
            }
            if !is_whole {
                samples.disturbance = Some("not seen from its start".to_owned());
            }
            OpenPair {
                samples,
                in_progress: 0,
            }
        })
    }
}

/// A pair that has ended, with the samples to write.
#[derive(Debug)]
pub(crate) struct ClosedPair {
    pub(crate) run: String,
    pub(crate) samples: PairSamples,
}

/// The experiments that this entry follows, with their unwritten samples.
#[derive(Debug, Default)]
pub(crate) struct ExperimentRecorder {
    experiments: BTreeMap<String, OpenExperiment>,
}

impl ExperimentRecorder {
    /// Starts to follow an experiment; returns whether it was not followed before.
    pub(crate) fn follow(&mut self, setup: &ExperimentSetup, now: WallTime) -> bool {
        if self.experiments.contains_key(&setup.plan.run) {
            return false;
        }
        let experiment = OpenExperiment {
            setup: setup.clone(),
            followed_since: now,
            pairs: BTreeMap::new(),
        };
        self.experiments.insert(setup.plan.run.clone(), experiment);
        true
    }

    /// Marks all open pairs as disturbed; an earlier reason of a pair stays.
    pub(crate) fn mark_disturbed(&mut self, reason: &str, now: WallTime) {
        for experiment in self.experiments.values_mut() {
            // The current pair may not be open yet, if none of its requests has arrived.
            let current = experiment.setup.plan.slot_at(now).pair();
            experiment.pair_mut(current);
            for pair in experiment.pairs.values_mut() {
                pair.samples
                    .disturbance
                    .get_or_insert_with(|| reason.to_owned());
            }
        }
    }

    fn begin(&mut self, arm: &AssignedArm) {
        if let Some(experiment) = self.experiments.get_mut(&arm.run) {
            experiment.pair_mut(arm.pair).in_progress += 1;
        }
    }

    fn end(&mut self, arm: &AssignedArm, outcome: ArmOutcome, micros: u64) {
        let pair = self
            .experiments
            .get_mut(&arm.run)
            .and_then(|experiment| experiment.pairs.get_mut(&arm.pair));
        let Some(pair) = pair else { return };
        pair.in_progress = pair.in_progress.saturating_sub(1);
        let samples = pair.samples.arm_mut(arm.arm);
        match outcome {
            ArmOutcome::Answered => samples.latency.record(micros),
            ArmOutcome::Refused => samples.refused += 1,
            ArmOutcome::Unknown => samples.unknown += 1,
        }
    }

    /// Removes and returns the pairs that have ended and have no request in progress.
    ///
    /// A pair stays open at least while an earlier pair of its run does.
    pub(crate) fn take_closed_pairs(&mut self, now: WallTime) -> Vec<ClosedPair> {
        let mut closed = Vec::new();
        for (run, experiment) in &mut self.experiments {
            let plan = &experiment.setup.plan;
            while let Some(entry) = experiment.pairs.first_entry() {
                let end = plan.pair_start(entry.key().next());
                let has_ended = now >= end.after(CLOCK_SKEW_LIMIT);
                if !has_ended || entry.get().in_progress > 0 {
                    break;
                }
                let samples = entry.remove().samples;
                let run = run.clone();
                closed.push(ClosedPair { run, samples });
            }
        }
        closed
    }

    /// Removes experiments that no longer run and have no open pair.
    pub(crate) fn retain(&mut self, running: &[ExperimentSetup]) {
        self.experiments.retain(|run, experiment| {
            let is_running = running.iter().any(|setup| setup.plan.run == *run);
            is_running || !experiment.pairs.is_empty()
        });
    }
}

/// Measures a request of an experiment from its arrival to its end.
///
/// A request that is dropped counts as unknown, because callers give up more
/// often on a slow arm.
pub(crate) struct ExperimentSpan<'a> {
    state: &'a EntryState,
    arm: Option<AssignedArm>,
    arrived_at: Instant,
}

impl<'a> ExperimentSpan<'a> {
    pub(crate) fn new(
        state: &'a EntryState,
        decision: &RoutingDecision,
        arrived_at: Instant,
    ) -> Self {
        let arm = decision.experiment.clone().filter(|_| decision.is_counted);
        if let Some(arm) = &arm {
            state.trials().begin(arm);
        }
        Self {
            state,
            arm,
            arrived_at,
        }
    }

    /// Records how the request ended.
    pub(crate) fn end(mut self, outcome: ArmOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: ArmOutcome) {
        if let Some(arm) = self.arm.take() {
            let micros = self.arrived_at.elapsed().as_micros() as u64;
            self.state.trials().end(&arm, outcome, micros);
        }
    }
}

impl Drop for ExperimentSpan<'_> {
    fn drop(&mut self) {
        self.record(ArmOutcome::Unknown);
    }
}
