//! The loop of the leading entry around its scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmeric_jobs::{CommitPlan, JobScheduler, VmReport};
use turmeric_platform::{RowPut, StoreClient, TxAnswer, TxRequest};
use turmeric_schema::{Message, v1};
use turmeric_types::{CoreCount, MonoTime};

use super::callers::CallerState;
use super::decision_log::DecisionLog;
use super::intake::{
    IntakeRow, PROGRESS_TABLE, follow_intake, job_rows, progress_row, read_intake,
    read_intake_table,
};
use super::leadership::{
    AgentLink, CALL_TIMEOUT, LeadContext, headroom_ref, leader_ref, read_leader,
};
use super::link::LinkWriter;
use super::view::LeaderView;

/// Period of what is due by time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two rounds of placement.
const PLACE_INTERVAL: Duration = Duration::from_millis(15);

/// After a placement this many times its own length goes to writes, reports and
/// orders: with a backlog of hundreds of jobs on a tenth of a core, placements one
/// after the other kept the leader from its row until it was replaced.
const PLACE_REST: u32 = 4;

/// Longest time between two rounds of placement.
const PLACE_LIMIT: Duration = Duration::from_millis(250);

/// Time between two lines about lasting tasks that wait.
const DESCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// Lasting tasks that such a line names at the most.
const DESCRIBE_LIMIT: usize = 8;

/// Messages that wait for a slow agent; later ones say the same anew.
const LINK_QUEUE: usize = 4;

/// Reports and intake rows that wait for the loop.
const EVENT_QUEUE: usize = 1024;

/// A link that has been silent for this long is closed; agents report every
/// 400 ms.
const LINK_SILENCE: Duration = Duration::from_secs(3);

/// Wait after a refused write.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The right to lead, as it was taken.
pub(crate) struct LeadSeat {
    pub(crate) epoch: u64,
    pub(crate) version: u64,
    /// What the earlier leader last said of the queues.
    pub(crate) queues: Vec<v1::QueueLoad>,
    /// Most processor of any entry that has led before.
    pub(crate) strongest: CoreCount,
}

/// Why an entry leads no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeadEnd {
    /// Another entry has taken over.
    Lost,
    /// It gave the lead up, as the process stops.
    Released,
}

/// A report, with a way to answer it.
struct LinkedReport {
    report: v1::VmReport,
    answers: mpsc::Sender<v1::VmOrders>,
}

/// What the loop did since the last line about it.
#[derive(Debug, Default)]
struct LoopCosts {
    reports: CostSum,
    orders: CostSum,
    placements: CostSum,
    writes: CostSum,
}

/// How often something was done, and how long it took in all.
#[derive(Debug, Default)]
struct CostSum {
    count: u32,
    term: Duration,
}

impl CostSum {
    fn add(&mut self, term: Duration) {
        self.count += 1;
        self.term += term;
    }

    fn describe(&self) -> String {
        format!("{} in {:.1} ms", self.count, self.term.as_secs_f64() * 1e3)
    }
}

/// What became of a write.
enum CommitEnd {
    Done { plan: Box<CommitPlan>, version: u64 },
    Lost { reason: String },
}

/// Leads until another entry does, or the process stops.
pub(crate) async fn run_leader(
    context: &LeadContext,
    seat: LeadSeat,
    links: &mut mpsc::Receiver<AgentLink>,
) -> LeadEnd {
    let (intake_sender, intake) = mpsc::channel(EVENT_QUEUE);
    let (report_sender, reports) = mpsc::channel(EVENT_QUEUE);
    let mut helpers = JoinSet::new();
    let scheduler = load(context, &seat, &intake_sender, &mut helpers).await;
    context.meters.lead_epoch.set(seat.epoch as i64);
    info!("leads", kv: { epoch = seat.epoch, open_jobs = scheduler.open_jobs() });
    let mut loop_state = LeaderLoop {
        context,
        scheduler,
        version: seat.version,
        answers: BTreeMap::new(),
        placed_at: MonoTime::default(),
        place_due: MonoTime::default(),
        described_at: MonoTime::default(),
        wants_placing: true,
        commits: JoinSet::new(),
        decisions: DecisionLog::default(),
        costs: LoopCosts::default(),
    };
    let end = loop_state
        .run(intake, reports, links, &report_sender, &mut helpers)
        .await;
    info!("leads no more", kv: { epoch = seat.epoch, end = format!("{end:?}") });
    end
}

