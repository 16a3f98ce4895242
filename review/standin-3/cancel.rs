//! Callers hand jobs in while the store loses answers, and cancel those that got no answer.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::platform::{CANCEL_MS, CONTACT_MS, Deployment};
use crate::random::Random;
use crate::record::Record;
use crate::store::Fate;

/// Seed of the lost answers.
const SEED: u64 = 7;

/// Share of the writing calls that get no answer, in percent; the site's `platform_lost` has 35.
const LOST_PERCENT: u64 = 35;

/// How long the store loses answers; the site's `platform_lost` lasts 4.5 s.
const LOST_TIME: Duration = Duration::from_millis(4500);

/// A call without an answer is done this much later, in milliseconds: 1 to 6 s.
const LATE_MS: (u64, u64) = (1000, 5000);

/// The jobs are to run once, so long after they were handed in.
const DUE_AFTER_MS: u64 = 25_000;

const JOBS: u64 = 60;

/// Time from the end of the trouble until the starts are looked at.
const OBSERVED: Duration = Duration::from_secs(32);

/// A cancellation that was acknowledged.
struct Cancelled {
    job: String,
    status: u16,
    acked_at: u64,
}

pub fn play(directory: &Path, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let is_losing = Arc::new(AtomicBool::new(false));
    let random = Arc::new(Mutex::new(Random::new(SEED)));
    let fate = {
        let (is_losing, random, record) = (
            Arc::clone(&is_losing),
            Arc::clone(&random),
            Arc::clone(record),
        );
        move |_: &str| {
            let mut random = random.lock().expect("no thread panics");
            if !is_losing.load(Ordering::Relaxed) || random.below(100) >= LOST_PERCENT {
                return Fate::Answered;
            }
            let delay = Duration::from_millis(LATE_MS.0 + random.below(LATE_MS.1));
            record.note(format!(
                "the store does a write {} ms later",
                delay.as_millis()
            ));
            Fate::DoneLate(delay)
        }
    };
    let deployment = Deployment::start(directory, Arc::clone(record), 3, 8000, fate)?;
    is_losing.store(has_trouble, Ordering::Relaxed);
    let began_at = record.now_ms();
    let cancelled = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..JOBS {
            let (deployment, cancelled) = (&deployment, &cancelled);
            scope.spawn(move || {
                // The jobs come over three seconds.
                thread::sleep(Duration::from_millis(number * 50));
                if let Some(ack) = hand_in(deployment, number) {
                    cancelled.lock().expect("no thread panics").push(ack);
                }
            });
        }
        let left = LOST_TIME;
        thread::sleep(left);
        is_losing.store(false, Ordering::Relaxed);
    });
    let trouble_end = began_at + LOST_TIME.as_millis() as u64 + LATE_MS.0 + LATE_MS.1;
    record.note("all answers are in; the store answers all calls");
    thread::sleep(OBSERVED);
    let cancelled = cancelled.into_inner().expect("no thread panics");
    let mut broken = Vec::new();
    for ack in &cancelled {
        let state = deployment.state(0, &ack.job).unwrap_or_default();
        // The last late write is done by the end of the trouble; `contact_ms` after that all
        // machines are in touch.
        let allowed = (ack.acked_at + CANCEL_MS).max(trouble_end + CONTACT_MS);
        let starts = record.starts_of(&ack.job);
        let late = starts.iter().find(|start| start.at_ms > allowed);
        if let Some(start) = late {
            broken.push(format!(
                "{} was started {} ms after its cancelling was answered with {}; state now {state}",
                start.task,
                start.at_ms - ack.acked_at,
                ack.status
            ));
        }
    }
    if has_trouble && cancelled.iter().all(|ack| ack.status == 200) {
        return Ok(Verdict::NotPlayed("every caller got an answer".to_owned()));
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken))
}

/// Hands a job in. Its caller cancels it if it gets no answer, and so does every tenth other one.
fn hand_in(deployment: &Deployment, number: u64) -> Option<Cancelled> {
    let job = format!("{:016x}", 0xa000_0000_0000_0000_u64 + number);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let due = now.as_millis() as u64 + DUE_AFTER_MS;
    let body = format!(
        r#"{{"task_spec":"work=500 cpu=100","steps":[{{"count":1,"cpu":100,"requested_memory_mb":10,"estimated_ms":500}}],"repetitions":1,"first_run_ms":{due},"interval_ms":1000}}"#
    );
    let entry = number as usize;
    let answer = deployment.submit(entry, &job, &body);
    let is_unanswered = matches!(answer, None | Some(502 | 504));
    let is_accepted = answer == Some(200);
    if !is_unanswered && !(is_accepted && number.is_multiple_of(10)) {
        return None;
    }
    // The caller asks again until its cancelling is acknowledged.
    for attempt in 0..20 {
        let status = deployment.cancel(entry + attempt, &job);
        if let Some(status @ (200 | 410)) = status {
            return Some(Cancelled {
                job,
                status,
                acked_at: deployment.record.now_ms(),
            });
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}
