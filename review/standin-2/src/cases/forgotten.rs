//! The store forgets its history while the states of ended submissions become old enough to be
//! deleted.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::judge;
use crate::deploy::{BATCH, Deployment, HOST, Plan};
use crate::net;

/// Submissions a second.
const RATE: u64 = 40;
/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(90);
/// When the store begins to forget its history, and when it does so for the last time.
const FORGETS: (Duration, Duration) = (Duration::from_secs(74), Duration::from_secs(86));
/// Time between two times that it does.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

fn body() -> String {
    let spec = json!({"work": 200, "cpu": 100, "text": "x".repeat(2000)}).to_string();
    let step = json!({"count": 1, "cpu": 100, "requested_memory_mb": 16, "estimated_ms": 200});
    json!({"task_spec": spec, "steps": [step]}).to_string()
}

pub async fn play(case: &Path, root: &Path, has_trouble: bool) {
    let plan = Plan {
        executors: 3,
        status_s: 30,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, case, root).await;
    let (began, text) = (Instant::now(), body());
    let accepted = Arc::new(AtomicU64::new(0));
    let (mut sent, mut forgets) = (0_u64, 0_u32);
    let mut said = 0;
    while began.elapsed() < TRAFFIC {
        while sent < began.elapsed().as_millis() as u64 * RATE / 1000 {
            let path = format!("{BATCH}{:016x}", 0x00ef_0000_0000_0000_u64 + sent);
            let address = deployment.callers[sent as usize % deployment.callers.len()];
            let (accepted, text) = (Arc::clone(&accepted), text.clone());
            tokio::spawn(async move {
                let wait = Duration::from_secs(3);
                let answer = net::call(address, "POST", HOST, &path, &text, wait).await;
                let is_accepted = answer.is_some_and(|(status, _)| status == 200);
                accepted.fetch_add(u64::from(is_accepted), Ordering::Relaxed);
            });
            sent += 1;
        }
        let next = FORGETS.0 + FORGET_INTERVAL * forgets;
        if has_trouble && began.elapsed() > next && next <= FORGETS.1 {
            deployment.store.discard_history();
            deployment.say("the store forgets its history");
            forgets += 1;
        }
        if began.elapsed().as_secs() / 5 > said {
            said += 1;
            let count = accepted.load(Ordering::Relaxed);
            let (runs, _) = deployment.peek().await;
            let running = runs.len();
            deployment.say(&format!(
                "{count} of {sent} submissions accepted, {running} tasks run"
            ));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let code = judge::starts_again(&mut deployment);
    deployment.finish(code);
}
