//! One executor as a process of its own: it registers with the agent beside it, runs tasks
//! under a lease and lists their ends, at most 500 at a time. Each event goes to its log as a line.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::net;

/// Most ends in one list.
const END_LIMIT: usize = 500;
/// Time that a stop takes, below every `stop_timeout_ms`.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Time between two checks for finished work and the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct Run {
    number: u64,
    cpu: u64,
    /// Processors that it uses.
    need: u64,
    /// Work of the whole task, in milliseconds.
    work: u64,
    /// Work that an earlier run had saved.
    resumed: u64,
    began: Instant,
    checkpoint_bytes: usize,
    /// Tail latency of a task that lasts and serves users, in milliseconds.
    latency: Option<u64>,
    stopping: Option<Instant>,
}

impl Run {
    fn done(&self, restore: u64) -> u64 {
        let spent = self.began.elapsed().as_millis() as u64;
        let restored = if self.resumed > 0 { restore } else { 0 };
        (self.resumed + spent.saturating_sub(restored)).min(self.work)
    }
}

struct Inner {
    token: u64,
    deadline: u64,
    /// The last deadline that has passed.
    lapsed: u64,
    runs: BTreeMap<String, Run>,
    last: BTreeMap<String, u64>,
    ends: BTreeMap<u64, Value>,
    count: u64,
    sequence: u64,
    log: File,
}

/// Settings of an executor, in the order of its arguments.
pub struct Settings {
    pub identifier: String,
    pub address: SocketAddr,
    pub registry: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub service: String,
    pub cpu: u64,
    pub max_hold_ms: u64,
    pub save_ms: u64,
    pub restore_ms: u64,
    pub log: String,
}

struct Executor {
    settings: Settings,
    born: u64,
    clock: Instant,
    inner: Mutex<Inner>,
    ended: Notify,
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Returns the checkpoint after `work` milliseconds, padded to `bytes`.
fn checkpoint(work: u64, bytes: usize) -> String {
    if work == 0 || bytes == 0 {
        return String::new();
    }
    let mut text = format!("{work:016x}");
    while text.len() < bytes {
        text.push_str("0123456789abcdef");
    }
    text.truncate(bytes.max(16));
    text
}

impl Inner {
    fn note(&mut self, event: Value) {
        let line = json!({"at": wall_ms(), "event": event}).to_string() + "\n";
        self.log
            .write_all(line.as_bytes())
            .expect("the log of an executor");
    }

