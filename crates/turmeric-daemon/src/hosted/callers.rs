//! Requests of callers: jobs sent, asked for and cancelled.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::extract::State;
use axum::http::{Method, Request, Response, StatusCode, header};
use spdlog::info;
use tokio::sync::watch;
use turmeric_jobs::{AdmissionDecision, JobCode, QueueDelay, admit};
use turmeric_platform::{
    OperatorConfig, QueueRoute, StoreClient, read_job, write_phase, write_waiting,
};

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
    match *request.method() {
        Method::POST => submit(state, &config, route, code, request).await,
        Method::GET => show(state, code).await,
        Method::DELETE => cancel(state, code).await,
        _ => answer(StatusCode::METHOD_NOT_ALLOWED, String::new()),
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
    config: &OperatorConfig,
    route: &QueueRoute,
    code: JobCode,
    request: Request<Body>,
) -> Response<Body> {
    let limit = if config.body_limit > 0 {
        config.body_limit
    } else {
        BODY_LIMIT
    };
    let Ok(body) = to_bytes(request.into_body(), limit).await else {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, String::new());
    };
    let spec = match read_job(&body, &route.policy, state.clock.wall()) {
        Ok(spec) => spec,
        Err(error) => {
            info!("job refused", kv: { job = code.to_string(), reason = error.to_string() });
            return answer(StatusCode::BAD_REQUEST, String::new());
        }
    };
    let (delay, age) = {
        let view = state.leader.borrow();
        let queue = view.queues.get(&route.policy.route);
        let delay = queue.map_or(QueueDelay::default(), |queue| queue.delay);
        (delay, state.clock.now().since(view.read_at))
    };
    if let AdmissionDecision::Refuse { retry_after } = admit(&spec, delay)
        && !matches!(intake::is_accepted(&state.store, code).await, Ok(true))
    {
        info!("job refused", kv: {
            job = code.to_string(), queue = route.policy.route, delay_ms = delay.delay.as_millis() as u64,
            age_ms = age.as_millis() as u64, retry_after_ms = retry_after.as_millis() as u64
        });
        return refuse(StatusCode::TOO_MANY_REQUESTS, retry_after);
    }
    let outcome = intake::store_job(&state.store, code, &spec).await;
    info!("job sent", kv: {
        job = code.to_string(), queue = route.policy.route, config = config.version,
        outcome = format!("{outcome:?}")
    });
    match outcome {
        WriteOutcome::Stored => answer(StatusCode::OK, String::new()),
        WriteOutcome::NotStored => refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER),
        // It may be stored later, so "not accepted" could be untrue.
        WriteOutcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
    }
}

async fn show(state: &CallerState, code: JobCode) -> Response<Body> {
    match intake::read_phase(&state.store, code).await {
        Ok(Some(phase)) => answer(StatusCode::OK, write_phase(phase)),
        Ok(None) => answer(StatusCode::GONE, String::new()),
        Err(reason) => {
            info!("state not read", kv: { job = code.to_string(), reason = reason });
            refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER)
        }
    }
}

async fn cancel(state: &CallerState, code: JobCode) -> Response<Body> {
    match intake::is_accepted(&state.store, code).await {
        Ok(true) => {}
        Ok(false) => return answer(StatusCode::GONE, String::new()),
        Err(reason) => {
            info!("cancellation not stored", kv: { job = code.to_string(), reason = reason });
            return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER);
        }
    }
    let outcome = intake::store_cancel(&state.store, code).await;
    info!("cancellation sent", kv: { job = code.to_string(), outcome = format!("{outcome:?}") });
    match outcome {
        WriteOutcome::Stored => answer(StatusCode::OK, String::new()),
        WriteOutcome::NotStored => refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETRY_AFTER),
        WriteOutcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, String::new()),
    }
}
