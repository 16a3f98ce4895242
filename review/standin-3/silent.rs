//! Connections to the store go silent without a reset just before jobs are cancelled.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::platform::{CANCEL_MS, CONTACT_MS, Deployment};
use crate::record::Record;
use crate::store::Fate;

const EXECUTORS: u8 = 3;

const EXECUTOR_CPU: u64 = 8000;

/// Jobs that are cancelled.
const JOBS: u64 = 8;

/// When the first of them is to run, after the connections went silent, and the time between two.
const DUE_MS: (u64, u64) = (3050, 50);

/// Time from the last change that readers have seen until the connections go silent.
const PAUSE: Duration = Duration::from_millis(60);

const OBSERVED: Duration = Duration::from_secs(6);

fn job_name(number: u64) -> String {
    format!("{:016x}", 0xe000_0000_0000_0000_u64 + number)
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
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
    thread::sleep(Duration::from_secs(4));
    let first = unix_millis() + DUE_MS.0;
    for number in 0..JOBS {
        let due = first + number * DUE_MS.1;
        let body = format!(
            r#"{{"task_spec":"work=500 cpu=100","steps":[{{"count":1,"cpu":100,"requested_memory_mb":10,"estimated_ms":500}}],"repetitions":1,"first_run_ms":{due},"interval_ms":1000}}"#
        );
        if deployment.submit(number as usize, &job_name(number), &body) != Some(200) {
            return Ok(Verdict::NotPlayed("a job was not accepted".to_owned()));
        }
    }
    thread::sleep(PAUSE);
    if has_trouble {
        deployment.store.silence_readers();
        record.note("open connections to the store on which changes are awaited go silent");
    }
    let silent_at = record.now_ms();
    let mut acks = Vec::new();
    for number in 0..JOBS {
        let job = job_name(number);
        let status = deployment.cancel(number as usize, &job);
        if status != Some(200) {
            return Ok(Verdict::NotPlayed(
                "a cancelling was not acknowledged".to_owned(),
            ));
        }
        acks.push((job, record.now_ms()));
    }
    thread::sleep(OBSERVED);
    let mut broken = Vec::new();
    for (job, acked_at) in acks {
        // `contact_ms` after the silence, all machines are in touch again.
        let allowed = (acked_at + CANCEL_MS).max(silent_at + CONTACT_MS);
        for start in record
            .starts_of(&job)
            .iter()
            .filter(|start| start.at_ms > allowed)
        {
            broken.push(format!(
                "{} was started {} ms after its cancelling was acknowledged",
                start.task,
                start.at_ms - acked_at
            ));
        }
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken))
}
