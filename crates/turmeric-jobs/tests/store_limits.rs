//! Rows that could exceed what the store accepts, and writes that it refuses for good.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod bounded_store;

use std::collections::BTreeMap;

use bounded_store::{LeaderBed, ROW_BYTES, long_running_spec, resources, spec};
use rstest::rstest;
use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, EndKind, JobCode, JobPhase, JobScheduler, QueuePolicy,
    RowOwner, TASK_LIMIT, TaskName,
};
use turmeric_schema::{Message, v1};
use turmeric_types::MonoTime;

/// Most bytes of a value whose text has at most [`ROW_BYTES`].
const VALUE_BYTES: usize = ROW_BYTES / 4 * 3;

/// Longest checkpoint that an agent accepts, in bytes.
const LONGEST_CHECKPOINT: usize = 4 << 10;

/// Longest time for which a leader may leave its row as it is; other entries take over later.
const LEADER_SILENCE_MILLIS: u64 = 2_000;

fn step_name(job: u64) -> TaskName {
    TaskName {
        job: JobCode::new(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn status(key: AttemptKey, checkpoint: String) -> AttemptStatus {
    AttemptStatus {
        key,
        checkpoint,
        percent: 50,
        pace: 100,
        is_confirmed: true,
    }
}

fn checkpoint(key: &AttemptKey, bytes: usize) -> String {
    format!("{:0>bytes$}", key.task.index)
}

/// Starts a job of the most tasks, and has all of them report checkpoints of so many bytes.
fn run_largest_job(bed: &mut LeaderBed, bytes: usize) -> Vec<AttemptKey> {
    bed.submit(1, spec(TASK_LIMIT as u32));
    bed.handle(bed.report(1, Vec::new()));
    let keys = bed.place();
    assert_eq!(keys.len(), TASK_LIMIT as usize);
    bed.write_all();
    bed.order_all();
    let running = keys.iter().map(|key| status(*key, checkpoint(key, bytes)));
    bed.handle(bed.report(1, running.collect()));
    keys
}

/// Guards against a progress row that the store refuses for good: all executors of a job of the
/// most tasks are lost, and each task has a checkpoint. The next leader has them all.
#[rstest]
#[case(88)]
#[case(400)]
#[case(LONGEST_CHECKPOINT)]
fn progress_of_the_largest_job_is_recorded_whole(#[case] bytes: usize) {
    let mut bed = LeaderBed::new();
    let keys = run_largest_job(&mut bed, bytes);
    // The endpoint crashed, and is back.
    bed.handle(bed.report(2, Vec::new()));
    bed.write_all();
    bed.take_over();
    let job = bed.leader.job(JobCode::new(1)).unwrap();
    for key in &keys {
        let state = &job.tasks[&key.task];
        assert_eq!(state.checkpoint, checkpoint(key, bytes), "{}", key.task);
        assert_eq!(state.crashes.attempts.len(), 1);
        assert_eq!(state.location, None);
    }
    bed.order_all();
    // The tasks that succeed now need no checkpoint any more.
    bed.handle(bed.report(2, Vec::new()));
    let keys = bed.place();
    assert_eq!(keys.len(), TASK_LIMIT as usize);
    bed.write_all();
    let mut report = bed.report(2, Vec::new());
    report.ends = ends(&keys, bytes);
    bed.handle(report);
    bed.write_all();
    bed.take_over();
    assert_eq!(
        bed.leader.job(JobCode::new(1)).unwrap().phase,
        JobPhase::Done
    );
}

fn ends(keys: &[AttemptKey], bytes: usize) -> Vec<AttemptEnd> {
    let end = |(number, key): (u64, &AttemptKey)| AttemptEnd {
        number,
        key: *key,
        kind: EndKind::Done,
        checkpoint: checkpoint(key, bytes),
    };
    (1..).zip(keys).map(end).collect()
}

/// Guards against checkpoints that are kept for tasks which never run again: without any
/// disruption, all tasks of a large job end at once, and each end has a checkpoint.
#[test]
fn ends_of_a_large_job_are_recorded_in_one_row() {
    let mut bed = LeaderBed::new();
    bed.submit(1, spec(500));
    bed.handle(bed.report(1, Vec::new()));
    let keys = bed.place();
    bed.write_all();
    let (last, others) = keys.split_last().unwrap();
    let mut report = bed.report(1, vec![status(*last, String::new())]);
    report.ends = ends(others, 400);
    bed.handle(report);
    bed.write_all();
    assert_eq!(bed.store.progress.len(), 1);
    bed.take_over();
    let job = bed.leader.job(JobCode::new(1)).unwrap();
    assert!(others.iter().all(|key| job.tasks[&key.task].is_done));
}

/// Guards against rows that are left behind, and against a deletion that exceeds a call.
#[test]
fn rows_of_large_jobs_are_deleted_with_them() {
    let mut bed = LeaderBed::new();
    run_largest_job(&mut bed, LONGEST_CHECKPOINT);
    for number in 2..=30 {
        bed.submit(number, spec(1));
    }
    bed.handle(bed.report(2, Vec::new()));
    bed.write_all();
    assert!(bed.store.progress.len() > 70);
    bed.take_over();
    let wall = bed.wall();
    for number in 1..=30 {
        bed.leader.cancel_job(JobCode::new(number), wall);
    }
    bed.write_all();
    bed.now = MonoTime::from_millis(bed.now.as_millis() + 200_000);
    bed.write_all();
    assert_eq!(bed.store.progress.keys().next(), None);
}

/// Guards against checkpoints of an earlier leader that replace newer ones: a leader of an earlier
/// version has written the first row and does not know of further ones.
#[test]
fn checkpoints_do_not_outlast_a_first_row_of_an_earlier_version() {
    let mut bed = LeaderBed::new();
    run_largest_job(&mut bed, 400);
    bed.handle(bed.report(2, Vec::new()));
    bed.write_all();
    let key = JobCode::new(1).to_string();
    let first = &bed.store.progress[&key];
    let mut first = v1::JobProgress::decode(first.as_slice()).unwrap();
    assert_eq!(first.tasks.len(), TASK_LIMIT as usize);
    assert!(first.checkpoint_rows);
    first.checkpoint_rows = false;
    first.tasks[1].checkpoint = "new".to_owned();
    bed.store.progress.insert(key, first.encode_to_vec());
    bed.take_over();
    let checkpoint_of = |bed: &LeaderBed, index| {
        let job = bed.leader.job(JobCode::new(1)).unwrap();
        let name = TaskName {
            index,
            ..step_name(1)
        };
        job.tasks[&name].checkpoint.clone()
    };
    assert_eq!(checkpoint_of(&bed, 0), "");
    assert_eq!(checkpoint_of(&bed, 1), "new");
    // Nor after the next write that needs further rows.
    bed.handle(bed.report(2, Vec::new()));
    let keys = bed.place();
    let running = keys.iter().skip(300);
    let running = running.map(|key| status(*key, checkpoint(key, 400)));
    bed.handle(bed.report(2, running.collect()));
    bed.handle(bed.report(3, Vec::new()));
    bed.write_all();
    bed.take_over();
    assert_eq!(checkpoint_of(&bed, 0), "");
    assert_eq!(checkpoint_of(&bed, 1), "new");
    assert_eq!(checkpoint_of(&bed, 599).len(), 400);
}

/// Guards against names of VMs and endpoints that make a row too large.
#[test]
fn tasks_that_one_row_cannot_hold_continue_in_further_rows() {
    let mut bed = LeaderBed::new();
    bed.submit(1, spec(TASK_LIMIT as u32));
    let mut report = bed.report(1, Vec::new());
    report.vm = "v".repeat(200);
    let info = report.endpoint_info.as_mut().unwrap();
    info.incarnation.endpoint = "i".repeat(200);
    bed.handle(report);
    assert_eq!(bed.place().len(), TASK_LIMIT as usize);
    bed.write_all();
    assert!(bed.store.progress.len() > 1);
    bed.take_over();
    let job = bed.leader.job(JobCode::new(1)).unwrap();
    let placed = job.tasks.values().filter(|state| state.location.is_some());
    assert_eq!(placed.count(), TASK_LIMIT as usize);
}

/// Guards against a leader's row that the store refuses: operators add thousands of queues.
#[test]
fn leader_row_of_many_queues_fits() {
    let mut bed = LeaderBed::new();
    for number in 1..=3_000 {
        let mut spec = spec(1);
        spec.queue = QueuePolicy {
            route: format!("queue-with-a-long-name-{number}"),
            ..spec.queue
        };
        bed.submit(number, spec);
    }
    bed.now = MonoTime::from_millis(20_000);
    let plan = bed.write(0).unwrap().unwrap();
    assert!(plan.leader_row.len() <= VALUE_BYTES);
    let row = v1::LeaderRow::decode(plan.leader_row.as_slice()).unwrap();
    assert!(row.queues.len() > 1_000, "{}", row.queues.len());
}

/// Writes until this time; returns the owners that were found at fault.
fn write_until(bed: &mut LeaderBed, millis: u64) -> BTreeMap<RowOwner, usize> {
    let mut faults: BTreeMap<RowOwner, usize> = BTreeMap::new();
    let mut written_at = bed.now.as_millis();
    while bed.now.as_millis() < millis {
        match bed.write(60) {
            Ok(None) => {}
            Ok(Some(_)) => written_at = bed.now.as_millis(),
            Err(None) => {}
            Err(Some(owner)) => *faults.entry(owner).or_default() += 1,
        }
        let silence = bed.now.as_millis() - written_at;
        assert!(silence <= LEADER_SILENCE_MILLIS, "{silence} ms");
    }
    faults
}

/// Guards against capacity that tasks keep for good which are never ordered: the store refuses the
/// row of a job that was placed on the whole VM.
#[test]
fn refused_row_keeps_no_capacity_from_other_jobs() {
    let mut bed = LeaderBed::new();
    let large = bed.submit(1, spec(TASK_LIMIT as u32));
    let mut whole = spec(1);
    whole.steps[0].need = resources(64_000);
    bed.store.refused.insert(RowOwner::Job(large));
    bed.handle(bed.report(1, Vec::new()));
    assert_eq!(bed.place().len(), TASK_LIMIT as usize);
    let small = bed.submit(2, whole);
    let faults = write_until(&mut bed, 13_000);
    assert_eq!(faults.get(&RowOwner::Job(large)), Some(&1));
    bed.order_all();
    bed.handle(bed.report(1, Vec::new()));
    let placed = bed.place();
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].task.job, small);
}

/// Guards against a leader that repeats a refused transaction for good: the row at fault is found,
/// the leader's own row goes on to change, and all other jobs are recorded.
#[rstest]
#[case::one_of_many(60, &[17])]
#[case::one_of_two(2, &[2])]
#[case::single(1, &[1])]
#[case::several(60, &[1, 30, 31, 60])]
fn refused_row_holds_up_no_other(#[case] jobs: u64, #[case] refused: &[u64]) {
    let mut bed = LeaderBed::new();
    let owners = || {
        refused
            .iter()
            .map(|number| RowOwner::Job(JobCode::new(*number)))
    };
    bed.store.refused = owners().collect();
    for number in 1..=jobs {
        bed.submit(number, spec(1));
    }
    bed.handle(bed.report(1, Vec::new()));
    assert_eq!(bed.place().len(), jobs as usize);
    let faults = write_until(&mut bed, 19_000);
    assert_eq!(faults, owners().map(|owner| (owner, 1)).collect());
    assert_eq!(bed.store.progress.len(), jobs as usize - refused.len());
    // A job that arrives now is recorded at once, and no attempt of the refused ones is ordered.
    bed.submit(100, spec(1));
    bed.handle(bed.report(1, Vec::new()));
    bed.place();
    write_until(&mut bed, 19_500);
    assert!(
        bed.store
            .progress
            .contains_key(&JobCode::new(100).to_string())
    );
    let orders = bed.leader.orders("side-morava-a-1", bed.now).unwrap();
    assert_eq!(orders.starts.len(), jobs as usize + 1 - refused.len());
    // Later the store accepts the rows.
    bed.store.refused.clear();
    write_until(&mut bed, 40_000);
    assert_eq!(bed.store.progress.len(), jobs as usize + 1);
}

/// The same for the row of learned interference.
#[test]
fn refused_interference_holds_up_no_job() {
    let mut bed = LeaderBed::new();
    bed.store.refused = [RowOwner::Interference].into();
    bed.submit(1, spec(1));
    bed.handle(bed.report(1, Vec::new()));
    bed.place();
    let faults = write_until(&mut bed, 18_000);
    assert_eq!(faults, [(RowOwner::Interference, 1)].into());
    assert_eq!(bed.store.progress.len(), 1);
}

/// Guards against ends that nobody is told of any more: those of a job whose row is refused hold
/// back the acknowledgement of all later ones, and a worker lists 500 at a time.
#[test]
fn ends_of_a_refused_row_hold_back_few_others() {
    let mut bed = LeaderBed::new();
    bed.submit(1, spec(1));
    bed.submit(2, spec(600));
    bed.handle(bed.report(1, Vec::new()));
    let keys = bed.place();
    bed.write_all();
    bed.store.refused = [RowOwner::Job(JobCode::new(1))].into();
    let recorded = |leader: &mut JobScheduler, now| {
        let orders = leader.orders("side-morava-a-1", now).unwrap();
        orders.recorded_end
    };
    for ended in [100, 300, 500] {
        let running = keys.iter().skip(ended);
        let running = running.map(|key| status(*key, String::new()));
        let mut report = bed.report(1, running.collect());
        let known = recorded(&mut bed.leader, bed.now);
        report.ends = ends(&keys[..ended], 0);
        report.ends.retain(|end| end.number > known);
        bed.handle(report);
        let end = bed.now.as_millis() + 2_000;
        write_until(&mut bed, end);
        let expected = if ended > 400 { 500 } else { 0 };
        assert_eq!(recorded(&mut bed.leader, bed.now), expected);
    }
}

/// Longest time that a row of a job with an absent long-running task waits for its next write once the
/// store accepts it: the longest delay, and the writes of a record.
const ROW_WAIT_MILLIS: u64 = 3_000;

/// Writes, reports and reviews until this time; returns how often each owner was found at fault.
fn run_until(bed: &mut LeaderBed, millis: u64, keys: &[AttemptKey]) -> BTreeMap<RowOwner, usize> {
    let mut faults: BTreeMap<RowOwner, usize> = BTreeMap::new();
    while bed.now.as_millis() < millis {
        let end = bed.now.as_millis() + 60;
        for (owner, count) in write_until(bed, end) {
            *faults.entry(owner).or_default() += count;
        }
        let running = keys.iter().map(|key| status(*key, String::new()));
        bed.handle(bed.report(1, running.collect()));
        bed.leader.tick(bed.now);
    }
    faults
}

/// Starts jobs of a long-running task each, and ends those of the first `ended` ones.
fn run_interrupted_jobs(bed: &mut LeaderBed, jobs: u64, ended: usize) -> Vec<AttemptKey> {
    for number in 1..=jobs {
        bed.submit(number, long_running_spec());
    }
    // Long-running jobs that arrive together are placed together.
    bed.now = MonoTime::from_millis(bed.now.as_millis() + 1_000);
    bed.handle(bed.report(1, Vec::new()));
    let keys = bed.place();
    assert_eq!(keys.len(), jobs as usize);
    bed.write_all();
    bed.order_all();
    let end = bed.now.as_millis() + 1_000;
    run_until(bed, end, &keys);
    bed.store.refused = (1..=jobs)
        .map(|number| RowOwner::Job(JobCode::new(number)))
        .collect();
    end_first(bed, &keys, ended);
    keys
}

/// Ends the first of the attempts by failures.
fn end_first(bed: &mut LeaderBed, keys: &[AttemptKey], ended: usize) {
    let running = keys[ended..].iter().map(|key| status(*key, String::new()));
    let mut report = bed.report(1, running.collect());
    report.ends = ends(&keys[..ended], 0);
    for end in &mut report.ends {
        end.kind = EndKind::Failed;
    }
    bed.handle(report);
}

/// Returns how long it takes until the store holds rows of all these jobs with another attempt.
fn wait_for_rows(bed: &mut LeaderBed, keys: &[AttemptKey], running: &[AttemptKey]) -> u64 {
    let start = bed.now.as_millis();
    bed.store.refused.clear();
    bed.store.progress.clear();
    while bed.store.progress.len() < keys.len() {
        let end = bed.now.as_millis() + 60;
        run_until(bed, end, running);
        assert!(end < start + 30_000, "{} rows", bed.store.progress.len());
    }
    bed.now.as_millis() - start
}

/// Guards against a long-running task that stays away for ten seconds beside room, because the row of
/// its job was refused once: whenever the cause passes, the row is written soon. As long as it does
/// not pass, the same row is not written again all the time.
#[rstest]
#[case(200)]
#[case(1_000)]
#[case(4_000)]
#[case(9_000)]
#[case(21_000)]
fn refused_row_of_an_interrupted_task_is_written_soon_again(#[case] refused_millis: u64) {
    let mut bed = LeaderBed::new();
    let keys = run_interrupted_jobs(&mut bed, 1, 1);
    let end = bed.now.as_millis() + refused_millis;
    let faults: usize = run_until(&mut bed, end, &[]).values().sum();
    let most = 3 + refused_millis.div_ceil(2_000) as usize;
    assert!((1..=most).contains(&faults), "{faults} refusals");
    let waited = wait_for_rows(&mut bed, &keys, &[]);
    assert!(waited <= ROW_WAIT_MILLIS, "after {waited} ms");
}

/// Guards against the same where the row was refused before the task ended, and waits for longer since
/// nothing of the job was absent.
#[test]
fn row_that_was_refused_earlier_is_written_soon_once_a_task_is_interrupted() {
    let mut bed = LeaderBed::new();
    let keys = run_interrupted_jobs(&mut bed, 1, 0);
    // Another incarnation takes the attempt over, which changes the row.
    bed.handle(bed.report(2, vec![status(keys[0], String::new())]));
    let mut faults = 0;
    for _ in 0..20 {
        let end = bed.now.as_millis() + 60;
        faults += write_until(&mut bed, end).values().sum::<usize>();
        bed.handle(bed.report(2, vec![status(keys[0], String::new())]));
        bed.leader.tick(bed.now);
    }
    assert_eq!(faults, 1, "nothing is absent");
    let mut report = bed.report(2, Vec::new());
    report.ends = ends(&keys, 0);
    report.ends[0].kind = EndKind::Failed;
    bed.handle(report);
    let start = bed.now.as_millis();
    bed.store.refused.clear();
    bed.store.progress.clear();
    while bed.store.progress.is_empty() {
        write_until(&mut bed, start + 1);
        let end = bed.now.as_millis() + 60;
        write_until(&mut bed, end);
        bed.handle(bed.report(2, Vec::new()));
        bed.leader.tick(bed.now);
        assert!(bed.now.as_millis() < start + ROW_WAIT_MILLIS);
    }
}

/// Guards against retries that hold up others: many refused rows wait beside one another, and other
/// changes are recorded all the while. Once the cause passes, all rows are written soon.
#[test]
fn retries_of_many_refused_rows_hold_up_no_other_job() {
    let mut bed = LeaderBed::new();
    let keys = run_interrupted_jobs(&mut bed, 60, 60);
    // The search for the rows at fault writes only suspects.
    let mut faults = BTreeMap::new();
    while faults.len() < keys.len() {
        let end = bed.now.as_millis() + 60;
        faults.extend(run_until(&mut bed, end, &[]));
    }
    for number in 101..=150 {
        let code = bed.submit(number, spec(1));
        let start = bed.now.as_millis();
        let wall = bed.wall();
        bed.leader.cancel_job(code, wall);
        while !bed.store.progress.contains_key(&code.to_string()) {
            let end = bed.now.as_millis() + 60;
            run_until(&mut bed, end, &[]);
            let waited = bed.now.as_millis() - start;
            assert!(waited <= 1_000, "recorded after {waited} ms");
        }
    }
    let waited = wait_for_rows(&mut bed, &keys, &[]);
    assert!(waited <= ROW_WAIT_MILLIS, "after {waited} ms");
}
