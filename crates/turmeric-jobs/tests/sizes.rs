//! What the leader writes and sends stays within the limits of the store and of messages.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_jobs::{
    EndpointIncarnation, EndpointInfo, JobCode, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits,
    QueuePolicy, StepSpec, VmReport,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};

/// Most bytes of a call of the store, and of a message between leader and agent.
const CALL_LIMIT: usize = 1_000_000;
const MESSAGE_LIMIT: usize = 2 << 20;

/// Most tasks of a job that is accepted.
const TASKS: u32 = 600;

/// Jobs that arrive at once.
const JOBS: u64 = 51;

const WALL: WallTime = WallTime::from_millis(10_000);

fn resources(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(millicores << 20),
        AcceleratorCount::new(0),
    )
}

fn leader() -> JobScheduler {
    let timeouts = LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        renewal_window: Duration::from_secs(5),
        retention: Duration::from_secs(100),
    };
    let now = MonoTime::from_millis(10_000);
    JobScheduler::new(timeouts, 1, "e".to_owned(), String::new(), now)
}

fn spec(text: &str) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            service: "s".to_owned(),
            attempt_limit: 2,
            ..QueuePolicy::default()
        },
        accepted_at: WALL,
        text: text.to_owned(),
        steps: vec![StepSpec {
            count: TASKS,
            need: resources(10),
            estimate: Duration::from_secs(4),
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// Returns the progress of a job whose tasks have all run and failed once.
fn large_progress() -> v1::JobProgress {
    let task = |index| v1::TaskProgress {
        index,
        run: 2,
        failed_runs: vec![1],
        checkpoint: "0123456789abcdef".to_owned(),
        vm: "side-morava-a-1".to_owned(),
        endpoint: "i-7f3a91c2".to_owned(),
        born: 1_790_000_000_000,
        ..v1::TaskProgress::default()
    };
    v1::JobProgress {
        phase: 1,
        tasks: (0..TASKS).map(task).collect(),
        ..v1::JobProgress::default()
    }
}

/// Guards against a leader that can write nothing any more: a burst of large jobs changes at once,
/// and their rows exceed what the store accepts in one call.
#[test]
fn rows_of_a_burst_of_large_jobs_are_split_over_several_writes() {
    let mut leader = leader();
    for number in 1..=JOBS {
        let code = JobCode::new(number);
        leader.add_job(code, spec(""), WALL);
        leader.restore_job(code, large_progress());
        leader.cancel_job(code, WALL);
    }
    let mut written = BTreeSet::new();
    for write in 1..=JOBS {
        // The first job changes all the time, and delays no other.
        leader.restore_job(JobCode::new(1), large_progress());
        leader.cancel_job(JobCode::new(1), WALL);
        let now = MonoTime::from_millis(10_000 + write * 1000);
        let plan = leader.begin_commit(now, WALL).unwrap();
        // Values are base64, beside the names of their rows.
        let values = plan.progress.iter();
        let values: usize = values.map(|(_, value)| value.len() / 3 * 4 + 200).sum();
        assert!(values + plan.leader_row.len() < CALL_LIMIT, "{values}");
        written.extend(plan.progress.iter().map(|(code, _)| *code));
        leader.commit_done(&plan, now);
        if written.len() as u64 == JOBS {
            return;
        }
    }
    panic!("{} of {JOBS} jobs were written", written.len());
}

/// Guards against starts that are never delivered: those of one VM exceed what a message may have,
/// as each has the text of its job.
#[test]
fn starts_with_long_texts_are_split_over_several_messages() {
    let mut leader = leader();
    let report = VmReport {
        vm: "w0".to_owned(),
        zone: "morava-a".to_owned(),
        epoch: 1,
        stamp_millis: 11_000,
        endpoint_info: Some(EndpointInfo {
            incarnation: EndpointIncarnation {
                endpoint: "i-0".to_owned(),
                started_at_millis: 1,
            },
            service: "s".to_owned(),
            is_draining: false,
            capacity: resources(64_000),
            labels: Vec::new(),
        }),
        is_synced: true,
        ..VmReport::default()
    };
    let mut random = SplitMixRandom::new(1);
    let text: String = (0..4000)
        .map(|_| char::from(b'a' + random.next_below(26) as u8))
        .collect();
    leader.add_job(JobCode::new(1), spec(&text), WALL);
    let now = MonoTime::from_millis(11_000);
    leader.handle_report(report, now, WALL);
    assert_eq!(leader.place(now, WALL), TASKS as usize);
    let plan = leader.begin_commit(now, WALL).unwrap();
    leader.commit_done(&plan, now);
    let mut started = BTreeSet::new();
    while leader.take_pending_updates().contains("w0") {
        let orders = leader.orders("w0", now).unwrap();
        assert!(orders.encoded_len() < MESSAGE_LIMIT);
        for start in orders.starts {
            let key = start.key.unwrap();
            assert!(started.insert(key.task), "started twice");
        }
    }
    assert_eq!(started.len(), TASKS as usize);
}

/// Guards against jobs of few bytes that take much memory at an entry: thousands of empty steps
/// in 6 KB, or long lists of earlier steps.
#[test]
fn memory_of_a_job_counts_its_steps_and_their_lists() {
    let ordinary = spec("text").memory();
    assert!(ordinary < MemorySize::new(4 << 10), "{ordinary}");
    let mut many_steps = spec("text");
    many_steps.steps.resize(2_048, StepSpec::default());
    assert!(many_steps.memory() > MemorySize::new(1 << 20));
    let mut long_list = spec("text");
    long_list.steps[0].after = vec![0; 100_000];
    assert!(long_list.memory() > MemorySize::new(1 << 20));
    let text = "t".repeat(200_000);
    assert!(spec(&text).memory() > MemorySize::new(400_000));
}
