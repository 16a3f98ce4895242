//! Polls of agents, their answers, and placement.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;
use tokio::sync::mpsc;
use turmeric_schema::{Message, v1};
use turmeric_tasks::PollContext;
use turmeric_types::{AgentId, ServiceName};

use super::settings;
use super::state::{EntryState, HeldResponder, agent_path};
use crate::control::IncomingMessage;
use crate::timeline::TimelineEvent;

/// Pause between looks for polls whose hold has ended.
const HOLD_PAUSE: Duration = Duration::from_millis(100);

/// Looks for ended holds between two looks for lapsed leases.
const TICK_LOOKS: u32 = 10;

/// Shortest time between two rounds of placement.
const PLACE_PAUSE: Duration = Duration::from_millis(10);

/// Takes in the polls of all agents.
pub(crate) async fn receive(
    state: Arc<EntryState>,
    mut polls: mpsc::UnboundedReceiver<IncomingMessage>,
) {
    while let Some(message) = polls.recv().await {
        take_message(&state, message);
    }
}

fn take_message(state: &Arc<EntryState>, mut message: IncomingMessage) {
    let poll = match v1::PollRequest::decode(message.bytes()) {
        Ok(poll) => poll,
        Err(error) => {
            warn!("a control connection sent no message and is closed: {error}");
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
    let (agent, due_at) = {
        let mut scheduler = state.scheduler();
        match scheduler.receive_poll(&poll, context) {
            Ok(Some(agent)) => {
                let due_at = scheduler
                    .reply_deadline(&agent)
                    .unwrap_or(context.received_at);
                (agent, due_at)
            }
            // An earlier life of the agent gets no answer.
            Ok(None) => return,
            Err(error) => {
                warn!("a poll cannot be read and its connection is closed: {error}", kv: {
                    agent = poll.agent.clone(),
                });
                message.close_connection();
                return;
            }
        }
    };
    if poll.announcement.is_some() {
        take_announcement(state, &agent);
    }
    if let Some(load) = &poll.load {
        take_load(state, &agent, load.outstanding);
        state.placing.notify_one();
    }
    if !poll.reports.is_empty() {
        state.wake_writers();
        state.placing.notify_one();
    }
    let held = HeldResponder {
        responder: message.responder,
        due_at,
    };
    // An earlier poll of the same agent is given up.
    state.held().insert(agent.clone(), held);
    answer(state, &agent);
}

/// Opens routes to the agent and tells it its settings.
fn take_announcement(state: &EntryState, agent: &AgentId) {
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

fn take_load(state: &EntryState, agent: &AgentId, outstanding: u32) {
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

/// Answers the agent's poll if it is time to.
fn answer(state: &EntryState, agent: &AgentId) {
    let reply = {
        let mut scheduler = state.scheduler();
        let reply = scheduler.reply(agent, state.clock.now());
        if reply.is_none() {
            // What there is to say may have to be said earlier than before.
            let due_at = scheduler.reply_deadline(agent);
            let mut held = state.held();
            if let (Some(held), Some(due_at)) = (held.get_mut(agent), due_at) {
                held.due_at = due_at;
            }
        }
        reply
    };
    let Some(mut reply) = reply else {
        return;
    };
    reply.hybrid_time = state.timeline.stamp();
    if let Some(held) = state.held().remove(agent) {
        held.responder.send(&reply.encode_to_vec());
    }
}

/// Answers the polls of all agents that have something to be told.
pub(crate) fn flush(state: &EntryState) {
    let dirty = state.scheduler().take_agents_to_update();
    for agent in dirty {
        answer(state, &agent);
    }
}

/// Answers polls whose hold has ended and looks for lapsed leases.
pub(crate) async fn keep_time(state: Arc<EntryState>) {
    let mut looks = 0;
    loop {
        tokio::time::sleep(HOLD_PAUSE).await;
        let now = state.clock.now();
        let due: Vec<AgentId> = state
            .held()
            .iter()
            .filter(|(_, held)| now >= held.due_at)
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            answer(&state, &agent);
        }
        looks += 1;
        if looks % TICK_LOOKS == 0 {
            tick(&state);
        }
    }
}

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

/// Places waiting tasks whenever something has changed.
pub(crate) async fn place(state: Arc<EntryState>) {
    loop {
        state.placing.notified().await;
        state.scheduler().place_waiting();
        state.wake_writers();
        flush(&state);
        tokio::time::sleep(PLACE_PAUSE).await;
    }
}
