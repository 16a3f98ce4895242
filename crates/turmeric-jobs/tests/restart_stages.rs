//! Ways of a long-running task from its end to its next run.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "tests of draining endpoints use the rest")]
mod scene;

use std::time::Duration;

use rstest::rstest;
use scene::{LeaderScene, finite, long_running};
use turmeric_jobs::{
    EndKind, JobCode, JobEvent, LeaderTimeouts, LeaseLimits, LongRunningRestart, PolicySet,
    QueuePolicy, RestartStage, StepSpec,
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

/// Returns the stage of the only absent task, and since when it is absent.
fn only_absence(scene: &LeaderScene) -> Option<(RestartStage, u64)> {
    let mut absences = scene.leader.absences();
    let absence = absences.next();
    assert!(absences.next().is_none(), "several tasks are absent");
    absence.map(|(_, absence)| (absence.stage, absence.since.as_millis()))
}

/// Guards against a task that a new leader never finds absent: its VM's agent no longer lists the
/// attempt that an earlier leader placed.
#[test]
fn new_leader_sees_a_task_that_is_no_longer_listed_as_absent() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.pass(100);
    scene.take_over();
    let taken_over_at = scene.now;
    scene.vms.get_mut("a").unwrap().running.clear();
    scene.pass(300);
    scene.tick();
    assert_eq!(only_absence(&scene), None, "the VM has not reported");
    scene.pass(300);
    scene.report("a");
    scene.tick();
    let expected = (RestartStage::Start, taken_over_at);
    assert_eq!(only_absence(&scene), Some(expected));
}

/// Guards against tasks that count as absent after each change of the leader, until it has heard of
/// them.
#[test]
fn new_leader_sees_no_absence_of_a_task_that_runs_on() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.pass(100);
    scene.take_over();
    for _ in 0..10 {
        scene.tick();
        assert_eq!(only_absence(&scene), None);
        scene.pass(300);
        scene.report("a");
    }
}

/// Guards against an absence that counts from the first review of a new leader.
#[test]
fn absence_of_a_waiting_task_counts_from_the_takeover() {
    let (mut scene, _) = scene_with_interrupted_task(LongRunningRestart::First);
    scene.pass(100);
    scene.take_over();
    let taken_over_at = scene.now;
    scene.pass(900);
    scene.report("a");
    scene.tick();
    let expected = (RestartStage::Capacity, taken_over_at);
    assert_eq!(only_absence(&scene), Some(expected));
}

/// Guards against an absence on a silent VM that counts from anything but the last report to the new
/// leader, or from the takeover if there was none.
#[rstest]
#[case::never_heard(false)]
#[case::heard(true)]
fn absence_on_a_silent_vm_counts_from_what_the_new_leader_heard(#[case] is_heard: bool) {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.pass(100);
    scene.take_over();
    let mut heard_at = scene.now;
    if is_heard {
        scene.pass(400);
        scene.report("a");
        heard_at = scene.now;
    }
    while only_absence(&scene).is_none() {
        scene.pass(100);
        scene.tick();
        assert!(scene.now < heard_at + 2_000, "it is not absent");
    }
    let expected = (RestartStage::Leases, heard_at);
    assert_eq!(only_absence(&scene), Some(expected));
}

/// Guards against a task that vanishes from its VM's list without an end and counts as running for
/// good, although the worker does not start it again and another VM would.
#[test]
fn task_that_vanishes_without_an_end_moves_unless_it_is_started_again() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.pass(5_000);
    scene.report("a");
    scene.add_vm("b", 1);
    scene.tick();
    assert_eq!(only_absence(&scene), None);
    scene.vms.get_mut("a").unwrap().running.clear();
    scene.pass(300);
    scene.report_all();
    scene.tick();
    let vanished_at = scene.now;
    let expected = (RestartStage::Start, vanished_at);
    assert_eq!(only_absence(&scene), Some(expected));
    assert_eq!(scene.kept_jobs("a"), [lasting], "it is ordered again");
    while !scene.kept("a").is_empty() {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        assert!(scene.now <= vanished_at + 3_000, "it is still on the VM");
    }
}

