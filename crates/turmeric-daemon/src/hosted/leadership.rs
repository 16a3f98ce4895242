//! Leader election among the entries: the leader keeps one row of the store up to date, and
//! another entry takes over when that row stops changing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use turmeric_jobs::{
    EPOCH_LIMIT, ElectionMonitor, ElectionStep, LeaderObservation, LeasePromise, TakeoverCause,
    next_epoch,
};
use turmeric_platform::{FeedAnswer, RowPut, RowRef, StoreClient, StoreRow, TxAnswer, TxRequest};
use turmeric_schema::{Message, v1};
use turmeric_types::{CoreCount, MonoTime, SplitMixRandom};

use super::callers::CallerState;
use super::leader::{LeadershipEnd, LeadershipGrant, run_leader};
use super::link::{LinkReader, LinkWriter};
use super::metrics::ProcessMetrics;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;

/// Table that holds the leader's row.
const LEADER_TABLE: &str = "lead";

/// Key of the leader's row.
const LEADER_KEY: &str = "leader";

/// Key of the row with the interference that leaders have learned for pairs of images.
const HEADROOM_KEY: &str = "headroom";

/// Table that changes only at a takeover; agents follow its feed.
const LEADERSHIP_TABLE: &str = "seat";

/// Time between two reads of the leader's row by a follower, without jitter.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Long-poll timeout of the feed of the leadership table.
const LEADERSHIP_FEED_WAIT: Duration = Duration::from_secs(5);

/// Wait before a failed call for the leadership table is retried.
const LEADERSHIP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of one call to the store.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// What an entry needs to take part in the election and to lead.
pub(crate) struct LeaderContext {
    pub(crate) vm: String,
    pub(crate) address: SocketAddr,
    pub(crate) processor: CoreCount,
    pub(crate) store: StoreClient,
    pub(crate) clock: ProcessClock,
    pub(crate) terms: turmeric_jobs::LeaderTimeouts,
    pub(crate) policies: turmeric_jobs::PolicySet,
    /// Limits of the calls to the feed of the intake table.
    pub(crate) feed_limits: turmeric_jobs::FeedLimits,
    pub(crate) operators: watch::Receiver<OperatorView>,
    pub(crate) leader: watch::Sender<LeaderView>,
    pub(crate) callers: Arc<CallerState>,
    pub(crate) metrics: Arc<ProcessMetrics>,
}

/// Both ends of a connection that an agent has opened.
pub(crate) type AgentLink = (LinkReader, LinkWriter);

/// Returns the reference of the leader's row.
pub(crate) fn leader_ref() -> RowRef {
    RowRef::new(LEADER_TABLE, LEADER_KEY)
}

/// Returns the reference of the row with the learned interference.
pub(crate) fn headroom_ref() -> RowRef {
    RowRef::new(LEADER_TABLE, HEADROOM_KEY)
}

/// Decodes the leader's row; one that no leader wrote counts as an empty one.
pub(crate) fn read_leader(row: &StoreRow) -> v1::LeaderRow {
    row.value
        .as_ref()
        .and_then(|value| v1::LeaderRow::decode(value.as_slice()).ok())
        .filter(|leader| leader.epoch <= EPOCH_LIMIT)
        .unwrap_or_default()
}

/// Returns the reference of the row that announces the leader to agents.
fn leadership_ref() -> RowRef {
    RowRef::new(LEADERSHIP_TABLE, LEADER_KEY)
}

