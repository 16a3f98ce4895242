//! Handling of replies from entries: orders, permits and leases.

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_learning::InterferenceRate;
use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_schema::v1::task_report::Event;
use turmeric_types::{AttemptNumber, MonoTime, OwnerEpoch, PartitionId, TaskId};
use turmeric_worker::{LeaseRenewal, StartRequest, StopKind, StopRequest};

use super::held::{HeldState, HeldTask};
use super::session::SentState;
use super::{AgentAction, AgentTasks, OwnerView, PendingReport};
use crate::convert::{read_class, read_partition, read_resources, read_task};
use crate::{AttemptMeasurement, DecodeError, ReadTime};

/// Minimum remaining validity of a permit for a start to be sent to the worker.
const MIN_PERMIT_VALIDITY: Duration = Duration::from_millis(300);

/// A start that got no permit for this long is returned to the entry.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// An order decoded from a reply.
struct DecodedOrder {
    task: TaskId,
    attempt: AttemptNumber,
    partition: PartitionId,
    epoch: OwnerEpoch,
    action: Action,
}

fn read_order(order: &v1::TaskOrder) -> Result<DecodedOrder, DecodeError> {
    Ok(DecodedOrder {
        task: read_task(order.task.as_ref())?,
        attempt: AttemptNumber::new(order.attempt),
        partition: read_partition(order.partition)?,
        epoch: OwnerEpoch::new(order.epoch),
        action: order
            .action
            .clone()
            .ok_or(DecodeError::Missing { field: "action" })?,
    })
}

impl AgentTasks {
    /// Handles a reply from the entry in `slot`.
    ///
    /// Returns the calls to make to the worker, in order.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the reply is malformed. A malformed order is
    /// found before any change to the state, a malformed partition of `owned`
    /// only after the session was updated.
    pub fn handle_reply(
        &mut self,
        slot: usize,
        reply: &v1::PollReply,
    ) -> Result<Vec<AgentAction>, DecodeError> {
        let orders = reply
            .orders
            .iter()
            .map(|order| Ok((order.number, read_order(order)?)))
            .collect::<Result<Vec<_>, DecodeError>>()?;
        if !self.open_session(slot, reply) {
            return Ok(Vec::new());
        }
        let mut actions = Vec::new();
        let owned = self.record_owned(slot, &reply.owned)?;
        for number in &reply.acknowledged_reports {
            self.remove_report(*number, &owned, &mut actions);
        }
        for (number, order) in orders {
            if number > self.sessions[slot].last_order {
                self.sessions[slot].last_order = number;
                self.handle_order(slot, order, &mut actions);
            }
        }
        let poll_clock = self.sessions[slot].take_poll_clock(reply);
        if let (Some(confirmation), Some(clock)) = (&reply.confirmation, poll_clock) {
            self.apply_confirmation(clock, confirmation, &owned, &mut actions);
        }
        Ok(actions)
    }

    /// Updates the session from a reply.
    ///
    /// Returns false if the reply comes from an earlier incarnation of the entry.
    fn open_session(&mut self, slot: usize, reply: &v1::PollReply) -> bool {
        let session = &mut self.sessions[slot];
        if reply.entry_incarnation < session.entry_incarnation {
            return false;
        }
        if reply.entry_incarnation > session.entry_incarnation {
            session.entry_incarnation = reply.entry_incarnation;
            session.last_order = 0;
            session.acknowledged = SentState::default();
        } else {
            session.acknowledged = session.sent.clone();
        }
        session.requested_permit = false;
        session.generation = reply.ownership_generation;
        session.wants_announcement = reply.wants_announcement;
        true
    }

    /// Removes an acknowledged report and makes the worker forget the attempt.
    ///
    /// An acknowledgement of an entry that does not own the partition is
    /// ignored: the entry may not know that it lost the partition, and its
    /// ledger may be stale.
    fn remove_report(
        &mut self,
        number: u64,
        owned: &BTreeSet<PartitionId>,
        actions: &mut Vec<AgentAction>,
    ) {
        let is_owner = |report: &PendingReport| owned.contains(&report.partition);
        if !self.reports.get(&number).is_some_and(is_owner) {
            return;
        }
        let Some(report) = self.reports.remove(&number) else {
            return;
        };
        let Ok(task) = read_task(report.message.task.as_ref()) else {
            return;
        };
        let attempt = AttemptNumber::new(report.message.attempt);
        let is_terminated = self
            .tasks
            .get(&task)
            .is_some_and(|held| held.attempt == attempt && held.state == HeldState::Terminated);
        if is_terminated {
            self.tasks.remove(&task);
            actions.push(self.stop_action(task, attempt, StopKind::Forget));
        }
    }

    pub(super) fn stop_action(
        &self,
        task: TaskId,
        attempt: AttemptNumber,
        kind: StopKind,
    ) -> AgentAction {
        AgentAction::Stop(StopRequest {
            incarnation: self.incarnation,
            task,
            attempt,
            kind,
        })
    }

