//! One capacity measurement with agent sessions, running tasks and task starts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};
use turmeric_testbed::{LoadClient, new_job_id};
use turmeric_types::{JobId, TaskId};

use super::CapacityPlan;
use super::session::{SessionAgent, SharedTotals, lock};
use super::usage::ProcessUsage;
use crate::percentile::DurationSample;

/// Maximum wait until the entry knows all agents, and until the long tasks run.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Work of a long task, in milliseconds; it outlasts the measurement.
const LONG_WORK_MILLIS: u64 = 3_600_000;

/// Work of a short task, in milliseconds.
const SHORT_WORK_MILLIS: u64 = 2_000;

/// Number of teams that the jobs are spread over.
const TEAMS: u32 = 270;

/// Result of one capacity measurement.
#[derive(Serialize, Deserialize)]
pub(crate) struct CapacityPoint {
    pub(crate) agents: usize,
    pub(crate) running: u32,
    pub(crate) starts_per_second: f64,
    pub(crate) cpu_percent: f64,
    pub(crate) resident_mb: f64,
    /// Bytes per second of all connections on the loopback interface, with packet headers.
    pub(crate) wire_bytes_per_second: f64,
    /// Bytes per second of control messages, without packet headers.
    pub(crate) message_bytes_per_second: f64,
    pub(crate) polls_per_second: f64,
    pub(crate) store_reads_per_second: f64,
    pub(crate) store_writes_per_second: f64,
    pub(crate) threads: u64,
    pub(crate) sockets: u64,
    pub(crate) hold_millis: u64,
    pub(crate) start_p50_millis: f64,
    pub(crate) start_p99_millis: f64,
}

