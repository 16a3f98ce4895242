//! Tests of leader election: who takes over, and when.

use std::time::Duration;

use proptest::prelude::*;
use turmeric_jobs::{ElectionMonitor, ElectionStep, LeaderObservation, TakeoverCause, next_epoch};
use turmeric_types::{CoreCount, MonoTime};

const FAST: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(300);

fn cores(millicores: u64) -> CoreCount {
    CoreCount::from_millicores(millicores)
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn observation(version: u64, holder: u64) -> LeaderObservation {
    LeaderObservation {
        version,
        is_released: false,
        is_own: false,
        holder: cores(holder),
        strongest: cores(500),
    }
}

/// Simulates followers that read a released row until one of them takes over. Returns the
/// processors of those that attempt it within one transaction of the first attempt, and the
/// time of the first attempt.
fn simulate_release(followers: &[(u64, u32)], read_duration: Duration) -> (Vec<u64>, u64) {
    let released = LeaderObservation {
        is_released: true,
        ..observation(7, 500)
    };
    let mut monitors: Vec<(u64, ElectionMonitor, u64)> = followers
        .iter()
        .map(|(own, position)| (*own, ElectionMonitor::new(cores(*own), *position), 0))
        .collect();
    let (mut attempts, mut first) = (Vec::new(), None);
    for now in 0..20_000 {
        if first.is_some_and(|first| now > first + read_duration.as_millis() as u64) {
            break;
        }
        for (own, monitor, next) in &mut monitors {
            if now < *next {
                continue;
            }
            match monitor.observe(Some(released), read_duration, at(now)) {
                ElectionStep::TakeOver(cause) => {
                    assert_eq!(cause, TakeoverCause::Released);
                    first.get_or_insert(now);
                    attempts.push(*own);
                    *next = u64::MAX;
                }
                ElectionStep::WaitUntil(due) => *next = due.as_millis(),
                ElectionStep::Follow => *next = now + 400,
            }
        }
    }
    (attempts, first.unwrap_or(u64::MAX))
}

fn fleet() -> Vec<(u64, u32)> {
    let strong = (0..18).map(|number| (500, number * 53));
    let weak = (0..17).map(|number| (120, number * 57));
    weak.chain(strong).collect()
}

#[test]
fn strong_entries_take_over_before_weak_ones() {
    let (attempts, first) = simulate_release(&fleet(), FAST);
    assert!(attempts.iter().all(|own| *own == 500), "{attempts:?}");
    assert!(first < 100, "first attempt after {first} ms");
}

#[test]
fn few_entries_attempt_a_takeover_at_once_when_the_store_is_slow() {
    let (attempts, first) = simulate_release(&fleet(), SLOW);
    assert!(attempts.len() <= 3, "{attempts:?}");
    assert!(first < 1000, "first attempt after {first} ms");
}

#[test]
fn weak_entry_takes_over_if_no_strong_one_is_left() {
    let weak: Vec<(u64, u32)> = fleet().into_iter().filter(|(own, _)| *own == 120).collect();
    let (attempts, first) = simulate_release(&weak, FAST);
    assert!(!attempts.is_empty());
    assert!(first < 1000, "first attempt after {first} ms");
}

#[test]
fn strong_follower_replaces_a_weak_leader_within_two_seconds() {
    let mut monitor = ElectionMonitor::new(cores(500), 0);
    let mut took_over_at = None;
    for step in 0..20 {
        let now = step * 200;
        let step = monitor.observe(Some(observation(step + 1, 120)), FAST, at(now));
        if step == ElectionStep::TakeOver(TakeoverCause::WeakHolder) {
            took_over_at.get_or_insert(now);
        }
    }
    assert!(
        took_over_at.is_some_and(|took_over| (1000..=2000).contains(&took_over)),
        "{took_over_at:?}"
    );
}

#[test]
fn leader_that_writes_and_is_not_weak_is_not_replaced() {
    for own in [120, 500, 700] {
        let mut monitor = ElectionMonitor::new(cores(own), 0);
        for step in 0..200 {
            let holder = observation(step + 1, 500);
            let step = monitor.observe(Some(holder), FAST, at(step * 400));
            assert_eq!(step, ElectionStep::Follow);
        }
    }
}

#[test]
fn leader_that_stops_writing_is_replaced_within_three_seconds() {
    let mut monitor = ElectionMonitor::new(cores(500), 500);
    let took_over_at = (0..100).map(|step| step * 100).find(|now| {
        let step = monitor.observe(Some(observation(3, 500)), FAST, at(*now));
        step == ElectionStep::TakeOver(TakeoverCause::Silent)
    });
    assert!(
        took_over_at.is_some_and(|took_over| (2200..3000).contains(&took_over)),
        "{took_over_at:?}"
    );
}

#[test]
fn leader_is_not_replaced_after_a_store_outage() {
    let mut monitor = ElectionMonitor::new(cores(500), 0);
    assert_eq!(
        monitor.observe(Some(observation(3, 500)), FAST, at(0)),
        ElectionStep::Follow
    );
    // The store is down for five seconds; the leader writes 0.9 s later.
    for now in [5000, 5400, 5800] {
        let step = monitor.observe(Some(observation(3, 500)), FAST, at(now));
        assert_eq!(step, ElectionStep::Follow, "at {now} ms");
    }
    let step = monitor.observe(Some(observation(4, 500)), FAST, at(6200));
    assert_eq!(step, ElectionStep::Follow);
}

#[test]
fn leader_that_fails_during_a_store_outage_is_replaced_soon_after_it() {
    let mut monitor = ElectionMonitor::new(cores(500), 0);
    monitor.observe(Some(observation(3, 500)), FAST, at(0));
    let took_over_at = (0..30).map(|step| 5000 + step * 100).find(|now| {
        let step = monitor.observe(Some(observation(3, 500)), FAST, at(*now));
        step == ElectionStep::TakeOver(TakeoverCause::Silent)
    });
    assert!(
        took_over_at.is_some_and(|took_over| took_over <= 6500),
        "{took_over_at:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// For any read times, a leader that writes its row and is not weaker is not replaced,
    /// and a released leadership is taken over within a bounded time.
    #[test]
    fn active_leader_stays_and_a_released_leadership_is_taken_over(
        own in 50_u64..4000,
        position in 0_u32..1000,
        steps in prop::collection::vec((20_u64..1000, 1_u64..400), 1..60),
    ) {
        let mut monitor = ElectionMonitor::new(cores(own), position);
        let mut now = 0;
        for (number, (pause, read_duration)) in steps.iter().enumerate() {
            now += pause;
            let holder = LeaderObservation { strongest: cores(own), ..observation(number as u64 + 1, own) };
            let step = monitor.observe(Some(holder), Duration::from_millis(*read_duration), at(now));
            prop_assert_eq!(step, ElectionStep::Follow);
        }
        let released = LeaderObservation { is_released: true, ..observation(1000, own) };
        let (_, read_duration) = steps[0];
        let mut next = now + 1;
        loop {
            match monitor.observe(Some(released), Duration::from_millis(read_duration), at(next)) {
                ElectionStep::TakeOver(_) => break,
                ElectionStep::WaitUntil(due) => {
                    prop_assert!(due.as_millis() >= next);
                    next = due.as_millis().max(next + 1);
                }
                ElectionStep::Follow => prop_assert!(false, "a released row was followed"),
            }
            prop_assert!(next < now + 8000);
        }
    }
}

/// A leader's row by another writer holds no epoch, or one that was never reached. Agents follow
/// no epoch that is lower than one that they know.
#[test]
fn epoch_of_a_takeover_exceeds_the_announced_one() {
    assert_eq!(next_epoch(0, 0), 1);
    assert_eq!(next_epoch(4, 0), 5);
    assert_eq!(next_epoch(0, 7), 8);
    assert_eq!(next_epoch(u64::MAX, 7), 8);
}

#[test]
fn huge_holder_in_the_row_panics_no_follower() {
    let mut monitor = ElectionMonitor::new(cores(500), 0);
    for millis in [0, 400, 2000] {
        let mut odd = observation(1, u64::MAX);
        odd.strongest = cores(u64::MAX);
        let step = monitor.observe(Some(odd), FAST, at(millis));
        assert_eq!(step, ElectionStep::Follow);
    }
}
