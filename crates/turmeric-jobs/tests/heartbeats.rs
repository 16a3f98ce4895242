//! Heartbeats of which some are odd, late or of another incarnation.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use rstest::rstest;
use turmeric_jobs::{
    AttemptKey, AttemptNumber, AttemptTable, EndpointIncarnation, EndpointInfo, HeartbeatVerdict,
    write_key,
};
use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet};

fn info(endpoint: &str, started_at_millis: u64) -> EndpointInfo {
    EndpointInfo {
        incarnation: EndpointIncarnation {
            endpoint: endpoint.to_owned(),
            started_at_millis,
        },
        service: "scan".to_owned(),
        is_draining: false,
        capacity: capacity(4),
        labels: vec!["a".to_owned()],
    }
}

fn capacity(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

/// Returns the table of an agent whose worker has confirmed incarnation 1000.
fn synced_table() -> AttemptTable {
    let mut table = AttemptTable::new();
    let verdict = table.handle_heartbeat(info("i-1", 1000), 1);
    assert_eq!(verdict, HeartbeatVerdict::Registered);
    assert!(!table.confirm_incarnation(table.list_mark(), 1000));
    table.set_synced();
    table
}

fn incarnation(table: &AttemptTable) -> String {
    table.incarnation().map(ToString::to_string).unwrap()
}

/// One heartbeat with a start in the future hid the endpoint for good: all later ones counted as
/// older. One with another identifier did the same.
#[rstest]
#[case(info("i-1", 1 << 50))]
#[case(info("i-odd", 2000))]
#[case(info("i-1", 999))]
fn odd_incarnation_hides_no_endpoint_that_its_worker_confirms(#[case] odd: EndpointInfo) {
    let mut table = synced_table();
    let verdict = table.handle_heartbeat(odd, 1);
    assert_eq!(verdict, HeartbeatVerdict::Unconfirmed { is_first: true });
    assert_eq!(incarnation(&table), "i-1@1000");
    assert!(table.is_synced());
    assert!(!table.confirm_incarnation(table.list_mark(), 1000));
    let mut grown = info("i-1", 1000);
    grown.capacity = capacity(8);
    assert_eq!(table.handle_heartbeat(grown, 2), HeartbeatVerdict::Applied);
    assert_eq!(table.endpoint_info().unwrap().capacity, capacity(8));
}

/// The wall clock of a VM may be set back, so the start of a new incarnation may be earlier.
#[rstest]
#[case(2000)]
#[case(500)]
fn restart_is_followed_whatever_its_start(#[case] start: u64) {
    let mut table = synced_table();
    let mut next = info("i-1", start);
    next.capacity = capacity(2);
    table.handle_heartbeat(next, 1);
    assert!(table.confirm_incarnation(table.list_mark(), start));
    assert_eq!(incarnation(&table), format!("i-1@{start}"));
    assert!(!table.is_synced());
    assert_eq!(table.endpoint_info().unwrap().capacity, capacity(2));
    // A heartbeat of the earlier incarnation is late.
    table.handle_heartbeat(info("i-1", 1000), 90);
    assert!(!table.confirm_incarnation(table.list_mark(), start));
    assert_eq!(incarnation(&table), format!("i-1@{start}"));
}

/// The worker may state its incarnation before its first heartbeat arrives.
#[test]
fn incarnation_that_only_the_worker_states_has_no_capacity_yet() {
    let mut table = synced_table();
    table.handle_heartbeat(info("i-1", 1 << 50), 1);
    assert!(table.confirm_incarnation(table.list_mark(), 500));
    assert_eq!(incarnation(&table), "i-1@500");
    let found = table.endpoint_info().unwrap();
    assert_eq!(found.capacity, ResourceSet::default());
    let verdict = table.handle_heartbeat(info("i-1", 500), 40);
    assert_eq!(verdict, HeartbeatVerdict::Applied);
    assert_eq!(table.endpoint_info().unwrap().capacity, capacity(4));
}

/// A list of the earlier incarnation may arrive after a heartbeat of the next one.
#[test]
fn answer_to_an_earlier_call_refutes_no_heartbeat() {
    let mut table = synced_table();
    let mark = table.list_mark();
    table.handle_heartbeat(info("i-1", 2000), 1);
    assert!(!table.confirm_incarnation(mark, 1000));
    let verdict = table.handle_heartbeat(info("i-1", 2000), 2);
    assert_eq!(verdict, HeartbeatVerdict::Unconfirmed { is_first: false });
    assert!(table.confirm_incarnation(table.list_mark(), 2000));
    assert_eq!(table.endpoint_info().unwrap().capacity, capacity(4));
}

/// Only a worker that rejects calls for the known endpoint hands its address to another.
#[test]
fn another_endpoint_is_followed_once_the_worker_refutes_the_known_one() {
    let mut table = synced_table();
    assert!(!table.refute_endpoint());
    assert_eq!(incarnation(&table), "i-1@1000");
    // Another identifier of the same endpoint cannot be what the worker means.
    table.handle_heartbeat(info("i-1", 3000), 1);
    assert!(!table.refute_endpoint());
    table.handle_heartbeat(info("i-odd", 3000), 1);
    assert!(table.refute_endpoint());
    assert_eq!(incarnation(&table), "i-odd@3000");
    // The worker refutes the odd one likewise, and the real one is found.
    table.handle_heartbeat(info("i-2", 2500), 7);
    assert!(table.refute_endpoint());
    assert_eq!(incarnation(&table), "i-2@2500");
}

/// A first heartbeat may be odd. It must not hide the later ones.
#[rstest]
#[case(info("i-1", 1 << 50))]
#[case(info("i-1", 1))]
fn odd_first_heartbeat_is_corrected_by_the_worker(#[case] odd: EndpointInfo) {
    let mut table = AttemptTable::new();
    table.handle_heartbeat(odd, 1);
    table.handle_heartbeat(info("i-1", 1000), 5);
    assert!(table.confirm_incarnation(table.list_mark(), 1000));
    assert_eq!(table.endpoint_info(), Some(&info("i-1", 1000)));
}

/// A heartbeat without a start comes from another writer if the known one states its start.
#[test]
fn heartbeat_without_a_start_replaces_no_incarnation() {
    let mut table = synced_table();
    let verdict = table.handle_heartbeat(info("i-1", 0), 2);
    assert!(matches!(verdict, HeartbeatVerdict::Odd { .. }));
}

/// One heartbeat with a huge number hid all later ones, such as one that announces an end.
#[test]
fn huge_number_hides_no_later_heartbeat() {
    let mut table = synced_table();
    let verdict = table.handle_heartbeat(info("i-1", 1000), 1 << 50);
    assert!(matches!(verdict, HeartbeatVerdict::Odd { .. }));
    let mut draining = info("i-1", 1000);
    draining.is_draining = true;
    assert_eq!(
        table.handle_heartbeat(draining, 2),
        HeartbeatVerdict::Applied
    );
    assert!(table.endpoint_info().unwrap().is_draining);
    // Neither a late nor an odd heartbeat takes the announcement back.
    for number in [1, 1 << 50, 3] {
        table.handle_heartbeat(info("i-1", 1000), number);
        assert!(table.endpoint_info().unwrap().is_draining);
    }
}

/// An agent that has just started takes the first number, whatever it is.
#[test]
fn huge_first_number_hides_two_heartbeats_at_most() {
    let mut table = AttemptTable::new();
    let mut odd = info("i-1", 1000);
    odd.is_draining = true;
    table.handle_heartbeat(odd, 1 << 50);
    table.handle_heartbeat(info("i-1", 1000), 5);
    table.handle_heartbeat(info("i-1", 1000), 6);
    assert_eq!(table.endpoint_info(), Some(&info("i-1", 1000)));
    // The odd writer does not take over either.
    let verdict = table.handle_heartbeat(info("i-1", 1000), (1 << 50) + 1);
    assert!(matches!(verdict, HeartbeatVerdict::Odd { .. }));
    assert_eq!(
        table.handle_heartbeat(info("i-1", 1000), 7),
        HeartbeatVerdict::Applied
    );
}

/// A service that no queue names would take the VM away from its queue.
#[test]
fn service_of_an_incarnation_does_not_change() {
    let mut table = synced_table();
    let mut odd = info("i-1", 1000);
    odd.service = "another".to_owned();
    let verdict = table.handle_heartbeat(odd, 2);
    assert!(matches!(verdict, HeartbeatVerdict::Odd { .. }));
    assert_eq!(table.endpoint_info().unwrap().service, "scan");
    assert_eq!(
        table.handle_heartbeat(info("i-1", 1000), 2),
        HeartbeatVerdict::Applied
    );
}

/// An odd service in the first heartbeat must not hide the real one.
#[test]
fn odd_first_service_is_replaced_by_two_heartbeats() {
    let mut table = AttemptTable::new();
    let mut odd = info("i-1", 1000);
    odd.service = "another".to_owned();
    table.handle_heartbeat(odd, 3);
    table.handle_heartbeat(info("i-1", 1000), 4);
    table.handle_heartbeat(info("i-1", 1000), 5);
    assert_eq!(table.endpoint_info().unwrap().service, "scan");
}

/// The leader learns of a crash from the report of the next incarnation.
#[test]
fn unconfirmed_incarnation_hides_no_crash() {
    let mut table = synced_table();
    table.handle_heartbeat(info("i-odd", 3000), 1);
    assert!(table.refute_endpoint());
    table.handle_heartbeat(info("i-2", 2500), 7);
    assert!(table.refute_endpoint());
    let report = table.report("a", "morava-a", Default::default());
    assert_eq!(report.crash.unwrap().incarnation.to_string(), "i-1@1000");
}

fn odd_heartbeat() -> impl Strategy<Value = (EndpointInfo, u64)> {
    let endpoint = prop_oneof![Just("i-1"), Just("i-odd"), Just("")];
    let start = prop_oneof![Just(1000), Just(0), any::<u64>()];
    let number = prop_oneof![Just(0), Just(u64::MAX), any::<u64>()];
    (endpoint, start, number, any::<bool>()).prop_map(|(endpoint, start, number, is_draining)| {
        let mut odd = info(endpoint, start);
        odd.is_draining = is_draining;
        odd.capacity = capacity(99);
        // Another writer that guesses the next numbers cannot be told from the endpoint.
        (odd, if number < 1_000_000 { u64::MAX } else { number })
    })
}

proptest! {
    /// Whatever one other writer sends between the heartbeats, the endpoint is followed.
    #[test]
    fn good_heartbeats_hold_between_odd_ones(
        odd in prop::collection::vec(prop::option::weighted(0.5, odd_heartbeat()), 1..40),
    ) {
        let mut table = AttemptTable::new();
        for (number, odd) in (1..).zip(odd) {
            if let Some((odd, odd_number)) = odd {
                table.handle_heartbeat(odd, odd_number);
            }
            table.handle_heartbeat(info("i-1", 1000), number);
            let is_known = table.incarnation().is_some_and(|known| known.endpoint == "i-1");
            if is_known {
                table.confirm_incarnation(table.list_mark(), 1000);
            } else {
                table.refute_endpoint();
            }
        }
        for number in 41..44 {
            table.handle_heartbeat(info("i-1", 1000), number);
            table.confirm_incarnation(table.list_mark(), 1000);
        }
        prop_assert_eq!(incarnation(&table), "i-1@1000");
        let found = table.endpoint_info().unwrap();
        prop_assert_eq!(found.capacity, capacity(4));
    }
}

/// Guards against two runs of one task: a worker that has restarted and does not answer yet may
/// carry out a start for its earlier incarnation, by a clock that began anew.
#[test]
fn nothing_is_started_at_a_worker_that_may_have_restarted() {
    let mut table = synced_table();
    let key = AttemptKey {
        task: "0000000000000001.0.0.0".parse().unwrap(),
        attempt: AttemptNumber::new(1),
    };
    let orders = v1::VmOrders {
        stamp_millis: 1000,
        endpoint: "i-1".to_owned(),
        born: 1000,
        keep: vec![write_key(&key)],
        starts: vec![v1::StartOrder {
            key: Some(write_key(&key)),
            ..v1::StartOrder::default()
        }],
        ..v1::VmOrders::default()
    };
    let now = MonoTime::from_millis(1000);
    assert!(table.apply_orders(&orders, now).unwrap());
    table.handle_heartbeat(info("i-1", 2000), 1);
    assert_eq!(table.take_commands(now), vec![]);
    // The worker answers, and the heartbeat turns out to be odd.
    assert!(!table.confirm_incarnation(table.list_mark(), 1000));
    assert_eq!(table.take_commands(now).len(), 1);
}

/// Guards against a capacity that is never corrected: the first heartbeat that an agent receives
/// is an odd one, a few thousand ahead of the endpoint's own.
#[rstest]
#[case(50)]
#[case(5000)]
fn first_heartbeat_ahead_of_the_others_hides_two_at_most(#[case] ahead: u64) {
    let mut table = AttemptTable::new();
    table.handle_heartbeat(info("i-1", 1000), 1 + ahead);
    let mut shrunk = info("i-1", 1000);
    shrunk.capacity = capacity(1);
    table.handle_heartbeat(shrunk.clone(), 2);
    table.handle_heartbeat(shrunk, 3);
    assert_eq!(table.endpoint_info().unwrap().capacity, capacity(1));
}
