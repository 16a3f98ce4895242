//! Planned stops and sudden ends under load.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use turmeric_testbed::{AgentPlan, BedPlan, HttpAnswer, LoadClient, RequestForm, TestBed};

/// Answers to a steady stream of idempotent requests.
struct Stream {
    stop: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<Vec<(Instant, Result<HttpAnswer, String>)>>,
}

fn start_stream(entry: std::net::SocketAddr) -> Stream {
    let stop = Arc::new(AtomicBool::new(false));
    let is_over = stop.clone();
    let task = tokio::spawn(async move {
        let client = LoadClient::new();
        let mut sending = tokio::task::JoinSet::new();
        let mut number = 0;
        while !is_over.load(Ordering::SeqCst) {
            let client = client.clone();
            let form = RequestForm::new(format!("stream-{number}"));
            number += 1;
            sending.spawn(async move {
                let started_at = Instant::now();
                let answer = client.send(form.build(entry)).await;
                let answer = answer.map_err(|error| format!("{error:#}"));
                let answer = answer.and_then(|answer| {
                    let is_whole = answer.body == form.expected_answer().as_bytes();
                    let is_answered = answer.header("turmeric-outcome") == Some("answered");
                    if is_answered && !is_whole {
                        return Err("an answer is not whole".to_owned());
                    }
                    Ok(answer)
                });
                (started_at, answer)
            });
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        sending.join_all().await
    });
    Stream { stop, task }
}

impl Stream {
    async fn finish(self) -> Vec<(Instant, Result<HttpAnswer, String>)> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap()
    }
}

fn assert_all_answered(answers: &[(Instant, Result<HttpAnswer, String>)]) {
    assert!(answers.len() > 100, "only {} requests", answers.len());
    for (_, answer) in answers {
        let answer = answer.as_ref().expect("every request is answered");
        let outcome = answer.header("turmeric-outcome");
        assert_eq!(outcome, Some("answered"), "{:?}", answer.body);
    }
}

fn three_agents() -> Vec<AgentPlan> {
    ["morava-a", "morava-a", "morava-b"]
        .into_iter()
        .map(|zone| AgentPlan::new(zone).with_service_micros(20_000))
        .collect()
}

#[tokio::test]
async fn a_stopping_endpoint_gets_no_new_work_and_cuts_nothing_off() {
    let bed = TestBed::start(BedPlan::new(1, three_agents()).without_homes()).await;
    let stream = start_stream(bed.entry_addresses[0]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.endpoints[0].terminate();
    tokio::time::sleep(Duration::from_millis(2900)).await;
    let late = bed.records().await.endpoints[0].total;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let later = bed.records().await.endpoints[0].total;
    let answers = stream.finish().await;
    // The endpoint is gone by then, or has run nothing more.
    assert!(later == 0 || later == late, "{late} then {later}");
    assert_all_answered(&answers);
}

#[tokio::test]
async fn a_stopping_agent_cuts_nothing_off() {
    let mut bed = TestBed::start(BedPlan::new(1, three_agents()).without_homes()).await;
    let stream = start_stream(bed.entry_addresses[0]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.agents[1].terminate();
    let status = bed.agents[1].wait(Duration::from_secs(10));
    assert!(status.is_some_and(|status| status.success()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_all_answered(&stream.finish().await);
}

#[tokio::test]
async fn a_stopping_entry_finishes_what_is_in_progress() {
    let agents = vec![AgentPlan::new("morava-a").with_service_micros(1_500_000)];
    let mut bed = TestBed::start(BedPlan::new(2, agents).without_homes()).await;
    let entry = bed.entry_addresses[0];
    let client = bed.client.0.clone();
    let form = RequestForm::new("slow");
    let request = form.build(entry);
    let sending = tokio::spawn(async move { client.send(request).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.entries[0].terminate();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let ready = bed.get(entry, "/readyz").await;
    assert!(ready.is_err(), "the balancer is told");
    let answer = sending.await.unwrap().unwrap();
    assert_eq!(answer.body, form.expected_answer().as_bytes());
    let status = bed.entries[0].wait(Duration::from_secs(10));
    assert!(status.is_some_and(|status| status.success()));
}

#[tokio::test]
async fn a_zone_that_stops_at_once_loses_no_request() {
    let bed = TestBed::start(BedPlan::new(2, three_agents()).without_homes()).await;
    let stream = start_stream(bed.entry_addresses[0]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in [0, 1] {
        bed.endpoints[number].terminate();
        bed.agents[number].terminate();
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_all_answered(&stream.finish().await);
}

#[tokio::test]
async fn an_endpoint_that_dies_loses_at_most_what_was_in_flight() {
    let mut bed = TestBed::start(BedPlan::new(1, three_agents()).without_homes()).await;
    let stream = start_stream(bed.entry_addresses[0]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let died_at = Instant::now();
    bed.endpoints[0].kill();
    bed.agents[0].kill();
    bed.workers[0].kill();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let answers = stream.finish().await;
    let is_lost = |answer: &Result<HttpAnswer, String>| {
        answer.as_ref().map_or(true, |answer| {
            answer.header("turmeric-outcome") != Some("answered")
        })
    };
    let lost = answers.iter().filter(|(_, answer)| is_lost(answer)).count();
    assert!(
        lost <= 8,
        "{lost} requests were lost; the endpoint has 8 slots"
    );
    let settled = died_at + Duration::from_secs(3);
    let late = answers
        .iter()
        .filter(|(started_at, answer)| *started_at > settled && is_lost(answer))
        .count();
    assert_eq!(late, 0, "requests were lost after 3 s");
}
