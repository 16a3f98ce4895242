//! The choice of workers, and of the tasks to evict.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_learning::{InterferencePair, InterferenceRate, LoadLevel};
use turmeric_placement::{
    AgentSlot, EvictionCandidate, EvictionPolicy, NeedInterference, PlacementIndex, PlacementNeed,
    PlacementPolicy, choose_victims,
};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, JobId, MemorySize, ResourceSet, SplitMixRandom,
    TaskClass, TaskId,
};

const POLICIES: [PlacementPolicy; 4] = [
    PlacementPolicy::FirstFit,
    PlacementPolicy::BestFit,
    PlacementPolicy::Random,
    PlacementPolicy::LeastInterference,
];

fn cores(count: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(count * 1000),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

fn need_of(count: u64) -> PlacementNeed {
    PlacementNeed::new(cores(count))
}

/// Returns the need of a task that slows every service as much as the share of
/// the VM that it takes.
fn interfering(count: u64) -> PlacementNeed {
    let interference = NeedInterference {
        known: BTreeMap::new(),
        assumed: InterferenceRate::assumed(cores(count).cores),
    };
    need_of(count).with_interference(interference)
}

fn agent(number: usize) -> AgentId {
    format!("w{number:04}").parse().unwrap()
}

fn slot(free: u64, outstanding: u32) -> AgentSlot {
    AgentSlot {
        zone: "morava-a".parse().unwrap(),
        rack: "r1".to_owned(),
        capacity: cores(64),
        free: cores(free),
        evictable: ResourceSet::default(),
        service: Some("verdikt".parse().unwrap()),
        request_slots: 8,
        outstanding,
        interference_permille: 0,
        interference_budget_permille: None,
        is_open: true,
    }
}

proptest! {
    #[test]
    fn every_policy_chooses_a_worker_exactly_if_one_fits(
        free in proptest::collection::vec(0..65_u64, 1..100),
        need in 1..65_u64,
        seed in any::<u64>(),
    ) {
        let has_fit = free.iter().any(|free| *free >= need);
        for policy in POLICIES {
            let mut index = PlacementIndex::new();
            for (number, free) in free.iter().enumerate() {
                index.insert(agent(number), slot(*free, 0));
            }
            let chosen = index.choose(&need_of(need), policy, &mut SplitMixRandom::new(seed));
            prop_assert_eq!(chosen.is_some(), has_fit, "{}", policy);
            if let Some(chosen) = chosen {
                prop_assert!(cores(need).fits_in(&index.get(&chosen).unwrap().free));
            }
        }
    }

    #[test]
    fn every_victim_is_needed(
        running in proptest::collection::vec((1..9_u64, 500..9000_u64, 0..3_u32), 1..12),
        need in 1..32_u64,
        free in 0..4_u64,
    ) {
        let running: Vec<EvictionCandidate> = running
            .into_iter()
            .enumerate()
            .map(|(number, (count, millis, evictions))| {
                candidate(number as u128, count, millis, evictions)
            })
            .collect();
        for policy in [EvictionPolicy::LeastWorkLost, EvictionPolicy::LargestFirst] {
            let class = TaskClass::Urgent;
            let victims = choose_victims(&cores(need), class, &cores(free), &running, policy);
            let count = |task: &TaskId| {
                let found = running.iter().find(|candidate| candidate.task == *task);
                found.unwrap().resources.cores.as_millicores() / 1000
            };
            let Some(victims) = victims else {
                continue;
            };
            let available = free + victims.iter().map(count).sum::<u64>();
            prop_assert!(available >= need);
            for task in &victims {
                prop_assert!(available - count(task) < need, "{} is not needed", task);
            }
        }
    }

    #[test]
    fn freed_resources_are_found_again(steps in proptest::collection::vec((0..8_usize, 0..17_u64), 1..100)) {
        let mut index = PlacementIndex::new();
        let mut random = SplitMixRandom::new(1);
        for number in 0..8 {
            index.insert(agent(number), slot(0, 0));
        }
        for (number, free) in steps {
            index.set_free(&agent(number), cores(free));
            let has_fit = index.iter().any(|(_, slot)| cores(8).fits_in(&slot.free));
            let chosen = index.choose(&need_of(8), PlacementPolicy::BestFit, &mut random);
            prop_assert_eq!(chosen.is_some(), has_fit);
        }
    }
}

#[test]
fn least_interference_avoids_busy_services() {
    let mut index = PlacementIndex::new();
    for number in 0..11 {
        let outstanding = if number < 8 { 7 } else { 0 };
        index.insert(agent(number), slot(64, outstanding));
    }
    let mut random = SplitMixRandom::new(3);
    for _ in 0..50 {
        let policy = PlacementPolicy::LeastInterference;
        let chosen = index.choose(&interfering(8), policy, &mut random).unwrap();
        assert!(chosen >= agent(8), "{chosen} serves many requests");
    }
}

#[test]
fn task_waits_when_no_service_tolerates_it() {
    let mut index = PlacementIndex::new();
    for number in 0..11 {
        let mut slot = slot(64, 4);
        slot.interference_permille = 400;
        index.insert(agent(number), slot);
    }
    let policy = PlacementPolicy::LeastInterference;
    let mut random = SplitMixRandom::new(3);
    // 8 of 64 cores slow the service by 125 thousandths more.
    let need = interfering(8).with_interference_limit(500);
    assert_eq!(index.choose(&need, policy, &mut random), None);
    let without_interference = need.clone().with_interference(NeedInterference::default());
    assert!(
        index
            .choose(&without_interference, policy, &mut random)
            .is_some()
    );
    index.set_interference(&agent(3), 300);
    let chosen = (0..20).find_map(|_| index.choose(&need, policy, &mut random));
    assert_eq!(chosen, Some(agent(3)));
}

#[test]
fn learned_rate_of_the_service_and_load_level_is_used() {
    let pair = |level| InterferencePair {
        service: "verdikt".parse().unwrap(),
        level,
    };
    let interference = NeedInterference {
        known: BTreeMap::from([
            (pair(LoadLevel::Light), InterferenceRate::new(1000)),
            (pair(LoadLevel::Heavy), InterferenceRate::new(9000)),
        ]),
        assumed: InterferenceRate::new(5000),
    };
    let need = need_of(1).with_interference(interference);
    assert_eq!(
        need.interference_on(&slot(64, 3)),
        InterferenceRate::new(1000)
    );
    assert_eq!(
        need.interference_on(&slot(64, 4)),
        InterferenceRate::new(9000)
    );
    let other = AgentSlot {
        service: Some("tent-desk".parse().unwrap()),
        ..slot(64, 4)
    };
    assert_eq!(need.interference_on(&other), InterferenceRate::new(5000));
    let empty = AgentSlot {
        service: None,
        ..slot(64, 0)
    };
    assert_eq!(need.interference_on(&empty), InterferenceRate::new(0));
}

#[test]
fn eviction_chooses_the_worker_with_the_most_free_processors() {
    let mut index = PlacementIndex::new();
    for number in 0..11 {
        let mut slot = slot(number as u64 % 8, 0);
        slot.evictable = cores(16);
        index.insert(agent(number), slot);
    }
    let mut random = SplitMixRandom::new(5);
    let mut best = 0;
    for _ in 0..50 {
        let chosen = index.choose_with_eviction(&need_of(12), &mut random);
        best += usize::from(chosen == Some(agent(7)));
    }
    assert!(
        best >= 45,
        "the worker with the most free cores, 7, was chosen {best} times"
    );
}

fn candidate(number: u128, count: u64, run_millis: u64, evictions: u32) -> EvictionCandidate {
    EvictionCandidate {
        task: TaskId::new(JobId::new(number), 0),
        class: TaskClass::Batch,
        resources: cores(count),
        lost_millis: run_millis,
        run_millis,
        evictions,
    }
}

#[rstest]
#[case(EvictionPolicy::LeastWorkLost, 2)]
#[case(EvictionPolicy::NewestFirst, 2)]
#[case(EvictionPolicy::LargestFirst, 1)]
fn each_policy_chooses_its_first_victim(#[case] policy: EvictionPolicy, #[case] first: u128) {
    let running = [
        candidate(1, 16, 9000, 0),
        candidate(2, 8, 1000, 0),
        candidate(3, 8, 5000, 0),
    ];
    let victims = choose_victims(&cores(4), TaskClass::Urgent, &cores(0), &running, policy);
    assert_eq!(victims.unwrap()[0], TaskId::new(JobId::new(first), 0));
}

#[rstest]
#[case(EvictionPolicy::LeastWorkLost)]
#[case(EvictionPolicy::NewestFirst)]
#[case(EvictionPolicy::LargestFirst)]
fn no_task_is_evicted_without_need(#[case] policy: EvictionPolicy) {
    let running = [
        candidate(1, 2, 1000, 0),
        candidate(2, 2, 2000, 0),
        candidate(3, 8, 9000, 0),
    ];
    let victims = choose_victims(&cores(8), TaskClass::Urgent, &cores(0), &running, policy);
    let needed = vec![TaskId::new(JobId::new(3), 0)];
    assert_eq!(
        victims,
        Some(needed),
        "evicting the last task alone is enough"
    );
}

#[test]
fn often_evicted_or_just_started_task_is_not_evicted() {
    let running = [candidate(1, 8, 9000, 3), candidate(2, 8, 100, 0)];
    let policy = EvictionPolicy::LeastWorkLost;
    let victims = choose_victims(&cores(4), TaskClass::Urgent, &cores(0), &running, policy);
    assert_eq!(
        victims, None,
        "one task was evicted often, the other has just started"
    );
}

#[test]
fn batch_work_evicts_nothing() {
    let running = [candidate(1, 8, 9000, 0)];
    let policy = EvictionPolicy::LeastWorkLost;
    let victims = choose_victims(&cores(4), TaskClass::Batch, &cores(0), &running, policy);
    assert_eq!(victims, None);
}
