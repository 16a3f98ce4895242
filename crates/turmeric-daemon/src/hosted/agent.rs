//! An agent on the users' platform: reports the state of its worker to the leader and carries
//! out the leader's orders.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eyre::{Result, eyre};
use spdlog::{info, warn};
use tokio::sync::{Notify, watch};
use turmeric_jobs::{
    AttemptTable, EndpointIncarnation, HeadroomSample, HeartbeatVerdict, LeaseLimits, PolicySet,
    VmReport, WorkerLease,
};
use turmeric_platform::{CallClient, RegistryHeartbeat, StoreClient, WorkerCalls};
use turmeric_schema::v1;
use turmeric_types::{MonoTime, SplitMixRandom};

use super::ProcessSignals;
use super::leadership::{CALL_TIMEOUT, follow_leadership, leader_ref, read_leader};
use super::link::{LinkReader, LinkWriter, connect};
use super::metrics::{ProcessMetrics, serve_metrics};
use super::pacing::{NeighbourMeasurements, PacingBasis};
use super::registry::serve_registry;
use super::worker_loop::{run_commands, run_worker_polls};
use crate::clock::ProcessClock;
use crate::config::HostedConfig;

/// Time between two reports when nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two reports, so that changes are batched.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// The agent looks up the leader again when it has received nothing for this long; the leader
/// answers each report.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1400);

/// Wait before the leader is looked up again, without jitter.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two reads of the leader's row while another entry may have taken over.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for calls in flight to finish after SIGTERM.
const STOP_GRACE: Duration = Duration::from_millis(300);

/// State that the asynchronous tasks of an agent share. The lock is never held across an
/// await.
pub(crate) struct AgentState {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) clock: ProcessClock,
    pub(crate) worker: WorkerCalls,
    pub(crate) metrics: Arc<ProcessMetrics>,
    pub(crate) lease_limits: LeaseLimits,
    core: Mutex<AgentCore>,
    /// Notified when a report should be sent without waiting for the interval.
    pub(crate) report_due: Notify,
    /// Notified when a command to the worker may be due.
    pub(crate) command_due: Notify,
    /// Notified when a new incarnation of the endpoint has registered.
    pub(crate) incarnation_changed: Notify,
}

/// The part of an agent's state that its lock guards.
#[derive(Debug, Default)]
pub(crate) struct AgentCore {
    pub(crate) policies: PolicySet,
    pub(crate) table: AttemptTable,
    /// When the worker's measurements were last processed.
    pub(crate) measured_at: MonoTime,
    /// Interference between the worker's tasks, as last measured.
    pub(crate) neighbours: NeighbourMeasurements,
    /// What the shares are chosen from, as last logged.
    pub(crate) pacing_basis: PacingBasis,
    /// Number of the newest headroom sample.
    pub(crate) measurement_number: u64,
    /// The newest headroom sample, until it is reported.
    pub(crate) headroom: Option<HeadroomSample>,
    /// Fencing token that this agent uses at the worker; zero before it has chosen one.
    pub(crate) fence: u64,
    /// The leases at the worker in this incarnation.
    pub(crate) lease: WorkerLease,
    /// The worker did not answer the last long poll.
    pub(crate) is_unresponsive: bool,
}

impl AgentState {
    /// Locks the guarded state.
    pub(crate) fn core(&self) -> MutexGuard<'_, AgentCore> {
        self.core
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Applies a heartbeat of the endpoint.
    pub(crate) fn apply_heartbeat(&self, heartbeat: RegistryHeartbeat) {
        let is_draining = heartbeat.info.is_draining;
        let incarnation = heartbeat.info.incarnation.to_string();
        let mut core = self.core();
        let verdict = core
            .table
            .handle_heartbeat(heartbeat.info, heartbeat.sequence);
        if verdict == HeartbeatVerdict::Registered {
            core.begin_incarnation();
        }
        drop(core);
        match verdict {
            HeartbeatVerdict::Registered => {
                self.incarnation_changed.notify_one();
                self.report_due.notify_one();
            }
            HeartbeatVerdict::Applied if is_draining => self.report_due.notify_one(),
            HeartbeatVerdict::Unconfirmed { is_first: true } => {
                info!("a heartbeat names another incarnation; the worker is asked", kv: {
                    life = incarnation
                });
            }
            HeartbeatVerdict::Odd { reason } => {
                warn!("heartbeat ignored", kv: { endpoint = incarnation, reason = reason });
            }
            HeartbeatVerdict::Applied
            | HeartbeatVerdict::Late
            | HeartbeatVerdict::Unconfirmed { is_first: false } => {}
        }
    }

