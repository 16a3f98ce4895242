//! Requests of callers: jobs sent, asked for and cancelled.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::extract::State;
use axum::http::{Method, Request, Response, StatusCode, header};
use spdlog::info;
use tokio::sync::watch;
use turmeric_jobs::{AdmissionDecision, DeliveryOutcome, JobCode, QueueDelay, StoreHealth, admit};
use turmeric_platform::{
    OperatorConfig, QueueRoute, StoreClient, read_job, write_phase, write_waiting,
};

use super::forward::{ForwardEnd, ForwardPlan, LeaderForward, outcome_of};
use super::intake::{self, WriteOutcome};
use super::meters::ProcessMeters;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;

/// Body that is read at most where the configuration sets no limit, in bytes.
const BODY_LIMIT: usize = 256 << 10;

/// When to come back after the store refused: its outages last seconds.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the requests of an entry share.
pub(crate) struct CallerState {
    pub(crate) store: StoreClient,
    pub(crate) operators: watch::Receiver<OperatorView>,
    pub(crate) leader: watch::Receiver<LeaderView>,
    pub(crate) clock: ProcessClock,
    pub(crate) meters: Arc<ProcessMeters>,
    /// The process is about to stop; connections are closed after each answer.
    pub(crate) is_stopping: AtomicBool,
    pub(crate) forward: LeaderForward,
    /// Where this entry's own callers connect.
    pub(crate) address: SocketAddr,
    pub(crate) path: Mutex<StoreHealth>,
}

impl CallerState {
    /// Locks what is known of the path to the store.
    fn path(&self) -> MutexGuard<'_, StoreHealth> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in whether a call to the store was answered.
    pub(crate) fn note_store_call(&self, is_answered: bool) {
        let now = self.clock.now();
        let mut path = self.path();
        let was_lost = path.is_unreachable(now);
        path.record_call(is_answered, now);
        let is_lost = path.is_unreachable(now);
        drop(path);
        if is_lost != was_lost {
            info!("path to the store", kv: { is_lost = is_lost });
        }
    }

    fn is_store_lost(&self) -> bool {
        self.path().is_unreachable(self.clock.now())
    }
}

/// Serves one request.
pub(crate) async fn serve_caller(
    State(state): State<Arc<CallerState>>,
    request: Request<Body>,
) -> Response<Body> {
    let began_at = state.clock.now();
    let method = method_word(request.method());
    let mut response = serve(&state, request).await;
    let term = state.clock.now().since(began_at);
    state
        .meters
        .count_request(method, response.status().as_u16(), term);
    if state.is_stopping.load(Ordering::Relaxed) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the name of a method; callers could send any other word.
fn method_word(method: &Method) -> &'static str {
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
        return answer(StatusCode::NOT_FOUND, String::new());
    };
    if rest.is_empty() && request.method() == Method::GET {
        return waiting(state, route);
    }
    let Ok(code) = rest.parse::<JobCode>() else {
        return answer(StatusCode::NOT_FOUND, String::new());
    };
    let may_forward = !LeaderForward::is_forwarded(&request);
    let limit = body_limit(&config);
    let (parts, body) = request.into_parts();
    let Ok(body) = to_bytes(body, limit).await else {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, String::new());
    };
    let plan = ForwardPlan {
        method: parts.method,
        host,
        path,
        body,
    };
    if !may_forward {
        return serve_here(state, route, code, &plan).await;
    }
    serve_or_pass(state, route, code, plan).await
}

/// Serves a request here, or through the leader when the store does not answer
/// this entry.
async fn serve_or_pass(
    state: &CallerState,
    route: &QueueRoute,
    code: JobCode,
    plan: ForwardPlan,
) -> Response<Body> {
    // A request that would only wait for the store is passed on at once; one whose
    // call to the store fails, afterwards.
    if state.is_store_lost() {
        return match pass_on(state, code, plan.clone()).await {
            ForwardEnd::Answered(response) => response,
            ForwardEnd::NotSent => serve_here(state, route, code, &plan).await,
            ForwardEnd::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
        };
    }
    let response = serve_here(state, route, code, &plan).await;
    let known = outcome_of(response.status());
    if known == DeliveryOutcome::Answered || !state.is_store_lost() {
        return response;
    }
    let passed = pass_on(state, code, plan).await;
    match (known.combine(passed.outcome()), passed) {
        (DeliveryOutcome::Unknown, _) => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
        (_, ForwardEnd::Answered(passed)) => passed,
        (_, ForwardEnd::NotSent | ForwardEnd::Unknown) => response,
    }
}

