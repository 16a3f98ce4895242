//! The platform's table service and object store.

mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use clap::ArgMatches;
use eyre::Result;
use serde::{Deserialize, Serialize};
use turmeric_store::{RowChange, TableRow};

use crate::fault::{FaultPlan, FaultSwitch};
use crate::flags::value;
use crate::rate::RateBucket;
use table::RowTable;

const OBJECT_LIMIT_BYTES: usize = 64 << 20;

struct PlatformState {
    table: RowTable,
    objects: BTreeMap<String, Bytes>,
    reads: RateBucket,
    writes: RateBucket,
    counts: OperationCounts,
}

/// Operations that the platform has carried out or refused.
#[derive(Clone, Default, Serialize)]
struct OperationCounts {
    reads: u64,
    writes: u64,
    rows_written: u64,
    object_reads: u64,
    object_writes: u64,
    throttled: u64,
    conflicts: u64,
}

#[derive(Clone)]
struct Platform {
    state: Arc<Mutex<PlatformState>>,
    fault: FaultSwitch,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Answer = Result<Response, (StatusCode, String)>;

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let address: SocketAddr = value(matches, "listen");
    let now = Instant::now();
    let platform = Platform {
        state: Arc::new(Mutex::new(PlatformState {
            table: RowTable::default(),
            objects: BTreeMap::new(),
            reads: RateBucket::new(value(matches, "reads-per-second"), now),
            writes: RateBucket::new(value(matches, "writes-per-second"), now),
            counts: OperationCounts::default(),
        })),
        fault: FaultSwitch::default(),
    };
    let router = Router::new()
        .route("/v1/rows", get(list_rows))
        .route("/v1/transaction", post(apply_changes))
        .route(
            "/v1/objects/{*name}",
            get(get_object).put(put_object).delete(delete_object),
        )
        .route("/control", get(show_counts).post(set_fault))
        .layer(DefaultBodyLimit::max(OBJECT_LIMIT_BYTES))
        .with_state(platform);
    let listener = tokio::net::TcpListener::bind(address).await?;
    axum::serve(listener, router).await?;
    Ok(())
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

fn throttled(state: &mut PlatformState) -> (StatusCode, String) {
    state.counts.throttled += 1;
    (StatusCode::TOO_MANY_REQUESTS, "over the rate".to_owned())
}

async fn list_rows(State(platform): State<Platform>, Query(query): Query<PrefixQuery>) -> Answer {
    platform.fault.before().await?;
    let mut state = platform.lock();
    if !state.reads.take(Instant::now()) {
        return Err(throttled(&mut state));
    }
    state.counts.reads += 1;
    let rows: Vec<TableRow> = state.table.list(&query.prefix, &query.after);
    Ok(Json(rows).into_response())
}

async fn apply_changes(
    State(platform): State<Platform>,
    Json(changes): Json<Vec<RowChange>>,
) -> Answer {
    platform.fault.before().await?;
    let answer = {
        let mut state = platform.lock();
        if !state.writes.take(Instant::now()) {
            return Err(throttled(&mut state));
        }
        state.counts.writes += 1;
        match state.table.apply(changes) {
            Ok(tags) => {
                state.counts.rows_written += tags.len() as u64;
                Json(serde_json::json!({ "tags": tags })).into_response()
            }
            Err(key) => {
                state.counts.conflicts += 1;
                let body = Json(serde_json::json!({ "key": key }));
                (StatusCode::CONFLICT, body).into_response()
            }
        }
    };
    platform.fault.after_write().await;
    Ok(answer)
}

async fn get_object(State(platform): State<Platform>, Path(name): Path<String>) -> Answer {
    platform.fault.before().await?;
    let mut state = platform.lock();
    state.counts.object_reads += 1;
    match state.objects.get(&name) {
        Some(content) => Ok(content.clone().into_response()),
        None => Err((StatusCode::NOT_FOUND, "no such object".to_owned())),
    }
}

async fn put_object(
    State(platform): State<Platform>,
    Path(name): Path<String>,
    content: Bytes,
) -> Answer {
    platform.fault.before().await?;
    {
        let mut state = platform.lock();
        state.counts.object_writes += 1;
        state.objects.insert(name, content);
    }
    platform.fault.after_write().await;
    Ok(StatusCode::OK.into_response())
}

async fn delete_object(State(platform): State<Platform>, Path(name): Path<String>) -> Answer {
    platform.fault.before().await?;
    platform.lock().objects.remove(&name);
    Ok(StatusCode::OK.into_response())
}

async fn show_counts(State(platform): State<Platform>) -> Json<OperationCounts> {
    Json(platform.lock().counts.clone())
}

async fn set_fault(State(platform): State<Platform>, Json(plan): Json<FaultPlan>) -> StatusCode {
    platform.fault.set(plan);
    StatusCode::OK
}
