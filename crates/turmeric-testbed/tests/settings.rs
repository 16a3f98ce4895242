//! Settings under races, lost answers and outages, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use turmeric_testbed::{AgentPlan, BedPlan, TestBed};

fn plan() -> BedPlan {
    let agents = vec![
        AgentPlan::new("morava-a").without_endpoint(),
        AgentPlan::new("morava-b").without_endpoint(),
    ];
    BedPlan::new(2, agents).without_homes()
}

async fn value_at(bed: &TestBed, entry: usize, path: &str, name: &str) -> Value {
    let query = format!("/v1/settings/explain?path={path}&name={name}");
    let settings = bed.get(bed.entry_addresses[entry], &query).await;
    let settings = settings.expect("the entry answers");
    settings[0]["value"].clone()
}

#[tokio::test]
async fn of_two_racing_operators_the_later_is_told_what_changed() {
    let bed = TestBed::start(plan()).await;
    for round in 0..10 {
        let first = bed
            .settings_change("/morava", "queue-limit", &format!("{}", 10 + round))
            .await;
        let second = bed
            .settings_change(
                "/morava/morava-a",
                "queue-limit",
                &format!("{}", 50 + round),
            )
            .await;
        let (one, two) = tokio::join!(
            bed.post(bed.entry_addresses[0], "/v1/settings/change", &first),
            bed.post(bed.entry_addresses[1], "/v1/settings/change", &second),
        );
        let statuses = [one.unwrap().status.as_u16(), two.unwrap().status.as_u16()];
        let accepted = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(accepted, 1, "round {round}: {statuses:?}");
        // The one that lost either sees the winner's value at once, or when
        // it asks again.
        let loser = if statuses[0] == 200 { &second } else { &first };
        let again = bed
            .post(bed.entry_addresses[0], "/v1/settings/change", loser)
            .await
            .unwrap();
        assert_eq!(again.status.as_u16(), 409);
        let body: Value = serde_json::from_slice(&again.body).unwrap();
        assert!(body["message"].as_str().unwrap().contains("queue-limit"));
    }
}

#[tokio::test]
async fn a_change_whose_answer_was_lost_keeps_its_version() {
    let bed = TestBed::start(plan()).await;
    let entry = bed.entry_addresses[0];
    let change = bed.settings_change("/", "queue-limit", "17").await;
    bed.set_fault(bed.platform_address, json!({ "lose_percent": 100 }))
        .await;
    let first = bed
        .post(entry, "/v1/settings/change", &change)
        .await
        .unwrap();
    assert_eq!(first.status.as_u16(), 504, "the outcome is unknown");
    bed.set_fault(bed.platform_address, json!({})).await;
    let mut versions = Vec::new();
    for number in [1, 0, 1] {
        let answer = bed
            .post(bed.entry_addresses[number], "/v1/settings/change", &change)
            .await
            .unwrap();
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(answer.status.as_u16(), 200, "{body}");
        versions.push(body["version"].as_u64().unwrap());
    }
    assert_eq!(versions, [1, 1, 1]);
}

#[tokio::test]
async fn a_change_is_refused_at_once_while_the_store_is_down() {
    let bed = TestBed::start(plan()).await;
    bed.change_settings("/", "queue-limit", "31").await;
    let change = bed.settings_change("/", "queue-limit", "32").await;
    bed.set_fault(bed.platform_address, json!({ "down": true }))
        .await;
    let started_at = Instant::now();
    let answer = bed
        .post(bed.entry_addresses[0], "/v1/settings/change", &change)
        .await
        .unwrap();
    assert_eq!(answer.status.as_u16(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(started_at.elapsed() < Duration::from_secs(1));
    assert_eq!(value_at(&bed, 0, "/", "queue-limit").await, "31");
    bed.set_fault(bed.platform_address, json!({})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(value_at(&bed, 1, "/", "queue-limit").await, "31");
}

#[tokio::test]
async fn an_accepted_change_is_in_force_everywhere_within_5_s() {
    let bed = TestBed::start(plan()).await;
    for round in 0..5 {
        let change = bed
            .settings_change("/morava", "queue-limit", &format!("{}", 20 + round))
            .await;
        let answer = bed
            .post(
                bed.entry_addresses[round % 2],
                "/v1/settings/change",
                &change,
            )
            .await
            .unwrap();
        let accepted_at = Instant::now();
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        let version = body["version"].as_u64().unwrap();
        bed.wait_until(
            "the change everywhere",
            Duration::from_secs(5),
            async || {
                let agents = bed.agent_addresses.iter().map(|addresses| addresses.listen);
                for address in agents.chain(bed.entry_addresses.iter().copied()) {
                    let status = bed.get(address, "/v1/status").await.unwrap();
                    if status["settings_version"].as_u64() < Some(version) {
                        return false;
                    }
                }
                true
            },
        )
        .await;
        assert!(accepted_at.elapsed() < Duration::from_secs(5));
    }
}

#[tokio::test]
async fn an_accepted_change_survives_the_restart_of_every_entry() {
    let mut bed = TestBed::start(plan()).await;
    for number in 0..3 {
        let value = format!("{}", 40 + number);
        bed.change_settings("/morava/morava-b", "queue-limit", &value)
            .await;
    }
    for number in [0, 1] {
        bed.restart_entry(number);
    }
    bed.wait_ready().await;
    for number in [0, 1] {
        bed.wait_until("the settings", Duration::from_secs(5), async || {
            value_at(&bed, number, "/morava/morava-b", "queue-limit").await == "42"
        })
        .await;
    }
}

#[tokio::test]
async fn every_mistake_of_a_change_is_reported_with_its_place() {
    let bed = TestBed::start(plan()).await;
    let change = json!({
        "id": "0193f5a0-7c1e-7000-8000-000000000009",
        "base": 0, "author": "test", "changed_at": 0,
        "edits": [
            { "path": "/", "name": "queue-limit", "value": "many" },
            { "path": "/morava", "name": "in-service", "value": "maybe" },
            { "path": "/teams/leather", "name": "batch-speed", "value": "50" },
            { "path": "/teams/leather", "name": "quota-cores", "value": "500" },
        ],
    });
    let answer = bed
        .post(bed.entry_addresses[0], "/v1/settings/change", &change)
        .await
        .unwrap();
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(answer.status.as_u16(), 422);
    assert_eq!(body["findings"].as_array().unwrap().len(), 3, "{body}");
    assert_eq!(
        value_at(&bed, 0, "/teams/leather", "quota-cores").await,
        "1000000"
    );
}
