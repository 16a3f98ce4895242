//! Experiments that compare two routing policies on live traffic: assignment of requests to
//! arms, recording, reports and the guard.

mod recorder;
mod report;
mod rows;
mod watch;

use turmeric_experiments::{ArmName, ExperimentPlan, PairNumber, UnitKind};
use turmeric_routing::RoutingPolicy;
use turmeric_settings::{SettingName, SettingsPath, SettingsTree};
use turmeric_types::{ServiceName, SettingsVersion};

use super::dispatch::AttemptPlan;
use super::settings::service_path;
use super::state::EntryState;

pub(crate) use recorder::{ArmOutcome, ExperimentRecorder, ExperimentSpan};
pub(crate) use report::{list_experiments, show_experiment};
pub(crate) use watch::run;

/// Settings that define an experiment; a change to any of them starts a new run.
const DEFINING_SETTINGS: [SettingName; 6] = [
    SettingName::ExperimentName,
    SettingName::ExperimentPolicy,
    SettingName::ExperimentShare,
    SettingName::ExperimentUnit,
    SettingName::ExperimentSlot,
    SettingName::RoutingPolicy,
];

/// An experiment as the settings tree defines it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ExperimentSetup {
    pub(crate) plan: ExperimentPlan,
    pub(crate) policy_a: RoutingPolicy,
    pub(crate) policy_b: RoutingPolicy,
    /// Path of the service in the settings tree.
    pub(crate) path: SettingsPath,
    /// Path at which the name of the experiment is set.
    pub(crate) source: SettingsPath,
}

impl ExperimentSetup {
    /// Returns the experiment that runs on a service, if there is one.
    ///
    /// The name of its run ends in the newest version among the settings that
    /// define it, so that samples of different policies never mix.
    pub(crate) fn read(
        state: &EntryState,
        tree: &SettingsTree,
        service: &ServiceName,
    ) -> Option<Self> {
        let path = service_path(state, service);
        let setting = tree.effective(&path, SettingName::ExperimentName);
        if setting.value.is_empty() {
            return None;
        }
        let version = DEFINING_SETTINGS
            .iter()
            .filter_map(|name| tree.effective(&path, *name).entry)
            .map(|entry| entry.version)
            .max()
            .unwrap_or(SettingsVersion::default());
        let unit = tree.effective(&path, SettingName::ExperimentUnit).value;
        let plan = ExperimentPlan {
            run: format!("{}.{version}", setting.value),
            unit: unit.parse().unwrap_or(UnitKind::TimeSlot),
            slot_millis: tree.value(&path, SettingName::ExperimentSlot),
            share_percent: tree.value(&path, SettingName::ExperimentShare),
        };
        Some(Self {
            plan,
            policy_a: routing_policy(tree, &path, SettingName::RoutingPolicy),
            policy_b: routing_policy(tree, &path, SettingName::ExperimentPolicy),
            source: setting.source.unwrap_or_else(|| path.clone()),
            path,
        })
    }
}

fn routing_policy(tree: &SettingsTree, path: &SettingsPath, name: SettingName) -> RoutingPolicy {
    tree.effective(path, name)
        .value
        .parse()
        .unwrap_or(RoutingPolicy::ExpectedLatency)
}

/// Arm of an experiment to which a request is assigned, with its run and pair of slots.
#[derive(Clone, Debug)]
pub(crate) struct AssignedArm {
    pub(crate) run: String,
    pub(crate) pair: PairNumber,
    pub(crate) arm: ArmName,
}

/// Routing policy of a request, and the arm of an experiment that set it.
#[derive(Clone, Debug)]
pub(crate) struct RoutingDecision {
    pub(crate) policy: RoutingPolicy,
    pub(crate) experiment: Option<AssignedArm>,
    /// Whether the request is recorded; requests that arrive while a slot settles are not.
    pub(crate) is_counted: bool,
}

impl RoutingDecision {
    /// Chooses the policy for a request that arrives now.
    pub(crate) fn new(state: &EntryState, plan: &AttemptPlan) -> Self {
        let tree = state.tree();
        let Some(setup) = ExperimentSetup::read(state, &tree, &plan.head.service) else {
            let path = service_path(state, &plan.head.service);
            return Self {
                policy: routing_policy(&tree, &path, SettingName::RoutingPolicy),
                experiment: None,
                is_counted: false,
            };
        };
        let now = state.clock.wall();
        let slot = setup.plan.slot_at(now);
        let arm = setup.plan.arm(slot, &unit_of(setup.plan.unit, plan));
        let policy = match arm {
            ArmName::A => setup.policy_a,
            ArmName::B => setup.policy_b,
        };
        Self {
            policy,
            is_counted: !setup.plan.is_settling(now),
            experiment: Some(AssignedArm {
                run: setup.plan.run,
                pair: slot.pair(),
                arm,
            }),
        }
    }
}

/// Returns the name of the unit of assignment to which a request belongs.
///
/// It is empty for time slots, where the slot alone decides the arm.
fn unit_of(unit: UnitKind, plan: &AttemptPlan) -> String {
    match unit {
        // A retry by the caller has the same idempotency key, so it stays in its arm.
        UnitKind::Request => plan
            .head
            .key
            .map_or_else(|| plan.request.to_string(), |key| key.to_string()),
        UnitKind::Caller => plan.head.caller.to_string(),
        UnitKind::TimeSlot => String::new(),
    }
}
