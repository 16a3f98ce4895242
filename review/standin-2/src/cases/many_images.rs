//! Many users come at once, whose tasks have images of their own.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::deploy::{BATCH, Deployment, PREFIX, Plan};

/// Serving images, each of one long-running submission.
const SERVING: u64 = 8;
/// Images of tasks that fill, in the burst and without it.
const FILLING: (u64, u64) = (56, 4);
/// Time between two submissions of the burst.
const BURST_INTERVAL: Duration = Duration::from_millis(70);
const ORDINARY: u64 = 35;
const FINISH: Duration = Duration::from_secs(14);
const LENGTH: Duration = Duration::from_secs(85);
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// An image as a registry names it, with its digest.
fn image(kind: &str, number: u64) -> String {
    format!(
        "registry.example/verdikt/{kind}@sha256:{}",
        format!("{number:016x}").repeat(4)
    )
}

/// A submission with a long-running task on each of the two executors.
fn serving_body(number: u64) -> String {
    let spec = json!({"work": 100_000_000, "cpu": 2000, "latency": 20}).to_string();
    let step = json!({"count": 2, "cpu": 2000, "requested_memory_mb": 64, "estimated_ms": 60000,
        "long_running": true, "anti_affinity": 1, "target_ms": 1000, "image": image("serving", number)});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

fn filling_body(number: u64) -> String {
    let spec = json!({"work": 60000, "cpu": 200, "fills": true}).to_string();
    let step = json!({"count": 2, "cpu": 200, "requested_memory_mb": 64, "estimated_ms": 60000,
        "fills": true, "image": image("filling", number)});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

fn ordinary_body() -> String {
    let spec = json!({"work": 500, "cpu": 200}).to_string();
    let step = json!({"count": 2, "cpu": 200, "requested_memory_mb": 64, "estimated_ms": 500});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 2,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    for number in 0..SERVING {
        let path = format!("{PREFIX}{:016x}", 0x00aa_0000_0000_0000_u64 + number);
        deployment.submit(&path, &serving_body(number)).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let filling = if has_trouble { FILLING.0 } else { FILLING.1 };
    for number in 0..filling {
        let path = format!("{BATCH}{:016x}", 0x00bb_0000_0000_0000_u64 + number);
        deployment.submit(&path, &filling_body(number)).await;
        tokio::time::sleep(BURST_INTERVAL).await;
    }
    let began = Instant::now();
    let (mut paths, mut number) = (Vec::new(), 0);
    let mut worst = Duration::ZERO;
    let mut idle_since: Option<Instant> = None;
    while began.elapsed() < LENGTH {
        if number < ORDINARY && began.elapsed() > Duration::from_secs(number) {
            let path = format!("{PREFIX}{:016x}", 0x00ab_0000_0000_0000_u64 + number);
            let answer = deployment
                .request(number as usize, "POST", &path, &ordinary_body())
                .await;
            let status = answer.map_or(0, |(status, _)| status);
            deployment.say(&format!("POST {path}: {status}"));
            if status == 200 {
                paths.push(path);
            }
            number += 1;
        }
        if began.elapsed() > Duration::from_secs(ORDINARY) + FINISH {
            let mut open = Vec::new();
            for path in paths.clone() {
                if deployment.state(&path).await != "done" {
                    open.push(path);
                }
            }
            let (runs, used) = deployment.peek().await;
            let code = |path: &String| path[PREFIX.len()..].to_owned();
            let idle: Vec<_> = open
                .iter()
                .filter(|path| !runs.keys().any(|task| task.starts_with(&code(path))))
                .collect();
            let (count, in_use) = (idle.len(), format!("{used:?}"));
            if count > 0 {
                worst = worst.max(idle_since.get_or_insert_with(Instant::now).elapsed());
            } else {
                idle_since = None;
            }
            deployment.say(&format!(
                "{} open, {count} with nothing running; in use {in_use}",
                open.len()
            ));
            if open.is_empty() {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let refused = deployment.store.refused();
    deployment.say(&format!("calls that the store refused: {refused:?}"));
    let (count, _) = deployment.logged("took over leadership");
    deployment.say(&format!(
        "{count} takeovers; longest time with nothing running: {worst:?}"
    ));
    deployment.finish(i32::from(worst > IDLE_LIMIT));
}
