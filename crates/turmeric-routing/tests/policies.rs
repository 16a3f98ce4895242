//! Compares the routing policies on one service in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod service_model;

use std::time::Duration;

use rstest::rstest;
use service_model::{ModelPlan, run};
use turmeric_routing::{RouteTable, RoutingPolicy};
use turmeric_types::{AgentId, MonoTime, SplitMixRandom};

/// Returns a plan with a load of 80% of all slots, while waves of batch work
/// slow 3 of 11 endpoints to half their speed.
fn noisy_plan(policy: RoutingPolicy, seed: u64) -> ModelPlan {
    ModelPlan {
        policy,
        endpoints: 11,
        slots: 8,
        service: Duration::from_millis(10),
        noisy: 3,
        noise_factor: 2.0,
        load: 0.8,
        seconds: 30,
        crashes_at: None,
        seed,
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn expected_latency_shortens_the_tail_beside_noisy_batch_work(#[case] seed: u64) {
    let p99 = |policy| run(&noisy_plan(policy, seed)).p99();
    let goodput = |policy| run(&noisy_plan(policy, seed)).in_time;
    let expected_latency = p99(RoutingPolicy::ExpectedLatency).as_secs_f64();
    let round_robin = p99(RoutingPolicy::RoundRobin).as_secs_f64();
    let power_of_two = p99(RoutingPolicy::PowerOfTwo).as_secs_f64();
    println!(
        "seed {seed}: expected latency {expected_latency:.4} s, round robin {round_robin:.4} s, \
         power of two {power_of_two:.4} s, random {:?}, least outstanding {:?}",
        p99(RoutingPolicy::Random),
        p99(RoutingPolicy::LeastOutstanding),
    );
    assert!(
        expected_latency <= 0.5 * round_robin,
        "{expected_latency} against {round_robin}"
    );
    assert!(
        expected_latency <= 0.8 * power_of_two,
        "{expected_latency} against {power_of_two}"
    );
    let in_time = goodput(RoutingPolicy::ExpectedLatency);
    for policy in [RoutingPolicy::RoundRobin, RoutingPolicy::PowerOfTwo] {
        let other = goodput(policy);
        assert!(in_time >= other, "{in_time} against {other} of {policy}");
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn crashed_endpoint_loses_only_requests_in_flight_and_the_tail_recovers(#[case] seed: u64) {
    let mut plan = noisy_plan(RoutingPolicy::ExpectedLatency, seed);
    plan.noisy = 0;
    plan.load = 0.7;
    let quiet = run(&plan).p99();
    plan.crashes_at = Some(Duration::from_secs(10));
    let result = run(&plan);
    println!(
        "seed {seed}: lost {}, lost later {}",
        result.lost, result.lost_later
    );
    // At most the slots and queue of the endpoint were in flight at its crash,
    // as one entry sees it.
    assert!(result.lost <= 2 * 8, "{} were lost", result.lost);
    let later = result.p99_after(Duration::from_secs(13));
    assert!(later <= quiet.mul_f64(1.5), "{later:?} against {quiet:?}");
}

fn table_of(count: usize) -> RouteTable {
    let mut table = RouteTable::new("morava-a".parse().unwrap());
    for number in 0..count {
        let agent: AgentId = format!("w{number}").parse().unwrap();
        table.announce(agent, "morava-a".parse().unwrap(), 8, MonoTime::default());
    }
    table
}

#[rstest]
#[case(RoutingPolicy::PowerOfTwo)]
#[case(RoutingPolicy::ExpectedLatency)]
#[case(RoutingPolicy::Random)]
fn decision_samples_as_many_endpoints_in_a_large_table_as_in_a_small_one(
    #[case] policy: RoutingPolicy,
) {
    // Each sampled endpoint takes one draw, so the draws count the endpoints.
    let draws = |count| {
        let mut table = table_of(count);
        let mut random = SplitMixRandom::new(5);
        table.choose(policy, &[], &mut random, MonoTime::from_millis(5000));
        let mut other = SplitMixRandom::new(5);
        let target = random.next_bits();
        (0..100).find(|_| other.next_bits() == target).unwrap()
    };
    assert_eq!(draws(11), draws(1500));
    assert!(draws(1500) <= turmeric_routing::SAMPLE_COUNT);
}

#[test]
fn failing_endpoint_does_not_attract_requests() {
    let mut table = table_of(2);
    let mut random = SplitMixRandom::new(1);
    let failing: AgentId = "w0".parse().unwrap();
    let mut failures = 0;
    for millis in 0..10_000 {
        let now = MonoTime::from_millis(millis);
        let policy = RoutingPolicy::ExpectedLatency;
        let id = table.choose(policy, &[], &mut random, now).unwrap();
        let agent = table.route(id).agent.clone();
        table.begin(&agent);
        if agent == failing {
            failures += 1;
            table.fail(&agent, now);
        } else {
            table.finish(&agent, 5000.0, now);
        }
    }
    assert!(
        failures <= 10,
        "{failures} of 10000 went to the failing endpoint"
    );
}

#[test]
fn slow_endpoint_among_three_gets_few_requests() {
    let mut table = table_of(3);
    let mut random = SplitMixRandom::new(1);
    let now = MonoTime::from_millis(1000);
    let policy = RoutingPolicy::ExpectedLatency;
    let slow: AgentId = "w0".parse().unwrap();
    let mut to_slow = 0;
    for _ in 0..10_000 {
        let id = table.choose(policy, &[], &mut random, now).unwrap();
        let agent = table.route(id).agent.clone();
        to_slow += u32::from(agent == slow);
        table.begin(&agent);
        let micros = if agent == slow { 100_000.0 } else { 1000.0 };
        table.finish(&agent, micros, now);
    }
    // The slow endpoint is tried only until its estimate is known.
    assert!(
        to_slow <= 10,
        "{to_slow} of 10000 went to the slow endpoint"
    );
}
