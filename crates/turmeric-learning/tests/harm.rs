//! Harm of tasks to the service beside them, and what the service can bear.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use std::time::Duration;

use turmeric_learning::{
    InterferenceBudget, InterferencePair, InterferenceRate, InterferenceSample, LearnedTable,
    LoadLevel, MeterContext, MeterKind, MeterTasks, ServiceMeter,
};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, PartitionId, ResourceSet, ServiceName,
    SplitMixRandom, TaskClass, TaskSpec,
};

const VM_CORES: CoreCount = CoreCount::from_millicores(16_000);

/// Mean time of a request beside no tasks, in microseconds.
const BASE_MICROS: f64 = 20_000.0;

fn service() -> ServiceName {
    "verdikt".parse().unwrap()
}

fn pair(level: LoadLevel) -> InterferencePair {
    InterferencePair {
        service: service(),
        level,
    }
}

fn spec(kind: &str) -> TaskSpec {
    TaskSpec {
        team: "leather".parse().unwrap(),
        kind: Some(kind.parse().unwrap()),
        class: TaskClass::Batch,
        resources: ResourceSet::new(
            CoreCount::from_millicores(4000),
            MemorySize::new(1 << 30),
            AcceleratorCount::new(0),
        ),
        work_millis: 1000,
    }
}

fn kind(name: &str) -> MeterKind {
    Some((PartitionId::new(0).unwrap(), name.parse().unwrap()))
}

/// A VM on which numbers of tasks of two kinds change from time to time.
struct MeteredVm {
    meter: ServiceMeter,
    random: SplitMixRandom,
    /// True harm of one task of each kind, as a share of a request's time.
    interferences: [f64; 2],
    counts: [u32; 2],
    is_full_speed: bool,
}

impl MeteredVm {
    fn new(interferences: [f64; 2]) -> Self {
        Self {
            meter: ServiceMeter::new(),
            random: SplitMixRandom::new(11),
            interferences,
            counts: [0, 0],
            is_full_speed: true,
        }
    }

    /// Lets seconds pass, with 50 requests in each; returns the last samples.
    fn run(&mut self, seconds: std::ops::Range<u64>) -> Vec<(MeterKind, InterferenceSample)> {
        let mut samples = Vec::new();
        for second in seconds {
            if second % 20 == 0 {
                self.counts = [0, 0].map(|_: u32| self.random.next_below(4) as u32);
            }
            let slowdown = 1.0
                + self.interferences[0] * f64::from(self.counts[0])
                + self.interferences[1] * f64::from(self.counts[1]);
            for _ in 0..50 {
                // Times of requests vary as much as they are long.
                let draw = -(1.0 - self.random.next_unit()).ln();
                let micros = (draw * BASE_MICROS * slowdown) as u64;
                self.meter.note_request(micros, 2);
            }
            samples = self.look(second);
        }
        samples
    }

    fn look(&mut self, second: u64) -> Vec<(MeterKind, InterferenceSample)> {
        let tasks = ["gentle", "harsh"].map(kind).into_iter().zip(self.counts);
        let tasks: Vec<MeterTasks> = tasks
            .filter(|(_, count)| *count > 0)
            .map(|(kind, count)| MeterTasks {
                kind,
                count,
                // Nothing is known: a task of 4 cores on 16.
                expected: InterferenceRate::new(4000 * i64::from(count)),
            })
            .collect();
        let context = MeterContext {
            service: &service(),
            slots: 8,
            capacity: VM_CORES,
            tasks: &tasks,
            is_full_speed: self.is_full_speed,
        };
        self.meter
            .look(&context, MonoTime::from_millis(second * 1000))
    }
}

fn rate_of(samples: &[(MeterKind, InterferenceSample)], name: &str) -> f64 {
    let found = samples.iter().find(|(measured, _)| *measured == kind(name));
    found.unwrap().1.rate.get() as f64 / VM_CORES.as_millicores() as f64
}

#[test]
fn kinds_that_run_together_are_told_apart() {
    let mut vm = MeteredVm::new([0.02, 0.5]);
    vm.run(1..900);
    vm.counts = [1, 1];
    let samples = vm.run(901..902);
    let (gentle, harsh) = (rate_of(&samples, "gentle"), rate_of(&samples, "harsh"));
    assert!((-0.05..0.09).contains(&gentle), "{gentle} for 0.02");
    assert!((0.4..0.6).contains(&harsh), "{harsh} for 0.5");
    assert_eq!(samples[0].1.pair, pair(LoadLevel::Light));
}