/// Guards against a task that is moved although its worker has started it again.
#[test]
fn task_that_vanishes_and_is_started_again_stays() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.add_vm("b", 1);
    let running = std::mem::take(&mut scene.vms.get_mut("a").unwrap().running);
    scene.report("a");
    scene.pass(300);
    scene.vms.get_mut("a").unwrap().running = running;
    for _ in 0..100 {
        scene.report_all();
        scene.tick();
        assert_eq!(scene.kept_jobs("a"), [lasting]);
        scene.pass(100);
    }
    assert_eq!(only_absence(&scene), None);
}

/// Guards against an end that is missing from an incomplete report: the attempt may have ended in any
/// way, which a later report tells.
#[test]
fn task_that_an_incomplete_report_lacks_is_not_moved() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    let lasting = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.add_vm("b", 1);
    let vm = scene.vms.get_mut("a").unwrap();
    vm.running.clear();
    vm.has_more_ends = true;
    for _ in 0..100 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        assert_eq!(scene.kept_jobs("a"), [lasting]);
    }
}

/// Guards against a task of a crashed endpoint whose agent, of an earlier version, reports no crash:
/// the other incarnation tells that it has ended.
#[test]
fn task_of_another_incarnation_is_absent_without_the_news_of_a_crash() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    scene.pass(400);
    let vm = scene.vms.get_mut("a").unwrap();
    vm.running.clear();
    vm.life += 1;
    scene.report("a");
    scene.tick();
    let (stage, since) = only_absence(&scene).unwrap();
    assert_eq!(since, scene.now);
    assert_eq!(stage, RestartStage::Placement);
}

/// Returns the stages in which tasks that have never run were logged, and how many ran since.
fn logged_first_waits(scene: &mut LeaderScene) -> (Vec<RestartStage>, usize) {
    let (mut logged, mut started) = (Vec::new(), 0);
    for event in scene.leader.take_events().0 {
        match event {
            JobEvent::Absent {
                has_run: false,
                stage,
                ..
            } => logged.push(stage),
            JobEvent::Resumed { has_run: false, .. } => started += 1,
            _ => {}
        }
    }
    (logged, started)
}

/// Guards against a task whose first attempt never starts and that no log line names. It has never
/// run, so it does not count among the absent ones.
#[test]
fn task_that_has_never_run_is_named_with_its_stage() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.vms.get_mut("a").unwrap().starts_nothing = true;
    scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    let mut logged = Vec::new();
    for _ in 0..50 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        assert_eq!(only_absence(&scene), None);
        logged.extend(logged_first_waits(&mut scene).0);
    }
    assert_eq!(logged, [RestartStage::Start]);
    scene.vms.get_mut("a").unwrap().starts_nothing = false;
    scene.report("a");
    scene.pass(300);
    scene.tick();
    assert_eq!(logged_first_waits(&mut scene), (Vec::new(), 1));
    assert_eq!(scene.leader.first_waits().count(), 0);
}

/// Guards against a line for each task that waits in a full fleet: the platform counts no absence
/// without room.
#[test]
fn tasks_that_have_never_run_are_not_logged_without_room() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    for number in 1..=3 {
        scene.submit(number, long_running());
    }
    scene.pass(200);
    scene.start();
    for _ in 0..60 {
        scene.pass(100);
        scene.report_all();
        scene.tick();
        assert_eq!(logged_first_waits(&mut scene).0, []);
    }
    let waits = scene.leader.first_waits();
    let stages: Vec<RestartStage> = waits.map(|(_, absence)| absence.stage).collect();
    assert_eq!(stages, [RestartStage::Capacity; 2]);
}

