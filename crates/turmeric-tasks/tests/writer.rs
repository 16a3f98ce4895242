//! Group commit, lost answers and the fence of a partition's log.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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
fn an_append_whose_answer_was_lost_is_known_by_its_bytes() {
    let mut writer = writer(1);
    writer.push(transition(1));
    let plan = writer.next_append().unwrap();
    let unknown = writer.settle(&plan, AppendOutcome::Unknown);
    assert_eq!(unknown, Ok(Vec::new()));
    writer.push(transition(2));
    let again = writer.next_append().unwrap();
    assert_eq!(again, plan, "the same bytes go to the same index");
    let settled = writer.settle(&again, AppendOutcome::Occupied(plan.record));
    assert_eq!(settled, Ok(vec![transition(1)]));
    assert_eq!(writer.next_append().unwrap().index, 2);
}

#[test]
fn the_row_of_another_owner_fences_the_writer_for_good() {
    let mut writer = writer(1);
    writer.push(transition(1));
    let plan = writer.next_append().unwrap();
    let outcome = AppendOutcome::Occupied(b"of another".to_vec());
    let settled = writer.settle(&plan, outcome);
    assert_eq!(settled, Err(WriterError::Fenced));
    assert_eq!(writer.next_append(), None);
}

#[test]
fn the_answer_to_an_earlier_life_settles_nothing() {
    let mut earlier = writer(1);
    earlier.push(transition(1));
    let earlier_plan = earlier.next_append().unwrap();
    // The entry lost the partition with the append on its way, and has it
    // again; only now the answer comes.
    let mut writer = writer(3);
    writer.push(transition(2));
    let plan = writer.next_append().unwrap();
    for outcome in [AppendOutcome::Written, AppendOutcome::Fenced] {
        assert_eq!(writer.settle(&earlier_plan, outcome), Ok(Vec::new()));
    }
    assert_eq!(writer.next_append(), Some(plan), "still on its way");
}

proptest! {
    #[test]
    fn the_log_of_two_owners_holds_what_each_was_told_is_durable(
        steps in proptest::collection::vec((0..2_usize, 0..4_u8), 1..200),
    ) {
        // The table: rows by index, and the epoch that may append.
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
            if let Ok(settled) = writer.settle(&plan, outcome) {
                durable.extend(settled);
            }
        }
        let logged: Vec<TaskTransition> = rows
            .iter()
            .flat_map(|row| PartitionWriter::read_append(row).unwrap())
            .collect();
        for transition in &durable {
            let count = logged.iter().filter(|one| *one == transition).count();
            prop_assert_eq!(count, 1, "durable means once in the log");
        }
    }
}
