//! An executor crashes while the tasks of a large submission are being started on it. Other
//! submissions, which come after that, must be started all the same.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::store::Fate;

/// One of seven executors crashes: the share of the site's `srv_crash` is 0.14.
const EXECUTORS: u8 = 7;

/// Thousandths of a core of each executor.
const EXECUTOR_CPU: u64 = 64_000;

/// How long the executor is down; the site's `srv_crash` lasts 4.5 s.
const DOWN: Duration = Duration::from_millis(4500);

/// Starts on the executor before it crashes.
const STARTS: usize = 400;

/// Time within which they must come.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Time from the end of the trouble until the other jobs are handed in.
const PAUSE: Duration = Duration::from_millis(1500);

/// The time without trouble before a job that lasts must run (4 s), and the time within which it
/// must run then (3 s).
const CALM_MS: u64 = 7000;

/// `finish_s` of the settings, and the time without a run after that which breaks the rule.
const FINISH_MS: u64 = 17_000;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// 600 tasks of 0.05 cores and 30 s: 30 of 448 cores.
const LARGE_JOB: &str = "9000000000000001";
/// A task of half a core that lasts.
const LASTING_JOB: &str = "9000000000000002";
/// 100 tasks of two cores and 10 s.
const WIDE_JOB: &str = "9000000000000003";

pub fn play(directory: &Path, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let store = |_: &str| Fate::Answered;
    let deployment = Deployment::start(
        directory,
        Arc::clone(record),
        EXECUTORS,
        EXECUTOR_CPU,
        store,
    )?;
    thread::sleep(Duration::from_secs(3));
    let large = r#"{"task_spec":"work=30000 cpu=50","steps":[{"count":600,"cpu":50,"requested_memory_mb":10,"estimated_ms":30000}]}"#;
    if deployment.submit(0, LARGE_JOB, large) != Some(200) {
        return Ok(Verdict::NotPlayed(
            "the large job was not accepted".to_owned(),
        ));
    }
    let end = Instant::now() + START_LIMIT;
    while record.starts_of(LARGE_JOB).len() < STARTS {
        if Instant::now() > end {
            return Ok(Verdict::NotPlayed(
                "the large job was not started".to_owned(),
            ));
        }
        thread::sleep(Duration::from_millis(1));
    }
    // Small tasks are placed together, so one executor has nearly all of them.
    let fullest = deployment
        .workers
        .iter()
        .max_by_key(|worker| worker.running());
    if has_trouble && let Some(worker) = fullest {
        worker.crash(false);
        thread::sleep(DOWN);
        worker.restart();
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(PAUSE);
    let lasting = r#"{"task_spec":"lasts cpu=500","steps":[{"count":1,"cpu":500,"requested_memory_mb":10,"estimated_ms":1000,"long_running":true}]}"#;
    let wide = r#"{"task_spec":"work=10000 cpu=2000","steps":[{"count":100,"cpu":2000,"requested_memory_mb":10,"estimated_ms":10000}]}"#;
    if deployment.submit(0, LASTING_JOB, lasting) != Some(200)
        || deployment.submit(1, WIDE_JOB, wide) != Some(200)
    {
        return Ok(Verdict::NotPlayed(
            "a later job was not accepted".to_owned(),
        ));
    }
    let calm_at = record.now_ms();
    let mut broken = Vec::new();
    while record.now_ms() < calm_at + FINISH_MS {
        thread::sleep(SAMPLE_INTERVAL);
        let started = |job| record.starts_of(job).len();
        let room: Vec<String> = deployment
            .workers
            .iter()
            .map(|worker| worker.room())
            .collect();
        record.note(format!(
            "starts: {} of the large job, {} of the lasting one, {} of the wide one; free: {}",
            started(LARGE_JOB),
            started(LASTING_JOB),
            started(WIDE_JOB),
            room.join(", ")
        ));
    }
    for (job, limit) in [(LASTING_JOB, CALM_MS), (WIDE_JOB, FINISH_MS)] {
        let state = deployment.state(0, job).unwrap_or_default();
        let first = record
            .starts_of(job)
            .first()
            .map(|start| start.at_ms - calm_at);
        if first.is_none_or(|first| first > limit) {
            let shown = first.map_or("not at all".to_owned(), |first| format!("after {first} ms"));
            broken.push(format!(
                "job {job} was started {shown} within {FINISH_MS} ms; its state is {state}"
            ));
        }
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken))
}
