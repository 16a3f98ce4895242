//! Requests under failures, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use serde_json::json;
use turmeric_testbed::{AgentPlan, BedPlan, RequestForm, TestBed, new_key};
use turmeric_types::SplitMixRandom;

fn two_agents() -> Vec<AgentPlan> {
    vec![AgentPlan::new("morava-a"), AgentPlan::new("morava-b")]
}

fn outcome(answer: &turmeric_testbed::HttpAnswer) -> String {
    answer
        .header("turmeric-outcome")
        .unwrap_or("none")
        .to_owned()
}

#[tokio::test]
async fn a_key_sent_through_two_entries_at_once_runs_once() {
    let bed = TestBed::start(BedPlan::new(2, two_agents())).await;
    let mut random = SplitMixRandom::new(1);
    for _ in 0..50 {
        let form = RequestForm::new("twice").with_key(new_key(&mut random));
        let (first, second) = tokio::join!(
            bed.send(bed.entry_addresses[0], &form),
            bed.send(bed.entry_addresses[1], &form),
        );
        let outcomes = [outcome(&first.unwrap()), outcome(&second.unwrap())];
        assert!(outcomes.contains(&"answered".to_owned()), "{outcomes:?}");
        assert!(!outcomes.contains(&"not-run".to_owned()), "{outcomes:?}");
        let runs = bed.records().await.runs_of(form.key.as_ref().unwrap());
        assert_eq!(runs, 1);
    }
}

#[tokio::test]
async fn a_key_asked_again_gives_the_recorded_answer() {
    let bed = TestBed::start(BedPlan::new(2, two_agents())).await;
    let form = RequestForm::new("again").with_key(new_key(&mut SplitMixRandom::new(2)));
    let first = bed.send(bed.entry_addresses[0], &form).await.unwrap();
    // The record follows the answer.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let second = bed.send(bed.entry_addresses[1], &form).await.unwrap();
    assert_eq!(first.body, form.expected_answer().as_bytes());
    assert_eq!(second.body, first.body);
    assert_eq!(bed.records().await.runs_of(form.key.as_ref().unwrap()), 1);
}

