//! Batch work beside services: throughput, latency and evictions compared.
//!
//! Best fit with declared sizes, plain priorities and no knowledge of
//! interference is the baseline. The product is told the baseline's own 99th
//! percentile as its latency target, so both give services the same.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod colocation_model;

use std::thread;
use std::time::Duration;

use colocation_model::{ModelPlan, ModelResult, run};
use turmeric_learning::SizingPolicy;
use turmeric_placement::PlacementPolicy;

/// How strongly tasks harm services: little, and up to where the baseline
/// nearly drives them out of their capacity.
const HARM_FACTORS: [f64; 3] = [0.25, 0.5, 0.75];

fn baseline(placement: PlacementPolicy, harm_factor: f64) -> ModelPlan {
    ModelPlan {
        placement,
        sizing: SizingPolicy::Declared,
        harm_limit_permille: u64::MAX,
        target: Duration::from_secs(1),
        harm_factor,
        has_throttle: false,
        is_plain_priority: true,
        tasks: 4000,
        seed: 1,
    }
}

/// The product, told to give services the latency that they have in `best`.
fn product(best: &ModelResult, harm_factor: f64) -> ModelPlan {
    ModelPlan {
        placement: PlacementPolicy::LeastInterference,
        sizing: SizingPolicy::Learned { margin_percent: 15 },
        harm_limit_permille: 1000,
        // The estimates are right to about half a percent.
        target: best.p99 * 995 / 1000,
        has_throttle: true,
        is_plain_priority: false,
        ..baseline(PlacementPolicy::BestFit, harm_factor)
    }
}

fn show(name: &str, result: &ModelResult) {
    println!(
        "{name}: {:.0} s, p99 {} ms, {} evictions for {} urgent tasks",
        result.steady_time.as_secs_f64(),
        result.p99.as_millis(),
        result.evictions,
        result.urgent,
    );
}

/// Returns the baseline and the product at one strength of interference.
fn compare(harm_factor: f64) -> (ModelResult, ModelResult) {
    let best = run(baseline(PlacementPolicy::BestFit, harm_factor));
    let product = run(product(&best, harm_factor));
    (best, product)
}

#[test]
fn batch_work_gains_a_quarter_over_best_fit_at_the_same_latency_and_half_the_evictions() {
    let (mut best_time, mut product_time) = (Duration::ZERO, Duration::ZERO);
    let results = thread::scope(|scope| {
        let runs = HARM_FACTORS.map(|factor| scope.spawn(move || compare(factor)));
        runs.map(|run| run.join().unwrap())
    });
    for (factor, (best, product)) in HARM_FACTORS.iter().zip(&results) {
        show(&format!("best fit, harm {factor}"), best);
        show(&format!("product, harm {factor}"), product);
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
fn first_fit_and_random_do_no_better_than_best_fit() {
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
        show(name, result);
    }
    // Else the comparison above would be with too weak a baseline.
    let least = best.steady_time.mul_f64(0.95);
    assert!(first.steady_time >= least && random.steady_time >= least);
}
