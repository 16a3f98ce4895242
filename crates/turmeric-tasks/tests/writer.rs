//! Group commit, lost responses and fencing of a partition's log.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use turmeric_tasks::{AppendOutcome, PartitionWriter, TaskChange, TaskTransition, WriterError};
use turmeric_types::{JobId, OwnerEpoch, PartitionId, TaskId, WallTime};

fn writer(epoch: u64) -> PartitionWriter {
    PartitionWriter::new(PartitionId::new(0).unwrap(), OwnerEpoch::new(epoch), 1)
}

fn transition(number: u128) -> TaskTransition {
    let cancelled_at = WallTime::from_millis(1);
    let change = TaskChange::Cancelled { cancelled_at };
    TaskTransition::new(TaskId::new(JobId::new(number), 0), change)
}

#[test]
fn append_with_a_lost_response_is_recognised_by_its_bytes() {
    let mut writer = writer(1);
    writer.push(transition(1));
    let plan = writer.next_append().unwrap();
    let unknown = writer.handle_outcome(&plan, AppendOutcome::Unknown);
    assert_eq!(unknown, Ok(Vec::new()));
    writer.push(transition(2));
    let again = writer.next_append().unwrap();
    assert_eq!(again, plan, "the same bytes go to the same index");
    let result = writer.handle_outcome(&again, AppendOutcome::Occupied(plan.record));
    assert_eq!(result, Ok(vec![transition(1)]));
    assert_eq!(writer.next_append().unwrap().index, 2);
}

#[test]
fn row_of_another_owner_fences_the_writer_permanently() {
    let mut writer = writer(1);
    writer.push(transition(1));
    let plan = writer.next_append().unwrap();
    let outcome = AppendOutcome::Occupied(b"of another".to_vec());
    let result = writer.handle_outcome(&plan, outcome);
    assert_eq!(result, Err(WriterError::Fenced));
    assert_eq!(writer.next_append(), None);
}

#[test]
fn response_to_an_earlier_writer_is_ignored() {
    let mut earlier = writer(1);
    earlier.push(transition(1));
    let earlier_plan = earlier.next_append().unwrap();
    // The entry lost the partition while the append was in flight and owns it
    // again when the response arrives.
    let mut writer = writer(3);
    writer.push(transition(2));
    let plan = writer.next_append().unwrap();
    for outcome in [AppendOutcome::Written, AppendOutcome::Fenced] {
        assert_eq!(
            writer.handle_outcome(&earlier_plan, outcome),
            Ok(Vec::new())
        );
    }
    assert_eq!(
        writer.next_append(),
        Some(plan),
        "the append is still in flight"
    );
}

proptest! {
    #[test]
    fn log_of_two_owners_contains_each_durable_transition_once(
        steps in proptest::collection::vec((0..2_usize, 0..4_u8), 1..200),
    ) {
        // The table: its rows by index, and the epoch that is allowed to append.
        let mut rows: Vec<Vec<u8>> = Vec::new();
        let mut writers = [Some(writer(1)), None];
        let mut epoch = 1;
        let mut owner = 0;
        let mut next = 0;
        let mut durable = Vec::new();
        for (number, step) in steps {
            if step == 3 && number != owner {
                epoch += 1;
                owner = number;
                let partition = PartitionId::new(0).unwrap();
                let index = rows.len() as u64 + 1;
                let taken = PartitionWriter::new(partition, OwnerEpoch::new(epoch), index);
                writers[number] = Some(taken);
                continue;
            }
            let Some(writer) = &mut writers[number] else { continue };
            next += 1;
            writer.push(transition(next));
            let Some(plan) = writer.next_append() else { continue };
            let outcome = if writer.epoch() != OwnerEpoch::new(epoch) {
                AppendOutcome::Fenced
            } else if let Some(row) = rows.get(plan.index as usize - 1) {
                AppendOutcome::Occupied(row.clone())
            } else {
                rows.push(plan.record.clone());
                AppendOutcome::Written
            };
            let outcome = if step == 1 { AppendOutcome::Unknown } else { outcome };
            if let Ok(transitions) = writer.handle_outcome(&plan, outcome) {
                durable.extend(transitions);
            }
        }
        let logged: Vec<TaskTransition> = rows
            .iter()
            .flat_map(|row| PartitionWriter::read_append(row).unwrap())
            .collect();
        for transition in &durable {
            let count = logged.iter().filter(|one| *one == transition).count();
            prop_assert_eq!(count, 1, "a durable transition is in the log exactly once");
        }
    }
}
