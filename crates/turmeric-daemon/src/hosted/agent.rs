//! An agent on the users' platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eyre::{Result, eyre};
use spdlog::{info, warn};
use tokio::sync::{Notify, watch};
use turmeric_jobs::{AttemptKey, AttemptTable, EndpointIncarnation, HeadroomSample, VmReport};
use turmeric_platform::{CallClient, RegistryHeartbeat, StoreClient, WorkerCalls};
use turmeric_schema::v1;
use turmeric_types::{MonoTime, SplitMixRandom};

use super::ProcessSignals;
use super::leadership::{CALL_TIMEOUT, follow_seat, leader_ref, read_leader};
use super::link::{LinkReader, LinkWriter, connect};
use super::meters::{ProcessMeters, serve_meters};
use super::pacing::NeighbourReadings;
use super::registry::serve_registry;
use super::worker_loop::{run_calls, run_holds};
use crate::clock::ProcessClock;
use crate::config::HostedConfig;

/// Time between two reports when nothing is new.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two reports at the least, so that news share them.
const REPORT_GAP: Duration = Duration::from_millis(20);

/// A leader that has been silent for this long is looked for anew; it answers
/// each report.
const LEADER_SILENCE: Duration = Duration::from_millis(1400);

/// Wait before the leader's row is read again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two readings of the leader's row while another entry may lead.
const DOUBT_INTERVAL: Duration = Duration::from_millis(400);

/// Time for calls in progress when the process is told to stop.
const STOP_TERM: Duration = Duration::from_millis(300);

/// What the tasks of an agent share. The one lock is never held over a wait.
pub(crate) struct AgentState {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) clock: ProcessClock,
    pub(crate) worker: WorkerCalls,
    pub(crate) meters: Arc<ProcessMeters>,
    core: Mutex<AgentCore>,
    /// Something has to be reported.
    pub(crate) news: Notify,
    /// A call to the worker may be due.
    pub(crate) calls: Notify,
    /// The endpoint's life or the fence has changed.
    pub(crate) incarnation: Notify,
}

/// What an agent knows.
#[derive(Debug, Default)]
pub(crate) struct AgentCore {
    pub(crate) table: AttemptTable,
    /// Shares other than the full one that were last ordered, in percent.
    pub(crate) paced: BTreeMap<AttemptKey, u32>,
    /// When readings were last taken in.
    pub(crate) paced_at: MonoTime,
    /// What the worker's tasks do to each other, as last read.
    pub(crate) neighbours: NeighbourReadings,
    /// Number of the newest reading of serving tasks.
    pub(crate) reading_number: u64,
    /// The newest reading, until it is reported.
    pub(crate) headroom: Option<HeadroomSample>,
    /// The fence of this life of the endpoint; zero before one is taken.
    pub(crate) fence: u64,
    pub(crate) reading: Option<turmeric_jobs::ClockReading>,
    /// Latest deadline that the worker may have been given, by its clock.
    pub(crate) deadline_millis: u64,
    heartbeat_sequence: u64,
    /// The worker did not answer the last hold.
    pub(crate) is_silent: bool,
}

impl AgentState {
    /// Locks what the agent knows.
    pub(crate) fn core(&self) -> MutexGuard<'_, AgentCore> {
        self.core
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes in a heartbeat; one that a later one has overtaken is ignored.
    pub(crate) fn take_heartbeat(&self, heartbeat: RegistryHeartbeat) {
        let mut core = self.core();
        let is_same = core.table.incarnation() == Some(&heartbeat.facts.incarnation);
        if is_same && heartbeat.sequence <= core.heartbeat_sequence {
            return;
        }
        let is_draining = heartbeat.facts.is_draining;
        let incarnation = heartbeat.facts.incarnation.clone();
        let is_new = core.table.update_endpoint(heartbeat.facts);
        if core.table.incarnation() == Some(&incarnation) {
            core.heartbeat_sequence = heartbeat.sequence;
        }
        if is_new {
            core.begin_life();
            info!("endpoint has begun a life", kv: { life = incarnation.to_string() });
        }
        drop(core);
        if is_new {
            self.incarnation.notify_one();
        }
        if is_new || is_draining {
            self.news.notify_one();
        }
    }

