//! A crowd of clients hands in scheduled submissions, each within all limits.
//!
//! As the platform does, the case kills a process that exceeds `memory_mb` and starts it again.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::deploy::{BATCH, Deployment, PREFIX, Plan};
use crate::executor::wall_ms;

/// Scheduled submissions of the crowd.
const CROWD: u64 = 1400;
/// Occurrences of each: hourly for 25 days.
const OCCURRENCES: u64 = 600;
const HOUR_MS: u64 = 3_600_000;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ordinary submissions, one a second.
const ORDINARY: u64 = 40;
/// `finish_s` of the settings, from the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Length of the case from the first request.
const LENGTH: Duration = Duration::from_secs(70);
/// The rule allows 3 s without a running task.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

fn scheduled_body() -> String {
    let spec = json!({"work": 500, "cpu": 200}).to_string();
    let step = json!({"count": 1, "cpu": 200, "requested_memory_mb": 64, "estimated_ms": 500});
    json!({"task_spec": spec, "steps": [step], "repetitions": OCCURRENCES,
        "first_run_ms": wall_ms() + HOUR_MS, "interval_ms": HOUR_MS})
    .to_string()
}

fn ordinary_body() -> String {
    let spec = json!({"work": 500, "cpu": 200}).to_string();
    let step = json!({"count": 2, "cpu": 200, "requested_memory_mb": 64, "estimated_ms": 500});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

/// What the platform knows of an entry.
#[derive(Default)]
struct Watch {
    ends: u32,
    highest_mb: u64,
    down_since: Option<Instant>,
}

/// Kills entries that exceed their memory, and starts those that are down again.
fn watch(deployment: &mut Deployment, watches: &mut [Watch]) {
    let limit = deployment.plan.entry_mb;
    for (index, watch) in watches.iter_mut().enumerate() {
        let name = deployment.entries[index].name.clone();
        if let Some(since) = watch.down_since {
            if since.elapsed() > RESTART_DELAY {
                deployment.restart_entry(index);
                watch.down_since = None;
            }
            continue;
        }
        let memory = deployment.entries[index].memory_mb();
        watch.highest_mb = watch.highest_mb.max(memory);
        let has_exited = deployment.entries[index].has_exited();
        if memory > limit || has_exited {
            deployment.say(&format!("{name} has {memory} MB of {limit} MB, and ends"));
            deployment.entries[index].kill();
            watch.ends += 1;
            watch.down_since = Some(Instant::now());
        }
    }
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 2,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    let mut watches: Vec<Watch> = deployment
        .entries
        .iter()
        .map(|_| Watch::default())
        .collect();
    let began = Instant::now();
    let (mut sent, mut accepted, mut number) = (0, 0, 0);
    let mut paths = Vec::new();
    let (mut idle, mut idle_since) = (Duration::ZERO, None);
    while began.elapsed() < LENGTH {
        watch(&mut deployment, &mut watches);
        if has_trouble && sent < CROWD {
            for _ in 0..20 {
                let path = format!("{BATCH}{:016x}", 0x00cd_0000_0000_0000_u64 + sent);
                let answer = deployment
                    .request(sent as usize, "POST", &path, &scheduled_body())
                    .await;
                accepted += u64::from(answer.is_some_and(|(status, _)| status == 200));
                sent += 1;
            }
            if sent == CROWD {
                deployment.say(&format!(
                    "{accepted} of {sent} scheduled submissions were accepted"
                ));
            }
        }
        if number < ORDINARY && began.elapsed() > Duration::from_secs(number) {
            let path = format!("{PREFIX}{:016x}", 0x00ab_0000_0000_0000_u64 + number);
            let answer = deployment
                .request(number as usize, "POST", &path, &ordinary_body())
                .await;
            let status = answer.map_or(0, |(status, _)| status);
            let memory: Vec<u64> = deployment
                .entries
                .iter()
                .map(|entry| entry.memory_mb())
                .collect();
            deployment.say(&format!(
                "POST {path}: {status}; memory of the entries {memory:?} MB"
            ));
            if status == 200 {
                paths.push(path);
            }
            number += 1;
        }
        if began.elapsed() > Duration::from_secs(ORDINARY) + FINISH {
            // The executors are idle; whether a submission is open is asked for below.
            let (runs, used) = deployment.peek().await;
            if runs.is_empty() && used.iter().all(Option::is_some) {
                idle = idle.max(idle_since.get_or_insert_with(Instant::now).elapsed());
            } else {
                idle_since = None;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut open = 0;
    for path in &paths {
        open += u32::from(deployment.state(path).await != "done");
    }
    deployment.say(&format!(
        "{open} of {} accepted ordinary submissions are not done",
        paths.len()
    ));
    deployment.say(&format!(
        "longest time with nothing running on any executor: {idle:?}"
    ));
    for (index, watch) in watches.iter().enumerate() {
        let name = deployment.entries[index].name.clone();
        deployment.say(&format!(
            "{name}: {} ends, at most {} MB",
            watch.ends, watch.highest_mb
        ));
    }
    deployment.finish(i32::from(open > 0 && idle > IDLE_LIMIT));
}
