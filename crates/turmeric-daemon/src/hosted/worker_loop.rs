//! The agent's calls to its worker.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use turmeric_jobs::{
    ClockReading, EndpointFacts, EndpointLife, ImagePair, LeaseLimits, PaceSample, PressureSample,
    RunCall, RunKey, StartAnswer, StopAnswer, WorkerLists, load_of,
};
use turmeric_platform::{HoldAnswer, HoldRequest, WorkerAnswer, WorkerRun};
use turmeric_types::MonoTime;

use super::agent::{AgentCore, AgentState};

/// How long a hold waits for an end; leases are renewed at least as often.
const HOLD_WAIT: Duration = Duration::from_millis(450);

/// Wait after a call that the worker did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two holds at the least.
const HOLD_GAP: Duration = Duration::from_millis(15);

/// Added to the wall clock where a higher fence is found, in milliseconds: the
/// clocks of these machines jump by up to 2 s.
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

/// Readings of the worker cover half a second each.
const READING_INTERVAL: Duration = Duration::from_millis(450);

/// How often calls are looked for when nothing wakes the loop.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Renews leases and lists attempts, for ever.
pub(crate) async fn run_holds(state: Arc<AgentState>, lease: LeaseLimits) {
    let mut is_reached = true;
    loop {
        let Some((life, request, mark)) = begin_hold(&state, &lease) else {
            let _ = tokio::time::timeout(CALL_INTERVAL, state.life.notified()).await;
            continue;
        };
        let answer = state.worker.hold(&life.endpoint, &request).await;
        let is_answered = !matches!(answer, HoldAnswer::Unknown { .. });
        if is_answered != is_reached {
            is_reached = is_answered;
            let life = life.to_string();
            if is_answered {
                info!("worker regained", kv: { life = life });
            } else {
                warn!("worker lost", kv: { life = life, answer = format!("{answer:?}") });
            }
        }
        let pause = take_hold(&state, &life, &request, mark, answer);
        tokio::time::sleep(pause).await;
    }
}

fn begin_hold(state: &AgentState, lease: &LeaseLimits) -> Option<(EndpointLife, HoldRequest, u64)> {
    let mut core = state.core();
    let life = core.table.life()?.clone();
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
    Some((life, request, core.table.begin_lists()))
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
    life: &EndpointLife,
    request: &HoldRequest,
    mark: u64,
    answer: HoldAnswer,
) -> Duration {
    let now = state.clock.now();
    let mut core = state.core();
    if core.table.life() != Some(life) {
        return Duration::ZERO;
    }
    match answer {
        HoldAnswer::Lists {
            clock_millis,
            born,
            running,
            ends,
        } => {
            if born != 0 && born != life.born {
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
                    life = life.to_string(), fence = request.fence, runs = core.table.run_count()
                });
            }
            let fence = core.fence;
            drop(core);
            for (key, percent) in paced {
                pace(state, life.endpoint.clone(), fence, key, percent);
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
                warn!("leases have ended at a silent worker", kv: { life = life.to_string() });
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
        let Some(life) = self.table.life().cloned() else {
            return;
        };
        let facts = self.table.facts().cloned().unwrap_or_default();
        let is_new = self.table.take_facts(EndpointFacts {
            life: EndpointLife { born, ..life },
            ..facts
        });
        if is_new {
            self.begin_life();
        } else {
            self.table.lose_sync();
        }
    }

    /// Returns the attempts to pace, and at which share.
    fn control_pace(&mut self, running: &[WorkerRun], now: MonoTime) -> Vec<(RunKey, u32)> {
        if now < self.paced_at.after(READING_INTERVAL) {
            return Vec::new();
        }
        self.paced_at = now;
        let readings = self.read_neighbours(running);
        self.note_pressure(&readings);
        self.paces
            .retain(|image, _| readings.tails.contains_key(image));
        for (image, tails) in &readings.tails {
            let worst = tails.iter().copied().max().unwrap_or(0);
            let control = self.paces.entry(image.clone()).or_default();
            control.take_worst(worst);
        }
        let shares: BTreeMap<RunKey, u32> = self
            .table
            .plans()
            .filter(|(_, plan)| plan.is_filling)
            .map(|(key, plan)| (*key, self.share_of(&plan.image)))
            .collect();
        // A call that was carried out late may have set another share, so those
        // below the full one are set anew each time.
        let paced = shares
            .iter()
            .filter(|(key, share)| **share < 100 || self.paced.contains_key(key))
            .map(|(key, share)| (*key, *share))
            .collect();
        for (key, share) in &shares {
            self.table.set_pace(key, *share);
        }
        self.paced = shares
            .into_iter()
            .filter(|(_, share)| *share < 100)
            .collect();
        paced
    }

    /// Returns the share at which tasks of a filling image work, in percent.
    fn share_of(&self, filling: &str) -> u32 {
        let shares = self.paces.iter().map(|(serving, control)| {
            let pair = ImagePair {
                filling: filling.to_owned(),
                serving: serving.clone(),
            };
            match (self.table.is_light(&pair), control.slows_light()) {
                (false, _) => control.percent(),
                (true, true) => 0,
                (true, false) => 100,
            }
        });
        shares.min().unwrap_or(100)
    }

    fn read_neighbours(&self, running: &[WorkerRun]) -> NeighbourReadings {
        let mut readings = NeighbourReadings::default();
        for (key, plan) in self.table.plans() {
            if plan.is_filling {
                let share = self.paced.get(key).copied().unwrap_or(100);
                let cores = plan.cores.as_millicores() * u64::from(share) / 100;
                *readings.filled.entry(plan.image.clone()).or_default() += cores;
                continue;
            }
            let run = running.iter().find(|run| run.status.key == *key);
            if let (Some(target_millis), Some(tail_millis)) =
                (plan.latency_target_millis, run.and_then(|run| run.reading))
            {
                let sample = PaceSample {
                    tail_millis,
                    target_millis,
                };
                let tails = readings.tails.entry(plan.image.clone()).or_default();
                tails.push(sample.permille());
            }
        }
        readings
    }

    /// Keeps a reading for the leader, if tasks fill and serve.
    fn note_pressure(&mut self, readings: &NeighbourReadings) {
        let capacity = self
            .table
            .facts()
            .map_or(0, |facts| facts.capacity.cores.as_millicores());
        if readings.tails.is_empty() || readings.filled.is_empty() || capacity == 0 {
            return;
        }
        let number = self.pressure.as_ref().map_or(0, |(number, _)| *number);
        let loads = readings.tails.iter().map(|(image, tails)| {
            let load: f64 = tails.iter().map(|tail| load_of(*tail)).sum();
            (image.clone(), (load * 1000.0 / tails.len() as f64) as u32)
        });
        let images = readings
            .filled
            .iter()
            .map(|(image, cores)| (image.clone(), (cores * 1000 / capacity) as u32));
        let sample = PressureSample {
            loads: loads.collect(),
            images: images.collect(),
        };
        self.pressure = Some((number + 1, sample));
    }
}

