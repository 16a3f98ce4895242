//! Policies: their names in a settings file, and the variants of the starvation policy.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    ConsolidationPolicy, EndpointIncarnation, EndpointInfo, HeadroomSample, JobCode, JobScheduler,
    JobSpec, LeaderTimeouts, LeaseLimits, LongRunningOrder, LongRunningRestart, LongRunningStart,
    PacingPolicy, PolicySet, QueuePolicy, StarvationPolicy, StepMeasurement, StepSpec, TaskName,
    VmReport,
};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

fn names(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    let pairs = pairs.iter();
    pairs
        .map(|(policy, variant)| ((*policy).to_owned(), (*variant).to_owned()))
        .collect()
}

#[test]
fn named_variants_are_chosen_and_the_others_keep_their_defaults() {
    let set = PolicySet::from_names(&names(&[("consolidation", "none")])).unwrap();
    assert_eq!(set.consolidation, ConsolidationPolicy::None);
    assert_eq!(set.starvation, PolicySet::default().starvation);
    assert!(set.to_string().contains("consolidation none"), "{set}");
}

#[rstest]
#[case::starvation(StarvationPolicy::NAMES, |name: &str| {
    name.parse::<StarvationPolicy>().map(|variant| variant.to_string())
})]
#[case::consolidation(ConsolidationPolicy::NAMES, |name: &str| {
    name.parse::<ConsolidationPolicy>().map(|variant| variant.to_string())
})]
#[case::long_running_order(LongRunningOrder::NAMES, |name: &str| {
    name.parse::<LongRunningOrder>().map(|variant| variant.to_string())
})]
#[case::long_running_restart(LongRunningRestart::NAMES, |name: &str| {
    name.parse::<LongRunningRestart>().map(|variant| variant.to_string())
})]
#[case::long_running_start(LongRunningStart::NAMES, |name: &str| {
    name.parse::<LongRunningStart>().map(|variant| variant.to_string())
})]
#[case::pacing(PacingPolicy::NAMES, |name: &str| {
    name.parse::<PacingPolicy>().map(|variant| variant.to_string())
})]
fn every_variant_is_read_by_the_name_that_it_is_written_with(
    #[case] variants: &[&str],
    #[case] read_and_write: fn(&str) -> Result<String, turmeric_jobs::PolicyError>,
) {
    for variant in variants {
        assert_eq!(read_and_write(variant).unwrap(), *variant);
    }
}

#[test]
fn unknown_policies_and_variants_are_reported_together() {
    let names = names(&[("starvation", "sometimes"), ("colour", "red")]);
    let findings = PolicySet::from_names(&names).unwrap_err().to_string();
    assert!(findings.contains("2 findings"), "{findings}");
    assert!(
        findings.contains("\"sometimes\" is not a variant of this policy; its variants are always"),
        "{findings}"
    );
    assert!(findings.contains("colour: no such policy"), "{findings}");
}

fn resources(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

fn job(step: StepSpec, accepted_at: WallTime) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            service: "s".to_owned(),
            stretch_permille: 2000,
            objective: Duration::from_secs(1),
            ..QueuePolicy::default()
        },
        accepted_at,
        text: String::new(),
        steps: vec![step],
        repeat: None,
    }
}

/// A report of a VM of 8 cores on which a serving task is near its latency target.
fn report(at: u64, serving: JobCode) -> VmReport {
    let step = TaskName {
        job: serving,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let measurement = StepMeasurement {
        image: "serving".to_owned(),
        headroom_permille: 1100,
    };
    VmReport {
        vm: "a".to_owned(),
        zone: "z".to_owned(),
        epoch: 1,
        stamp_millis: at,
        endpoint_info: Some(EndpointInfo {
            incarnation: EndpointIncarnation::default(),
            service: "s".to_owned(),
            is_draining: false,
            capacity: ResourceSet::new(
                CoreCount::from_millicores(8_000),
                MemorySize::new(64 << 30),
                AcceleratorCount::new(0),
            ),
            labels: Vec::new(),
        }),
        is_synced: true,
        is_terminated: false,
        is_unresponsive: false,
        attempts: Vec::new(),
        ends: Vec::new(),
        refused: Vec::new(),
        applied_orders: 0,
        crash: None,
        headroom: Some((
            at,
            HeadroomSample {
                steps: BTreeMap::from([(step, measurement)]),
                best_effort_shares: BTreeMap::new(),
            },
        )),
        has_more_ends: false,
        lease_wait: None,
        own_lease_wait: None,
        is_stopping: false,
        unplanned: Vec::new(),
    }
}

/// A best-effort job waits for 2.4 s beside a serving task that has hardly any headroom.
#[rstest]
#[case(StarvationPolicy::Always, 6_000, true)]
#[case(StarvationPolicy::BelowHalfUse, 6_000, false)]
#[case(StarvationPolicy::BelowHalfUse, 3_000, true)]
fn starved_job_may_interfere(
    #[case] starvation: StarvationPolicy,
    #[case] reserved: u64,
    #[case] is_placed: bool,
) {
    let timeouts = LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(6)),
        renewal_window: Duration::from_secs(12),
        retention: Duration::from_secs(120),
    };
    let start = MonoTime::from_millis(1000);
    let policies = PolicySet {
        starvation,
        long_running_start: LongRunningStart::AtOnce,
        ..PolicySet::default()
    };
    let mut leader = JobScheduler::new(timeouts, 1, "e".to_owned(), String::new(), start)
        .with_policies(policies);
    let (serving, best_effort) = (JobCode::new(1), JobCode::new(2));
    let serving_step = StepSpec {
        count: 1,
        need: resources(reserved),
        is_long_running: true,
        image: Some("serving".to_owned()),
        latency_target_millis: Some(50),
        ..StepSpec::default()
    };
    let best_effort_step = StepSpec {
        count: 1,
        need: resources(1_000),
        estimate: Duration::from_secs(2),
        image: Some("best-effort".to_owned()),
        is_best_effort: true,
        ..StepSpec::default()
    };
    let accepted_at = WallTime::from_millis(1000);
    leader.add_job(serving, job(serving_step, accepted_at), accepted_at);
    let mut placed = Vec::new();
    for at in (1000..4500).step_by(400) {
        let (now, wall) = (MonoTime::from_millis(at), WallTime::from_millis(at));
        leader.handle_report(report(at, serving), now, wall);
        if at == 1800 {
            leader.add_job(best_effort, job(best_effort_step.clone(), wall), wall);
        }
        placed.push(leader.place(now, wall));
    }
    // The serving task is placed at once; the job has starved for 2.4 s in the last round.
    assert_eq!(placed[..8], [1, 0, 0, 0, 0, 0, 0, 0]);
    assert_eq!(placed[8] == 1, is_placed, "{placed:?}");
}
