//! The store is down while many tasks of one executor end.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use super::judge;
use crate::deploy::{BATCH, Deployment, Plan};

/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(4500);
const SUBMISSIONS: u64 = 4;

fn body() -> String {
    let spec = json!({"work": 6000, "spread": 4000, "cpu": 50}).to_string();
    let step = json!({"count": 500, "cpu": 50, "requested_memory_mb": 16, "estimated_ms": 8000});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 2,
        cpu: 64_000,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    let mut paths = Vec::new();
    for number in 0..SUBMISSIONS {
        let path = format!("{BATCH}{:016x}", 0x5c0e_0000_0000_0000_u64 + number);
        if !deployment.submit(&path, &body()).await {
            deployment.finish(2);
        }
        paths.push(path);
    }
    let began = Instant::now();
    let (mut is_down, mut was_down) = (false, false);
    while began.elapsed() < Duration::from_secs(45) {
        if has_trouble && !was_down && began.elapsed() > Duration::from_millis(5500) {
            deployment.say("the store is down");
            deployment.store.set_down(true);
            (is_down, was_down) = (true, true);
        }
        if is_down && began.elapsed() > Duration::from_millis(5500) + OUTAGE {
            deployment.say("the store is back");
            deployment.store.set_down(false);
            is_down = false;
        }
        let (runs, used) = deployment.peek().await;
        deployment.say(&format!(
            "{} tasks run, processors and unseen ends: {used:?}",
            runs.len()
        ));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    for path in paths {
        let state = deployment.state(&path).await;
        deployment.say(&format!("GET {path}: {state}"));
    }
    let code = judge::starts_again(&mut deployment);
    deployment.finish(code);
}
