//! Builds the orders to agents.

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::LossCause;
use super::refusals::RowOwner;
use super::vm::VmAttempt;
use crate::{AttemptKey, write_key};

/// The order to start an attempt is sent again after this time if the agent has not listed
/// the attempt.
const RESEND_INTERVAL: Duration = Duration::from_millis(900);

/// Most bytes of texts, checkpoints and images of the starts in one message, half of what a message
/// may have.
const START_LIMIT: usize = 1 << 20;

/// Most bytes of the interference between images in one message.
const INTERFERENCE_LIMIT: usize = 256 << 10;

/// Most bytes of the loads in one message.
const LOAD_LIMIT: usize = 256 << 10;

/// Bytes of a load beside the name of its image.
const LOAD_BYTES: usize = 96;

/// Bytes of a pair of images beside their names.
const PAIR_BYTES: usize = 16;

impl JobScheduler {
    /// Builds the orders for a VM.
    ///
    /// Orders list every attempt that may run on the VM, so that lost orders need no tracking.
    /// Returns [`None`] for a VM that has never reported.
    pub fn orders(&mut self, name: &str, now: MonoTime) -> Option<v1::VmOrders> {
        self.withdraw_unsent(name);
        self.order_sequence += 1;
        let sequence = self.order_sequence;
        let (mut keep, mut pending) = (BTreeSet::new(), BTreeSet::new());
        for (key, attempt) in &self.vms.get(name)?.attempts {
            if self.is_wanted(key, attempt) {
                let is_recorded = self.is_recorded(key, attempt);
                let keys = if is_recorded { &mut keep } else { &mut pending };
                keys.insert(*key);
            }
        }
        let is_refused = |code| self.refusals.is_excluded(RowOwner::Job(code));
        let recorded_end = self.vms.get(name)?.recorded_end(is_refused);
        let vm = self.vms.get_mut(name)?;
        let mut starts = Vec::new();
        let mut start_bytes = 0;
        for (key, attempt) in &mut vm.attempts {
            if pending.contains(key) {
                // It is ordered once the store has recorded it; until then it keeps its place.
                continue;
            }
            if !keep.contains(key) {
                attempt.dropped_in.get_or_insert(sequence);
                continue;
            }
            attempt.dropped_in = None;
            if vm.stamp_millis.is_none() {
                // An agent that has not fenced its worker ignores orders.
                continue;
            }
            let is_due = attempt
                .sent_at
                .is_none_or(|sent| now > sent.after(RESEND_INTERVAL));
            if vm.listed.contains(key) || !is_due {
                continue;
            }
            let Some(job) = self.jobs.get(&key.task.job) else {
                continue;
            };
            let (Some(state), Some(step)) = (
                job.tasks.get(&key.task),
                job.spec.steps.get(key.task.step as usize),
            ) else {
                continue;
            };
            let image = step.image.as_ref().map_or(0, String::len);
            start_bytes += job.spec.text.len() + state.checkpoint.len() + image;
            if start_bytes > START_LIMIT && !starts.is_empty() {
                // It follows in a later message.
                self.pending_updates.insert(name.to_owned());
                continue;
            }
            attempt.first_sent_at.get_or_insert(now);
            attempt.sent_at = Some(now);
            starts.push(v1::StartOrder {
                key: Some(write_key(key)),
                text: job.spec.text.clone(),
                checkpoint: state.checkpoint.clone(),
                fills: step.is_best_effort,
                latency_target_millis: step.latency_target_millis.unwrap_or_default(),
                image: step.image.clone().unwrap_or_default(),
                millicores: step.need.cores.as_millicores(),
                reserved_millicores: attempt.reserved.cores.as_millicores(),
                reserved_memory_bytes: attempt.reserved.memory.as_bytes(),
                reserved_accelerators: attempt.reserved.accelerators.get(),
                suspect: state.crashes.is_suspect && !step.is_gang,
            });
        }
        let stamp = vm.stamp_millis.unwrap_or_default();
        let incarnation = vm.info.as_ref().map(|info| info.incarnation.clone());
        let incarnation = incarnation.unwrap_or_default();
        Some(v1::VmOrders {
            epoch: self.epoch,
            stamp_millis: vm.lease_stamp_millis.unwrap_or_default(),
            endpoint: incarnation.endpoint,
            born: incarnation.started_at_millis,
            starts,
            keep: keep.iter().map(write_key).collect(),
            recorded_end,
            sequence,
            store_silence_millis: now.since(self.confirmed_at).as_millis() as u64,
            gains: self.interference(name),
            answered_millis: stamp,
            loads: self.unplanned_loads(name),
        })
    }

    /// Takes back the attempts that were never ordered on VMs which no order reaches any longer:
    /// nothing of them runs, so no lease has to end before their tasks run elsewhere.
    pub(super) fn withdraw_unreachable(&mut self, now: MonoTime) {
        let unreachable = self.vms.iter().filter(|(_, vm)| !vm.is_reachable(now));
        let unsent = unreachable.flat_map(|(name, vm)| {
            let attempts = vm.attempts.iter();
            let unsent = attempts.filter(|(_, attempt)| attempt.is_unsent());
            unsent.map(|(key, _)| (name.clone(), *key))
        });
        for (name, key) in unsent.collect::<Vec<_>>() {
            self.remove_attempts(&name, vec![key], LossCause::Withdrawn);
        }
    }

