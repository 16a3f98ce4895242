//! Throttling of batch tasks on the VM of a service.

use std::time::Duration;

use turmeric_learning::{ThrottleContext, ThrottleController, ThrottleStep};
use turmeric_types::MonoTime;

const TARGET: Duration = Duration::from_millis(250);

/// Context with batch tasks that make requests take twice as long at full speed.
const HIGH_INTERFERENCE: ThrottleContext = ThrottleContext {
    ceiling: 100,
    late_share: 0.01,
    has_batch: true,
    interference_permille: 1000,
};

fn with_ceiling(ceiling: u32) -> ThrottleContext {
    ThrottleContext {
        ceiling,
        ..HIGH_INTERFERENCE
    }
}

/// Simulates a second with 50 requests, of which `late` are late.
fn simulate_second(controller: &mut ThrottleController, second: u64, late: u32) -> ThrottleStep {
    for number in 0..50 {
        let latency = if number < late {
            TARGET * 2
        } else {
            TARGET / 2
        };
        controller.record_request(latency, TARGET);
    }
    controller.step(&HIGH_INTERFERENCE, MonoTime::from_millis(second * 1000))
}

#[test]
fn late_requests_slow_batch_tasks_within_seconds() {
    let mut controller = ThrottleController::new();
    for number in 1..=5 {
        simulate_second(&mut controller, number, 5);
    }
    assert_eq!(controller.speed_percent(), 10);
}

#[test]
fn one_late_request_of_fifty_changes_nothing() {
    let mut controller = ThrottleController::new();
    assert_eq!(simulate_second(&mut controller, 1, 1), ThrottleStep::Keep);
}

#[test]
fn task_is_evicted_only_after_ten_seconds_at_the_lowest_speed() {
    let mut controller = ThrottleController::new();
    let steps: Vec<ThrottleStep> = (1..=30)
        .map(|at| simulate_second(&mut controller, at, 5))
        .collect();
    let evictions: Vec<usize> = (0..30)
        .filter(|at| steps[*at] == ThrottleStep::Evict)
        .collect();
    let floor = steps
        .iter()
        .position(|step| *step == ThrottleStep::Speed(10));
    assert_eq!(evictions.first(), floor.map(|floor| floor + 11).as_ref());
    assert_eq!(evictions.len(), 2, "ten seconds pass between two evictions");
}

#[test]
fn speed_recovers_slowly_without_late_requests() {
    let mut controller = ThrottleController::new();
    for number in 1..=5 {
        simulate_second(&mut controller, number, 5);
    }
    for number in 6..=8 {
        simulate_second(&mut controller, number, 0);
    }
    assert_eq!(controller.speed_percent(), 20);
    for number in 9..=20 {
        simulate_second(&mut controller, number, 0);
    }
    assert_eq!(controller.speed_percent(), 100);
}

#[test]
fn speed_stays_within_the_limit_of_operators() {
    let mut controller = ThrottleController::new();
    let now = MonoTime::from_millis(1000);
    assert_eq!(
        controller.step(&with_ceiling(40), now),
        ThrottleStep::Speed(40)
    );
    for number in 2..=20 {
        let now = MonoTime::from_millis(number * 1000);
        assert_eq!(controller.step(&with_ceiling(40), now), ThrottleStep::Keep);
    }
    let now = MonoTime::from_millis(21_000);
    assert_eq!(
        controller.step(&with_ceiling(80), now),
        ThrottleStep::Speed(80)
    );
}

#[test]
fn speed_is_reset_while_there_are_no_batch_tasks() {
    let mut controller = ThrottleController::new();
    for number in 1..=5 {
        simulate_second(&mut controller, number, 5);
    }
    let now = MonoTime::from_millis(6000);
    let idle = ThrottleContext {
        has_batch: false,
        ..HIGH_INTERFERENCE
    };
    assert_eq!(controller.step(&idle, now), ThrottleStep::Speed(100));
}

#[test]
fn tasks_with_little_interference_at_the_lowest_speed_are_not_evicted() {
    let mut controller = ThrottleController::new();
    let low_interference = ThrottleContext {
        interference_permille: 400,
        ..HIGH_INTERFERENCE
    };
    for second in 1..=60 {
        for _ in 0..50 {
            controller.record_request(TARGET * 2, TARGET);
        }
        let step = controller.step(&low_interference, MonoTime::from_millis(second * 1000));
        assert_ne!(
            step,
            ThrottleStep::Evict,
            "an interference of 40 thousandths is left at this speed"
        );
    }
}