/// Reads what is recorded, until it succeeds.
async fn load(
    context: &LeadContext,
    seat: &LeadSeat,
    intake: &mpsc::Sender<IntakeRow>,
    helpers: &mut JoinSet<()>,
) -> JobScheduler {
    loop {
        match try_load(context, seat).await {
            Ok((scheduler, version)) => {
                helpers.spawn(follow_intake(
                    context.store.clone(),
                    version,
                    intake.clone(),
                ));
                return scheduler;
            }
            Err(reason) => {
                warn!("records not read", kv: { reason = reason });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn try_load(context: &LeadContext, seat: &LeadSeat) -> Result<(JobScheduler, u64), String> {
    let (store, headroom) = (&context.store, headroom_ref());
    let (intake, progress, learned) = tokio::try_join!(
        read_intake_table(store),
        store.read_all(PROGRESS_TABLE, &[""], CALL_TIMEOUT),
        store.read_one(&headroom, CALL_TIMEOUT),
    )
    .map_err(|error| error.to_string())?;
    let mut scheduler = JobScheduler::new(
        context.terms,
        seat.epoch,
        context.vm.clone(),
        context.address.to_string(),
        context.clock.now(),
    )
    .with_loads(seat.queues.clone())
    .with_callers_address(context.callers.address.to_string())
    .with_cores(context.processor, seat.strongest);
    if let Some(value) = learned.and_then(|row| row.value) {
        match v1::HeadroomRow::decode(value.as_slice()) {
            Ok(row) => scheduler.restore_headroom(row),
            Err(error) => warn!("what was learned of images cannot be read", kv: {
                reason = error.to_string()
            }),
        }
    }
    let wall = context.clock.wall();
    let rows: Vec<IntakeRow> = intake.rows.iter().filter_map(read_intake).collect();
    for row in &rows {
        if let IntakeRow::Job(code, spec) = row {
            scheduler.add_job(*code, spec.clone(), wall);
        }
    }
    for row in &progress.rows {
        let (Ok(code), Some(value)) = (row.key.parse(), &row.value) else {
            continue;
        };
        match v1::JobProgress::decode(value.as_slice()) {
            Ok(progress) => scheduler.restore_job(code, progress),
            Err(error) => warn!("progress of a job cannot be read", kv: {
                job = row.key, reason = error.to_string()
            }),
        }
    }
    for row in rows {
        if let IntakeRow::Cancel(code) = row {
            scheduler.cancel_job(code, wall);
        }
    }
    Ok((scheduler, intake.version))
}

struct LeaderLoop<'a> {
    context: &'a LeadContext,
    scheduler: JobScheduler,
    version: u64,
    answers: BTreeMap<String, mpsc::Sender<v1::VmOrders>>,
    placed_at: MonoTime,
    /// Not before this time is anything placed again.
    place_due: MonoTime,
    described_at: MonoTime,
    wants_placing: bool,
    commits: JoinSet<CommitEnd>,
    decisions: DecisionLog,
    costs: LoopCosts,
}

impl LeaderLoop<'_> {
    async fn run(
        &mut self,
        mut intake: mpsc::Receiver<IntakeRow>,
        mut reports: mpsc::Receiver<LinkedReport>,
        links: &mut mpsc::Receiver<AgentLink>,
        report_sender: &mpsc::Sender<LinkedReport>,
        helpers: &mut JoinSet<()>,
    ) -> LeadEnd {
        let mut operators = self.context.operators.clone();
        self.take_operators();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(row) = intake.recv() => self.take_intake(row),
                Some(report) = reports.recv() => self.take_report(report),
                Some(link) = links.recv() => {
                    helpers.spawn(serve_link(link, report_sender.clone()));
                }
                Some(end) = self.commits.join_next() => match end {
                    Ok(CommitEnd::Done { plan, version }) => {
                        self.version = version;
                        self.scheduler.commit_done(&plan, self.context.clock.now());
                        if self.context.callers.is_stopping.load(Ordering::Relaxed)
                            && is_release(&plan)
                        {
                            return LeadEnd::Released;
                        }
                        self.publish(&plan);
                    }
                    Ok(CommitEnd::Lost { reason }) => {
                        warn!("lead lost", kv: { reason = reason });
                        return LeadEnd::Lost;
                    }
                    Err(error) => {
                        warn!("a write broke off", kv: { reason = error.to_string() });
                        return LeadEnd::Lost;
                    }
                },
                Ok(()) = operators.changed() => self.take_operators(),
                _ = ticks.tick() => self.tick(),
            }
            self.act();
        }
    }

    fn take_intake(&mut self, row: IntakeRow) {
        let wall = self.context.clock.wall();
        match row {
            IntakeRow::Job(code, spec) => self.scheduler.add_job(code, spec, wall),
            IntakeRow::Cancel(code) => {
                info!("job cancelled", kv: { job = code.to_string() });
                self.scheduler.cancel_job(code, wall);
            }
        }
        self.wants_placing = true;
    }

    fn take_report(&mut self, linked: LinkedReport) {
        let began_at = self.context.clock.now();
        if !linked.report.successor.is_empty() {
            self.take_successor(&linked.report.successor);
            return;
        }
        let report = match VmReport::read(linked.report) {
            Ok(report) => report,
            Err(error) => {
                warn!("a report cannot be read", kv: { reason = error.to_string() });
                return;
            }
        };
        self.wants_placing |= !report.ends.is_empty() || !report.refused.is_empty();
        self.answers.insert(report.vm.clone(), linked.answers);
        let now = self.context.clock.now();
        self.scheduler
            .handle_report(report, now, self.context.clock.wall());
        self.costs
            .reports
            .add(self.context.clock.now().since(began_at));
    }

    /// Passes callers' requests to the entry that leads by an agent's word, as long as
    /// no write shows who does.
    fn take_successor(&self, address: &str) {
        match address.parse() {
            Ok(successor) => {
                self.context
                    .leader
                    .send_modify(|view| view.callers = Some(successor));
            }
            Err(_) => warn!("a successor's address cannot be read", kv: { address = address }),
        }
    }

    fn take_operators(&mut self) {
        let view = self.context.operators.borrow().clone();
        self.scheduler.set_queues(view.queues());
        self.scheduler.set_closed_zones(view.closed_zones);
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        self.scheduler.tick(now);
        if self.context.callers.is_stopping.load(Ordering::Relaxed) {
            self.scheduler.release();
        }
        self.wants_placing |= now.since(self.placed_at) > PLACE_LIMIT;
        if now.since(self.described_at) > DESCRIBE_INTERVAL {
            self.described_at = now;
            let open_jobs = self.scheduler.open_jobs() as i64;
            self.context.meters.open_jobs.set(open_jobs);
            let load = self.scheduler.describe_load(now, self.context.clock.wall());
            let costs = std::mem::take(&mut self.costs);
            info!("load", kv: {
                queues = load, reports = costs.reports.describe(),
                orders = costs.orders.describe(), placements = costs.placements.describe(),
                writes = costs.writes.describe()
            });
            let missing = self.scheduler.describe_unplaced(DESCRIBE_LIMIT);
            if !missing.is_empty() {
                info!("lasting tasks wait", kv: {
                    tasks = missing, rooms = self.scheduler.describe_capacities(now)
                });
            }
        }
    }

    /// Places, writes and tells, as far as each is due.
    fn act(&mut self) {
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        if self.wants_placing && now >= self.place_due {
            self.wants_placing = false;
            self.placed_at = now;
            self.scheduler.place(now, wall);
            let ended = self.context.clock.now();
            self.costs.placements.add(ended.since(now));
            let rest = PLACE_INTERVAL.max(ended.since(now) * PLACE_REST);
            self.place_due = ended.after(rest);
        }
        self.write_notes(now);
        let write_began = self.context.clock.now();
        if let Some(plan) = self.scheduler.begin_commit(now, wall) {
            self.costs
                .writes
                .add(self.context.clock.now().since(write_began));
            let store = self.context.store.clone();
            let (epoch, version) = (self.scheduler.epoch(), self.version);
            let meters = Arc::clone(&self.context.meters);
            let callers = Arc::clone(&self.context.callers);
            let clock = self.context.clock;
            self.commits.spawn(async move {
                let end = commit(store, &callers, epoch, version, plan).await;
                let term = clock.now().since(now);
                meters.commit_seconds.observe(term.as_secs_f64());
                end
            });
        }
        for vm in self.scheduler.take_pending_updates() {
            let began_at = self.context.clock.now();
            self.send_orders(&vm, now);
            self.costs
                .orders
                .add(self.context.clock.now().since(began_at));
        }
    }

    fn write_notes(&mut self, now: MonoTime) {
        let (notes, left_out) = self.scheduler.take_events();
        let meters = &self.context.meters;
        for note in notes {
            self.decisions.write(note, meters, now);
        }
        if left_out > 0 {
            warn!("decisions not logged", kv: { lines = left_out });
        }
    }

    fn send_orders(&mut self, vm: &str, now: MonoTime) {
        // Without word from the store another entry may lead already; leases
        // are renewed only as long as a new leader waits for them to end.
        let confidence = self.context.terms.confirmation_timeout;
        if now.since(self.scheduler.confirmed_at()) > confidence {
            return;
        }
        let Some(answers) = self.answers.get(vm) else {
            return;
        };
        if answers.is_closed() {
            self.answers.remove(vm);
            return;
        }
        if answers.capacity() == 0 {
            // The next report is answered; what is lost is said anew then.
            return;
        }
        if let Some(orders) = self.scheduler.orders(vm, now) {
            let starts = orders.starts.len();
            if answers.try_send(orders).is_err() {
                warn!("orders not sent", kv: { vm = vm.to_owned(), starts = starts });
            }
        }
    }

    /// Shows the loads of the queues to this entry's own callers.
    fn publish(&self, plan: &CommitPlan) {
        if let Ok(row) = v1::LeaderRow::decode(plan.leader_row.as_slice()) {
            let now = self.context.clock.now();
            self.context.leader.send_replace(LeaderView::new(&row, now));
        }
    }
}

