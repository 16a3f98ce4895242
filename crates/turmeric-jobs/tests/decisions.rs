//! Tests of single decisions: admission, order, placement and leases.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    AdmissionDecision, AttemptLocation, ClockReading, HeadroomTable, JobCode, JobRank, JobSpec,
    JobState, JobUrgency, LeaseGrant, LeaseLimits, PlacementFailures, PlacementRequest, QueueDelay,
    QueuePolicy, RankTier, RemainingWork, StepSpec, TaskName, VmCapacity, WorkDelay, admit,
    choose_vm, judge_urgency, rank_job,
};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};

fn cores(millicores: u64) -> CoreCount {
    CoreCount::from_millicores(millicores)
}

fn step(millicores: u64) -> StepSpec {
    StepSpec {
        count: 1,
        need: ResourceSet::new(
            cores(millicores),
            MemorySize::new(1 << 30),
            AcceleratorCount::new(0),
        ),
        estimate: Duration::from_secs(2),
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            stretch_permille: 2000,
            objective: Duration::from_secs(1),
            ..QueuePolicy::default()
        },
        accepted_at: WallTime::from_millis(10_000),
        text: String::new(),
        steps,
        repeat: None,
    }
}

fn vm_capacity(vm: &str, free: u64) -> VmCapacity {
    VmCapacity {
        vm: vm.to_owned(),
        service: "s".to_owned(),
        labels: vec!["a".to_owned()],
        rack: Some("r1-1".to_owned()),
        free: ResourceSet::new(
            cores(free),
            MemorySize::new(64 << 30),
            AcceleratorCount::new(0),
        ),
        best_effort_demand: cores(0),
        serving_reserved: cores(0),
        serving_tasks: 0,
        best_effort_tasks: 0,
        serving_steps: BTreeMap::new(),
        best_effort_cores: BTreeMap::new(),
        cores: cores(16_000),
        is_suspect: false,
        has_recent_start: false,
    }
}