    fn end(&mut self, task: &str, how: &str, saved: &str) {
        if let Some(run) = self.runs.remove(task) {
            self.count += 1;
            let end = json!([self.count, task, run.number, how, saved]);
            self.ends.insert(self.count, end.clone());
            self.note(json!({"end": end}));
        }
    }
}

impl Executor {
    fn now(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn saved(&self, run: &Run, is_stop: bool) -> String {
        let done = run.done(self.settings.restore_ms);
        let step = self.settings.save_ms.max(1);
        let kept = if is_stop {
            done
        } else {
            (done / step * step).max(run.resumed)
        };
        checkpoint(kept, run.checkpoint_bytes)
    }

    fn conflict(&self, reason: &str) -> Response {
        let body = json!({"clock_ms": self.now(), "reason": reason});
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn ok(&self) -> Response {
        Json(json!({"clock_ms": self.now()})).into_response()
    }

    /// Ends finished, stopped and lapsed runs.
    fn check(&self) {
        let mut inner = self.inner.lock().unwrap();
        let is_lapsed = self.now() > inner.deadline;
        let mut over = Vec::new();
        for (task, run) in &inner.runs {
            let is_stopped = run.stopping.is_some_and(|at| at.elapsed() >= STOP_TIME);
            if run.done(self.settings.restore_ms) >= run.work {
                over.push((task.clone(), "done", String::new()));
            } else if is_stopped {
                over.push((task.clone(), "stopped", self.saved(run, true)));
            } else if is_lapsed {
                over.push((task.clone(), "lapsed", self.saved(run, false)));
            }
        }
        let has_ended = !over.is_empty();
        for (task, how, saved) in over {
            inner.end(&task, how, &saved);
        }
        // A lease lapses also where nothing runs under it.
        if is_lapsed && inner.deadline > inner.lapsed {
            inner.lapsed = inner.deadline;
            inner.note(json!({"lapse": true}));
        }
        drop(inner);
        if has_ended {
            self.ended.notify_waiters();
        }
    }
}

fn number(body: &Value, name: &str) -> u64 {
    body.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// Returns a response for a call that is meant for another incarnation or that is fenced off.
fn screen(executor: &Executor, headers: &HeaderMap, body: &Value) -> Option<Response> {
    let expected = headers
        .get("X-Expected-Instance")
        .and_then(|text| text.to_str().ok());
    if expected.is_some_and(|text| text != executor.settings.identifier) {
        return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
    }
    let mut inner = executor.inner.lock().unwrap();
    let token = number(body, "fencing_token");
    if token < inner.token {
        drop(inner);
        return Some(executor.conflict("fence"));
    }
    inner.token = token;
    None
}

async fn start(State(executor): State<Arc<Executor>>, headers: HeaderMap, body: Bytes) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if let Some(refusal) = screen(&executor, &headers, &body) {
        return refusal;
    }
    let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default();
    let (task, run) = (text("task").to_owned(), number(&body, "run"));
    let Ok(spec) = serde_json::from_str::<Value>(text("task_spec")) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let now = executor.now();
    let deadline = number(&body, "deadline_ms").min(now + executor.settings.max_hold_ms);
    let mut inner = executor.inner.lock().unwrap();
    if inner
        .runs
        .get(&task)
        .is_some_and(|known| known.number == run)
    {
        drop(inner);
        return executor.ok();
    }
    if inner.last.get(&task).is_some_and(|last| run <= *last) || inner.runs.contains_key(&task) {
        inner.deadline = inner.deadline.max(deadline);
        drop(inner);
        return executor.conflict("old");
    }
    if deadline <= now {
        drop(inner);
        return executor.conflict("late");
    }
    inner.deadline = inner.deadline.max(deadline);
    let cpu = number(&spec, "cpu");
    let used: u64 = inner.runs.values().map(|run| run.cpu).sum();
    // Tasks that fill don't count against the capacity.
    let reserved = if spec.get("fills").is_some() { 0 } else { cpu };
    if used + reserved > executor.settings.cpu {
        drop(inner);
        return executor.conflict("room");
    }
    // Tasks of one step take different times, up to `spread` more than `work`.
    let spread = number(&spec, "spread").max(1);
    let index = task
        .rsplit('.')
        .next()
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0);
    let resumed = u64::from_str_radix(text("checkpoint").get(..16).unwrap_or(""), 16).unwrap_or(0);
    let state = Run {
        number: run,
        cpu: reserved,
        need: cpu,
        work: number(&spec, "work") + index.wrapping_mul(7919) % spread,
        resumed,
        began: Instant::now(),
        checkpoint_bytes: number(&spec, "checkpoint_bytes") as usize,
        latency: spec.get("latency").and_then(Value::as_u64),
        stopping: None,
    };
    inner.note(json!({"start": [task, run, resumed]}));
    inner.last.insert(task.clone(), run);
    inner.runs.insert(task, state);
    drop(inner);
    executor.ok()
}

async fn stop(State(executor): State<Arc<Executor>>, headers: HeaderMap, body: Bytes) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if let Some(refusal) = screen(&executor, &headers, &body) {
        return refusal;
    }
    let task = body
        .get("task")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned();
    let run = number(&body, "run");
    let mut inner = executor.inner.lock().unwrap();
    let last = inner.last.entry(task.clone()).or_default();
    *last = (*last).max(run);
    inner.note(json!({"stop": [task, run]}));
    if let Some(state) = inner
        .runs
        .get_mut(&task)
        .filter(|state| state.number <= run)
    {
        state.stopping.get_or_insert_with(Instant::now);
    }
    drop(inner);
    executor.ok()
}

async fn hold(State(executor): State<Arc<Executor>>, headers: HeaderMap, body: Bytes) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if let Some(refusal) = screen(&executor, &headers, &body) {
        return refusal;
    }
    let seen = number(&body, "last_seen");
    let ended = executor.ended.notified();
    tokio::pin!(ended);
    ended.as_mut().enable();
    let has_ends = {
        let mut inner = executor.inner.lock().unwrap();
        let deadline =
            number(&body, "deadline_ms").min(executor.now() + executor.settings.max_hold_ms);
        inner.deadline = inner.deadline.max(deadline);
        if inner
            .ends
            .first_key_value()
            .is_some_and(|(first, _)| *first <= seen)
        {
            inner.ends = inner.ends.split_off(&(seen + 1));
            inner.note(json!({"noted": seen}));
        }
        !inner.ends.is_empty()
    };
    if !has_ends {
        let wait = Duration::from_millis(number(&body, "wait_ms").min(2000));
        let _ = tokio::time::timeout(wait, ended).await;
    }
    let inner = executor.inner.lock().unwrap();
    let running: Vec<Value> = inner
        .runs
        .iter()
        .map(|(task, run)| {
            let done = run.done(executor.settings.restore_ms) * 100 / run.work.max(1);
            // A task that lasts is at work after a short startup.
            let percent = if run.latency.is_some() { 100 } else { done };
            let reading = run.latency.unwrap_or(run.need);
            json!([
                task,
                run.number,
                executor.saved(run, false),
                percent,
                reading
            ])
        })
        .collect();
    let ended: Vec<&Value> = inner.ends.values().take(END_LIMIT).collect();
    Json(json!({"clock_ms": executor.now(), "born": executor.born, "running": running, "ended": ended}))
        .into_response()
}

