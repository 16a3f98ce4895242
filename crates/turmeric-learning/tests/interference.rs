//! Interference of tasks with the service on their VM, and how much of it the
//! service tolerates.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

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

/// Mean time of a request without tasks, in microseconds.
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

/// A VM on which the numbers of tasks of two kinds change from time to time.
struct MeteredVm {
    meter: ServiceMeter,
    random: SplitMixRandom,
    /// True interference of one task of each kind, as a share of the time of a
    /// request.
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

    /// Simulates seconds with 50 requests each; returns the samples of the last one.
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
                // Exponential distribution: the standard deviation is the mean.
                let draw = -(1.0 - self.random.next_unit()).ln();
                let micros = (draw * BASE_MICROS * slowdown) as u64;
                self.meter.record_request(micros, 2);
            }
            samples = self.collect_samples(second);
        }
        samples
    }

    fn collect_samples(&mut self, second: u64) -> Vec<(MeterKind, InterferenceSample)> {
        let tasks = ["gentle", "harsh"].map(kind).into_iter().zip(self.counts);
        let tasks: Vec<MeterTasks> = tasks
            .filter(|(_, count)| *count > 0)
            .map(|(kind, count)| MeterTasks {
                kind,
                count,
                // The rate assumed for a task of 4 cores on a VM with 16.
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
            .collect_samples(&context, MonoTime::from_millis(second * 1000))
    }
}

fn rate_of(samples: &[(MeterKind, InterferenceSample)], name: &str) -> f64 {
    let found = samples.iter().find(|(measured, _)| *measured == kind(name));
    found.unwrap().1.rate.get() as f64 / VM_CORES.as_millicores() as f64
}

#[test]
fn interference_of_kinds_that_run_together_is_separated() {
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
        // A new kind every 20 s that never returns and, half of the time from
        // second 600, one that makes requests take half as long again.
        let short_lived = MeterTasks {
            kind: kind(&format!("kind-{}", second / 20)),
            count: 1,
            expected: InterferenceRate::new(0),
        };
        let harsh = MeterTasks {
            kind: kind("harsh"),
            count: 1,
            expected: InterferenceRate::new(4000),
        };
        let has_harsh = second >= 600 && second % 10 < 5;
        let tasks = if has_harsh {
            vec![short_lived, harsh]
        } else {
            vec![short_lived]
        };
        for _ in 0..50 {
            meter.record_request(if has_harsh { 30_000 } else { 20_000 }, 2);
        }
        let context = MeterContext {
            service: &service(),
            slots: 8,
            capacity: VM_CORES,
            tasks: &tasks,
            is_full_speed: true,
        };
        let new_samples = meter.collect_samples(&context, MonoTime::from_millis(second * 1000));
        if has_harsh {
            samples = new_samples;
        }
    }
    let rate = rate_of(&samples, "harsh");
    assert!((0.4..0.6).contains(&rate), "{rate} for 0.5");
}

#[test]
fn few_observations_give_no_samples() {
    let mut vm = MeteredVm::new([0.02, 0.5]);
    assert_eq!(vm.run(1..4), Vec::new());
}

#[test]
fn slowed_tasks_give_no_samples() {
    let mut vm = MeteredVm::new([0.02, 0.5]);
    vm.is_full_speed = false;
    assert_eq!(vm.run(1..900), Vec::new());
}

#[test]
fn unknown_kind_is_assumed_to_slow_a_service_by_its_share_of_the_vm() {
    assert_eq!(LearnedTable::new().interference(&spec("scan")).len(), 0);
    let assumed = InterferenceRate::assumed(spec("scan").resources.cores);
    assert_eq!(assumed.slowdown_permille(VM_CORES), 250, "4 of 16 cores");
}

#[test]
fn interference_samples_are_averaged() {
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

/// Simulates seconds with `requests` requests each, whose latencies are spread
/// evenly up to `longest`, while tasks are expected to slow the service by
/// `interference_permille` thousandths.
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
            budget.record_request(latency, TARGET, interference_permille, now);
        }
    }
}

#[test]
fn service_far_below_its_target_has_a_large_budget() {
    let mut budget = InterferenceBudget::new();
    assert_eq!(budget.permille(TARGET), None, "no requests are recorded");
    serve(&mut budget, 0..15, 100, Duration::from_millis(50), 0);
    let permille = budget.permille(TARGET).unwrap();
    assert!((950..1100).contains(&permille), "{permille} for 2 times");
}

#[test]
fn interference_of_running_tasks_is_not_counted_twice() {
    let mut budget = InterferenceBudget::new();
    // Half of each latency comes from the interference of tasks.
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
    // The estimate is wrong: the interference of the tasks is higher than expected.
    serve(&mut budget, 15..300, 100, Duration::from_millis(120), 500);
    assert!(before > 50, "{before}");
    assert!(
        permille(&budget) < 100,
        "the estimate allows 25%, but 20% are late"
    );
}

#[test]
fn late_share_is_larger_at_a_low_request_rate() {
    let mut budget = InterferenceBudget::new();
    serve(&mut budget, 0..300, 300, Duration::from_millis(50), 0);
    let busy = budget.late_share();
    serve(&mut budget, 300..330, 100, Duration::from_millis(50), 0);
    assert!((0.009..0.011).contains(&busy), "{busy}");
    assert!(budget.late_share() > 2.0 * busy, "{}", budget.late_share());
}
