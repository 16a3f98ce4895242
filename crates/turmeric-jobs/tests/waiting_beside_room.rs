//! Long-running tasks that wait although a VM has room for them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "other tests use the rest")]
mod scene;

use scene::{LeaderScene, finite, long_running};
use turmeric_jobs::{
    AttemptEnd, EndKind, EvictionCause, JobCode, JobEvent, QueuePolicy, RestartStage, StepSpec,
};

/// Lets a VM run what it was ordered.
fn run_ordered(scene: &mut LeaderScene, name: &'static str) {
    let kept = scene.kept(name);
    scene.vms.get_mut(name).unwrap().running = kept;
}

/// Ends the attempts on a VM that are no longer wanted there.
fn stop_unwanted(scene: &mut LeaderScene, name: &'static str, jobs: &[JobCode]) {
    for job in jobs {
        let kept = scene.kept_jobs(name);
        let runs = scene.vms[name]
            .running
            .iter()
            .any(|key| key.task.job == *job);
        if runs && !kept.contains(job) {
            scene.end(name, *job, EndKind::Stopped);
        }
    }
}

/// Makes VM `b` suspected by failures of two long-running jobs, and starts both on VM `a`.
fn suspect_b() -> (LeaderScene, [JobCode; 2]) {
    let mut scene = LeaderScene::new(&[("b", 4)]);
    let jobs = [
        scene.submit(1, long_running()),
        scene.submit(2, long_running()),
    ];
    scene.pass(200);
    // The third failure of each job there keeps it from `b` for 6 s.
    for retry in [1_600, 3_100, 0] {
        for _ in 0..20 {
            scene.start();
            if scene.kept("b").len() == 2 {
                break;
            }
        }
        assert_eq!(scene.kept_jobs("b"), jobs);
        for job in jobs {
            scene.end("b", job, EndKind::Failed);
        }
        for _ in 0..retry / 100 {
            scene.pass(100);
            scene.report_all();
        }
    }
    scene.add_vm("a", 2);
    scene.place();
    scene.pass(100);
    assert_eq!(scene.kept_jobs("a"), jobs);
    (scene, jobs)
}

/// Guards against a long-running task that is placed again and again on the same VM, whose worker
/// rejects each start, beside a VM that would run it.
#[test]
fn task_whose_starts_are_rejected_goes_to_another_vm() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 2)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    let mut rejections = 0;
    // A start is rejected, stopped and reported as refused within 0.5 s.
    for _ in 0..20 {
        scene.place();
        scene.pass(100);
        if scene.kept_jobs("b") == [lasting] {
            return;
        }
        let kept = scene.kept("a");
        rejections += kept.len();
        scene.pass(400);
        scene.vms.get_mut("a").unwrap().refused = kept.into_iter().collect();
        scene.report_all();
        scene.tick();
    }
    panic!("rejected {rejections} times in 10 s, never placed on the other VM");
}

/// Guards against an attempt that was never ordered, since other rows are written first, and is
/// taken for one that its worker does not start.
#[test]
fn attempt_that_was_never_ordered_is_not_overdue() {
    let mut scene = LeaderScene::new(&[("a", 600), ("b", 600)]);
    for number in 1..=600 {
        scene.submit(number, finite());
    }
    scene.submit(700, long_running());
    scene.submit(701, long_running());
    scene.commit();
    scene.now += 200;
    scene.place();
    scene.leader.take_events();
    for _ in 0..10 {
        // A write takes 0.33 s, and another one begins at once.
        scene.pass(330);
        for name in ["a", "b"] {
            run_ordered(&mut scene, name);
        }
        scene.report_all();
        scene.tick();
        for event in scene.leader.take_events().0 {
            if let JobEvent::Evicted { cause, key, .. } = event {
                assert_ne!(cause, EvictionCause::Unstarted, "{key:?} at {}", scene.now);
            }
        }
    }
}