    /// Takes in that the endpoint has ended.
    pub(crate) fn endpoint_left(&self, endpoint: &str) {
        let mut core = self.core();
        if core
            .table
            .incarnation()
            .is_some_and(|incarnation| incarnation.endpoint == endpoint)
        {
            core.table.set_terminated();
            self.news.notify_one();
        }
    }
}

impl AgentCore {
    /// Forgets what belonged to an earlier life of the endpoint.
    pub(crate) fn begin_life(&mut self) {
        self.paced.clear();
        self.headroom = None;
        self.neighbours = NeighbourReadings::default();
        self.reading = None;
        self.deadline_millis = 0;
        self.is_silent = false;
        self.table.clear_synced();
    }

    /// Returns the life that is held under this agent's fence.
    pub(crate) fn synced_life(&self) -> Option<EndpointIncarnation> {
        self.table
            .is_synced()
            .then(|| self.table.incarnation().cloned())
            .flatten()
    }
}

/// Runs an agent until SIGTERM.
pub(crate) async fn run_agent(config: HostedConfig) -> Result<()> {
    let boot = config.boot;
    let mut signals = ProcessSignals::new()?;
    let registry = boot
        .registry
        .ok_or_else(|| eyre!("no address for heartbeats"))?;
    let endpoint = boot
        .endpoint
        .ok_or_else(|| eyre!("no address of the endpoint"))?;
    let client = CallClient::new();
    let meters = Arc::new(ProcessMeters::new());
    tokio::spawn(serve_meters(config.metrics, Arc::clone(&meters)));
    let state = Arc::new(AgentState {
        meters,
        vm: boot.vm.clone(),
        zone: boot.zone.clone(),
        clock: ProcessClock::new(),
        worker: WorkerCalls::new(client.clone(), endpoint),
        core: Mutex::new(AgentCore::default()),
        news: Notify::new(),
        calls: Notify::new(),
        incarnation: Notify::new(),
    });
    let lease = super::entry::lease_limits(&boot);
    serve_registry(registry, Arc::clone(&state)).await?;
    tokio::spawn(run_holds(Arc::clone(&state), lease));
    tokio::spawn(run_calls(Arc::clone(&state), lease));
    let store = StoreClient::new(client, boot.store);
    tokio::spawn(run_link(Arc::clone(&state), store));
    info!("agent serves", kv: { registry = registry.to_string(), endpoint = endpoint.to_string() });
    signals.terminated().await;
    info!("agent stops: told to");
    state.core().table.set_stopping();
    state.calls.notify_one();
    tokio::time::sleep(STOP_TERM).await;
    info!("agent stopped");
    Ok(())
}

/// Keeps a link to the leader.
async fn run_link(state: Arc<AgentState>, store: StoreClient) {
    let mut random = SplitMixRandom::new(state.clock.wall().as_millis());
    let (seat_sender, seat) = watch::channel(v1::SeatRow::default());
    tokio::spawn(follow_seat(store.clone(), seat_sender));
    let mut known: Option<SocketAddr> = None;
    let mut epoch = 0;
    let mut was_linked = false;
    let mut is_told = false;
    loop {
        if is_told {
            let row = seat.borrow().clone();
            (known, epoch) = (row.address.parse().ok(), row.epoch);
        } else {
            match store.read_one(&leader_ref(), CALL_TIMEOUT).await {
                Ok(Some(row)) => {
                    let leader = read_leader(&row);
                    (known, epoch) = (leader.address.parse().ok(), leader.epoch);
                }
                Ok(None) => {}
                // The last known leader is as good as any while the store is away.
                Err(error) => info!("leader not looked up", kv: { reason = error.to_string() }),
            }
        }
        if let Some(address) = known {
            match connect(address).await {
                Ok((reader, writer)) => {
                    info!("linked to the leader", kv: { address = address.to_string() });
                    was_linked = true;
                    let next = next_seat(seat.clone(), epoch);
                    let ended = keep_link(&state, &store, reader, writer, next).await;
                    warn!("leader lost", kv: { reason = format!("{:#}", ended) });
                }
                Err(error) => {
                    if was_linked {
                        info!("leader not reached", kv: {
                            address = address.to_string(), reason = format!("{error:#}")
                        });
                    }
                }
            }
        }
        let jitter = Duration::from_millis(random.next_below(150) as u64);
        let pause = tokio::time::sleep(SEARCH_INTERVAL + jitter);
        is_told = tokio::select! {
            () = pause => false,
            _ = next_seat(seat.clone(), epoch) => true,
        };
    }
}