    /// Records which partitions the entry owns, and returns them.
    ///
    /// The agent learns of an owner here before it announces its tasks to it.
    /// After the announcement it therefore ignores orders of earlier owners.
    fn record_owned(
        &mut self,
        slot: usize,
        owned: &[v1::OwnedPartition],
    ) -> Result<BTreeSet<PartitionId>, DecodeError> {
        let mut partitions = BTreeSet::new();
        for owned in owned {
            let partition = read_partition(owned.partition)?;
            let epoch = OwnerEpoch::new(owned.epoch);
            if self.record_owner(slot, partition, epoch) {
                partitions.insert(partition);
            }
        }
        Ok(partitions)
    }

    /// Records an owner and epoch of a partition.
    ///
    /// Returns false if an owner with a higher epoch is known.
    fn record_owner(&mut self, slot: usize, partition: PartitionId, epoch: OwnerEpoch) -> bool {
        let is_newest = self
            .owners
            .get(&partition)
            .is_none_or(|owner| epoch >= owner.epoch);
        if is_newest {
            let is_known = self
                .owners
                .insert(partition, OwnerView { slot, epoch })
                .is_some_and(|owner| owner.slot == slot && owner.epoch == epoch);
            if !is_known {
                // The new owner needs the reports that were sent to the earlier one.
                self.sessions[slot].last_sent_report = 0;
            }
        }
        is_newest
    }

    fn handle_order(&mut self, slot: usize, order: DecodedOrder, actions: &mut Vec<AgentAction>) {
        if !self.record_owner(slot, order.partition, order.epoch) {
            return;
        }
        match &order.action {
            Action::Start(start) => self.handle_start(&order, start, actions),
            Action::Evict(_) => self.handle_evict(&order, actions),
            Action::Cancel(_) => self.handle_cancel(&order, actions),
        }
    }

    fn handle_start(
        &mut self,
        order: &DecodedOrder,
        start: &v1::StartTask,
        actions: &mut Vec<AgentAction>,
    ) {
        if self
            .tasks
            .get(&order.task)
            .is_some_and(|held| held.attempt == order.attempt)
        {
            return;
        }
        if self.is_draining {
            self.refuse(order, v1::RefusalReason::Draining);
            return;
        }
        let resources = read_resources(start.resources.as_ref());
        let Some(state) = self.admit_start(order, start, actions) else {
            self.refuse(order, v1::RefusalReason::Capacity);
            return;
        };
        let held = HeldTask {
            attempt: order.attempt,
            partition: order.partition,
            class: read_class(start.class),
            resources,
            evictions: start.evictions,
            state,
            start: Some(start.clone()),
            // A name that this version cannot parse is treated as unknown.
            kind: start.kind.parse().ok(),
            is_cancelled: false,
            lease_until: MonoTime::default(),
            ordered_at: self.worker_clock,
            held_since: MonoTime::default(),
            held_version: 0,
            interference_rate: InterferenceRate::new(start.harm_permille_cores),
            measurement: AttemptMeasurement::default(),
        };
        self.tasks.insert(order.task, held);
    }

    /// Reserves resources for a start, or evicts batch tasks to free them.
    ///
    /// Returns [`None`] if the VM lacks the capacity even with evictions.
    fn admit_start(
        &mut self,
        order: &DecodedOrder,
        start: &v1::StartTask,
        actions: &mut Vec<AgentAction>,
    ) -> Option<HeldState> {
        let resources = read_resources(start.resources.as_ref());
        if resources.fits_in(&self.free()) {
            let reserved = self.ledger.reserve(order.task, order.attempt, resources);
            return reserved.ok().map(|()| HeldState::AwaitingPermit);
        }
        let victims = self.victims_for(&resources, read_class(start.class))?;
        for victim in victims {
            actions.extend(self.evict_victim(victim));
        }
        Some(HeldState::AwaitingCapacity)
    }

    fn refuse(&mut self, order: &DecodedOrder, reason: v1::RefusalReason) {
        let event = Event::Refused(v1::Refused {
            reason: reason.into(),
        });
        self.report(order.partition, order.task, order.attempt, event);
    }

    /// Returns the attempt that an order names, if the agent holds it.
    fn held_attempt(&mut self, order: &DecodedOrder) -> Option<&mut HeldTask> {
        self.tasks
            .get_mut(&order.task)
            .filter(|held| held.attempt == order.attempt)
    }

    fn handle_evict(&mut self, order: &DecodedOrder, actions: &mut Vec<AgentAction>) {
        let Some(held) = self.held_attempt(order) else {
            return;
        };
        match held.state {
            HeldState::AwaitingCapacity | HeldState::AwaitingPermit => {
                self.return_attempt(order.task, v1::RefusalReason::ZoneOut);
            }
            HeldState::Held => {
                held.state = HeldState::Stopping(StopKind::Checkpoint);
                actions.push(self.stop_action(order.task, order.attempt, StopKind::Checkpoint));
            }
            // The entry repeats the order if the attempt still runs later.
            HeldState::Starting { .. } | HeldState::Stopping(_) | HeldState::Terminated => {}
        }
    }

