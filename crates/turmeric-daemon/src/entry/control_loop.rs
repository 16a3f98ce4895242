//! Receives and answers the long polls of agents, and runs placement.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;
use tokio::sync::mpsc;
use turmeric_schema::{Message, v1};
use turmeric_tasks::PollContext;
use turmeric_types::{AgentId, ServiceName};

use super::settings;
use super::state::{EntryState, PendingPoll, agent_path};
use crate::control::IncomingMessage;
use crate::timeline::TimelineEvent;

/// Interval between checks for polls that are due for a response.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks for due polls between two checks for expired leases.
const CHECKS_PER_TICK: u32 = 10;

/// Minimum time between two rounds of placement.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// Handles the polls of all agents.
pub(crate) async fn receive(
    state: Arc<EntryState>,
    mut polls: mpsc::UnboundedReceiver<IncomingMessage>,
) {
    while let Some(message) = polls.recv().await {
        handle_message(&state, message);
    }
}

/// Passes one poll to the scheduler and answers it or keeps it pending.
fn handle_message(state: &Arc<EntryState>, mut message: IncomingMessage) {
    let poll = match v1::PollRequest::decode(message.bytes()) {
        Ok(poll) => poll,
        Err(error) => {
            warn!(
                "a control connection is closed because its message is not a valid poll: {error}"
            );
            message.close_connection();
            return;
        }
    };
    state.timeline.observe(poll.hybrid_time);
    state.metrics.count("poll");
    let context = PollContext {
        received_at: state.clock.now(),
        wall_time: state.clock.wall(),
    };
    let agent = {
        let mut scheduler = state.scheduler();
        match scheduler.receive_poll(&poll, context) {
            Ok(Some(agent)) => {
                let due_at = scheduler
                    .reply_deadline(&agent)
                    .unwrap_or(context.received_at);
                let pending = PendingPoll {
                    responder: message.responder,
                    due_at,
                };
                // This replaces a pending earlier poll of the same agent. It is stored before
                // the scheduler is unlocked: otherwise another thread could send the reply to
                // this poll with the responder of the earlier one, and the agent would wait
                // until it times out.
                state.pending_polls().insert(agent.clone(), pending);
                agent
            }
            // The poll is of an earlier incarnation of the agent, which gets no response.
            Ok(None) => return,
            Err(error) => {
                warn!("the control connection of an agent is closed because its poll is invalid: {error}", kv: {
                    agent = poll.agent.clone(),
                });
                message.close_connection();
                return;
            }
        }
    };
    if poll.announcement.is_some() {
        apply_announcement(state, &agent);
    }
    if let Some(load) = &poll.load {
        record_load(state, &agent, load.outstanding);
        state.placing.notify_one();
    }
    if !poll.reports.is_empty() {
        state.wake_writers();
        state.placing.notify_one();
    }
    answer(state, &agent);
}

/// Opens the agent's routes and queues its settings for the next response.
fn apply_announcement(state: &EntryState, agent: &AgentId) {
    let tree = state.tree();
    let now = state.clock.now();
    let mut scheduler = state.scheduler();
    let Some(mut view) = scheduler.agent(agent, now) else {
        return;
    };
    view.is_open = tree.is_in_service(&agent_path(&view));
    scheduler.set_agent_open(agent, view.is_open);
    if let Some(update) = settings::pending_values(state, &tree, &view) {
        scheduler.offer_settings(agent, update);
    }
    state.routes().update(&view, now);
    let text = format!(
        "{} endpoints, draining {}",
        view.endpoints.len(),
        view.is_draining
    );
    state.timeline.add(
        TimelineEvent::new("announced", text)
            .with_agent(agent)
            .with_zone(&view.zone),
    );
}

/// Records the agent's load in the routes of its services.
fn record_load(state: &EntryState, agent: &AgentId, outstanding: u32) {
    let services: Vec<ServiceName> = {
        let scheduler = state.scheduler();
        let Some(view) = scheduler.agent(agent, state.clock.now()) else {
            return;
        };
        view.endpoints
            .iter()
            .filter_map(|endpoint| endpoint.service.parse().ok())
            .collect()
    };
    let mut routes = state.routes();
    for service in services {
        routes.report_load(&service, agent, outstanding);
    }
}

/// Answers the agent's poll if the scheduler has a response for it.
fn answer(state: &EntryState, agent: &AgentId) {
    let (mut reply, poll) = {
        let mut scheduler = state.scheduler();
        let reply = scheduler.reply(agent, state.clock.now());
        let mut pending_polls = state.pending_polls();
        let Some(reply) = reply else {
            // The pending updates may be due earlier than before.
            let due_at = scheduler.reply_deadline(agent);
            if let (Some(poll), Some(due_at)) = (pending_polls.get_mut(agent), due_at) {
                poll.due_at = due_at;
            }
            return;
        };
        // The reply and the poll that it answers are taken together.
        let Some(poll) = pending_polls.remove(agent) else {
            return;
        };
        (reply, poll)
    };
    reply.hybrid_time = state.timeline.stamp();
    poll.responder.send(&reply.encode_to_vec());
}

/// Answers the polls of all agents with pending updates.
pub(crate) fn flush(state: &EntryState) {
    let dirty = state.scheduler().take_agents_to_update();
    for agent in dirty {
        answer(state, &agent);
    }
}

/// Answers polls that are due and checks for expired leases.
pub(crate) async fn run_timers(state: Arc<EntryState>) {
    let mut checks = 0;
    loop {
        tokio::time::sleep(DUE_CHECK_INTERVAL).await;
        let now = state.clock.now();
        let due: Vec<AgentId> = state
            .pending_polls()
            .iter()
            .filter(|(_, poll)| now >= poll.due_at)
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            answer(&state, &agent);
        }
        checks += 1;
        if checks % CHECKS_PER_TICK == 0 {
            tick(&state);
        }
    }
}

/// Updates leases, settings and routes to the current time.
fn tick(state: &EntryState) {
    let now = state.clock.now();
    let agents = {
        let mut scheduler = state.scheduler();
        scheduler.tick(now);
        scheduler.agents(now)
    };
    settings::retain_values(state, &agents);
    let mut routes = state.routes();
    routes.retain(&agents);
    for view in agents.iter().filter(|view| !view.is_reachable) {
        routes.update(view, now);
    }
    drop(routes);
    state.wake_writers();
    state.placing.notify_one();
    flush(state);
}

/// Places waiting tasks whenever it is notified of a change.
pub(crate) async fn place(state: Arc<EntryState>) {
    loop {
        state.placing.notified().await;
        state.scheduler().place_waiting();
        state.wake_writers();
        flush(&state);
        tokio::time::sleep(PLACEMENT_INTERVAL).await;
    }
}
