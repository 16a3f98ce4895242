//! A leader, its agents and workers through random schedules of deaths, cuts,
//! lost messages, late orders, rebirths and takeovers.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod world;

use proptest::prelude::*;
use proptest::test_runner::{TestRng, TestRunner};
use rstest::rstest;
use world::{World, WorldEvent, WorldFault};

/// Tasks that fit the three workers.
const ROOM: usize = 12;

fn rounds(count: usize) -> WorldEvent {
    WorldEvent::Rounds {
        count,
        loss_percent: 0,
        late_percent: 0,
        cut_agent: None,
        store_down: false,
        seed: 1,
    }
}

fn event() -> impl Strategy<Value = WorldEvent> {
    let entry = 0..2_usize;
    let agent = 0..3_usize;
    prop_oneof![
        8 => any::<bool>().prop_map(|lasts| WorldEvent::Submit { lasts }),
        2 => Just(WorldEvent::Cancel),
        2 => entry.clone().prop_map(WorldEvent::TakeOver),
        3 => entry.prop_map(WorldEvent::TakeOverUnseen),
        3 => agent.clone().prop_map(WorldEvent::KillAgent),
        3 => agent.clone().prop_map(WorldEvent::Reborn),
        2 => (agent.clone(), any::<bool>())
            .prop_map(|(worker, with_agent)| WorldEvent::Leave { worker, with_agent }),
        2 => (agent.clone(), any::<bool>())
            .prop_map(|(worker, on)| WorldEvent::FailAll { worker, on }),
        6 => (1..60_usize).prop_map(rounds),
        16 => (
            1..160_usize,
            0..60_u64,
            0..60_u64,
            proptest::option::of(agent),
            proptest::bool::weighted(0.2),
            any::<u64>(),
        )
            .prop_map(
                |(count, loss_percent, late_percent, cut_agent, store_down, seed)| {
                    WorldEvent::Rounds {
                        count,
                        loss_percent,
                        late_percent,
                        cut_agent,
                        store_down,
                        seed,
                    }
                }
            ),
    ]
}

/// Schedules within which a deliberate fault has to be found.
const FAULT_CASES: u32 = 600;

/// The promises that a fault breaks are checked: each is found.
#[rstest]
#[case::two_places(WorldFault::ShortLease, "runs in two places")]
#[case::overfilled(WorldFault::CapacityLie, "is overfilled")]
#[case::forgotten(WorldFault::ForgetProgress, "")]
#[case::started_again(WorldFault::ForgetAttempts, "started after its end was recorded")]
fn a_deliberate_fault_is_found(#[case] fault: WorldFault, #[case] promise: &str) {
    let config = ProptestConfig {
        cases: FAULT_CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = proptest::collection::vec(event(), 5..40);
    let found = runner.run(&schedules, |events| {
        let mut world = World::with_fault(Some(fault));
        for event in &events {
            world.apply(event);
            world.check()?;
        }
        Ok(())
    });
    let reason = found.expect_err("the fault was not found").to_string();
    assert!(reason.contains(promise), "{reason}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_breaks_a_promise(events in proptest::collection::vec(event(), 5..40)) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
            world.check()?;
        }
    }

    #[test]
    fn after_any_schedule_a_quiet_time_finishes_all_jobs(
        events in proptest::collection::vec(event(), 5..20),
    ) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
        }
        world.settle();
        world.check()?;
        let (wanted, running) = world.lasting();
        prop_assert_eq!(running, (wanted * 3).min(ROOM));
        // Lasting tasks that fill all workers leave no room for others.
        if wanted * 3 < ROOM {
            prop_assert_eq!(world.unfinished(), vec![]);
        }
    }
}
