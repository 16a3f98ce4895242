//! Tests of agents that are restarted beside a worker that keeps running its tasks.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "tests of crashes use the rest")]
mod fleet;

use fleet::pair::Pair;
use rstest::rstest;
use turmeric_jobs::{
    AttemptKey, AttemptNumber, AttemptStatus, AttemptTable, JobCode, JobSpec, StartAnswer,
    StepSpec, VmReport, WorkerLists, write_key,
};
use turmeric_schema::Message;
use turmeric_types::{CoreCount, WallTime};

/// What an agent must know of a running task to pace it.
type KnownLoad = (AttemptKey, bool, Option<u64>, String, CoreCount);

fn known_loads(table: &AttemptTable) -> Vec<KnownLoad> {
    let known = table.loads().map(|(key, load)| {
        let image = load.image.clone();
        let (target, cores) = (load.latency_target_millis, load.cores);
        (*key, load.is_best_effort, target, image, cores)
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

/// Guards against best-effort tasks that stay slowed for good: an earlier agent may have set their
/// pace, which the worker does not list.
#[test]
fn pace_of_a_task_of_an_earlier_agent_is_set_even_at_full_speed() {
    let mut pair = Pair::new();
    let key = start(&mut pair, 1, best_effort_step());
    assert!(pair.table.knows_pace(&key));
    assert!(!pair.table.set_pace(&key, 100));
    restart_agent(&mut pair, &[key]);
    pair.exchange();
    assert!(!pair.table.knows_pace(&key));
    assert!(pair.table.set_pace(&key, 100));
    assert!(pair.table.knows_pace(&key));
    assert!(!pair.table.set_pace(&key, 100));
}

/// Guards against loads that are sent again with each message, and to agents that know them.
#[test]
fn loads_are_sent_until_the_agent_knows_them() {
    let mut pair = Pair::new();
    let key = start(&mut pair, 1, serving_step());
    let count_loads = |pair: &mut Pair| {
        let now = pair.fleet.now();
        pair.fleet.leader.orders("w0", now).unwrap().loads.len()
    };
    pair.exchange();
    assert_eq!(count_loads(&mut pair), 0);
    restart_agent(&mut pair, &[key]);
    pair.report(false);
    // The first orders are lost.
    assert_eq!(count_loads(&mut pair), 1);
    assert_eq!(count_loads(&mut pair), 1);
    pair.exchange();
    pair.exchange();
    assert_eq!(count_loads(&mut pair), 0);
}

/// Guards against reports and orders of an earlier version that are misread: it neither asks for
/// loads nor sends any.
#[test]
fn earlier_versions_ask_for_no_loads_and_send_none() {
    let mut pair = Pair::new();
    let key = start(&mut pair, 1, serving_step());
    restart_agent(&mut pair, &[key]);
    let (now, wall) = (pair.fleet.now(), pair.fleet.wall());
    let mut message = pair.table.report("w0", "morava-a", now).write();
    for run in &mut message.runs {
        run.unplanned = false;
    }
    let report = VmReport::read(message).unwrap();
    pair.fleet.leader.handle_report(report, now, wall);
    let orders = pair.fleet.leader.orders("w0", now).unwrap();
    assert!(orders.loads.is_empty());
    assert!(pair.table.apply_orders(&orders, now).unwrap());
    assert_eq!(pair.table.unplanned().collect::<Vec<_>>(), [&key]);
    // A leader of this version is told at the next report.
    pair.exchange();
    assert_eq!(pair.table.unplanned().count(), 0);
}

/// Guards against orders that exceed the limit of a message: hundreds of tasks have long names of
/// images. All loads arrive, over several messages.
#[test]
fn loads_that_exceed_a_message_follow_in_later_ones() {
    const TASKS: u32 = 300;
    const MESSAGE_LIMIT: usize = 2 << 20;
    let mut pair = Pair::new();
    let (code, wall) = (JobCode::new(1), pair.fleet.wall());
    let step = StepSpec {
        count: TASKS,
        image: Some("i".repeat(4_000)),
        ..best_effort_step()
    };
    let spec = JobSpec {
        steps: vec![step],
        ..fleet::spec(1, 60, wall)
    };
    pair.fleet.leader.add_job(code, spec, wall);
    let key = |index| AttemptKey {
        task: format!("{code}.0.0.{index}").parse().unwrap(),
        attempt: AttemptNumber::new(1),
    };
    let running: Vec<AttemptKey> = (0..TASKS).map(key).collect();
    restart_agent(&mut pair, &running);
    let mut messages = 0;
    while pair.table.unplanned().count() > 0 {
        messages += 1;
        assert!(messages <= 10, "{} left", pair.table.unplanned().count());
        pair.report(false);
        let now = pair.fleet.now();
        let mut orders = pair.fleet.leader.orders("w0", now).unwrap();
        assert!(orders.encoded_len() < MESSAGE_LIMIT / 2);
        // No store has recorded these attempts, so that the leader would stop them.
        orders.keep = running.iter().map(write_key).collect();
        assert!(pair.table.apply_orders(&orders, now).unwrap());
    }
    assert!(messages > 1);
    assert_eq!(pair.table.loads().count(), running.len());
}
