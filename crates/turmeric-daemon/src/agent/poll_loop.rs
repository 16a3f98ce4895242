//! Long polls of the agent at one entry.

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

/// Long-poll timeout until the entry has sent its own.
const INITIAL_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time past the long-poll timeout after which a connection without a response counts
/// as unresponsive.
const RESPONSE_SLACK: Duration = Duration::from_millis(2500);

/// Delay before a new connection after one that failed or was unresponsive.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Why the wait for a response ended.
enum PollEnd {
    /// The entry responded with these bytes.
    Responded(Vec<u8>),
    /// The agent has updates for the entry.
    Woken,
    /// The connection is unresponsive.
    TimedOut,
}

/// Polls the entry at `entry_index` of the settings; never returns.
pub(crate) async fn run(state: Arc<AgentState>, entry_index: usize) {
    loop {
        if let Err(error) = run_connection(&state, entry_index).await {
            debug!("control connection to an entry ended: {error:#}", kv: { slot = entry_index });
        }
        state.tasks().reset_session(entry_index);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Polls over one connection until it fails or becomes unresponsive.
async fn run_connection(state: &Arc<AgentState>, entry_index: usize) -> Result<()> {
    let address = state.config.entries[entry_index];
    let mut client = ControlClient::open(address).wrap_err("opening the control connection")?;
    let mut poll_timeout = INITIAL_POLL_TIMEOUT;
    loop {
        let poll = build_poll(state, entry_index);
        client
            .send(&poll.encode_to_vec())
            .await
            .wrap_err("sending a poll")?;
        let end = tokio::select! {
            reply = client.receive() => PollEnd::Responded(reply.wrap_err("receiving a reply")?),
            () = state.wake(entry_index).notified() => PollEnd::Woken,
            () = tokio::time::sleep(poll_timeout + RESPONSE_SLACK) => PollEnd::TimedOut,
        };
        match end {
            PollEnd::Responded(bytes) => poll_timeout = apply_reply(state, entry_index, &bytes)?,
            PollEnd::Woken => {}
            PollEnd::TimedOut => {
                let text = format!(
                    "entry {address} did not respond in time; replacing the control connection"
                );
                state
                    .timeline
                    .add(TimelineEvent::new("silent-connection", text));
                return Ok(());
            }
        }
    }
}

fn build_poll(state: &AgentState, entry_index: usize) -> v1::PollRequest {
    let outstanding = state.outstanding() as u32;
    let mut tasks = state.tasks();
    let announcement = state.announcement(&tasks);
    let mut poll = tasks.begin_poll(entry_index, &announcement, outstanding);
    poll.agent = state.agent.to_string();
    poll.settings_version = state.settings().version.get();
    poll.hybrid_time = state.timeline.stamp();
    poll
}

/// Applies a reply; returns the long-poll timeout for the next poll.
fn apply_reply(state: &Arc<AgentState>, entry_index: usize, bytes: &[u8]) -> Result<Duration> {
    let reply = v1::PollReply::decode(bytes).wrap_err("decoding a reply")?;
    state.timeline.observe(reply.hybrid_time);
    if let Some(update) = &reply.settings {
        apply_settings(state, update);
    }
    let actions = state
        .tasks()
        .handle_reply(entry_index, &reply)
        .wrap_err("applying a reply")?;
    worker_loop::spawn_actions(state, actions);
    state.wake_polls_with_updates();
    Ok(Duration::from_millis(u64::from(reply.hold_millis)))
}

/// Applies settings, unless these or newer ones are already in force.
fn apply_settings(state: &Arc<AgentState>, update: &v1::SettingsUpdate) {
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
        format!("settings version {version} in force"),
    ));
    // Informs the entries at once of the version that this agent applies.
    state.wake_polls();
}

fn apply_setting(state: &Arc<AgentState>, name: &str, value: &str) {
    match name.parse::<SettingName>() {
        Ok(SettingName::QueueLimit) => {
            if let Ok(waiting) = value.parse() {
                state.gate.set_queue_limit(waiting);
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
        Err(_) => {
            warn!("ignoring an unknown setting from a newer entry", kv: { name = name.to_owned() })
        }
    }
}