fn task_name(index: u32) -> TaskName {
    TaskName {
        job: "00000000000000aa".parse::<JobCode>().unwrap(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A burst: the queueing delay of a job that takes 2 s grows.
#[rstest]
#[case(0, true)]
#[case(10_000, true)]
#[case(10_001, false)]
#[case(60_000, false)]
fn job_that_would_finish_too_late_is_refused(#[case] delay: u64, #[case] is_accepted: bool) {
    let spec = job(vec![step(1000)]);
    let delay = QueueDelay {
        delay: Duration::from_millis(delay),
        steps: Vec::new(),
    };
    match admit(&spec, &delay) {
        AdmissionDecision::Accept => assert!(is_accepted),
        AdmissionDecision::Refuse { retry_after } => {
            assert!(!is_accepted);
            assert_eq!(retry_after, delay.delay - spec.objective() * 2);
        }
    }
}

#[test]
fn long_running_job_is_not_refused_because_of_a_backlog() {
    let long_running = StepSpec {
        is_long_running: true,
        ..step(1000)
    };
    let delay = QueueDelay {
        delay: Duration::from_secs(600),
        steps: Vec::new(),
    };
    assert_eq!(
        admit(&job(vec![long_running]), &delay),
        AdmissionDecision::Accept
    );
}

/// A few large jobs wait for a minute; small jobs are placed before them.
#[test]
fn small_job_is_not_refused_because_of_the_work_of_large_ones() {
    let work_delay = |work, millis| WorkDelay {
        work,
        delay: Duration::from_millis(millis),
    };
    let delay = QueueDelay {
        delay: Duration::from_secs(60),
        steps: vec![work_delay(2_000, 100), work_delay(900_000, 60_000)],
    };
    let small = job(vec![step(1000)]);
    assert_eq!(small.work(), 2000);
    assert_eq!(admit(&small, &delay), AdmissionDecision::Accept);
    let large = job(vec![step(1100)]);
    assert!(matches!(
        admit(&large, &delay),
        AdmissionDecision::Refuse { .. }
    ));
}

/// A backlog after a burst: jobs that can still meet their objective go first.
#[test]
fn jobs_that_can_meet_their_objective_go_before_late_ones() {
    let spec = job(vec![step(1000)]);
    let remaining = RemainingWork {
        critical_path_millis: 2000,
        core_millis: 2000,
    };
    let at = |millis| judge_urgency(&spec, remaining, WallTime::from_millis(millis));
    assert_eq!(at(10_000), JobUrgency::InTime);
    assert_eq!(at(13_001), JobUrgency::Late);
    assert_eq!(at(23_001), JobUrgency::Overdue);
    let fresh = JobSpec {
        accepted_at: WallTime::from_millis(13_000),
        ..spec.clone()
    };
    let now = WallTime::from_millis(13_500);
    assert!(rank_job(&fresh, remaining, now) < rank_job(&spec, remaining, now));
}

/// Long-running tasks go before late jobs and before jobs of a worse priority; jobs in time
/// of the same or a better priority go before them.
#[rstest]
#[case::in_time(0, 0, 10_000, false)]
#[case::worse_priority(0, 1, 10_000, true)]
#[case::better_priority(9, 0, 10_000, false)]
#[case::late(0, 0, 16_000, true)]
#[case::late_of_a_better_priority(9, 0, 16_000, true)]
#[case::overdue(0, 0, 60_000, true)]
fn long_running_tasks_wait_only_for_jobs_in_time(
    #[case] long_running_priority: u32,
    #[case] ending_priority: u32,
    #[case] now: u64,
    #[case] long_running_first: bool,
) {
    let long_running = StepSpec {
        is_long_running: true,
        ..step(8000)
    };
    let mut long_running = job(vec![long_running]);
    long_running.queue.priority = long_running_priority;
    let mut ending = job(vec![step(1000)]);
    ending.queue.priority = ending_priority;
    let remaining = RemainingWork {
        critical_path_millis: 2000,
        core_millis: 2000,
    };
    let rank = |spec: &JobSpec| rank_job(spec, remaining, WallTime::from_millis(now));
    assert_eq!(rank(&long_running) < rank(&ending), long_running_first);
}

/// A backlog: the remaining work of a job counts only tasks that are not placed yet, so the
/// last task of a wide step goes before jobs that have not started.
#[test]
fn last_task_of_a_started_step_goes_before_a_new_job() {
    let wide = StepSpec {
        count: 12,
        ..step(1000)
    };
    let code = task_name(0).job;
    let mut started = JobState::new(code, job(vec![wide]));
    for index in 0..11 {
        let state = started.tasks.get_mut(&task_name(index)).unwrap();
        state.location = Some(AttemptLocation {
            vm: "vm".to_owned(),
            incarnation: Default::default(),
        });
    }
    assert_eq!(started.remaining(code).core_millis, 2000);
    let fresh = JobState::new(
        code,
        job(vec![StepSpec {
            count: 2,
            ..step(1000)
        }]),
    );
    let now = WallTime::from_millis(10_500);
    let rank = |state: &JobState| rank_job(&state.spec, state.remaining(code), now);
    assert!(rank(&started) < rank(&fresh));
}

/// One job of a simulated overload: one step, whose tasks run in parallel.
struct SimulatedJob {
    spec: JobSpec,
    /// Number of tasks that wait.
    waiting: u32,
    /// Remaining time of each running task, in milliseconds.
    running: Vec<u64>,
    task_millis: u64,
}

impl SimulatedJob {
    fn remaining(&self) -> RemainingWork {
        let estimate = self.spec.steps[0].estimate.as_millis() as u64;
        let tasks = u64::from(self.waiting) + self.running.len() as u64;
        RemainingWork {
            critical_path_millis: estimate,
            core_millis: estimate * tasks,
        }
    }
}

/// Draws a job of 1 to 16 tasks with estimates of 0.5 to 4.5 s; the tasks take 0.4 to 2.2
/// times their estimate.
fn draw_job(random: &mut SplitMixRandom, now: u64) -> SimulatedJob {
    let millis = 500 + random.next_below(4000) as u64;
    let count = 1 + random.next_below(16) as u32;
    let mut spec = job(vec![StepSpec {
        count,
        estimate: Duration::from_millis(millis),
        ..step(1000)
    }]);
    spec.accepted_at = WallTime::from_millis(now);
    spec.queue.objective = Duration::from_secs(1);
    spec.queue.stretch_permille = 2000;
    SimulatedJob {
        spec,
        waiting: count,
        running: Vec::new(),
        task_millis: millis * (40 + random.next_below(180) as u64) / 100,
    }
}

/// Simulates jobs that arrive for a minute at twice the capacity of ten processors; returns
/// how many finish within their objective.
fn simulate_overload(seed: u64, rank: &dyn Fn(&SimulatedJob, WallTime) -> JobRank) -> usize {
    const STEP: u64 = 50;
    const PROCESSORS: usize = 10;
    let mut random = SplitMixRandom::new(seed);
    let (mut jobs, mut in_time): (Vec<SimulatedJob>, usize) = (Vec::new(), 0);
    let mut due = 0;
    for now in (0..90_000).step_by(STEP as usize) {
        let wall = WallTime::from_millis(now);
        if now >= due && now < 60_000 {
            let next = draw_job(&mut random, now);
            due = now + next.task_millis * u64::from(next.waiting) / (2 * PROCESSORS as u64);
            jobs.push(next);
        }
        for job in &mut jobs {
            for remaining in &mut job.running {
                *remaining = remaining.saturating_sub(STEP);
            }
            job.running.retain(|remaining| *remaining > 0);
            let is_done = job.waiting == 0 && job.running.is_empty();
            let objective = job.spec.accepted_at.after(job.spec.objective());
            in_time += usize::from(is_done && wall <= objective);
        }
        jobs.retain(|job| job.waiting > 0 || !job.running.is_empty());
        jobs.sort_by_key(|job| rank(job, wall));
        let mut free = PROCESSORS - jobs.iter().map(|job| job.running.len()).sum::<usize>();
        for job in &mut jobs {
            let started = free.min(job.waiting as usize);
            free -= started;
            job.waiting -= started as u32;
            job.running.extend((0..started).map(|_| job.task_millis));
        }
    }
    in_time
}

/// Twenty simulations of a minute at twice the capacity, compared with first come, first
/// served, and with order by age among the jobs that can still meet their objective.
#[test]
fn more_jobs_finish_in_time_during_overload_than_by_age() {
    let seeds = 1..=20;
    let sum = |rank: &dyn Fn(&SimulatedJob, WallTime) -> JobRank| -> usize {
        seeds
            .clone()
            .map(|seed| simulate_overload(seed, rank))
            .sum()
    };
    let by_rank = sum(&|job, now| rank_job(&job.spec, job.remaining(), now));
    let by_arrival = sum(&|job, now| JobRank {
        tier: RankTier::FullUse,
        core_millis: 0,
        ..rank_job(&job.spec, job.remaining(), now)
    });
    let by_age = sum(&|job, now| JobRank {
        core_millis: 0,
        ..rank_job(&job.spec, job.remaining(), now)
    });
    println!("in time: {by_rank}, by age {by_age}, by arrival {by_arrival}");
    assert!(by_rank > by_age);
    assert!(by_age > by_arrival);
}

/// On nearly full VMs, small tasks must not split up large free capacity.
#[test]
fn task_is_placed_on_the_vm_with_the_least_sufficient_free_capacity() {
    let vms = [
        vm_capacity("wide", 12_000),
        vm_capacity("tight", 2_500),
        vm_capacity("full", 500),
    ];
    let table = HeadroomTable::new();
    let step = step(2_000);
    let request = PlacementRequest {
        service: "s",
        step: &step,
        table: &table,
        is_starved: false,
    };
    let chosen = choose_vm(&request, vms.iter(), |_| 0).unwrap();
    assert_eq!(chosen.vm, "tight");
}

#[rstest]
#[case::service(StepSpec { ..step(100) }, "other", 0)]
#[case::label(StepSpec { label: Some("gpu".to_owned()), ..step(100) }, "s", 0)]
#[case::limit(StepSpec { vm_limit: Some(2), ..step(100) }, "s", 2)]
#[case::size(step(20_000), "s", 0)]
fn vm_that_may_not_run_a_task_is_not_chosen(
    #[case] step: StepSpec,
    #[case] service: &str,
    #[case] placed: u32,
) {
    let table = HeadroomTable::new();
    let request = PlacementRequest {
        service,
        step: &step,
        table: &table,
        is_starved: false,
    };
    let vms = [vm_capacity("vm", 16_000)];
    assert!(choose_vm(&request, vms.iter(), |_| placed).is_none());
}

/// Whichever pause occurs between a report, the reading of the worker's clock and the order,
/// the lease ends at most its term after the report.
#[rstest]
#[case(0, 0)]
#[case(3_000, 0)]
#[case(0, 3_000)]
#[case(9_000, 500)]
fn lease_ends_at_most_its_term_after_the_report(
    #[case] read_delay: u64,
    #[case] answer_delay: u64,
) {
    let limits = LeaseLimits::new(Duration::from_millis(5_900));
    // The worker's clock is 100 s ahead, and the answer with its reading is delayed.
    let reported = 50_000;
    let read_at = reported + read_delay;
    let reading = ClockReading {
        received_at: MonoTime::from_millis(read_at + answer_delay),
        worker_millis: read_at + 100_000,
    };
    let grant = LeaseGrant {
        reported_at: MonoTime::from_millis(reported),
    };
    let end = grant.worker_deadline(&limits, &reading);
    assert!(end <= reported + 100_000 + 5_900, "{end}");
    assert!(limits.wait() > Duration::from_millis(5_900 * 102 / 100));
}

/// A burst in which nothing fits any longer: tasks covered by an earlier placement failure
/// are not tried again, so each of them must really fit no VM.
#[test]
fn task_covered_by_a_placement_failure_fits_no_vm() {
    let mut random = SplitMixRandom::new(11);
    let table = HeadroomTable::new();
    let draw_step = |random: &mut SplitMixRandom| StepSpec {
        is_best_effort: random.next_below(2) == 0,
        image: Some(format!("image-{}", random.next_below(3))),
        label: (random.next_below(4) == 0).then(|| "b".to_owned()),
        vm_limit: (random.next_below(4) == 0).then_some(1),
        ..step(500 + 500 * random.next_below(10) as u64)
    };
    let task = task_name(0);
    let mut covered = 0;
    for _ in 0..300 {
        let mut vms: Vec<VmCapacity> = (0..4)
            .map(|vm| vm_capacity(&format!("vm-{vm}"), 500 * random.next_below(12) as u64))
            .collect();
        let mut failures = PlacementFailures::new();
        for _ in 0..40 {
            let step = draw_step(&mut random);
            let request = PlacementRequest {
                service: "s",
                step: &step,
                table: &table,
                is_starved: false,
            };
            let found =
                choose_vm(&request, vms.iter(), |_| 0).map(|vm_capacity| vm_capacity.vm.clone());
            if failures.covers("s", &step) {
                covered += 1;
                assert_eq!(found, None);
            }
            match found {
                Some(vm) => vms
                    .iter_mut()
                    .filter(|vm_capacity| vm_capacity.vm == vm)
                    .for_each(|vm_capacity| vm_capacity.add(&task, &step, &table)),
                None => failures.record("s", &step),
            }
        }
    }
    assert!(covered > 1000, "{covered}");
}