    /// Records that the endpoint has deregistered. Its attempts end when it stops to answer.
    pub(crate) fn record_deregistration(&self, endpoint: &str) {
        let mut core = self.core();
        if core
            .table
            .incarnation()
            .is_some_and(|incarnation| incarnation.endpoint == endpoint)
        {
            core.table.announce_departure();
            self.report_due.notify_one();
        }
    }
}

impl AgentCore {
    /// Discards the state of the endpoint's earlier incarnation.
    pub(crate) fn begin_incarnation(&mut self) {
        let incarnation = self.table.incarnation().map(ToString::to_string);
        info!("endpoint started a new incarnation", kv: { life = incarnation.unwrap_or_default() });
        self.headroom = None;
        self.neighbours = NeighbourMeasurements::default();
        self.lease = self.lease.next_incarnation();
        self.is_unresponsive = false;
        self.table.clear_synced();
    }

    /// Returns the endpoint's incarnation if its worker has accepted this agent's fencing token.
    pub(crate) fn synced_incarnation(&self) -> Option<EndpointIncarnation> {
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
    let registry = boot.registry.ok_or_else(|| {
        eyre!("the platform's settings have no address for heartbeats of the endpoint")
    })?;
    let endpoint = boot
        .endpoint
        .ok_or_else(|| eyre!("the platform's settings have no address of the endpoint"))?;
    let client = CallClient::new();
    let metrics = Arc::new(ProcessMetrics::new());
    let clock = ProcessClock::new();
    tokio::spawn(serve_metrics(config.metrics, Arc::clone(&metrics), clock));
    let lease = super::entry::lease_limits(&boot);
    let state = Arc::new(AgentState {
        metrics,
        lease_limits: lease,
        vm: boot.vm.clone(),
        zone: boot.zone.clone(),
        clock,
        worker: WorkerCalls::new(client.clone(), endpoint),
        core: Mutex::new(AgentCore {
            policies: config.policies,
            ..AgentCore::default()
        }),
        report_due: Notify::new(),
        command_due: Notify::new(),
        incarnation_changed: Notify::new(),
    });
    serve_registry(registry, Arc::clone(&state)).await?;
    tokio::spawn(run_worker_polls(Arc::clone(&state), lease));
    tokio::spawn(run_commands(Arc::clone(&state), lease));
    let store = StoreClient::new(client, boot.store);
    tokio::spawn(maintain_link(Arc::clone(&state), store));
    info!("agent is serving", kv: {
        registry = registry.to_string(), endpoint = endpoint.to_string()
    });
    signals.terminated().await;
    let lease_left = state.core().lease.remaining(state.clock.now());
    info!("agent is stopping after SIGTERM", kv: {
        lease_left_ms = lease_left.unwrap_or_default().as_millis() as u64
    });
    state.core().table.set_stopping();
    state.report_due.notify_one();
    state.command_due.notify_one();
    tokio::time::sleep(STOP_GRACE).await;
    info!("agent stopped");
    Ok(())
}

/// Looks up the leader, connects to it and exchanges messages, in a loop until the
/// process ends.
async fn maintain_link(state: Arc<AgentState>, store: StoreClient) {
    let mut random = SplitMixRandom::new(state.clock.wall().as_millis());
    let (leadership_sender, leadership) = watch::channel(v1::SeatRow::default());
    tokio::spawn(follow_leadership(store.clone(), leadership_sender));
    let mut leader_address: Option<SocketAddr> = None;
    let mut epoch = 0;
    let mut was_linked = false;
    let mut is_notified = false;
    loop {
        if is_notified {
            let row = leadership.borrow().clone();
            (leader_address, epoch) = (row.address.parse().ok(), row.epoch);
        } else {
            match store.read_one(&leader_ref(), CALL_TIMEOUT).await {
                Ok(Some(row)) => {
                    let leader = read_leader(&row);
                    (leader_address, epoch) = (leader.address.parse().ok(), leader.epoch);
                }
                Ok(None) => {}
                // The last known leader is tried again while the store is unreachable.
                Err(error) => {
                    info!("looking up the leader failed", kv: { reason = error.to_string() })
                }
            }
        }
        if let Some(address) = leader_address {
            match connect(address).await {
                Ok((reader, writer)) => {
                    info!("connected to the leader", kv: { address = address.to_string() });
                    was_linked = true;
                    let next = next_leadership(leadership.clone(), epoch);
                    let ended = exchange_messages(&state, &store, reader, writer, next).await;
                    warn!("connection to the leader ended", kv: {
                        reason = format!("{:#}", ended)
                    });
                }
                Err(error) => {
                    if was_linked {
                        info!("connecting to the leader failed", kv: {
                            address = address.to_string(), reason = format!("{error:#}")
                        });
                    }
                }
            }
        }
        let jitter = Duration::from_millis(random.next_below(150) as u64);
        let pause = tokio::time::sleep(LOOKUP_INTERVAL + jitter);
        is_notified = tokio::select! {
            () = pause => false,
            _ = next_leadership(leadership.clone(), epoch) => true,
        };
    }
}

/// Waits until the store announces a leader of a later epoch than `epoch`.
async fn next_leadership(mut leadership: watch::Receiver<v1::SeatRow>, epoch: u64) -> v1::SeatRow {
    let next = leadership.wait_for(|row| row.epoch > epoch).await;
    let next = next.map(|row| row.clone());
    match next {
        Ok(row) => row,
        // The sender is dropped only when the process shuts down.
        Err(_) => std::future::pending().await,
    }
}

/// Sends reports and applies orders until the connection fails or another entry takes over.
///
/// Returns the reason.
async fn exchange_messages(
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
                state.metrics.held_attempts.set(held);
                let grant = core.table.grant();
                let (limits, is_unresponsive) = (&state.lease_limits, core.is_unresponsive);
                let lease_wait = core.lease.wait(limits, grant, is_unresponsive, now);
                let own_wait = core.lease.own_wait(limits, grant, is_unresponsive, now);
                VmReport {
                    lease_wait: Some(lease_wait),
                    own_lease_wait: Some(own_wait),
                    headroom: sample.map(|sample| (core.measurement_number, sample)),
                    is_unresponsive: core.is_unresponsive,
                    ..core.table.report(&state.vm, &state.zone, now)
                }
            };
            if let Err(error) = writer.send(&report.write()).await {
                return error;
            }
            tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            let timer = tokio::time::timeout(REPORT_INTERVAL, state.report_due.notified());
            let next = tokio::select! {
                _ = timer => continue,
                next = &mut successor => next,
            };
            // Names the successor to a leader that cannot reach the store.
            let notice = v1::VmReport {
                epoch: next.epoch,
                successor: next.callers_address,
                ..v1::VmReport::default()
            };
            return match writer.send(&notice).await {
                Ok(()) => eyre!("another entry leads in epoch {}", next.epoch),
                Err(error) => error,
            };
        }
    };
    let receive = async {
        loop {
            let message = tokio::time::timeout(LEADER_TIMEOUT, reader.receive::<v1::VmOrders>());
            let orders = match message.await {
                Err(_) => {
                    return eyre!(
                        "the leader sent nothing for {} ms",
                        LEADER_TIMEOUT.as_millis()
                    );
                }
                Ok(Err(error)) => return error,
                Ok(Ok(None)) => return eyre!("the leader closed the connection"),
                Ok(Ok(Some(orders))) => orders,
            };
            if let Err(error) = apply_orders(state, &orders) {
                return error;
            }
        }
    };
    tokio::select! {
        ended = send => ended,
        ended = receive => ended,
        ended = detect_successor(state, store) => ended,
    }
}

