//! An executor, as PROTOCOL.md has it: it runs tasks under leases, obeys the highest fencing
//! token, lists what runs and what has ended, and sends pings to the agent beside it.
//!
//! The text of a task is `work=MS cpu=THOUSANDTHS`, or `lasts cpu=THOUSANDTHS`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, call, serve};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// Longest lease, the `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 6000;

const PING_INTERVAL: Duration = Duration::from_millis(1500);

const TICK: Duration = Duration::from_millis(10);

/// Most ends in one answer.
const END_PAGE: usize = 500;

struct Run {
    number: u64,
    cpu: u64,
    /// [`None`] for a task that lasts.
    work: Option<Duration>,
    started_at: Instant,
}

struct End {
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    /// It does not run: it answers nothing and sends nothing.
    is_down: bool,
    /// It is without power: connections to it hang. Else they are closed.
    is_dark: bool,
    born: u64,
    /// Start of this incarnation's clock.
    clock: Option<Instant>,
    fence: u64,
    lease_until: u64,
    sequence: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    last_runs: BTreeMap<String, u64>,
    ends: BTreeMap<u64, End>,
    last_end: u64,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    zone: String,
    rack: String,
    registry: SocketAddr,
    cpu: u64,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Worker {
    pub fn start(
        id: &str,
        listener: TcpListener,
        registry: SocketAddr,
        (zone, rack): (&str, &str),
        cpu: u64,
        record: &Arc<Record>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            registry,
            cpu,
            state: Mutex::new(State {
                born: unix_millis(),
                clock: Some(Instant::now()),
                ..State::default()
            }),
            ended: Condvar::new(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&worker);
        serve(listener, Arc::new(move |request| shared.handle(request)));
        let shared = Arc::clone(&worker);
        thread::spawn(move || shared.send_pings());
        let shared = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                shared.end_due();
            }
        });
        worker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Crashes: all that runs is lost, and nothing is answered any more. Connections hang if the
    /// executor is without power, and are closed if not.
    pub fn crash(&self, is_dark: bool) {
        let mut state = self.state();
        for (task, run) in &state.running {
            let number = run.number;
            self.record.note(format!(
                "lost {task} run {number} on {}: it crashed",
                self.id
            ));
        }
        *state = State {
            is_down: true,
            is_dark,
            born: state.born,
            ..State::default()
        };
        drop(state);
        self.ended.notify_all();
        self.record.note(format!("executor {} crashes", self.id));
    }

    /// Starts again under the same identifier.
    pub fn restart(&self) {
        let mut state = self.state();
        *state = State {
            born: unix_millis().max(state.born + 1),
            clock: Some(Instant::now()),
            ..State::default()
        };
        drop(state);
        self.record.note(format!("executor {} is back", self.id));
    }

    /// Lets the first run of a job's tasks fail.
    pub fn fail_one(&self, job: &str) {
        let mut state = self.state();
        let chosen = state.running.keys().find(|task| task.starts_with(job));
        if let Some(task) = chosen.cloned() {
            self.end(&mut state, &task, "failed");
        }
    }

    /// Describes the capacity that no run uses.
    pub fn room(&self) -> String {
        let state = self.state();
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        format!("{} {} of {}", self.id, self.cpu - used, self.cpu)
    }

    pub fn running(&self) -> usize {
        self.state().running.len()
    }

    fn send_pings(&self) {
        loop {
            let body = {
                let mut state = self.state();
                state.sequence += 1;
                let capacity = object([
                    ("cpu", number(self.cpu)),
                    ("requested_memory_mb", number(64_000)),
                    ("gpu", number(0)),
                ]);
                let body = object([
                    ("service", text("svc")),
                    ("address", text(self.address.to_string())),
                    ("zone", text(&*self.zone)),
                    ("version", text("v1")),
                    ("slots", number(8)),
                    ("state", text("ready")),
                    ("cold_remaining_ms", number(0)),
                    ("capacity", capacity),
                    ("labels", Json::List(vec![text("a"), text(&*self.rack)])),
                    ("clock_ms", number(state.clock_ms())),
                    ("sequence", number(state.sequence)),
                    ("born", number(state.born)),
                ]);
                (!state.is_down).then(|| body.write())
            };
            if let Some(body) = body {
                let path = format!("/executors/{}", self.id);
                let timeout = Duration::from_secs(1);
                call(self.registry, "PUT", &path, "registry", &body, timeout);
                thread::sleep(PING_INTERVAL);
            } else {
                thread::sleep(TICK);
            }
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        if let Some(reply) = self.state().lost_reply() {
            return reply;
        }
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Reply::Answer(421, self.answer([]));
        }
        let Some(body) = Json::read(&request.body) else {
            return Reply::Answer(400, self.answer([]));
        };
        let (status, body) = match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            "/pace" => (200, self.answer([])),
            _ => (404, self.answer([])),
        };
        // An answer of an executor that has crashed meanwhile is not sent.
        if let Some(reply) = self.state().lost_reply() {
            return reply;
        }
        Reply::Answer(status, body)
    }

    fn answer<const N: usize>(&self, fields: [(&str, Json); N]) -> String {
        self.state().answer(fields)
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        if !state.accept_fence(body) {
            return (409, state.answer([("reason", text("fence"))]));
        }
        let task = body.get("task").as_text().to_owned();
        let run = body.get("run").as_u64().unwrap_or(0);
        let spec = body.get("task_spec").as_text();
        if state
            .running
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return (200, state.answer([]));
        }
        let last = state.last_runs.get(&task).copied().unwrap_or(0);
        if run <= last || state.running.contains_key(&task) {
            state.renew(body);
            return (409, state.answer([("reason", text("old"))]));
        }
        let deadline = body.get("deadline_ms").as_u64().unwrap_or(0);
        if deadline <= state.clock_ms() {
            return (409, state.answer([("reason", text("late"))]));
        }
        let field = |name: &str| {
            let fields = spec.split(' ').filter_map(|field| field.split_once('='));
            let mut values = fields.filter(|(field, _)| *field == name);
            values
                .next()
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let cpu = field("cpu").unwrap_or(0);
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        state.renew(body);
        if used + cpu > self.cpu {
            return (409, state.answer([("reason", text("room"))]));
        }
        let run = Run {
            number: run,
            cpu,
            work: field("work").map(Duration::from_millis),
            started_at: Instant::now(),
        };
        self.record.start(&task, run.number, &self.id);
        state.running.insert(task, run);
        (200, state.answer([]))
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        if !state.accept_fence(body) {
            return (409, state.answer([("reason", text("fence"))]));
        }
        let task = body.get("task").as_text().to_owned();
        let run = body.get("run").as_u64().unwrap_or(0);
        let last = state.last_runs.entry(task.clone()).or_default();
        *last = (*last).max(run);
        if state
            .running
            .get(&task)
            .is_some_and(|known| known.number <= run)
        {
            self.end(&mut state, &task, "stopped");
        }
        (200, state.answer([]))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait = body.get("wait_ms").as_u64().unwrap_or(0).min(2000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        if !state.accept_fence(body) {
            return (409, state.answer([("reason", text("fence"))]));
        }
        let seen = body.get("last_seen").as_u64().unwrap_or(0);
        state.ends = state.ends.split_off(&(seen + 1));
        state.renew(body);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() || state.is_down {
                break;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let elapsed = run.started_at.elapsed().as_millis() as u64;
            let percent = run
                .work
                .map_or(100, |work| elapsed * 100 / work.as_millis() as u64);
            Json::List(vec![
                text(&**task),
                number(run.number),
                text(""),
                number(percent.min(100)),
                number(run.cpu),
            ])
        });
        let ended = state.ends.iter().take(END_PAGE).map(|(number_of, end)| {
            Json::List(vec![
                number(*number_of),
                text(&*end.task),
                number(end.run),
                text(end.how),
                text(""),
            ])
        });
        let lists = [
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ];
        (200, state.answer(lists))
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let last = state.last_runs.entry(task.to_owned()).or_default();
        *last = (*last).max(run.number);
        state.last_end += 1;
        let end = End {
            task: task.to_owned(),
            run: run.number,
            how,
        };
        self.record.note(format!(
            "end {task} run {} on {}: {how}",
            run.number, self.id
        ));
        state.ends.insert(state.last_end, end);
        self.ended.notify_all();
    }

    fn end_due(&self) {
        let mut state = self.state();
        if state.is_down {
            return;
        }
        let has_lapsed = state.clock_ms() >= state.lease_until;
        let due = state.running.iter().filter_map(|(task, run)| {
            let is_finished = run
                .work
                .is_some_and(|work| run.started_at.elapsed() >= work);
            match (has_lapsed, is_finished) {
                (true, _) => Some((task.clone(), "lapsed")),
                (false, true) => Some((task.clone(), "done")),
                (false, false) => None,
            }
        });
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }
}

impl State {
    /// Returns what becomes of a call to an executor that does not run.
    fn lost_reply(&self) -> Option<Reply> {
        match (self.is_down, self.is_dark) {
            (false, _) => None,
            (true, false) => Some(Reply::Close),
            (true, true) => Some(Reply::Silence),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock
            .map_or(0, |start| start.elapsed().as_millis() as u64)
    }

    fn accept_fence(&mut self, body: &Json) -> bool {
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        let is_accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_accepted
    }

    fn renew(&mut self, body: &Json) {
        let deadline = body.get("deadline_ms").as_u64().unwrap_or(0);
        let deadline = deadline.min(self.clock_ms() + MAX_HOLD_MS);
        self.lease_until = self.lease_until.max(deadline);
    }

    fn answer<const N: usize>(&self, fields: [(&str, Json); N]) -> String {
        let Json::Object(mut fields) = object(fields) else {
            return "{}".to_owned();
        };
        fields.push(("clock_ms".to_owned(), number(self.clock_ms())));
        fields.push(("born".to_owned(), number(self.born)));
        Json::Object(fields).write()
    }
}
