//! HTTP requests of callers: submit a job, read its phase, cancel it, count waiting jobs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::extract::State;
use axum::http::{Method, Request, Response, StatusCode, header};
use spdlog::info;
use tokio::sync::{Semaphore, watch};
use turmeric_jobs::{
    AdmissionAccount, AdmissionDecision, CancelBudget, DeliveryOutcome, JobCode, QueueDelay,
    StartLeg, StoreBounds, StoreHealth, decide_admission,
};
use turmeric_platform::{QueueRoute, StoreClient, read_job, write_phase, write_waiting};

use super::forward::{ForwardPlan, ForwardResult, LeaderForward, outcome_of};
use super::intake::{self, WriteOutcome};
use super::metrics::{ProcessMetrics, ShedCause};
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;

/// Retry-After for reads and cancellations that the store could not serve, and for every request
/// before a configuration is known. A caller that reads a state gains nothing by a longer wait.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of attempts to cancel a job whose row appears meanwhile.
const CANCEL_ATTEMPTS: u32 = 3;

/// Extension of a response that refuses a request because of the store.
#[derive(Clone, Copy)]
struct StoreRefusal;

/// State that the requests of an entry share.
pub(crate) struct CallerState {
    pub(crate) store: StoreClient,
    pub(crate) operators: watch::Receiver<OperatorView>,
    pub(crate) leader: watch::Receiver<LeaderView>,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: Arc<ProcessMetrics>,
    /// The process is shutting down; each response closes its connection.
    pub(crate) is_stopping: AtomicBool,
    pub(crate) forward: LeaderForward,
    /// Address to which this entry's callers connect.
    pub(crate) address: SocketAddr,
    /// Which waiting work decides on the admission of jobs.
    pub(crate) admission_account: AdmissionAccount,
    /// Memory that jobs may still take while they are stored, in KiB.
    pub(crate) job_memory: Semaphore,
    /// Limits of the store on rows.
    pub(crate) store_bounds: StoreBounds,
    /// Whether the store answers this entry, by its last calls.
    pub(crate) store_health: Mutex<StoreHealth>,
    /// Room for cancellations of unknown jobs.
    pub(crate) cancel_budget: Mutex<CancelBudget>,
    /// How long the state of an ended job, or such a cancellation, is kept.
    pub(crate) state_retention: Duration,
}

impl CallerState {
    /// Locks the health of the store.
    fn store_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.store_health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether a call to the store was answered.
    pub(crate) fn record_store_call(&self, is_answered: bool) {
        let now = self.clock.now();
        let mut health = self.store_health();
        let was_lost = health.is_unreachable(now);
        health.record_call(is_answered, now);
        let is_lost = health.is_unreachable(now);
        drop(health);
        if is_lost != was_lost {
            info!("reachability of the store changed", kv: { is_lost = is_lost });
        }
    }

    /// Takes a place for the cancellation of an unknown job.
    fn reserve_early_cancel(&self, code: JobCode) -> Result<(), Duration> {
        let stored = self.leader.borrow().early_cancels;
        let now = self.clock.now();
        let mut budget = self
            .cancel_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budget.reserve(code, stored, now.after(self.state_retention), now)
    }

    fn is_store_unreachable(&self) -> bool {
        self.store_health().is_unreachable(self.clock.now())
    }

    /// Returns the time after which the caller of a job that the store cannot take is to submit
    /// it again.
    fn submission_retry_after(&self, code: JobCode) -> Duration {
        self.store_health().retry_after(code, self.clock.now())
    }
}

/// Serves one request and updates the metrics.
pub(crate) async fn serve_caller(
    State(state): State<Arc<CallerState>>,
    request: Request<Body>,
) -> Response<Body> {
    let started_at = state.clock.now();
    let method = method_label(request.method());
    let mut response = serve(&state, request).await;
    let elapsed = state.clock.now().since(started_at);
    state
        .metrics
        .count_request(method, response.status().as_u16(), elapsed);
    // A request that the leader refused is counted there.
    if response.extensions_mut().remove::<StoreRefusal>().is_some() {
        state.metrics.count_store_refusal(method);
    }
    if state.is_stopping.load(Ordering::Relaxed) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the metric label of a method; the labels are fixed, since callers may send any
/// method name.
pub(crate) fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::GET => "get",
        Method::POST => "post",
        Method::DELETE => "delete",
        _ => "other",
    }
}

