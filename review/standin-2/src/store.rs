//! The platform's metadata store, with the limits that the pages give: entries and bytes of a
//! call, bytes of a row, one transaction of a part at a time, a bounded history.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// `transaction_ms` of the settings.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);
/// `row_bytes` of the settings.
pub const ROW_BYTES: usize = 65536;
/// Most entries of a call.
const ENTRY_LIMIT: usize = 100;
/// Most bytes of a call.
const CALL_BYTES: usize = 1 << 20;
/// Most rows of a response.
const PAGE_ROWS: usize = 500;
/// Most bytes of values in a response.
const PAGE_BYTES: usize = 1 << 20;
/// `history_s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    version: u64,
    /// Base64 text; [`None`] for a removed row.
    value: Option<String>,
}

#[derive(Default)]
struct Inner {
    is_down: bool,
    version: u64,
    rows: BTreeMap<Key, Row>,
    history: VecDeque<(u64, Instant, Vec<Key>)>,
    /// Newest version that is no longer in the history.
    dropped: u64,
    busy_until: HashMap<String, Instant>,
    refused: BTreeMap<String, u64>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Inner {
    fn present(&self, key: &Key) -> Option<&Row> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) -> u64 {
        self.version += 1;
        let version = self.version;
        let keys = changes.iter().map(|(key, _)| key.clone()).collect();
        for (key, value) in changes {
            self.rows.insert(key, Row { version, value });
        }
        self.history.push_back((version, Instant::now(), keys));
        while let Some((version, at, _)) = self.history.front() {
            if at.elapsed() < HISTORY {
                break;
            }
            self.dropped = *version;
            self.history.pop_front();
        }
        version
    }
}

fn write_row(key: &Key, row: &Row) -> Value {
    match &row.value {
        Some(value) => json!({"table": key.0, "part": key.1, "key": key.2,
            "row_version": row.version, "value": value}),
        None => json!({"table": key.0, "part": key.1, "key": key.2,
            "row_version": row.version, "tombstone": true}),
    }
}

fn read_key(entry: &Value) -> Option<Key> {
    let text = |name: &str| Some(entry.get(name)?.as_str()?.to_owned());
    Some((
        text("table")?,
        text("part").unwrap_or_default(),
        text("key")?,
    ))
}

impl Store {
    /// Serves the store at `address`.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).await.expect("the store's port");
        let router = Router::new()
            .route("/rows-tx", post(transact))
            .route("/rows-get", get(read))
            .route("/rows-feed", get(feed))
            .layer(axum::extract::DefaultBodyLimit::max(8 << 20))
            .with_state(Arc::clone(self));
        tokio::spawn(async move { axum::serve(listener, router).await });
    }

    /// Makes the store answer every call with 503, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.inner.lock().unwrap().is_down = is_down;
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let text = STANDARD.encode(value.to_string());
        self.inner.lock().unwrap().apply(vec![(key, Some(text))]);
        self.changed.notify_waiters();
    }

    /// Discards the history; a feed that is behind gets 410.
    pub fn discard_history(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        inner.dropped = inner.version;
        inner.history.clear();
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Returns how many calls were refused, by reason.
    pub fn refused(&self) -> BTreeMap<String, u64> {
        self.inner.lock().unwrap().refused.clone()
    }

    fn refuse(&self, status: StatusCode, reason: String) -> Response {
        *self
            .inner
            .lock()
            .unwrap()
            .refused
            .entry(reason.clone())
            .or_default() += 1;
        (status, Json(json!({"reason": reason}))).into_response()
    }

    fn is_down(&self) -> bool {
        self.inner.lock().unwrap().is_down
    }
}

