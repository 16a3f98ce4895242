//! The budgets and deadlines of connections, with loads of many clients in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_admission::{
    CloseAction, CloseCause, ConnectionBudget, ConnectionBuffer, ConnectionId, ConnectionLedger,
    ConnectionPhase, ConnectionTimeouts, ConnectionVictim,
};
use turmeric_types::{MemorySize, MonoTime};

const TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Time within which a refused connection is closed.
const LINGER: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn ledger(bytes: u64, connections: usize) -> ConnectionLedger {
    ConnectionLedger::new(ConnectionBudget {
        memory: MemorySize::new(bytes),
        connections,
    })
}

/// Opens connection `number` and lets it receive a body of `bytes` bytes.
fn receive_body(
    ledger: &mut ConnectionLedger,
    number: u64,
    bytes: u64,
    now: MonoTime,
) -> Vec<ConnectionVictim> {
    let id = ConnectionId(number);
    let mut victims = ledger.open(id, TIMEOUTS, now);
    ledger.begin(id, ConnectionPhase::Body, TIMEOUTS, now);
    victims.extend(charge_body(ledger, number, bytes, now));
    victims
}

fn charge_body(
    ledger: &mut ConnectionLedger,
    number: u64,
    bytes: u64,
    now: MonoTime,
) -> Vec<ConnectionVictim> {
    ledger.charge(
        ConnectionId(number),
        ConnectionBuffer::Body,
        MemorySize::new(bytes),
        now.after(LINGER),
    )
}

fn numbers(victims: &[ConnectionVictim]) -> Vec<u64> {
    victims.iter().map(|victim| victim.connection.0).collect()
}

/// A process must leave descriptors and memory for its own work, and serve callers also where
/// its limits are small or missing.
#[rstest]
#[case(Some(160 << 20), Some(4096), 40 << 20, 3584)]
#[case(Some(1 << 20), Some(100), 1 << 20, 64)]
#[case(None, None, 64 << 20, 3584)]
fn budget_is_derived_from_the_limits_of_the_process(
    #[case] memory: Option<u64>,
    #[case] descriptors: Option<u64>,
    #[case] bytes: u64,
    #[case] connections: usize,
) {
    let budget = ConnectionBudget::new(memory.map(MemorySize::new), descriptors);
    assert_eq!(budget.memory, MemorySize::new(bytes));
    assert_eq!(budget.connections, connections);
}

/// Bodies that stop short of their end must not fill the memory, and must not keep an ordinary
/// caller from being served.
#[rstest]
#[case(1_500)]
#[case(3_500)]
fn bodies_that_stop_short_leave_room_for_a_caller(#[case] count: u64) {
    let budget = 40 << 20;
    let mut ledger = ledger(budget, 3_584);
    for number in 0..count {
        let now = at(number);
        receive_body(&mut ledger, number, 128 << 10, now);
        let victims = charge_body(&mut ledger, number, 256 << 10, now);
        assert!(!numbers(&victims).contains(&number));
        assert!(ledger.memory().as_bytes() <= budget);
    }
    let victims = receive_body(&mut ledger, count, 4 << 10, at(count));
    assert_eq!(victims.len(), 1);
    assert_eq!(victims[0].action, CloseAction::Refuse);
    assert_eq!(victims[0].cause, Some(CloseCause::ByteBudget));
    assert_ne!(victims[0].connection.0, count);
    let phase = ledger.phase(ConnectionId(count));
    assert_eq!(phase, Some(ConnectionPhase::Body));
}

/// A new caller must be able to connect while idle connections use up the limit, and the
/// connection that is closed must be the one that is idle for longest.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let mut ledger = ledger(1 << 20, 3);
    receive_body(&mut ledger, 0, 100, at(0));
    ledger.open(ConnectionId(1), TIMEOUTS, at(10));
    ledger.open(ConnectionId(2), TIMEOUTS, at(5));
    let victims = ledger.open(ConnectionId(3), TIMEOUTS, at(20));
    assert_eq!(numbers(&victims), [2]);
    assert_eq!(victims[0].action, CloseAction::Close);
    assert_eq!(victims[0].cause, Some(CloseCause::ConnectionLimit));
    assert_eq!(ledger.connections(), 3);
}

/// A body over a slow link must not be evicted before one that sends nothing; among those with
/// equal silence the larger one frees more memory.
#[test]
fn silent_connections_are_evicted_before_slow_ones_and_large_before_small_ones() {
    let mut ledger = ledger(1000, 10);
    receive_body(&mut ledger, 0, 400, at(0));
    receive_body(&mut ledger, 1, 100, at(1));
    receive_body(&mut ledger, 2, 300, at(1));
    ledger.record_progress(ConnectionId(0), at(2));
    assert_eq!(numbers(&receive_body(&mut ledger, 3, 201, at(3))), [2]);
    assert_eq!(numbers(&receive_body(&mut ledger, 4, 300, at(4))), [1]);
    assert_eq!(numbers(&receive_body(&mut ledger, 5, 400, at(5))), [0]);
}

/// An idle connection that holds a read buffer is worth less than a body in progress.
#[test]
fn idle_buffers_are_evicted_before_bodies() {
    let mut ledger = ledger(1000, 10);
    receive_body(&mut ledger, 0, 600, at(0));
    let idle = ConnectionId(1);
    ledger.open(idle, TIMEOUTS, at(1));
    ledger.open(ConnectionId(2), TIMEOUTS, at(0));
    ledger.charge(idle, ConnectionBuffer::Read, MemorySize::new(300), at(1000));
    assert_eq!(numbers(&receive_body(&mut ledger, 3, 200, at(2))), [1]);
    // Closing a connection without a buffer would free nothing.
    let phase = ledger.phase(ConnectionId(2));
    assert_eq!(phase, Some(ConnectionPhase::Idle));
}

