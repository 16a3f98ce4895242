//! Measures the time of one placement for different numbers of workers.

use std::collections::BTreeMap;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use turmeric_learning::{InterferencePair, InterferenceRate, LoadLevel};
use turmeric_placement::{
    AgentSlot, NeedInterference, PlacementIndex, PlacementNeed, PlacementPolicy,
};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, MemorySize, ResourceSet, SplitMixRandom,
};

fn cores(count: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(count * 1000),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

/// Creates workers that are nearly full, as they are at peak load.
fn index_of(count: usize) -> PlacementIndex {
    let mut index = PlacementIndex::new();
    let mut random = SplitMixRandom::new(1);
    for number in 0..count {
        let agent: AgentId = format!("w{number}")
            .parse()
            .expect("the name is well formed");
        let slot = AgentSlot {
            zone: "morava-a".parse().expect("the name is well formed"),
            rack: "r1".to_owned(),
            capacity: cores(64),
            free: cores(random.next_below(9) as u64),
            evictable: ResourceSet::default(),
            service: Some("verdikt".parse().expect("the name is well formed")),
            request_slots: 8,
            outstanding: random.next_below(8) as u32,
            interference_permille: random.next_below(500) as u64,
            interference_budget_permille: Some(600),
            is_open: true,
        };
        index.insert(agent, slot);
    }
    index
}

/// Returns the need of a task whose interference with the service is known.
fn need() -> PlacementNeed {
    let pair = InterferencePair {
        service: "verdikt".parse().expect("the name is well formed"),
        level: LoadLevel::Light,
    };
    let interference = NeedInterference {
        known: BTreeMap::from([(pair, InterferenceRate::new(4000))]),
        assumed: InterferenceRate::assumed(cores(4).cores),
    };
    PlacementNeed::new(cores(4))
        .with_interference(interference)
        .with_interference_limit(1000)
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in [50, 150, 500, 1500] {
        for policy in [PlacementPolicy::BestFit, PlacementPolicy::LeastInterference] {
            let mut index = index_of(count);
            let mut random = SplitMixRandom::new(2);
            let need = need();
            let id = BenchmarkId::new(policy.to_string(), count);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    let chosen = index.choose(&need, policy, &mut random)?;
                    let free = index.get(&chosen)?.free;
                    index.set_free(&chosen, free.saturating_sub(&cores(4)));
                    index.set_free(&chosen, free);
                    Some(chosen)
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, place);
criterion_main!(benches);