/// Guards against an attempt that is given up for a VM on which its job must not be placed yet.
#[test]
fn unstarted_task_is_kept_where_the_other_vm_does_not_take_it() {
    let (mut scene, jobs) = suspect_b();
    scene.vms.get_mut("a").unwrap().starts_nothing = true;
    run_ordered(&mut scene, "a");
    scene.report_all();
    let mut lost = 0;
    for _ in 0..60 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        scene.place();
        stop_unwanted(&mut scene, "a", &jobs);
        let placed = scene.kept_jobs("a").len() + scene.kept_jobs("b").len();
        if placed < 2 {
            lost += 100;
        }
    }
    assert!(lost <= 500, "without a VM for {lost} ms");
}

/// Guards against tasks that are stopped on a draining endpoint long before the only other VM, which
/// is suspected, takes them.
#[test]
fn tasks_stay_on_a_draining_endpoint_until_a_suspected_vm_takes_them() {
    let (mut scene, jobs) = suspect_b();
    run_ordered(&mut scene, "a");
    scene.report_all();
    scene.pass(400);
    scene.drain("a");
    let mut lost = 0;
    for _ in 0..80 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        scene.place();
        stop_unwanted(&mut scene, "a", &jobs);
        run_ordered(&mut scene, "b");
        let placed = scene.kept_jobs("a").len() + scene.kept_jobs("b").len();
        if placed < 2 {
            lost += 100;
        }
    }
    assert!(lost <= 1_000, "at least one without a VM for {lost} ms");
}

/// Guards against a start that counts as overdue as soon as the agent reports again, although the
/// agent had no time for it.
#[test]
fn start_is_not_overdue_at_the_first_report_after_an_outage() {
    let mut scene = LeaderScene::new(&[("a", 2)]);
    scene.submit(1, long_running());
    scene.submit(2, long_running());
    scene.pass(200);
    scene.place();
    scene.pass(100);
    // The order is lost, and the agent is cut off for 4 s.
    assert_eq!(scene.kept("a").len(), 2);
    scene.add_vm("b", 4);
    for _ in 0..40 {
        scene.pass(100);
        scene.report("b");
        scene.tick();
    }
    scene.leader.take_events();
    scene.report("a");
    scene.pass(50);
    scene.tick();
    let evicted = scene.leader.take_events().0;
    let evicted = evicted
        .iter()
        .filter(|event| matches!(event, JobEvent::Evicted { .. }));
    assert_eq!(evicted.count(), 0, "evicted 50 ms after the agent is back");
}

/// Guards against a task that waits for the leases on a silent VM on which nothing of it was ordered.
#[test]
fn attempt_that_was_never_ordered_leaves_a_silent_vm_at_once() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.commit();
    scene.now += 200;
    scene.place();
    // The worker falls silent before the store has recorded the attempt.
    scene.vms.get_mut("a").unwrap().is_unresponsive = true;
    scene.report("a");
    scene.add_vm("b", 1);
    let mut waited = 0;
    while scene.kept_jobs("b") != [lasting] {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        scene.place();
        waited += 100;
        assert!(waited <= 3_000, "waits beside a VM with room");
    }
}

/// Guards against a task of a moved task's step that is not placed beside it, because the reserved
/// space counts twice towards the limit per VM.
#[test]
fn moved_task_counts_once_towards_the_limit_of_its_step() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let step = StepSpec {
        count: 2,
        vm_limit: Some(2),
        ..long_running()
    };
    let lasting = scene.submit(1, step);
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept("a").first().unwrap().task.index, 0);
    scene.add_vm("c", 1);
    scene.drain("a");
    scene.tick();
    scene.pass(900);
    scene.end("a", lasting, EndKind::Stopped);
    scene.vms.get_mut("c").unwrap().cores = 2;
    scene.report("c");
    scene.submit(2, long_running());
    scene.pass(200);
    scene.place();
    scene.pass(100);
    assert_eq!(scene.kept_jobs("c"), [lasting, lasting]);
}

