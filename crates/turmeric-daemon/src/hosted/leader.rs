//! The event loop of the leading entry: feeds its scheduler with jobs and reports, and carries
//! out the scheduler's decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmeric_jobs::{
    CommitPlan, ForgottenJobs, JobCode, JobEvent, JobScheduler, LeasePromise, RowOwner, StartLeg,
    StartTracker, VmReport,
};
use turmeric_platform::StoreRow;
use turmeric_schema::{Message, v1};
use turmeric_types::{CoreCount, MonoTime, WallTime};

use super::decision_log::DecisionLog;
use super::intake::{
    IntakeEvent, IntakeRow, PROGRESS_TABLE, decode_intake_row, follow_intake, read_intake_table,
    read_progress_key,
};
use super::leader_commit::{CommitOutcome, commit};
use super::leadership::{AgentLink, CALL_TIMEOUT, LeaderContext, headroom_ref};
use super::link::LinkWriter;
use super::loop_timings::LoopTimings;
use super::view::LeaderView;

/// Period of the timer for work that no event triggers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two rounds of placement.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(15);

/// Pause after a round of placement, as a multiple of the time that the round took, left for
/// writes, reports and orders: with a backlog of hundreds of jobs on a tenth of a core,
/// rounds without a pause kept the leader from writing its row until it was replaced.
const PLACEMENT_PAUSE_FACTOR: u32 = 4;

/// A round of placement starts without an event when the last one is older than this.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two log lines about load and waiting long-running tasks.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of long-running tasks that such a line names.
const LOGGED_TASK_LIMIT: usize = 8;

/// Maximum number of orders queued for a slow agent; later orders repeat their content.
const LINK_QUEUE_LIMIT: usize = 4;

/// Maximum number of reports, and of intake rows, queued for the event loop.
const EVENT_QUEUE_LIMIT: usize = 1024;

/// A connection on which no report arrives for this long is closed; agents report every
/// 400 ms.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// Wait before a failed read or write of the store is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The result of a takeover: the new epoch and what the earlier leader's row held.
pub(crate) struct LeadershipGrant {
    /// Epoch of this leadership.
    pub(crate) epoch: u64,
    /// Version of the leader's row.
    pub(crate) version: u64,
    /// When the takeover was sent to the store.
    pub(crate) taken_over_at: MonoTime,
    /// When the leases of earlier leaders have expired.
    pub(crate) earlier_promise: LeasePromise,
    /// What the row of the takeover promises about leases.
    pub(crate) promise: LeasePromise,
    /// Loads of the queues as the earlier leader last wrote them.
    pub(crate) queues: Vec<v1::QueueLoad>,
    /// Largest processor allocation of any entry that has led before.
    pub(crate) strongest: CoreCount,
}

/// Why an entry stopped leading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeadershipEnd {
    /// Another entry has taken over, or a write to the store failed unexpectedly.
    Lost,
    /// The entry released the leadership because its process is shutting down.
    Released,
}

/// An agent's report, with the channel for orders to that agent.
struct LinkedReport {
    report: v1::VmReport,
    /// Number of the connection, in the order in which agents opened them.
    link: u64,
    order_sender: mpsc::Sender<v1::VmOrders>,
}

/// Leads until another entry takes over or the process shuts down.
pub(crate) async fn run_leader(
    context: &LeaderContext,
    grant: LeadershipGrant,
    links: &mut mpsc::Receiver<AgentLink>,
) -> LeadershipEnd {
    let (intake_sender, intake) = mpsc::channel(EVENT_QUEUE_LIMIT);
    let (report_sender, reports) = mpsc::channel(EVENT_QUEUE_LIMIT);
    let mut background = JoinSet::new();
    let scheduler = load(context, &grant, &intake_sender, &mut background).await;
    context.metrics.lead_epoch.set(grant.epoch as i64);
    info!("leads", kv: { epoch = grant.epoch, open_jobs = scheduler.open_jobs() });
    let mut leader_loop = LeaderLoop {
        context,
        scheduler,
        version: grant.version,
        order_senders: BTreeMap::new(),
        placed_at: MonoTime::default(),
        placement_due: MonoTime::default(),
        load_logged_at: MonoTime::default(),
        needs_placement: true,
        link_count: 0,
        commits: JoinSet::new(),
        successor_epoch: 0,
        forgotten: ForgottenJobs::new(),
        decisions: DecisionLog::default(),
        start_legs: StartTracker::default(),
        timings: LoopTimings::default(),
    };
    let end = leader_loop
        .run(intake, reports, links, &report_sender, &mut background)
        .await;
    context.metrics.set_waiting_tasks(|_| 0);
    info!("no longer leads", kv: { epoch = grant.epoch, end = format!("{end:?}") });
    end
}

