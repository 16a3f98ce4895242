//! Who takes over the lead, under the losses that it answers.

use std::time::Duration;

use proptest::prelude::*;
use turmeric_jobs::{ElectionMonitor, ElectionStep, LeaderObservation, TakeoverCause};
use turmeric_types::{CoreCount, MonoTime};

const FAST: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(300);

fn cores(millicores: u64) -> CoreCount {
    CoreCount::from_millicores(millicores)
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn reading(version: u64, holder: u64) -> LeaderObservation {
    LeaderObservation {
        version,
        is_released: false,
        is_own: false,
        holder: cores(holder),
        strongest: cores(500),
    }
}

/// Plays followers that read a released row until one of them takes it; returns
/// who tries within a transaction's time of the first, and when it was.
fn play_release(followers: &[(u64, u32)], term: Duration) -> (Vec<u64>, u64) {
    let released = LeaderObservation {
        is_released: true,
        ..reading(7, 500)
    };
    let mut watches: Vec<(u64, ElectionMonitor, u64)> = followers
        .iter()
        .map(|(own, place)| (*own, ElectionMonitor::new(cores(*own), *place), 0))
        .collect();
    let (mut tries, mut first) = (Vec::new(), None);
    for now in 0..20_000 {
        if first.is_some_and(|first| now > first + term.as_millis() as u64) {
            break;
        }
        for (own, watch, next) in &mut watches {
            if now < *next {
                continue;
            }
            match watch.take_reading(Some(released), term, at(now)) {
                ElectionStep::TakeOver(cause) => {
                    assert_eq!(cause, TakeoverCause::Released);
                    first.get_or_insert(now);
                    tries.push(*own);
                    *next = u64::MAX;
                }
                ElectionStep::WaitUntil(due) => *next = due.as_millis(),
                ElectionStep::Follow => *next = now + 400,
            }
        }
    }
    (tries, first.unwrap_or(u64::MAX))
}

fn fleet() -> Vec<(u64, u32)> {
    let strong = (0..18).map(|number| (500, number * 53));
    let weak = (0..17).map(|number| (120, number * 57));
    weak.chain(strong).collect()
}

#[test]
fn an_entry_that_can_carry_the_fleet_succeeds_before_weak_ones() {
    let (tries, first) = play_release(&fleet(), FAST);
    assert!(tries.iter().all(|own| *own == 500), "{tries:?}");
    assert!(first < 100, "first try after {first} ms");
}

#[test]
fn few_entries_write_at_once_when_the_store_is_slow() {
    let (tries, first) = play_release(&fleet(), SLOW);
    assert!(tries.len() <= 3, "{tries:?}");
    assert!(first < 1000, "first try after {first} ms");
}

#[test]
fn weak_entries_lead_where_no_other_is_left() {
    let weak: Vec<(u64, u32)> = fleet().into_iter().filter(|(own, _)| *own == 120).collect();
    let (tries, first) = play_release(&weak, FAST);
    assert!(!tries.is_empty());
    assert!(first < 1000, "first try after {first} ms");
}

#[test]
fn a_weak_leader_is_replaced_after_a_while() {
    let mut watch = ElectionMonitor::new(cores(500), 0);
    let mut taken_at = None;
    for step in 0..20 {
        let now = step * 200;
        let step = watch.take_reading(Some(reading(step + 1, 120)), FAST, at(now));
        if step == ElectionStep::TakeOver(TakeoverCause::WeakHolder) {
            taken_at.get_or_insert(now);
        }
    }
    assert!(
        taken_at.is_some_and(|taken| (1000..=2000).contains(&taken)),
        "{taken_at:?}"
    );
}

#[test]
fn equal_leaders_and_those_that_write_stay() {
    for own in [120, 500, 700] {
        let mut watch = ElectionMonitor::new(cores(own), 0);
        for step in 0..200 {
            let holder = reading(step + 1, 500);
            let step = watch.take_reading(Some(holder), FAST, at(step * 400));
            assert_eq!(step, ElectionStep::Follow);
        }
    }
}

#[test]
fn a_silent_leader_is_replaced_within_three_seconds() {
    let mut watch = ElectionMonitor::new(cores(500), 500);
    let taken_at = (0..100).map(|step| step * 100).find(|now| {
        let step = watch.take_reading(Some(reading(3, 500)), FAST, at(*now));
        step == ElectionStep::TakeOver(TakeoverCause::Silent)
    });
    assert!(
        taken_at.is_some_and(|taken| (2200..3000).contains(&taken)),
        "{taken_at:?}"
    );
}

#[test]
fn a_leader_keeps_its_row_over_an_outage_of_the_store() {
    let mut watch = ElectionMonitor::new(cores(500), 0);
    assert_eq!(
        watch.take_reading(Some(reading(3, 500)), FAST, at(0)),
        ElectionStep::Follow
    );
    // Nobody reads or writes for five seconds; the leader writes 0.9 s later.
    for now in [5000, 5400, 5800] {
        let step = watch.take_reading(Some(reading(3, 500)), FAST, at(now));
        assert_eq!(step, ElectionStep::Follow, "at {now} ms");
    }
    let step = watch.take_reading(Some(reading(4, 500)), FAST, at(6200));
    assert_eq!(step, ElectionStep::Follow);
}

#[test]
fn a_leader_that_is_lost_during_an_outage_is_replaced_soon_after_it() {
    let mut watch = ElectionMonitor::new(cores(500), 0);
    watch.take_reading(Some(reading(3, 500)), FAST, at(0));
    let taken_at = (0..30).map(|step| 5000 + step * 100).find(|now| {
        let step = watch.take_reading(Some(reading(3, 500)), FAST, at(*now));
        step == ElectionStep::TakeOver(TakeoverCause::Silent)
    });
    assert!(taken_at.is_some_and(|taken| taken <= 6500), "{taken_at:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Whatever is read when, a row that moves and whose holder is no weaker
    /// stays with its holder, and a vacant one is taken in bounded time.
    #[test]
    fn rows_that_move_are_left_alone(
        own in 50_u64..4000,
        place in 0_u32..1000,
        steps in prop::collection::vec((20_u64..1000, 1_u64..400), 1..60),
    ) {
        let mut watch = ElectionMonitor::new(cores(own), place);
        let mut now = 0;
        for (number, (pause, term)) in steps.iter().enumerate() {
            now += pause;
            let holder = LeaderObservation { strongest: cores(own), ..reading(number as u64 + 1, own) };
            let step = watch.take_reading(Some(holder), Duration::from_millis(*term), at(now));
            prop_assert_eq!(step, ElectionStep::Follow);
        }
        let released = LeaderObservation { is_released: true, ..reading(1000, own) };
        let (_, term) = steps[0];
        let mut next = now + 1;
        loop {
            match watch.take_reading(Some(released), Duration::from_millis(term), at(next)) {
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
