//! Calls to the worker: status polls, and the actions that the task state requires.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use spdlog::{info, warn};
use turmeric_learning::ThrottleStep;
use turmeric_tasks::AgentAction;
use turmeric_worker::{StartRequest, StopRequest, ThrottleRequest};

use super::state::AgentState;
use super::watch::WorkerView;
use crate::timeline::TimelineEvent;

/// Interval between polls of the worker's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the worker's status until it no longer reports the VM instance `instance`.
pub(crate) async fn run(state: Arc<AgentState>, instance: u32) -> Result<()> {
    let mut has_endpoint = false;
    loop {
        tokio::time::sleep(STATUS_INTERVAL).await;
        let version = state.tasks().begin_status();
        match state.worker.status().await {
            Ok(status) if status.instance != instance => {
                bail!("the VM of the worker was replaced; this agent incarnation ends");
            }
            Ok(status) => {
                let actions = state.tasks().apply_status(version, &status);
                spawn_actions(&state, actions);
            }
            Err(error) => warn!("cannot read the worker status: {error}"),
        }
        let endpoint_now = state.endpoint().at(state.clock.now()).is_some();
        if endpoint_now != has_endpoint {
            has_endpoint = endpoint_now;
            state.wake_polls();
        }
        measure_interference(&state);
        throttle_or_evict(&state);
        apply_speed(&state).await;
        state.wake_polls_with_updates();
    }
}

/// Returns the tasks and capacity of the worker, for interference measurements.
fn view_worker(state: &AgentState) -> WorkerView {
    let tasks = state.tasks();
    WorkerView {
        interference_permille: tasks.interference_permille(),
        tasks: tasks.meter_tasks(),
        capacity: tasks.capacity().cores,
    }
}

/// Measures how the tasks slow the service, and how much slowdown it tolerates.
fn measure_interference(state: &AgentState) {
    let now = state.clock.now();
    let endpoint = state.endpoint().at(now).cloned();
    let Some(endpoint) = endpoint else {
        return;
    };
    let view = view_worker(state);
    let (samples, budget) = {
        let mut watch = state.watch();
        let samples = watch.collect_samples(&endpoint.service, endpoint.slots, &view, now);
        (samples, watch.interference_budget())
    };
    let mut tasks = state.tasks();
    tasks.set_interference_budget(budget);
    for (kind, sample) in &samples {
        tasks.record_interference(kind, sample);
    }
}

/// Slows batch tasks, or evicts one, while requests are late.
fn throttle_or_evict(state: &Arc<AgentState>) {
    let has_batch = state.tasks().has_batch();
    let step = state.watch().step(has_batch, state.clock.now());
    match step {
        ThrottleStep::Keep => {}
        ThrottleStep::Speed(percent) => {
            let text = format!("batch tasks run at {percent}%");
            state
                .timeline
                .add(TimelineEvent::new("throttle", text).with_agent(&state.agent));
        }
        ThrottleStep::Evict => {
            let action = state.tasks().evict_most_interfering();
            spawn_actions(state, action.into_iter().collect());
        }
    }
}

/// Sends the speed of batch tasks to the worker, unless it has confirmed it.
async fn apply_speed(state: &AgentState) {
    let Some(speed_percent) = state.watch().unconfirmed_speed() else {
        return;
    };
    if speed_percent < 100 {
        state.tasks().set_batch_speed(speed_percent);
    }
    let request = ThrottleRequest {
        incarnation: state.incarnation,
        speed_percent,
    };
    if let Err(error) = state.worker.throttle(&request).await {
        warn!("cannot set the speed of batch tasks at the worker: {error}");
        return;
    }
    state.tasks().set_batch_speed(speed_percent);
    state.watch().confirm_speed(speed_percent);
    state.metrics.count("throttle");
}

/// Makes the calls that the actions require, concurrently.
///
/// The worker orders them by attempt, incarnation and its own clock.
pub(crate) fn spawn_actions(state: &Arc<AgentState>, actions: Vec<AgentAction>) {
    for action in actions {
        let state = state.clone();
        match action {
            AgentAction::Start(request) => {
                tokio::spawn(start(state, request));
            }
            AgentAction::Stop(request) => {
                let key = (request.task, request.attempt);
                if state.stopping().insert(key) {
                    tokio::spawn(stop(state, request));
                }
            }
            AgentAction::Renew(renewals) => {
                tokio::spawn(async move {
                    if let Err(error) = state.worker.renew(state.incarnation, renewals).await {
                        warn!("cannot renew task leases at the worker: {error}");
                    }
                });
            }
            AgentAction::Attach => {
                tokio::spawn(async move {
                    if let Err(error) = state.worker.attach(state.incarnation).await {
                        warn!("agent cannot attach to the worker: {error}");
                    }
                });
            }
        }
    }
}

async fn start(state: Arc<AgentState>, request: StartRequest) {
    let result = state.worker.start(&request).await;
    let event = match &result {
        Ok(()) => TimelineEvent::new("start", format!("attempt {}", request.attempt)),
        Err(error) => TimelineEvent::new("start-failed", error.to_string()),
    };
    state.timeline.add(
        event
            .with_task(request.task)
            .with_agent(&state.agent)
            .with_zone(&state.config.common.zone),
    );
    state.metrics.count("task.start");
    state
        .tasks()
        .handle_start_result(request.task, request.attempt, &result);
    state.wake_polls_with_updates();
}

async fn stop(state: Arc<AgentState>, request: StopRequest) {
    let result = state.worker.stop(&request).await;
    state.stopping().remove(&(request.task, request.attempt));
    match &result {
        Ok(answer) => {
            let text = format!("{:?} of attempt {}", request.kind, request.attempt);
            state.timeline.add(
                TimelineEvent::new("stop", text)
                    .with_task(request.task)
                    .with_agent(&state.agent),
            );
            info!("task attempt stopped", kv: {
                task = request.task.to_string(),
                attempt = request.attempt.get(),
                checkpoint_millis = answer.checkpoint_millis,
            });
        }
        Err(error) => warn!("cannot stop a task at the worker: {error}", kv: {
            task = request.task.to_string(),
        }),
    }
    state
        .tasks()
        .handle_stop_result(request.task, request.attempt, &result);
    state.wake_polls_with_updates();
}