/// Guards against a task that waits beside a VM with ample room, because tasks that may crash their
/// VMs are started there one after the other.
#[test]
fn long_running_task_does_not_wait_for_all_suspected_tasks() {
    let mut scene = LeaderScene::new(&[("a", 40)]);
    let jobs: Vec<JobCode> = (1..=20)
        .map(|number| scene.submit(number, long_running()))
        .collect();
    scene.pass(200);
    scene.place();
    scene.pass(100);
    run_ordered(&mut scene, "a");
    assert_eq!(scene.vms["a"].running.len(), jobs.len());
    scene.pass(100);
    // The endpoint crashes right after the starts, and is back.
    scene.vms.get_mut("a").unwrap().is_unresponsive = true;
    scene.report("a");
    scene.pass(500);
    let vm = scene.vms.get_mut("a").unwrap();
    vm.is_unresponsive = false;
    vm.life = 1_600;
    vm.running.clear();
    scene.report("a");
    let crashed = scene.leader.take_events().0;
    let crashed = crashed
        .iter()
        .filter(|event| matches!(event, JobEvent::Crashed { .. }));
    assert_eq!(crashed.count(), jobs.len());
    let lasting = scene.submit(100, long_running());
    scene.pass(200);
    let mut waited = 0;
    while !scene.kept_jobs("a").contains(&lasting) {
        scene.place();
        scene.pass(100);
        run_ordered(&mut scene, "a");
        scene.report("a");
        scene.tick();
        waited += 100;
        assert!(waited <= 20_000, "never placed");
    }
    assert!(
        waited <= 3_000,
        "waits {waited} ms, {} placed before",
        scene.vms["a"].running.len() - 1
    );
}

/// Guards against a timeout of starts that a long-running task keeps for good, although it has run in
/// between.
#[test]
fn timeout_of_a_start_is_short_again_after_a_long_run() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    let mut longest = 0;
    for _ in 0..5 {
        // It runs for two minutes, fails, and its next start is not carried out.
        for (name, starts_nothing) in [("a", false), ("b", false)] {
            scene.vms.get_mut(name).unwrap().starts_nothing = starts_nothing;
        }
        scene.place();
        scene.pass(100);
        for _ in 0..1_200 {
            scene.pass(100);
            for name in ["a", "b"] {
                run_ordered(&mut scene, name);
            }
            scene.report_all();
            scene.tick();
        }
        let on = if scene.kept("a").is_empty() { "b" } else { "a" };
        scene.end(on, lasting, EndKind::Failed);
        scene.vms.get_mut("a").unwrap().starts_nothing = true;
        scene.vms.get_mut("b").unwrap().starts_nothing = true;
        scene.place();
        scene.pass(100);
        let on = if scene.kept("a").is_empty() { "b" } else { "a" };
        let mut waited = 0;
        while !scene.kept(on).is_empty() {
            run_ordered(&mut scene, on);
            scene.report_all();
            scene.pass(100);
            scene.tick();
            waited += 100;
            assert!(waited < 100_000);
        }
        longest = longest.max(waited);
        scene.end(on, lasting, EndKind::Stopped);
    }
    assert!(longest <= 3_000, "moved after {longest} ms only");
}

/// Guards against space that is reserved for a task whose job is not placed, because the store
/// refuses its row.
#[test]
fn nothing_is_moved_whose_row_is_refused() {
    let mut scene = LeaderScene::new(&[("a", 2)]);
    let step = StepSpec {
        count: 2,
        ..long_running()
    };
    let refused = scene.submit(1, step);
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept_jobs("a"), [refused, refused]);
    // One task fails, and the store refuses the row that says so.
    let first = *scene.kept("a").first().unwrap();
    scene.vms.get_mut("a").unwrap().running.remove(&first);
    scene.vms.get_mut("a").unwrap().ends.push(AttemptEnd {
        number: 1,
        key: first,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    });
    scene.report("a");
    scene.now += 100;
    let (now, wall) = (scene.mono(), scene.wall());
    let plan = scene.leader.begin_commit(now, wall).unwrap();
    assert!(scene.leader.commit_refused(&plan, now).is_some());
    scene.add_vm("b", 1);
    let other = scene.submit(2, long_running());
    scene.pass(200);
    scene.pass(200);
    scene.drain("a");
    scene.tick();
    assert_eq!(
        scene.kept_jobs("a"),
        [refused],
        "stopped, and can't be placed for 10 s"
    );
    scene.place();
    scene.pass(200);
    assert_eq!(scene.kept_jobs("b"), [other]);
}

