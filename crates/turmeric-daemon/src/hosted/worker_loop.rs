//! The agent's calls to its worker: long polls, which renew leases and list attempts, and
//! commands to start and stop attempts.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use turmeric_jobs::{
    AttemptKey, AttemptTable, ClockReading, EndpointIncarnation, LeaseLimits, StartAnswer,
    StopAnswer, WorkerCommand, WorkerLists,
};
use turmeric_platform::{HoldAnswer, HoldRequest, WorkerAnswer};

use super::agent::{AgentCore, AgentState};
use super::metrics::count;
use super::pacing::pace;

/// Long-poll timeout: how long the worker waits for an attempt to end. Polls that renew leases do not
/// wait.
const POLL_WAIT: Duration = Duration::from_millis(240);

/// Wait after a failed long poll.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum wait between two long polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Added to a fencing token that the worker rejected as too low, in milliseconds: the clocks
/// of these VMs, from which tokens are made, jump by up to 2 s.
const FENCE_STEP: u64 = 10_000;

/// Maximum time between two checks for due commands or an incarnation to poll.
const COMMAND_INTERVAL: Duration = Duration::from_millis(200);

/// Renews leases and lists attempts with long polls until the process ends.
pub(crate) async fn run_worker_polls(state: Arc<AgentState>, lease: LeaseLimits) {
    let mut is_reachable = true;
    loop {
        let Some((incarnation, request, mark)) = begin_poll(&state, &lease) else {
            let _ =
                tokio::time::timeout(COMMAND_INTERVAL, state.incarnation_changed.notified()).await;
            continue;
        };
        let answer = state.worker.hold(&incarnation.endpoint, &request).await;
        let is_answered = !matches!(answer, HoldAnswer::Unknown { .. });
        if is_answered != is_reachable {
            is_reachable = is_answered;
            let incarnation = incarnation.to_string();
            if is_answered {
                info!("worker regained", kv: { life = incarnation });
            } else {
                warn!("worker lost", kv: { life = incarnation, answer = format!("{answer:?}") });
            }
        }
        let pause = handle_poll_answer(&state, &incarnation, &lease, &request, mark, answer);
        tokio::time::sleep(pause).await;
    }
}

/// Prepares the next long poll; returns [`None`] until an endpoint has registered.
fn begin_poll(
    state: &AgentState,
    lease: &LeaseLimits,
) -> Option<(EndpointIncarnation, HoldRequest, u64)> {
    let mut core = state.core();
    let incarnation = core.table.incarnation()?.clone();
    let is_synced = core.table.is_synced();
    if !is_synced {
        // A higher fencing token makes the worker reject calls of an earlier incarnation of
        // this agent.
        core.fence = state.clock.wall().as_millis().max(core.fence + 1);
    }
    // The leases of an unresponsive worker are not renewed, so that they expire.
    let is_renewing = is_synced && !core.is_unresponsive;
    let grant = core.table.grant().filter(|_| is_renewing);
    let deadline_millis =
        grant.and_then(|grant| core.lease.renewal(lease, grant, state.clock.now()));
    if let Some(deadline) = deadline_millis {
        core.lease.record_deadline(deadline);
    }
    // A poll that waits renews nothing, since a crash of the worker would leave it unanswered.
    let is_waiting = is_synced && deadline_millis.is_none();
    let request = HoldRequest {
        fence: core.fence,
        recorded_end: core.table.recorded_end(),
        deadline_millis,
        wait: if is_waiting {
            POLL_WAIT
        } else {
            Duration::ZERO
        },
    };
    Some((incarnation, request, core.table.list_mark()))
}

impl AgentCore {
    /// Returns the deadline of the current lease by the worker's clock, in milliseconds.
    fn lease_deadline(&self, lease: &LeaseLimits) -> Option<u64> {
        let reading = self.lease.reading()?;
        Some(self.table.grant()?.worker_deadline(lease, &reading))
    }
}