    /// Returns the loads that the agent of a VM lacks. What exceeds the limit follows once a report
    /// no longer lists these.
    ///
    /// Load pattern: an agent is restarted beside a worker that keeps running its tasks. Until it
    /// knows their loads, it measures no serving task and paces no best-effort task.
    fn unplanned_loads(&self, name: &str) -> Vec<v1::RunLoad> {
        let Some(vm) = self.vms.get(name) else {
            return Vec::new();
        };
        let loads = vm.unplanned.iter().filter_map(|key| {
            let step = self
                .jobs
                .get(&key.task.job)?
                .spec
                .steps
                .get(key.task.step as usize)?;
            let attempt = vm.attempts.get(key);
            let reserved = attempt.map_or_else(|| step.reserved(), |attempt| attempt.reserved);
            Some(v1::RunLoad {
                key: Some(write_key(key)),
                fills: step.is_best_effort,
                latency_target_millis: step.latency_target_millis.unwrap_or_default(),
                image: step.image.clone().unwrap_or_default(),
                millicores: step.need.cores.as_millicores(),
                reserved_millicores: reserved.cores.as_millicores(),
                reserved_memory_bytes: reserved.memory.as_bytes(),
                reserved_accelerators: reserved.accelerators.get(),
            })
        });
        let mut bytes = 0;
        let fitting = loads.take_while(|load| {
            let is_first = bytes == 0;
            bytes += load.image.len() + LOAD_BYTES;
            is_first || bytes <= LOAD_LIMIT
        });
        fitting.collect()
    }

    /// Takes back attempts on a VM that were never ordered, if the VM's capacity has shrunk or
    /// its availability zone was taken out of service since they were placed, or if the store
    /// refuses the row that would record them.
    ///
    /// Load pattern: the store is away for seconds, so that what was placed before waits for
    /// its record, and the VM shrinks meanwhile. A row that is refused for good would keep the
    /// capacity from all other tasks.
    fn withdraw_unsent(&mut self, name: &str) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let (Some(info), true) = (&vm.info, vm.attempts.values().any(VmAttempt::is_unsent)) else {
            return;
        };
        let is_closed = self.closed_zones.contains(&vm.zone);
        let mut free = vm.free_resources(info, |attempt| !attempt.is_unsent());
        let mut withdrawn = Vec::new();
        for (key, attempt) in &vm.attempts {
            if !attempt.is_unsent() {
                continue;
            }
            let is_refused = self.refusals.is_excluded(RowOwner::Job(key.task.job));
            if is_closed || is_refused || !attempt.reserved.fits_in(&free) {
                withdrawn.push(*key);
            } else {
                free = free.saturating_sub(&attempt.reserved);
            }
        }
        self.remove_attempts(name, withdrawn, LossCause::Withdrawn);
    }

    /// Returns how much headroom each best-effort image on a VM takes from each serving image
    /// there.
    fn interference(&self, name: &str) -> Vec<v1::PairGain> {
        let attempts = || {
            let vm = self.vms.get(name).into_iter();
            vm.flat_map(|vm| vm.attempts.values())
        };
        let images = |is_counted: fn(&VmAttempt) -> bool| -> BTreeSet<&str> {
            let counted = attempts().filter(|attempt| is_counted(attempt));
            counted.map(|attempt| attempt.image.as_str()).collect()
        };
        let best_effort = images(|attempt| attempt.is_best_effort);
        let serving = images(|attempt| attempt.is_serving);
        let pairs = serving
            .iter()
            .flat_map(|serving| best_effort.iter().map(move |image| (*image, *serving)));
        let mut bytes = 0;
        pairs
            .take_while(|(best_effort, serving)| {
                bytes += best_effort.len() + serving.len() + PAIR_BYTES;
                bytes <= INTERFERENCE_LIMIT
            })
            .map(|(best_effort, serving)| v1::PairGain {
                filling: best_effort.to_owned(),
                serving: serving.to_owned(),
                gain_permille: (self.headroom.interference(best_effort, serving) * 1000.0) as u32,
            })
            .collect()
    }

    /// Returns whether the store has recorded an attempt.
    pub(super) fn is_recorded(&self, key: &AttemptKey, attempt: &VmAttempt) -> bool {
        self.jobs
            .get(&key.task.job)
            .is_some_and(|job| job.recorded_revision >= attempt.revision)
    }

    /// Returns whether an attempt should run: it is the current attempt of a task that still
    /// has to run, and it has not been evicted.
    pub(super) fn is_wanted(&self, key: &AttemptKey, attempt: &VmAttempt) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(state) = job.tasks.get(&key.task) else {
            return false;
        };
        !job.phase.is_terminal()
            && !attempt.is_evicted
            && state.attempt == key.attempt
            && state.location.as_ref() == Some(&attempt.location)
    }
}
