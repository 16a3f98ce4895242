//! The store is down while many tasks of one executor end.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

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
    let code = judge(&mut deployment);
    deployment.finish(code);
}

/// Applies the rule TWICE to the events of the executors.
fn judge(deployment: &mut Deployment) -> i32 {
    let events = deployment.events();
    // End of the run that ended `done`: executor, number of the end, whether a lease lapsed since.
    let mut done: BTreeMap<String, (usize, u64, u64)> = BTreeMap::new();
    let mut noted: BTreeMap<usize, u64> = BTreeMap::new();
    let mut lapsed: Vec<usize> = Vec::new();
    let mut running: BTreeMap<String, (usize, u64)> = BTreeMap::new();
    let mut again: Vec<(String, u64, usize, u64)> = Vec::new();
    let (mut starts, mut both) = (0, 0);
    for (at, executor, event) in &events {
        if let Some(start) = event.get("start") {
            let task = start[0].as_str().unwrap_or_default().to_owned();
            starts += 1;
            if let Some((other, number, ended)) = done.get(&task) {
                again.push((task.clone(), *number, *other, at - ended));
            }
            if running.insert(task, (*executor, 0)).is_some() {
                both += 1;
            }
        } else if let Some(end) = event.get("end") {
            let task = end[1].as_str().unwrap_or_default().to_owned();
            running.remove(&task);
            if end[3] == "done" {
                done.insert(task, (*executor, end[0].as_u64().unwrap_or(0), *at));
            }
        } else if let Some(number) = event.get("noted") {
            noted.insert(*executor, number.as_u64().unwrap_or(0));
        } else if event.get("lapse").is_some() {
            lapsed.push(*executor);
        }
    }
    let broken: Vec<_> = again
        .iter()
        .filter(|(_, number, executor, _)| {
            noted.get(executor).is_some_and(|seen| seen >= number) && !lapsed.contains(executor)
        })
        .collect();
    deployment.say(&format!(
        "{starts} starts, {} tasks done, {both} two runs at once, lapses at {lapsed:?}",
        done.len()
    ));
    deployment.say(&format!(
        "{} starts after a run of the task had ended done, {} of them after an end that \
        was taken note of then or later",
        again.len(),
        broken.len()
    ));
    let first = broken
        .first()
        .map(|(task, _, _, late)| (task.clone(), *late));
    let code = i32::from(!broken.is_empty() || both > 0);
    if let Some((task, late)) = first {
        deployment.say(&format!(
            "the first: {task}, started again {late} ms after its end"
        ));
        deployment.record_events(20, &task);
    }
    code
}
