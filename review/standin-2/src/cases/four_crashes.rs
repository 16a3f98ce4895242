//! Executors crash now and then under a task that takes longer than the time between crashes.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::deploy::{BATCH, Deployment, Plan};

const JOB: &str = "5c0e7a21d94b36f8";
/// Crashes of the executor that runs the task.
const CRASHES: u32 = 4;
/// When the first one comes, and the time from one to the next.
const FIRST_CRASH: Duration = Duration::from_secs(4);
const CRASH_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a crashed executor is down.
const DOWN: Duration = Duration::from_millis(4500);
const LENGTH: Duration = Duration::from_secs(95);

fn body() -> String {
    let spec = json!({"work": 60000, "cpu": 2000, "checkpoint_bytes": 16}).to_string();
    let step = json!({"count": 1, "cpu": 2000, "requested_memory_mb": 1024, "estimated_ms": 60000,
        "checkpointing": true});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 8,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    let path = format!("{BATCH}{JOB}");
    if !deployment.submit(&path, &body()).await {
        deployment.finish(2);
    }
    let began = Instant::now();
    let mut crashes = 0;
    let mut down: Option<(usize, Instant)> = None;
    let mut state = String::new();
    while began.elapsed() < LENGTH && !matches!(state.as_str(), "done" | "failed") {
        if let Some((index, since)) = down.filter(|(_, since)| since.elapsed() > DOWN) {
            deployment.say(&format!(
                "executor-{index} is back after {:?}",
                since.elapsed()
            ));
            deployment.start_executor(index);
            down = None;
        }
        let is_due = began.elapsed() > FIRST_CRASH + CRASH_INTERVAL * crashes;
        if has_trouble && crashes < CRASHES && is_due && down.is_none() {
            let (_, used) = deployment.peek().await;
            let busy = used
                .iter()
                .position(|used| used.is_some_and(|(cpu, _)| cpu > 0));
            if let Some(index) = busy {
                deployment.say(&format!("executor-{index}, which runs the task, crashes"));
                deployment.executors[index].kill();
                crashes += 1;
                down = Some((index, Instant::now()));
            }
        }
        let now = deployment.state(&path).await;
        if now != state {
            deployment.say(&format!("GET {path}: {now}"));
            state = now;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let events = deployment.events();
    let failed = events
        .iter()
        .filter(|(_, _, event)| event["end"][3] == "failed")
        .count();
    deployment.record_events(40, JOB);
    deployment.say(&format!(
        "state {state:?} with {failed} runs that ended failed"
    ));
    let code = match state.as_str() {
        "failed" if failed == 0 => 1,
        "done" => 0,
        _ => 2,
    };
    deployment.finish(code);
}
