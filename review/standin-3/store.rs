//! The platform's store: versioned rows, transactions and a change feed, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, number, object, text};

/// Time that a transaction or a read takes.
const CALL_TIME: Duration = Duration::from_millis(3);

/// Most rows in one response.
const PAGE_LIMIT: usize = 500;

type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    version: u64,
    /// [`None`] after the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowName, Row>,
    /// Names of the changed rows, by version.
    history: BTreeMap<u64, Vec<RowName>>,
}

/// What becomes of a transaction that reaches the store.
pub enum Fate {
    Answered,
    /// It is done after this time if its condition still holds, and is not answered.
    DoneLate(Duration),
}

type FateChoice = Box<dyn Fn(&str) -> Fate + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    fate: FateChoice,
    /// Number of the last time at which open connections went silent.
    silences: AtomicU64,
}

impl Store {
    /// Serves a store on `listener`; `fate` is asked about the body of each transaction.
    pub fn start(listener: TcpListener, fate: FateChoice) -> (Arc<Store>, SocketAddr) {
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            fate,
            silences: AtomicU64::new(0),
        });
        let shared = Arc::clone(&store);
        serve(listener, Arc::new(move |request| shared.handle(request)));
        (store, address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = encode_base64(value.as_bytes());
        self.state().write(vec![(name, Some(value))]);
        self.changed.notify_all();
    }

    /// Lets the connections go silent on which a reader waits for changes. New ones work.
    pub fn silence_readers(&self) {
        let _state = self.state();
        self.silences.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_all();
    }

    fn clock(&self) -> Json {
        number(self.started_at.elapsed().as_millis() as u64)
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Answer(400, "{}".to_owned()),
        }
    }

    fn transact(self: &Arc<Self>, body: &str) -> Reply {
        match (self.fate)(body) {
            Fate::Answered => {
                thread::sleep(CALL_TIME);
                let (status, body) = self.apply(body);
                Reply::Answer(status, body)
            }
            Fate::DoneLate(delay) => {
                let store = Arc::clone(self);
                let body = body.to_owned();
                thread::spawn(move || {
                    thread::sleep(delay);
                    store.apply(&body);
                });
                Reply::Silence
            }
        }
    }

    fn apply(&self, body: &str) -> (u16, String) {
        let Some(request) = Json::read(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state();
        let expected = request.get("expect").items();
        let holds = expected.iter().all(|row| {
            let version = row.get("row_version").as_u64().unwrap_or(0);
            state.version_of(&name_of(row)) == version
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let name = name_of(row);
                let row = state.rows.get(&name)?;
                row.value.is_some().then(|| write_row(&name, row))
            });
            let body = object([
                ("rows", Json::List(rows.collect())),
                ("row_version", number(state.version)),
                ("current_time_ms", self.clock()),
            ]);
            return (412, body.write());
        }
        let puts = request.get("puts").items().iter();
        let puts = puts.map(|row| (name_of(row), Some(row.get("value").as_text().to_owned())));
        let removed = request.get("remove").items().iter();
        let removed = removed.map(|row| (name_of(row), None));
        let changes = puts.chain(removed).collect();
        state.write(changes);
        let body = object([
            ("row_version", number(state.version)),
            ("current_time_ms", self.clock()),
        ]);
        drop(state);
        self.changed.notify_all();
        (200, body.write())
    }

    fn read(&self, request: &Request) -> Reply {
        thread::sleep(CALL_TIME);
        let field = |name| request.query(name).unwrap_or_default().to_owned();
        let (table, part) = (field("table"), field("part"));
        let limit = request.query("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(PAGE_LIMIT).min(PAGE_LIMIT);
        let state = self.state();
        let first = (table.clone(), part.clone(), field("from"));
        let rows = state.rows.range(first..);
        let rows = rows.take_while(|(name, _)| {
            let is_before_end = request.query("to").is_none_or(|to| name.2.as_str() < to);
            name.0 == table && name.1 == part && is_before_end
        });
        let mut rows = rows.filter(|(_, row)| row.value.is_some());
        let page: Vec<Json> = rows
            .by_ref()
            .take(limit)
            .map(|(n, r)| write_row(n, r))
            .collect();
        let has_more = rows.next().is_some();
        let body = object([
            ("rows", Json::List(page)),
            ("has_more", Json::Bool(has_more)),
            ("row_version", number(state.version)),
            ("current_time_ms", self.clock()),
        ]);
        Reply::Answer(200, body.write())
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.query("table").unwrap_or_default().to_owned();
        let field = |name| {
            request
                .query(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let after = field("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(field("wait_ms").unwrap_or(0));
        let mut state = self.state();
        let silences = self.silences.load(Ordering::Relaxed);
        loop {
            if self.silences.load(Ordering::Relaxed) != silences {
                return Reply::Silence;
            }
            let mut rows: BTreeMap<u64, Vec<Json>> = BTreeMap::new();
            for (version, names) in state.history.range(after + 1..) {
                for name in names.iter().filter(|name| name.0 == table) {
                    // A row that has changed again since is listed at its newest version.
                    if let Some(row) = state.rows.get(name)
                        && row.version == *version
                    {
                        rows.entry(*version).or_default().push(write_row(name, row));
                    }
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = object([
                    ("rows", Json::List(rows.into_values().flatten().collect())),
                    ("row_version", number(state.version)),
                    ("current_time_ms", self.clock()),
                ]);
                return Reply::Answer(200, body.write());
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn version_of(&self, name: &RowName) -> u64 {
        let row = self.rows.get(name).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn write(&mut self, changes: Vec<(RowName, Option<String>)>) {
        self.version += 1;
        let version = self.version;
        let names = changes.iter().map(|(name, _)| name.clone()).collect();
        for (name, value) in changes {
            self.rows.insert(name, Row { version, value });
        }
        self.history.insert(version, names);
    }
}

fn name_of(row: &Json) -> RowName {
    let field = |name| row.get(name).as_text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn write_row(name: &RowName, row: &Row) -> Json {
    let mut fields = vec![
        ("table".to_owned(), text(&*name.0)),
        ("part".to_owned(), text(&*name.1)),
        ("key".to_owned(), text(&*name.2)),
        ("row_version".to_owned(), number(row.version)),
    ];
    fields.push(match &row.value {
        Some(value) => ("value".to_owned(), text(&**value)),
        None => ("tombstone".to_owned(), Json::Bool(true)),
    });
    Json::Object(fields)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
