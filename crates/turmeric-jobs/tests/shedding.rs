//! Tests of load shedding: replayed loads on a leader with reporting VMs, and a model of an
//! overload with drawn jobs.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    AdmissionAccount, AdmissionDecision, AttemptEnd, AttemptKey, AttemptStatus, EndKind,
    EndpointIncarnation, EndpointInfo, EvictionCause, JobCode, JobEvent, JobOrder, JobPhase,
    JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, PolicySet, PreemptionPolicy, QueueDelay,
    QueuePolicy, RemainingWork, StepSpec, VmReport, WorkDelay, admit, decide_admission,
    earliest_end, rank_job, read_key,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};

/// Time between two reports of a VM, in milliseconds.
const ROUND: u64 = 100;

/// Time that a resumed task needs to restore its checkpoint, in milliseconds.
const RESTORE_MILLIS: u64 = 300;

/// Processors of each VM.
const VM_CORES: u64 = 8;

fn resources(millicores: u64, gibibytes: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(gibibytes << 30),
        AcceleratorCount::new(0),
    )
}

/// A best-effort job of one step of `count` tasks with one processor each, with an objective of
/// 1 s and twice its estimate.
fn best_effort(route: &str, count: u32, millis: u64) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            route: route.to_owned(),
            service: "s".to_owned(),
            priority: 1,
            attempt_limit: 2,
            stretch_permille: 2000,
            objective: Duration::from_secs(1),
        },
        accepted_at: WallTime::default(),
        text: String::new(),
        steps: vec![StepSpec {
            count,
            need: resources(1000, 1),
            estimate: Duration::from_millis(millis),
            is_best_effort: true,
            checkpoints: true,
            image: Some("photo".to_owned()),
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// A best-effort job that is overdue from its start: its objective is 1 s, far less than its
/// tasks take.
fn overdue(count: u32, millis: u64) -> JobSpec {
    let mut spec = best_effort("photos", count, millis);
    spec.queue.stretch_permille = 0;
    spec
}

/// An attempt that runs on a VM.
struct RunningAttempt {
    left: u64,
    total: u64,
}

#[derive(Default)]
struct BenchVm {
    running: BTreeMap<AttemptKey, RunningAttempt>,
    ends: Vec<AttemptEnd>,
}

/// A job as the test submitted it.
struct SubmittedJob {
    spec: JobSpec,
    is_accepted: bool,
    /// Time that each task takes, in milliseconds.
    task_millis: u64,
}

/// An entry, a leader and VMs that report to it each round.
struct Bench {
    round: u64,
    policies: PolicySet,
    leader: JobScheduler,
    vms: Vec<BenchVm>,
    jobs: BTreeMap<JobCode, SubmittedJob>,
    delays: BTreeMap<String, QueueDelay>,
    evicted: Vec<AttemptKey>,
    /// Evicted attempts continue to run, as those of workers that stop them slowly.
    holds_stops: bool,
    /// Most evictions of one round.
    most_evictions: usize,
}

impl Bench {
    fn new(vms: usize, policies: PolicySet) -> Self {
        let timeouts = LeaderTimeouts {
            lease: LeaseLimits::new(Duration::from_secs(5)),
            renewal_window: Duration::from_secs(5),
            retention: Duration::from_secs(1000),
        };
        let now = MonoTime::from_millis(100 * ROUND);
        let leader = JobScheduler::new(timeouts, 1, "e".to_owned(), String::new(), now);
        let mut bench = Self {
            round: 100,
            policies,
            leader: leader.with_policies(policies),
            vms: (0..vms).map(|_| BenchVm::default()).collect(),
            jobs: BTreeMap::new(),
            delays: BTreeMap::new(),
            evicted: Vec::new(),
            holds_stops: false,
            most_evictions: 0,
        };
        // The leader publishes delays 1.5 s after it has taken over.
        bench.play(20);
        bench
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.round * ROUND)
    }

    /// Submits a job whose tasks take `task_millis`; returns whether it was accepted.
    fn submit(&mut self, mut spec: JobSpec, task_millis: u64) -> (JobCode, bool) {
        spec.accepted_at = self.wall();
        let code = JobCode::new(self.jobs.len() as u64 + 1);
        let delay = self.delays.get(&spec.queue.route).cloned();
        let account = self.policies.admission_account;
        let decision = decide_admission(account, &spec, &delay.unwrap_or_default());
        let is_accepted = decision == AdmissionDecision::Accept;
        if is_accepted {
            self.leader.add_job(code, spec.clone(), self.wall());
        }
        let job = SubmittedJob {
            spec,
            is_accepted,
            task_millis,
        };
        self.jobs.insert(code, job);
        (code, is_accepted)
    }

    fn report(&self, number: usize) -> VmReport {
        let vm = &self.vms[number];
        let status = |(key, attempt): (&AttemptKey, &RunningAttempt)| AttemptStatus {
            key: *key,
            checkpoint: String::new(),
            percent: (100 * (attempt.total - attempt.left.min(attempt.total)) / attempt.total)
                as u32,
            pace: 100,
            is_confirmed: true,
        };
        VmReport {
            vm: format!("w{number}"),
            zone: "morava-a".to_owned(),
            epoch: 1,
            stamp_millis: self.round * ROUND,
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: format!("i-{number}"),
                    started_at_millis: 1,
                },
                service: "s".to_owned(),
                is_draining: false,
                capacity: resources(VM_CORES * 1000, 64),
                labels: Vec::new(),
            }),
            is_synced: true,
            is_terminated: false,
            is_unresponsive: false,
            attempts: vm.running.iter().map(status).collect(),
            ends: vm.ends.clone(),
            refused: Vec::new(),
            applied_orders: 0,
            crash: None,
            headroom: None,
            has_more_ends: false,
            lease_wait: None,
            own_lease_wait: None,
            is_stopping: false,
            unplanned: Vec::new(),
        }
    }

    fn end(&mut self, number: usize, key: AttemptKey, kind: EndKind) {
        let vm = &mut self.vms[number];
        let attempt = vm.running.remove(&key).unwrap();
        vm.ends.push(AttemptEnd {
            number: vm.ends.len() as u64 + 1,
            key,
            kind,
            checkpoint: match kind {
                EndKind::Done => String::new(),
                _ => attempt.left.to_string(),
            },
        });
    }

    fn advance(&mut self, number: usize) {
        let mut done = Vec::new();
        for (key, attempt) in &mut self.vms[number].running {
            attempt.left = attempt.left.saturating_sub(ROUND);
            if attempt.left == 0 {
                done.push(*key);
            }
        }
        for key in done {
            self.end(number, key, EndKind::Done);
        }
    }

    fn apply_orders(&mut self, number: usize, orders: &v1::VmOrders) {
        for start in &orders.starts {
            let key = read_key(start.key.as_ref()).unwrap();
            let total = self.jobs[&key.task.job].task_millis;
            let left = match start.checkpoint.parse::<u64>() {
                Ok(left) => left + RESTORE_MILLIS,
                Err(_) => total,
            };
            let attempt = RunningAttempt { left, total };
            self.vms[number].running.entry(key).or_insert(attempt);
        }
        let keep = orders.keep.iter();
        let keep: Vec<AttemptKey> = keep.map(|key| read_key(Some(key)).unwrap()).collect();
        if self.holds_stops {
            return;
        }
        let running: Vec<AttemptKey> = self.vms[number].running.keys().copied().collect();
        for key in running.into_iter().filter(|key| !keep.contains(key)) {
            self.end(number, key, EndKind::Stopped);
        }
    }

    fn play(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.play_round();
        }
    }

    fn play_round(&mut self) {
        self.round += 1;
        let (now, wall) = (MonoTime::from_millis(self.round * ROUND), self.wall());
        for number in 0..self.vms.len() {
            self.advance(number);
            let report = self.report(number);
            self.leader.handle_report(report, now, wall);
        }
        self.leader.tick(now);
        self.leader.place(now, wall);
        if let Some(plan) = self.leader.begin_commit(now, wall) {
            self.leader.commit_done(&plan, now);
            let row = v1::LeaderRow::decode(plan.leader_row.as_slice()).unwrap();
            self.delays = row.queues.iter().map(read_delay).collect();
        }
        for number in 0..self.vms.len() {
            if let Some(orders) = self.leader.orders(&format!("w{number}"), now) {
                self.apply_orders(number, &orders);
            }
        }
        let evicted = self.evicted.len();
        for event in self.leader.take_events().0 {
            if let JobEvent::Evicted { key, cause, .. } = event {
                assert_eq!(cause, EvictionCause::Overdue);
                self.evicted.push(key);
            }
        }
        self.most_evictions = self.most_evictions.max(self.evicted.len() - evicted);
    }

    /// Returns the age at which a job ended, as a multiple of its objective.
    fn age_at_end(&self, code: JobCode) -> Option<f64> {
        let job = self.leader.job(code)?;
        let ended_at = job.ended_at?;
        let age = ended_at.since(job.spec.accepted_at);
        Some(age.as_secs_f64() / self.jobs[&code].spec.objective().as_secs_f64())
    }

    /// Counts the accepted jobs that ended within `limit` objectives.
    fn count_ended(&self, limit: f64) -> usize {
        let ages = self.jobs.keys().filter_map(|code| self.age_at_end(*code));
        ages.filter(|age| *age <= limit).count()
    }

    fn count_refused(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_accepted).count()
    }

    /// Plays until every accepted job has ended.
    fn finish(&mut self) {
        for _ in 0..10_000 {
            if self.leader.open_jobs() == 0 {
                return;
            }
            self.play_round();
        }
        panic!("{} jobs have not ended", self.leader.open_jobs());
    }
}

