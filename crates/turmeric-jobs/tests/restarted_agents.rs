//! Tests of agents that are restarted beside a worker that keeps running its tasks.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "tests of crashes use the rest")]
mod fleet;

use fleet::pair::Pair;
use rstest::rstest;
use turmeric_jobs::{
    AttemptKey, AttemptStatus, AttemptTable, JobCode, JobSpec, StartAnswer, StepSpec, WorkerLists,
};
use turmeric_types::{CoreCount, WallTime};

/// What an agent must know of a running task to pace it.
type KnownLoad = (AttemptKey, bool, Option<u64>, String, CoreCount);

fn known_loads(table: &AttemptTable) -> Vec<KnownLoad> {
    let known = table.plans().map(|(key, plan)| {
        let image = plan.image.clone();
        let (target, cores) = (plan.latency_target_millis, plan.cores);
        (*key, plan.is_best_effort, target, image, cores)
    });
    known.collect()
}

fn serving_step() -> StepSpec {
    StepSpec {
        is_long_running: true,
        latency_target_millis: Some(50),
        image: Some("feed".to_owned()),
        ..fleet::spec(1, 60, WallTime::default()).steps[0].clone()
    }
}

fn best_effort_step() -> StepSpec {
    StepSpec {
        is_best_effort: true,
        image: Some("pack".to_owned()),
        ..fleet::spec(1, 60, WallTime::default()).steps[0].clone()
    }
}

/// Starts the task of a new job with this step at the worker.
fn start(pair: &mut Pair, number: u64, step: StepSpec) -> AttemptKey {
    let (code, wall) = (JobCode::new(number), pair.fleet.wall());
    let spec = JobSpec {
        steps: vec![step],
        ..fleet::spec(1, 60, wall)
    };
    pair.fleet.specs.insert(code, spec.clone());
    pair.fleet.leader.add_job(code, spec, wall);
    pair.start(StartAnswer::Started)
}

/// Replaces the agent by one that finds these attempts at its worker.
fn restart_agent(pair: &mut Pair, running: &[AttemptKey]) {
    pair.advance(700);
    let status = |key: &AttemptKey| AttemptStatus {
        key: *key,
        checkpoint: String::new(),
        percent: 100,
        pace: 100,
        is_confirmed: true,
    };
    pair.table = AttemptTable::new();
    let info = pair.fleet.report(0).endpoint_info.unwrap();
    pair.table.handle_heartbeat(info, 1);
    pair.table.set_synced();
    let lists = WorkerLists {
        running: running.iter().map(status).collect(),
        ..WorkerLists::default()
    };
    let mark = pair.table.list_mark();
    pair.table.apply_lists(mark, lists);
}

/// Guards against HARM: a restarted agent measured no serving task that ran before it, and let all
/// best-effort tasks beside it work at full speed.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn restarted_agent_knows_what_it_paces_after_one_exchange(#[case] is_led_anew: bool) {
    let mut pair = Pair::new();
    let running = [
        start(&mut pair, 1, serving_step()),
        start(&mut pair, 2, best_effort_step()),
    ];
    let known = known_loads(&pair.table);
    assert_eq!(known.len(), running.len());
    restart_agent(&mut pair, &running);
    if is_led_anew {
        pair.fleet.take_over();
    }
    pair.exchange();
    assert_eq!(known_loads(&pair.table), known);
}