async fn transact(State(store): State<Arc<Store>>, body: Bytes) -> Response {
    if store.is_down() {
        return store.refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store is down".to_owned(),
        );
    }
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return store.refuse(StatusCode::BAD_REQUEST, "the body is not JSON".to_owned());
    };
    let list = |name: &str| {
        call.get(name)
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default()
    };
    let (expect, puts, remove) = (list("expect"), list("puts"), list("remove"));
    if expect.len() + puts.len() + remove.len() > ENTRY_LIMIT || body.len() > CALL_BYTES {
        let reason = format!("a call has more than {ENTRY_LIMIT} entries or {CALL_BYTES} bytes");
        return store.refuse(StatusCode::BAD_REQUEST, reason);
    }
    let mut changes: Vec<(Key, Option<String>)> = Vec::new();
    // A call that can never be accepted is refused before its conditions are looked at, as RFC 9110
    // (13.2.1) has it for requests with preconditions.
    for entry in &puts {
        let value = entry
            .get("value")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let length = STANDARD.decode(value).map_or(0, |bytes| bytes.len());
        let Some(key) = read_key(entry) else {
            return store.refuse(StatusCode::BAD_REQUEST, "an entry names no row".to_owned());
        };
        if length > ROW_BYTES {
            let reason = format!("a row of table {} has more than {ROW_BYTES} bytes", key.0);
            return store.refuse(StatusCode::BAD_REQUEST, reason);
        }
        changes.push((key, Some(value.to_owned())));
    }
    changes.extend(remove.iter().filter_map(read_key).map(|key| (key, None)));
    let mut parts: Vec<String> = changes.iter().map(|(key, _)| key.1.clone()).collect();
    parts.extend(expect.iter().filter_map(read_key).map(|key| key.1));
    parts.sort();
    parts.dedup();
    if parts.len() > 1 && call.get("across") != Some(&Value::Bool(true)) {
        return store.refuse(
            StatusCode::BAD_REQUEST,
            "several parts without across".to_owned(),
        );
    }
    let end = {
        let mut inner = store.inner.lock().unwrap();
        let now = Instant::now();
        let begin = parts
            .iter()
            .filter_map(|part| inner.busy_until.get(part))
            .max();
        let begin = begin.copied().unwrap_or(now).max(now);
        if begin.duration_since(now) > Duration::from_secs(1) {
            drop(inner);
            return store.refuse(StatusCode::TOO_MANY_REQUESTS, "a part is busy".to_owned());
        }
        let end = begin + TRANSACTION_TIME * if parts.len() > 1 { 2 } else { 1 };
        for part in parts {
            inner.busy_until.insert(part, end);
        }
        end
    };
    tokio::time::sleep_until(end.into()).await;
    let mut inner = store.inner.lock().unwrap();
    if inner.is_down {
        drop(inner);
        return store.refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store is down".to_owned(),
        );
    }
    let is_met = expect.iter().all(|entry| {
        let wanted = entry
            .get("row_version")
            .and_then(Value::as_u64)
            .unwrap_or(0);
        let key = read_key(entry).unwrap_or_default();
        inner.present(&key).map_or(0, |row| row.version) == wanted
    });
    if !is_met {
        let rows: Vec<Value> = expect
            .iter()
            .filter_map(read_key)
            .filter_map(|key| Some(write_row(&key, inner.present(&key)?)))
            .collect();
        let answer = json!({"rows": rows, "row_version": inner.version});
        return (StatusCode::PRECONDITION_FAILED, Json(answer)).into_response();
    }
    let version = inner.apply(changes);
    drop(inner);
    store.changed.notify_waiters();
    Json(json!({"row_version": version})).into_response()
}

async fn read(
    State(store): State<Arc<Store>>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    tokio::time::sleep(TRANSACTION_TIME).await;
    if store.is_down() {
        return store.refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store is down".to_owned(),
        );
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, to) = (text("table"), text("part"), query.get("to"));
    let from = (table.clone(), part.clone(), text("from"));
    let inner = store.inner.lock().unwrap();
    let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (key, row) in inner.rows.range(from..) {
        if key.0 != table || key.1 != part || to.is_some_and(|to| key.2 >= *to) {
            break;
        }
        let Some(value) = &row.value else { continue };
        if rows.len() == PAGE_ROWS || (bytes + value.len() > PAGE_BYTES && !rows.is_empty()) {
            has_more = true;
            break;
        }
        bytes += value.len();
        rows.push(write_row(key, row));
    }
    Json(json!({"rows": rows, "has_more": has_more, "row_version": inner.version})).into_response()
}

async fn feed(
    State(store): State<Arc<Store>>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    tokio::time::sleep(TRANSACTION_TIME).await;
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
    let table = query.get("table").cloned().unwrap_or_default();
    let end = tokio::time::Instant::now() + Duration::from_millis(wait);
    loop {
        let changed = store.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if store.is_down() {
            return store.refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the store is down".to_owned(),
            );
        }
        let (rows, version) = {
            let inner = store.inner.lock().unwrap();
            if after < inner.dropped {
                return StatusCode::GONE.into_response();
            }
            let mut rows: BTreeMap<(u64, &Key), Value> = BTreeMap::new();
            for (_, _, keys) in inner
                .history
                .iter()
                .filter(|(version, _, _)| *version > after)
            {
                for key in keys.iter().filter(|key| key.0 == table) {
                    let row = &inner.rows[key];
                    rows.insert((row.version, key), write_row(key, row));
                }
            }
            (rows.into_values().collect::<Vec<_>>(), inner.version)
        };
        if !rows.is_empty() || tokio::time::timeout_at(end, changed).await.is_err() {
            return Json(json!({"rows": rows, "row_version": version})).into_response();
        }
    }
}
