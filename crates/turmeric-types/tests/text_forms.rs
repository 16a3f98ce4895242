//! Printed values parse back to themselves, and parse errors say what is accepted.

use proptest::prelude::*;
use rstest::rstest;
use turmeric_types::{
    CoreCount, FindingList, HybridClock, HybridTime, IdempotencyKey, JobId, MemorySize, TaskId,
    WallTime, ZoneName,
};

proptest! {
    #[test]
    fn printed_memory_size_parses_back(bytes in any::<u64>()) {
        let size = MemorySize::new(bytes);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
    }

    #[test]
    fn printed_core_count_parses_back(millicores in 0..u64::MAX / 1000) {
        let cores = CoreCount::from_millicores(millicores);
        prop_assert_eq!(cores.to_string().parse(), Ok(cores));
    }

    #[test]
    fn printed_task_id_parses_back(bits in any::<u128>(), index in any::<u32>()) {
        let task = TaskId::new(JobId::new(bits), index);
        prop_assert_eq!(task.to_string().parse(), Ok(task));
    }

    #[test]
    fn idempotency_key_keeps_its_creation_time(millis in 0..1_u64 << 48, random in any::<u128>()) {
        let time = WallTime::from_millis(millis);
        let key = IdempotencyKey::new(time, random);
        prop_assert_eq!(key.created_at(), time);
        prop_assert_eq!(key.to_string().parse(), Ok(key));
    }

    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in ".{0,80}") {
        let _ = text.parse::<MemorySize>();
        let _ = text.parse::<CoreCount>();
        let _ = text.parse::<TaskId>();
        let _ = text.parse::<IdempotencyKey>();
        let _ = text.parse::<ZoneName>();
    }

    #[test]
    fn hybrid_clock_orders_effects_after_their_causes(walls in proptest::collection::vec(0..1000_u64, 1..40)) {
        // Two processes with arbitrary wall clocks send messages to each other.
        let mut clocks = [HybridClock::new(), HybridClock::new()];
        let mut last = HybridTime::default();
        for (turn, wall) in walls.iter().enumerate() {
            let clock = &mut clocks[turn % 2];
            clock.observe(last);
            let time = clock.tick(WallTime::from_millis(*wall));
            prop_assert!(time > last);
            last = time;
        }
    }
}

#[rstest]
#[case("4 GiB", 4 << 30)]
#[case("512MiB", 512 << 20)]
#[case("100 B", 100)]
fn memory_size_accepts_units(#[case] text: &str, #[case] bytes: u64) {
    assert_eq!(text.parse(), Ok(MemorySize::new(bytes)));
}

#[rstest]
#[case("4")]
#[case("4 GB")]
#[case("-1 GiB")]
#[case("99999999999 GiB")]
fn memory_size_rejects_other_texts(#[case] text: &str) {
    let error = text.parse::<MemorySize>().unwrap_err().to_string();
    assert!(error.contains("for example 4 GiB"), "{error}");
}

#[rstest]
#[case("b0ad6b3c-4f3d-4a8e-9d3e-0d8a5f2f4c11", "version 4")]
#[case("none", "not a UUID")]
fn idempotency_key_must_contain_its_creation_time(#[case] text: &str, #[case] expected: &str) {
    let error = text.parse::<IdempotencyKey>().unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn findings_are_reported_together_with_their_sources() {
    let mut findings = FindingList::new();
    let zone = findings.collect("--zone", "a b".parse::<ZoneName>());
    let cores = findings.collect("--cores", "many".parse::<CoreCount>());
    let text = findings
        .into_result(zone.zip(cores))
        .unwrap_err()
        .to_string();
    assert!(text.starts_with("2 findings"), "{text}");
    assert!(
        text.contains("--zone: ") && text.contains("--cores: "),
        "{text}"
    );
}