fn is_release(plan: &CommitPlan) -> bool {
    v1::LeaderRow::decode(plan.leader_row.as_slice()).is_ok_and(|row| row.released)
}

/// Reads reports of an agent and sends it orders until either end fails.
async fn serve_link(link: AgentLink, reports: mpsc::Sender<LinkedReport>) {
    let (mut reader, mut writer) = link;
    let (answers, mut orders) = mpsc::channel::<v1::VmOrders>(LINK_QUEUE);
    let send = async {
        while let Some(orders) = orders.recv().await {
            send_order(&mut writer, &orders).await?;
        }
        Ok::<(), eyre::Report>(())
    };
    let receive = async {
        loop {
            let message = tokio::time::timeout(LINK_SILENCE, reader.receive::<v1::VmReport>());
            let Some(report) = message.await?? else {
                return Ok::<(), eyre::Report>(());
            };
            let linked = LinkedReport {
                report,
                answers: answers.clone(),
            };
            if reports.send(linked).await.is_err() {
                return Ok(());
            }
        }
    };
    let ended = tokio::select! {
        ended = send => ended,
        ended = receive => ended,
    };
    if let Err(error) = ended {
        info!("link to an agent ended", kv: { reason = format!("{error:#}") });
    }
}

async fn send_order(writer: &mut LinkWriter, orders: &v1::VmOrders) -> eyre::Result<()> {
    writer.send(orders).await
}