/// Follows the leadership table and publishes the row of the newest epoch in `leadership`
/// until the process ends.
pub(crate) async fn follow_leadership(store: StoreClient, leadership: watch::Sender<v1::SeatRow>) {
    let mut version = 0;
    let mut was_gone = false;
    loop {
        let answer = store
            .follow(LEADERSHIP_TABLE, version, LEADERSHIP_FEED_WAIT)
            .await;
        let is_gone = matches!(answer, Ok(FeedAnswer::HistoryGone));
        if is_gone && was_gone {
            // The store forgets faster than the table can be read.
            tokio::time::sleep(LEADERSHIP_RETRY_INTERVAL).await;
        }
        was_gone = is_gone;
        match answer {
            Ok(FeedAnswer::Changes(batch)) => {
                version = batch.version;
                apply_leadership_rows(&batch.rows, &leadership);
            }
            Ok(FeedAnswer::HistoryGone) => {
                match store.read_all(LEADERSHIP_TABLE, &[""], CALL_TIMEOUT).await {
                    Ok(all) => {
                        version = all.version;
                        apply_leadership_rows(&all.rows, &leadership);
                    }
                    Err(error) => {
                        info!("reading the leadership table failed", kv: {
                            reason = error.to_string()
                        });
                        tokio::time::sleep(LEADERSHIP_RETRY_INTERVAL).await;
                    }
                }
            }
            Err(error) => {
                info!("following the leadership table failed", kv: { reason = error.to_string() });
                tokio::time::sleep(LEADERSHIP_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Publishes the row of the highest epoch, if it is later than the published one.
fn apply_leadership_rows(rows: &[StoreRow], leadership: &watch::Sender<v1::SeatRow>) {
    let values = rows.iter().filter_map(|row| row.value.as_ref());
    for value in values {
        match v1::SeatRow::decode(value.as_slice()) {
            Ok(row) if row.epoch > leadership.borrow().epoch && row.epoch <= EPOCH_LIMIT => {
                leadership.send_replace(row);
            }
            Ok(_) => {}
            Err(error) => {
                warn!("a row of the leadership table cannot be decoded", kv: {
                    reason = error.to_string()
                })
            }
        }
    }
}

/// Watches the leader's row and leads after each takeover, until this entry releases the
/// leadership.
pub(crate) async fn run_election(
    context: LeaderContext,
    mut links: tokio::sync::mpsc::Receiver<AgentLink>,
) {
    let mut random = SplitMixRandom::new(context.clock.wall().as_millis() ^ name_hash(&context.vm));
    let mut monitor = new_monitor(&context, &mut random);
    let mut is_reachable = true;
    loop {
        let asked_at = context.clock.now();
        let row = context.store.read_one(&leader_ref(), CALL_TIMEOUT).await;
        context.callers.record_store_call(row.is_ok());
        let now = context.clock.now();
        let mut pause = WATCH_INTERVAL + Duration::from_millis(random.next_below(100) as u64);
        match row {
            Ok(row) => {
                if !is_reachable {
                    info!("store regained");
                }
                is_reachable = true;
                let version = row.as_ref().map_or(0, |row| row.version);
                let leader = row.as_ref().map(read_leader);
                if let Some(leader) = &leader {
                    context.leader.send_replace(LeaderView::new(leader, now));
                }
                let observation = leader
                    .as_ref()
                    .map(|leader| observe_leader(&context, version, leader));
                let is_stopping = context.callers.is_stopping.load(Ordering::Relaxed);
                match monitor.observe(observation, now.since(asked_at), now) {
                    ElectionStep::WaitUntil(due) => pause = pause.min(due.since(now)),
                    ElectionStep::TakeOver(cause) if !is_stopping => {
                        let earlier = EarlierRow {
                            version,
                            leader: leader.unwrap_or_default(),
                            written_at: monitor.seen_at(version).unwrap_or(now),
                        };
                        match take_over_and_lead(&context, cause, earlier, &mut links).await {
                            Some(LeadershipEnd::Released) => return,
                            Some(LeadershipEnd::Lost) => {
                                monitor = new_monitor(&context, &mut random)
                            }
                            None => {}
                        }
                    }
                    ElectionStep::TakeOver(_) | ElectionStep::Follow => {}
                }
            }
            Err(error) => {
                if is_reachable {
                    warn!("store lost", kv: { reason = error.to_string() });
                }
                is_reachable = false;
            }
        }
        // Closes connections of agents that still regard this entry as the leader.
        while links.try_recv().is_ok() {}
        tokio::time::sleep(pause).await;
    }
}

/// Takes over the leadership and leads.
///
/// Returns why this entry stopped leading, or [`None`] if the takeover failed or its outcome
/// is unknown.
async fn take_over_and_lead(
    context: &LeaderContext,
    cause: TakeoverCause,
    earlier: EarlierRow,
    links: &mut tokio::sync::mpsc::Receiver<AgentLink>,
) -> Option<LeadershipEnd> {
    info!("leadership can be taken over", kv: {
        cause = format!("{cause:?}"), epoch = earlier.leader.epoch, holder = earlier.leader.holder,
        row_version = earlier.version
    });
    let grant = acquire_leadership(context, earlier).await?;
    let end = run_leader(context, grant, links).await;
    context.metrics.lead_epoch.set(0);
    context.metrics.open_jobs.set(0);
    Some(end)
}

/// Creates the election monitor of this entry, with a random position among equal entries.
fn new_monitor(context: &LeaderContext, random: &mut SplitMixRandom) -> ElectionMonitor {
    ElectionMonitor::new(context.processor, random.next_below(1000) as u32)
}

/// Hashes a VM's name, so that entries which start at the same moment draw different random
/// numbers.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0, |bits: u64, byte| {
        bits.wrapping_mul(131).wrapping_add(u64::from(byte))
    })
}

/// Returns what the election monitor needs from the leader's row.
fn observe_leader(
    context: &LeaderContext,
    version: u64,
    leader: &v1::LeaderRow,
) -> LeaderObservation {
    LeaderObservation {
        version,
        is_released: leader.released,
        is_own: leader.holder == context.vm,
        holder: CoreCount::from_millicores(leader.holder_millicores),
        strongest: CoreCount::from_millicores(leader.strongest_millicores),
    }
}

/// Returns the epoch of the last announced leader, or zero if the leader's row tells. A row that
/// cannot be decoded, or that another program has removed, does not.
async fn read_announced_epoch(context: &LeaderContext, leader: &v1::LeaderRow) -> Option<u64> {
    if leader.epoch > 0 {
        return Some(0);
    }
    match context
        .store
        .read_one(&leadership_ref(), CALL_TIMEOUT)
        .await
    {
        Ok(row) => {
            let value = row.and_then(|row| row.value).unwrap_or_default();
            let announced = v1::SeatRow::decode(value.as_slice()).unwrap_or_default();
            Some(announced.epoch)
        }
        Err(error) => {
            info!("reading the leadership table failed", kv: { reason = error.to_string() });
            None
        }
    }
}

/// The leader's row as an entry finds it before it takes over.
struct EarlierRow {
    version: u64,
    leader: v1::LeaderRow,
    /// The row was in the store by then.
    written_at: MonoTime,
}

/// Writes the rows of a new epoch, on condition that the leader's row has not changed.
async fn acquire_leadership(
    context: &LeaderContext,
    earlier: EarlierRow,
) -> Option<LeadershipGrant> {
    let EarlierRow {
        version,
        leader: earlier,
        written_at,
    } = earlier;
    let announced = read_announced_epoch(context, &earlier).await?;
    let epoch = next_epoch(earlier.epoch, announced);
    let strongest = CoreCount::from_millicores(earlier.strongest_millicores);
    let mut row = v1::LeaderRow {
        epoch,
        holder: context.vm.clone(),
        address: context.address.to_string(),
        callers_address: context.callers.address.to_string(),
        queues: earlier.queues.clone(),
        holder_millicores: context.processor.as_millicores(),
        strongest_millicores: strongest.max(context.processor).as_millicores(),
        ..v1::LeaderRow::default()
    };
    let taken_over_at = context.clock.now();
    let limits = &context.terms.lease;
    let earlier_promise = if version == 0 && announced == 0 {
        // No entry has led on this store, so none has granted a lease.
        LeasePromise::new(taken_over_at)
    } else {
        LeasePromise::read(&earlier, limits, written_at)
    };
    let promise = earlier_promise.take_over(limits, context.terms.renewal_window, taken_over_at);
    promise.write(&mut row, taken_over_at);
    let leadership_row = v1::SeatRow {
        epoch,
        address: row.address.clone(),
        callers_address: row.callers_address.clone(),
    };
    let put = |row, value| RowPut { row, value };
    let request = TxRequest {
        expect: vec![(leader_ref(), version)],
        puts: vec![
            put(leader_ref(), row.encode_to_vec()),
            put(leadership_ref(), leadership_row.encode_to_vec()),
        ],
        removes: Vec::new(),
    };
    match context.store.transact(&request, CALL_TIMEOUT).await {
        TxAnswer::Done { version } => {
            info!("took over leadership", kv: { epoch = epoch, row_version = version });
            Some(LeadershipGrant {
                epoch,
                version,
                taken_over_at,
                earlier_promise,
                promise,
                queues: earlier.queues,
                strongest,
            })
        }
        TxAnswer::Conflict { .. } => None,
        // If the transaction took effect after all, the next read of the row shows this entry
        // as the holder, and it takes over from there.
        TxAnswer::NotDone { reason }
        | TxAnswer::Refused { reason }
        | TxAnswer::Unknown { reason } => {
            warn!("leadership takeover not confirmed", kv: { epoch = epoch, reason = reason });
            None
        }
    }
}
