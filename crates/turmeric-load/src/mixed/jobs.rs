//! Batch jobs submitted alongside the requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use serde::Deserialize;
use turmeric_types::SplitMixRandom;
use uuid::Uuid;

use super::MixedPlan;
use turmeric_testbed::LoadClient;

/// Maximum wait for unfinished tasks after the last job is submitted.
const FINISH_TIMEOUT: Duration = Duration::from_secs(40);

/// Tasks per job.
const JOB_TASKS: u64 = 3;

/// Outcomes of the tasks of all jobs.
#[derive(Default)]
pub(crate) struct JobTotals {
    pub(crate) submitted: u64,
    pub(crate) refused: u64,
    pub(crate) succeeded: u64,
    pub(crate) unfinished: u64,
    pub(crate) evictions: u64,
}

#[derive(Default, Deserialize)]
struct TaskCounts {
    waiting: u64,
    assigned: u64,
    succeeded: u64,
    evictions: u64,
}

/// Submits the plan's jobs evenly over its duration and waits until their tasks finish.
pub(crate) async fn drive(client: &LoadClient, plan: &MixedPlan) -> Result<JobTotals> {
    let mut totals = JobTotals::default();
    let mut random = SplitMixRandom::new(plan.seed ^ 0x006a_6f62);
    let pause = plan.duration / (plan.jobs.max(1) as u32 + 1);
    for number in 0..plan.jobs {
        tokio::time::sleep(pause).await;
        let entry = plan.entries[random.next_below(plan.entries.len())];
        if submit(client, entry, number, &mut random).await {
            totals.submitted += JOB_TASKS;
        } else {
            totals.refused += JOB_TASKS;
        }
    }
    let deadline = Instant::now() + FINISH_TIMEOUT;
    loop {
        let counts = count_tasks(client, &plan.entries).await?;
        totals.succeeded = counts.succeeded;
        totals.unfinished = counts.waiting + counts.assigned;
        totals.evictions = counts.evictions;
        if totals.unfinished == 0 || Instant::now() > deadline {
            return Ok(totals);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn submit(
    client: &LoadClient,
    entry: SocketAddr,
    number: u64,
    random: &mut SplitMixRandom,
) -> bool {
    let is_urgent = number % 10 == 9;
    let form = serde_json::json!({
        "job": Uuid::now_v7().to_string(),
        "team": format!("team-{}", number % 7),
        "class": if is_urgent { "urgent" } else { "batch" },
        "cores": (4 + random.next_below(12)).to_string(),
        "memory": "8 GiB",
        "accelerators": 0,
        "work_millis": 500 + random.next_below(2500),
        "count": JOB_TASKS,
    });
    // All attempts send the same job identifier, so a retry is safe.
    for _ in 0..5 {
        match client.post_json(entry, "/v1/jobs", &form).await {
            Ok(response) if response.status.is_success() => return true,
            Ok(response) if response.status.is_client_error() => return false,
            Ok(_) | Err(_) => tokio::time::sleep(Duration::from_millis(500)).await,
        }
    }
    false
}

async fn count_tasks(client: &LoadClient, entries: &[SocketAddr]) -> Result<TaskCounts> {
    let mut total = TaskCounts::default();
    for entry in entries {
        let counts: TaskCounts = client.get_json(*entry, "/v1/tasks/count").await?;
        total.waiting += counts.waiting;
        total.assigned += counts.assigned;
        total.succeeded += counts.succeeded;
        total.evictions += counts.evictions;
    }
    Ok(total)
}