async fn serve(state: &CallerState, request: Request<Body>) -> Response<Body> {
    let config = state.operators.borrow().config.clone();
    let Some(config) = config else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER);
    };
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let Some((route, rest)) = config.route(&host, &path) else {
        info!("no such queue", kv: { path = path, config = config.version });
        return respond(StatusCode::NOT_FOUND, String::new());
    };
    if rest.is_empty() && request.method() == Method::GET {
        return show_waiting(state, route);
    }
    let Ok(code) = rest.parse::<JobCode>() else {
        return respond(StatusCode::NOT_FOUND, String::new());
    };
    let may_forward = !LeaderForward::is_forwarded(&request);
    let (parts, body) = request.into_parts();
    // The listener has received the whole body, within its limit.
    let Ok(body) = to_bytes(body, usize::MAX).await else {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, String::new());
    };
    let plan = ForwardPlan {
        method: parts.method,
        host,
        path,
        body,
    };
    if !may_forward {
        return serve_locally(state, route, code, &plan).await;
    }
    serve_or_forward(state, route, code, plan).await
}

/// Serves a request locally, or forwards it to the leader if this entry cannot reach the
/// store.
async fn serve_or_forward(
    state: &CallerState,
    route: &QueueRoute,
    code: JobCode,
    plan: ForwardPlan,
) -> Response<Body> {
    // While the store is known to be unreachable, the request is forwarded at once; otherwise
    // only if the store becomes unreachable while it is served.
    if state.is_store_unreachable() {
        return match forward_to_leader(state, code, plan.clone()).await {
            ForwardResult::Answered(response) => response,
            ForwardResult::NotSent => serve_locally(state, route, code, &plan).await,
            ForwardResult::Unknown => respond(StatusCode::GATEWAY_TIMEOUT, String::new()),
        };
    }
    let response = serve_locally(state, route, code, &plan).await;
    let known = outcome_of(response.status());
    if known == DeliveryOutcome::Answered || !state.is_store_unreachable() {
        return response;
    }
    let forwarded = forward_to_leader(state, code, plan).await;
    match (known.combine(forwarded.outcome()), forwarded) {
        (DeliveryOutcome::Unknown, _) => respond(StatusCode::GATEWAY_TIMEOUT, String::new()),
        (_, ForwardResult::Answered(forwarded)) => forwarded,
        (_, ForwardResult::NotSent | ForwardResult::Unknown) => response,
    }
}

async fn serve_locally(
    state: &CallerState,
    route: &QueueRoute,
    code: JobCode,
    plan: &ForwardPlan,
) -> Response<Body> {
    match plan.method {
        Method::POST => submit(state, route, code, &plan.body).await,
        Method::GET => show_phase(state, code).await,
        Method::DELETE => cancel(state, code).await,
        _ => respond(StatusCode::METHOD_NOT_ALLOWED, String::new()),
    }
}

/// Forwards a request to the leader, unless this entry leads or knows no leader.
async fn forward_to_leader(state: &CallerState, code: JobCode, plan: ForwardPlan) -> ForwardResult {
    let leader = state.leader.borrow().callers_address;
    let Some(leader) = leader.filter(|leader| *leader != state.address) else {
        return ForwardResult::NotSent;
    };
    let method = method_label(&plan.method);
    let end = state.forward.send(leader, plan).await;
    let outcome = match &end {
        ForwardResult::Answered(response) => response.status().as_u16(),
        ForwardResult::NotSent | ForwardResult::Unknown => 0,
    };
    info!("request forwarded to the leader", kv: {
        job = code.to_string(), method = method, leader = leader.to_string(), status = outcome
    });
    end
}

fn respond(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a response that asks the caller to retry later.
fn refuse(status: StatusCode, retry_after: Duration) -> Response<Body> {
    let mut response = respond(status, String::new());
    // The header holds whole seconds.
    let seconds = retry_after.as_millis().div_ceil(1000).max(1) as u64;
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    response
}

/// Builds a response that refuses a request because of the store.
fn refuse_for_store(retry_after: Duration) -> Response<Body> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after);
    response.extensions_mut().insert(StoreRefusal);
    response
}

/// Responds with the number of waiting jobs of a queue.
fn show_waiting(state: &CallerState, route: &QueueRoute) -> Response<Body> {
    let queues = &state.leader.borrow().queues;
    let count = queues
        .get(&route.policy.route)
        .map_or(0, |queue| queue.waiting);
    respond(StatusCode::OK, write_waiting(count))
}

