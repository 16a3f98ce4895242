//! Ways of a long-running task from its end to its next run.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "tests of draining endpoints use the rest")]
mod scene;

use std::time::Duration;

use rstest::rstest;
use scene::{LeaderScene, finite, long_running};
use turmeric_jobs::{
    EndKind, JobCode, JobEvent, LongRunningRestart, PolicySet, QueuePolicy, RestartStage, StepSpec,
};

/// Guards against an absence whose cause no log line names, or that is counted from the expiry of
/// the leases.
#[test]
fn absence_is_reported_with_all_its_stages() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.leader.take_events();
    // Its VM falls silent, and there is no other.
    let mut reported = Vec::new();
    for _ in 0..100 {
        scene.pass(100);
        scene.tick();
        for event in scene.leader.take_events().0 {
            if let JobEvent::Absent { stage, absence, .. } = event {
                reported.push((stage, absence.as_millis() as u64));
            }
        }
    }
    let stages: Vec<RestartStage> = reported.iter().map(|(stage, _)| *stage).collect();
    assert_eq!(stages, [RestartStage::Leases, RestartStage::Capacity]);
    assert!(reported[0].1 < 4_500, "reported after {} ms", reported[0].1);
    scene.add_vm("b", 1);
    scene.place();
    scene.pass(100);
    scene.vms.get_mut("b").unwrap().running = scene.kept("b");
    scene.report("b");
    scene.pass(300);
    scene.tick();
    let (events, _) = scene.leader.take_events();
    let resumed = events.iter().find_map(|event| match event {
        JobEvent::Resumed { task, stages, .. } if task.job == lasting => Some(stages.clone()),
        _ => None,
    });
    let stages: Vec<RestartStage> = resumed.unwrap().iter().map(|(stage, _)| *stage).collect();
    assert_eq!(stages, [RestartStage::Leases, RestartStage::Capacity]);
}

/// Guards against a long-running task that stays on a VM whose worker carries out no start, beside a
/// VM that would run it.
#[test]
fn task_that_is_not_started_moves_to_another_vm() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.vms.get_mut("a").unwrap().starts_nothing = true;
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept_jobs("a"), [lasting]);
    scene.add_vm("b", 1);
    let mut waited = 0;
    while !scene.kept("a").is_empty() {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        waited += 100;
        assert!(waited <= 3_000, "it is still on the VM");
    }
    scene.end("a", lasting, EndKind::Stopped);
    assert_eq!(scene.place(), 1);
    scene.pass(100);
    assert_eq!(scene.kept_jobs("b"), [lasting]);
}

/// Guards against tasks that are moved again and again where no VM starts anything, and against starts
/// that are given up once they are confirmed.
#[test]
fn starts_are_given_up_ever_later_and_never_once_confirmed() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 1)]);
    for vm in scene.vms.values_mut() {
        vm.starts_nothing = true;
    }
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    let mut evictions = 0;
    for _ in 0..600 {
        scene.place();
        scene.pass(100);
        for name in ["a", "b"] {
            let kept = scene.kept(name);
            if kept.is_empty() && !scene.vms[name].running.is_empty() {
                evictions += 1;
                scene.end(name, lasting, EndKind::Stopped);
            }
            scene.vms.get_mut(name).unwrap().running = kept;
        }
        scene.report_all();
        scene.tick();
    }
    assert!((2..=6).contains(&evictions), "{evictions} in a minute");
    for vm in scene.vms.values_mut() {
        vm.starts_nothing = false;
    }
    scene.report_all();
    let before = [scene.kept_jobs("a"), scene.kept_jobs("b")];
    for _ in 0..600 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
    }
    assert_eq!([scene.kept_jobs("a"), scene.kept_jobs("b")], before);
}

/// Guards against a start that is given up although no other VM could run the task.
#[test]
fn task_that_is_not_started_stays_where_no_other_vm_has_room() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.vms.get_mut("a").unwrap().starts_nothing = true;
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    for _ in 0..100 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        assert_eq!(scene.kept_jobs("a"), [lasting]);
    }
}

/// A long-running task that has lost its VM, among others that want what becomes free.
fn scene_with_interrupted_task(restart: LongRunningRestart) -> (LeaderScene, JobCode) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.leader = scene.leader.with_policies(PolicySet {
        long_running_restart: restart,
        ..PolicySet::default()
    });
    let interrupted = scene.submit_with_priority(1, 1, long_running());
    scene.pass(200);
    scene.start();
    scene.vms.get_mut("a").unwrap().cores = 0;
    scene.end("a", interrupted, EndKind::Failed);
    (scene, interrupted)
}

/// Guards against an interrupted long-running task that stays away while room which becomes free goes
/// to jobs that have arrived since: another long-running one that needs more VMs, and a finite one in
/// time with a better priority.
#[rstest]
#[case::first(LongRunningRestart::First, [1, 3])]
#[case::as_new(LongRunningRestart::AsNew, [3, 2])]
fn room_goes_to_an_interrupted_task_first(
    #[case] restart: LongRunningRestart,
    #[case] expected: [u64; 2],
) {
    let (mut scene, _) = scene_with_interrupted_task(restart);
    let wide = StepSpec {
        count: 2,
        vm_limit: Some(1),
        ..long_running()
    };
    scene.submit_with_priority(2, 1, wide);
    let queue = QueuePolicy {
        objective: Duration::from_secs(60),
        ..QueuePolicy::default()
    };
    scene.submit_with_queue(3, queue, finite());
    scene.pass(200);
    let mut order = Vec::new();
    for name in ["b", "c"] {
        scene.add_vm(name, 1);
        assert_eq!(scene.place(), 1);
        scene.pass(100);
        order.extend(scene.kept_jobs(name));
    }
    assert_eq!(order, expected.map(JobCode::new));
}

/// Guards against new VMs of a release that are kept, one after the other, for tasks that still run on
/// the next VM that leaves, while an interrupted task waits.
#[test]
fn room_of_a_new_vm_goes_to_an_interrupted_task_before_those_that_still_run() {
    let (mut scene, interrupted) = scene_with_interrupted_task(LongRunningRestart::First);
    scene.add_vm("d", 1);
    // The other one runs on a VM that leaves.
    scene.leader = {
        let leader = scene.leader;
        leader.with_policies(PolicySet {
            long_running_restart: LongRunningRestart::AsNew,
            ..PolicySet::default()
        })
    };
    let moved = scene.submit(2, long_running());
    scene.pass(200);
    scene.start();
    let on_d = scene.kept_jobs("d");
    assert_eq!(on_d, [moved], "it ranks first as a new task");
    scene.leader = scene.leader.with_policies(PolicySet::default());
    scene.drain("d");
    scene.add_vm("b", 1);
    scene.tick();
    assert_eq!(scene.kept_jobs("d"), [moved], "no room is left for it");
    assert_eq!(scene.place(), 1);
    scene.pass(100);
    assert_eq!(scene.kept_jobs("b"), [interrupted]);
}