fn read_delay(queue: &v1::QueueLoad) -> (String, QueueDelay) {
    let step = |step: &v1::WorkDelay| WorkDelay {
        work: step.work,
        delay: Duration::from_millis(step.delay_millis),
    };
    let delay = QueueDelay {
        delay: Duration::from_millis(queue.delay_millis),
        steps: queue.steps.iter().map(step).collect(),
    };
    (queue.route.clone(), delay)
}

fn all_work() -> PolicySet {
    PolicySet {
        admission_account: AdmissionAccount::AllWork,
        ..PolicySet::default()
    }
}

fn preempting() -> PolicySet {
    PolicySet {
        preemption: PreemptionPolicy::Overdue,
        ..PolicySet::default()
    }
}

/// Guards against names that differ from those in docs/OPERATORS.md, and against defaults that
/// change decisions.
#[test]
fn variants_are_chosen_by_name_and_defaults_shed_nothing() {
    let names = [
        ("admission-account", "all-work"),
        ("job-order", "slack-and-age"),
        ("preemption", "overdue"),
    ];
    let names = names.map(|(policy, variant)| (policy.to_owned(), variant.to_owned()));
    let set = PolicySet::from_names(&BTreeMap::from(names)).unwrap();
    assert_eq!(set.admission_account, AdmissionAccount::AllWork);
    assert_eq!(set.job_order, JobOrder::SlackAndAge);
    assert_eq!(set.preemption, PreemptionPolicy::Overdue);
    let set = PolicySet::default();
    assert_eq!(set.admission_account, AdmissionAccount::ReservedWork);
    assert_eq!(set.job_order, JobOrder::LeastWork);
    assert_eq!(set.preemption, PreemptionPolicy::None);
}