/// A job that may be stored already must not be refused, so the request that needs the memory
/// is.
#[test]
fn connection_that_is_served_is_never_selected() {
    let mut ledger = ledger(1000, 2);
    receive_body(&mut ledger, 0, 900, at(0));
    ledger.begin(ConnectionId(0), ConnectionPhase::Serving, TIMEOUTS, at(1));
    let victims = receive_body(&mut ledger, 1, 200, at(2));
    assert_eq!(numbers(&victims), [1]);
    assert_eq!(victims[0].action, CloseAction::Refuse);
    ledger.begin(ConnectionId(1), ConnectionPhase::Serving, TIMEOUTS, at(3));
    ledger.close(ConnectionId(1));
    receive_body(&mut ledger, 2, 50, at(4));
    ledger.begin(ConnectionId(2), ConnectionPhase::Serving, TIMEOUTS, at(4));
    assert_eq!(numbers(&ledger.open(ConnectionId(3), TIMEOUTS, at(5))), [3]);
    assert!(ledger.take_overdue(at(1_000_000), at(1_000_000)).is_empty());
}

/// Endless heads and empty lines must end although they make progress; a body over a slow link
/// must not.
#[test]
fn progress_extends_the_deadline_of_a_body_but_not_of_a_head() {
    let mut ledger = ledger(1000, 10);
    let (head, body) = (ConnectionId(0), ConnectionId(1));
    ledger.open(head, TIMEOUTS, at(0));
    ledger.begin(head, ConnectionPhase::Head, TIMEOUTS, at(0));
    receive_body(&mut ledger, 1, 100, at(0));
    for second in 1..=60 {
        let now = at(second * 1000);
        ledger.record_progress(head, now);
        ledger.record_progress(body, now);
        let overdue = ledger.take_overdue(now, now.after(LINGER));
        let expected: &[u64] = if second == 3 { &[0] } else { &[] };
        assert_eq!(numbers(&overdue), expected);
    }
    let overdue = ledger.take_overdue(at(75_000), at(76_000));
    assert_eq!(overdue[0].cause, Some(CloseCause::BodyStalled));
    assert_eq!(overdue[0].action, CloseAction::Refuse);
    assert_eq!(ledger.memory(), MemorySize::new(0));
    // A client that never reads the refusal must not keep the connection open.
    assert!(ledger.take_overdue(at(75_999), at(76_999)).is_empty());
    let closed = ledger.take_overdue(at(76_000), at(77_000));
    assert_eq!(closed[0].action, CloseAction::Close);
    assert_eq!(closed[0].cause, None);
    assert_eq!(ledger.connections(), 0);
}

/// A client that is idle for less than the timeout must not lose its connection, whatever the
/// time to receive a head.
#[test]
fn idle_connection_is_closed_after_the_idle_timeout() {
    let mut ledger = ledger(1000, 10);
    ledger.open(ConnectionId(0), TIMEOUTS, at(0));
    assert!(ledger.take_overdue(at(14_999), at(15_999)).is_empty());
    let overdue = ledger.take_overdue(at(15_000), at(16_000));
    assert_eq!(overdue[0].cause, Some(CloseCause::IdleTimeout));
}

/// A refused connection must not get more time by a second refusal or by starting a phase.
#[test]
fn refused_connection_keeps_its_first_deadline() {
    let mut ledger = ledger(1000, 10);
    receive_body(&mut ledger, 0, 100, at(0));
    ledger.refuse(ConnectionId(0), at(1000));
    ledger.refuse(ConnectionId(0), at(2000));
    ledger.begin(ConnectionId(0), ConnectionPhase::Serving, TIMEOUTS, at(500));
    assert_eq!(numbers(&ledger.take_overdue(at(1000), at(2000))), [0]);
}

proptest! {
    /// The budgets hold after any sequence of events unless only served connections are left,
    /// which are never selected; the charged memory never drifts from that of the connections.
    #[test]
    fn budgets_hold_after_any_sequence(
        events in proptest::collection::vec((0..6_u8, 0..12_u64, 0..400_u64), 1..300),
    ) {
        let mut ledger = ledger(1000, 5);
        let mut now = at(0);
        for (kind, number, amount) in events {
            now = now.after(Duration::from_millis(amount));
            let id = ConnectionId(number);
            let before: Vec<_> = (0..12).map(|it| ledger.phase(ConnectionId(it))).collect();
            let victims = match kind {
                0 if ledger.phase(id).is_none() => ledger.open(id, TIMEOUTS, now),
                1 => {
                    ledger.begin(id, ConnectionPhase::Body, TIMEOUTS, now);
                    charge_body(&mut ledger, number, amount, now)
                }
                2 => {
                    ledger.begin(id, ConnectionPhase::Serving, TIMEOUTS, now);
                    Vec::new()
                }
                3 => ledger.take_overdue(now, now.after(LINGER)),
                4 => {
                    ledger.begin(id, ConnectionPhase::Head, TIMEOUTS, now);
                    let size = MemorySize::new(amount);
                    ledger.charge(id, ConnectionBuffer::Read, size, now.after(LINGER))
                }
                _ => {
                    ledger.close(id);
                    Vec::new()
                }
            };
            for victim in victims {
                let phase = before[victim.connection.0 as usize];
                prop_assert_ne!(phase.filter(|_| victim.connection != id), Some(ConnectionPhase::Serving));
            }
            prop_assert!(ledger.memory().as_bytes() <= 1000);
            prop_assert!(ledger.connections() <= 5);
        }
        for number in 0..12 {
            ledger.close(ConnectionId(number));
        }
        prop_assert_eq!(ledger.memory(), MemorySize::new(0));
        prop_assert_eq!(ledger.connections(), 0);
    }
}