/// Waits until the leader's row shows a later epoch than the one that the agent follows; reads
/// it only while the leader may have been replaced.
async fn detect_successor(state: &AgentState, store: &StoreClient) -> eyre::Report {
    loop {
        tokio::time::sleep(SUCCESSOR_CHECK_INTERVAL).await;
        if !state.core().table.doubts_leader() {
            continue;
        }
        match store.read_one(&leader_ref(), CALL_TIMEOUT).await {
            Ok(Some(row)) => {
                let epoch = read_leader(&row).epoch;
                if epoch > state.core().table.epoch() {
                    return eyre!("another entry leads in epoch {epoch}");
                }
            }
            Ok(None) => {}
            Err(error) => info!("looking up the leader failed", kv: { reason = error.to_string() }),
        }
    }
}

/// Applies orders of a leader.
///
/// # Errors
///
/// Fails for orders that do not decode or belong to an earlier epoch.
fn apply_orders(state: &AgentState, orders: &v1::VmOrders) -> Result<()> {
    let now = state.clock.now();
    let mut core = state.core();
    let epoch = core.table.epoch();
    let is_applied = core.table.apply_orders(orders, now)?;
    if orders.epoch < epoch {
        return Err(eyre!(
            "received orders of epoch {} after epoch {epoch}",
            orders.epoch
        ));
    }
    drop(core);
    if is_applied {
        state.command_due.notify_one();
    }
    Ok(())
}