/// Creates the scheduler from the recorded jobs, with retries until that succeeds, and starts
/// to follow the intake table.
async fn load(
    context: &LeaderContext,
    grant: &LeadershipGrant,
    intake: &mpsc::Sender<IntakeEvent>,
    background: &mut JoinSet<()>,
) -> JobScheduler {
    loop {
        match try_load(context, grant).await {
            Ok((scheduler, version)) => {
                background.spawn(follow_intake(
                    context.store.clone(),
                    version,
                    context.feed_limits,
                    intake.clone(),
                ));
                return scheduler;
            }
            Err(reason) => {
                warn!("reading the recorded jobs failed", kv: { reason = reason });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads the recorded jobs once; returns the scheduler and the version to follow the intake
/// table from.
async fn try_load(
    context: &LeaderContext,
    grant: &LeadershipGrant,
) -> Result<(JobScheduler, u64), String> {
    let (store, headroom) = (&context.store, headroom_ref());
    let (intake, progress, learned) = tokio::try_join!(
        read_intake_table(store),
        store.read_all(PROGRESS_TABLE, &[""], CALL_TIMEOUT),
        store.read_one(&headroom, CALL_TIMEOUT),
    )
    .map_err(|error| error.to_string())?;
    let mut scheduler = JobScheduler::new(
        context.terms,
        grant.epoch,
        context.vm.clone(),
        context.address.to_string(),
        context.clock.now(),
    )
    .with_confirmation(grant.taken_over_at)
    .with_promises(grant.earlier_promise.clone(), grant.promise.clone())
    .with_policies(context.policies)
    .with_loads(grant.queues.clone())
    .with_callers_address(context.callers.address.to_string())
    .with_store_bounds(context.callers.store_bounds)
    .with_cores(context.processor, grant.strongest);
    if let Some(value) = learned.and_then(|row| row.value) {
        match v1::HeadroomRow::decode(value.as_slice()) {
            Ok(row) => scheduler.restore_headroom(row),
            Err(error) => warn!("the learned interference cannot be decoded", kv: {
                reason = error.to_string()
            }),
        }
    }
    let wall = context.clock.wall();
    let rows: Vec<IntakeRow> = intake.rows.iter().filter_map(decode_intake_row).collect();
    for row in &rows {
        if let IntakeRow::Job(code, spec) = row {
            scheduler.add_job(*code, spec.clone(), wall);
        }
    }
    restore_progress(&mut scheduler, &progress.rows);
    for row in rows {
        if let IntakeRow::Cancel(code, at) = row {
            scheduler.cancel_job_since(code, at.unwrap_or(wall), wall);
        }
    }
    Ok((scheduler, intake.version))
}

/// Restores the recorded progress of all jobs. The key of a further row sorts after that of the
/// first row of its job.
fn restore_progress(scheduler: &mut JobScheduler, rows: &[StoreRow]) {
    for row in rows {
        let (Some((code, part)), Some(value)) = (read_progress_key(&row.key), &row.value) else {
            continue;
        };
        match (v1::JobProgress::decode(value.as_slice()), part) {
            (Ok(progress), None) => scheduler.restore_job(code, progress),
            (Ok(progress), Some(part)) => scheduler.restore_part(code, part, progress),
            (Err(error), _) => warn!("a progress row of a job cannot be decoded", kv: {
                job = code.to_string(), row = row.key, reason = error.to_string()
            }),
        }
    }
}

/// State of the event loop of one leadership.
struct LeaderLoop<'a> {
    context: &'a LeaderContext,
    scheduler: JobScheduler,
    /// Version of the leader's row.
    version: u64,
    /// Channels for orders, by VM.
    order_senders: BTreeMap<String, mpsc::Sender<v1::VmOrders>>,
    placed_at: MonoTime,
    /// Earliest time of the next round of placement.
    placement_due: MonoTime,
    load_logged_at: MonoTime,
    needs_placement: bool,
    /// Number of connections that agents have opened.
    link_count: u64,
    commits: JoinSet<CommitOutcome>,
    /// Epoch of the successor that agents have named, or zero.
    successor_epoch: u64,
    /// Jobs whose rows this leader has deleted.
    forgotten: ForgottenJobs,
    decisions: DecisionLog,
    start_legs: StartTracker,
    timings: LoopTimings,
}

impl LeaderLoop<'_> {
    async fn run(
        &mut self,
        mut intake: mpsc::Receiver<IntakeEvent>,
        mut reports: mpsc::Receiver<LinkedReport>,
        links: &mut mpsc::Receiver<AgentLink>,
        report_sender: &mpsc::Sender<LinkedReport>,
        background: &mut JoinSet<()>,
    ) -> LeadershipEnd {
        let mut operators = self.context.operators.clone();
        self.apply_operators();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = intake.recv() => self.apply_intake(event),
                Some(report) = reports.recv() => self.handle_report(report),
                Some(link) = links.recv() => {
                    self.link_count += 1;
                    background.spawn(serve_link(link, self.link_count, report_sender.clone()));
                }
                Some(end) = self.commits.join_next() => match end {
                    Ok(CommitOutcome::Done { plan, version }) => {
                        self.version = version;
                        let now = self.context.clock.now();
                        self.scheduler.commit_done(&plan, now);
                        for job in &plan.forgotten {
                            self.forgotten.record(*job, version);
                        }
                        for (job, _) in &plan.progress {
                            self.finish_leg(*job, StartLeg::Record, now);
                        }
                        // The event of a job's end may have been dropped.
                        for job in &plan.forgotten {
                            self.start_legs.remove(*job);
                        }
                        if self.context.callers.is_stopping.load(Ordering::Relaxed)
                            && is_release(&plan)
                        {
                            return LeadershipEnd::Released;
                        }
                        self.publish(&plan);
                    }
                    Ok(CommitOutcome::Refused { plan, reason }) => {
                        self.handle_refused_write(&plan, &reason);
                    }
                    Ok(CommitOutcome::Lost { reason }) => {
                        warn!("leadership lost", kv: { reason = reason });
                        return LeadershipEnd::Lost;
                    }
                    Err(error) => {
                        warn!("the task of a store write failed", kv: {
                            reason = error.to_string()
                        });
                        return LeadershipEnd::Lost;
                    }
                },
                Ok(()) = operators.changed() => self.apply_operators(),
                _ = ticks.tick() => self.tick(),
            }
            self.run_due_actions();
        }
    }

    /// Logs a write that the store refuses for good, with the row at fault once it is known.
    fn handle_refused_write(&mut self, plan: &CommitPlan, reason: &str) {
        let owners = plan.owners();
        let fault = self
            .scheduler
            .commit_refused(plan, self.context.clock.now());
        let Some(owner) = fault else {
            if owners.is_empty() {
                self.context.metrics.count_refused_row(None);
                warn!("the store refuses the leader's row", kv: {
                    bytes = plan.leader_row.len(), reason = reason
                });
            } else {
                info!("the store refuses a write; looking for the row", kv: {
                    rows = owners.len(), reason = reason
                });
            }
            return;
        };
        self.context.metrics.count_refused_row(Some(owner));
        let job = match owner {
            RowOwner::Job(code) => code.to_string(),
            RowOwner::Interference => String::new(),
        };
        warn!("the store refuses a row", kv: {
            row = owner.to_string(), job = job, bytes = plan.bytes_of(owner), reason = reason
        });
    }

    fn apply_intake(&mut self, event: IntakeEvent) {
        let (row, version) = match event {
            IntakeEvent::Row(row, version) => (row, version),
            IntakeEvent::Position(position) => {
                self.forgotten.prune(position);
                return;
            }
        };
        let (IntakeRow::Job(code, _) | IntakeRow::Cancel(code, _)) = &row;
        if let Some(deleted_at) = self.forgotten.deleted_after(*code, version) {
            self.context.metrics.stale_rows.inc();
            info!("row of a deleted job ignored", kv: {
                job = code.to_string(), row_version = version, deleted_at = deleted_at
            });
            return;
        }
        let wall = self.context.clock.wall();
        match row {
            IntakeRow::Job(code, spec) => {
                // A repeated job may wait for hours until it is due.
                if spec.repeat.is_none() && self.scheduler.job(code).is_none() {
                    let age = wall.since(spec.accepted_at);
                    self.context.metrics.record_leg(StartLeg::Intake, age);
                    self.start_legs.begin(code, self.context.clock.now());
                }
                self.scheduler.add_job(code, spec, wall);
            }
            IntakeRow::Cancel(code, at) => {
                let is_known = self.scheduler.job(code).is_some();
                info!("job cancelled", kv: { job = code.to_string(), is_known = is_known });
                self.scheduler
                    .cancel_job_since(code, at.unwrap_or(wall), wall);
            }
        }
        self.needs_placement = true;
    }

    fn handle_report(&mut self, linked: LinkedReport) {
        let started_at = self.context.clock.now();
        if !linked.report.successor.is_empty() {
            let report = &linked.report;
            self.record_successor(&report.successor, report.epoch);
            return;
        }
        let report = match VmReport::read(linked.report) {
            Ok(report) => report,
            Err(error) => {
                warn!("an agent's report cannot be decoded", kv: { reason = error.to_string() });
                return;
            }
        };
        if !self.start_legs.is_empty() {
            for attempt in report
                .attempts
                .iter()
                .filter(|attempt| attempt.is_confirmed)
            {
                self.finish_leg(attempt.key.task.job, StartLeg::Order, started_at);
            }
        }
        self.needs_placement |= !report.ends.is_empty() || !report.refused.is_empty();
        let vm = report.vm.clone();
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        let is_current = self
            .scheduler
            .handle_link_report(linked.link, report, now, wall);
        if is_current {
            self.order_senders.insert(vm, linked.order_sender);
        } else {
            info!("overtaken report ignored", kv: { vm = vm });
        }
        self.timings
            .reports
            .add(self.context.clock.now().since(started_at));
    }

    /// Forwards callers' requests to the successor that an agent named, until the leader's row
    /// can be read again.
    ///
    /// Notices of several agents may name different successors.
    fn record_successor(&mut self, address: &str, epoch: u64) {
        if epoch < self.successor_epoch {
            return;
        }
        self.successor_epoch = epoch;
        match address.parse() {
            Ok(successor) => {
                self.context
                    .leader
                    .send_modify(|view| view.callers_address = Some(successor));
            }
            Err(_) => warn!("the successor's address cannot be parsed", kv: { address = address }),
        }
    }

    fn apply_operators(&mut self) {
        let view = self.context.operators.borrow().clone();
        self.scheduler.set_queues(view.queues());
        self.scheduler.set_closed_zones(view.closed_zones);
    }

    /// Handles a tick of the timer.
    fn tick(&mut self) {
        let now = self.context.clock.now();
        self.scheduler.tick(now);
        let elapsed = self.context.clock.now().since(now);
        self.timings.ticks.add(elapsed);
        if self.context.callers.is_stopping.load(Ordering::Relaxed) {
            self.scheduler.release();
        }
        self.needs_placement |= now.since(self.placed_at) > MAX_PLACEMENT_INTERVAL;
        if now.since(self.load_logged_at) > LOAD_LOG_INTERVAL {
            self.load_logged_at = now;
            let open_jobs = self.scheduler.open_jobs() as i64;
            self.context.metrics.open_jobs.set(open_jobs);
            let wall = self.context.clock.wall();
            let load = self.scheduler.describe_load(now, wall);
            let waits = self.summarize_exclusions(now, wall);
            let timings = std::mem::take(&mut self.timings);
            info!("load", kv: {
                queues = load, waits = waits, reports = timings.reports.describe(),
                orders = timings.orders.describe(), placements = timings.placements.describe(),
                writes = timings.writes.describe(), ticks = timings.ticks.describe(),
                exclusions = timings.exclusions.describe()
            });
            let missing = self.scheduler.describe_unplaced(LOGGED_TASK_LIMIT);
            if !missing.is_empty() {
                info!("long-running tasks wait for free capacity", kv: {
                    tasks = missing, rooms = self.scheduler.describe_capacities(now)
                });
            }
        }
    }

    /// Logs and counts why tasks wait; returns the totals for the line about load.
    fn summarize_exclusions(&mut self, now: MonoTime, wall: WallTime) -> String {
        let started_at = self.context.clock.now();
        let summary = self.scheduler.summarize_exclusions(now, wall);
        self.context
            .metrics
            .set_waiting_tasks(|cause| summary.tasks.get(&cause).copied().unwrap_or_default());
        if let Some(step) = &summary.longest {
            info!("tasks wait for capacity", kv: {
                job = step.first.job.to_string(),
                step = format!("{}.{}", step.first.occurrence, step.first.step),
                tasks = step.tasks, causes = step.causes.to_string()
            });
        }
        let elapsed = self.context.clock.now().since(started_at);
        self.timings.exclusions.add(elapsed);
        summary.to_string()
    }

    /// Places tasks, logs events, writes to the store and sends orders, each if due.
    fn run_due_actions(&mut self) {
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        if self.needs_placement && now >= self.placement_due {
            self.needs_placement = false;
            self.placed_at = now;
            self.scheduler.place(now, wall);
            let ended = self.context.clock.now();
            self.timings.placements.add(ended.since(now));
            let rest = PLACEMENT_INTERVAL.max(ended.since(now) * PLACEMENT_PAUSE_FACTOR);
            self.placement_due = ended.after(rest);
        }
        self.log_events(now);
        let write_started_at = self.context.clock.now();
        if let Some(plan) = self.scheduler.begin_commit(now, wall) {
            self.timings
                .writes
                .add(self.context.clock.now().since(write_started_at));
            let store = self.context.store.clone();
            let (epoch, version) = (self.scheduler.epoch(), self.version);
            let metrics = Arc::clone(&self.context.metrics);
            let callers = Arc::clone(&self.context.callers);
            let clock = self.context.clock;
            self.commits.spawn(async move {
                let end = commit(store, &callers, epoch, version, plan).await;
                let elapsed = clock.now().since(now);
                metrics.commit_seconds.observe(elapsed.as_secs_f64());
                end
            });
        }
        for vm in self.scheduler.take_pending_updates() {
            let started_at = self.context.clock.now();
            self.send_orders(&vm, now);
            self.timings
                .orders
                .add(self.context.clock.now().since(started_at));
        }
    }

    fn log_events(&mut self, now: MonoTime) {
        let (events, omitted) = self.scheduler.take_events();
        let metrics = &self.context.metrics;
        for event in events {
            match &event {
                JobEvent::Placed { job, .. } => {
                    let elapsed = self.start_legs.finish(*job, StartLeg::Placement, now);
                    if let Some(elapsed) = elapsed {
                        metrics.record_leg(StartLeg::Placement, elapsed);
                    }
                }
                JobEvent::Finished { job, .. } => self.start_legs.remove(*job),
                _ => {}
            }
            self.decisions.log(event, metrics, now);
        }
        if omitted > 0 {
            warn!("decisions not logged", kv: { lines = omitted });
        }
    }

    /// Records the time of a leg if a job has just finished it.
    fn finish_leg(&mut self, job: JobCode, leg: StartLeg, now: MonoTime) {
        if let Some(elapsed) = self.start_legs.finish(job, leg, now) {
            self.context.metrics.record_leg(leg, elapsed);
        }
    }

    /// Queues orders for the agent of a VM.
    fn send_orders(&mut self, vm: &str, now: MonoTime) {
        let Some(order_sender) = self.order_senders.get(vm) else {
            return;
        };
        if order_sender.is_closed() {
            self.order_senders.remove(vm);
            return;
        }
        if order_sender.capacity() == 0 {
            // Orders that are skipped here are repeated in the answer to the next report.
            return;
        }
        if let Some(orders) = self.scheduler.orders(vm, now) {
            let starts = orders.starts.len();
            if order_sender.try_send(orders).is_err() {
                warn!("orders not sent", kv: { vm = vm.to_owned(), starts = starts });
            }
        }
    }

    /// Updates the leader view that answers this entry's own callers with the loads just written.
    fn publish(&self, plan: &CommitPlan) {
        if let Ok(row) = v1::LeaderRow::decode(plan.leader_row.as_slice()) {
            let now = self.context.clock.now();
            self.context.leader.send_replace(LeaderView::new(&row, now));
        }
    }
}