/// Replays a burst: a large best-effort job every 200 ms for 16 s, about 20 times the capacity
/// of 16 processors, and a small job every 300 ms. Returns the small and the large jobs.
fn play_burst(bench: &mut Bench) -> (Vec<JobCode>, Vec<JobCode>) {
    let (mut small, mut large) = (Vec::new(), Vec::new());
    for round in 0..160 {
        if round % 2 == 0 {
            let spec = best_effort("photos", 16, 4000);
            large.push(bench.submit(spec, 4000).0);
        }
        if round % 3 == 0 {
            small.push(bench.submit(best_effort("thumbnails", 1, 500), 500).0);
        }
        bench.play_round();
    }
    bench.finish();
    (small, large)
}

/// Guards against the fault that best-effort jobs are accepted whatever waits, so that most of
/// them end when their results are no longer of use; and against refusing small jobs because
/// of the work of large ones.
#[test]
fn burst_of_large_jobs_is_refused_and_small_jobs_are_accepted() {
    let mut before = Bench::new(2, PolicySet::default());
    play_burst(&mut before);
    assert_eq!(before.count_refused(), 0);
    let mut bench = Bench::new(2, all_work());
    let (small, large) = play_burst(&mut bench);
    let accepted = |codes: &[JobCode]| {
        let codes = codes.iter();
        codes.filter(|code| bench.jobs[code].is_accepted).count()
    };
    println!(
        "of use: {} before, {} after; {} of {} large jobs accepted",
        before.count_ended(3.0),
        bench.count_ended(3.0),
        accepted(&large),
        large.len()
    );
    assert_eq!(accepted(&small), small.len());
    assert!(accepted(&large) < large.len());
    // No job that ended while its result was of use is lost by the refusals.
    assert!(bench.count_ended(3.0) >= before.count_ended(3.0));
}

