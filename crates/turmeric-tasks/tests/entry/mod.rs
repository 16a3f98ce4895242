//! A scheduler of an entry and polls of agents, for tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_learning::SizingPolicy;
use turmeric_placement::PlacementPolicy;
use turmeric_schema::v1;
use turmeric_tasks::{
    AppendOutcome, LeaseTerms, PollContext, SchedulerSettings, SubmitRequest, TaskLedger,
    TaskScheduler, write_resources,
};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, Incarnation, JobId, MemorySize, MonoTime, OwnerEpoch,
    PartitionId, ResourceSet, SettingsVersion, TaskClass, TaskSpec, TeamName, WallTime,
};

const ENTRY_INCARNATION: u64 = 5;

pub fn settings() -> SchedulerSettings {
    SchedulerSettings {
        placement: PlacementPolicy::BestFit,
        quotas: BTreeMap::new(),
        sizing: SizingPolicy::Learned { margin_percent: 15 },
        interference_limit_permille: 1000,
    }
}

pub fn scheduler() -> TaskScheduler {
    let terms = LeaseTerms::new(Duration::from_secs(15));
    TaskScheduler::new(Incarnation::new(ENTRY_INCARNATION), terms, settings(), 1)
}

pub fn poll(sequence: u64, settings_version: u64) -> v1::PollRequest {
    v1::PollRequest {
        sequence,
        agent: "w1.00000001".to_owned(),
        incarnation: 9,
        entry_incarnation: ENTRY_INCARNATION,
        settings_version,
        announcement: Some(v1::Announcement {
            zone: "morava-a".to_owned(),
            ..v1::Announcement::default()
        }),
        ..v1::PollRequest::default()
    }
}

pub fn context(millis: u64) -> PollContext {
    PollContext {
        received_at: MonoTime::from_millis(millis),
        wall_time: WallTime::from_millis(millis),
    }
}

/// Returns a scheduler that owns the partition of one waiting task, and an agent identifier.
pub fn scheduler_with_task() -> (TaskScheduler, PartitionId, AgentId) {
    let mut scheduler = scheduler();
    let team: TeamName = "leather".parse().unwrap();
    let partition = PartitionId::of_team(&team);
    scheduler.add_partition(
        partition,
        OwnerEpoch::new(1),
        TaskLedger::new(),
        1,
        MonoTime::default(),
    );
    scheduler.confirm(MonoTime::default(), SettingsVersion::new(1));
    let request = SubmitRequest {
        job: JobId::new(1),
        spec: TaskSpec {
            team,
            kind: None,
            class: TaskClass::Batch,
            resources: cores(2),
            work_millis: 300,
        },
        count: 1,
        submitted_at: WallTime::from_millis(1),
    };
    scheduler.submit(&request);
    append(&mut scheduler, partition);
    (scheduler, partition, "w1.00000001".parse().unwrap())
}

pub fn cores(count: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(count * 1000),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

pub fn append(scheduler: &mut TaskScheduler, partition: PartitionId) {
    while let Some(plan) = scheduler.next_append(partition) {
        scheduler
            .handle_append_outcome(partition, &plan, AppendOutcome::Written)
            .unwrap();
    }
}

/// Returns a poll of an agent with 8 free cores that knows the entry's ownership.
pub fn full_poll(sequence: u64, acknowledged_order: u64) -> v1::PollRequest {
    let mut poll = v1::PollRequest {
        acknowledged_order,
        ownership_generation: 1,
        load: Some(v1::AgentLoad {
            free: Some(write_resources(&cores(8))),
            ..v1::AgentLoad::default()
        }),
        ..poll(sequence, 0)
    };
    if let Some(announcement) = &mut poll.announcement {
        announcement.capacity = Some(write_resources(&cores(8)));
    }
    poll
}

/// Returns the same poll for a given agent.
pub fn full_poll_of(agent: &AgentId, sequence: u64, acknowledged_order: u64) -> v1::PollRequest {
    v1::PollRequest {
        agent: agent.to_string(),
        ..full_poll(sequence, acknowledged_order)
    }
}

/// Returns the report of the end of an attempt that the agent was ordered to start.
pub fn ended(order: &v1::TaskOrder, succeeded: bool) -> v1::TaskReport {
    v1::TaskReport {
        number: 1,
        task: order.task.clone(),
        attempt: order.attempt,
        partition: order.partition,
        event: Some(v1::task_report::Event::Ended(v1::Ended {
            succeeded,
            ..v1::Ended::default()
        })),
    }
}
