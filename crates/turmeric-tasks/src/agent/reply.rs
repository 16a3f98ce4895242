//! Replies of entries: orders, permits and leases.

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

/// A start needs at least this much of its permit.
const PERMIT_RESERVE: Duration = Duration::from_millis(300);

/// A start that got no permit for this long is given back.
const PERMIT_WAIT: Duration = Duration::from_secs(5);

/// An order as read from a reply.
struct ReadOrder {
    task: TaskId,
    attempt: AttemptNumber,
    partition: PartitionId,
    epoch: OwnerEpoch,
    action: Action,
}

fn read_order(order: &v1::TaskOrder) -> Result<ReadOrder, DecodeError> {
    Ok(ReadOrder {
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
    /// Takes in a reply of the entry in `slot`.
    ///
    /// Returns the calls to make to the worker, in this order.
    ///
    /// # Errors
    ///
    /// See [`DecodeError`]; nothing is taken in then.
    pub fn take_reply(
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
        let owned = self.take_owned(slot, &reply.owned)?;
        for number in &reply.acknowledged_reports {
            self.drop_report(*number, &owned, &mut actions);
        }
        for (number, order) in orders {
            if number > self.sessions[slot].last_order {
                self.sessions[slot].last_order = number;
                self.take_order(slot, order, &mut actions);
            }
        }
        if let Some(confirmation) = &reply.confirmation {
            self.use_confirmation(slot, confirmation, &owned, &mut actions);
        }
        Ok(actions)
    }

    /// Returns whether the reply comes from the newest life of the entry.
    fn open_session(&mut self, slot: usize, reply: &v1::PollReply) -> bool {
        let session = &mut self.sessions[slot];
        if reply.entry_incarnation < session.entry_incarnation {
            return false;
        }
        if reply.entry_incarnation > session.entry_incarnation {
            session.entry_incarnation = reply.entry_incarnation;
            session.last_order = 0;
            session.known = SentState::default();
        } else {
            session.known = session.sent.clone();
        }
        session.asked_permit = false;
        session.generation = reply.ownership_generation;
        session.wants_announcement = reply.wants_announcement;
        true
    }

    /// Drops an acknowledged report and lets the worker forget the attempt.
    ///
    /// An entry that has lost the partition without knowing has old books;
    /// its acknowledgement counts for nothing.
    fn drop_report(
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
        let is_over = self
            .tasks
            .get(&task)
            .is_some_and(|held| held.attempt == attempt && held.state == HeldState::Over);
        if is_over {
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

    /// Learns who owns which partition; returns those of this entry.
    ///
    /// An agent that has announced its tasks to an owner takes no order of
    /// an earlier one any more, since it learned of the owner here first.
    fn take_owned(
        &mut self,
        slot: usize,
        owned: &[v1::OwnedPartition],
    ) -> Result<BTreeSet<PartitionId>, DecodeError> {
        let mut partitions = BTreeSet::new();
        for owned in owned {
            let partition = read_partition(owned.partition)?;
            let epoch = OwnerEpoch::new(owned.epoch);
            if self.note_owner(slot, partition, epoch) {
                partitions.insert(partition);
            }
        }
        Ok(partitions)
    }

    /// Returns whether the entry is the newest owner heard of.
    fn note_owner(&mut self, slot: usize, partition: PartitionId, epoch: OwnerEpoch) -> bool {
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
                // Reports that went to the earlier owner go to this one too.
                self.sessions[slot].sent_report = 0;
            }
        }
        is_newest
    }

    fn take_order(&mut self, slot: usize, order: ReadOrder, actions: &mut Vec<AgentAction>) {
        if !self.note_owner(slot, order.partition, order.epoch) {
            return;
        }
        match &order.action {
            Action::Start(start) => self.take_start(&order, start, actions),
            Action::Evict(_) => self.take_evict(&order, actions),
            Action::Cancel(_) => self.take_cancel(&order, actions),
        }
    }

    fn take_start(
        &mut self,
        order: &ReadOrder,
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
            // A name that this version refuses is no name.
            kind: start.kind.parse().ok(),
            is_cancelled: false,
            lease_until: MonoTime::default(),
            ordered_at: self.worker_clock,
            held_since: MonoTime::default(),
            changed_at: 0,
            interference_rate: InterferenceRate::new(start.harm_permille_cores),
            observed: AttemptMeasurement::default(),
        };
        self.tasks.insert(order.task, held);
    }

    /// Reserves resources for a start, or evicts batch tasks to have them.
    ///
    /// Returns [`None`] when the VM cannot hold the task.
    fn admit_start(
        &mut self,
        order: &ReadOrder,
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
        Some(HeldState::AwaitingRoom)
    }

    fn refuse(&mut self, order: &ReadOrder, reason: v1::RefusalReason) {
        let event = Event::Refused(v1::Refused {
            reason: reason.into(),
        });
        self.report(order.partition, order.task, order.attempt, event);
    }

    /// Returns the attempt that an order names, if the agent holds it.
    fn held_attempt(&mut self, order: &ReadOrder) -> Option<&mut HeldTask> {
        self.tasks
            .get_mut(&order.task)
            .filter(|held| held.attempt == order.attempt)
    }

    fn take_evict(&mut self, order: &ReadOrder, actions: &mut Vec<AgentAction>) {
        let Some(held) = self.held_attempt(order) else {
            return;
        };
        match held.state {
            HeldState::AwaitingRoom | HeldState::AwaitingPermit => {
                self.give_back(order.task, v1::RefusalReason::ZoneOut);
            }
            HeldState::Held => {
                held.state = HeldState::Stopping(StopKind::Checkpoint);
                actions.push(self.stop_action(order.task, order.attempt, StopKind::Checkpoint));
            }
            // The entry asks again if the attempt still runs later.
            HeldState::Starting { .. } | HeldState::Stopping(_) | HeldState::Over => {}
        }
    }

    fn take_cancel(&mut self, order: &ReadOrder, actions: &mut Vec<AgentAction>) {
        let Some(held) = self.held_attempt(order) else {
            return;
        };
        match held.state {
            HeldState::AwaitingRoom | HeldState::AwaitingPermit => {
                self.give_back(order.task, v1::RefusalReason::Worker);
            }
            HeldState::Starting { .. } => held.is_cancelled = true,
            HeldState::Held | HeldState::Stopping(_) => {
                held.state = HeldState::Stopping(StopKind::Discard);
                actions.push(self.stop_action(order.task, order.attempt, StopKind::Discard));
            }
            HeldState::Over => {}
        }
    }

    /// Releases an attempt that never started and reports so.
    pub(super) fn give_back(&mut self, task: TaskId, reason: v1::RefusalReason) {
        let Some(held) = self.tasks.remove(&task) else {
            return;
        };
        self.ledger.release(task, held.attempt);
        let event = Event::Refused(v1::Refused {
            reason: reason.into(),
        });
        self.report(held.partition, task, held.attempt, event);
        self.fill_room();
    }

    /// Starts what waits for a permit and renews what runs.
    fn use_confirmation(
        &mut self,
        slot: usize,
        confirmation: &v1::Confirmation,
        leased: &BTreeSet<PartitionId>,
        actions: &mut Vec<AgentAction>,
    ) {
        let read = ReadTime {
            worker_clock: self.sessions[slot].clock_at_poll,
            age: Duration::from_millis(confirmation.age_millis),
            advance: Duration::from_millis(confirmation.advance_millis),
        };
        let not_after = read.permit_deadline(&self.terms);
        let lease_until = read.lease_deadline(&self.terms);
        if confirmation.zone_in_service {
            if not_after >= self.worker_clock.after(PERMIT_RESERVE) {
                self.start_waiting(leased, not_after, lease_until, actions);
            }
            self.give_back_late();
        } else {
            self.give_back_waiting(leased);
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
                is_unanswered: false,
            };
            held.lease_until = lease_until;
            actions.push(AgentAction::Start(request));
        }
    }

    fn give_back_waiting(&mut self, leased: &BTreeSet<PartitionId>) {
        for task in self.waiting_in(leased) {
            self.give_back(task, v1::RefusalReason::ZoneOut);
        }
    }

    /// Gives back starts that got no permit for too long.
    fn give_back_late(&mut self) {
        let late: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| {
                matches!(
                    held.state,
                    HeldState::AwaitingPermit | HeldState::AwaitingRoom
                ) && self.worker_clock > held.ordered_at.after(PERMIT_WAIT)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in late {
            self.give_back(task, v1::RefusalReason::PermitLapsed);
        }
    }

    fn renew_leases(
        &mut self,
        leased: &BTreeSet<PartitionId>,
        lease_until: MonoTime,
        actions: &mut Vec<AgentAction>,
    ) {
        // A renewal that adds little is left to the next reply.
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
