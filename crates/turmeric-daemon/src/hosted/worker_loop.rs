//! The agent's calls to its worker.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use turmeric_jobs::{
    ClockReading, EndpointIncarnation, EndpointInfo, LeaseLimits, StartAnswer, StopResponse,
    WorkerCommand, WorkerLists,
};
use turmeric_platform::{HoldAnswer, HoldRequest, WorkerAnswer};
use turmeric_types::MonoTime;

use super::agent::{AgentCore, AgentState};
use super::meters::count;
use super::pacing::pace;

/// How long a hold waits for an end; leases are renewed at least as often.
const HOLD_WAIT: Duration = Duration::from_millis(240);

/// Wait after a call that the worker did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two holds at the least.
const HOLD_GAP: Duration = Duration::from_millis(15);

/// Added to the wall clock where a higher fence is found, in milliseconds: the
/// clocks of these VMs jump by up to 2 s.
const FENCE_STEP: u64 = 10_000;

/// Longest lease that is given at a time: long enough for an agent that is
/// killed and started again (3.5 s and a heartbeat), short enough for the tasks
/// of a worker that is gone.
const WORKER_TERM: Duration = Duration::from_secs(6);

/// Share by which the worker's clock may be slow, in percent.
const CLOCK_SLOW_PERCENT: u64 = 4;

/// Slack after which a lease has surely ended at a worker that does not
/// answer, in milliseconds.
const END_SLACK_MILLIS: u64 = 300;

/// How often calls are looked for when nothing wakes the loop.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Renews leases and lists attempts, for ever.
pub(crate) async fn run_holds(state: Arc<AgentState>, lease: LeaseLimits) {
    let mut is_reached = true;
    loop {
        let Some((incarnation, request, mark)) = begin_hold(&state, &lease) else {
            let _ = tokio::time::timeout(CALL_INTERVAL, state.incarnation.notified()).await;
            continue;
        };
        let answer = state.worker.hold(&incarnation.endpoint, &request).await;
        let is_answered = !matches!(answer, HoldAnswer::Unknown { .. });
        if is_answered != is_reached {
            is_reached = is_answered;
            let incarnation = incarnation.to_string();
            if is_answered {
                info!("worker regained", kv: { life = incarnation });
            } else {
                warn!("worker lost", kv: { life = incarnation, answer = format!("{answer:?}") });
            }
        }
        let pause = take_hold(&state, &incarnation, &request, mark, answer);
        tokio::time::sleep(pause).await;
    }
}

fn begin_hold(
    state: &AgentState,
    lease: &LeaseLimits,
) -> Option<(EndpointIncarnation, HoldRequest, u64)> {
    let mut core = state.core();
    let incarnation = core.table.incarnation()?.clone();
    let is_synced = core.table.is_synced();
    if !is_synced {
        // Calls of an earlier life of this agent do nothing from now on.
        core.fence = state.clock.wall().as_millis().max(core.fence + 1);
    }
    // A silent worker is given nothing more, so that its leases end.
    let deadline_millis = core.lease_deadline(lease).filter(|_| !core.is_silent);
    if let Some(deadline) = deadline_millis {
        core.deadline_millis = core.deadline_millis.max(deadline);
    }
    let request = HoldRequest {
        fence: core.fence,
        recorded_end: core.table.recorded_end(),
        deadline_millis,
        wait: if is_synced { HOLD_WAIT } else { Duration::ZERO },
    };
    Some((incarnation, request, core.table.begin_lists()))
}

impl AgentCore {
    /// Returns the end of the present lease by the worker's clock.
    fn lease_deadline(&self, lease: &LeaseLimits) -> Option<u64> {
        let reading = self.reading?;
        let granted = self.table.grant()?.worker_deadline(lease, &reading);
        Some(granted.min(reading.worker_millis + WORKER_TERM.as_millis() as u64))
    }

    /// Returns whether all that the worker was given has surely ended.
    fn is_lease_over(&self, now: MonoTime) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let elapsed = now.since(reading.received_at).as_millis() as u64;
        let least = reading.worker_millis + elapsed * (100 - CLOCK_SLOW_PERCENT) / 100;
        least > self.deadline_millis + END_SLACK_MILLIS
    }
}

/// Takes in the answer to a hold; returns how long to wait before the next.
fn take_hold(
    state: &AgentState,
    incarnation: &EndpointIncarnation,
    request: &HoldRequest,
    mark: u64,
    answer: HoldAnswer,
) -> Duration {
    let now = state.clock.now();
    let mut core = state.core();
    if core.table.incarnation() != Some(incarnation) {
        return Duration::ZERO;
    }
    match answer {
        HoldAnswer::Lists {
            clock_millis,
            born,
            running,
            ends,
        } => {
            if born != 0 && born != incarnation.started_at_millis {
                core.meet_life(born);
                return HOLD_GAP;
            }
            let was_synced = core.table.is_synced();
            core.is_silent = false;
            core.reading = Some(ClockReading {
                received_at: now,
                worker_millis: clock_millis,
            });
            core.table.set_synced();
            let paced = core.control_pace(&running, now);
            let lists = WorkerLists {
                running: running.into_iter().map(|run| run.status).collect(),
                ends,
            };
            let has_news = core.table.take_lists(mark, lists) || !was_synced;
            if !was_synced {
                info!("worker held", kv: {
                    life = incarnation.to_string(), fence = request.fence, runs = core.table.run_count()
                });
            }
            let fence = core.fence;
            drop(core);
            for (key, percent) in paced {
                pace(state, incarnation.endpoint.clone(), fence, key, percent);
            }
            if has_news {
                state.news.notify_one();
            }
            state.calls.notify_one();
            HOLD_GAP
        }
        HoldAnswer::Fenced => {
            warn!("a higher fence holds at the worker", kv: { fence = request.fence });
            core.fence = request.fence + FENCE_STEP;
            core.table.lose_sync();
            HOLD_GAP
        }
        HoldAnswer::OtherLife => {
            core.table.lose_sync();
            RETRY_INTERVAL
        }
        HoldAnswer::Unknown { .. } => {
            core.is_silent = true;
            if core.table.is_synced() && core.is_lease_over(now) {
                warn!("leases have ended at a silent worker", kv: { life = incarnation.to_string() });
                core.table.set_over();
                state.news.notify_one();
            }
            RETRY_INTERVAL
        }
    }
}

