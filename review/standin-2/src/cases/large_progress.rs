//! Executors crash one after the other under a large submission whose tasks have checkpoints.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::deploy::{BATCH, Deployment, PREFIX, Plan};

const LARGE: &str = "5c0e7a21d94b36f8";
const TASKS: u64 = 600;
/// Length of a checkpoint: the address of an object with its digest.
const CHECKPOINT_BYTES: u64 = 88;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// The rule allows 3 s without a running task.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Executors that crash, one at a time.
const CRASHES: usize = 7;
/// When the first one crashes.
const FIRST_CRASH: Duration = Duration::from_secs(6);
/// Time from one crash to the next.
const CRASH_INTERVAL: Duration = Duration::from_millis(4000);
/// Time for which a crashed executor is down.
const DOWN: Duration = Duration::from_millis(2000);

fn large_body() -> String {
    let spec = json!({"work": 60000, "cpu": 800, "checkpoint_bytes": CHECKPOINT_BYTES}).to_string();
    let step = json!({"count": TASKS, "cpu": 800, "requested_memory_mb": 64, "estimated_ms": 60000,
        "checkpointing": true});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

fn small_body() -> String {
    let spec = json!({"work": 500, "cpu": 200}).to_string();
    let step = json!({"count": 2, "cpu": 200, "requested_memory_mb": 64, "estimated_ms": 500});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 8,
        cpu: 64_000,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    let large = format!("{BATCH}{LARGE}");
    let mut paths = vec![large.clone()];
    if !deployment.submit(&large, &large_body()).await {
        deployment.say("the large submission was not accepted");
        deployment.finish(2);
    }
    let began = Instant::now();
    let (mut crashed, mut back) = (0, 0);
    // Small submissions come once a second for 36 s, each sent once.
    for number in 0..36 {
        let path = format!("{PREFIX}{:016x}", 0x00ab_0000_0000_0000_u64 + number);
        let answer = deployment
            .request(number as usize, "POST", &path, &small_body())
            .await;
        let status = answer.map_or(0, |(status, _)| status);
        deployment.say(&format!("POST {path}: {status}"));
        if status == 200 {
            paths.push(path);
        }
        let end = Duration::from_millis(1000 * (number + 1));
        while began.elapsed() < end {
            let crash_at = FIRST_CRASH + CRASH_INTERVAL * crashed as u32;
            if has_trouble && crashed < CRASHES && began.elapsed() > crash_at {
                let (runs, used) = deployment.peek().await;
                let (count, last) = (runs.len(), used[crashed]);
                deployment.say(&format!(
                    "{count} tasks run; executor-{crashed} crashes, {last:?}"
                ));
                deployment.executors[crashed].kill();
                crashed += 1;
            }
            let back_at = FIRST_CRASH + CRASH_INTERVAL * back as u32 + DOWN;
            if back < crashed && began.elapsed() > back_at {
                deployment.say(&format!("executor-{back} is back as a new incarnation"));
                deployment.start_executor(back);
                back += 1;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    deployment.say("end of the traffic");
    let ended = Instant::now();
    let mut idle_since: Option<Instant> = None;
    let mut worst = Duration::ZERO;
    while ended.elapsed() < Duration::from_secs(50) {
        let (runs, used) = deployment.peek().await;
        let mut open = Vec::new();
        for path in &paths.clone() {
            let state = deployment.state(path).await;
            if state != "done" {
                open.push(format!("{path} {state:?}"));
            }
        }
        let in_use: u64 = used.iter().flatten().map(|(cpu, _)| *cpu).sum();
        let all = deployment.plan.cpu * deployment.plan.executors as u64;
        let text = format!(
            "{} of {} submissions not done, {} tasks run, {in_use} of {all} in use",
            open.len(),
            paths.len(),
            runs.len()
        );
        deployment.say(&text);
        if open.is_empty() {
            break;
        }
        // Nothing runs at all, so nothing of any open submission does, and all capacity is free.
        if runs.is_empty() && used.iter().all(Option::is_some) && ended.elapsed() > FINISH {
            worst = worst.max(idle_since.get_or_insert_with(Instant::now).elapsed());
        } else {
            idle_since = None;
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    let refused = deployment.store.refused();
    deployment.say(&format!("calls that the store refused: {refused:?}"));
    let (count, last) = deployment.logged("write not confirmed");
    deployment.say(&format!(
        "{count} log lines of unconfirmed writes, the last: {last}"
    ));
    let (count, _) = deployment.logged("took over leadership");
    deployment.say(&format!("{count} takeovers"));
    deployment.say(&format!(
        "longest time with open submissions and nothing running: {worst:?}"
    ));
    let code = i32::from(worst > IDLE_LIMIT);
    deployment.finish(code);
}