#[tokio::test]
async fn a_key_of_a_dead_entry_never_runs_again() {
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(600_000)];
    let mut bed = TestBed::start(BedPlan::new(2, agents)).await;
    let form = RequestForm::new("dead").with_key(new_key(&mut SplitMixRandom::new(3)));
    let entry = bed.entry_addresses[0];
    let client = bed.client.0.clone();
    let request = form.build(entry);
    let sending = tokio::spawn(async move { client.send(request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.entries[0].kill();
    assert!(sending.await.unwrap().is_err());
    tokio::time::sleep(Duration::from_millis(800)).await;
    let again = bed.send(bed.entry_addresses[1], &form).await.unwrap();
    assert_eq!(outcome(&again), "unknown");
    assert!(bed.records().await.runs_of(form.key.as_ref().unwrap()) <= 1);
}

#[tokio::test]
async fn a_home_that_lost_its_memory_says_unknown_to_older_keys() {
    let agents = vec![AgentPlan::new("morava-a")];
    let mut bed = TestBed::start(BedPlan::new(1, agents)).await;
    let entry = bed.entry_addresses[0];
    let form = RequestForm::new("memory").with_key(new_key(&mut SplitMixRandom::new(4)));
    assert_eq!(outcome(&bed.send(entry, &form).await.unwrap()), "answered");
    bed.agents[0].kill();
    bed.agents[0] = bed.spawn_agent(0);
    bed.wait_until("the agent to serve", Duration::from_secs(20), async || {
        bed.send(entry, &RequestForm::new("ready"))
            .await
            .is_ok_and(|answer| answer.status.is_success())
    })
    .await;
    let again = bed.send(entry, &form).await.unwrap();
    assert_eq!(outcome(&again), "unknown");
    assert_eq!(bed.records().await.runs_of(form.key.as_ref().unwrap()), 1);
}

#[tokio::test]
async fn an_answer_lost_after_the_run_is_unknown_and_runs_no_second_time() {
    let agents = vec![AgentPlan::new("morava-a")];
    let bed = TestBed::start(BedPlan::new(1, agents)).await;
    let entry = bed.entry_addresses[0];
    let endpoint = bed.agent_addresses[0].endpoint;
    bed.set_fault(endpoint, json!({ "lose_percent": 100 }))
        .await;
    let key = new_key(&mut SplitMixRandom::new(5));
    let form = RequestForm::new("lost").with_key(key).with_timeout(1500);
    let first = bed.send(entry, &form).await.unwrap();
    assert_eq!(outcome(&first), "unknown");
    bed.set_fault(endpoint, json!({})).await;
    let second = bed.send(entry, &form).await.unwrap();
    assert_eq!(outcome(&second), "unknown");
    assert_eq!(bed.records().await.runs_of(form.key.as_ref().unwrap()), 1);
}

#[tokio::test]
async fn an_outage_of_the_store_changes_nothing_for_requests() {
    let bed = TestBed::start(BedPlan::new(2, two_agents())).await;
    bed.set_fault(bed.platform_address, json!({ "down": true }))
        .await;
    let mut random = SplitMixRandom::new(6);
    let end = Instant::now() + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < end {
        let form = RequestForm::new("outage").with_key(new_key(&mut random));
        let entry = bed.entry_addresses[number % 2];
        let answer = bed.send(entry, &form).await.unwrap();
        assert_eq!(outcome(&answer), "answered", "request {number}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_cold_entry_learns_the_endpoints_while_the_store_is_down() {
    let mut bed = TestBed::start(BedPlan::new(2, two_agents()).without_homes()).await;
    bed.set_fault(bed.platform_address, json!({ "down": true }))
        .await;
    bed.restart_entry(1);
    let started_at = Instant::now();
    let entry = bed.entry_addresses[1];
    bed.wait_until(
        "the cold entry to serve",
        Duration::from_secs(10),
        async || {
            bed.send(entry, &RequestForm::new("cold"))
                .await
                .is_ok_and(|answer| answer.status.is_success())
        },
    )
    .await;
    assert!(started_at.elapsed() < Duration::from_secs(6));
}

#[tokio::test]
async fn connections_that_go_silent_are_replaced_within_a_bounded_time() {
    let agents = vec![AgentPlan::new("morava-a").with_relay()];
    let bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let entry = bed.entry_addresses[0];
    let relay = bed.agent_addresses[0].relay_control;
    for round in 0..3 {
        for _ in 0..5 {
            bed.send(entry, &RequestForm::new("warm")).await.unwrap();
        }
        bed.set_fault(relay, json!({})).await;
        let started_at = Instant::now();
        let form = RequestForm::new(format!("silent-{round}"));
        let answer = bed.send(entry, &form).await.unwrap();
        assert_eq!(outcome(&answer), "answered", "round {round}");
        assert_eq!(answer.body, form.expected_answer().as_bytes());
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "round {round}"
        );
    }
}

#[tokio::test]
async fn a_request_on_a_silent_connection_with_a_key_runs_at_most_once() {
    let agents = vec![AgentPlan::new("morava-a").with_relay()];
    let bed = TestBed::start(BedPlan::new(1, agents)).await;
    let entry = bed.entry_addresses[0];
    let mut random = SplitMixRandom::new(7);
    for round in 0..3 {
        bed.send(entry, &RequestForm::new("warm")).await.unwrap();
        let relay = bed.agent_addresses[0].relay_control;
        bed.set_fault(relay, json!({})).await;
        let form = RequestForm::new("silent").with_key(new_key(&mut random));
        let answer = bed.send(entry, &form).await.unwrap();
        let runs = bed.records().await.runs_of(form.key.as_ref().unwrap());
        match outcome(&answer).as_str() {
            "answered" => assert_eq!(runs, 1, "round {round}"),
            "not-run" => assert_eq!(runs, 0, "round {round}"),
            _ => assert!(runs <= 1, "round {round}"),
        }
    }
}

#[tokio::test]
async fn a_caller_is_told_at_once_when_to_come_back() {
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(200_000)];
    let bed = TestBed::start(BedPlan::new(1, agents)).await;
    let entry = bed.entry_addresses[0];
    let mut random = SplitMixRandom::new(8);
    let mut sending = tokio::task::JoinSet::new();
    for _ in 0..300 {
        let client = bed.client.0.clone();
        let form = RequestForm::new("wave").with_key(new_key(&mut random));
        sending.spawn(async move {
            let started_at = Instant::now();
            let answer = client.send(form.build(entry)).await.unwrap();
            (form, answer, started_at.elapsed())
        });
    }
    let mut refused = 0;
    let mut given = Vec::new();
    while let Some(result) = sending.join_next().await {
        let (form, answer, time) = result.unwrap();
        if outcome(&answer) == "answered" {
            continue;
        }
        assert_eq!(outcome(&answer), "not-run", "{answer:?}");
        let millis = answer.header("turmeric-retry-after-ms").unwrap();
        given.push(millis.parse::<u64>().unwrap());
        assert!(answer.header("retry-after").is_some());
        assert!(time < Duration::from_millis(2500), "held for {time:?}");
        let runs = bed.records().await.runs_of(form.key.as_ref().unwrap());
        assert_eq!(runs, 0);
        refused += 1;
    }
    assert!(refused > 100, "only {refused} were refused");
    given.sort_unstable();
    assert!(given[given.len() - 1] > given[0], "all come back at once");
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_body_that_is_cut_never_counts_as_a_request() {
    use tokio::io::AsyncWriteExt;

    let agents = vec![AgentPlan::new("morava-a")];
    let bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let before = bed.records().await.endpoints[0].total;
    for length in [1000, 1_000_000] {
        let mut stream = tokio::net::TcpStream::connect(bed.entry_addresses[0])
            .await
            .unwrap();
        let head = format!(
            "POST /service/verdikt/check HTTP/1.1\r\nhost: entry\r\n\
             turmeric-idempotent: true\r\ncontent-length: {length}\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.flush().await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        drop(stream);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(bed.records().await.endpoints[0].total, before);
}

#[tokio::test]
async fn a_body_of_8_mb_arrives_whole() {
    let bed = TestBed::start(BedPlan::new(1, two_agents()).without_homes()).await;
    let body: Vec<u8> = (0..8_usize << 20)
        .map(|place| (place % 249) as u8)
        .collect();
    let form = RequestForm::new("large").with_body(body);
    let answer = bed.send(bed.entry_addresses[0], &form).await.unwrap();
    assert_eq!(answer.body, form.expected_answer().as_bytes());
}

/// A request that must be refused.
struct BadRequest {
    service: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    code: &'static str,
}

const fn bad(
    service: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    code: &'static str,
) -> BadRequest {
    BadRequest {
        service,
        headers,
        status,
        code,
    }
}

const IDEMPOTENT: (&str, &str) = ("turmeric-idempotent", "true");

const BAD_REQUESTS: &[BadRequest] = &[
    bad("verdikt", &[], 400, "bad-request"),
    bad(
        "verdikt",
        &[("idempotency-key", "none")],
        400,
        "bad-request",
    ),
    bad(
        "verdikt",
        &[("idempotency-key", "b0ad6b3c-4f3d-4a8e-9d3e-0d8a5f2f4c11")],
        400,
        "bad-request",
    ),
    bad(
        "verdikt",
        &[IDEMPOTENT, ("turmeric-timeout-ms", "soon")],
        400,
        "bad-request",
    ),
    bad(
        "verdikt",
        &[IDEMPOTENT, ("turmeric-timeout-ms", "0")],
        400,
        "bad-request",
    ),
    bad(
        "verdikt",
        &[IDEMPOTENT, ("turmeric-caller", "a b")],
        400,
        "bad-request",
    ),
    bad("nothing", &[IDEMPOTENT], 404, "no-such-service"),
    bad("a%20b", &[IDEMPOTENT], 400, "bad-request"),
];

#[tokio::test]
async fn bad_input_is_refused_with_a_stable_code_and_runs_nothing() {
    let bed = TestBed::start(BedPlan::new(1, vec![AgentPlan::new("morava-a")])).await;
    let entry = bed.entry_addresses[0];
    let before = bed.records().await.endpoints[0].total;
    for case in BAD_REQUESTS {
        let url = format!("http://{entry}/service/{}/check", case.service);
        let mut request = hyper::Request::post(url);
        for (name, value) in case.headers {
            request = request.header(*name, *value);
        }
        let request = request.body(http_body_util::Full::default()).unwrap();
        let answer = bed.client.0.send(request).await.unwrap();
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(answer.status.as_u16(), case.status, "{:?}", case.headers);
        assert_eq!(body["code"], case.code, "{:?}", case.headers);
    }
    assert_eq!(bed.records().await.endpoints[0].total, before);
}

#[tokio::test]
async fn a_flood_of_headers_and_a_body_over_the_limit_are_refused() {
    let bed = TestBed::start(BedPlan::new(1, vec![AgentPlan::new("morava-a")])).await;
    let entry = bed.entry_addresses[0];
    let before = bed.records().await.endpoints[0].total;
    let url = format!("http://{entry}/service/verdikt/check");
    let mut flood = hyper::Request::post(&url).header("turmeric-idempotent", "true");
    for number in 0..500 {
        flood = flood.header(format!("x-{number}"), "1");
    }
    let flood = flood.body(http_body_util::Full::default()).unwrap();
    let answer = bed.client.0.send(flood).await.unwrap();
    assert_eq!(answer.status.as_u16(), 431);
    let form = RequestForm::new("over").with_body(vec![0; (16 << 20) + 1]);
    // The refusal may come before the body is sent, which ends the connection.
    if let Ok(answer) = bed.send(entry, &form).await {
        assert_eq!(answer.status.as_u16(), 400);
    }
    assert_eq!(bed.records().await.endpoints[0].total, before);
}

#[tokio::test]
async fn an_answer_that_comes_while_the_agent_is_asked_is_taken() {
    // The entry asks after a second without an answer.
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(997_000)];
    let bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let entry = bed.entry_addresses[0];
    for _ in 0..6 {
        let mut sending = tokio::task::JoinSet::new();
        for number in 0..8 {
            let client = bed.client.0.clone();
            let form = RequestForm::new(format!("slow-{number}"));
            sending.spawn(async move { client.send(form.build(entry)).await });
        }
        for answer in sending.join_all().await {
            assert_eq!(outcome(&answer.unwrap()), "answered");
        }
    }
}

#[tokio::test]
async fn a_request_that_may_have_run_is_never_called_not_run() {
    let slow = |zone| AgentPlan::new(zone).with_service_micros(600_000);
    let agents = vec![slow("morava-a"), slow("morava-b")];
    let mut bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let client = bed.client.0.clone();
    let request = RequestForm::new("doubt").build(bed.entry_addresses[0]);
    let sending = tokio::spawn(async move { client.send(request).await });
    tokio::time::sleep(Duration::from_millis(250)).await;
    // The first attempt runs on one of them; the second is refused.
    for endpoint in &mut bed.endpoints {
        endpoint.kill();
    }
    let answer = sending.await.unwrap().unwrap();
    assert_eq!(outcome(&answer), "unknown");
}