/// Shows the test what runs; no program of the project calls it.
async fn peek(State(executor): State<Arc<Executor>>) -> Response {
    let inner = executor.inner.lock().unwrap();
    let runs: Vec<Value> = inner
        .runs
        .iter()
        .map(|(task, run)| json!([task, run.number]))
        .collect();
    let used: u64 = inner.runs.values().map(|run| run.cpu).sum();
    Json(json!({"runs": runs, "used": used, "unseen": inner.ends.len()})).into_response()
}

async fn beat(executor: Arc<Executor>) {
    loop {
        let settings = &executor.settings;
        let sequence = {
            let mut inner = executor.inner.lock().unwrap();
            inner.sequence += 1;
            inner.sequence
        };
        let body = json!({"service": settings.service, "address": settings.address,
            "zone": settings.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "labels": ["a", settings.rack], "clock_ms": executor.now(),
            "capacity": {"cpu": settings.cpu, "requested_memory_mb": 64000, "gpu": 0},
            "sequence": sequence, "born": executor.born});
        let path = format!("/executors/{}", settings.identifier);
        let wait = Duration::from_secs(1);
        net::call(
            settings.registry,
            "PUT",
            "registry",
            &path,
            &body.to_string(),
            wait,
        )
        .await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
}

/// Runs an executor until the process is killed.
pub async fn run(settings: Settings) {
    let log = File::options()
        .create(true)
        .append(true)
        .open(&settings.log)
        .expect("a log file");
    let listener = TcpListener::bind(settings.address)
        .await
        .expect("the executor's port");
    let mut inner = Inner {
        token: 0,
        deadline: 0,
        lapsed: 0,
        runs: BTreeMap::new(),
        last: BTreeMap::new(),
        ends: BTreeMap::new(),
        count: 0,
        sequence: 0,
        log,
    };
    inner.note(json!({"born": settings.identifier}));
    let executor = Arc::new(Executor {
        settings,
        born: wall_ms(),
        clock: Instant::now(),
        inner: Mutex::new(inner),
        ended: Notify::new(),
    });
    let router = Router::new()
        .route("/run-start", post(start))
        .route("/run-stop", post(stop))
        .route("/hold", post(hold))
        .route("/pace", post(|| async { Json(json!({"clock_ms": 0})) }))
        .route("/peek", get(peek))
        .with_state(Arc::clone(&executor));
    tokio::spawn(beat(Arc::clone(&executor)));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            executor.check();
        }
    });
    axum::serve(listener, router).await.expect("serving");
}
