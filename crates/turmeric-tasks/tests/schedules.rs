//! Checks invariants of entries, agents, workers and the table under random
//! schedules of restarts, pauses, lost responses, outages and races.

#![allow(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected result"
)]

mod world;

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRng, TestRunner};
use rstest::rstest;
use world::{World, WorldEvent, WorldFault};

fn event() -> impl Strategy<Value = WorldEvent> {
    let entry = 0..2_usize;
    let agent = 0..3_usize;
    prop_oneof![
        20 => (1..40_usize, 0..50_u64, any::<u64>()).prop_map(|(count, loss_percent, seed)| {
            WorldEvent::Lossy {
                count,
                loss_percent,
                seed,
            }
        }),
        8 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, urgent)| WorldEvent::Submit { entry, urgent }),
        4 => (entry.clone(), entry.clone())
            .prop_map(|(entry, partition)| WorldEvent::TakeOver { entry, partition }),
        2 => entry.clone().prop_map(WorldEvent::RestartEntry),
        3 => agent.clone().prop_map(WorldEvent::RestartAgent),
        1 => agent.clone().prop_map(WorldEvent::Reboot),
        4 => (agent.clone(), any::<bool>())
            .prop_map(|(agent, in_service)| WorldEvent::SetInService { agent, in_service }),
        2 => Just(WorldEvent::CancelNewest),
        4 => (1..4_000_u64).prop_map(WorldEvent::AdvanceTime),
        2 => agent.clone().prop_map(WorldEvent::Status),
        2 => agent.clone().prop_map(WorldEvent::MakeCalls),
        2 => agent.clone().prop_map(WorldEvent::MakeCallsLostResult),
        2 => entry.clone().prop_map(WorldEvent::AppendLostResult),
        2 => (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| WorldEvent::LoseReply { entry, agent }),
        4 => (1..15_usize).prop_map(rounds),
        4 => (20..120_usize, proptest::option::of(agent), proptest::option::of(entry)).prop_map(
            |(count, paused_agent, isolated_entry)| WorldEvent::Rounds {
                count,
                paused_agent,
                isolated_entry,
            }
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn any_schedule_keeps_all_invariants(events in proptest::collection::vec(event(), 10..60)) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
            world.check_invariants()?;
        }
    }

    #[test]
    fn all_tasks_finish_after_any_schedule_once_failures_stop(
        events in proptest::collection::vec(event(), 10..40),
    ) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
        }
        world.run_without_failures();
        world.check_invariants()?;
        prop_assert_eq!(world.unfinished(), 0);
    }
}

/// Number of schedules within which an injected fault must be found.
const FAULT_CASES: u32 = 2000;

/// Shows that the checks can fail: they find each injected fault.
#[rstest]
#[case::two_locations(
    WorldFault::OverlongLease,
    World::check_worker_invariants,
    "runs at two locations"
)]
#[case::overfilled(
    WorldFault::OverstatedCapacity,
    World::check_worker_invariants,
    "exceed its capacity"
)]
#[case::zone_out_of_service(
    WorldFault::StaleZoneState,
    World::check_invariants,
    "started in a zone out of service"
)]
#[case::returned_early(
    WorldFault::OverlongLease,
    World::check_invariants,
    "returned under a valid lease"
)]
fn injected_fault_is_found(
    #[case] fault: WorldFault,
    #[case] check: fn(&World) -> Result<(), TestCaseError>,
    #[case] violation: &str,
) {
    let config = ProptestConfig {
        cases: FAULT_CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = proptest::collection::vec(event(), 10..60);
    let found = runner.run(&schedules, |events| {
        let mut world = World::with_fault(Some(fault));
        for event in &events {
            world.apply(event);
            check(&world)?;
        }
        Ok(())
    });
    let reason = found
        .expect_err("the checks did not find the injected fault")
        .to_string();
    assert!(reason.contains(violation), "{reason}");
}

/// Returns rounds in which everything works.
fn rounds(count: usize) -> WorldEvent {
    WorldEvent::Rounds {
        count,
        paused_agent: None,
        isolated_entry: None,
    }
}

/// Returns rounds in which an entry is isolated from the table and all agents.
fn isolated_rounds(count: usize, entry: usize) -> WorldEvent {
    WorldEvent::Rounds {
        count,
        paused_agent: None,
        isolated_entry: Some(entry),
    }
}

#[test]
fn entry_that_lost_its_agent_sessions_learns_their_free_capacity() {
    let mut world = World::new();
    for event in [
        WorldEvent::TakeOver {
            entry: 1,
            partition: 0,
        },
        WorldEvent::TakeOver {
            entry: 1,
            partition: 1,
        },
        rounds(5),
        isolated_rounds(80, 1),
        WorldEvent::PlaceTasks(1),
        WorldEvent::Submit {
            entry: 1,
            urgent: false,
        },
        WorldEvent::Append(1),
    ] {
        world.apply(&event);
    }
    world.run_without_failures();
    assert_eq!(world.unfinished(), 0);
}

#[test]
fn agent_paused_beyond_its_lease_discards_the_expired_attempt() {
    let mut world = World::new();
    for event in [
        WorldEvent::Submit {
            entry: 0,
            urgent: false,
        },
        rounds(8),
        WorldEvent::Rounds {
            count: 70,
            paused_agent: Some(0),
            isolated_entry: None,
        },
        rounds(20),
    ] {
        world.apply(&event);
        world.check_invariants().unwrap();
    }
}

/// An undelivered start order must not be delivered after the entry concluded
/// that the lease had expired: the agent would run it beside the next attempt.
#[test]
fn undelivered_start_is_withdrawn_when_its_lease_expires() {
    let lossy = |count, seed| WorldEvent::Lossy {
        count,
        loss_percent: 0,
        seed,
    };
    let mut world = World::new();
    for event in [
        WorldEvent::Submit {
            entry: 1,
            urgent: false,
        },
        rounds(2),
        isolated_rounds(40, 1),
        lossy(1, 11_935_083_533_987_005_449),
        WorldEvent::Status(0),
        WorldEvent::AdvanceTime(1),
        lossy(1, 0),
        lossy(9, 1_240_825_731_236_405_341),
        lossy(2, 0),
    ] {
        world.apply(&event);
        world.check_invariants().unwrap();
    }
}
