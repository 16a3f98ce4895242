//! Polls from agents: announcements, load and reports.

use turmeric_schema::v1;
use turmeric_schema::v1::task_report::Event;
use turmeric_types::{
    AgentId, AttemptNumber, Incarnation, MonoTime, SettingsVersion, TaskId, WallTime,
};

use super::TaskScheduler;
use super::session::{AgentSession, AnnouncedState, PendingPoll};
use crate::convert::{read_partition, read_resources, read_task};
use crate::transition::read_name;
use crate::{AttemptMeasurement, DecodeError, ReturnReason, TaskChange, TaskTransition};

/// The time at which a poll arrived.
#[derive(Clone, Copy, Debug)]
pub struct PollContext {
    /// Arrival by the entry's monotonic clock.
    pub received_at: MonoTime,
    /// Arrival by the entry's wall clock.
    pub wall_time: WallTime,
}

impl TaskScheduler {
    /// Handles a poll; the caller then calls [`TaskScheduler::reply`].
    ///
    /// Returns the agent, or [`None`] for a poll that is outdated: one of an
    /// earlier incarnation of the agent, or one that a later poll has
    /// overtaken, since its list of tasks is old.
    ///
    /// # Errors
    ///
    /// See [`DecodeError`]. The list of running tasks is decoded last, when the
    /// reports are already handled; other errors leave the scheduler unchanged.
    pub fn receive_poll(
        &mut self,
        poll: &v1::PollRequest,
        context: PollContext,
    ) -> Result<Option<AgentId>, DecodeError> {
        let agent: AgentId = read_name("agent", &poll.agent)?;
        let announced = poll.announcement.as_ref().map(read_announced).transpose()?;
        let reports = poll
            .reports
            .iter()
            .map(ReadReport::new)
            .collect::<Result<Vec<_>, _>>()?;
        let incarnation = Incarnation::new(poll.incarnation);
        if !self.open_session(&agent, incarnation, poll.sequence, context.received_at) {
            return Ok(None);
        }
        self.record_poll(&agent, poll, context);
        for report in reports {
            self.handle_report(&agent, report, context);
        }
        if let (Some(announced), Some(message)) = (announced, &poll.announcement) {
            let knows_owner = poll.entry_incarnation == self.incarnation.get()
                && poll.ownership_generation == self.generation;
            self.handle_announcement(&agent, announced, message, knows_owner)?;
        }
        self.refresh_slot(&agent);
        Ok(Some(agent))
    }

    /// Returns whether the poll is the newest of the agent's newest incarnation.
    ///
    /// Creates the session of a new agent and replaces that of an earlier incarnation.
    fn open_session(
        &mut self,
        agent: &AgentId,
        incarnation: Incarnation,
        sequence: u64,
        now: MonoTime,
    ) -> bool {
        let session = self
            .sessions
            .entry(agent.clone())
            .or_insert_with(|| AgentSession::new(incarnation, now));
        let is_overtaken = incarnation == session.incarnation && sequence <= session.sequence;
        if incarnation < session.incarnation || is_overtaken {
            return false;
        }
        if incarnation > session.incarnation {
            let mut fresh = AgentSession::new(incarnation, now);
            // Tasks of the earlier incarnation keep running under its leases.
            fresh.lease_until = session.lease_until;
            *session = fresh;
        }
        session.sequence = sequence;
        true
    }

    fn record_poll(&mut self, agent: &AgentId, poll: &v1::PollRequest, context: PollContext) {
        let is_current_owner = poll.entry_incarnation == self.incarnation.get()
            && poll.ownership_generation == self.generation;
        let Some(session) = self.sessions.get_mut(agent) else {
            return;
        };
        session.last_poll_at = context.received_at;
        let pending_since = session
            .poll
            .map_or(context.received_at, |poll| poll.pending_since);
        session.poll = Some(PendingPoll {
            received_at: context.received_at,
            pending_since,
            wants_permit: poll.wants_permit,
        });
        session.record_settings_version(SettingsVersion::new(poll.settings_version));
        if poll.entry_incarnation == self.incarnation.get() {
            session.acknowledge_orders(poll.acknowledged_order);
        }
        if !is_current_owner {
            session.is_reconciled = false;
        }
        if let Some(load) = &poll.load {
            session.free = read_resources(load.free.as_ref());
            session.evictable = read_resources(load.evictable.as_ref());
            session.outstanding = load.outstanding;
            session.interference_permille = load.harm_permille;
            session.interference_budget_permille = load.harm_budget_permille;
        }
    }

