//! Entries, agents, workers and the table through random schedules of
//! deaths, pauses, lost answers, outages and races.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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
        2 => entry.clone().prop_map(WorldEvent::KillEntry),
        3 => agent.clone().prop_map(WorldEvent::KillAgent),
        1 => agent.clone().prop_map(WorldEvent::Reboot),
        4 => (agent.clone(), any::<bool>())
            .prop_map(|(agent, open)| WorldEvent::SetOpen { agent, open }),
        2 => Just(WorldEvent::CancelSome),
        4 => (1..4_000_u64).prop_map(WorldEvent::Pass),
        2 => agent.clone().prop_map(WorldEvent::Status),
        2 => agent.clone().prop_map(WorldEvent::Act),
        2 => agent.clone().prop_map(WorldEvent::ActLostAnswer),
        2 => entry.clone().prop_map(WorldEvent::AppendLostAnswer),
        2 => (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| WorldEvent::LoseReply { entry, agent }),
        4 => (1..15_usize).prop_map(rounds),
        4 => (20..120_usize, proptest::option::of(agent), proptest::option::of(entry)).prop_map(
            |(count, paused_agent, cut_entry)| WorldEvent::Rounds {
                count,
                paused_agent,
                cut_entry,
            }
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_breaks_a_promise(events in proptest::collection::vec(event(), 10..60)) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
            world.check()?;
        }
    }

    #[test]
    fn after_any_schedule_a_quiet_time_finishes_all_tasks(
        events in proptest::collection::vec(event(), 10..40),
    ) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
        }
        world.settle();
        world.check()?;
        prop_assert_eq!(world.unfinished(), 0);
    }
}
/// Schedules within which a deliberate fault has to be found.
const FAULT_CASES: u32 = 2000;

/// The checks can fail: each deliberate fault is found.
#[rstest]
#[case::two_places(WorldFault::LongLease, World::check_workers, "runs in two places")]
#[case::overfilled(WorldFault::CapacityLie, World::check_workers, "more than it has")]
#[case::closed_place(WorldFault::DeafEntries, World::check, "started in a closed place")]
#[case::taken_early(WorldFault::LongLease, World::check, "taken back under a lease")]
fn a_deliberate_fault_is_found(
    #[case] fault: WorldFault,
    #[case] check: fn(&World) -> Result<(), TestCaseError>,
    #[case] promise: &str,
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
    let reason = found.expect_err("the fault was not found").to_string();
    assert!(reason.contains(promise), "{reason}");
}

/// Rounds in which everything works.
fn rounds(count: usize) -> WorldEvent {
    WorldEvent::Rounds {
        count,
        paused_agent: None,
        cut_entry: None,
    }
}

/// Rounds in which an entry is cut off from everything.
fn cut_rounds(count: usize, entry: usize) -> WorldEvent {
    WorldEvent::Rounds {
        count,
        paused_agent: None,
        cut_entry: Some(entry),
    }
}

#[test]
fn an_entry_that_forgot_its_agents_learns_what_they_have_left() {
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
        cut_rounds(80, 1),
        WorldEvent::Place(1),
        WorldEvent::Submit {
            entry: 1,
            urgent: false,
        },
        WorldEvent::Append(1),
    ] {
        world.apply(&event);
    }
    world.settle();
    assert_eq!(world.unfinished(), 0);
}

#[test]
fn an_agent_that_outslept_its_lease_discards_the_lapsed_attempt() {
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
            cut_entry: None,
        },
        rounds(20),
    ] {
        world.apply(&event);
        world.check().unwrap();
    }
}

/// A start that was never delivered must not outlive the lease that the entry
/// concluded had lapsed: the agent would run it beside the next attempt.
#[test]
fn a_start_that_was_never_delivered_is_withdrawn_with_its_lease() {
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
        cut_rounds(40, 1),
        lossy(1, 11_935_083_533_987_005_449),
        WorldEvent::Status(0),
        WorldEvent::Pass(1),
        lossy(1, 0),
        lossy(9, 1_240_825_731_236_405_341),
        lossy(2, 0),
    ] {
        world.apply(&event);
        world.check().unwrap();
    }
}