/// Guards against a delay that refuses jobs although they could start: tasks of six processors
/// wait, two processors of each VM are free, and large jobs of small tasks arrive.
#[test]
fn no_job_is_refused_while_processors_are_idle_for_its_tasks() {
    let mut bench = Bench::new(2, all_work());
    let wide = |count| {
        let mut spec = best_effort("photos", count, 4000);
        spec.steps[0].need = resources(6000, 1);
        spec
    };
    bench.submit(best_effort("photos", 1, 60_000), 60_000);
    bench.submit(wide(500), 4000);
    bench.play(5);
    let delays = &bench.delays["photos"];
    assert_eq!(delays.delay, Duration::ZERO, "{delays:?}");
    assert!(bench.submit(best_effort("photos", 600, 4000), 4000).1);
    // Once its tasks fill the processors, nothing can start.
    bench.play(5);
    assert!(bench.delays["photos"].delay > Duration::from_secs(60));
}

/// Guards against a published delay that changes where the policy doesn't count best-effort
/// work: entries with default policies, and queues of priority 0.
#[rstest]
#[case(PolicySet::default(), 1, false)]
#[case(all_work(), 0, false)]
#[case(all_work(), 1, true)]
fn best_effort_work_delays_only_where_the_policy_counts_it(
    #[case] policies: PolicySet,
    #[case] priority: u32,
    #[case] counts: bool,
) {
    let mut bench = Bench::new(1, policies);
    let mut spec = best_effort("photos", 600, 4000);
    spec.queue.priority = priority;
    bench.submit(spec, 4000);
    bench.play(5);
    assert_eq!(bench.delays["photos"].delay > Duration::ZERO, counts);
}

/// Replays an overload of best-effort jobs that lasts longer than the objectives: two large
/// jobs at once, each of which needs all processors for 30 s, and later small jobs. Returns the
/// small jobs.
fn play_long_overload(bench: &mut Bench) -> Vec<JobCode> {
    for _ in 0..2 {
        bench.submit(overdue(8, 30_000), 30_000);
    }
    bench.play(20);
    let mut small = Vec::new();
    for round in 0..60 {
        if round % 5 == 0 {
            small.push(bench.submit(best_effort("thumbnails", 1, 500), 500).0);
        }
        bench.play_round();
    }
    bench.finish();
    small
}

/// Guards against the fault that tasks of overdue jobs hold all processors while jobs that
/// could be in time wait and become overdue, too.
#[test]
fn overdue_tasks_are_preempted_for_jobs_in_time() {
    let mut before = Bench::new(1, PolicySet::default());
    let small = play_long_overload(&mut before);
    let in_time = |bench: &Bench, codes: &[JobCode]| {
        let ages = codes.iter().map(|code| bench.age_at_end(*code).unwrap());
        ages.filter(|age| *age <= 1.0).count()
    };
    let in_time_before = in_time(&before, &small);
    assert!(before.evicted.is_empty());
    let mut bench = Bench::new(1, preempting());
    let small = play_long_overload(&mut bench);
    let in_time_after = in_time(&bench, &small);
    println!(
        "small jobs in time: {in_time_before} before, {in_time_after} after, {} evictions",
        bench.evicted.len()
    );
    assert_eq!(in_time_after, small.len());
    assert!(in_time_before < small.len());
    assert!(!bench.evicted.is_empty());
    assert!(bench.most_evictions <= 4);
    // Every job ends in spite of the evictions.
    let is_done = |code: &JobCode| bench.leader.job(*code).unwrap().phase == JobPhase::Done;
    assert!(bench.jobs.keys().all(is_done));
}

