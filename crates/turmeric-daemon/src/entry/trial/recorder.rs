//! What this entry has seen of the arms of running experiments.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use turmeric_experiments::{PairNumber, PairSamples, UnitKind};
use turmeric_types::WallTime;

use super::{RoutingDecision, TrialArm, TrialSetup};
use crate::entry::state::EntryState;

/// Time after the end of a pair by which the clocks of entries may differ.
const CLOSE_SLACK: Duration = Duration::from_millis(1000);

/// How a request ended, for its experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialOutcome {
    /// Its answer's head came.
    Answered,
    /// It did not run.
    Refused,
    /// Whether it ran is unknown, or its caller left.
    Unknown,
}

/// A pair that is not written yet.
#[derive(Debug)]
struct OpenPair {
    samples: PairSamples,
    /// Requests that have not ended.
    in_progress: usize,
}

/// An experiment that this entry follows.
#[derive(Debug)]
struct OpenTrial {
    setup: TrialSetup,
    /// A pair that began earlier was not seen whole.
    known_since: WallTime,
    pairs: BTreeMap<PairNumber, OpenPair>,
}

impl OpenTrial {
    fn pair_mut(&mut self, pair: PairNumber) -> &mut OpenPair {
        let plan = &self.setup.plan;
        let is_whole = plan.pair_start(pair) >= self.known_since;
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

/// A pair that is over, to be written.
#[derive(Debug)]
pub(crate) struct ClosedPair {
    pub(crate) run: String,
    pub(crate) samples: PairSamples,
}

/// What this entry has seen of the arms of running experiments.
#[derive(Debug, Default)]
pub(crate) struct TrialRecorder {
    trials: BTreeMap<String, OpenTrial>,
}

impl TrialRecorder {
    /// Follows an experiment from now on; returns whether it is a new one.
    pub(crate) fn watch(&mut self, setup: &TrialSetup, now: WallTime) -> bool {
        if self.trials.contains_key(&setup.plan.run) {
            return false;
        }
        let trial = OpenTrial {
            setup: setup.clone(),
            known_since: now,
            pairs: BTreeMap::new(),
        };
        self.trials.insert(setup.plan.run.clone(), trial);
        true
    }

    /// Marks the pairs that are open as disturbed.
    pub(crate) fn disturb(&mut self, reason: &str, now: WallTime) {
        for trial in self.trials.values_mut() {
            // Also if no request of the pair has come yet.
            let present = trial.setup.plan.slot_at(now).pair();
            trial.pair_mut(present);
            for pair in trial.pairs.values_mut() {
                pair.samples
                    .disturbance
                    .get_or_insert_with(|| reason.to_owned());
            }
        }
    }

    fn begin(&mut self, arm: &TrialArm) {
        if let Some(trial) = self.trials.get_mut(&arm.run) {
            trial.pair_mut(arm.pair).in_progress += 1;
        }
    }

    fn end(&mut self, arm: &TrialArm, outcome: TrialOutcome, micros: u64) {
        let pair = self
            .trials
            .get_mut(&arm.run)
            .and_then(|trial| trial.pairs.get_mut(&arm.pair));
        let Some(pair) = pair else { return };
        pair.in_progress = pair.in_progress.saturating_sub(1);
        let samples = pair.samples.arm_mut(arm.arm);
        match outcome {
            TrialOutcome::Answered => samples.latency.record(micros),
            TrialOutcome::Refused => samples.refused += 1,
            TrialOutcome::Unknown => samples.unknown += 1,
        }
    }

    /// Takes out the pairs that are over and of which no request runs.
    pub(crate) fn take_closed(&mut self, now: WallTime) -> Vec<ClosedPair> {
        let mut closed = Vec::new();
        for (run, trial) in &mut self.trials {
            let plan = &trial.setup.plan;
            while let Some(entry) = trial.pairs.first_entry() {
                let end = plan.pair_start(entry.key().next());
                let is_over = now >= end.after(CLOSE_SLACK);
                if !is_over || entry.get().in_progress > 0 {
                    break;
                }
                let samples = entry.remove().samples;
                let run = run.clone();
                closed.push(ClosedPair { run, samples });
            }
        }
        closed
    }

    /// Forgets experiments that do not run any more and have no open pair.
    pub(crate) fn retain(&mut self, running: &[TrialSetup]) {
        self.trials.retain(|run, trial| {
            let is_running = running.iter().any(|setup| setup.plan.run == *run);
            is_running || !trial.pairs.is_empty()
        });
    }
}

/// A request of an experiment, from its arrival to its end.
///
/// A request that is dropped counts as unknown: callers leave slow arms.
pub(crate) struct TrialSpan<'a> {
    state: &'a EntryState,
    arm: Option<TrialArm>,
    arrived_at: Instant,
}

impl<'a> TrialSpan<'a> {
    pub(crate) fn new(
        state: &'a EntryState,
        decision: &RoutingDecision,
        arrived_at: Instant,
    ) -> Self {
        let arm = decision.trial.clone().filter(|_| decision.is_counted);
        if let Some(arm) = &arm {
            state.trials().begin(arm);
        }
        Self {
            state,
            arm,
            arrived_at,
        }
    }

    /// Counts the request as ended.
    pub(crate) fn end(mut self, outcome: TrialOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: TrialOutcome) {
        if let Some(arm) = self.arm.take() {
            let micros = self.arrived_at.elapsed().as_micros() as u64;
            self.state.trials().end(&arm, outcome, micros);
        }
    }
}

impl Drop for TrialSpan<'_> {
    fn drop(&mut self) {
        self.record(TrialOutcome::Unknown);
    }
}
