//! Batch tasks under failures, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use turmeric_testbed::{AgentPlan, BedPlan, TestBed, wall_time};

const LONG: Duration = Duration::from_secs(40);

fn plain_agents(count: usize) -> Vec<AgentPlan> {
    (0..count)
        .map(|number| {
            let zone = if number % 2 == 0 {
                "morava-a"
            } else {
                "morava-b"
            };
            AgentPlan::new(zone).without_endpoint()
        })
        .collect()
}

fn plan(entries: usize, agents: usize) -> BedPlan {
    BedPlan::new(entries, plain_agents(agents)).without_homes()
}

/// Checks that all tasks of a job are done, each by one attempt's success.
async fn assert_done_once(bed: &TestBed, job: &str, count: usize) {
    bed.wait_phase(job, "succeeded", count, LONG).await;
    let records = bed.records().await;
    records.assert_invariants();
    assert_eq!(
        records.succeeded(),
        count as u64,
        "successes on the workers"
    );
}

#[tokio::test]
async fn entries_that_place_at_once_never_overfill_a_vm() {
    let bed = TestBed::start(plan(3, 2)).await;
    let mut jobs = Vec::new();
    for number in 0..12 {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "3", 300, 6).await;
        jobs.push(job);
    }
    for job in &jobs {
        bed.wait_phase(job, "succeeded", 6, LONG).await;
    }
    let records = bed.records().await;
    records.assert_invariants();
    assert_eq!(records.succeeded(), 72);
}

#[tokio::test]
async fn tasks_of_a_dead_entry_are_finished_by_another() {
    let mut bed = TestBed::start(plan(2, 2)).await;
    let job = bed.submit("batch", "2", 3000, 8).await;
    bed.wait_running(&job, 8, LONG).await;
    let owner = owner_of(&bed, &job).await;
    bed.entries[owner].kill();
    assert_done_once(&bed, &job, 8).await;
}

/// Returns the entry that lists the tasks of a job.
async fn owner_of(bed: &TestBed, job: &str) -> usize {
    for (number, entry) in bed.entry_addresses.iter().enumerate() {
        let path = format!("/v1/tasks?job={job}");
        let tasks = bed.get(*entry, &path).await.unwrap_or_default();
        if tasks.as_array().is_some_and(|tasks| !tasks.is_empty()) {
            return number;
        }
    }
    panic!("no entry owns job {job}");
}

#[tokio::test]
async fn a_restarted_agent_takes_up_its_running_tasks() {
    let mut bed = TestBed::start(plan(1, 1)).await;
    let job = bed.submit("batch", "4", 4000, 4).await;
    bed.wait_running(&job, 4, LONG).await;
    bed.agents[0].kill();
    bed.agents[0] = bed.spawn_agent(0);
    // The VM is full: one more task has to wait for the first four.
    let next = bed.submit("batch", "4", 200, 1).await;
    bed.wait_phase(&next, "succeeded", 1, LONG).await;
    bed.wait_phase(&job, "succeeded", 4, LONG).await;
    let records = bed.records().await;
    records.assert_invariants();
    assert_eq!(records.succeeded(), 5);
}

#[tokio::test]
async fn a_paused_agent_whose_lease_lapsed_runs_nothing_twice() {
    let bed = TestBed::start(plan(1, 2)).await;
    let job = bed.submit("batch", "12", 6000, 2).await;
    bed.wait_running(&job, 2, LONG).await;
    bed.agents[0].pause();
    // Longer than the lease and the owner's wait.
    tokio::time::sleep(Duration::from_secs(9)).await;
    bed.agents[0].resume();
    bed.wait_phase(&job, "succeeded", 2, LONG).await;
    let records = bed.records().await;
    records.assert_invariants();
    let suspended: u64 = records.workers.iter().map(|worker| worker.suspended).sum();
    assert!(suspended >= 1, "the worker kept the lapsed task running");
}