/// Waits until a later epoch leads than `epoch`.
async fn next_seat(mut seat: watch::Receiver<v1::SeatRow>, epoch: u64) -> v1::SeatRow {
    let next = seat.wait_for(|row| row.epoch > epoch).await;
    let next = next.map(|row| row.clone());
    match next {
        Ok(row) => row,
        // Its follower runs as long as the process.
        Err(_) => std::future::pending().await,
    }
}

/// Reports and takes orders until the link fails or another entry leads; returns
/// why.
async fn keep_link(
    state: &AgentState,
    store: &StoreClient,
    mut reader: LinkReader,
    mut writer: LinkWriter,
    successor: impl Future<Output = v1::SeatRow>,
) -> eyre::Report {
    let send = async {
        tokio::pin!(successor);
        loop {
            let report = {
                let now = state.clock.now();
                let mut core = state.core();
                let sample = core.headroom.take();
                let held = core.table.attempt_count() as i64;
                state.meters.held_attempts.set(held);
                VmReport {
                    headroom: sample.map(|sample| (core.reading_number, sample)),
                    ..core.table.report(&state.vm, &state.zone, now)
                }
            };
            if let Err(error) = writer.send(&report.write()).await {
                return error;
            }
            tokio::time::sleep(REPORT_GAP).await;
            let news = tokio::time::timeout(REPORT_INTERVAL, state.news.notified());
            let next = tokio::select! {
                _ = news => continue,
                next = &mut successor => next,
            };
            // A leader that the store turns away hears of its successor by this.
            let farewell = v1::VmReport {
                successor: next.callers_address,
                ..v1::VmReport::default()
            };
            return match writer.send(&farewell).await {
                Ok(()) => eyre!("epoch {} leads", next.epoch),
                Err(error) => error,
            };
        }
    };
    let receive = async {
        loop {
            let message = tokio::time::timeout(LEADER_SILENCE, reader.receive::<v1::VmOrders>());
            let orders = match message.await {
                Err(_) => return eyre!("silent for {} ms", LEADER_SILENCE.as_millis()),
                Ok(Err(error)) => return error,
                Ok(Ok(None)) => return eyre!("closed"),
                Ok(Ok(Some(orders))) => orders,
            };
            if let Err(error) = take_orders(state, &orders) {
                return error;
            }
        }
    };
    tokio::select! {
        ended = send => ended,
        ended = receive => ended,
        ended = find_successor(state, store) => ended,
    }
}

/// Waits until another entry leads than the one that the agent follows.
async fn find_successor(state: &AgentState, store: &StoreClient) -> eyre::Report {
    loop {
        tokio::time::sleep(DOUBT_INTERVAL).await;
        if !state.core().table.doubts_leader() {
            continue;
        }
        match store.read_one(&leader_ref(), CALL_TIMEOUT).await {
            Ok(Some(row)) => {
                let epoch = read_leader(&row).epoch;
                if epoch > state.core().table.epoch() {
                    return eyre!("epoch {epoch} leads");
                }
            }
            Ok(None) => {}
            Err(error) => info!("leader not looked up", kv: { reason = error.to_string() }),
        }
    }
}

fn take_orders(state: &AgentState, orders: &v1::VmOrders) -> Result<()> {
    let now = state.clock.now();
    let mut core = state.core();
    let epoch = core.table.epoch();
    let is_taken = core.table.apply_orders(orders, now)?;
    if orders.epoch < epoch {
        return Err(eyre!("epoch {} after {epoch}", orders.epoch));
    }
    drop(core);
    if is_taken {
        state.calls.notify_one();
    }
    Ok(())
}
