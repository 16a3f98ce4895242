//! Tests of when an entry treats the store as unreachable, and of the time after which callers
//! retry.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_jobs::{DeliveryOutcome, JobCode, StoreHealth};
use turmeric_types::{MonoTime, SplitMixRandom};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn store_is_unreachable_after_three_failures_until_the_first_answer() {
    let mut health = StoreHealth::new();
    for call in 0..3 {
        assert!(!health.is_unreachable(at(call * 10)));
        health.record_call(false, at(call * 10));
    }
    assert!(health.is_unreachable(at(30)));
    // Meanwhile, a follower's poll fails every 0.4 s.
    for poll in 1..20 {
        assert!(health.is_unreachable(at(poll * 400)));
        health.record_call(false, at(poll * 400));
    }
    health.record_call(true, at(8000));
    assert!(!health.is_unreachable(at(8000)));
}

#[test]
fn store_is_tried_again_after_a_time_without_failures() {
    let mut health = StoreHealth::new();
    for call in 0..9 {
        health.record_call(false, at(call));
    }
    assert!(health.is_unreachable(at(1000)));
    assert!(!health.is_unreachable(at(2000)));
}

/// Returns the health after `count` failed calls, 10 ms apart, the first at `begun_at`.
fn failed_since(begun_at: u64, count: u64) -> StoreHealth {
    let mut health = StoreHealth::new();
    for call in 0..count {
        health.record_call(false, at(begun_at + 10 * call));
    }
    health
}

/// Guards against an outage that begins anew with each probe of the store that fails, after
/// which the time to retry would stay at a second.
#[test]
fn outage_goes_on_through_failed_probes_until_a_call_is_answered() {
    let mut health = failed_since(1000, 3);
    // No call fails for longer than the time after which the store is tried again.
    assert!(!health.is_unreachable(at(4000)));
    assert_eq!(
        health.outage_duration(at(4000)),
        Duration::from_millis(3000)
    );
    health.record_call(false, at(4000));
    assert!(health.is_unreachable(at(4000)));
    assert_eq!(
        health.outage_duration(at(6000)),
        Duration::from_millis(5000)
    );
    health.record_call(true, at(6000));
    assert_eq!(health.outage_duration(at(6000)), Duration::ZERO);
    // The next outage begins with its own first failure.
    health.record_call(false, at(9000));
    health.record_call(false, at(9010));
    health.record_call(false, at(9020));
    assert_eq!(health.outage_duration(at(9500)), Duration::from_millis(500));
}

/// Guards against longer times to retry for single lost answers, which are no outage.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn few_failures_leave_the_time_to_retry_at_a_second(#[case] failures: u64) {
    let health = failed_since(0, failures);
    assert_eq!(
        health.retry_after(JobCode::new(7), at(60_000)),
        Duration::from_secs(1)
    );
}

/// Guards against a time to retry that is too short to span an outage, or too long after it.
#[rstest]
#[case(30, 1000, 1000)]
#[case(1000, 1000, 1000)]
#[case(1001, 1251, 1752)]
#[case(2000, 2500, 3500)]
#[case(4000, 5000, 7000)]
#[case(600_000, 5000, 7000)]
fn time_to_retry_follows_the_duration_of_the_outage(
    #[case] elapsed: u64,
    #[case] least: u64,
    #[case] most: u64,
) {
    let health = failed_since(500, 3);
    for code in 0..1000 {
        let delay = health.retry_after(JobCode::new(code), at(500 + elapsed));
        assert!(delay >= Duration::from_millis(least), "{delay:?}");
        assert!(delay <= Duration::from_millis(most), "{delay:?}");
    }
}

/// Returns the value of a `Retry-After` header, which holds whole seconds, in milliseconds.
fn header_millis(delay: Duration) -> u64 {
    1000 * delay.as_millis().div_ceil(1000).max(1) as u64
}

/// How the time to retry is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryRule {
    /// One second for every refusal.
    Constant,
    /// By the duration of the outage.
    Growing,
}

/// What happened to the jobs whose first attempt fell into an outage.
#[derive(Debug, Default)]
struct ReturnCount {
    /// Jobs whose caller made no attempt after the outage.
    exhausted: usize,
    /// Jobs that were never accepted.
    not_accepted: usize,
    /// Largest number of retries in any second after the outage.
    busiest: usize,
}

/// A call of a simulation: an entry reads the leader's row, or a caller submits a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedCall {
    Poll(usize),
    Submission { job: usize, attempt: u32 },
}

/// Number of entries of the simulation.
const ENTRY_COUNT: usize = 3;

/// Start of the simulated outage.
const OUTAGE_START: u64 = 4000;

/// Time between two jobs of the simulation.
const JOB_INTERVAL: u64 = 25;

/// Retries that a caller makes after its first attempt.
const RETRY_LIMIT: u32 = 4;

