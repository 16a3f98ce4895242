//! Moves of tasks off endpoints that have announced their end, in a fleet with little free capacity.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "other tests use the rest")]
mod scene;

use rstest::rstest;
use scene::{
    LeaderScene, REPORT_MILLIS, SILENCE_MILLIS, STOP_MILLIS, finite, long_running, resources,
};
use turmeric_jobs::{
    ConsolidationPolicy, EndKind, JobCode, LongRunningRestart, PolicySet, StepSpec,
};
use turmeric_types::{MemorySize, ResourceSet};

/// A long-running task on VM `a`, which is full, and VM `b` with `cores` free.
fn scene_with_room(cores: u64) -> (LeaderScene, JobCode) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept_jobs("a"), [lasting]);
    scene.add_vm("b", cores);
    (scene, lasting)
}

/// Guards against a finite task that takes the room while the moved task stops.
#[test]
fn room_for_a_moved_task_is_kept_while_it_stops() {
    let (mut scene, lasting) = scene_with_room(1);
    scene.drain("a");
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), []);
    scene.submit(2, finite());
    let mut passed = 0;
    while passed < STOP_MILLIS {
        assert_eq!(scene.place(), 0, "after {passed} ms");
        scene.pass(50);
        scene.report_all();
        scene.tick();
        passed += 50;
    }
    scene.end("a", lasting, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(REPORT_MILLIS);
    assert_eq!(scene.kept_jobs("b"), [lasting]);
}

/// Guards against room that stays empty because a task does not stop, or its job was cancelled.
#[rstest]
#[case::never_stops(false, 3_000)]
#[case::cancelled(true, 50)]
fn room_that_is_no_longer_needed_goes_to_others(#[case] is_cancelled: bool, #[case] within: u64) {
    let (mut scene, lasting) = scene_with_room(1);
    scene.drain("a");
    scene.tick();
    scene.submit(2, finite());
    assert_eq!(scene.place(), 0);
    if is_cancelled {
        let wall = scene.wall();
        scene.leader.cancel_job(lasting, wall);
    }
    for _ in 0..within / 50 {
        scene.pass(50);
        scene.report_all();
        scene.tick();
    }
    assert_eq!(scene.place(), 1);
}

/// Guards against room that is kept on a VM that leaves as well.
#[test]
fn other_room_is_chosen_when_the_target_leaves() {
    let (mut scene, lasting) = scene_with_room(1);
    scene.drain("a");
    scene.tick();
    scene.add_vm("c", 1);
    scene.drain("b");
    scene.submit(2, finite());
    scene.tick();
    assert_eq!(scene.place(), 0);
    scene.end("a", lasting, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(REPORT_MILLIS);
    assert_eq!(scene.kept_jobs("c"), [lasting]);
}

/// Guards against a limit on moves that leaves tasks on the endpoint, or that holds up
/// consolidation.
#[test]
fn moves_off_draining_endpoints_and_consolidation_do_not_limit_each_other() {
    let mut scene = LeaderScene::new(&[("a", 36)]);
    scene.leader = scene.leader.with_policies(PolicySet {
        consolidation: ConsolidationPolicy::ClearVms,
        ..PolicySet::default()
    });
    // Their memory fits only on `a` and `b`, and fills them.
    let lasting = StepSpec {
        count: 12,
        need: ResourceSet {
            memory: MemorySize::new(3 << 30),
            ..resources(1)
        },
        ..long_running()
    };
    scene.submit(1, lasting);
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept("a").len(), 12);

    // The serving tasks of `c` and `d` fit on one of the two once `c` has grown.
    let serving = StepSpec {
        need: resources(2),
        image: Some("i".to_owned()),
        latency_target_millis: Some(50),
        away_limit: 1,
        ..long_running()
    };
    let mut serving_jobs = Vec::new();
    for (number, name, cores) in [(2, "c", 2), (3, "d", 4)] {
        scene.add_vm(name, cores);
        serving_jobs.push(scene.submit(number, serving.clone()));
        scene.pass(200);
        scene.start();
    }
    scene.vms.get_mut("c").unwrap().cores = 4;
    scene.add_vm("b", 36);
    scene.drain("a");
    scene.report_all();
    scene.tick();
    assert_eq!(scene.kept("a").len(), 0);
    let kept = [scene.kept_jobs("c"), scene.kept_jobs("d")].concat();
    assert_eq!(kept.len(), 1, "one VM is cleared");
    assert!(serving_jobs.contains(&kept[0]));
    let many = StepSpec {
        count: 8,
        ..finite()
    };
    scene.submit(4, many);
    assert_eq!(scene.place(), 2, "only the VM that is cleared has room");
}

