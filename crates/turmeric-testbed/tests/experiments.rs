//! Experiments on live traffic, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use turmeric_testbed::{AgentPlan, BedPlan, RequestForm, TestBed, run_program, wall_time};

/// Pause between two requests of each sender.
const SEND_PAUSE: Duration = Duration::from_millis(5);

/// Two quick endpoints and a slow one.
fn uneven_plan(slow_micros: u64) -> BedPlan {
    let agents = [1000, 1000, slow_micros]
        .map(|micros| AgentPlan::new("morava-a").with_service_micros(micros))
        .to_vec();
    BedPlan::new(2, agents).without_homes()
}

/// Starts round robin against expected latency, with slots of 1 s.
async fn start_experiment(bed: &TestBed, target_millis: &str) {
    let values = [
        ("latency-target", target_millis),
        ("routing-policy", "expected-latency"),
        ("experiment-policy", "round-robin"),
        ("experiment-unit", "time-slot"),
        ("experiment-slot", "1000"),
        ("experiment-name", "turns"),
    ];
    let edits: Vec<Value> = values
        .iter()
        .map(|(name, value)| json!({ "path": "/morava", "name": name, "value": value }))
        .collect();
    let tree = bed
        .get(bed.entry_addresses[0], "/v1/settings")
        .await
        .unwrap();
    let change = json!({
        "id": uuid::Uuid::new_v4(),
        "base": tree["version"],
        "author": "test",
        "changed_at": wall_time(),
        "edits": edits,
    });
    let answer = bed
        .post(bed.entry_addresses[0], "/v1/settings/change", &change)
        .await
        .unwrap();
    assert!(answer.status.is_success(), "{:?}", answer.body);
}

/// Sends requests through an entry until told to stop.
async fn send_until(bed: Arc<TestBed>, entry: SocketAddr, until: Instant) {
    while Instant::now() < until {
        let _ = bed.send(entry, &RequestForm::new("x")).await;
        tokio::time::sleep(SEND_PAUSE).await;
    }
}

/// Sends traffic through both entries for some time.
fn start_traffic(bed: &Arc<TestBed>, time: Duration) -> Vec<tokio::task::JoinHandle<()>> {
    let until = Instant::now() + time;
    let senders = (0..8).map(|number| bed.entry_addresses[number % 2]);
    senders
        .map(|entry| tokio::spawn(send_until(bed.clone(), entry, until)))
        .collect()
}

async fn report(bed: &TestBed) -> Value {
    let path = "/v1/experiments/turns";
    bed.get(bed.entry_addresses[0], path)
        .await
        .unwrap_or_default()
}

/// Checks the operators' report, as text and as a page.
fn assert_report_is_printed(bed: &TestBed) {
    let page = std::env::temp_dir().join(format!("turns-{}.html", std::process::id()));
    let arguments = [
        "--entries",
        &bed.entry_addresses[0].to_string(),
        "experiment",
        "report",
        "turns",
        "--html",
        &page.display().to_string(),
    ];
    let text = run_program("turmericctl", &arguments);
    assert!(text.contains("arm b is slower"), "{text}");
    let page_text = std::fs::read_to_string(&page).unwrap();
    std::fs::remove_file(&page).unwrap();
    assert!(page_text.contains("<svg") && page_text.ends_with("</html>\n"));
}

#[tokio::test]
async fn a_policy_that_is_slower_is_shown_to_be_slower_and_the_samples_outlive_an_entry() {
    let mut bed = TestBed::start(uneven_plan(40_000)).await;
    start_experiment(&bed, "60000").await;
    let shared = Arc::new(bed);
    for sender in start_traffic(&shared, Duration::from_secs(24)) {
        sender.await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    bed = Arc::into_inner(shared).unwrap();
    let before = report(&bed).await;
    assert_eq!(before["report"]["verdict"]["kind"], "slower", "{before}");
    // Both entries lose their memory; what was seen lasts in the table.
    for number in 0..2 {
        bed.entries[number].kill();
        bed.restart_entry(number);
    }
    bed.wait_ready().await;
    let after = report(&bed).await;
    assert_report_is_printed(&bed);
    assert_eq!(after["report"]["points"], before["report"]["points"]);
}

#[tokio::test]
async fn an_arm_that_breaks_the_latency_target_is_stopped_by_itself() {
    let bed = Arc::new(TestBed::start(uneven_plan(150_000)).await);
    start_experiment(&bed, "80").await;
    let senders = start_traffic(&bed, Duration::from_secs(20));
    let limit = Duration::from_secs(20);
    bed.wait_until("stopped by the guard", limit, async || {
        !report(&bed).await["stopped_because"].is_null()
    })
    .await;
    for sender in senders {
        sender.abort();
    }
    let path = "/v1/settings/explain?path=/morava&name=experiment-name";
    bed.wait_until("no experiment in force", limit, async || {
        let setting = bed.get(bed.entry_addresses[0], path).await.unwrap();
        setting[0]["value"] == "" && setting[0]["entry"]["author"] == "guard"
    })
    .await;
}