/// Simulates entries that lose the store for `outage` milliseconds, and callers that retry four
/// times. Jobs arrive evenly before and during the outage; each attempt goes to any entry.
fn simulate_outage(rule: RetryRule, outage: u64, seed: u64) -> ReturnCount {
    let end = OUTAGE_START + outage;
    let is_away = |now: u64| (OUTAGE_START..end).contains(&now);
    let mut random = SplitMixRandom::new(seed);
    let mut entries = [StoreHealth::new(); ENTRY_COUNT];
    let codes: Vec<JobCode> = (0..end / JOB_INTERVAL)
        .map(|_| JobCode::new(random.next_bits()))
        .collect();
    let mut calls: BTreeSet<(u64, SimulatedCall)> = (0..codes.len())
        .map(|job| {
            let submission = SimulatedCall::Submission { job, attempt: 0 };
            (job as u64 * JOB_INTERVAL, submission)
        })
        .collect();
    for entry in 0..ENTRY_COUNT {
        calls.insert((random.next_below(450) as u64, SimulatedCall::Poll(entry)));
    }
    let mut last_attempt = vec![0; codes.len()];
    let mut is_accepted = vec![false; codes.len()];
    let mut returns = Vec::new();
    while let Some((time, call)) = calls.pop_first() {
        let now = at(time);
        match call {
            SimulatedCall::Poll(entry) => {
                entries[entry].record_call(!is_away(time), now);
                if time < end + 30_000 {
                    // Followers read the leader's row every 400 to 500 ms.
                    let pause = 400 + random.next_below(100) as u64;
                    calls.insert((time + pause, call));
                }
            }
            SimulatedCall::Submission { job, attempt } => {
                last_attempt[job] = time;
                if time >= end && attempt > 0 {
                    returns.push(time);
                }
                let health = &mut entries[random.next_below(ENTRY_COUNT)];
                // An entry writes a job twice before it refuses it.
                for _ in 0..2 {
                    if !is_accepted[job] && !health.is_unreachable(now) {
                        is_accepted[job] = !is_away(time);
                        health.record_call(is_accepted[job], now);
                    }
                }
                if !is_accepted[job] && attempt < RETRY_LIMIT {
                    let delay = match rule {
                        RetryRule::Constant => Duration::from_secs(1),
                        RetryRule::Growing => health.retry_after(codes[job], now),
                    };
                    let attempt = attempt + 1;
                    let retry = SimulatedCall::Submission { job, attempt };
                    calls.insert((time + header_millis(delay), retry));
                }
            }
        }
    }
    let jobs: Vec<usize> = (0..codes.len())
        .filter(|job| is_away(*job as u64 * JOB_INTERVAL))
        .collect();
    ReturnCount {
        exhausted: jobs.iter().filter(|job| last_attempt[**job] < end).count(),
        not_accepted: jobs.iter().filter(|job| !is_accepted[**job]).count(),
        busiest: busiest_second(&returns),
    }
}

/// Returns the largest number of the sorted `times` within one second.
fn busiest_second(times: &[u64]) -> usize {
    (0..times.len())
        .map(|first| times[first..].partition_point(|time| *time < times[first] + 1000))
        .max()
        .unwrap_or_default()
}

/// Guards against callers that use up their retries before the store is back, and against an
/// overload in the second after that.
#[rstest]
fn callers_return_after_an_outage_and_not_in_one_second(
    #[values(5000, 5500, 6000, 6500, 7000, 7500, 8000, 8500, 9000)] outage: u64,
) {
    for seed in 1..=50 {
        let constant = simulate_outage(RetryRule::Constant, outage, seed);
        let growing = simulate_outage(RetryRule::Growing, outage, seed);
        println!("{outage} ms, seed {seed}: constant {constant:?}, growing {growing:?}");
        assert!(
            constant.exhausted > 0,
            "{outage} ms, seed {seed}: {constant:?}"
        );
        assert_eq!(
            growing.exhausted, 0,
            "{outage} ms, seed {seed}: {growing:?}"
        );
        assert_eq!(
            growing.not_accepted, 0,
            "{outage} ms, seed {seed}: {growing:?}"
        );
        assert!(
            growing.busiest < constant.busiest,
            "{outage} ms, seed {seed}: {growing:?} instead of {constant:?}"
        );
    }
}

/// A request is reported as refused only if no attempt may have been carried out.
#[rstest]
#[case(
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Unknown
)]
#[case(
    DeliveryOutcome::Refused,
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Unknown
)]
#[case(
    DeliveryOutcome::Refused,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Refused
)]
#[case(
    DeliveryOutcome::Unknown,
    DeliveryOutcome::Answered,
    DeliveryOutcome::Answered
)]
#[case(
    DeliveryOutcome::Answered,
    DeliveryOutcome::Refused,
    DeliveryOutcome::Answered
)]
fn request_with_a_lost_answer_is_never_reported_as_refused(
    #[case] first: DeliveryOutcome,
    #[case] next: DeliveryOutcome,
    #[case] combined: DeliveryOutcome,
) {
    assert_eq!(first.combine(next), combined);
}

proptest! {
    /// A store that loses a third of its answers still counts as reachable for most calls.
    #[test]
    fn lost_answers_rarely_look_like_an_outage(seed in any::<u64>()) {
        let mut random = SplitMixRandom::new(seed);
        let mut health = StoreHealth::new();
        let mut unreachable = 0;
        for call in 0..1000_u64 {
            unreachable += u32::from(health.is_unreachable(at(call * 50)));
            health.record_call(random.next_below(100) >= 30, at(call * 50));
        }
        prop_assert!(unreachable < 100, "{unreachable} of 1000");
    }

    /// After any sequence of calls, one answer is enough.
    #[test]
    fn one_answer_makes_the_store_reachable(calls in prop::collection::vec(any::<bool>(), 0..50)) {
        let mut health = StoreHealth::new();
        for (number, is_answered) in calls.iter().enumerate() {
            health.record_call(*is_answered, at(number as u64 * 10));
        }
        health.record_call(true, at(1000));
        prop_assert!(!health.is_unreachable(at(1000) .after(Duration::from_millis(1))));
    }
}