/// Handles the answer to a long poll; returns how long to wait before the next.
fn handle_poll_answer(
    state: &AgentState,
    incarnation: &EndpointIncarnation,
    lease: &LeaseLimits,
    request: &HoldRequest,
    mark: u64,
    answer: HoldAnswer,
) -> Duration {
    let now = state.clock.now();
    let mut core = state.core();
    if let (HoldAnswer::Unknown { .. }, Some(_)) = (&answer, request.deadline_millis) {
        core.lease.record_unanswered(now);
    }
    if core.table.incarnation() != Some(incarnation) {
        return Duration::ZERO;
    }
    match answer {
        HoldAnswer::Lists {
            clock_millis,
            born,
            running,
            ends,
            has_more_ends,
        } => {
            if core.table.confirm_incarnation(mark, born) {
                core.begin_incarnation();
                drop(core);
                state.report_due.notify_one();
                return MIN_POLL_INTERVAL;
            }
            let was_synced = core.table.is_synced();
            // The leader renews no lease until it hears that the worker answers again.
            let is_regained = std::mem::take(&mut core.is_unresponsive);
            // Without a time in the answer, the last reading stands; it bounds the leases.
            if let Some(worker_millis) = clock_millis {
                core.lease.record_reading(ClockReading {
                    received_at: now,
                    worker_millis,
                });
            }
            if !was_synced {
                core.lease.record_fencing(lease, now);
            }
            if let Some(deadline) = request.deadline_millis {
                core.lease.record_renewal(deadline);
            }
            core.table.set_synced();
            let paced = core.update_paces(&running, now);
            let lists = WorkerLists {
                running: running.into_iter().map(|run| run.status).collect(),
                ends,
                has_more_ends,
            };
            let had_more_ends = core.table.has_more_ends();
            let has_updates = core.table.apply_lists(mark, lists) || !was_synced || is_regained;
            record_ends_page(state, &core.table, had_more_ends);
            if !was_synced {
                info!("worker accepted the fencing token", kv: {
                    life = incarnation.to_string(), fence = request.fence,
                    runs = core.table.attempt_count(),
                    pending_starts = core.table.pending_start_count()
                });
            }
            let fence = core.fence;
            drop(core);
            for (key, percent) in paced {
                pace(state, incarnation.endpoint.clone(), fence, key, percent);
            }
            if has_updates {
                state.report_due.notify_one();
            }
            state.command_due.notify_one();
            MIN_POLL_INTERVAL
        }
        HoldAnswer::Fenced => {
            warn!("worker rejected the fencing token for a higher one", kv: {
                fence = request.fence
            });
            core.fence = request.fence + FENCE_STEP;
            core.table.clear_synced();
            MIN_POLL_INTERVAL
        }
        HoldAnswer::OtherLife => {
            if core.table.handle_replacement(now) {
                state.report_due.notify_one();
            }
            if core.table.refute_endpoint() {
                core.begin_incarnation();
                drop(core);
                state.report_due.notify_one();
                return MIN_POLL_INTERVAL;
            }
            RETRY_INTERVAL
        }
        HoldAnswer::Unknown { failure, .. } => {
            if !core.is_unresponsive {
                core.is_unresponsive = true;
                state.report_due.notify_one();
            }
            let has_expired = core.lease.has_expired(now);
            let (runs, pending_starts) =
                (core.table.attempt_count(), core.table.pending_start_count());
            if core.table.handle_poll_failure(failure, has_expired, now) {
                let life = incarnation.to_string();
                if has_expired {
                    warn!("leases have expired at an unresponsive worker", kv: {
                        life = life, runs = runs, pending_starts = pending_starts
                    });
                } else {
                    info!("endpoint has left", kv: { life = life, runs = runs });
                }
                state.report_due.notify_one();
            }
            RETRY_INTERVAL
        }
    }
}

/// Counts and logs incomplete lists of ends.
fn record_ends_page(state: &AgentState, table: &AttemptTable, had_more_ends: bool) {
    if table.has_more_ends() {
        state.metrics.incomplete_lists.inc();
    }
    let unlisted = table.unlisted_attempts();
    let names: Vec<String> = unlisted.map(|key| key.task.to_string()).collect();
    match (had_more_ends, table.has_more_ends()) {
        (false, true) => warn!("the worker's list of ends is incomplete", kv: {
            unlisted = names.len(), tasks = names.join(", ")
        }),
        (true, false) => info!("the worker's list of ends is complete again"),
        _ => {}
    }
}

/// Carries out the commands that the leader's orders require until the process ends.
pub(crate) async fn run_commands(state: Arc<AgentState>, lease: LeaseLimits) {
    loop {
        let _ = tokio::time::timeout(COMMAND_INTERVAL, state.command_due.notified()).await;
        let now = state.clock.now();
        let (commands, incarnation, fence, deadline) = {
            let mut core = state.core();
            let Some(incarnation) = core.synced_incarnation() else {
                continue;
            };
            let Some(deadline) = core.lease_deadline(&lease) else {
                continue;
            };
            let commands = core.table.take_commands(now);
            if !commands.is_empty() {
                core.lease.record_deadline(deadline);
            }
            (commands, incarnation, core.fence, deadline)
        };
        if !commands.is_empty() {
            let calls = CommandCalls {
                state: Arc::clone(&state),
                incarnation,
                fence,
                deadline,
            };
            tokio::spawn(run_batch(calls, commands));
        }
    }
}

/// What the commands of one batch have in common.
#[derive(Clone)]
struct CommandCalls {
    state: Arc<AgentState>,
    incarnation: EndpointIncarnation,
    fence: u64,
    /// Deadline of the current lease by the worker's clock, in milliseconds.
    deadline: u64,
}

/// Sends commands to the worker; starts only right after the worker has answered in the known
/// incarnation.
///
/// The clock of a worker that has restarted under its identifier begins anew. It would take the
/// deadline of a start for the longest lease that it accepts, which nobody waits for.
async fn run_batch(calls: CommandCalls, commands: Vec<WorkerCommand>) {
    let is_start = |command: &WorkerCommand| matches!(command, WorkerCommand::Start(_));
    let (starts, stops): (Vec<_>, Vec<_>) = commands.into_iter().partition(is_start);
    for stop in stops {
        tokio::spawn(run_command(calls.clone(), stop, true));
    }
    if starts.is_empty() {
        return;
    }
    let is_known = answers(&calls.state, &calls.incarnation, calls.fence).await;
    for start in starts {
        tokio::spawn(run_command(calls.clone(), start, is_known));
    }
}