/// What the tasks of a VM do to each other.
#[derive(Default)]
struct NeighbourReadings {
    /// Tail latencies of the tasks of each serving image, in thousandths of
    /// their targets.
    tails: BTreeMap<String, Vec<u64>>,
    /// Processors with which each image fills, in thousandths of a core.
    filled: BTreeMap<String, u64>,
}

fn pace(state: &AgentState, endpoint: String, fence: u64, key: RunKey, percent: u32) {
    let worker = state.worker.clone();
    tokio::spawn(async move {
        let answer = worker.pace(&endpoint, fence, &key, percent).await;
        if answer != WorkerAnswer::Done {
            info!("attempt not paced", kv: {
                task = key.task.to_string(), percent = percent, answer = format!("{answer:?}")
            });
        }
    });
}

/// Makes the calls that orders ask for, for ever.
pub(crate) async fn run_calls(state: Arc<AgentState>, lease: LeaseLimits) {
    loop {
        let _ = tokio::time::timeout(CALL_INTERVAL, state.calls.notified()).await;
        let now = state.clock.now();
        let (calls, life, fence, deadline) = {
            let mut core = state.core();
            let Some(life) = core.synced_life() else {
                continue;
            };
            let Some(deadline) = core.lease_deadline(&lease) else {
                continue;
            };
            let calls = core.table.take_calls(now);
            if !calls.is_empty() {
                core.deadline_millis = core.deadline_millis.max(deadline);
            }
            (calls, life, core.fence, deadline)
        };
        for call in calls {
            tokio::spawn(make_call(
                Arc::clone(&state),
                life.clone(),
                fence,
                deadline,
                call,
            ));
        }
    }
}

async fn make_call(
    state: Arc<AgentState>,
    life: EndpointLife,
    fence: u64,
    deadline: u64,
    call: RunCall,
) {
    let (key, name, answer) = match &call {
        RunCall::Start(plan) => {
            let answer = state
                .worker
                .start(&life.endpoint, fence, plan, deadline)
                .await;
            (plan.key, "start", answer)
        }
        RunCall::Stop(key) => {
            let answer = state.worker.stop(&life.endpoint, fence, key).await;
            (*key, "stop", answer)
        }
    };
    if answer != WorkerAnswer::Done || name == "stop" {
        info!("worker's answer", kv: {
            call = name, task = key.task.to_string(), run = key.run.get(),
            answer = format!("{answer:?}"), fence = fence
        });
    }
    let now = state.clock.now();
    let mut core = state.core();
    if core.table.life() != Some(&life) {
        return;
    }
    if matches!(answer, WorkerAnswer::Fenced | WorkerAnswer::OtherLife) {
        core.table.lose_sync();
    }
    match call {
        RunCall::Start(_) => core.table.start_answered(key, start_answer(answer), now),
        RunCall::Stop(_) => core.table.stop_answered(key, stop_answer(answer), now),
    }
    drop(core);
    if answer != WorkerAnswer::Done {
        state.calls.notify_one();
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

fn stop_answer(answer: WorkerAnswer) -> StopAnswer {
    match answer {
        // A worker that refuses a stop says that the attempt is not there, or
        // that it is over; its lists show which.
        WorkerAnswer::Done => StopAnswer::Taken,
        WorkerAnswer::Rejected
        | WorkerAnswer::Fenced
        | WorkerAnswer::OtherLife
        | WorkerAnswer::Unknown => StopAnswer::Unknown,
    }
}