/// Guards against the preemption of a task that must not be: of a job in time, without
/// checkpoints, or in favour of a job of worse priority.
#[rstest]
#[case::may_be_preempted(|_: &mut JobSpec| (), 4)]
#[case::in_time(|victim: &mut JobSpec| victim.queue.objective = Duration::from_secs(500), 0)]
#[case::late(|victim: &mut JobSpec| victim.queue.objective = Duration::from_secs(20), 0)]
#[case::no_checkpoint(|victim: &mut JobSpec| victim.steps[0].checkpoints = false, 0)]
#[case::better_priority(|victim: &mut JobSpec| victim.queue.priority = 0, 0)]
#[case::reserving(|victim: &mut JobSpec| victim.steps[0].is_best_effort = false, 0)]
fn only_tasks_of_overdue_jobs_with_checkpoints_are_preempted(
    #[case] change: fn(&mut JobSpec),
    #[case] evictions: usize,
) {
    let mut bench = Bench::new(1, preempting());
    let mut victim = overdue(8, 30_000);
    change(&mut victim);
    bench.submit(victim, 30_000);
    bench.play(30);
    bench.submit(best_effort("thumbnails", 4, 500), 500);
    bench.play(20);
    assert_eq!(bench.evicted.len(), evictions);
}

/// Guards against more preemptions at once than a wrong decision may cost, and against evicting
/// again for a task that is about to get the processors of an earlier eviction.
#[test]
fn at_most_eight_tasks_are_preempted_at_one_time() {
    let mut bench = Bench::new(4, preempting());
    bench.submit(overdue(32, 60_000), 60_000);
    bench.play(30);
    bench.submit(best_effort("thumbnails", 20, 2000), 2000);
    bench.holds_stops = true;
    bench.play_round();
    assert_eq!(bench.evicted.len(), 4);
    bench.play(5);
    assert_eq!(bench.evicted.len(), 8);
    bench.holds_stops = false;
    bench.play(10);
    assert!(bench.most_evictions <= 4);
    assert_eq!(bench.evicted.len(), 20);
}

/// Guards against stopping a second task for a waiting one while the first is still stopping.
#[test]
fn one_task_is_preempted_for_each_waiting_task() {
    let mut bench = Bench::new(1, preempting());
    bench.submit(overdue(8, 20_000), 20_000);
    bench.play(30);
    bench.submit(best_effort("thumbnails", 2, 2000), 2000);
    bench.holds_stops = true;
    bench.play(5);
    assert_eq!(bench.evicted.len(), 2);
}

/// Guards against a preemption so soon after the start that a task loses more by restores than it
/// gains by running: each attempt runs for 1.5 s first.
#[test]
fn task_runs_for_a_while_before_it_is_preempted() {
    let mut bench = Bench::new(1, preempting());
    bench.submit(overdue(8, 20_000), 20_000);
    while bench.vms[0].running.is_empty() {
        bench.play_round();
    }
    bench.submit(best_effort("thumbnails", 1, 5000), 5000);
    bench.play(14);
    assert_eq!(bench.evicted, []);
    bench.play(3);
    assert_eq!(bench.evicted.len(), 1);
    // It resumes, and ends.
    bench.finish();
}

/// Guards against a bound that refuses jobs which end in useful time more often than one in ten:
/// equal jobs ahead are drawn with independent errors of up to nine tenths.
#[rstest]
#[case(1)]
#[case(5)]
#[case(20)]
fn one_in_ten_jobs_ends_before_the_earliest_end(#[case] ahead: u32) {
    let path = Duration::from_secs(3);
    let bound = earliest_end(path * ahead, path).as_secs_f64();
    let mut random = SplitMixRandom::new(7);
    let mut draw = || path.as_secs_f64() * (0.1 + 1.8 * random.next_unit());
    let ends = (0..20_000).map(|_| (0..=ahead).map(|_| draw()).sum::<f64>());
    let share = ends.filter(|end| *end <= bound).count() as f64 / 20_000.0;
    assert!((0.08..0.12).contains(&share), "{share}");
}

/// Guards against an overflow for the largest delay and work that a job may have, and a bound
/// below what any error allows.
#[test]
fn earliest_end_is_bounded() {
    let longest = Duration::from_millis(u64::MAX);
    assert!(earliest_end(longest, Duration::ZERO) >= longest / 2);
    assert!(earliest_end(longest, longest) >= longest / 10);
    let second = Duration::from_secs(1);
    assert!(earliest_end(Duration::from_millis(1), second) >= second / 10);
}

