//! Sessions of an agent in which replies are lost or polls are reordered.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod entry;

use entry::{append, context, full_poll, poll, scheduler, scheduler_with_task};
use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_types::{AgentId, JobId, MonoTime, PartitionId, SettingsVersion};

#[test]
fn settings_update_is_sent_until_the_agent_has_applied_it() {
    let mut scheduler = scheduler();
    let agent: AgentId = "w1.00000001".parse().unwrap();
    scheduler.receive_poll(&poll(1, 0), context(0)).unwrap();
    let update = v1::SettingsUpdate {
        version: 3,
        values: Vec::new(),
    };
    scheduler.offer_settings(&agent, update);
    let lost = scheduler.reply(&agent, MonoTime::from_millis(1)).unwrap();
    assert_eq!(lost.settings.unwrap().version, 3);
    // The reply was lost: the agent polls with its earlier settings version.
    scheduler.receive_poll(&poll(2, 0), context(10)).unwrap();
    let again = scheduler.reply(&agent, MonoTime::from_millis(11)).unwrap();
    assert_eq!(again.settings.unwrap().version, 3);
    scheduler.receive_poll(&poll(3, 3), context(20)).unwrap();
    let reply = scheduler
        .reply(&agent, MonoTime::from_millis(5000))
        .unwrap();
    assert_eq!(reply.settings, None);
}

#[test]
fn poll_overtaken_by_a_later_one_returns_no_task() {
    let (mut scheduler, partition, agent) = scheduler_with_task();
    scheduler
        .receive_poll(&full_poll(1, 0), context(10))
        .unwrap();
    scheduler.set_agent_open(&agent, true);
    scheduler.place_waiting();
    append(&mut scheduler, partition);
    let reply = scheduler.reply(&agent, MonoTime::from_millis(20)).unwrap();
    let order = reply.orders.last().unwrap().clone();
    // The second poll was sent before the reply and does not list the task; the
    // third one lists it and arrives first.
    let mut third = full_poll(3, order.number);
    third.announcement.as_mut().unwrap().running = vec![v1::RunningTask {
        task: order.task.clone(),
        attempt: order.attempt,
        partition: order.partition,
    }];
    scheduler.receive_poll(&third, context(30)).unwrap();
    let second = scheduler.receive_poll(&full_poll(2, 0), context(31));
    assert_eq!(scheduler.next_append(partition), None, "nothing to write");
    assert_eq!(second, Ok(None), "the overtaken poll gets no reply");
}

/// Guards against two runs of one task: the agent starts what it was ordered to start with the
/// next confirmation, so that must not arrive before all cancellations.
#[test]
fn reply_without_all_orders_confirms_nothing() {
    let (mut scheduler, _, agent) = scheduler_with_task();
    let mut full = full_poll(1, 0);
    full.announcement.as_mut().unwrap().running = (0..300)
        .map(|index| v1::RunningTask {
            task: Some(v1::TaskRef {
                job: JobId::new(2).as_bytes().to_vec(),
                index,
            }),
            attempt: 1,
            partition: u32::from(PartitionId::of_team(&"leather".parse().unwrap()).get()),
        })
        .collect();
    scheduler.receive_poll(&full, context(10)).unwrap();
    let first = scheduler.reply(&agent, MonoTime::from_millis(20)).unwrap();
    assert!(first.orders.len() < 300);
    assert_eq!(first.confirmation, None);
    let number = first.orders.last().unwrap().number;
    scheduler
        .receive_poll(&full_poll(2, number), context(30))
        .unwrap();
    let second = scheduler.reply(&agent, MonoTime::from_millis(40)).unwrap();
    assert_eq!(first.orders.len() + second.orders.len(), 300);
    assert!(second.confirmation.is_some());
}

/// Guards against two runs of one task: the reply with the start is delayed, the lease lapses,
/// and the agent's next poll was sent before that reply arrives.
#[test]
fn start_that_may_still_arrive_after_its_lease_lapsed_is_cancelled() {
    let (mut scheduler, partition, agent) = scheduler_with_task();
    scheduler
        .receive_poll(&full_poll(1, 0), context(10))
        .unwrap();
    scheduler.set_agent_open(&agent, true);
    scheduler.place_waiting();
    append(&mut scheduler, partition);
    let delayed = scheduler.reply(&agent, MonoTime::from_millis(20)).unwrap();
    assert_eq!(delayed.orders.len(), 1);
    let now = MonoTime::from_millis(60_000);
    scheduler.confirm(now, SettingsVersion::new(1));
    scheduler.tick(now);
    append(&mut scheduler, partition);
    scheduler
        .receive_poll(&full_poll(2, 0), context(60_000))
        .unwrap();
    let reply_at = scheduler.reply_deadline(&agent).unwrap();
    scheduler.confirm(reply_at, SettingsVersion::new(1));
    let reply = scheduler.reply(&agent, reply_at).unwrap();
    let is_cancel = |order: &v1::TaskOrder| matches!(order.action, Some(Action::Cancel(_)));
    assert!(reply.confirmation.is_none() || reply.orders.iter().any(is_cancel));
}
