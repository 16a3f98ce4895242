//! Applies the orders of a leader.

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet};

use super::tracked::{AttemptPlan, AttemptState, TrackedAttempt};
use super::{AttemptTable, FULL_PACE, StartPlan, TaskLoad};
use crate::{AttemptKey, AttemptStatus, InterferenceTable, LeaseGrant, NameError, read_key};

impl AttemptTable {
    /// Applies orders of a leader.
    ///
    /// Returns whether the orders were applied. Orders of an earlier epoch, for another
    /// incarnation of the endpoint, or from before its attempts terminated are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] if an order does not name a task; no order is applied then.
    pub fn apply_orders(
        &mut self,
        orders: &v1::VmOrders,
        now: MonoTime,
    ) -> Result<bool, NameError> {
        let starts = orders
            .starts
            .iter()
            .map(read_start)
            .collect::<Result<Vec<_>, _>>()?;
        let loads = orders
            .loads
            .iter()
            .map(|load| Ok((read_key(load.key.as_ref())?, read_load(load))))
            .collect::<Result<Vec<_>, NameError>>()?;
        let keep = orders
            .keep
            .iter()
            .map(|key| read_key(Some(key)))
            .collect::<Result<BTreeSet<_>, _>>()?;
        if orders.epoch < self.epoch {
            return Ok(false);
        }
        if orders.epoch > self.epoch {
            // Each leader numbers its orders from 1.
            self.applied_orders = 0;
        }
        self.epoch = orders.epoch;
        self.since_store_answer = Duration::from_millis(orders.store_silence_millis);
        let is_present = self.incarnation().is_some_and(|incarnation| {
            incarnation.endpoint == orders.endpoint && incarnation.started_at_millis == orders.born
        });
        let reported_at = MonoTime::from_millis(orders.stamp_millis);
        // A leader of an earlier version names only reports from which a lease counts.
        let answered_at = reported_at.max(MonoTime::from_millis(orders.answered_millis));
        let is_revoked = self.terminated_at.is_some_and(|at| answered_at <= at);
        if !is_present || !self.is_synced || is_revoked {
            return Ok(false);
        }
        self.applied_orders = orders.sequence;
        // The orders are for the current incarnation, so the leader knows how the last one ended.
        self.crash = None;
        // What earlier orders named may no longer run here.
        self.interferences = InterferenceTable::new();
        for pair in &orders.gains {
            let value = f64::from(pair.gain_permille) / 1000.0;
            let (best_effort, serving) = (pair.filling.clone(), pair.serving.clone());
            self.interferences.set(best_effort, serving, value);
        }
        let is_newer = |grant: LeaseGrant| grant.reported_at < reported_at;
        if orders.stamp_millis > 0 && self.grant.is_none_or(is_newer) {
            self.grant = Some(LeaseGrant { reported_at });
        }
        self.recorded_end = self.recorded_end.max(orders.recorded_end);
        self.ends = self.ends.split_off(&(self.recorded_end + 1));
        self.refused.retain(|key| keep.contains(key));
        self.drop_revoked(&keep, now);
        for (key, load) in loads {
            self.restore_load(&key, load);
        }
        for plan in starts {
            if keep.contains(&plan.key) {
                self.add_attempt(plan, now);
            }
        }
        Ok(true)
    }

    /// Drops attempts that are not to be kept and were never sent, and stops the others.
    pub(super) fn drop_revoked(&mut self, keep: &BTreeSet<AttemptKey>, now: MonoTime) {
        self.attempts.retain(|key, attempt| {
            let is_kept = keep.contains(key);
            is_kept || attempt.was_sent || attempt.state != AttemptState::StartDue
        });
        for (key, attempt) in &mut self.attempts {
            let is_stoppable = matches!(
                attempt.state,
                AttemptState::StartDue | AttemptState::Starting | AttemptState::Running
            );
            if !keep.contains(key) && is_stoppable {
                // Its answer is not waited for.
                attempt.may_have_run = attempt.may_be_running();
                attempt.state = AttemptState::StopDue;
                attempt.retry_at = now;
            }
        }
    }

    /// Records the load of an attempt that an earlier agent started.
    fn restore_load(&mut self, key: &AttemptKey, load: TaskLoad) {
        if let Some(attempt) = self.attempts.get_mut(key)
            && matches!(attempt.plan, AttemptPlan::Unknown)
        {
            attempt.plan = AttemptPlan::Restored(load);
        }
    }

    fn add_attempt(&mut self, plan: StartPlan, now: MonoTime) {
        let key = plan.key;
        let has_ended = self.ends.values().any(|end| end.key == key);
        if self.attempts.contains_key(&key) || self.refused.contains(&key) || has_ended {
            return;
        }
        let status = AttemptStatus {
            key,
            checkpoint: String::new(),
            percent: 0,
            pace: FULL_PACE,
            is_confirmed: false,
        };
        let attempt = TrackedAttempt {
            state: AttemptState::StartDue,
            plan: AttemptPlan::Ordered(plan),
            // An earlier agent may have sent it, and its end may not be listed.
            was_sent: self.has_more_ends,
            may_have_run: false,
            awaits_probe: false,
            retry_at: now,
            unanswered_at: None,
            changed_at: 0,
            is_unlisted: false,
            status,
            is_pace_known: true,
        };
        self.attempts.insert(key, attempt);
    }
}

fn read_start(order: &v1::StartOrder) -> Result<StartPlan, NameError> {
    Ok(StartPlan {
        key: read_key(order.key.as_ref())?,
        text: order.text.clone(),
        checkpoint: order.checkpoint.clone(),
        load: TaskLoad {
            is_best_effort: order.fills,
            latency_target_millis: (order.latency_target_millis > 0)
                .then_some(order.latency_target_millis),
            image: order.image.clone(),
            cores: CoreCount::from_millicores(order.millicores),
            reserved: ResourceSet::new(
                CoreCount::from_millicores(order.reserved_millicores),
                MemorySize::new(order.reserved_memory_bytes),
                AcceleratorCount::new(order.reserved_accelerators),
            ),
        },
        is_suspect: order.suspect,
    })
}

fn read_load(message: &v1::RunLoad) -> TaskLoad {
    TaskLoad {
        is_best_effort: message.fills,
        latency_target_millis: (message.latency_target_millis > 0)
            .then_some(message.latency_target_millis),
        image: message.image.clone(),
        cores: CoreCount::from_millicores(message.millicores),
        reserved: ResourceSet::new(
            CoreCount::from_millicores(message.reserved_millicores),
            MemorySize::new(message.reserved_memory_bytes),
            AcceleratorCount::new(message.reserved_accelerators),
        ),
    }
}
