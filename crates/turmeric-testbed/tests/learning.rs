//! Sizes and harm learned from late use, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use turmeric_testbed::{AgentPlan, BedPlan, RequestForm, TestBed};

const LONG: Duration = Duration::from_secs(40);

/// Longer than the workers' measurements are late.
const WORK_MILLIS: u64 = 3000;

/// What tasks of the kind `scan` really need and do.
fn profile(cores: u64, memory_mib: u64, interference: u64) -> Value {
    json!([{
        "kind": "scan", "cores": cores, "memory": memory_mib << 20, "harm": interference,
    }])
}

async fn start(agents: Vec<AgentPlan>, profile: &Value) -> TestBed {
    let bed = TestBed::start(BedPlan::new(2, agents).without_homes()).await;
    set_profile(&bed, profile).await;
    bed
}

async fn set_profile(bed: &TestBed, profile: &Value) {
    for addresses in &bed.agent_addresses {
        let answer = bed.post(addresses.worker, "/profiles", profile).await;
        assert!(answer.unwrap().status.is_success());
    }
}

/// Submits tasks that declare 4 cores each.
async fn submit(bed: &TestBed, count: u32, work_millis: u64) -> String {
    let job = turmeric_testbed::new_job_id();
    let form = json!({
        "job": job, "team": "leather", "kind": "scan", "class": "batch", "cores": "4",
        "memory": "1 GiB", "accelerators": 0, "work_millis": work_millis, "count": count,
    });
    bed.submit_form(&form).await;
    job
}

fn given_of(tasks: &[Value]) -> Vec<&str> {
    let allocated = tasks.iter().map(|task| task["given"].as_str().unwrap());
    allocated.collect()
}

#[tokio::test]
async fn what_is_learned_of_a_kind_lets_more_run_and_outlives_all_entries() {
    let agents = vec![AgentPlan::new("morava-a").without_endpoint()];
    let mut bed = start(agents, &profile(1000, 100, 0)).await;
    let first = submit(&bed, 12, WORK_MILLIS).await;
    bed.wait_running(&first, 4, LONG).await;
    bed.wait_phase(&first, "succeeded", 12, LONG).await;
    for number in 0..2 {
        bed.restart_entry(number);
    }
    bed.wait_ready().await;
    let second = submit(&bed, 12, WORK_MILLIS).await;
    // 16 cores hold 4 tasks as declared, 13 as learned.
    bed.wait_running(&second, 12, LONG).await;
    let tasks = bed.tasks_of(&second).await;
    assert!(
        given_of(&tasks)
            .iter()
            .all(|allocated| allocated.starts_with("1150m"))
    );
    bed.wait_phase(&second, "succeeded", 12, LONG).await;
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_task_that_needs_more_memory_than_its_kind_did_is_given_what_was_declared() {
    let agents = vec![AgentPlan::new("morava-a").without_endpoint()];
    let bed = start(agents, &profile(1000, 100, 0)).await;
    let first = submit(&bed, 12, WORK_MILLIS).await;
    bed.wait_phase(&first, "succeeded", 12, LONG).await;
    set_profile(&bed, &profile(1000, 800, 0)).await;
    let second = submit(&bed, 2, WORK_MILLIS).await;
    bed.wait_phase(&second, "succeeded", 2, LONG).await;
    let tasks = bed.tasks_of(&second).await;
    assert!(tasks.iter().all(|task| task["failures"] == 1), "{tasks:?}");
    assert!(
        given_of(&tasks)
            .iter()
            .all(|allocated| allocated.contains("1 GiB"))
    );
    bed.records().await.assert_invariants();
}

/// Sends some 100 requests a second until told to stop.
async fn send_until(bed: Arc<TestBed>, until: Instant) {
    while Instant::now() < until {
        let _ = bed
            .send(bed.entry_addresses[0], &RequestForm::new("x"))
            .await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn slowdown_percent(bed: &TestBed) -> u64 {
    let noise = bed.get(bed.agent_addresses[0].worker, "/v1/noise").await;
    noise.unwrap().as_u64().unwrap()
}

#[tokio::test]
async fn batch_tasks_are_slowed_while_requests_are_late_and_sped_up_again() {
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(20_000)];
    // One task takes as long again of each request: 40 ms instead of 20.
    let bed = Arc::new(start(agents, &profile(4000, 100, 16_000)).await);
    bed.change_settings("/", "latency-target", "32").await;
    let job = submit(&bed, 1, 60_000).await;
    bed.wait_running(&job, 1, LONG).await;
    assert_eq!(slowdown_percent(&bed).await, 100);
    let until = Instant::now() + Duration::from_secs(9);
    let senders: Vec<_> = (0..3)
        .map(|_| tokio::spawn(send_until(bed.clone(), until)))
        .collect();
    bed.wait_until(
        "the task to be slowed",
        Duration::from_secs(8),
        async || slowdown_percent(&bed).await <= 60,
    )
    .await;
    for sender in senders {
        sender.await.unwrap();
    }
    // Without requests none is late.
    bed.wait_until("full speed again", LONG, async || {
        slowdown_percent(&bed).await > 60
    })
    .await;
    bed.records().await.assert_invariants();
}

/// Returns what the entries have learned of the kind `scan`.
async fn learned(bed: &TestBed) -> Option<Value> {
    for entry in &bed.entry_addresses {
        let kinds = bed.get(*entry, "/v1/learned").await.unwrap();
        if let Some(kind) = kinds.as_array().unwrap().first() {
            return Some(kind.clone());
        }
    }
    None
}

#[tokio::test]
async fn the_harm_of_a_kind_to_the_service_is_learned() {
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(20_000)];
    let bed = Arc::new(start(agents, &profile(4000, 100, 16_000)).await);
    bed.change_settings("/", "latency-target", "1000").await;
    let until = Instant::now() + Duration::from_secs(12);
    let senders: Vec<_> = (0..3)
        .map(|_| tokio::spawn(send_until(bed.clone(), until)))
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    submit(&bed, 1, 6000).await;
    bed.wait_until("a kind to be learned", LONG, async || {
        let kind = learned(&bed).await;
        kind.is_some_and(|kind| kind["harm"].as_array().unwrap().len() == 1)
    })
    .await;
    for sender in senders {
        sender.await.unwrap();
    }
    let interference = learned(&bed).await.unwrap()["harm"][0].clone();
    assert_eq!(interference["service"], "verdikt");
    assert_eq!(interference["load"], "light");
    // The truth is 16000: a request takes as long again on 16 cores.
    let rate = interference["permille_cores"].as_i64().unwrap();
    assert!((8_000..24_000).contains(&rate), "{interference}");
}