/// Guards against two tasks of a step that are moved to a VM that may take one more of them.
#[test]
fn no_task_is_moved_beyond_the_limit_of_its_step() {
    let mut scene = LeaderScene::new(&[("a", 3), ("b", 1)]);
    let step = StepSpec {
        count: 3,
        vm_limit: Some(2),
        ..long_running()
    };
    scene.submit(1, step);
    scene.pass(200);
    scene.start();
    assert_eq!((scene.kept("a").len(), scene.kept("b").len()), (2, 1));
    scene.vms.get_mut("b").unwrap().cores = 3;
    scene.report("b");
    scene.drain("a");
    scene.tick();
    assert_eq!(scene.kept("a").len(), 1);
}

/// Guards against evictions that move nothing: the order to stop does not reach the task.
#[rstest]
#[case::silent_agent(long_running(), true)]
#[case::silent_worker(long_running(), false)]
#[case::checkpoints_and_silent_agent(StepSpec { checkpoints: true, ..finite() }, true)]
#[case::checkpoints_and_silent_worker(StepSpec { checkpoints: true, ..finite() }, false)]
fn nothing_is_evicted_where_no_order_arrives(#[case] step: StepSpec, #[case] is_agent: bool) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let code = scene.submit(1, step);
    scene.pass(200);
    scene.start();
    scene.drain("a");
    scene.tick();
    if is_agent {
        scene.pass(SILENCE_MILLIS / 2);
        scene.pass(SILENCE_MILLIS / 2);
    } else {
        scene.vms.get_mut("a").unwrap().is_unresponsive = true;
        scene.report("a");
    }
    scene.add_vm("b", 1);
    scene.tick();
    scene.place();
    assert_eq!(scene.kept_jobs("a"), [code]);
}

/// Guards against a task that counts as stalled or slowed because nobody reports its progress.
#[rstest]
#[case::stalled(finite(), 100)]
#[case::slowed(StepSpec { checkpoints: true, is_best_effort: true, ..finite() }, 40)]
fn task_of_a_silent_vm_is_not_evicted_for_its_pace(#[case] step: StepSpec, #[case] pace: u32) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let code = scene.submit(1, step);
    scene.pass(200);
    scene.start();
    scene.vms.get_mut("a").unwrap().pace = pace;
    scene.report("a");
    for _ in 0..6 {
        scene.pass(500);
    }
    scene.add_vm("b", 1);
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), [code]);
}

/// Guards against a fleet that is full all the time: what an end frees is taken by the next finite
/// task in the same round, so that no task leaves the endpoint before it is gone.
#[rstest]
#[case::equal_priority(0)]
#[case::finite_first(1)]
fn capacity_that_becomes_free_goes_to_tasks_of_draining_endpoints_first(#[case] priority: u32) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit_with_priority(1, priority, long_running());
    scene.pass(200);
    scene.start();
    scene.add_vm("b", 1);
    let first = scene.submit(2, finite());
    scene.start();
    assert_eq!(scene.kept_jobs("b"), [first]);
    let second = scene.submit(3, finite());
    scene.drain("a");
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), [lasting], "no room yet");

    scene.pass(50);
    scene.end("b", first, EndKind::Done);
    assert_eq!(scene.place(), 0, "the finite task waits");
    assert_eq!(scene.kept_jobs("a"), []);
    scene.pass(STOP_MILLIS);
    scene.report_all();
    scene.end("a", lasting, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(REPORT_MILLIS);
    assert_eq!(scene.kept_jobs("b"), [lasting]);
    assert!(scene.leader.job(second).is_some());
}

/// Guards against room that is kept from finite tasks beyond what the moved tasks need.
#[test]
fn finite_tasks_get_all_room_that_moved_tasks_do_not_need() {
    let (mut scene, _) = scene_with_room(3);
    for number in 2..6 {
        scene.submit(number, finite());
    }
    scene.drain("a");
    assert_eq!(scene.place(), 2);
}

/// Guards against room that is kept for a task of a cancelled job that still runs.
#[test]
fn task_of_a_cancelled_job_takes_no_room() {
    let (mut scene, lasting) = scene_with_room(1);
    let wall = scene.wall();
    scene.leader.cancel_job(lasting, wall);
    scene.submit(2, finite());
    scene.drain("a");
    assert_eq!(scene.place(), 1);
}

