//! Schedules in which long-running jobs want more than the fleet has, and VMs are lost and replaced.

use proptest::prelude::*;

use super::removal::{DRAIN_NOTICE, RemovalOrder};
use super::worker::{TASK_MILLICORES, WorkerSilence};
use super::{ROUND, World, WorldEvent, WorldFault};

/// VMs that are not there at first.
const SPARES: usize = 5;

/// VMs that are there at first, and spares.
const VMS: usize = 3 + SPARES;

/// Longest time that a worker takes to stop a task, in milliseconds.
const STOP_TIME: u64 = 900;

/// Returns a world with VMs that may replace others.
pub fn replaceable_world(fault: Option<WorldFault>) -> World {
    let world = World::with_fault(fault).with_spares(SPARES);
    world.with_stop_time(STOP_TIME)
}

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

fn serving_job() -> impl Strategy<Value = WorldEvent> {
    let millicores = prop_oneof![Just(TASK_MILLICORES), Just(2_500), Just(3_500)];
    let is_limited = proptest::bool::weighted(0.4);
    (2..=7_u32, millicores, is_limited).prop_map(|(tasks, millicores, is_limited)| {
        WorldEvent::SubmitServing {
            tasks,
            millicores,
            is_limited,
        }
    })
}

/// Long-running jobs that want up to three times what the fleet has, one after another.
fn excess_jobs(least: usize) -> impl Strategy<Value = Vec<WorldEvent>> {
    let spaced = (serving_job(), 0..20_usize).prop_map(|(job, gap)| [job, rounds(gap)]);
    let jobs = proptest::collection::vec(spaced, least..=6);
    (jobs, 20..60_usize).prop_map(|(jobs, gap)| [jobs.concat(), vec![rounds(gap)]].concat())
}

/// New VMs that register one after another, each with the end of an old one, which may be announced
/// before its successor is there.
fn release() -> impl Strategy<Value = Vec<WorldEvent>> {
    let replacement = (
        0..VMS,
        0..VMS,
        any::<bool>(),
        0..40_usize,
        40..=120_u64,
        5..60_usize,
    );
    let replacement = replacement.prop_map(|(new, old, is_first, overlap, notice, gap)| {
        let arrival = WorldEvent::Register { worker: new };
        let end = WorldEvent::Retire {
            worker: old,
            rounds: notice,
        };
        let pair = if is_first {
            [arrival, rounds(overlap), end]
        } else {
            [end, rounds(overlap), arrival]
        };
        [pair.to_vec(), vec![rounds(gap)]].concat()
    });
    proptest::collection::vec(replacement, 2..=4).prop_map(|parts| parts.concat())
}

/// Tasks of a VM that is gone wait in a full fleet. Then all VMs announce their end, and new ones
/// register one after another.
fn release_beside_loss() -> impl Strategy<Value = Vec<WorldEvent>> {
    let parts = (excess_jobs(4), 125..200_usize, 80..=160_u64, 12..24_usize);
    parts.prop_map(|(jobs, wait, notice, gap)| {
        let register = |worker| WorldEvent::Register { worker };
        let retire = |worker, rounds| WorldEvent::Retire { worker, rounds };
        let loss = [retire(0, DRAIN_NOTICE / ROUND), rounds(wait)];
        let ends = [1, 2, 3, 4].map(|worker| retire(worker, notice));
        let arrivals = [5, 6, 7, 0].map(|worker| [register(worker), rounds(gap)]);
        let fleet = [register(3), register(4)].to_vec();
        [fleet, jobs, loss.to_vec(), ends.to_vec(), arrivals.concat()].concat()
    })
}

/// VMs that are gone 2 s after their notice, at once or one after another.
fn spot_removals() -> impl Strategy<Value = Vec<WorldEvent>> {
    let removal = (0..VMS, 0..20_usize).prop_map(|(worker, gap)| {
        let rounds_left = DRAIN_NOTICE / ROUND;
        let end = WorldEvent::Retire {
            worker,
            rounds: rounds_left,
        };
        [end, rounds(gap)]
    });
    let removals = proptest::collection::vec(removal, 1..=2);
    (removals, 0..200_usize).prop_map(|(parts, gap)| [parts.concat(), vec![rounds(gap)]].concat())
}

/// A worker that carries out no start while a VM is removed, in most cases beside a new VM.
fn ignored_starts() -> impl Strategy<Value = Vec<WorldEvent>> {
    (
        0..VMS,
        0..VMS,
        20..300_u64,
        0..VMS,
        40..=200_u64,
        0..240_usize,
    )
        .prop_map(|(new, worker, ignored, other, notice, gap)| {
            let arrival = WorldEvent::Register { worker: new };
            let end = WorldEvent::Retire {
                worker: other,
                rounds: notice,
            };
            let ignored = WorldEvent::IgnoreStarts {
                worker,
                rounds: ignored,
            };
            vec![arrival, rounds(10), ignored, end, rounds(gap)]
        })
}

