//! Decisions one by one, each under the load that it answers.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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

fn room(vm: &str, free: u64) -> VmCapacity {
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
        filled: cores(0),
        served: cores(0),
        serving: 0,
        filling: 0,
        steps: BTreeMap::new(),
        fillers: BTreeMap::new(),
        cores: cores(16_000),
        is_suspect: false,
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

/// A burst: more and more work ahead of a job that takes 2 s.
#[rstest]
#[case(0, true)]
#[case(10_000, true)]
#[case(10_001, false)]
#[case(60_000, false)]
fn a_job_is_refused_at_once_when_it_would_come_too_late(#[case] delay: u64, #[case] taken: bool) {
    let spec = job(vec![step(1000)]);
    let delay = QueueDelay {
        delay: Duration::from_millis(delay),
        steps: Vec::new(),
    };
    match admit(&spec, &delay) {
        AdmissionDecision::Accept => assert!(taken),
        AdmissionDecision::Refuse { retry_after } => {
            assert!(!taken);
            assert_eq!(retry_after, delay.delay - spec.objective() * 2);
        }
    }
}

#[test]
fn a_lasting_job_is_never_refused_for_a_backlog() {
    let lasting = StepSpec {
        is_long_running: true,
        ..step(1000)
    };
    let delay = QueueDelay {
        delay: Duration::from_secs(600),
        steps: Vec::new(),
    };
    assert_eq!(
        admit(&job(vec![lasting]), &delay),
        AdmissionDecision::Accept
    );
}

/// A few large jobs wait for a minute; small ones get room before them.
#[test]
fn a_small_job_is_not_refused_for_the_work_of_large_ones() {
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

/// A backlog after a burst: jobs that can still come in time go first.
#[test]
fn jobs_that_missed_their_objective_wait_for_those_that_can_meet_it() {
    let spec = job(vec![step(1000)]);
    let left = RemainingWork {
        chain_millis: 2000,
        core_millis: 2000,
    };
    let at = |millis| judge_urgency(&spec, left, WallTime::from_millis(millis));
    assert_eq!(at(10_000), JobUrgency::InTime);
    assert_eq!(at(13_001), JobUrgency::Late);
    assert_eq!(at(23_001), JobUrgency::Overdue);
    let fresh = JobSpec {
        accepted_at: WallTime::from_millis(13_000),
        ..spec.clone()
    };
    let now = WallTime::from_millis(13_500);
    assert!(rank_job(&fresh, left, now) < rank_job(&spec, left, now));
}

/// Lasting tasks go before what comes too late, and before worse priorities; jobs
/// that are in time and no worse go before them.
#[rstest]
#[case::in_time(0, 0, 10_000, false)]
#[case::worse_priority(0, 1, 10_000, true)]
#[case::better_priority(9, 0, 10_000, false)]
#[case::late(0, 0, 16_000, true)]
#[case::late_of_a_better_priority(9, 0, 16_000, true)]
#[case::overdue(0, 0, 60_000, true)]
fn lasting_tasks_wait_only_for_jobs_in_time(
    #[case] lasting_priority: u32,
    #[case] ending_priority: u32,
    #[case] now: u64,
    #[case] lasting_first: bool,
) {
    let lasting = StepSpec {
        is_long_running: true,
        ..step(8000)
    };
    let mut lasting = job(vec![lasting]);
    lasting.queue.priority = lasting_priority;
    let mut ending = job(vec![step(1000)]);
    ending.queue.priority = ending_priority;
    let left = RemainingWork {
        chain_millis: 2000,
        core_millis: 2000,
    };
    let rank = |spec: &JobSpec| rank_job(spec, left, WallTime::from_millis(now));
    assert_eq!(rank(&lasting) < rank(&ending), lasting_first);
}

/// A backlog: what is left of a job is the work that still needs room, so that the last
/// task of a wide step goes before jobs that would begin.
#[test]
fn the_last_task_of_a_begun_step_goes_before_a_new_job() {
    let wide = StepSpec {
        count: 12,
        ..step(1000)
    };
    let code = task_name(0).job;
    let mut begun = JobState::new(code, job(vec![wide]));
    for index in 0..11 {
        let state = begun.tasks.get_mut(&task_name(index)).unwrap();
        state.location = Some(AttemptLocation {
            vm: "vm".to_owned(),
            incarnation: Default::default(),
        });
    }
    assert_eq!(begun.remaining(code).core_millis, 2000);
    let fresh = JobState::new(
        code,
        job(vec![StepSpec {
            count: 2,
            ..step(1000)
        }]),
    );
    let now = WallTime::from_millis(10_500);
    let rank = |state: &JobState| rank_job(&state.spec, state.remaining(code), now);
    assert!(rank(&begun) < rank(&fresh));
}

/// One job of a replayed overload: one step, whose tasks run side by side.
struct ReplayedJob {
    spec: JobSpec,
    /// Tasks that wait.
    waiting: u32,
    /// What each running task has left, in milliseconds.
    running: Vec<u64>,
    task_millis: u64,
}

impl ReplayedJob {
    fn left(&self) -> RemainingWork {
        let estimate = self.spec.steps[0].estimate.as_millis() as u64;
        let tasks = u64::from(self.waiting) + self.running.len() as u64;
        RemainingWork {
            chain_millis: estimate,
            core_millis: estimate * tasks,
        }
    }
}

/// Draws a job of 1 to 16 tasks of 0.5 to 4.5 s; they take 0.4 to 2.2 times
/// what their estimate says.
fn draw_job(random: &mut SplitMixRandom, now: u64) -> ReplayedJob {
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
    ReplayedJob {
        spec,
        waiting: count,
        running: Vec::new(),
        task_millis: millis * (40 + random.next_below(180) as u64) / 100,
    }
}

/// Plays jobs that arrive for a minute at twice what ten processors can do;
/// returns how many are done within their objective.
fn replay_overload(seed: u64, rank: &dyn Fn(&ReplayedJob, WallTime) -> JobRank) -> usize {
    const STEP: u64 = 50;
    const PROCESSORS: usize = 10;
    let mut random = SplitMixRandom::new(seed);
    let (mut jobs, mut in_time): (Vec<ReplayedJob>, usize) = (Vec::new(), 0);
    let mut due = 0;
    for now in (0..90_000).step_by(STEP as usize) {
        let wall = WallTime::from_millis(now);
        if now >= due && now < 60_000 {
            let next = draw_job(&mut random, now);
            due = now + next.task_millis * u64::from(next.waiting) / (2 * PROCESSORS as u64);
            jobs.push(next);
        }
        for job in &mut jobs {
            for left in &mut job.running {
                *left = left.saturating_sub(STEP);
            }
            job.running.retain(|left| *left > 0);
            let is_done = job.waiting == 0 && job.running.is_empty();
            let objective = job.spec.accepted_at.after(job.spec.objective());
            in_time += usize::from(is_done && wall <= objective);
        }
        jobs.retain(|job| job.waiting > 0 || !job.running.is_empty());
        jobs.sort_by_key(|job| rank(job, wall));
        let mut free = PROCESSORS - jobs.iter().map(|job| job.running.len()).sum::<usize>();
        for job in &mut jobs {
            let begun = free.min(job.waiting as usize);
            free -= begun;
            job.waiting -= begun as u32;
            job.running.extend((0..begun).map(|_| job.task_millis));
        }
    }
    in_time
}

/// Twice the capacity for a minute, twenty times, against first come, first
/// served and against age among those that can still come in time.
#[test]
fn more_jobs_of_an_overload_come_in_time_than_by_age() {
    let seeds = 1..=20;
    let sum = |rank: &dyn Fn(&ReplayedJob, WallTime) -> JobRank| -> usize {
        seeds.clone().map(|seed| replay_overload(seed, rank)).sum()
    };
    let by_rank = sum(&|job, now| rank_job(&job.spec, job.left(), now));
    let by_arrival = sum(&|job, now| JobRank {
        tier: RankTier::Whole,
        core_millis: 0,
        ..rank_job(&job.spec, job.left(), now)
    });
    let by_age = sum(&|job, now| JobRank {
        core_millis: 0,
        ..rank_job(&job.spec, job.left(), now)
    });
    println!("in time: {by_rank}, by age {by_age}, by arrival {by_arrival}");
    assert!(by_rank > by_age);
    assert!(by_age > by_arrival);
}

/// Nearly full VMs: small tasks leave the large gaps whole.
#[test]
fn a_task_goes_where_it_fits_best() {
    let rooms = [
        room("wide", 12_000),
        room("tight", 2_500),
        room("full", 500),
    ];
    let table = HeadroomTable::new();
    let step = step(2_000);
    let request = PlacementRequest {
        service: "s",
        step: &step,
        table: &table,
        is_starved: false,
    };
    let chosen = choose_vm(&request, rooms.iter(), |_| 0).unwrap();
    assert_eq!(chosen.vm, "tight");
}

#[rstest]
#[case::service(StepSpec { ..step(100) }, "other", 0)]
#[case::label(StepSpec { label: Some("gpu".to_owned()), ..step(100) }, "s", 0)]
#[case::limit(StepSpec { vm_limit: Some(2), ..step(100) }, "s", 2)]
#[case::size(step(20_000), "s", 0)]
fn a_vm_that_may_not_run_a_task_is_not_chosen(
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
    let rooms = [room("vm", 16_000)];
    assert!(choose_vm(&request, rooms.iter(), |_| placed).is_none());
}

/// Whatever is paused between a report, the reading of the worker's clock and
/// the order, the lease ends at most the term after the report.
#[rstest]
#[case(0, 0)]
#[case(3_000, 0)]
#[case(0, 3_000)]
#[case(9_000, 500)]
fn a_lease_never_outlives_the_report_by_more_than_its_term(
    #[case] read_after: u64,
    #[case] answer_late: u64,
) {
    let limits = LeaseLimits::new(Duration::from_millis(5_900));
    // The worker's clock is 100 s ahead; the answer with its reading took time.
    let reported = 50_000;
    let read_at = reported + read_after;
    let reading = ClockReading {
        received_at: MonoTime::from_millis(read_at + answer_late),
        worker_millis: read_at + 100_000,
    };
    let grant = LeaseGrant {
        reported_at: MonoTime::from_millis(reported),
    };
    let end = grant.worker_deadline(&limits, &reading);
    assert!(end <= reported + 100_000 + 5_900, "{end}");
    assert!(limits.wait() > Duration::from_millis(5_900 * 102 / 100));
}

/// A burst in which nothing fits any more: what a miss covers is not looked for,
/// and all that it covers indeed fits nowhere.
#[test]
fn what_a_miss_covers_fits_nowhere() {
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
        let mut rooms: Vec<VmCapacity> = (0..4)
            .map(|vm| room(&format!("vm-{vm}"), 500 * random.next_below(12) as u64))
            .collect();
        let mut misses = PlacementFailures::new();
        for _ in 0..40 {
            let step = draw_step(&mut random);
            let request = PlacementRequest {
                service: "s",
                step: &step,
                table: &table,
                is_starved: false,
            };
            let found = choose_vm(&request, rooms.iter(), |_| 0).map(|room| room.vm.clone());
            if misses.covers("s", &step) {
                covered += 1;
                assert_eq!(found, None);
            }
            match found {
                Some(vm) => rooms
                    .iter_mut()
                    .filter(|room| room.vm == vm)
                    .for_each(|room| room.add(&task, &step, &table)),
                None => misses.note("s", &step),
            }
        }
    }
    assert!(covered > 1000, "{covered}");
}