/// Guards against other decisions than today's with the default policy and for queues of
/// priority 0, and against refusing open-ended jobs.
#[test]
fn admission_is_as_before_unless_the_policy_says_otherwise() {
    let spec = best_effort("photos", 1, 2000);
    let important = JobSpec {
        queue: QueuePolicy {
            priority: 0,
            ..spec.queue.clone()
        },
        ..spec.clone()
    };
    for seconds in 0..200 {
        let delay = QueueDelay {
            delay: Duration::from_secs(seconds),
            steps: Vec::new(),
        };
        let before = admit(&spec, &delay);
        let with = |account, spec: &JobSpec| decide_admission(account, spec, &delay);
        assert_eq!(with(AdmissionAccount::ReservedWork, &spec), before);
        assert_eq!(with(AdmissionAccount::AllWork, &important), before);
        let mut lasting = spec.clone();
        lasting.steps[0].is_long_running = true;
        let decision = with(AdmissionAccount::AllWork, &lasting);
        assert_eq!(decision, AdmissionDecision::Accept);
    }
}

/// A job that has begun and would be late if it were deferred goes before a smaller new one;
/// a new job, and one with slack, doesn't. Guards also against a changed default order.
#[rstest]
#[case(JobOrder::SlackAndAge, true, 12_400, true)]
#[case(JobOrder::SlackAndAge, true, 12_000, false)]
#[case(JobOrder::SlackAndAge, false, 12_400, false)]
#[case(JobOrder::LeastWork, true, 12_400, false)]
fn begun_job_without_slack_goes_first(
    #[case] order: JobOrder,
    #[case] has_begun: bool,
    #[case] now: u64,
    #[case] goes_first: bool,
) {
    let now = WallTime::from_millis(now);
    let rank = |accepted_at, has_begun, core_millis| {
        let mut spec = best_effort("photos", 1, 2000);
        spec.accepted_at = WallTime::from_millis(accepted_at);
        let remaining = RemainingWork {
            critical_path_millis: 2000,
            core_millis,
        };
        rank_job(&spec, remaining, now).with_job_order(order, &spec, remaining, has_begun, now)
    };
    // Its objective ends at 14.5 s; it needs 2 s more, and a deferral takes a tenth of that.
    let large = rank(9_500, has_begun, 9000);
    let small = rank(now.as_millis(), false, 500);
    assert_eq!(large < small, goes_first);
}

/// Guards against the starvation of a large overdue job by smaller ones that become overdue
/// later.
#[test]
fn overdue_jobs_are_ordered_by_age() {
    let now = WallTime::from_millis(100_000);
    let rank = |order, accepted_at, core_millis| {
        let mut spec = best_effort("photos", 1, 2000);
        spec.accepted_at = WallTime::from_millis(accepted_at);
        let remaining = RemainingWork {
            critical_path_millis: 2000,
            core_millis,
        };
        rank_job(&spec, remaining, now).with_job_order(order, &spec, remaining, true, now)
    };
    let both = |order| (rank(order, 1000, 9000), rank(order, 2000, 500));
    let (older, younger) = both(JobOrder::SlackAndAge);
    assert!(older < younger);
    let (older, younger) = both(JobOrder::LeastWork);
    assert!(younger < older);
}

/// Drawn best-effort jobs on 16 processors, whose tasks take 0.4 to 1.9 times their estimates.
#[derive(Clone, Copy)]
struct DrawnLoad {
    /// Work that arrives, as a multiple of the capacity.
    factor: u64,
    /// Rounds in which jobs arrive, and in which none do, by turns.
    wave: u64,
    pause: u64,
    /// Rounds of the whole load.
    rounds: u64,
}

impl DrawnLoad {
    /// Plays the load, checks each refusal, and plays until every accepted job has ended.
    fn play(self, seed: u64, policies: PolicySet) -> Bench {
        let mut random = SplitMixRandom::new(seed);
        let mut bench = Bench::new(2, policies);
        let (start, mut due) = (bench.round, bench.round);
        while bench.round < start + self.rounds {
            let is_wave = (bench.round - start) % (self.wave + self.pause) < self.wave;
            due = due.max(bench.round);
            while is_wave && due <= bench.round {
                due += self.submit(&mut random, &mut bench);
            }
            bench.play_round();
        }
        bench.finish();
        bench
    }

