//! A worker that runs tasks under leases.

mod machine;
mod profile;
mod record;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use clap::ArgMatches;
use eyre::Result;
use turmeric_store::PlatformClient;
use turmeric_types::{MonoTime, SplitMixRandom, WallTime};
use turmeric_worker::{
    AttachRequest, RenewRequest, StartRequest, StopKind, StopRequest, StopResponse,
    ThrottleRequest, WorkerStatus,
};

use crate::fault::{FaultPlan, FaultSwitch};
use crate::flags::{capacity, value};
use machine::WorkerMachine;
use profile::KindProfile;
use record::WorkerRecord;

const TICK: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Worker {
    machine: Arc<Mutex<WorkerMachine>>,
    fault: FaultSwitch,
    platform: Arc<PlatformClient>,
    started_at: Instant,
    clock_permille: u64,
}

impl Worker {
    /// Locks the machine and brings it up to the present.
    fn lock(&self) -> MutexGuard<'_, WorkerMachine> {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.advance(self.clock(), wall_time());
        machine
    }

    fn clock(&self) -> MonoTime {
        let micros = self.started_at.elapsed().as_micros() as u64;
        MonoTime::from_micros(micros * self.clock_permille / 1000)
    }
}

/// Draws the number that tells this VM from others of its name.
fn boot_number() -> u32 {
    let seed = wall_time().as_millis() ^ u64::from(std::process::id()) << 32;
    SplitMixRandom::new(seed).next_bits() as u32
}

fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
}

type Answer<T> = Result<Json<T>, (StatusCode, String)>;

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let address: SocketAddr = value(matches, "listen");
    let lag = Duration::from_millis(value(matches, "usage-lag-millis"));
    let machine = WorkerMachine::new(
        value(matches, "name"),
        boot_number(),
        capacity(matches),
        lag,
    );
    let worker = Worker {
        machine: Arc::new(Mutex::new(machine)),
        fault: FaultSwitch::default(),
        platform: Arc::new(PlatformClient::new(value(matches, "platform"))),
        started_at: Instant::now(),
        clock_permille: value(matches, "clock-permille"),
    };
    tokio::spawn(advance_forever(worker.clone()));
    let router = Router::new()
        .route("/v1/worker", get(show_status))
        .route("/v1/attach", post(attach))
        .route("/v1/start", post(start))
        .route("/v1/renew", post(renew))
        .route("/v1/stop", post(stop))
        .route("/v1/throttle", post(throttle))
        .route("/v1/noise", get(show_noise))
        .route("/control", get(show_record).post(set_fault))
        .route("/profiles", post(set_profiles))
        .with_state(worker);
    let listener = tokio::net::TcpListener::bind(address).await?;
    axum::serve(listener, router).await?;
    Ok(())
}

async fn advance_forever(worker: Worker) {
    loop {
        tokio::time::sleep(TICK).await;
        drop(worker.lock());
    }
}

fn conflict(reason: String) -> (StatusCode, String) {
    (StatusCode::CONFLICT, reason)
}

async fn show_status(State(worker): State<Worker>) -> Answer<WorkerStatus> {
    worker.fault.before().await?;
    Ok(Json(worker.lock().status(worker.clock())))
}

async fn attach(
    State(worker): State<Worker>,
    Json(request): Json<AttachRequest>,
) -> Answer<WorkerStatus> {
    worker.fault.before().await?;
    let mut machine = worker.lock();
    machine.attach(request.incarnation).map_err(conflict)?;
    Ok(Json(machine.status(worker.clock())))
}

async fn start(State(worker): State<Worker>, Json(request): Json<StartRequest>) -> Answer<()> {
    worker.fault.before().await?;
    let is_failing = worker.fault.plan().fail_starts;
    worker
        .lock()
        .start(&request, worker.clock(), wall_time(), is_failing)
        .map_err(conflict)?;
    worker.fault.after_write().await;
    Ok(Json(()))
}

async fn renew(State(worker): State<Worker>, Json(request): Json<RenewRequest>) -> Answer<()> {
    worker.fault.before().await?;
    worker
        .lock()
        .renew(&request, wall_time())
        .map_err(conflict)?;
    Ok(Json(()))
}

async fn stop(
    State(worker): State<Worker>,
    Json(request): Json<StopRequest>,
) -> Answer<StopResponse> {
    worker.fault.before().await?;
    if request.kind == StopKind::Checkpoint {
        store_checkpoint(&worker, &request).await?;
    }
    let answer = worker
        .lock()
        .stop(&request, wall_time())
        .map_err(conflict)?;
    worker.fault.after_write().await;
    Ok(Json(answer))
}

/// Stores how far the task has come; it goes on meanwhile.
async fn store_checkpoint(
    worker: &Worker,
    request: &StopRequest,
) -> Result<(), (StatusCode, String)> {
    let Some(done_millis) = worker.lock().progress(request).map_err(conflict)? else {
        return Ok(());
    };
    let name = format!("checkpoint/{}/{}", request.task, request.attempt);
    worker
        .platform
        .put_object(&name, done_millis.to_string().into_bytes())
        .await
        .map_err(|error| conflict(error.to_string()))?;
    worker.lock().checkpoint(request, done_millis);
    Ok(())
}

async fn throttle(
    State(worker): State<Worker>,
    Json(request): Json<ThrottleRequest>,
) -> Answer<()> {
    worker.fault.before().await?;
    worker.lock().throttle(&request).map_err(conflict)?;
    Ok(Json(()))
}

/// Changes what tasks of some kinds really need and do.
async fn set_profiles(
    State(worker): State<Worker>,
    Json(profiles): Json<Vec<KindProfile>>,
) -> StatusCode {
    worker.lock().set_profiles(profiles);
    StatusCode::OK
}

/// Slowdown of the service by batch tasks, in percent.
async fn show_noise(State(worker): State<Worker>) -> Json<u64> {
    Json(worker.lock().noise_percent())
}

async fn show_record(State(worker): State<Worker>) -> Json<WorkerRecord> {
    Json(worker.lock().record().clone())
}

async fn set_fault(State(worker): State<Worker>, Json(plan): Json<FaultPlan>) -> StatusCode {
    worker.fault.set(plan);
    StatusCode::OK
}