#[tokio::test]
async fn a_worker_with_a_slow_clock_runs_nothing_twice() {
    let agents = vec![
        AgentPlan::new("morava-a")
            .without_endpoint()
            .with_clock_permille(970),
        AgentPlan::new("morava-b")
            .without_endpoint()
            .with_clock_permille(1030),
    ];
    let bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let job = bed.submit("batch", "12", 6000, 2).await;
    bed.wait_running(&job, 2, LONG).await;
    for agent in &bed.agents {
        agent.pause();
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    for agent in &bed.agents {
        agent.resume();
    }
    bed.wait_phase(&job, "succeeded", 2, LONG).await;
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn tasks_of_a_dead_vm_run_elsewhere_after_the_lease() {
    let mut bed = TestBed::start(plan(1, 2)).await;
    let job = bed.submit("batch", "12", 2500, 2).await;
    bed.wait_running(&job, 2, LONG).await;
    let died_at = Instant::now();
    bed.agents[0].kill();
    bed.workers[0].kill();
    bed.wait_phase(&job, "succeeded", 2, LONG).await;
    // The lease of 4 s, 10 s to place again, and the task itself.
    assert!(died_at.elapsed() < Duration::from_millis(4000 + 10_000 + 2500));
}

#[tokio::test]
async fn answers_of_the_table_lost_at_random_lose_and_repeat_nothing() {
    let bed = TestBed::start(plan(2, 2)).await;
    let fault = json!({ "lose_percent": 25, "seed": 41 });
    bed.set_fault(bed.platform_address, fault).await;
    let job = bed.submit("batch", "2", 300, 20).await;
    bed.wait_phase(&job, "succeeded", 20, Duration::from_secs(60))
        .await;
    bed.set_fault(bed.platform_address, json!({})).await;
    let records = bed.records().await;
    records.assert_invariants();
    assert_eq!(records.succeeded(), 20);
}

#[tokio::test]
async fn an_outage_longer_than_the_lease_suspends_and_resumes_tasks() {
    let bed = TestBed::start(plan(2, 2)).await;
    let job = bed.submit("batch", "4", 7000, 4).await;
    bed.wait_running(&job, 4, LONG).await;
    bed.set_fault(bed.platform_address, json!({ "down": true }))
        .await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert_eq!(bed.running(&job).await, 0, "leases lapsed in the outage");
    bed.set_fault(bed.platform_address, json!({})).await;
    assert_done_once(&bed, &job, 4).await;
    let records = bed.records().await;
    let starts = records
        .workers
        .iter()
        .flat_map(|worker| &worker.intervals)
        .filter(|interval| interval.is_start)
        .count();
    assert_eq!(starts, 4, "no attempt began anew");
}

#[tokio::test]
async fn nothing_starts_in_a_zone_3_s_after_it_was_taken_out() {
    let bed = TestBed::start(plan(2, 2)).await;
    // The agent is paused while starts are on their way to it.
    bed.agents[0].pause();
    let job = bed.submit("batch", "2", 200, 30).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.change_settings("/morava/morava-a", "in-service", "false")
        .await;
    let taken_out_at = wall_time();
    bed.agents[0].resume();
    bed.wait_phase(&job, "succeeded", 30, LONG).await;
    let limit = taken_out_at.after(Duration::from_secs(3));
    let records = bed.records().await;
    records.assert_invariants();
    let late = records.workers[0]
        .intervals
        .iter()
        .filter(|interval| interval.is_start && interval.started_at > limit)
        .count();
    assert_eq!(late, 0, "tasks started in the zone that was taken out");
}

#[tokio::test]
async fn an_agent_cut_off_in_a_zone_taken_out_starts_nothing() {
    let bed = TestBed::start(plan(1, 2)).await;
    let job = bed.submit("batch", "8", 400, 12).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.agents[0].pause();
    bed.change_settings("/morava/morava-a", "in-service", "false")
        .await;
    let taken_out_at = wall_time();
    tokio::time::sleep(Duration::from_secs(4)).await;
    bed.agents[0].resume();
    bed.wait_phase(&job, "succeeded", 12, LONG).await;
    let limit = taken_out_at.after(Duration::from_secs(3));
    let records = bed.records().await;
    records.assert_invariants();
    let intervals = &records.workers[0].intervals;
    assert!(
        intervals
            .iter()
            .all(|interval| !interval.is_start || interval.started_at <= limit)
    );
}

#[tokio::test]
async fn a_zone_that_leaves_is_drained_and_its_work_resumes_once() {
    let bed = TestBed::start(plan(2, 4)).await;
    // Placement packs the tasks onto any two of the four VMs, which may both be
    // in the zone that stays. So that one takes none until all of them run.
    bed.change_settings("/morava/morava-b", "in-service", "false")
        .await;
    let job = bed.submit("batch", "4", 8000, 8).await;
    bed.wait_running(&job, 8, LONG).await;
    bed.change_settings("/morava/morava-b", "in-service", "true")
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    bed.change_settings("/morava/morava-a", "in-service", "false")
        .await;
    bed.wait_until("the zone to be empty", LONG, async || {
        let records = bed.records().await;
        [0, 2].iter().all(|number| {
            records.workers[*number]
                .intervals
                .iter()
                .all(|interval| interval.ended_at.is_some())
        })
    })
    .await;
    assert_done_once(&bed, &job, 8).await;
    let records = bed.records().await;
    assert_eq!(records.resumed(), 8, "each evicted task resumes once");
}

#[tokio::test]
async fn urgent_work_starts_within_1_4_s_in_a_full_system() {
    let bed = TestBed::start(plan(2, 2)).await;
    let batch = bed.submit("batch", "4", 15_000, 8).await;
    bed.wait_running(&batch, 8, LONG).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut times = Vec::new();
    for number in 0..5 {
        let job = turmeric_testbed::new_job_id();
        let submitted_at = Instant::now();
        let team = format!("urgent-{number}");
        bed.submit_as(&job, &team, "urgent", "4", 300, 1).await;
        bed.wait_until("the urgent task to start", LONG, async || {
            let records = bed.records().await;
            records
                .workers
                .iter()
                .flat_map(|worker| &worker.intervals)
                .any(|interval| interval.task.job.to_string() == job)
        })
        .await;
        times.push(submitted_at.elapsed());
        bed.wait_phase(&job, "succeeded", 1, LONG).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let slowest = times.iter().max().unwrap();
    assert!(*slowest < Duration::from_millis(1400), "{times:?}");
    bed.wait_phase(&batch, "succeeded", 8, Duration::from_secs(60))
        .await;
    let records = bed.records().await;
    records.assert_invariants();
    assert!(records.resumed() >= 1);
}

#[tokio::test]
async fn an_agent_that_dies_while_evicting_resumes_the_work_once() {
    let mut bed = TestBed::start(plan(1, 2)).await;
    let job = bed.submit("batch", "4", 4000, 8).await;
    bed.wait_running(&job, 8, LONG).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    bed.change_settings("/morava/morava-a", "in-service", "false")
        .await;
    for pause in [30, 80, 150] {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        bed.agents[0].kill();
        bed.agents[0] = bed.spawn_agent(0);
    }
    assert_done_once(&bed, &job, 8).await;
}

#[tokio::test]
async fn an_eviction_whose_checkpoint_is_not_stored_stops_nothing() {
    let bed = TestBed::start(plan(1, 2).with_task_lease("20s")).await;
    let job = bed.submit("batch", "4", 6000, 2).await;
    bed.wait_running(&job, 2, LONG).await;
    bed.change_settings("/morava/morava-a", "in-service", "false")
        .await;
    bed.set_fault(bed.platform_address, json!({ "down": true }))
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    bed.set_fault(bed.platform_address, json!({})).await;
    assert_done_once(&bed, &job, 2).await;
}

/// Cancels a job, as often as the entry says that it may be asked again.
async fn cancel(bed: &TestBed, entry: SocketAddr, job: &str) {
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        let request = hyper::Request::delete(format!("http://{entry}/v1/jobs/{job}"))
            .body(http_body_util::Full::default())
            .unwrap();
        let answer = bed.client.0.send(request).await.unwrap();
        if answer.status.is_success() {
            return;
        }
        let has_hint = answer.header("retry-after").is_some();
        assert!(has_hint, "{} {:?}", answer.status, answer.body);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the job was not cancelled");
}

#[tokio::test]
async fn a_cancellation_while_a_partition_moves_is_not_told_that_there_is_no_job() {
    let bed = TestBed::start(plan(2, 2)).await;
    let mut jobs = Vec::new();
    for number in 0..12 {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "1", 60_000, 1).await;
        jobs.push(job);
    }
    bed.entries[0].terminate();
    for _ in 0..3 {
        for job in &jobs {
            cancel(&bed, bed.entry_addresses[1], job).await;
        }
    }
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_wave_of_cancellations_leaves_nothing_running() {
    let bed = TestBed::start(plan(2, 2)).await;
    let mut jobs = Vec::new();
    for number in 0..10 {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "2", 30_000, 4).await;
        jobs.push(job);
    }
    for job in &jobs {
        cancel(&bed, bed.entry_addresses[0], job).await;
    }
    for job in &jobs {
        bed.wait_until("nothing to run", LONG, async || bed.running(job).await == 0)
            .await;
    }
    let next = bed.submit("batch", "16", 200, 2).await;
    bed.wait_phase(&next, "succeeded", 2, LONG).await;
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_smaller_vm_in_the_place_is_not_overfilled() {
    let mut bed = TestBed::start(plan(1, 1)).await;
    let job = bed.submit("batch", "8", 1500, 6).await;
    bed.wait_running(&job, 2, LONG).await;
    bed.agents[0].kill();
    bed.workers[0].kill();
    bed.workers[0] = bed.spawn_worker(0, "8");
    bed.agents[0] = bed.spawn_agent(0);
    bed.wait_phase(&job, "succeeded", 6, Duration::from_secs(60))
        .await;
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_job_that_can_never_run_is_told_so() {
    let bed = TestBed::start(plan(1, 1)).await;
    let form = json!({
        "job": turmeric_testbed::new_job_id(), "team": "leather", "class": "batch",
        "cores": "64", "memory": "1 GiB", "accelerators": 0,
        "work_millis": 100, "count": 1,
    });
    let answer = bed
        .post(bed.entry_addresses[0], "/v1/jobs", &form)
        .await
        .unwrap();
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(answer.status.as_u16(), 422);
    assert_eq!(body["code"], "never-fits");
    assert!(body["message"].as_str().unwrap().contains("16 cores"));
}

#[tokio::test]
async fn a_worker_that_fails_everything_is_set_aside() {
    let bed = TestBed::start(plan(1, 2)).await;
    bed.set_fault(
        bed.agent_addresses[0].worker,
        json!({ "fail_starts": true }),
    )
    .await;
    let mut jobs = Vec::new();
    for number in 0..10 {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "8", 300, 1).await;
        jobs.push(job);
    }
    for job in &jobs {
        bed.wait_phase(job, "succeeded", 1, LONG).await;
    }
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_burst_of_starts_stays_within_100_writes_a_second() {
    let agents = (0..4).map(|_| {
        AgentPlan::new("morava-a")
            .with_cores("64")
            .without_endpoint()
    });
    let bed = TestBed::start(BedPlan::new(2, agents.collect()).without_homes()).await;
    let count = async || {
        let counts = bed.get(bed.platform_address, "/control").await.unwrap();
        counts["writes"].as_u64().unwrap()
    };
    let (before, began_at) = (count().await, Instant::now());
    let mut jobs = Vec::new();
    for number in 0..40 {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "500m", 100, 25).await;
        jobs.push(job);
    }
    for job in &jobs {
        bed.wait_phase(job, "succeeded", 25, LONG).await;
    }
    let writes = count().await - before;
    let seconds = began_at.elapsed().as_secs_f64();
    println!("1000 starts in {seconds:.1} s with {writes} writes");
    assert!(writes as f64 <= 100.0 * seconds, "{writes} in {seconds} s");
    // Submission, assignment and end of a task would be three writes alone.
    assert!(writes <= 1000, "{writes} writes for 1000 starts");
    bed.records().await.assert_invariants();
}
