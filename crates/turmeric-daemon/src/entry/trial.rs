//! Experiments on live traffic: what runs, what was seen, what came of it.

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

pub(crate) use recorder::{TrialOutcome, TrialRecorder, TrialSpan};
pub(crate) use report::{list_trials, show_trial};
pub(crate) use watch::run;

/// Settings that make an experiment another one when they change.
const TRIAL_SETTINGS: [SettingName; 6] = [
    SettingName::ExperimentName,
    SettingName::ExperimentPolicy,
    SettingName::ExperimentShare,
    SettingName::ExperimentUnit,
    SettingName::ExperimentSlot,
    SettingName::RoutingPolicy,
];

/// An experiment as the settings tree has it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TrialSetup {
    pub(crate) plan: ExperimentPlan,
    pub(crate) policy_a: RoutingPolicy,
    pub(crate) policy_b: RoutingPolicy,
    /// Place of the service in the settings tree.
    pub(crate) path: SettingsPath,
    /// Place at which the experiment was started.
    pub(crate) source: SettingsPath,
}

impl TrialSetup {
    /// Returns the experiment that runs at a service, if there is one.
    ///
    /// Its run is named after the newest version of the settings that define
    /// it, so that samples of different policies never mix.
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
        let version = TRIAL_SETTINGS
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

/// Arm of an experiment that a request is in.
#[derive(Clone, Debug)]
pub(crate) struct TrialArm {
    pub(crate) run: String,
    pub(crate) pair: PairNumber,
    pub(crate) arm: ArmName,
}

/// How a request is routed, and by which arm of an experiment.
#[derive(Clone, Debug)]
pub(crate) struct RoutingDecision {
    pub(crate) policy: RoutingPolicy,
    pub(crate) trial: Option<TrialArm>,
    /// Whether its latency counts.
    pub(crate) is_counted: bool,
}

impl RoutingDecision {
    /// Decides on a request that arrives now.
    pub(crate) fn new(state: &EntryState, plan: &AttemptPlan) -> Self {
        let tree = state.tree();
        let Some(setup) = TrialSetup::read(state, &tree, &plan.head.service) else {
            let path = service_path(state, &plan.head.service);
            return Self {
                policy: routing_policy(&tree, &path, SettingName::RoutingPolicy),
                trial: None,
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
            trial: Some(TrialArm {
                run: setup.plan.run,
                pair: slot.pair(),
                arm,
            }),
        }
    }
}

/// Returns the name of the unit to which a request belongs.
fn unit_of(unit: UnitKind, plan: &AttemptPlan) -> String {
    match unit {
        // A retry by the caller has the same key, and stays in its arm.
        UnitKind::Request => plan
            .head
            .key
            .map_or_else(|| plan.request.to_string(), |key| key.to_string()),
        UnitKind::Caller => plan.head.caller.to_string(),
        UnitKind::TimeSlot => String::new(),
    }
}
