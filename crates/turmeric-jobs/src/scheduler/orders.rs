//! Orders to agents.

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::MonoTime;

use super::JobScheduler;
use super::vm::HeldRun;
use crate::{AttemptKey, write_key};

/// A start that the agent has not listed is sent again after this time.
const RESEND_INTERVAL: Duration = Duration::from_millis(900);

impl JobScheduler {
    /// Builds the orders for a VM.
    ///
    /// They state all that may go on there, so that lost orders need no
    /// bookkeeping. Returns [`None`] for a VM that was never heard.
    pub fn orders(&mut self, name: &str, now: MonoTime) -> Option<v1::VmOrders> {
        self.order_sequence += 1;
        let sequence = self.order_sequence;
        let (mut keep, mut pending) = (BTreeSet::new(), BTreeSet::new());
        for (key, held) in &self.vms.get(name)?.held {
            if self.is_wanted(key, held) {
                let is_recorded = self.is_recorded(key, held);
                let keys = if is_recorded { &mut keep } else { &mut pending };
                keys.insert(*key);
            }
        }
        let vm = self.vms.get_mut(name)?;
        let mut starts = Vec::new();
        for (key, held) in &mut vm.held {
            if pending.contains(key) {
                // Ordered once the store knows of it; until then it stands.
                continue;
            }
            if !keep.contains(key) {
                held.dropped_in.get_or_insert(sequence);
                continue;
            }
            held.dropped_in = None;
            let is_due = held
                .sent_at
                .is_none_or(|sent| now > sent.after(RESEND_INTERVAL));
            if vm.reported.contains(key) || !is_due {
                continue;
            }
            held.sent_at = Some(now);
            let Some(job) = self.jobs.get(&key.task.job) else {
                continue;
            };
            let (Some(state), Some(step)) = (
                job.tasks.get(&key.task),
                job.spec.steps.get(key.task.step as usize),
            ) else {
                continue;
            };
            starts.push(v1::StartOrder {
                key: Some(write_key(key)),
                text: job.spec.text.clone(),
                checkpoint: state.checkpoint.clone(),
                fills: step.is_best_effort,
                latency_target_millis: step.latency_target_millis.unwrap_or_default(),
                image: step.image.clone().unwrap_or_default(),
                millicores: step.need.cores.as_millicores(),
            });
        }
        let incarnation = vm.facts.as_ref().map(|facts| facts.incarnation.clone());
        let incarnation = incarnation.unwrap_or_default();
        Some(v1::VmOrders {
            epoch: self.epoch,
            stamp_millis: vm.stamp_millis,
            endpoint: incarnation.endpoint,
            born: incarnation.started_at_millis,
            starts,
            keep: keep.iter().map(write_key).collect(),
            recorded_end: vm.recorded_end(),
            sequence,
            store_silence_millis: now.since(self.committed_at).as_millis() as u64,
            gains: self.gains(name),
        })
    }

    /// Returns the headroom that the filling images of a VM take from its serving ones.
    fn gains(&self, name: &str) -> Vec<v1::PairGain> {
        let held = || {
            let vm = self.vms.get(name).into_iter();
            vm.flat_map(|vm| vm.held.values())
        };
        let images = |is_counted: fn(&HeldRun) -> bool| -> BTreeSet<&str> {
            let runs = held().filter(|run| is_counted(run));
            runs.map(|run| run.image.as_str()).collect()
        };
        let filling = images(|run| run.is_best_effort);
        let serving = images(|run| run.is_serving);
        let pairs = serving
            .iter()
            .flat_map(|serving| filling.iter().map(move |filling| (*filling, *serving)));
        pairs
            .map(|(filling, serving)| v1::PairGain {
                filling: filling.to_owned(),
                serving: serving.to_owned(),
                gain_permille: (self.headroom.interference(filling, serving) * 1000.0) as u32,
            })
            .collect()
    }

    /// Returns whether the store knows of an attempt.
    fn is_recorded(&self, key: &AttemptKey, held: &HeldRun) -> bool {
        self.jobs
            .get(&key.task.job)
            .is_some_and(|job| job.recorded_revision >= held.revision)
    }

    /// Returns whether an attempt is to go on: its task is neither over nor to
    /// go on elsewhere.
    fn is_wanted(&self, key: &AttemptKey, held: &HeldRun) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(state) = job.tasks.get(&key.task) else {
            return false;
        };
        !job.phase.is_terminal()
            && !held.is_recalled
            && state.attempt == key.attempt
            && state.location.as_ref() == Some(&held.place)
    }
}