impl AgentCore {
    /// Takes in that the worker was born at another time than was known.
    fn meet_life(&mut self, born: u64) {
        let Some(incarnation) = self.table.incarnation().cloned() else {
            return;
        };
        let facts = self.table.facts().cloned().unwrap_or_default();
        let is_new = self.table.take_facts(EndpointInfo {
            incarnation: EndpointIncarnation {
                started_at_millis: born,
                ..incarnation
            },
            ..facts
        });
        if is_new {
            self.begin_life();
        } else {
            self.table.lose_sync();
        }
    }
}

/// Makes the calls that orders ask for, for ever.
pub(crate) async fn run_calls(state: Arc<AgentState>, lease: LeaseLimits) {
    loop {
        let _ = tokio::time::timeout(CALL_INTERVAL, state.calls.notified()).await;
        let now = state.clock.now();
        let (calls, incarnation, fence, deadline) = {
            let mut core = state.core();
            let Some(incarnation) = core.synced_life() else {
                continue;
            };
            let Some(deadline) = core.lease_deadline(&lease) else {
                continue;
            };
            let calls = core.table.take_calls(now);
            if !calls.is_empty() {
                core.deadline_millis = core.deadline_millis.max(deadline);
            }
            (calls, incarnation, core.fence, deadline)
        };
        for call in calls {
            tokio::spawn(make_call(
                Arc::clone(&state),
                incarnation.clone(),
                fence,
                deadline,
                call,
            ));
        }
    }
}

async fn make_call(
    state: Arc<AgentState>,
    incarnation: EndpointIncarnation,
    fence: u64,
    deadline: u64,
    call: WorkerCommand,
) {
    let (key, name, answer) = match &call {
        WorkerCommand::Start(plan) => {
            let answer = state
                .worker
                .start(&incarnation.endpoint, fence, plan, deadline)
                .await;
            (plan.key, "start", answer)
        }
        WorkerCommand::Stop(key) => {
            let answer = state.worker.stop(&incarnation.endpoint, fence, key).await;
            (*key, "stop", answer)
        }
    };
    if answer != WorkerAnswer::Done || name == "stop" {
        info!("worker's answer", kv: {
            call = name, task = key.task.to_string(), run = key.attempt.get(),
            answer = format!("{answer:?}"), fence = fence
        });
    }
    count(&state.meters.worker_calls, name, answer_word(answer));
    let now = state.clock.now();
    let mut core = state.core();
    if core.table.incarnation() != Some(&incarnation) {
        return;
    }
    if matches!(answer, WorkerAnswer::Fenced | WorkerAnswer::OtherLife) {
        core.table.lose_sync();
    }
    let mut paced = Vec::new();
    match call {
        WorkerCommand::Start(plan) => {
            core.table.start_answered(key, start_answer(answer), now);
            if plan.is_best_effort && answer == WorkerAnswer::Done {
                paced = core.pace_started();
            }
        }
        WorkerCommand::Stop(_) => core.table.stop_answered(key, stop_answer(answer), now),
    }
    drop(core);
    for (key, percent) in paced {
        pace(&state, incarnation.endpoint.clone(), fence, key, percent);
    }
    if answer != WorkerAnswer::Done {
        state.calls.notify_one();
    }
}

fn answer_word(answer: WorkerAnswer) -> &'static str {
    match answer {
        WorkerAnswer::Done => "done",
        WorkerAnswer::Rejected => "rejected",
        WorkerAnswer::Fenced => "fenced",
        WorkerAnswer::OtherLife => "other_life",
        WorkerAnswer::Unknown => "unknown",
    }
}

fn start_answer(answer: WorkerAnswer) -> StartAnswer {
    match answer {
        WorkerAnswer::Done => StartAnswer::Started,
        WorkerAnswer::Rejected => StartAnswer::Rejected,
        WorkerAnswer::Fenced | WorkerAnswer::OtherLife | WorkerAnswer::Unknown => {
            StartAnswer::Unknown
        }
    }
}

fn stop_answer(answer: WorkerAnswer) -> StopResponse {
    match answer {
        // A worker that refuses a stop says that the attempt is not there, or
        // that it is over; its lists show which.
        WorkerAnswer::Done => StopResponse::Taken,
        WorkerAnswer::Rejected
        | WorkerAnswer::Fenced
        | WorkerAnswer::OtherLife
        | WorkerAnswer::Unknown => StopResponse::Unknown,
    }
}
