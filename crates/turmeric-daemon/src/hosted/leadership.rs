//! Which entry leads: one row of the store, taken over when it stands still.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use turmeric_platform::{RowPut, RowRef, StoreClient, StoreRow, TxAnswer, TxRequest};
use turmeric_schema::{Message, v1};
use turmeric_types::{MonoTime, SplitRandom};

use super::callers::CallerState;
use super::leader::{LeadEnd, LeadSeat, run_leader};
use super::link::{LinkReader, LinkWriter};
use super::meters::ProcessMeters;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;

/// Table and key of the leader's row.
pub(crate) const LEADER_TABLE: &str = "lead";

/// Key of the leader's row.
pub(crate) const LEADER_KEY: &str = "leader";

/// Key of what leaders have learned of pairs of images.
pub(crate) const PRESSURE_KEY: &str = "pressure";

/// How often a follower reads the row.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// A leader whose row has not moved for this long is replaced; it writes every
/// 700 ms, and one write takes 0.25 s when the store is slow.
const SILENCE_LIMIT: Duration = Duration::from_millis(2200);

/// Longest wait for one call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// What an entry needs to lead.
pub(crate) struct LeadContext {
    pub(crate) vm: String,
    pub(crate) address: SocketAddr,
    pub(crate) store: StoreClient,
    pub(crate) clock: ProcessClock,
    pub(crate) terms: turmeric_jobs::LeaderTerms,
    pub(crate) operators: watch::Receiver<OperatorView>,
    pub(crate) leader: watch::Sender<LeaderView>,
    pub(crate) callers: Arc<CallerState>,
    pub(crate) meters: Arc<ProcessMeters>,
}

/// A connection of an agent that has just arrived.
pub(crate) type AgentLink = (LinkReader, LinkWriter);

/// Returns the reference of the leader's row.
pub(crate) fn leader_ref() -> RowRef {
    RowRef::new(LEADER_TABLE, LEADER_KEY)
}

/// Reads the leader's row; a row that does not decode is an empty one.
pub(crate) fn read_leader(row: &StoreRow) -> v1::LeaderRow {
    row.value
        .as_ref()
        .and_then(|value| v1::LeaderRow::decode(value.as_slice()).ok())
        .unwrap_or_default()
}

/// Watches the leader's row and leads whenever nobody else does.
pub(crate) async fn watch_lead(
    context: LeadContext,
    mut links: tokio::sync::mpsc::Receiver<AgentLink>,
) {
    let mut random = SplitRandom::new(context.clock.wall().as_millis());
    let mut watcher = RowWatcher::default();
    let mut is_reached = true;
    loop {
        match context
            .store
            .read_one(LEADER_TABLE, LEADER_KEY, CALL_TIMEOUT)
            .await
        {
            Ok(row) => {
                if !is_reached {
                    info!("store regained");
                }
                is_reached = true;
                let now = context.clock.now();
                let is_stopping = context.callers.is_stopping.load(Ordering::Relaxed);
                if let Some(vacancy) = watcher.take_row(&context, row.as_ref(), now)
                    && !is_stopping
                    && let Some(seat) = take_over(&context, vacancy).await
                {
                    let end = run_leader(&context, seat, &mut links).await;
                    context.meters.lead_epoch.set(0);
                    context.meters.open_jobs.set(0);
                    watcher = RowWatcher::default();
                    if end == LeadEnd::Released {
                        return;
                    }
                }
            }
            Err(error) => {
                if is_reached {
                    warn!("store lost", kv: { reason = error.to_string() });
                }
                is_reached = false;
            }
        }
        // Connections of agents that take this entry for the leader are closed.
        while links.try_recv().is_ok() {}
        let jitter = Duration::from_millis(random.next_below(100) as u64);
        tokio::time::sleep(WATCH_INTERVAL + jitter).await;
    }
}

/// A row that nobody keeps.
struct Vacancy {
    version: u64,
    epoch: u64,
    queues: Vec<v1::QueueLoad>,
}

/// What a follower has seen of the leader's row.
#[derive(Default)]
struct RowWatcher {
    seen: Option<(u64, MonoTime)>,
}

impl RowWatcher {
    /// Takes in a reading; returns the vacancy if the row may be taken over.
    fn take_row(
        &mut self,
        context: &LeadContext,
        row: Option<&StoreRow>,
        now: MonoTime,
    ) -> Option<Vacancy> {
        let Some(row) = row else {
            return Some(Vacancy {
                version: 0,
                epoch: 0,
                queues: Vec::new(),
            });
        };
        let leader = read_leader(row);
        context.leader.send_replace(LeaderView::new(&leader, now));
        let since = match self.seen {
            Some((version, since)) if version == row.version => since,
            _ => now,
        };
        self.seen = Some((row.version, since));
        // An earlier life of this very process has left its row behind.
        let is_own = leader.holder == context.vm;
        let is_silent = now.since(since) > SILENCE_LIMIT;
        (leader.released || is_own || is_silent).then_some(Vacancy {
            version: row.version,
            epoch: leader.epoch,
            queues: leader.queues,
        })
    }
}

async fn take_over(context: &LeadContext, vacancy: Vacancy) -> Option<LeadSeat> {
    let epoch = vacancy.epoch + 1;
    let row = v1::LeaderRow {
        epoch,
        holder: context.vm.clone(),
        address: context.address.to_string(),
        queues: vacancy.queues.clone(),
        ..v1::LeaderRow::default()
    };
    let request = TxRequest {
        expect: vec![(leader_ref(), vacancy.version)],
        puts: vec![RowPut {
            row: leader_ref(),
            value: row.encode_to_vec(),
        }],
        removes: Vec::new(),
    };
    match context.store.transact(&request, CALL_TIMEOUT).await {
        TxAnswer::Done { version } => {
            info!("takes the lead", kv: { epoch = epoch, row_version = version });
            Some(LeadSeat {
                epoch,
                version,
                queues: vacancy.queues,
            })
        }
        TxAnswer::Conflict { .. } => None,
        // Where it took effect after all, the next reading shows this entry
        // as the holder, and the row is taken over from there.
        TxAnswer::NotDone { reason } | TxAnswer::Unknown { reason } => {
            warn!("lead not taken", kv: { epoch = epoch, reason = reason });
            None
        }
    }
}
