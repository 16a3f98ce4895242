//! Compares throughput, latency and evictions of batch work beside services.
//!
//! The baseline is best fit with declared sizes, plain priorities and no
//! knowledge of interference. The product gets the baseline's own 99th
//! percentile as its latency target, so that services have the same latency.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod colocation_model;

use std::thread;
use std::time::Duration;

use colocation_model::{ModelPlan, ModelResult, run};
use turmeric_learning::SizingPolicy;
use turmeric_placement::PlacementPolicy;

/// Strengths of interference: from little up to where the baseline nearly
/// exhausts the capacity of the services.
const INTERFERENCE_FACTORS: [f64; 3] = [0.25, 0.5, 0.75];

fn baseline(placement: PlacementPolicy, interference_factor: f64) -> ModelPlan {
    ModelPlan {
        placement,
        sizing: SizingPolicy::Declared,
        interference_limit_permille: u64::MAX,
        target: Duration::from_secs(1),
        interference_factor,
        has_throttle: false,
        is_plain_priority: true,
        tasks: 4000,
        seed: 1,
    }
}

/// Returns the plan of the product, with the latency in `best` as its target.
fn product(best: &ModelResult, interference_factor: f64) -> ModelPlan {
    ModelPlan {
        placement: PlacementPolicy::LeastInterference,
        sizing: SizingPolicy::Learned { margin_percent: 15 },
        interference_limit_permille: 1000,
        // The estimates are accurate to about half a percent.
        target: best.p99 * 995 / 1000,
        has_throttle: true,
        is_plain_priority: false,
        ..baseline(PlacementPolicy::BestFit, interference_factor)
    }
}

fn print_result(name: &str, result: &ModelResult) {
    println!(
        "{name}: {:.0} s, p99 {} ms, {} evictions for {} urgent tasks",
        result.steady_time.as_secs_f64(),
        result.p99.as_millis(),
        result.evictions,
        result.urgent,
    );
}

/// Returns the baseline and the product at one strength of interference.
fn compare(interference_factor: f64) -> (ModelResult, ModelResult) {
    let best = run(baseline(PlacementPolicy::BestFit, interference_factor));
    let product = run(product(&best, interference_factor));
    (best, product)
}

#[test]
fn batch_work_is_a_quarter_faster_than_with_best_fit_at_equal_latency_and_half_the_evictions() {
    let (mut best_time, mut product_time) = (Duration::ZERO, Duration::ZERO);
    let results = thread::scope(|scope| {
        let runs = INTERFERENCE_FACTORS.map(|factor| scope.spawn(move || compare(factor)));
        runs.map(|run| run.join().unwrap())
    });
    for (factor, (best, product)) in INTERFERENCE_FACTORS.iter().zip(&results) {
        print_result(&format!("best fit, interference {factor}"), best);
        print_result(&format!("product, interference {factor}"), product);
        assert!(product.p99 <= best.p99);
        assert!(product.evictions * 2 <= best.evictions);
        assert_eq!(product.urgent_late, 0);
        best_time += best.steady_time;
        product_time += product.steady_time;
    }
    let gain = best_time.as_secs_f64() / product_time.as_secs_f64();
    println!("{gain:.3} times the batch work of best fit");
    assert!(gain >= 1.25, "{gain}");
}

#[test]
fn first_fit_and_random_are_no_faster_than_best_fit() {
    let [best, first, random] = [
        PlacementPolicy::BestFit,
        PlacementPolicy::FirstFit,
        PlacementPolicy::Random,
    ]
    .map(|policy| run(baseline(policy, 0.5)));
    for (name, result) in [
        ("best fit", &best),
        ("first fit", &first),
        ("random", &random),
    ] {
        print_result(name, result);
    }
    // Otherwise the comparison above would use too weak a baseline.
    let least = best.steady_time.mul_f64(0.95);
    assert!(first.steady_time >= least && random.steady_time >= least);
}
