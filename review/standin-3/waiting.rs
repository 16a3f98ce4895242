//! An executor loses power as jobs come in. The number of waiting jobs that callers are told is
//! compared with the accepted jobs of which no executor has started a task.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::platform::{Deployment, VISIBLE_MS};
use crate::record::Record;
use crate::store::Fate;

/// One of seven executors crashes: the share of the site's `srv_crash` is 0.14.
const EXECUTORS: u8 = 7;

/// Thousandths of a core of each executor; four tasks fit.
const EXECUTOR_CPU: u64 = 8000;

/// Two jobs more than fit, so that some wait without the crash, too.
const JOBS: u64 = 30;

/// The answer may be this old.
const ANSWER_AGE_MS: u64 = 2000;

/// How long the answers are looked at.
const SAMPLES: usize = 100;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

pub fn play(directory: &Path, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let store = |_: &str| Fate::Answered;
    let deployment = Deployment::start(
        directory,
        Arc::clone(record),
        EXECUTORS,
        EXECUTOR_CPU,
        store,
    )?;
    thread::sleep(Duration::from_secs(4));
    if has_trouble && let Some(worker) = deployment.workers.last() {
        worker.crash(true);
    }
    let accepted = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..JOBS {
            let (deployment, accepted) = (&deployment, &accepted);
            scope.spawn(move || {
                let job = format!("{:016x}", 0xb000_0000_0000_0000_u64 + number);
                let body = r#"{"task_spec":"work=25000 cpu=2000","steps":[{"count":1,"cpu":2000,"requested_memory_mb":100,"estimated_ms":25000}]}"#;
                if deployment.submit(number as usize, &job, body) == Some(200) {
                    let at = deployment.record.now_ms();
                    accepted.lock().expect("no thread panics").push((job, at));
                }
            });
        }
    });
    let accepted = accepted.into_inner().expect("no thread panics");
    if accepted.len() < JOBS as usize {
        return Ok(Verdict::NotPlayed("not all jobs were accepted".to_owned()));
    }
    let mut broken = Vec::new();
    for sample in 0..SAMPLES {
        thread::sleep(SAMPLE_INTERVAL);
        let asked_at = record.now_ms();
        let Some(waiting) = deployment.waiting(sample) else {
            continue;
        };
        let due = |at: u64| at + VISIBLE_MS + ANSWER_AGE_MS < asked_at;
        let jobs = accepted
            .iter()
            .filter(|(job, at)| due(*at) && record.starts_of(job).is_empty());
        let unstarted = jobs.count() as u64;
        record.note(format!(
            "told {waiting} waiting, {unstarted} have not begun"
        ));
        if waiting * 2 < unstarted {
            broken.push(format!(
                "at {asked_at} ms entry {} gave {waiting} as waiting; {unstarted} jobs that were \
                 accepted over {} ms before have not begun",
                sample % deployment.entries.len(),
                VISIBLE_MS + ANSWER_AGE_MS
            ));
        }
    }
    for (job, _) in accepted
        .iter()
        .filter(|(job, _)| record.starts_of(job).is_empty())
    {
        deployment.state(0, job);
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken))
}