async fn serve_here(
    state: &CallerState,
    route: &QueueRoute,
    code: JobCode,
    plan: &ForwardPlan,
) -> Response<Body> {
    match plan.method {
        Method::POST => submit(state, route, code, &plan.body).await,
        Method::GET => show(state, code).await,
        Method::DELETE => cancel(state, code).await,
        _ => answer(StatusCode::METHOD_NOT_ALLOWED, String::new()),
    }
}

/// Passes a request to the leader, unless this entry leads or knows none.
async fn pass_on(state: &CallerState, code: JobCode, plan: ForwardPlan) -> ForwardEnd {
    let leader = state.leader.borrow().callers;
    let Some(leader) = leader.filter(|leader| *leader != state.address) else {
        return ForwardEnd::NotSent;
    };
    let method = method_word(&plan.method);
    let end = state.forward.send(leader, plan).await;
    let outcome = match &end {
        ForwardEnd::Answered(response) => response.status().as_u16(),
        ForwardEnd::NotSent | ForwardEnd::Unknown => 0,
    };
    info!("request passed to the leader", kv: {
        job = code.to_string(), method = method, leader = leader.to_string(), status = outcome
    });
    end
}

fn body_limit(config: &OperatorConfig) -> usize {
    if config.body_limit > 0 {
        config.body_limit
    } else {
        BODY_LIMIT
    }
}

fn answer(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn refuse(status: StatusCode, retry_after: Duration) -> Response<Body> {
    let mut response = answer(status, String::new());
    // The header has whole seconds.
    let seconds = retry_after.as_millis().div_ceil(1000).max(1) as u64;
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    response
}

fn waiting(state: &CallerState, route: &QueueRoute) -> Response<Body> {
    let queues = &state.leader.borrow().queues;
    let count = queues
        .get(&route.policy.route)
        .map_or(0, |queue| queue.waiting);
    answer(StatusCode::OK, write_waiting(count))
}

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
            return answer(StatusCode::BAD_REQUEST, String::new());
        }
    };
    let (delay, age) = {
        let view = state.leader.borrow();
        let queue = view.queues.get(&route.policy.route);
        let delay = queue.map_or_else(QueueDelay::default, |queue| queue.delay.clone());
        (delay, state.clock.now().since(view.read_at))
    };
    if state.is_store_lost() {
        info!("job refused", kv: { job = code.to_string(), reason = "the store does not answer" });
        return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER);
    }
    if let AdmissionDecision::Refuse { retry_after } = admit(&spec, &delay)
        && !matches!(intake::is_accepted(state, code).await, Ok(true))
    {
        info!("job refused", kv: {
            job = code.to_string(), queue = route.policy.route, delay_ms = delay.delay_for(spec.work()).as_millis() as u64,
            work_core_ms = spec.work(),
            age_ms = age.as_millis() as u64, retry_after_ms = retry_after.as_millis() as u64
        });
        return refuse(StatusCode::TOO_MANY_REQUESTS, retry_after);
    }
    let outcome = intake::store_job(state, code, &spec).await;
    info!("job sent", kv: {
        job = code.to_string(), queue = route.policy.route, outcome = format!("{outcome:?}")
    });
    match outcome {
        WriteOutcome::Stored => answer(StatusCode::OK, String::new()),
        WriteOutcome::NotStored => refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER),
        // It may be stored later, so "not accepted" could be untrue.
        WriteOutcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
    }
}

async fn show(state: &CallerState, code: JobCode) -> Response<Body> {
    match intake::read_phase(state, code).await {
        Ok(Some(phase)) => answer(StatusCode::OK, write_phase(phase)),
        Ok(None) => answer(StatusCode::GONE, String::new()),
        Err(reason) => {
            info!("state not read", kv: { job = code.to_string(), reason = reason });
            refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER)
        }
    }
}

async fn cancel(state: &CallerState, code: JobCode) -> Response<Body> {
    match intake::is_accepted(state, code).await {
        Ok(true) => {}
        Ok(false) => return answer(StatusCode::GONE, String::new()),
        Err(reason) => {
            info!("cancellation not stored", kv: { job = code.to_string(), reason = reason });
            return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER);
        }
    }
    let outcome = intake::store_cancel(state, code).await;
    info!("cancellation sent", kv: { job = code.to_string(), outcome = format!("{outcome:?}") });
    match outcome {
        WriteOutcome::Stored => answer(StatusCode::OK, String::new()),
        WriteOutcome::NotStored => refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER),
        WriteOutcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
    }
}
