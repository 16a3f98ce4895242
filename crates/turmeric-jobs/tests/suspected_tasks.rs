//! Long-running tasks that wait for their turn on a VM which may be faulty.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "other tests use the rest")]
mod scene;

use std::collections::BTreeSet;
use std::time::Duration;

use scene::{LeaderScene, finite, long_running};
use turmeric_jobs::{AttemptKey, EndKind, JobCode, JobEvent, QueuePolicy};

/// Time between two rounds of placement, in milliseconds.
const PLACE_MILLIS: u64 = 250;

/// Time within which a long-running task that has room gets its turn: 9 s less the other stages.
const TURN_MILLIS: u64 = 2_500;

/// Time between two starts within which both may be the cause of a crash, in milliseconds.
const SHARED_MILLIS: u64 = 200;

/// Length of finite tasks, in milliseconds.
const WORK_MILLIS: u64 = 1_000;

/// Number of the first job that is submitted after the faults.
const LATE_JOB: u64 = 1_000;

/// Submits a finite job that ranks before long-running ones, since it can still be in time.
fn submit_timely(scene: &mut LeaderScene, number: u64) -> JobCode {
    let queue = QueuePolicy {
        objective: Duration::from_secs(600),
        attempt_limit: 100,
        ..QueuePolicy::default()
    };
    scene.submit_with_queue(number, queue, finite())
}

/// Starts that were ordered, as a VM receives them.
#[derive(Default)]
struct StartLog {
    /// VM, time and attempt of each start.
    starts: Vec<(&'static str, u64, AttemptKey)>,
    seen: BTreeSet<AttemptKey>,
}

impl StartLog {
    /// Returns when a job was first started.
    fn started_at(&self, job: JobCode) -> Option<u64> {
        let mut starts = self.starts.iter();
        let start = starts.find(|(_, _, key)| key.task.job == job);
        start.map(|(_, at, _)| *at)
    }
}

/// Plays 50 ms: the store confirms a write, workers start what was ordered, and agents report.
fn play(scene: &mut LeaderScene, log: &mut StartLog) {
    if scene.now.is_multiple_of(PLACE_MILLIS) {
        scene.place();
    }
    scene.pass(50);
    for name in scene.vms.keys().copied().collect::<Vec<_>>() {
        let kept = scene.kept(name);
        for key in &kept {
            if log.seen.insert(*key) {
                log.starts.push((name, scene.now, *key));
            }
        }
        scene.vms.get_mut(name).unwrap().running = kept;
    }
    scene.report_all();
    scene.tick();
}

/// Plays until a job is started; returns the time until then.
fn play_until_start(scene: &mut LeaderScene, log: &mut StartLog, job: JobCode) -> u64 {
    let from = scene.now;
    while log.started_at(job).is_none_or(|at| at < from) {
        play(scene, log);
        assert!(scene.now < from + 30_000, "{job} is never started");
        log.starts
            .retain(|(_, at, key)| key.task.job != job || *at >= from);
    }
    scene.now - from
}

/// Lets the endpoint of a VM come back without its tasks.
fn restart(scene: &mut LeaderScene, name: &'static str) {
    let vm = scene.vms.get_mut(name).unwrap();
    vm.is_unresponsive = false;
    vm.life = scene.now;
    vm.running.clear();
    scene.report_all();
}

/// Lets time pass while agents report.
fn wait(scene: &mut LeaderScene, millis: u64) {
    for _ in 0..millis / 100 {
        scene.pass(100);
        scene.report_all();
    }
}

/// Makes VM `b` suspected by failures of two jobs, and lets three more fail there after 2.5 s each, so
/// that it takes a task every 2 s and has to run one for 5 s to be taken for sound.
fn suspect_b(scene: &mut LeaderScene) {
    scene.add_vm("b", 100);
    for numbers in [vec![500, 501], vec![502], vec![503], vec![504]] {
        let jobs: Vec<JobCode> = numbers
            .into_iter()
            .map(|number| submit_timely(scene, number))
            .collect();
        scene.start();
        assert_eq!(scene.kept_jobs("b"), jobs);
        wait(scene, 2_500);
        for job in jobs {
            scene.end("b", job, EndKind::Failed);
            scene.leader.cancel_job(job, scene.wall());
        }
        wait(scene, 1_100);
    }
    scene.now = scene.now.next_multiple_of(PLACE_MILLIS);
    scene.report_all();
}

/// Starts long-running jobs on VM `a`, makes `b` suspected, and takes the room of `a` away.
fn interrupt_beside_suspected_vm(count: u64) -> (LeaderScene, Vec<JobCode>) {
    let mut scene = LeaderScene::new(&[("a", count)]);
    let jobs: Vec<JobCode> = (1..=count)
        .map(|number| scene.submit(number, long_running()))
        .collect();
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept_jobs("a"), jobs);
    suspect_b(&mut scene);
    scene.vms.get_mut("a").unwrap().cores = 0;
    restart(&mut scene, "a");
    scene.tick();
    (scene, jobs)
}

/// Guards against an interrupted task that waits beside a suspected VM while others take its turns.
#[test]
fn interrupted_task_goes_before_finite_ones_on_a_suspected_vm() {
    let (mut scene, jobs) = interrupt_beside_suspected_vm(1);
    for number in 0..20 {
        submit_timely(&mut scene, LATE_JOB + number);
    }
    let mut log = StartLog::default();
    let waited = play_until_start(&mut scene, &mut log, jobs[0]);
    assert!(waited <= TURN_MILLIS, "waits {waited} ms");
}