/// Sends one command to the worker, unless it is not due, and records the answer.
async fn run_command(calls: CommandCalls, command: WorkerCommand, is_due: bool) {
    let CommandCalls {
        state,
        incarnation,
        fence,
        deadline,
    } = calls;
    let (key, name, answer) = match &command {
        WorkerCommand::Start(plan) => {
            let is_due = is_due
                && (!plan.is_suspect || answers_probe(&state, &incarnation, fence, plan.key).await);
            let answer = if is_due {
                state
                    .worker
                    .start(&incarnation.endpoint, fence, plan, deadline)
                    .await
            } else {
                WorkerAnswer::NotSent
            };
            (plan.key, "start", answer)
        }
        WorkerCommand::Stop(key) => {
            let answer = state.worker.stop(&incarnation.endpoint, fence, key).await;
            (*key, "stop", answer)
        }
    };
    if answer != WorkerAnswer::Done || name == "stop" {
        info!("worker answered a command", kv: {
            call = name, task = key.task.to_string(), run = key.attempt.get(),
            answer = format!("{answer:?}"), fence = fence
        });
    }
    count(&state.metrics.worker_calls, name, answer_label(answer));
    let now = state.clock.now();
    let mut core = state.core();
    if answer == WorkerAnswer::Unknown && matches!(command, WorkerCommand::Start(_)) {
        core.lease.record_unanswered(now);
    }
    if core.table.incarnation() != Some(&incarnation) {
        return;
    }
    if matches!(answer, WorkerAnswer::Fenced | WorkerAnswer::OtherLife) {
        core.table.clear_synced();
    }
    let mut paced = Vec::new();
    match command {
        WorkerCommand::Start(plan) => {
            core.table
                .handle_start_answer(key, start_answer(answer), now);
            if plan.load.is_best_effort && answer == WorkerAnswer::Done {
                paced = core.update_paces_after_start();
            }
        }
        WorkerCommand::Stop(_) => core.table.handle_stop_answer(key, stop_answer(answer), now),
    }
    drop(core);
    for (key, percent) in paced {
        pace(&state, incarnation.endpoint.clone(), fence, key, percent);
    }
    if answer != WorkerAnswer::Done {
        state.command_due.notify_one();
    }
}

/// Returns whether the worker answers a probe, right before a suspect is started there.
async fn answers_probe(
    state: &AgentState,
    incarnation: &EndpointIncarnation,
    fence: u64,
    key: AttemptKey,
) -> bool {
    answers(state, incarnation, fence).await && state.core().table.record_probe_answer(&key)
}

/// Returns whether the worker answers in the known incarnation.
async fn answers(state: &AgentState, incarnation: &EndpointIncarnation, fence: u64) -> bool {
    let request = HoldRequest {
        fence,
        recorded_end: state.core().table.recorded_end(),
        deadline_millis: None,
        wait: Duration::ZERO,
    };
    let answer = state.worker.hold(&incarnation.endpoint, &request).await;
    // A worker that does not state its incarnation has had no other since the last poll.
    let is_same = |born: u64| born == 0 || born == incarnation.started_at_millis;
    state.core().table.incarnation() == Some(incarnation)
        && matches!(answer, HoldAnswer::Lists { born, .. } if is_same(born))
}

/// Returns the metric label of an answer.
fn answer_label(answer: WorkerAnswer) -> &'static str {
    match answer {
        WorkerAnswer::Done => "done",
        WorkerAnswer::Rejected => "rejected",
        WorkerAnswer::Fenced => "fenced",
        WorkerAnswer::OtherLife => "other_life",
        WorkerAnswer::NotSent => "not_sent",
        WorkerAnswer::Unknown => "unknown",
    }
}

fn start_answer(answer: WorkerAnswer) -> StartAnswer {
    match answer {
        WorkerAnswer::Done => StartAnswer::Started,
        WorkerAnswer::Rejected => StartAnswer::Rejected,
        WorkerAnswer::NotSent => StartAnswer::NotSent,
        WorkerAnswer::Fenced | WorkerAnswer::OtherLife => StartAnswer::Fenced,
        WorkerAnswer::Unknown => StartAnswer::Unknown,
    }
}

fn stop_answer(answer: WorkerAnswer) -> StopAnswer {
    match answer {
        // A worker rejects a stop if it does not have the attempt or the attempt has ended;
        // its lists show which.
        WorkerAnswer::Done => StopAnswer::Accepted,
        WorkerAnswer::Rejected
        | WorkerAnswer::Fenced
        | WorkerAnswer::OtherLife
        | WorkerAnswer::NotSent
        | WorkerAnswer::Unknown => StopAnswer::Unknown,
    }
}
