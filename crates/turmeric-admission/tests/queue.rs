//! The queue of an endpoint, simulated in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turmeric_admission::{QueueDecision, QueueEvent, QueueLimits, RequestQueue, TicketId};
use turmeric_types::{CallerName, MonoTime, SplitMixRandom};

const SERVICE: Duration = Duration::from_millis(10);

fn caller(name: &str) -> CallerName {
    name.parse().unwrap()
}

fn limits(slots: u32, waiting: usize) -> QueueLimits {
    QueueLimits { slots, waiting }
}

proptest! {
    #[test]
    fn slots_are_never_overfilled_and_no_request_is_lost(
        steps in proptest::collection::vec((0..3_usize, any::<bool>(), 1..50_u64), 1..300),
        slots in 1..9_u32,
    ) {
        let mut queue = RequestQueue::new(limits(slots, 16));
        let mut now = MonoTime::from_millis(0);
        let mut running = 0_u32;
        let mut waiting = 0_usize;
        for (number, (caller_number, is_arrival, pass)) in steps.into_iter().enumerate() {
            now = now.after(Duration::from_millis(pass));
            if is_arrival {
                let caller = caller(["a", "b", "c"][caller_number]);
                let deadline = now.after(Duration::from_millis(200));
                match queue.push(TicketId(number as u64), &caller, deadline, 0.5, now) {
                    QueueDecision::Run => running += 1,
                    QueueDecision::Wait => waiting += 1,
                    QueueDecision::Refused { .. } => {}
                }
            } else if running > 0 {
                running -= 1;
                for event in queue.finish(Some(10_000.0), 0.5, now) {
                    waiting -= 1;
                    if matches!(event, QueueEvent::Run(_)) {
                        running += 1;
                    }
                }
            }
            prop_assert!(running <= slots);
            prop_assert_eq!(queue.outstanding(), running as usize + waiting);
            prop_assert_eq!(queue.waiting(), waiting);
        }
    }
}

/// Counts and latencies of one caller's requests.
#[derive(Default)]
struct CallerTotals {
    sent: u64,
    served: u64,
    refused: u64,
    times: Vec<Duration>,
}

/// Simulates callers that send at constant rates to one endpoint with 8 slots
/// and a service time of 10 ms.
fn simulate(rates: &[(&str, u64)], seconds: u64) -> BTreeMap<String, CallerTotals> {
    let mut queue = RequestQueue::new(limits(8, 64));
    let mut random = SplitMixRandom::new(1);
    let mut totals: BTreeMap<String, CallerTotals> = BTreeMap::new();
    let mut arrived: BTreeMap<TicketId, (String, MonoTime)> = BTreeMap::new();
    let mut ends: Vec<(MonoTime, TicketId)> = Vec::new();
    let mut number = 0;
    for micros in (0..seconds * 1_000_000).step_by(100) {
        let now = MonoTime::from_micros(micros);
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (_, ticket) = ends.remove(0);
            let (name, since) = arrived.remove(&ticket).unwrap();
            let total = totals.get_mut(&name).unwrap();
            total.served += 1;
            total.times.push(now.since(since));
            for event in queue.finish(Some(10_000.0), random.next_unit(), now) {
                match event {
                    QueueEvent::Run(ticket) => ends.push((now.after(SERVICE), ticket)),
                    QueueEvent::Expired { ticket, .. } => {
                        let (name, _) = arrived.remove(&ticket).unwrap();
                        totals.get_mut(&name).unwrap().refused += 1;
                    }
                }
            }
        }
        for (name, rate) in rates {
            if random.next_unit() >= *rate as f64 / 10_000.0 {
                continue;
            }
            number += 1;
            let ticket = TicketId(number);
            let total = totals.entry((*name).to_owned()).or_default();
            total.sent += 1;
            let deadline = now.after(Duration::from_millis(250));
            let jitter = random.next_unit();
            match queue.push(ticket, &caller(name), deadline, jitter, now) {
                QueueDecision::Run => {
                    arrived.insert(ticket, ((*name).to_owned(), now));
                    ends.push((now.after(SERVICE), ticket));
                }
                QueueDecision::Wait => {
                    arrived.insert(ticket, ((*name).to_owned(), now));
                }
                QueueDecision::Refused { .. } => total.refused += 1,
            }
        }
    }
    totals
}

fn p99(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times[times.len() * 99 / 100]
}

#[test]
fn at_twice_the_capacity_goodput_stays_at_95_percent() {
    // 8 slots with a service time of 10 ms serve 800 requests per second.
    let mut totals = simulate(&[("a", 800), ("b", 800)], 20);
    let served: u64 = totals.values().map(|total| total.served).sum();
    assert!(served >= 800 * 20 * 95 / 100, "only {served} served");
    for (name, total) in &mut totals {
        let tail = p99(&mut total.times);
        assert!(tail <= Duration::from_millis(250), "{name}: {tail:?}");
        assert!(total.refused > 0);
    }
}

#[test]
fn burst_of_one_caller_hardly_affects_the_tail_latency_of_others() {
    let mut quiet = simulate(&[("desk", 100), ("partner", 300)], 10);
    let mut burst = simulate(&[("desk", 100), ("partner", 3000)], 10);
    let before = p99(&mut quiet.get_mut("desk").unwrap().times);
    let during = p99(&mut burst.get_mut("desk").unwrap().times);
    assert_eq!(burst["desk"].refused, 0);
    // A request may wait one turn behind the partner's requests in the slots.
    assert!(during <= before + 2 * SERVICE, "{before:?} then {during:?}");
}

#[test]
fn retry_after_grows_with_the_backlog() {
    let mut waits = Vec::new();
    for backlog in [16, 64, 256] {
        let mut queue = RequestQueue::new(limits(1, backlog));
        let now = MonoTime::from_millis(0);
        let far = now.after(Duration::from_secs(60));
        for number in 0..=backlog as u64 {
            queue.push(TicketId(number), &caller("a"), far, 0.0, now);
        }
        let decision = queue.push(TicketId(9999), &caller("a"), far, 0.0, now);
        let QueueDecision::Refused { retry_after } = decision else {
            panic!("{decision:?}");
        };
        waits.push(retry_after);
    }
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}