/// Guards against interrupted tasks that wait for each other beside the room of a suspected VM on
/// which none of their jobs has failed.
#[test]
fn interrupted_tasks_share_a_turn_on_a_suspected_vm() {
    let (mut scene, jobs) = interrupt_beside_suspected_vm(4);
    let mut log = StartLog::default();
    let from = scene.now;
    for job in jobs {
        if log.started_at(job).is_none() {
            play_until_start(&mut scene, &mut log, job);
        }
    }
    let waited = scene.now - from;
    assert!(waited <= TURN_MILLIS, "the last one waits {waited} ms");
}

/// Crashes the endpoint of VM `a` right after the starts of jobs on it, so that they may be the
/// cause, and lets it come back.
fn crash_a(scene: &mut LeaderScene, count: usize) {
    for _ in 0..2 {
        scene.place();
        scene.pass(50);
        let kept = scene.kept("a");
        scene.vms.get_mut("a").unwrap().running = kept;
    }
    assert_eq!(scene.vms["a"].running.len(), count);
    scene.pass(50);
    scene.leader.take_events();
    scene.vms.get_mut("a").unwrap().is_unresponsive = true;
    scene.report("a");
    scene.pass(500);
    restart(scene, "a");
    let (events, _) = scene.leader.take_events();
    let crashed = events
        .iter()
        .filter(|event| matches!(event, JobEvent::Crashed { .. }));
    assert_eq!(crashed.count(), count);
    scene.now = scene.now.next_multiple_of(PLACE_MILLIS);
    scene.report_all();
}

/// Returns a scene in which a long-running task has lost its VM `b`, and jobs may have crashed `a`, on
/// which there is room.
fn interrupt_beside_suspected_tasks(
    cores: u64,
    count: u64,
    submit: impl Fn(&mut LeaderScene, u64) -> JobCode,
) -> (LeaderScene, JobCode) {
    let mut scene = LeaderScene::new(&[("b", 1)]);
    let lasting = scene.submit_with_priority(1, 1, long_running());
    scene.pass(200);
    scene.start();
    assert_eq!(scene.kept_jobs("b"), [lasting]);
    scene.add_vm("a", cores);
    for number in 0..count {
        submit(&mut scene, LATE_JOB + number);
    }
    scene.pass(200);
    crash_a(&mut scene, count as usize);
    scene.tick();
    scene.pass(500);
    scene.report_all();
    scene.vms.get_mut("b").unwrap().cores = 0;
    restart(&mut scene, "b");
    scene.tick();
    (scene, lasting)
}

/// Guards against an interrupted task that waits for each of the finite tasks that may have crashed a VM.
#[test]
fn interrupted_task_goes_between_suspected_tasks() {
    let (mut scene, lasting) = interrupt_beside_suspected_tasks(100, 40, submit_timely);
    let mut log = StartLog::default();
    let waited = play_until_start(&mut scene, &mut log, lasting);
    assert!(waited <= TURN_MILLIS, "waits {waited} ms");
}

/// Guards against a job that waits for each of the suspected tasks that rank before it.
#[test]
fn later_job_goes_between_suspected_tasks() {
    let (mut scene, _) = interrupt_beside_suspected_tasks(100, 40, submit_timely);
    let later = scene.submit(2, finite());
    let mut log = StartLog::default();
    let waited = play_until_start(&mut scene, &mut log, later);
    assert!(waited <= TURN_MILLIS, "waits {waited} ms");
}

/// Guards against room that is kept for all suspected tasks, while only one of them can take it.
#[test]
fn suspected_tasks_keep_no_room_before_their_turn() {
    let submit = |scene: &mut LeaderScene, number| scene.submit(number, long_running());
    let (mut scene, lasting) = interrupt_beside_suspected_tasks(20, 20, submit);
    let mut log = StartLog::default();
    let waited = play_until_start(&mut scene, &mut log, lasting);
    assert!(waited <= TURN_MILLIS, "waits {waited} ms");
}

/// Guards against suspected tasks that wait for good behind others, or are not started alone beside
/// them, so that a crash would not tell which task is to blame.
#[test]
fn suspected_tasks_are_started_alone_beside_a_stream_of_others() {
    let submit = |scene: &mut LeaderScene, number| scene.submit(number, finite());
    let (mut scene, lasting) = interrupt_beside_suspected_tasks(1_000, 10, submit);
    let suspects: Vec<JobCode> = (0..10)
        .map(|number| JobCode::new(LATE_JOB + number))
        .collect();
    let mut log = StartLog::default();
    for number in 0..400 {
        submit_timely(&mut scene, 2 * LATE_JOB + number);
        play(&mut scene, &mut log);
        let now = scene.now;
        let ended = log
            .starts
            .iter()
            .filter(|(_, at, _)| at + WORK_MILLIS == now);
        for job in ended.map(|(_, _, key)| key.task.job).collect::<Vec<_>>() {
            if job != lasting {
                scene.end("a", job, EndKind::Done);
            }
        }
    }
    let starts = log.starts.iter().filter(|(vm, _, _)| *vm == "a");
    let starts: Vec<(u64, JobCode)> = starts.map(|(_, at, key)| (*at, key.task.job)).collect();
    for suspect in suspects {
        let started = starts.iter().find(|(_, job)| *job == suspect);
        let (started_at, _) = *started.unwrap_or_else(|| panic!("{suspect} is never started"));
        let beside = starts
            .iter()
            .filter(|(at, job)| *job != suspect && at.abs_diff(started_at) <= SHARED_MILLIS);
        assert_eq!(beside.count(), 0, "{suspect} is not started alone");
    }
}