/// Workers on which long-running tasks of several jobs fail.
fn failures() -> impl Strategy<Value = Vec<WorldEvent>> {
    let failure = (0..VMS, 1..5_usize, 0..4_usize).prop_map(|(worker, count, gap)| {
        let failure = WorldEvent::FailLongRunning { worker, count };
        [failure, rounds(gap)]
    });
    let failures = proptest::collection::vec(failure, 1..=4);
    (failures, 20..200_usize).prop_map(|(parts, gap)| [parts.concat(), vec![rounds(gap)]].concat())
}

fn lone_event() -> impl Strategy<Value = WorldEvent> {
    let worker = 0..VMS;
    let silence = prop_oneof![
        Just(WorkerSilence::Mute),
        Just(WorkerSilence::Deaf),
        Just(WorkerSilence::Closed),
    ];
    prop_oneof![
        4 => Just(WorldEvent::Submit { long_running: false }),
        2 => serving_job(),
        1 => Just(WorldEvent::Cancel),
        3 => worker.clone().prop_map(|worker| WorldEvent::Register { worker }),
        2 => (worker.clone(), 40..=300_u64)
            .prop_map(|(worker, rounds)| WorldEvent::Retire { worker, rounds }),
        1 => (worker.clone(), proptest::option::of(0..300_u64)).prop_map(
            |(worker, returns_after)| WorldEvent::Remove {
                worker,
                drains_before: false,
                order: RemovalOrder::Together,
                returns_after,
            }
        ),
        1 => (0..2_usize).prop_map(WorldEvent::TakeOver),
        1 => (0..2_usize).prop_map(WorldEvent::TakeOverUnseen),
        1 => worker.clone().prop_map(WorldEvent::KillAgent),
        1 => worker.clone().prop_map(WorldEvent::RestartWorker),
        1 => (worker.clone(), 1..160_u64, silence).prop_map(|(worker, rounds, silence)| {
            WorldEvent::Silence { worker, rounds, silence }
        }),
        1 => (worker.clone(), 1..160_u64)
            .prop_map(|(agent, rounds)| WorldEvent::SuspendAgent { agent, rounds }),
        2 => (
            1..100_usize,
            0..60_u64,
            0..60_u64,
            proptest::option::of(worker),
            proptest::bool::weighted(0.3),
            any::<u64>(),
        )
            .prop_map(|(count, loss_percent, late_percent, cut_agent, store_down, seed)| {
                WorldEvent::Rounds {
                    count,
                    loss_percent,
                    late_percent,
                    cut_agent,
                    store_down,
                    seed,
                }
            }),
        6 => (1..60_usize).prop_map(rounds),
        3 => (180..260_usize).prop_map(rounds),
    ]
}

/// Schedules of full fleets whose VMs are lost and replaced, with calm at the end.
pub fn full_fleet_schedule() -> impl Strategy<Value = Vec<WorldEvent>> {
    let part = prop_oneof![
        12 => lone_event().prop_map(|event| vec![event]),
        4 => release(),
        4 => spot_removals(),
        3 => ignored_starts(),
        1 => failures(),
    ];
    let parts = proptest::collection::vec(part, 3..15);
    let start = prop_oneof![
        3 => excess_jobs(1).boxed(),
        1 => release_beside_loss().boxed(),
    ];
    (start, parts).prop_map(|(start, parts)| {
        let calm = vec![rounds(300)];
        [start, parts.concat(), calm].concat()
    })
}

/// A long-running job whose tasks fail while the store refuses its row for a while, and calm.
fn refused_row() -> impl Strategy<Value = Vec<WorldEvent>> {
    let failure = (0..VMS, 1..4_usize, 0..4_usize).prop_map(|(worker, count, gap)| {
        let failure = WorldEvent::FailLongRunning { worker, count };
        [failure, rounds(gap)]
    });
    let failures = proptest::collection::vec(failure, 1..=4);
    (serving_job(), failures, 1..120_usize, 80..160_usize).prop_map(
        |(job, failures, refused, gap)| {
            [
                vec![job, rounds(30), WorldEvent::RefuseRows { on: true }],
                failures.concat(),
                vec![
                    rounds(refused),
                    WorldEvent::RefuseRows { on: false },
                    rounds(gap),
                ],
            ]
            .concat()
        },
    )
}

/// Schedules in which the store refuses the rows of long-running jobs, with calm at the end.
pub fn refused_row_schedule() -> impl Strategy<Value = Vec<WorldEvent>> {
    let part = prop_oneof![
        4 => refused_row(),
        1 => lone_event().prop_map(|event| vec![event]),
        1 => failures(),
    ];
    proptest::collection::vec(part, 1..6).prop_map(|parts| {
        let calm = vec![rounds(300)];
        [parts.concat(), calm].concat()
    })
}