/// Guards against a task that has never run, since its worker rejected it, and that takes the room of
/// one that was interrupted later.
#[test]
fn interrupted_task_goes_before_one_that_was_rejected_earlier() {
    let mut scene = LeaderScene::new(&[("a", 1), ("b", 1)]);
    let interrupted = scene.submit(1, long_running());
    scene.pass(200);
    scene.start();
    let on_a = scene.kept_jobs("a") == [interrupted];
    let (full, empty) = if on_a { ("a", "b") } else { ("b", "a") };
    let rejected = scene.submit(2, long_running());
    scene.pass(200);
    assert_eq!(scene.place(), 1);
    scene.pass(100);
    assert_eq!(scene.kept_jobs(empty), [rejected]);
    let refused = scene.kept(empty);
    scene.vms.get_mut(empty).unwrap().refused = refused.into_iter().collect();
    scene.vms.get_mut(empty).unwrap().cores = 0;
    scene.report(empty);
    scene.tick();
    scene.pass(2_000);
    scene.vms.get_mut(full).unwrap().cores = 0;
    scene.end(full, interrupted, EndKind::Failed);
    scene.pass(300);
    scene.report_all();
    scene.tick();
    scene.add_vm("c", 1);
    assert_eq!(scene.place(), 1);
    scene.pass(100);
    assert_eq!(scene.kept_jobs("c"), [interrupted]);
}

/// What the bounds of a path count from, with the time that the platform allows from then on.
#[derive(Clone, Copy)]
enum PathOrigin {
    /// The task's last run.
    LastRun,
    /// A disturbance, with which calm ends.
    Disturbance,
}

impl PathOrigin {
    const fn allowed_millis(self) -> u128 {
        match self {
            Self::LastRun => 9_000,
            Self::Disturbance => 7_000,
        }
    }
}

/// Whether a path keeps to what the platform allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathVerdict {
    Allowed,
    /// Its bounds exceed it, or a stage has none.
    Open,
}

/// Time until an agent's next report, which tells of an end, in milliseconds.
const NEWS_MILLIS: u128 = 400;

/// Returns the sum of the bounds of stages in milliseconds, and how the design page writes it.
fn sum_bounds(
    stages: &[RestartStage],
    bound: impl Fn(RestartStage) -> Option<Duration>,
) -> (Option<u128>, String) {
    let sum: Option<Duration> = stages.iter().map(|stage| bound(*stage)).sum();
    let sum = sum.map(|sum| sum.as_millis());
    let text = sum.map_or("none".to_owned(), |sum| {
        format!("{:.1} s", sum as f64 / 1000.0)
    });
    (sum, text)
}

/// Guards against bounds that are each in order, and whose sum on a path exceeds what the platform
/// allows. The design page lists the same paths.
#[rstest]
#[case::vm_lost(
    "VM lost, or its worker crashed and not back",
    &[RestartStage::Leases, RestartStage::Reserved, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Allowed
)]
#[case::worker_back(
    "worker crashed and back, or task failed",
    &[RestartStage::Reserved, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Allowed
)]
#[case::failed_on_suspected_vm(
    "task failed, and only that VM has room",
    &[RestartStage::Retry, RestartStage::Placement, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Allowed
)]
#[case::one_at_a_time(
    "task failed, and only VMs that take one task at a time have room",
    &[RestartStage::Probe, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Allowed
)]
#[case::lost_and_one_at_a_time(
    "VM lost, and only VMs that take one task at a time have room",
    &[RestartStage::Leases, RestartStage::Probe, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Open
)]
#[case::suspected_task(
    "worker crashed and back, and the task may be the cause",
    &[RestartStage::Isolation, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Open
)]
#[case::drained(
    "VM drained, or task evicted for another cause",
    &[RestartStage::Stop, RestartStage::Reserved, RestartStage::Record, RestartStage::Start],
    PathOrigin::LastRun, PathVerdict::Allowed
)]
#[case::refused_row(
    "row refused, from when the store accepts it",
    &[RestartStage::Row, RestartStage::Placement, RestartStage::Record, RestartStage::Start],
    PathOrigin::Disturbance, PathVerdict::Allowed
)]
fn bounds_of_a_path_add_up_to_what_the_platform_allows(
    #[case] name: &str,
    #[case] stages: &[RestartStage],
    #[case] origin: PathOrigin,
    #[case] expected: PathVerdict,
) {
    let timeouts = daemon_timeouts();
    let (sum, text) = sum_bounds(stages, |stage| stage.calm_bound(&timeouts));
    check_path(name, stages, (sum, text), origin, expected);
}