/// Starts the agent sessions and tasks of the plan and measures the entry under this load.
pub(crate) async fn measure(plan: &CapacityPlan) -> Result<CapacityPoint> {
    let client = LoadClient::new();
    let totals = SharedTotals::default();
    for number in 0..plan.agents {
        let session = SessionAgent::new(number, plan.control, totals.clone())?;
        tokio::spawn(session.run());
        // Start the agents in groups of 50, so that they do not all connect at once.
        if number % 50 == 49 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    wait_for_agents(&client, plan).await?;
    submit_running(&client, plan).await?;
    // By then, the entry has replied to all announcements.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = Snapshot::read(&client, plan, &totals).await?;
    let submitted = submit_starts(&client, plan).await?;
    let after = Snapshot::read(&client, plan, &totals).await?;
    // The last submitted tasks start after the measured interval.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut latencies = start_latencies(&totals, &submitted);
    Ok(capacity_point(plan, &before, &after, &mut latencies))
}

/// Values of all counters at one point in time.
struct Snapshot {
    read_at: Instant,
    usage: ProcessUsage,
    reads: u64,
    writes: u64,
    polls: u64,
    message_bytes: u64,
    starts: usize,
    hold_millis: u64,
}

impl Snapshot {
    async fn read(client: &LoadClient, plan: &CapacityPlan, totals: &SharedTotals) -> Result<Self> {
        let status: serde_json::Value = client.get_json(plan.entry, "/v1/status").await?;
        let number = |name: &str| status[name].as_u64().unwrap_or_default();
        let totals = lock(totals);
        Ok(Self {
            read_at: Instant::now(),
            usage: ProcessUsage::read(plan.pid)?,
            reads: number("store_reads"),
            writes: number("store_writes"),
            polls: totals.polls,
            message_bytes: totals.poll_bytes + totals.reply_bytes,
            starts: totals.starts.len(),
            hold_millis: number("hold_millis"),
        })
    }
}

async fn wait_for_agents(client: &LoadClient, plan: &CapacityPlan) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let status: serde_json::Value = client.get_json(plan.entry, "/v1/status").await?;
        let is_owner = status["partitions"].as_array().map_or(0, Vec::len) == 12;
        if status["agents"].as_u64() == Some(plan.agents as u64) && is_owner {
            return Ok(());
        }
        ensure!(
            Instant::now() < deadline,
            "the entry does not know all agents or does not own all partitions: {status}"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn submit_job(
    client: &LoadClient,
    plan: &CapacityPlan,
    team: u32,
    work_millis: u64,
    count: u32,
) -> Result<JobId> {
    let job = new_job_id();
    let form = serde_json::json!({
        "job": job, "team": format!("team-{team}"), "class": "batch",
        "cores": "1", "memory": "1 GiB", "accelerators": 0,
        "work_millis": work_millis, "count": count,
    });
    let response = client.post_json(plan.entry, "/v1/jobs", &form).await?;
    ensure!(
        response.status.is_success(),
        "the entry refused a job: {:?}",
        response.body
    );
    Ok(job.parse()?)
}

/// Submits the long tasks and waits until all are assigned.
async fn submit_running(client: &LoadClient, plan: &CapacityPlan) -> Result<()> {
    let mut remaining = plan.running;
    let mut team = 0;
    while remaining > 0 {
        let count = remaining.min(500);
        submit_job(client, plan, team % TEAMS, LONG_WORK_MILLIS, count).await?;
        remaining -= count;
        team += 1;
    }
    if plan.running == 0 {
        return Ok(());
    }
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let counts: serde_json::Value = client.get_json(plan.entry, "/v1/tasks/count").await?;
        if counts["assigned"].as_u64() >= Some(u64::from(plan.running)) {
            return Ok(());
        }
        ensure!(
            Instant::now() < deadline,
            "the long tasks are not all running: {counts}"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Submits short tasks at the plan's rate; returns the time at which each job was sent.
async fn submit_starts(
    client: &LoadClient,
    plan: &CapacityPlan,
) -> Result<BTreeMap<JobId, Instant>> {
    let end = Instant::now() + plan.duration;
    let mut submitted = BTreeMap::new();
    if plan.starts == 0 {
        tokio::time::sleep(plan.duration).await;
        return Ok(submitted);
    }
    // Ten jobs per second share the task starts.
    let count = (plan.starts / 10).max(1);
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    let mut sending = tokio::task::JoinSet::new();
    let mut team = 0;
    while Instant::now() < end {
        ticks.tick().await;
        team += 1;
        let (client, plan) = (client.clone(), plan.copy());
        sending.spawn(async move {
            let sent_at = Instant::now();
            let job = submit_job(&client, &plan, team % TEAMS, SHORT_WORK_MILLIS, count).await;
            job.map(|job| (job, sent_at))
        });
    }
    while let Some(sent) = sending.join_next().await {
        let (job, sent_at) = sent??;
        submitted.insert(job, sent_at);
    }
    Ok(submitted)
}

impl CapacityPlan {
    fn copy(&self) -> Self {
        Self { ..*self }
    }
}

fn start_latencies(totals: &SharedTotals, submitted: &BTreeMap<JobId, Instant>) -> DurationSample {
    let mut latencies = DurationSample::default();
    let starts: Vec<(TaskId, Instant)> = lock(totals).starts.clone();
    for (task, started_at) in starts {
        if let Some(sent_at) = submitted.get(&task.job) {
            latencies.push(started_at.duration_since(*sent_at));
        }
    }
    latencies
}

fn capacity_point(
    plan: &CapacityPlan,
    before: &Snapshot,
    after: &Snapshot,
    latencies: &mut DurationSample,
) -> CapacityPoint {
    let seconds = after.read_at.duration_since(before.read_at).as_secs_f64();
    let rate = |later: u64, earlier: u64| (later - earlier) as f64 / seconds;
    let millis = |time: Duration| time.as_secs_f64() * 1000.0;
    CapacityPoint {
        agents: plan.agents,
        running: plan.running,
        starts_per_second: rate(after.starts as u64, before.starts as u64),
        cpu_percent: after.usage.cpu_percent_since(&before.usage),
        resident_mb: after.usage.resident_bytes as f64 / 1e6,
        wire_bytes_per_second: after.usage.bytes_per_second_since(&before.usage),
        message_bytes_per_second: rate(after.message_bytes, before.message_bytes),
        polls_per_second: rate(after.polls, before.polls),
        store_reads_per_second: rate(after.reads, before.reads),
        store_writes_per_second: rate(after.writes, before.writes),
        threads: after.usage.threads,
        sockets: after.usage.sockets,
        hold_millis: after.hold_millis,
        start_p50_millis: millis(latencies.permille(500)),
        start_p99_millis: millis(latencies.permille(990)),
    }
}