    fn handle_cancel(&mut self, order: &DecodedOrder, actions: &mut Vec<AgentAction>) {
        let Some(held) = self.held_attempt(order) else {
            return;
        };
        match held.state {
            HeldState::AwaitingCapacity | HeldState::AwaitingPermit => {
                self.return_attempt(order.task, v1::RefusalReason::Worker);
            }
            HeldState::Starting { .. } => held.is_cancelled = true,
            HeldState::Held | HeldState::Stopping(_) => {
                held.state = HeldState::Stopping(StopKind::Discard);
                actions.push(self.stop_action(order.task, order.attempt, StopKind::Discard));
            }
            HeldState::Terminated => {}
        }
    }

    /// Removes an attempt that the worker does not hold, releases its resources
    /// and reports it to the entry as refused.
    pub(super) fn return_attempt(&mut self, task: TaskId, reason: v1::RefusalReason) {
        let Some(held) = self.tasks.remove(&task) else {
            return;
        };
        self.ledger.release(task, held.attempt);
        let event = Event::Refused(v1::Refused {
            reason: reason.into(),
        });
        self.report(held.partition, task, held.attempt, event);
        self.reserve_freed();
    }

    /// Uses a confirmation of the entry: starts the attempts that wait for a
    /// permit, or returns them if the zone is out of service, and renews leases.
    fn apply_confirmation(
        &mut self,
        worker_clock: MonoTime,
        confirmation: &v1::Confirmation,
        leased: &BTreeSet<PartitionId>,
        actions: &mut Vec<AgentAction>,
    ) {
        let read = ReadTime {
            worker_clock,
            age: Duration::from_millis(confirmation.age_millis),
            advance: Duration::from_millis(confirmation.advance_millis),
        };
        let not_after = read.permit_deadline(&self.terms);
        let lease_until = read.lease_deadline(&self.terms);
        if confirmation.zone_in_service {
            if not_after >= self.worker_clock.after(MIN_PERMIT_VALIDITY) {
                self.start_waiting(leased, not_after, lease_until, actions);
            }
            self.return_expired();
        } else {
            self.return_waiting(leased);
        }
        self.renew_leases(leased, lease_until, actions);
    }

    fn waiting_in(&self, leased: &BTreeSet<PartitionId>) -> Vec<TaskId> {
        self.tasks
            .iter()
            .filter(|(_, held)| {
                held.state == HeldState::AwaitingPermit && leased.contains(&held.partition)
            })
            .map(|(task, _)| *task)
            .collect()
    }

    fn start_waiting(
        &mut self,
        leased: &BTreeSet<PartitionId>,
        not_after: MonoTime,
        lease_until: MonoTime,
        actions: &mut Vec<AgentAction>,
    ) {
        for task in self.waiting_in(leased) {
            let Some(held) = self.tasks.get_mut(&task) else {
                continue;
            };
            let Some(start) = &held.start else {
                continue;
            };
            let request = StartRequest {
                incarnation: self.incarnation,
                task,
                attempt: held.attempt,
                partition: held.partition.get(),
                class: held.class,
                kind: held.kind.clone(),
                resources: held.resources,
                work_millis: start.work_millis,
                checkpoint_millis: start.checkpoint_millis,
                not_after,
                lease_until,
            };
            held.state = HeldState::Starting {
                not_after,
                is_outcome_unknown: false,
            };
            held.lease_until = lease_until;
            actions.push(AgentAction::Start(request));
        }
    }

    fn return_waiting(&mut self, leased: &BTreeSet<PartitionId>) {
        for task in self.waiting_in(leased) {
            self.return_attempt(task, v1::RefusalReason::ZoneOut);
        }
    }

    /// Returns starts that have waited longer than [`PERMIT_TIMEOUT`].
    fn return_expired(&mut self) {
        let expired: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| {
                matches!(
                    held.state,
                    HeldState::AwaitingPermit | HeldState::AwaitingCapacity
                ) && self.worker_clock > held.ordered_at.after(PERMIT_TIMEOUT)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in expired {
            self.return_attempt(task, v1::RefusalReason::PermitLapsed);
        }
    }

    fn renew_leases(
        &mut self,
        leased: &BTreeSet<PartitionId>,
        lease_until: MonoTime,
        actions: &mut Vec<AgentAction>,
    ) {
        // A renewal that extends the lease by less than an eighth of its term is
        // left to the next reply.
        let step = self.terms.run / 8;
        let mut renewals = Vec::new();
        for (task, held) in &mut self.tasks {
            let is_due = held.state == HeldState::Held
                && leased.contains(&held.partition)
                && lease_until >= held.lease_until.after(step);
            if is_due {
                held.lease_until = lease_until;
                renewals.push(LeaseRenewal {
                    task: *task,
                    attempt: held.attempt,
                    lease_until,
                });
            }
        }
        if !renewals.is_empty() {
            actions.push(AgentAction::Renew(renewals));
        }
    }
}
