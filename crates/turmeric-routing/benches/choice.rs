//! Measures the time of one routing decision for different numbers of
//! endpoints.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use turmeric_routing::{RouteTable, RoutingPolicy};
use turmeric_types::{AgentId, MonoTime, SplitMixRandom, ZoneName};

fn table_of(count: usize) -> RouteTable {
    let zone: ZoneName = "morava-a".parse().expect("the name is well formed");
    let mut table = RouteTable::new(zone.clone());
    for number in 0..count {
        let agent: AgentId = format!("w{number}")
            .parse()
            .expect("the name is well formed");
        table.announce(agent, zone.clone(), 8, MonoTime::default());
    }
    table
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    let now = MonoTime::from_millis(5000);
    for count in [11, 150, 500, 1500] {
        for policy in [RoutingPolicy::PowerOfTwo, RoutingPolicy::ExpectedLatency] {
            let mut table = table_of(count);
            let mut random = SplitMixRandom::new(2);
            let id = BenchmarkId::new(policy.to_string(), count);
            group.bench_function(id, |bencher| {
                bencher.iter(|| table.choose(policy, &[], &mut random, now));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, route);
criterion_main!(benches);