    fn handle_report(&mut self, agent: &AgentId, report: ReadReport, context: PollContext) {
        let Some(owned) = self.partitions.get(&report.partition) else {
            return;
        };
        let is_current = owned
            .ledger
            .get(report.task)
            .is_some_and(|record| record.is_assigned(agent, report.attempt));
        if !is_current {
            self.acknowledge(agent, report.number);
            return;
        }
        let is_pending = owned.pending_tasks.contains(&report.task);
        let unacknowledged = self.unacknowledged.entry(report.task).or_default();
        let entry = (agent.clone(), report.number);
        if !unacknowledged.contains(&entry) {
            unacknowledged.push(entry);
        }
        if !is_pending {
            self.write_report(agent, &report, context);
        }
    }

    fn acknowledge(&mut self, agent: &AgentId, number: u64) {
        if let Some(session) = self.sessions.get_mut(agent) {
            session.acknowledged_reports.insert(number);
        }
    }

    fn write_report(&mut self, agent: &AgentId, report: &ReadReport, context: PollContext) {
        let Some(record) = self
            .partitions
            .get(&report.partition)
            .and_then(|owned| owned.ledger.get(report.task))
        else {
            return;
        };
        let is_last_attempt = record.is_last_attempt();
        let attempt = report.attempt;
        let observed = report.observed.clone();
        let returned = |checkpoint_millis, reason| TaskChange::Returned {
            attempt,
            checkpoint_millis,
            reason,
            observed: observed.clone(),
        };
        let change = match &report.event {
            Event::Refused(_) => returned(0, ReturnReason::Refused),
            Event::Evicted(evicted) => returned(evicted.checkpoint_millis, ReturnReason::Evicted),
            Event::Ended(ended) if !ended.succeeded && !is_last_attempt => {
                returned(0, ReturnReason::Failed)
            }
            Event::Ended(ended) => TaskChange::Ended {
                attempt,
                succeeded: ended.succeeded,
                ended_at: context.wall_time,
                observed: observed.clone(),
            },
        };
        if matches!(
            change,
            TaskChange::Returned {
                reason: ReturnReason::Failed | ReturnReason::Evicted,
                ..
            }
        ) {
            let job = report.task.job;
            self.avoidance
                .record_return(job, agent, context.received_at);
        }
        if let Some(session) = self.sessions.get_mut(agent) {
            match &report.event {
                Event::Ended(ended) => {
                    session.record_end(report.task, ended.succeeded, context.received_at);
                }
                _ => session.remove_unconfirmed(report.task),
            }
        }
        self.write(report.partition, TaskTransition::new(report.task, change));
    }

    /// Adds a transition to the partition's log; it takes effect once it is durable.
    pub(super) fn write(
        &mut self,
        partition: turmeric_types::PartitionId,
        transition: TaskTransition,
    ) {
        if let Some(owned) = self.partitions.get_mut(&partition) {
            owned.pending_tasks.insert(transition.task);
            owned.writer.push(transition);
            self.unwritten.insert(partition);
        }
    }
}

/// A decoded report of a poll.
struct ReadReport {
    number: u64,
    task: TaskId,
    attempt: AttemptNumber,
    partition: turmeric_types::PartitionId,
    event: Event,
    observed: AttemptMeasurement,
}

impl ReadReport {
    fn new(report: &v1::TaskReport) -> Result<Self, DecodeError> {
        let event = report
            .event
            .clone()
            .ok_or(DecodeError::Missing { field: "event" })?;
        let observed = match &event {
            Event::Refused(_) => AttemptMeasurement::default(),
            Event::Ended(ended) => {
                AttemptMeasurement::read(ended.usage.as_ref(), ended.harm.as_ref())?
            }
            Event::Evicted(evicted) => AttemptMeasurement::read(None, evicted.harm.as_ref())?,
        };
        Ok(Self {
            number: report.number,
            task: read_task(report.task.as_ref())?,
            attempt: AttemptNumber::new(report.attempt),
            partition: read_partition(report.partition)?,
            event,
            observed,
        })
    }
}

fn read_announced(message: &v1::Announcement) -> Result<AnnouncedState, DecodeError> {
    Ok(AnnouncedState {
        worker: message.worker.clone(),
        region: message.region.clone(),
        zone: read_name("zone", &message.zone)?,
        rack: message.rack.clone(),
        address: message.address.clone(),
        capacity: read_resources(message.capacity.as_ref()),
        endpoints: message.endpoints.clone(),
        is_draining: message.draining,
    })
}
