//! The polls of one entry.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use spdlog::{debug, warn};
use turmeric_schema::{Message, v1};
use turmeric_settings::SettingName;
use turmeric_types::SettingsVersion;

use super::state::AgentState;
use super::worker_loop;
use crate::control::ControlClient;
use crate::timeline::TimelineEvent;

/// Hold of a poll before the entry has said how long it holds.
const FIRST_HOLD: Duration = Duration::from_secs(1);

/// An answer that comes later than the hold and this is not waited for: the
/// connection has gone silent.
const SILENCE_SLACK: Duration = Duration::from_millis(2500);

/// Pause after an exchange that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// What ended the wait for an answer.
enum PollEnd {
    /// The entry answered.
    Answered(Vec<u8>),
    /// There is something new to tell the entry.
    Woken,
    /// The connection carries nothing any more.
    Silent,
}

/// Polls the entry in `slot` for good.
pub(crate) async fn run(state: Arc<AgentState>, slot: usize) {
    loop {
        if let Err(error) = run_connection(&state, slot).await {
            debug!("connection to an entry ended: {error:#}", kv: { slot = slot });
        }
        state.tasks().reset_session(slot);
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}

/// Polls over one connection until it fails or goes silent.
async fn run_connection(state: &Arc<AgentState>, slot: usize) -> Result<()> {
    let address = state.config.entries[slot];
    let mut client = ControlClient::open(address).wrap_err("opening the connection")?;
    let mut hold = FIRST_HOLD;
    loop {
        let poll = build_poll(state, slot);
        client
            .send(&poll.encode_to_vec())
            .await
            .wrap_err("sending a poll")?;
        let end = tokio::select! {
            answer = client.receive() => PollEnd::Answered(answer.wrap_err("receiving")?),
            () = state.wake(slot).notified() => PollEnd::Woken,
            () = tokio::time::sleep(hold + SILENCE_SLACK) => PollEnd::Silent,
        };
        match end {
            PollEnd::Answered(bytes) => hold = take_reply(state, slot, &bytes)?,
            PollEnd::Woken => {}
            PollEnd::Silent => {
                let text = format!("no answer from {address}; the connection is replaced");
                state
                    .timeline
                    .add(TimelineEvent::new("silent-connection", text));
                return Ok(());
            }
        }
    }
}

fn build_poll(state: &AgentState, slot: usize) -> v1::PollRequest {
    let outstanding = state.outstanding() as u32;
    let mut tasks = state.tasks();
    let announcement = state.announcement(&tasks);
    let mut poll = tasks.begin_poll(slot, &announcement, outstanding);
    poll.agent = state.agent.to_string();
    poll.settings_version = state.settings().version.get();
    poll.hybrid_time = state.timeline.stamp();
    poll
}

/// Takes in a reply; returns how long the entry holds the next poll.
fn take_reply(state: &Arc<AgentState>, slot: usize, bytes: &[u8]) -> Result<Duration> {
    let reply = v1::PollReply::decode(bytes).wrap_err("decoding a reply")?;
    state.timeline.observe(reply.hybrid_time);
    if let Some(update) = &reply.settings {
        take_settings(state, update);
    }
    let actions = state
        .tasks()
        .handle_reply(slot, &reply)
        .wrap_err("reading a reply")?;
    worker_loop::spawn_actions(state, actions);
    state.wake_polls_with_news();
    Ok(Duration::from_millis(u64::from(reply.hold_millis)))
}

/// Takes in settings, unless newer ones are in force.
fn take_settings(state: &Arc<AgentState>, update: &v1::SettingsUpdate) {
    let version = SettingsVersion::new(update.version);
    {
        let mut settings = state.settings();
        if version <= settings.version {
            return;
        }
        settings.version = version;
        for setting in &update.values {
            settings
                .values
                .insert(setting.name.clone(), setting.value.clone());
        }
    }
    for setting in &update.values {
        apply_setting(state, &setting.name, &setting.value);
    }
    state.timeline.add(TimelineEvent::new(
        "settings",
        format!("version {version} in force"),
    ));
    // The entries learn at once which version this agent is in.
    state.wake_polls();
}

fn apply_setting(state: &Arc<AgentState>, name: &str, value: &str) {
    match name.parse::<SettingName>() {
        Ok(SettingName::QueueLimit) => {
            if let Ok(waiting) = value.parse() {
                state.gate.set_waiting(waiting);
            }
        }
        Ok(SettingName::BatchSpeed) => {
            if let Ok(percent) = value.parse() {
                state.watch().set_speed_ceiling(percent);
            }
        }
        Ok(SettingName::LatencyTarget) => {
            if let Ok(millis) = value.parse() {
                let target = Duration::from_millis(millis);
                state.watch().set_latency_target(target);
            }
        }
        Ok(SettingName::EvictionPolicy) => {
            if let Ok(policy) = value.parse() {
                state.tasks().set_eviction_policy(policy);
            }
        }
        Ok(_) => {}
        Err(_) => warn!("a newer entry sent an unknown setting", kv: { name = name.to_owned() }),
    }
}