/// Guards against the same on paths that a crash of the leader, or a worker that carries out no start,
/// makes longer.
#[rstest]
#[case::leader_crashed(
    "VM lost and leader crashed, from its last write",
    &[RestartStage::Leases, RestartStage::Reserved, RestartStage::Record],
    PathVerdict::Open
)]
#[case::not_started(
    "start not carried out, from the order",
    &[RestartStage::Start, RestartStage::Stop, RestartStage::Reserved, RestartStage::Record],
    PathVerdict::Allowed
)]
fn bounds_of_a_disturbed_path_add_up_to_what_the_platform_allows(
    #[case] name: &str,
    #[case] stages: &[RestartStage],
    #[case] expected: PathVerdict,
) {
    let timeouts = daemon_timeouts();
    let (disturbed, _) = sum_bounds(stages, |stage| stage.bound(&timeouts));
    // The start that ends the path is carried out.
    let start = RestartStage::Start.calm_bound(&timeouts).unwrap();
    let sum = disturbed.unwrap() + start.as_millis();
    let text = format!("{:.1} s", sum as f64 / 1000.0);
    let path = [stages, &[RestartStage::Start]].concat();
    check_path(
        name,
        &path,
        (Some(sum), text),
        PathOrigin::Disturbance,
        expected,
    );
}

/// The timeouts of the daemon.
fn daemon_timeouts() -> LeaderTimeouts {
    LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(6)),
        renewal_window: Duration::from_millis(1400),
        retention: Duration::from_secs(120),
    }
}

fn check_path(
    name: &str,
    stages: &[RestartStage],
    (sum, text): (Option<u128>, String),
    origin: PathOrigin,
    expected: PathVerdict,
) {
    // The leases count from the last report, the stages after a disturbance from that.
    let is_known = matches!(origin, PathOrigin::Disturbance) || stages[0] == RestartStage::Leases;
    let news = if is_known { 0 } else { NEWS_MILLIS };
    let is_allowed = sum.is_some_and(|sum| sum + news <= origin.allowed_millis());
    let verdict = if is_allowed {
        PathVerdict::Allowed
    } else {
        PathVerdict::Open
    };
    assert_eq!(verdict, expected, "{text} and {news} ms");
    let page = include_str!("../../../docs/design/restart-stages.md");
    let labels: Vec<&str> = stages.iter().map(|stage| stage.label()).collect();
    let limit = match origin {
        PathOrigin::LastRun => "9 s",
        PathOrigin::Disturbance => "7 s",
    };
    let suffix = if is_allowed { "" } else { ": open" };
    let row = format!(
        "| {name} | {} | {text} | {limit}{suffix} |",
        labels.join(", ")
    );
    assert!(page.contains(&row), "the page lacks {row}");
}

/// Guards against starts that are lost for 0.9 s: an agent that has just been replaced ignores orders
/// until it has fenced its worker.
#[test]
fn starts_are_ordered_as_soon_as_a_new_agent_takes_them() {
    let mut scene = LeaderScene::new(&[("a", 1)]);
    scene.submit(1, long_running());
    scene.pass(200);
    assert_eq!(scene.place(), 1);
    scene.vms.get_mut("a").unwrap().is_synced = false;
    scene.report("a");
    scene.pass(50);
    let orders = scene.leader.orders("a", scene.mono()).unwrap();
    assert_eq!((orders.keep.len(), orders.starts.len()), (1, 0));
    scene.vms.get_mut("a").unwrap().is_synced = true;
    scene.pass(50);
    scene.report("a");
    let orders = scene.leader.orders("a", scene.mono()).unwrap();
    assert_eq!((orders.keep.len(), orders.starts.len()), (1, 1));
}