/// Decodes a job, decides on its admission and stores it.
async fn submit(
    state: &CallerState,
    route: &QueueRoute,
    code: JobCode,
    body: &[u8],
) -> Response<Body> {
    let spec = match read_job(body, &route.policy, state.clock.wall()) {
        Ok(spec) => spec,
        Err(error) => {
            info!("job refused", kv: { job = code.to_string(), reason = error.to_string() });
            return respond(StatusCode::BAD_REQUEST, String::new());
        }
    };
    let memory = spec.memory().as_bytes().div_ceil(1 << 10) as u32;
    let Ok(_permit) = state.job_memory.try_acquire_many(memory) else {
        info!("job refused", kv: {
            job = code.to_string(), reason = "the jobs that are being stored take too much memory",
            memory_kib = memory
        });
        return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER);
    };
    let (delay, age) = {
        let view = state.leader.borrow();
        let queue = view.queues.get(&route.policy.route);
        let delay = queue.map_or_else(QueueDelay::default, |queue| queue.delay.clone());
        (delay, state.clock.now().since(view.read_at))
    };
    if state.is_store_unreachable() {
        let retry_after = state.submission_retry_after(code);
        info!("job refused", kv: {
            job = code.to_string(), reason = "the store does not answer",
            retry_after_ms = retry_after.as_millis() as u64
        });
        return refuse_for_store(retry_after);
    }
    let decision = decide_admission(state.admission_account, &spec, &delay);
    if let AdmissionDecision::Refuse { retry_after } = decision
        && !matches!(intake::is_accepted(state, code).await, Ok(true))
    {
        state.metrics.count_shed(ShedCause::RefusedLate);
        info!("job refused", kv: {
            job = code.to_string(), queue = route.policy.route,
            cause = ShedCause::RefusedLate.label(),
            delay_ms = delay.delay_for(spec.work()).as_millis() as u64, work_core_ms = spec.work(),
            age_ms = age.as_millis() as u64, retry_after_ms = retry_after.as_millis() as u64
        });
        return refuse(StatusCode::TOO_MANY_REQUESTS, retry_after);
    }
    let write_started_at = state.clock.now();
    let outcome = intake::store_job(state, code, &spec).await;
    if outcome == WriteOutcome::Stored {
        let elapsed = state.clock.now().since(write_started_at);
        state.metrics.record_leg(StartLeg::Store, elapsed);
    }
    info!("job sent", kv: {
        job = code.to_string(), queue = route.policy.route, outcome = format!("{outcome:?}")
    });
    match outcome {
        WriteOutcome::Stored | WriteOutcome::Conflict(_) => respond(StatusCode::OK, String::new()),
        WriteOutcome::NotStored => refuse_for_store(state.submission_retry_after(code)),
        WriteOutcome::Refused => respond(StatusCode::BAD_REQUEST, String::new()),
        // The job may still be stored, so a status that means "not accepted" could be wrong.
        WriteOutcome::Unknown => respond(StatusCode::GATEWAY_TIMEOUT, String::new()),
    }
}

/// Responds with the phase of a job.
async fn show_phase(state: &CallerState, code: JobCode) -> Response<Body> {
    match intake::read_phase(state, code).await {
        Ok(Some(phase)) => respond(StatusCode::OK, write_phase(phase)),
        Ok(None) => respond(StatusCode::GONE, String::new()),
        Err(reason) => {
            info!("state not read", kv: { job = code.to_string(), reason = reason });
            refuse_for_store(STORE_RETRY_AFTER)
        }
    }
}

/// Stores the cancellation of a job.
///
/// A job without a row may be one that never was, or one that another entry is about to store: it
/// is cancelled before the response says that it does not exist.
async fn cancel(state: &CallerState, code: JobCode) -> Response<Body> {
    // The job may be stored between the read and the write.
    for _ in 0..CANCEL_ATTEMPTS {
        let version = match intake::read_accepted(state, code).await {
            Ok(version) => version,
            Err(reason) => {
                info!("cancellation not stored", kv: { job = code.to_string(), reason = reason });
                return refuse_for_store(STORE_RETRY_AFTER);
            }
        };
        let outcome = match version {
            Some(version) => intake::store_cancel(state, code, version).await,
            None => match state.reserve_early_cancel(code) {
                Ok(()) => intake::store_early_cancel(state, code).await,
                Err(retry_after) => {
                    info!("cancellation not stored", kv: {
                        job = code.to_string(), reason = "too many unknown jobs are cancelled"
                    });
                    return refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after);
                }
            },
        };
        let is_known = version.is_some();
        info!("cancellation sent", kv: {
            job = code.to_string(), is_known = is_known, outcome = format!("{outcome:?}")
        });
        return match outcome {
            WriteOutcome::Stored if is_known => respond(StatusCode::OK, String::new()),
            WriteOutcome::Stored => respond(StatusCode::GONE, String::new()),
            WriteOutcome::Conflict(versions) if !is_known && versions.cancel == 0 => continue,
            // The job was cancelled before, or has ended long ago and was deleted since.
            WriteOutcome::Conflict(_) => respond(StatusCode::GONE, String::new()),
            WriteOutcome::NotStored | WriteOutcome::Refused => refuse_for_store(STORE_RETRY_AFTER),
            WriteOutcome::Unknown => respond(StatusCode::GATEWAY_TIMEOUT, String::new()),
        };
    }
    refuse_for_store(STORE_RETRY_AFTER)
}