/// Guards against a task that is stopped when its VM reports again, although the room that was found
/// for it has gone to another task.
#[rstest]
#[case::silent_agent(true)]
#[case::silent_worker(false)]
fn task_that_was_not_moved_in_time_is_kept(#[case] is_agent: bool) {
    let (mut scene, lasting) = scene_with_room(1);
    scene.drain("a");
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), []);
    let finite = scene.submit(2, finite());
    scene.vms.get_mut("a").unwrap().is_unresponsive = !is_agent;
    for _ in 0..SILENCE_MILLIS / 100 {
        scene.pass(100);
        if !is_agent {
            scene.report("a");
        }
        scene.report("b");
        scene.tick();
    }
    assert_eq!(scene.place(), 1, "the room is released");
    scene.pass(REPORT_MILLIS);
    assert_eq!(scene.kept_jobs("b"), [finite]);
    scene.vms.get_mut("a").unwrap().is_unresponsive = false;
    scene.report("a");
    scene.tick();
    assert_eq!(scene.place(), 0);
    assert_eq!(scene.kept_jobs("a"), [lasting]);
}

/// Guards against the same for a task that consolidation moves.
#[test]
fn consolidated_task_of_a_silent_vm_is_kept() {
    let mut scene = LeaderScene::new(&[]);
    scene.leader = scene.leader.with_policies(PolicySet {
        consolidation: ConsolidationPolicy::ClearVms,
        ..PolicySet::default()
    });
    let serving = StepSpec {
        need: resources(2),
        image: Some("i".to_owned()),
        latency_target_millis: Some(50),
        away_limit: 1,
        ..long_running()
    };
    for (number, name, cores) in [(1, "c", 2), (2, "d", 4)] {
        scene.add_vm(name, cores);
        scene.submit(number, serving.clone());
        scene.pass(200);
        scene.start();
    }
    scene.vms.get_mut("c").unwrap().cores = 4;
    scene.report_all();
    scene.tick();
    let is_source = scene.kept("c").is_empty();
    let (source, target) = if is_source { ("c", "d") } else { ("d", "c") };
    assert_eq!(scene.kept(source).len(), 0, "a VM is cleared");
    for _ in 0..SILENCE_MILLIS / 100 {
        scene.pass(100);
        scene.report(target);
        scene.tick();
    }
    let other = StepSpec {
        need: resources(2),
        ..finite()
    };
    scene.submit(3, other);
    assert_eq!(scene.place(), 1, "the room is released");
    scene.report(source);
    scene.tick();
    assert_eq!(scene.kept(source).len(), 1);
}

/// Guards against a moved task that waits beside the space reserved for it, because another task of
/// its step has a lower number and fits nowhere.
#[test]
fn moved_task_is_placed_while_another_of_its_step_fits_nowhere() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 1)]);
    // Otherwise the task that has lost its VM would get the space.
    scene.leader = scene.leader.with_policies(PolicySet {
        long_running_restart: LongRunningRestart::AsNew,
        ..PolicySet::default()
    });
    let step = StepSpec {
        count: 2,
        ..long_running()
    };
    let lasting = scene.submit(1, step);
    scene.pass(200);
    scene.start();
    let first = scene.kept("a").first().unwrap().task.index;
    let (lost, moved) = if first == 0 { ("a", "b") } else { ("b", "a") };
    scene.vms.get_mut(lost).unwrap().cores = 0;
    scene.end(lost, lasting, EndKind::Failed);
    scene.place();
    scene.add_vm("c", 1);
    scene.drain(moved);
    scene.tick();
    assert_eq!(scene.kept_jobs(moved), []);
    scene.pass(STOP_MILLIS);
    scene.report_all();
    scene.end(moved, lasting, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(REPORT_MILLIS);
    assert_eq!(scene.kept_jobs("c"), [lasting]);
}

/// Guards against a task that waits beside free capacity, because another task of its step has a
/// lower number and must not return to that VM yet.
#[test]
fn task_is_placed_where_another_of_its_step_must_not_return() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let step = StepSpec {
        count: 2,
        checkpoints: true,
        is_best_effort: true,
        ..finite()
    };
    let code = scene.submit(1, step);
    scene.start();
    let slowed = *scene.kept("a").first().unwrap();
    assert_eq!(slowed.task.index, 0);
    scene.vms.get_mut("a").unwrap().pace = 40;
    scene.report("a");
    scene.pass(500);
    scene.report("a");
    scene.pass(600);
    scene.report("a");
    scene.add_vm("b", 1);
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), [], "it is slowed");
    scene.drain("b");
    scene.end("a", code, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(REPORT_MILLIS);
    let kept = scene.kept("a");
    assert_eq!(kept.first().map(|key| key.task.index), Some(1));
}