    /// Submits one job; returns the number of rounds until the next one.
    fn submit(self, random: &mut SplitMixRandom, bench: &mut Bench) -> u64 {
        let count = 1 + random.next_below(24) as u32;
        let millis = 500 + random.next_below(4000) as u64;
        let task_millis = millis * (40 + random.next_below(150) as u64) / 100;
        let (code, is_accepted) = bench.submit(best_effort("photos", count, millis), task_millis);
        if !is_accepted {
            // A refused job has not begun, and could not start at once: the tasks that run or
            // are about to start take all processors.
            assert!(bench.leader.job(code).is_none());
            let busy: usize = bench.vms.iter().map(|vm| vm.running.len()).sum();
            assert!(busy >= 12, "refused while {busy} tasks run");
        }
        let work = task_millis * u64::from(count);
        (work / (self.factor * 2 * VM_CORES) / ROUND).max(1)
    }
}

/// Results of a load with several seeds.
#[derive(Default)]
struct LoadSummary {
    jobs: usize,
    in_time: usize,
    of_use: usize,
    refused: usize,
    evicted: usize,
}

fn play_seeds(name: &str, load: DrawnLoad, policies: PolicySet, seeds: u64) -> LoadSummary {
    let mut sum = LoadSummary::default();
    for seed in 1..=seeds {
        let bench = load.play(seed, policies);
        sum.jobs += bench.jobs.len();
        sum.in_time += bench.count_ended(1.0);
        sum.of_use += bench.count_ended(3.0);
        sum.refused += bench.count_refused();
        sum.evicted += bench.evicted.len();
    }
    println!(
        "{name}: {} jobs, {} in time, {} of use, {} refused, {} evictions",
        sum.jobs, sum.in_time, sum.of_use, sum.refused, sum.evicted
    );
    sum
}

/// An overload of ten times the capacity for 12 s. Guards against refusals of jobs that would
/// have ended in useful time, of which there may be fewer than one in ten, and of jobs that
/// could start at once. Every accepted job ends, so none starves.
#[test]
fn drawn_burst_loses_no_useful_job_by_refusals() {
    let load = DrawnLoad {
        factor: 10,
        wave: 120,
        pause: 0,
        rounds: 120,
    };
    let before = play_seeds("burst, default", load, PolicySet::default(), 8);
    let after = play_seeds("burst, all work", load, all_work(), 8);
    assert_eq!(before.refused, 0);
    assert!(after.refused > 0);
    assert!(after.of_use + after.refused / 10 >= before.of_use);
}

/// Overloads of four times the capacity for 10 s, with pauses of 15 s in which jobs that are
/// overdue run. Guards against preemption by which fewer jobs end in useful time, and against
/// jobs that starve because they are preempted repeatedly. The difference is about one job in
/// a hundred, so it takes many seeds.
#[test]
fn drawn_waves_serve_more_jobs_in_time_with_preemption() {
    let load = DrawnLoad {
        factor: 4,
        wave: 100,
        pause: 150,
        rounds: 1000,
    };
    let before = play_seeds("waves, default", load, PolicySet::default(), 60);
    let after = play_seeds("waves, preemption", load, preempting(), 60);
    assert_eq!(before.evicted, 0);
    assert!(after.evicted > 0);
    assert!(after.of_use >= before.of_use);
}

/// Overload for longer than the objectives. Guards against a job that starves, by any order, and
/// against the policies together losing useful jobs by refusals.
#[test]
fn every_job_ends_after_a_long_overload() {
    let load = DrawnLoad {
        factor: 2,
        wave: 600,
        pause: 0,
        rounds: 600,
    };
    let order = PolicySet {
        job_order: JobOrder::SlackAndAge,
        ..PolicySet::default()
    };
    let all = PolicySet {
        admission_account: AdmissionAccount::AllWork,
        preemption: PreemptionPolicy::Overdue,
        ..order
    };
    play_seeds("long, default", load, PolicySet::default(), 8);
    let by_order = play_seeds("long, order", load, order, 8);
    let by_all = play_seeds("long, all three", load, all, 8);
    assert!(by_all.of_use + by_all.refused / 10 >= by_order.of_use);
}
