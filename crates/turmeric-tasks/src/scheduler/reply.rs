//! Replies to polls: orders, acknowledgements, permits and leases.

use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{AgentId, MonoTime, SettingsVersion};

use super::TaskScheduler;
use super::session::AgentSession;

/// Maximum age of a confirmation for which a permit alone triggers a reply.
const PERMIT_AGE_LIMIT: Duration = Duration::from_millis(1000);

/// Maximum number of orders in one reply.
const ORDER_LIMIT: usize = 256;

/// Bytes of one poll and its reply, with their packet headers.
const EXCHANGE_BYTES: u64 = 400;

/// Bytes per second that polls and replies may use.
const EXCHANGE_BUDGET: u64 = 6_000;

/// Long-poll timeout when only acknowledgements are pending: they are
/// piggybacked on an order that is sent before that.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of pending acknowledgements that triggers a reply.
const ACKNOWLEDGEMENT_LIMIT: usize = 16;

/// Minimum long-poll timeout.
const MIN_POLL_TIMEOUT: Duration = Duration::from_secs(1);

impl TaskScheduler {
    /// Returns the long-poll timeout.
    ///
    /// It grows with the number of agents, so that the control traffic stays
    /// within its budget, but is well below the lease term.
    pub fn poll_timeout(&self) -> Duration {
        let millis = self.sessions.len() as u64 * EXCHANGE_BYTES * 1000 / EXCHANGE_BUDGET;
        let ceiling = (self.terms.run / 3).max(MIN_POLL_TIMEOUT);
        Duration::from_millis(millis).clamp(MIN_POLL_TIMEOUT, ceiling)
    }

    /// Offers newer settings to an agent in its replies.
    pub fn offer_settings(&mut self, agent: &AgentId, update: v1::SettingsUpdate) {
        if let Some(session) = self.sessions.get_mut(agent) {
            session.settings_update = Some(update);
            self.agents_to_update.insert(agent.clone());
        }
    }

    /// Returns when the agent's poll is answered at the latest, or [`None`] without one.
    pub fn reply_deadline(&self, agent: &AgentId) -> Option<MonoTime> {
        let session = self.sessions.get(agent)?;
        Some(
            session
                .poll?
                .pending_since
                .after(self.poll_timeout_of(session)),
        )
    }

    fn poll_timeout_of(&self, session: &AgentSession) -> Duration {
        if session.acknowledged_reports.is_empty() {
            return self.poll_timeout();
        }
        self.poll_timeout().min(ACKNOWLEDGEMENT_TIMEOUT)
    }

    /// Returns the reply to the agent's poll if there are updates or the poll has timed out.
    pub fn reply(&mut self, agent: &AgentId, now: MonoTime) -> Option<v1::PollReply> {
        let poll_timeout = self.poll_timeout();
        let session = self.sessions.get(agent)?;
        let poll = session.poll?;
        let is_due = now >= poll.pending_since.after(self.poll_timeout_of(session));
        if !is_due && !self.has_pending_updates(session, now) {
            return None;
        }
        Some(self.build_reply(agent, poll_timeout, now))
    }

    fn has_pending_updates(&self, session: &AgentSession, now: MonoTime) -> bool {
        let has_orders = session
            .orders
            .last_key_value()
            .is_some_and(|(number, _)| *number > session.sent_order);
        let has_permit = session.poll.is_some_and(|poll| poll.wants_permit)
            && self.is_freshly_confirmed(now)
            && session.is_reconciled;
        let has_settings = session
            .settings_update
            .as_ref()
            .is_some_and(|update| SettingsVersion::new(update.version) > session.settings_version);
        has_orders
            || has_permit
            || has_settings
            || session.acknowledged_reports.len() >= ACKNOWLEDGEMENT_LIMIT
            || !session.is_reconciled
    }

    fn is_freshly_confirmed(&self, now: MonoTime) -> bool {
        self.confirmation
            .is_some_and(|confirmation| now.since(confirmation.began_at) <= PERMIT_AGE_LIMIT)
    }

    fn build_reply(
        &mut self,
        agent: &AgentId,
        poll_timeout: Duration,
        now: MonoTime,
    ) -> v1::PollReply {
        let confirmation = self.build_confirmation(agent, now);
        let owned = self
            .owned_partitions()
            .map(|(partition, epoch)| v1::OwnedPartition {
                partition: u32::from(partition.get()),
                epoch: epoch.get(),
            })
            .collect();
        let mut reply = v1::PollReply {
            owned,
            entry_incarnation: self.incarnation.get(),
            ownership_generation: self.generation,
            confirmation,
            hold_millis: poll_timeout.as_millis() as u32,
            draining: self.is_draining,
            ..v1::PollReply::default()
        };
        let Some(session) = self.sessions.get_mut(agent) else {
            return reply;
        };
        session.poll = None;
        reply.answered_sequence = session.sequence;
        reply.wants_announcement = !session.is_reconciled || session.announced.is_none();
        reply.acknowledged_reports = session.acknowledged_reports.iter().copied().collect();
        session.acknowledged_reports.clear();
        reply.orders = session.orders.values().take(ORDER_LIMIT).cloned().collect();
        if let Some(order) = reply.orders.last() {
            session.sent_order = order.number;
        }
        reply.settings = session
            .settings_update
            .clone()
            .filter(|update| SettingsVersion::new(update.version) > session.settings_version);
        reply
    }

    /// Builds the confirmation from which the agent derives its permits and leases.
    ///
    /// Returns [`None`] for an agent whose tasks are not reconciled with the ledgers.
    fn build_confirmation(&mut self, agent: &AgentId, now: MonoTime) -> Option<v1::Confirmation> {
        let confirmation = self.confirmation?;
        let expiry_wait = self.terms.expiry_wait();
        let session = self.sessions.get_mut(agent)?;
        let poll = session.poll?;
        // The agent cancels attempts before it starts those that wait.
        if session.orders.len() > ORDER_LIMIT {
            return None;
        }
        if !session.is_reconciled || now.since(confirmation.began_at) > self.terms.run {
            return None;
        }
        session.lease_until = session
            .lease_until
            .max(confirmation.began_at.after(expiry_wait));
        let is_open = session.is_open;
        let age = poll.received_at.since(confirmation.began_at);
        let advance = confirmation.began_at.since(poll.received_at);
        Some(v1::Confirmation {
            age_millis: age.as_micros().div_ceil(1000) as u64,
            settings_version: confirmation.version.get(),
            zone_in_service: is_open,
            advance_millis: advance.as_millis() as u64,
        })
    }

    /// Returns the agents whose polls are waiting for a reply.
    pub fn polling_agents(&self) -> Vec<AgentId> {
        self.sessions
            .iter()
            .filter(|(_, session)| session.poll.is_some())
            .map(|(agent, _)| agent.clone())
            .collect()
    }
}