/// Returns whether a write releases the leadership.
fn is_release(plan: &CommitPlan) -> bool {
    v1::LeaderRow::decode(plan.leader_row.as_slice()).is_ok_and(|row| row.released)
}

/// Receives the reports of an agent and sends it orders until the connection fails.
async fn serve_link(link: AgentLink, number: u64, reports: mpsc::Sender<LinkedReport>) {
    let (mut reader, mut writer) = link;
    let (order_sender, mut orders) = mpsc::channel::<v1::VmOrders>(LINK_QUEUE_LIMIT);
    let send = async {
        while let Some(orders) = orders.recv().await {
            send_message(&mut writer, &orders).await?;
        }
        Ok::<(), eyre::Report>(())
    };
    let receive = async {
        loop {
            let message = tokio::time::timeout(LINK_TIMEOUT, reader.receive::<v1::VmReport>());
            let Some(report) = message.await?? else {
                return Ok::<(), eyre::Report>(());
            };
            let linked = LinkedReport {
                report,
                link: number,
                order_sender: order_sender.clone(),
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
        info!("connection to an agent failed", kv: { reason = format!("{error:#}") });
    }
}

async fn send_message(writer: &mut LinkWriter, orders: &v1::VmOrders) -> eyre::Result<()> {
    writer.send(orders).await
}