/// Makes one write until its outcome is known.
async fn commit(
    store: StoreClient,
    callers: &CallerState,
    epoch: u64,
    version: u64,
    plan: CommitPlan,
) -> CommitEnd {
    let mut request = write_plan(&plan);
    let mut version = version;
    loop {
        request.expect = vec![(leader_ref(), version)];
        let answer = store.transact(&request, CALL_TIMEOUT).await;
        let is_answered = matches!(answer, TxAnswer::Done { .. } | TxAnswer::Conflict { .. });
        callers.note_store_call(is_answered);
        match answer {
            TxAnswer::Done { version } => {
                return CommitEnd::Done {
                    plan: Box::new(plan),
                    version,
                };
            }
            TxAnswer::Conflict { rows } => {
                let key = leader_ref().key;
                let Some(row) = rows.iter().find(|row| row.key == key) else {
                    return CommitEnd::Lost {
                        reason: "the leader's row is gone".to_owned(),
                    };
                };
                let leader = read_leader(row);
                if leader.epoch != epoch {
                    return CommitEnd::Lost {
                        reason: format!("epoch {} of {}", leader.epoch, leader.holder),
                    };
                }
                if leader.sequence >= plan.sequence {
                    // An earlier try took effect; its answer was lost.
                    return CommitEnd::Done {
                        plan: Box::new(plan),
                        version: row.version,
                    };
                }
                version = row.version;
            }
            TxAnswer::NotDone { reason } | TxAnswer::Unknown { reason } => {
                warn!("write not confirmed", kv: { sequence = plan.sequence, reason = reason });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn write_plan(plan: &CommitPlan) -> TxRequest {
    let mut puts = vec![RowPut {
        row: leader_ref(),
        value: plan.leader_row.clone(),
    }];
    puts.extend(plan.progress.iter().map(|(code, value)| RowPut {
        row: progress_row(*code),
        value: value.clone(),
    }));
    puts.extend(plan.headroom.iter().map(|value| RowPut {
        row: headroom_ref(),
        value: value.clone(),
    }));
    TxRequest {
        expect: Vec::new(),
        puts,
        removes: plan
            .forgotten
            .iter()
            .flat_map(|code| job_rows(*code))
            .collect(),
    }
}