#[test]
fn new_kinds_are_learned_however_many_there_were_before() {
    let mut meter = ServiceMeter::new();
    let mut samples = Vec::new();
    for second in 1..900 {
        // Every 20 s a kind that never comes again, beside half of the time
        // one that makes requests take half as long again.
        let passing = MeterTasks {
            kind: kind(&format!("kind-{}", second / 20)),
            count: 1,
            expected: InterferenceRate::new(0),
        };
        let harsh = MeterTasks {
            kind: kind("harsh"),
            count: 1,
            expected: InterferenceRate::new(4000),
        };
        let is_beside = second >= 600 && second % 10 < 5;
        let tasks = if is_beside {
            vec![passing, harsh]
        } else {
            vec![passing]
        };
        for _ in 0..50 {
            meter.note_request(if is_beside { 30_000 } else { 20_000 }, 2);
        }
        let context = MeterContext {
            service: &service(),
            slots: 8,
            capacity: VM_CORES,
            tasks: &tasks,
            is_full_speed: true,
        };
        let seen = meter.look(&context, MonoTime::from_millis(second * 1000));
        if is_beside {
            samples = seen;
        }
    }
    let rate = rate_of(&samples, "harsh");
    assert!((0.4..0.6).contains(&rate), "{rate} for 0.5");
}

#[test]
fn little_evidence_gives_no_sample() {
    let mut vm = MeteredVm::new([0.02, 0.5]);
    assert_eq!(vm.run(1..4), Vec::new());
}

#[test]
fn slowed_tasks_teach_nothing() {
    let mut vm = MeteredVm::new([0.02, 0.5]);
    vm.is_full_speed = false;
    assert_eq!(vm.run(1..900), Vec::new());
}

#[test]
fn a_kind_that_nothing_is_known_of_harms_as_much_as_it_takes() {
    assert_eq!(LearnedTable::new().interference(&spec("scan")).len(), 0);
    let assumed = InterferenceRate::assumed(spec("scan").resources.cores);
    assert_eq!(assumed.slowdown_permille(VM_CORES), 250, "4 of 16 cores");
}

#[test]
fn what_agents_measured_is_averaged() {
    let mut table = LearnedTable::new();
    let mut random = SplitMixRandom::new(3);
    for _ in 0..100 {
        let noise = (random.next_unit() * 4000.0) as i64 - 2000;
        let sample = InterferenceSample {
            pair: pair(LoadLevel::Light),
            rate: InterferenceRate::new(16_000 + noise),
        };
        table.record_interference(&spec("harsh"), &sample);
    }
    let rate = table.interference(&spec("harsh"))[&pair(LoadLevel::Light)];
    assert!((950..1050).contains(&rate.slowdown_permille(VM_CORES)));
}

const TARGET: Duration = Duration::from_millis(100);

/// Lets seconds with so many requests pass; their times are spread evenly
/// up to `longest`, beside tasks with an expected harm.
fn serve(
    budget: &mut InterferenceBudget,
    seconds: std::ops::Range<u64>,
    requests: u64,
    longest: Duration,
    interference_permille: u64,
) {
    for second in seconds {
        for number in 1..=requests {
            let latency = longest * number as u32 / requests as u32;
            let now = MonoTime::from_millis(second * 1000);
            budget.note_request(latency, TARGET, interference_permille, now);
        }
    }
}

#[test]
fn a_service_far_below_its_target_can_bear_much() {
    let mut budget = InterferenceBudget::new();
    assert_eq!(budget.permille(TARGET), None, "nothing is known");
    serve(&mut budget, 0..15, 100, Duration::from_millis(50), 0);
    let permille = budget.permille(TARGET).unwrap();
    assert!((950..1100).contains(&permille), "{permille} for 2 times");
}

#[test]
fn what_the_tasks_of_now_cost_is_not_counted_twice() {
    let mut budget = InterferenceBudget::new();
    // Half of the time is the tasks' doing.
    serve(&mut budget, 0..15, 100, Duration::from_millis(80), 1000);
    let permille = budget.permille(TARGET).unwrap();
    assert!((1400..1600).contains(&permille), "{permille} for 2.5 times");
}

#[test]
fn late_requests_shrink_the_budget() {
    let mut budget = InterferenceBudget::new();
    let permille = |budget: &InterferenceBudget| budget.permille(TARGET).unwrap();
    serve(&mut budget, 0..15, 100, Duration::from_millis(90), 0);
    let before = permille(&budget);
    // The estimate of the harm is wrong: the tasks cost more than expected.
    serve(&mut budget, 15..300, 100, Duration::from_millis(120), 500);
    assert!(before > 50, "{before}");
    assert!(permille(&budget) < 100, "25% was promised, 20% are late");
}

#[test]
fn more_may_be_late_while_there_are_few_requests() {
    let mut budget = InterferenceBudget::new();
    serve(&mut budget, 0..300, 300, Duration::from_millis(50), 0);
    let busy = budget.late_share();
    serve(&mut budget, 300..330, 100, Duration::from_millis(50), 0);
    assert!((0.009..0.011).contains(&busy), "{busy}");
    assert!(budget.late_share() > 2.0 * busy, "{}", budget.late_share());
}
