//! HTTP handlers for jobs of teams: submission, and listing and counting of tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{Query, State};
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use serde::{Deserialize, Serialize};
use turmeric_tasks::{SubmitDecision, SubmitRequest, TaskPhase, TaskRecord};
use turmeric_types::{
    AcceleratorCount, CoreCount, FindingList, JobId, JobKind, MemorySize, PartitionId, ResourceSet,
    TaskClass, TaskId, TaskSpec, TeamName, WallTime,
};

use super::state::EntryState;
use crate::http::{CallError, call_json, refuse, refuse_findings, set_retry_after};

/// Timeout for a job to become durable.
pub(super) const DURABLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of a call forwarded to another entry.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after which a client should retry while a partition has no owner.
pub(super) const OWNER_RETRY: Duration = Duration::from_millis(1000);

/// Maximum age of the identifier of a submitted job.
const SUBMIT_WINDOW: Duration = Duration::from_secs(120);

/// Maximum number of tasks in one listing.
const LIST_LIMIT: usize = 1000;

/// A job as a team submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobSubmission {
    job: String,
    team: String,
    /// Kind of the job; without it, nothing is learned from its tasks.
    #[serde(default)]
    kind: Option<String>,
    class: String,
    cores: String,
    memory: String,
    accelerators: u32,
    work_millis: u64,
    count: u32,
    /// Whether another entry forwarded the job; it is forwarded at most once.
    #[serde(default)]
    forwarded: bool,
}

impl JobSubmission {
    /// Validates all fields; returns the request, or every finding.
    fn to_request(&self, now: WallTime) -> Result<SubmitRequest, FindingList> {
        let mut findings = FindingList::new();
        let job = findings.collect("job", self.job.parse::<JobId>());
        let team = findings.collect("team", self.team.parse::<TeamName>());
        let kind = self.kind.as_ref().map(|kind| kind.parse::<JobKind>());
        let kind = kind.and_then(|kind| findings.collect("kind", kind));
        let class = findings.collect("class", self.class.parse::<TaskClass>());
        let cores = findings.collect("cores", self.cores.parse::<CoreCount>());
        let memory = findings.collect("memory", self.memory.parse::<MemorySize>());
        if self.work_millis == 0 {
            findings.push("work_millis", "a task has at least 1 ms of work");
        }
        if let Some(job) = job {
            findings.collect("job", check_age(job, now));
        }
        let request = || {
            let accelerators = AcceleratorCount::new(self.accelerators);
            Some(SubmitRequest {
                job: job?,
                spec: TaskSpec {
                    team: team?,
                    kind,
                    class: class?,
                    resources: ResourceSet::new(cores?, memory?, accelerators),
                    work_millis: self.work_millis,
                },
                count: self.count,
                submitted_at: now,
            })
        };
        let request = request();
        findings.into_result(request)
    }
}

/// Checks that the identifier has a creation time, and that it is recent.
///
/// Records of ended jobs are deleted after a while, so an old identifier may
/// belong to a job that has already run.
fn check_age(job: JobId, now: WallTime) -> Result<(), String> {
    let Some(made_at) = job.made_at() else {
        return Err(
            "a job identifier is a UUID of version 7, which carries its creation time".to_owned(),
        );
    };
    if made_at.after(SUBMIT_WINDOW) <= now {
        return Err(format!(
            "the identifier is older than {SUBMIT_WINDOW:?}; whether the job ran is no longer known"
        ));
    }
    Ok(())
}

/// Accepts a job and responds once it is durable.
pub(crate) async fn submit(
    State(state): State<Arc<EntryState>>,
    Json(submission): Json<JobSubmission>,
) -> Response<Body> {
    let request = match submission.to_request(state.clock.wall()) {
        Ok(request) => request,
        Err(findings) => return refuse_findings(StatusCode::BAD_REQUEST, "bad-job", &findings),
    };
    let deadline = state.clock.now().after(DURABLE_TIMEOUT);
    loop {
        let written = state.written.notified();
        let decision = state.scheduler().submit(&request);
        match decision {
            SubmitDecision::AlreadySubmitted => return accepted(&request),
            SubmitDecision::Writing(_) => {
                state.wake_writers();
                let remaining = deadline.since(state.clock.now());
                if remaining.is_zero() {
                    return outcome_unknown();
                }
                let _ = tokio::time::timeout(remaining.min(OWNER_RETRY), written).await;
            }
            SubmitDecision::NotOwner(partition) => {
                return forward_job(&state, partition, submission).await;
            }
            refusal => return refuse_job(&refusal),
        }
    }
}

fn accepted(request: &SubmitRequest) -> Response<Body> {
    let body = serde_json::json!({
        "job": request.job,
        "tasks": request.count,
        "accepted": true,
    });
    Json(body).into_response()
}

/// Returns the response for a request whose outcome in the table is unknown.
pub(super) fn outcome_unknown() -> Response<Body> {
    let mut response = refuse(
        StatusCode::GATEWAY_TIMEOUT,
        "unknown",
        "whether the request was stored is unknown; send it again with the same job identifier",
    );
    set_retry_after(response.headers_mut(), OWNER_RETRY);
    response
}

fn refuse_job(refusal: &SubmitDecision) -> Response<Body> {
    let (code, message) = match refusal {
        SubmitDecision::NeverFits { need, largest } => (
            "never-fits",
            format!("no worker can ever run a task of {need}; the largest VM has {largest}"),
        ),
        SubmitDecision::OverQuota { quota_millicores } => (
            "over-quota",
            format!(
                "one task needs more than the team's quota of {} cores",
                CoreCount::from_millicores(*quota_millicores)
            ),
        ),
        SubmitDecision::InvalidTaskCount { limit } => {
            ("bad-count", format!("a job has 1 to {limit} tasks"))
        }
        SubmitDecision::Writing(_)
        | SubmitDecision::AlreadySubmitted
        | SubmitDecision::NotOwner(_) => ("internal", "the entry cannot accept the job".to_owned()),
    };
    refuse(StatusCode::UNPROCESSABLE_ENTITY, code, message)
}

