//! Placement of tasks after a failed attempt.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod entry;

use entry::{append, context, cores, ended, full_poll_of, scheduler_with_task};
use turmeric_schema::v1;
use turmeric_tasks::{TaskPhase, TaskScheduler, write_resources};
use turmeric_types::{AgentId, JobId, MonoTime, PartitionId, TaskId};

const TASK: TaskId = TaskId::new(JobId::new(1), 0);

/// A scheduler whose task has failed on the only worker with free capacity,
/// while another worker that could hold it is full.
struct FailedOnce {
    scheduler: TaskScheduler,
    partition: PartitionId,
    failing: AgentId,
    full: AgentId,
}

impl FailedOnce {
    fn new() -> Self {
        let (mut scheduler, partition, failing) = scheduler_with_task();
        let full: AgentId = "w2.00000001".parse().unwrap();
        let poll = full_poll_of(&failing, 1, 0);
        scheduler.receive_poll(&poll, context(10)).unwrap();
        scheduler.set_agent_open(&failing, true);
        let mut case = Self {
            scheduler,
            partition,
            failing,
            full,
        };
        case.poll_of_other_worker(1, 0, 10);
        case.scheduler.set_agent_open(&case.full.clone(), true);
        case.place();
        let order = case.order();
        let mut poll = full_poll_of(&case.failing, 2, order.number);
        poll.reports = vec![ended(&order, false)];
        case.scheduler.receive_poll(&poll, context(30)).unwrap();
        append(&mut case.scheduler, case.partition);
        case
    }

    /// Sends a poll in which the other worker reports its number of free cores.
    fn poll_of_other_worker(&mut self, sequence: u64, free: u64, millis: u64) {
        let mut poll = full_poll_of(&self.full, sequence, 0);
        poll.load = Some(v1::AgentLoad {
            free: Some(write_resources(&cores(free))),
            ..v1::AgentLoad::default()
        });
        self.scheduler.receive_poll(&poll, context(millis)).unwrap();
    }

    fn place(&mut self) {
        self.scheduler.place_waiting();
        append(&mut self.scheduler, self.partition);
    }

    fn order(&mut self) -> v1::TaskOrder {
        let now = MonoTime::from_millis(20);
        let reply = self.scheduler.reply(&self.failing.clone(), now).unwrap();
        reply.orders.last().unwrap().clone()
    }

    fn phase(&self) -> TaskPhase {
        let mut tasks = self.scheduler.tasks();
        tasks.find(|(id, _)| *id == TASK).unwrap().1.phase.clone()
    }
}

#[test]
fn failed_task_waits_for_another_worker() {
    let mut case = FailedOnce::new();
    case.place();
    assert_eq!(case.phase(), TaskPhase::Waiting);
    let reason = case.scheduler.wait_reason(TASK).unwrap();
    let expected = "it failed on w1.00000001 and waits for another worker";
    assert_eq!(reason.to_string(), expected);
    case.poll_of_other_worker(2, 8, 40);
    case.place();
    assert_eq!(case.phase(), TaskPhase::Assigned(case.full.clone()));
}

#[test]
fn failed_task_is_retried_on_the_same_worker_after_the_avoidance_period() {
    let mut case = FailedOnce::new();
    let poll = full_poll_of(&case.failing, 3, 1);
    case.scheduler.receive_poll(&poll, context(30_100)).unwrap();
    case.scheduler.tick(MonoTime::from_millis(30_100));
    case.place();
    assert_eq!(case.phase(), TaskPhase::Assigned(case.failing.clone()));
}

#[test]
fn failed_task_is_retried_on_the_same_worker_if_no_other_can_hold_it() {
    let mut case = FailedOnce::new();
    case.scheduler.set_agent_open(&case.full.clone(), false);
    case.place();
    assert_eq!(case.phase(), TaskPhase::Assigned(case.failing.clone()));
}