/// Guards against a moved task that is started on a VM to whose service its queue no longer goes.
#[test]
fn reserved_space_is_not_used_once_the_queue_goes_to_another_service() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.add_vm("b", 1);
    scene.drain("a");
    scene.tick();
    assert_eq!(scene.kept_jobs("a"), []);
    let other = QueuePolicy {
        service: "other".to_owned(),
        ..QueuePolicy::default()
    };
    scene.leader.set_queues([(String::new(), other)].into());
    scene.pass(900);
    scene.report_all();
    scene.end("a", lasting, EndKind::Stopped);
    scene.place();
    scene.pass(100);
    assert_eq!(scene.kept_jobs("b"), []);
}

/// Guards against a sound VM that is suspected because its agent was cut off while it was to start
/// tasks of two jobs.
#[test]
fn vm_is_not_suspected_because_its_agent_was_cut_off() {
    let mut scene = LeaderScene::new(&[("a", 2)]);
    scene.submit(1, long_running());
    scene.submit(2, long_running());
    scene.pass(200);
    scene.place();
    scene.pass(100);
    assert_eq!(scene.kept("a").len(), 2);
    scene.add_vm("b", 4);
    for _ in 0..40 {
        scene.pass(100);
        scene.report("b");
        scene.tick();
    }
    scene.report("a");
    scene.pass(50);
    scene.tick();
    let capacities = scene.leader.describe_capacities(scene.mono());
    assert!(!capacities.contains("a: accepts no tasks"), "{capacities}");
}

/// Guards against space that is kept for a task which does not stop, for as long as the platform
/// lets another long-running task wait beside it: 3 s, of which the record and the start take 0.6 s.
#[test]
fn absent_task_does_not_wait_for_space_kept_for_another() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    let absent = scene.submit(2, long_running());
    scene.pass(200);
    scene.drain("a");
    scene.add_vm("b", 1);
    let mut waited = 0;
    while scene.kept_jobs("b") != [absent] {
        scene.place();
        scene.pass(100);
        scene.report_all();
        scene.tick();
        waited += 100;
        assert!(waited < 10_000);
    }
    assert!(waited <= 2_400, "ordered {waited} ms after the VM came");
}

/// Guards against an eviction while the lists lack ends: the attempt may have run and ended under an
/// earlier agent, and can't be placed again before its end is listed.
#[test]
fn nothing_is_unstarted_while_ends_are_missing() {
    let mut scene = LeaderScene::new(&[("a", 2)]);
    scene.submit(1, long_running());
    scene.pass(200);
    let vm = scene.vms.get_mut("a").unwrap();
    vm.has_more_ends = true;
    vm.starts_nothing = true;
    scene.start();
    scene.add_vm("b", 1);
    scene.leader.take_events();
    for _ in 0..30 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
    }
    let evicted = scene.leader.take_events().0;
    let evicted = evicted
        .iter()
        .filter(|event| matches!(event, JobEvent::Evicted { .. }));
    assert_eq!(evicted.count(), 0);
}

/// Guards against a stage that is named after a VM which can't run the task anyway.
#[test]
fn stage_probe_needs_a_vm_that_can_run_the_task() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 4)]);
    let step = StepSpec {
        vm_limit: Some(1),
        count: 3,
        ..long_running()
    };
    let lasting = scene.submit(1, step);
    let other = scene.submit(2, long_running());
    let third = scene.submit(3, long_running());
    scene.pass(200);
    scene.start();
    // The task on `a` loses its VM; `b` has one of its step, and is suspected by two failures.
    scene.vms.get_mut("a").unwrap().cores = 0;
    scene.end("a", lasting, EndKind::Failed);
    for job in [other, third] {
        scene.end("b", job, EndKind::Failed);
    }
    scene.pass(50);
    scene.tick();
    let stages = scene
        .leader
        .absences()
        .filter(|(task, _)| task.job == lasting);
    let stages: Vec<_> = stages.map(|(_, absence)| absence.stage).collect();
    let waits_for_turn =
        |stage: &RestartStage| matches!(stage, RestartStage::Probe | RestartStage::Isolation);
    assert!(!stages.iter().any(waits_for_turn), "{stages:?}");
}