/// Forwards a job to the entry that owns its partition.
async fn forward_job(
    state: &EntryState,
    partition: PartitionId,
    mut submission: JobSubmission,
) -> Response<Body> {
    let owner = owner_address(state, partition);
    let (Some(address), false) = (owner, submission.forwarded) else {
        return no_owner();
    };
    submission.forwarded = true;
    let result: Result<serde_json::Value, CallError> = call_json(
        &state.calls,
        address,
        "/v1/jobs",
        &submission,
        FORWARD_TIMEOUT,
    )
    .await;
    match result {
        Ok(body) => Json(body).into_response(),
        Err(CallError::NotSent) => no_owner(),
        Err(CallError::Status(status, text)) => {
            (status, [("content-type", "application/json")], text).into_response()
        }
        Err(CallError::Unknown(_)) => outcome_unknown(),
    }
}

fn owner_address(state: &EntryState, partition: PartitionId) -> Option<SocketAddr> {
    let head = state.head();
    let owner = head.owners.get(&partition)?;
    head.entries.get(&owner.entry)?.beat.address.parse().ok()
}

/// Returns the response for a request to a partition without a reachable owner.
pub(super) fn no_owner() -> Response<Body> {
    let mut response = refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-owner",
        "no entry currently owns the partition; nothing was changed",
    );
    set_retry_after(response.headers_mut(), OWNER_RETRY);
    response
}

/// A task, as shown to operators and teams.
#[derive(Serialize)]
struct TaskLine {
    task: String,
    team: String,
    class: String,
    kind: Option<String>,
    resources: String,
    /// Resources allocated to the last attempt.
    #[serde(rename = "given")]
    allocated: String,
    phase: &'static str,
    agent: Option<String>,
    attempt: u32,
    checkpoint_millis: u64,
    evictions: u32,
    failures: u32,
    waits_because: Option<String>,
}

fn phase_name(phase: &TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Waiting => "waiting",
        TaskPhase::Assigned(_) => "assigned",
        TaskPhase::Succeeded => "succeeded",
        TaskPhase::Failed => "failed",
        TaskPhase::Cancelled => "cancelled",
    }
}

fn task_line(task: TaskId, record: &TaskRecord, waits_because: Option<String>) -> TaskLine {
    TaskLine {
        task: task.to_string(),
        team: record.spec.team.to_string(),
        class: record.spec.class.to_string(),
        kind: record.spec.kind.as_ref().map(JobKind::to_string),
        resources: record.spec.resources.to_string(),
        allocated: record.allocated.to_string(),
        phase: phase_name(&record.phase),
        agent: match &record.phase {
            TaskPhase::Assigned(agent) => Some(agent.to_string()),
            _ => None,
        },
        attempt: record.attempt.get(),
        checkpoint_millis: record.checkpoint_millis,
        evictions: record.evictions,
        failures: record.failures,
        waits_because,
    }
}

/// Filter for the tasks to list or count.
#[derive(Deserialize)]
pub(crate) struct TaskFilter {
    job: Option<String>,
    team: Option<String>,
    phase: Option<String>,
}

/// Lists tasks of the partitions that this entry owns.
pub(crate) async fn list_tasks(
    State(state): State<Arc<EntryState>>,
    Query(filter): Query<TaskFilter>,
) -> impl IntoResponse {
    let scheduler = state.scheduler();
    let is_wanted = |task: &TaskId, record: &TaskRecord| {
        filter
            .job
            .as_ref()
            .is_none_or(|job| *job == task.job.to_string())
            && filter
                .team
                .as_ref()
                .is_none_or(|team| *team == record.spec.team.to_string())
            && filter
                .phase
                .as_ref()
                .is_none_or(|phase| phase == phase_name(&record.phase))
    };
    let lines: Vec<TaskLine> = scheduler
        .tasks()
        .filter(|(task, record)| is_wanted(task, record))
        .take(LIST_LIMIT)
        .map(|(task, record)| {
            let reason = scheduler.wait_reason(task).map(|reason| reason.to_string());
            task_line(task, record, reason)
        })
        .collect();
    Json(lines)
}

/// Numbers of tasks by phase, and evictions, in the partitions that this entry owns.
#[derive(Default, Serialize)]
pub(crate) struct TaskCounts {
    waiting: usize,
    assigned: usize,
    succeeded: usize,
    failed: usize,
    cancelled: usize,
    evictions: u64,
}

/// Counts tasks of the partitions that this entry owns; only `job` of the filter applies.
pub(crate) async fn count_tasks(
    State(state): State<Arc<EntryState>>,
    Query(filter): Query<TaskFilter>,
) -> Json<TaskCounts> {
    let scheduler = state.scheduler();
    let mut counts = TaskCounts::default();
    for (task, record) in scheduler.tasks() {
        if filter
            .job
            .as_ref()
            .is_some_and(|job| *job != task.job.to_string())
        {
            continue;
        }
        counts.evictions += u64::from(record.evictions);
        match record.phase {
            TaskPhase::Waiting => counts.waiting += 1,
            TaskPhase::Assigned(_) => counts.assigned += 1,
            TaskPhase::Succeeded => counts.succeeded += 1,
            TaskPhase::Failed => counts.failed += 1,
            TaskPhase::Cancelled => counts.cancelled += 1,
        }
    }
    Json(counts)
}
