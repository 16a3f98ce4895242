//! Two regions that lose each other for a while, on real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::ops::Range;
use std::time::Duration;

use turmeric_testbed::{AgentPlan, BedPlan, RequestForm, TestBed};

const LONG: Duration = Duration::from_secs(60);

/// Longer than it takes until partitions move and leases have lapsed.
const CUT_TIME: Duration = Duration::from_secs(15);

/// The table stands in `morava`, with an entry and two agents; `attiki` has
/// as many. Agents 0 and 1 are in `morava`, entry 0 too.
async fn start() -> TestBed {
    // There is room in `morava` for everything that runs in `attiki`.
    let near = AgentPlan::new("morava-a").with_cores("32");
    let far = AgentPlan::new("attiki-pir").with_region("attiki");
    let agents = vec![near.clone(), near, far.clone(), far];
    let plan = BedPlan::new(2, agents)
        .without_homes()
        // Longer than an agent may be silent, so that the lease is waited for.
        .with_task_lease("8s")
        .with_entry_region(1, "attiki");
    TestBed::start(plan).await
}

/// Submits two tasks for each of these teams; returns the jobs.
async fn submit(bed: &TestBed, teams: Range<usize>, work_millis: u64) -> Vec<String> {
    let mut jobs = Vec::new();
    for number in teams {
        let job = turmeric_testbed::new_job_id();
        let team = format!("team-{number}");
        bed.submit_as(&job, &team, "batch", "2", work_millis, 2)
            .await;
        jobs.push(job);
    }
    jobs
}

async fn wait_all_running(bed: &TestBed, jobs: &[String]) {
    for job in jobs {
        bed.wait_running(job, 2, LONG).await;
    }
}

async fn running_at(bed: &TestBed, agents: Range<usize>) -> usize {
    let records = bed.records().await;
    let intervals = records.workers[agents]
        .iter()
        .flat_map(|worker| &worker.intervals);
    intervals
        .filter(|interval| interval.ended_at.is_none())
        .count()
}

#[tokio::test]
async fn regions_that_lose_each_other_run_nothing_twice_and_finish_everything() {
    let bed = start().await;
    // An entry places on an agent only after it has compared the agent's tasks
    // with its books, and `morava` may be first and take all. So it takes none
    // until `attiki` runs half of them.
    bed.change_settings("/morava", "in-service", "false").await;
    let mut jobs = submit(&bed, 0..6, 16_000).await;
    wait_all_running(&bed, &jobs).await;
    assert_eq!(running_at(&bed, 2..4).await, 12);
    bed.change_settings("/morava", "in-service", "true").await;
    jobs.extend(submit(&bed, 6..12, 16_000).await);
    wait_all_running(&bed, &jobs[6..]).await;
    bed.cut_regions(true).await;
    tokio::time::sleep(CUT_TIME).await;
    // Without the table nobody may go on there.
    assert_eq!(running_at(&bed, 2..4).await, 0);
    // Each region answers requests with what it reaches.
    for entry in &bed.entry_addresses {
        let answer = bed.send(*entry, &RequestForm::new("cut")).await.unwrap();
        assert!(answer.status.is_success(), "{:?}", answer.status);
    }
    // Jobs are taken where the table is, and at once.
    let late = turmeric_testbed::new_job_id();
    bed.submit_as(&late, "team-3", "batch", "2", 300, 2).await;
    bed.wait_phase(&late, "succeeded", 2, LONG).await;
    bed.cut_regions(false).await;
    for job in &jobs {
        bed.wait_phase(job, "succeeded", 2, LONG).await;
    }
    bed.records().await.assert_invariants();
}

#[tokio::test]
async fn a_region_that_comes_back_takes_tasks_again() {
    let bed = start().await;
    bed.cut_regions(true).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    bed.cut_regions(false).await;
    bed.wait_ready().await;
    let jobs = submit(&bed, 0..12, 5_000).await;
    bed.wait_until("attiki to run tasks", LONG, async || {
        running_at(&bed, 2..4).await > 0
    })
    .await;
    for job in &jobs {
        bed.wait_phase(job, "succeeded", 2, LONG).await;
    }
    bed.records().await.assert_invariants();
}
