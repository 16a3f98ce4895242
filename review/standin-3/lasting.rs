//! Tasks that last fail now and then, as they may at any time. Later jobs must be started all
//! the same while there is room for them.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::store::Fate;

const EXECUTORS: u8 = 3;

/// Thousandths of a core of each executor.
const EXECUTOR_CPU: u64 = 64_000;

/// Jobs that run from the beginning, each with two tasks on each executor: 204 tasks.
const EARLY_JOBS: u64 = 34;

/// Thousandths of a core of each task. The tasks take a fifth of the service together.
const TASK_CPU: u64 = 200;

/// On each executor, one task of each of so many jobs fails: 6 of 210 runs, a share of 0.029. The
/// tasks that last on the site fail with a share of 0.03.
const FAILING_JOBS: u64 = 2;

/// Time between two failures.
const FAILURE_INTERVAL: Duration = Duration::from_secs(2);

/// Jobs that are handed in once no more tasks fail, each with one task.
const LATE_JOBS: u64 = 6;

const SUBMIT_INTERVAL: Duration = Duration::from_secs(2);

/// The time without trouble before a job that lasts must run (4 s), and the time within which it
/// must run then (3 s).
const CALM: Duration = Duration::from_secs(7);

/// `finish_s` of the settings, after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);

/// Longest time in which nothing of a job runs.
const IDLE: Duration = Duration::from_secs(3);

fn job_name(number: u64) -> String {
    format!("{:016x}", 0xc000_0000_0000_0000_u64 + number)
}

pub fn play(directory: &Path, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let store = |_: &str| Fate::Answered;
    let deployment = Deployment::start(
        directory,
        Arc::clone(record),
        EXECUTORS,
        EXECUTOR_CPU,
        store,
    )?;
    thread::sleep(Duration::from_secs(2));
    let executors = u64::from(EXECUTORS);
    for number in 0..EARLY_JOBS {
        let steps = format!(
            r#"[{{"count":{},"cpu":{TASK_CPU},"requested_memory_mb":100,"estimated_ms":1000,"long_running":true,"anti_affinity":2}}]"#,
            2 * executors
        );
        let body = format!(r#"{{"task_spec":"lasts cpu={TASK_CPU}","steps":{steps}}}"#);
        if deployment.submit(number as usize, &job_name(number), &body) != Some(200) {
            return Ok(Verdict::NotPlayed("a job was not accepted".to_owned()));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let running: usize = deployment
        .workers
        .iter()
        .map(|worker| worker.running())
        .sum();
    if running as u64 != EARLY_JOBS * 2 * executors {
        return Ok(Verdict::NotPlayed("not all tasks were started".to_owned()));
    }
    for number in 0..FAILING_JOBS {
        for worker in &deployment.workers {
            thread::sleep(FAILURE_INTERVAL);
            if has_trouble {
                worker.fail_one(&job_name(number));
            }
        }
    }
    record.note("no task fails any more");
    thread::sleep(CALM);
    let late: Vec<String> = (EARLY_JOBS..EARLY_JOBS + LATE_JOBS).map(job_name).collect();
    for (entry, job) in late.iter().enumerate() {
        let body = format!(
            r#"{{"task_spec":"lasts cpu={TASK_CPU}","steps":[{{"count":1,"cpu":{TASK_CPU},"requested_memory_mb":100,"estimated_ms":1000,"long_running":true}}]}}"#
        );
        if deployment.submit(entry, job, &body) != Some(200) {
            return Ok(Verdict::NotPlayed(
                "a later job was not accepted".to_owned(),
            ));
        }
        thread::sleep(SUBMIT_INTERVAL);
    }
    let ending = "d000000000000000";
    let body = r#"{"task_spec":"work=500 cpu=500","steps":[{"count":1,"cpu":500,"requested_memory_mb":100,"estimated_ms":500}]}"#;
    if deployment.submit(0, ending, body) != Some(200) {
        return Ok(Verdict::NotPlayed(
            "the last job was not accepted".to_owned(),
        ));
    }
    thread::sleep(FINISH + IDLE);
    let room: Vec<String> = deployment
        .workers
        .iter()
        .map(|worker| worker.room())
        .collect();
    record.note(format!("free: {}", room.join(", ")));
    let mut broken = Vec::new();
    for job in late.iter().map(String::as_str).chain([ending]) {
        let state = deployment.state(0, job).unwrap_or_default();
        if record.starts_of(job).is_empty() {
            broken.push(format!(
                "job {job} was accepted and nothing of it was ever started; its state is {state}, \
                 free: {}",
                room.join(", ")
            ));
        }
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken))
}
