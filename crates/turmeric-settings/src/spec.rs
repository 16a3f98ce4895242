//! Definitions of all settings: their types, limits and defaults.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Level of a node in the tree, from the top.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SettingLevel {
    /// The whole installation.
    Root,
    /// A region.
    Region,
    /// An availability zone.
    Zone,
    /// A service in an availability zone.
    Service,
    /// A worker of a service.
    Worker,
    /// A team.
    Team,
}

/// Type and limits of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// A Boolean: `true` or `false`.
    Switch,
    /// A whole number with its unit.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Unit of the value.
        unit: &'static str,
    },
    /// One of several fixed values.
    Choice(&'static [&'static str]),
    /// A name; may be empty.
    Name,
    /// IP addresses with ports, separated by commas; may be empty.
    Addresses,
}

/// Definition of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// The setting that is defined.
    pub name: SettingName,
    /// Name of the setting, as operators write it.
    pub text: &'static str,
    /// Type and limits of the value.
    pub kind: SettingKind,
    /// Value in force if neither the node nor any of its ancestors sets one.
    pub default: &'static str,
    /// The lowest level at which it can be set.
    pub lowest: SettingLevel,
    /// What the setting does, for operators.
    pub description: &'static str,
}

macro_rules! settings {
    ($($variant:ident, $text:literal, $kind:expr, $default:literal, $lowest:ident, $description:literal;)*) => {
        /// The name of a setting.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub enum SettingName {
            $(#[doc = $description] $variant,)*
        }

        /// All settings, in the order of [`SettingName`].
        pub const SETTING_SPECS: &[SettingSpec] = &[
            $(SettingSpec {
                name: SettingName::$variant,
                text: $text,
                kind: $kind,
                default: $default,
                lowest: SettingLevel::$lowest,
                description: $description,
            },)*
        ];
    };
}

use SettingKind::{Addresses, Choice, Name, Number, Switch};

settings! {
    InService, "in-service", Switch, "true", Worker,
        "Whether new work is accepted here.";
    RoutingPolicy, "routing-policy",
        Choice(&["round-robin", "random", "least-outstanding", "power-of-two", "expected-latency"]),
        "expected-latency", Service, "How an entry chooses an endpoint for a request.";
    PlacementPolicy, "placement-policy",
        Choice(&["first-fit", "best-fit", "random", "least-interference"]),
        "least-interference", Root, "How an entry chooses a worker for a task.";
    TaskSizes, "task-sizes", Choice(&["declared", "learned"]), "learned", Root,
        "What a task is allocated: its declared resources, or a size learned from its kind.";
    SizeMargin, "size-margin",
        Number { min: 0, max: 1_000, unit: "%" }, "15", Root,
        "Margin that a learned size adds to the largest observed use.";
    InterferenceLimit, "harm-limit",
        Number { min: 0, max: 10_000, unit: "%" }, "100", Root,
        "Largest slowdown of a service up to which batch tasks are placed on the same VM.";
    EvictionPolicy, "eviction-policy",
        Choice(&["least-work-lost", "newest-first", "largest-first"]),
        "least-work-lost", Root,
        "Which batch tasks are evicted first to free capacity for urgent work.";
    LatencyTarget, "latency-target",
        Number { min: 1, max: 60_000, unit: "ms" }, "250", Service,
        "Target for the 99th percentile of the response time of requests.";
    QueueLimit, "queue-limit",
        Number { min: 1, max: 10_000, unit: "requests" }, "64", Worker,
        "Maximum number of requests queued at one endpoint.";
    BatchSpeed, "batch-speed",
        Number { min: 1, max: 100, unit: "%" }, "100", Worker,
        "Speed at which batch tasks run on a worker.";
    QuotaCores, "quota-cores",
        Number { min: 0, max: 1_000_000, unit: "cores" }, "1000000", Team,
        "Maximum number of cores allocated to the running tasks of a team.";
    KeyHomes, "key-homes", Addresses, "", Root,
        "Agents that decide which attempt may run a request with an idempotency key; empty: no such request runs.";
    ExperimentName, "experiment-name", Name, "", Service,
        "Name of the experiment on this service; empty for none.";
    ExperimentPolicy, "experiment-policy",
        Choice(&["round-robin", "random", "least-outstanding", "power-of-two", "expected-latency"]),
        "expected-latency", Service, "Routing policy of arm B; arm A uses routing-policy.";
    ExperimentShare, "experiment-share",
        Number { min: 1, max: 99, unit: "%" }, "50", Service,
        "Share of the units assigned to arm B.";
    ExperimentUnit, "experiment-unit", Choice(&["request", "caller", "time-slot"]),
        "time-slot", Service, "Unit that is assigned to an arm.";
    ExperimentSlot, "experiment-slot",
        Number { min: 1_000, max: 3_600_000, unit: "ms" }, "10000", Service,
        "Length of a time slot.";
    ExperimentMargin, "experiment-margin",
        Number { min: 0, max: 1_000, unit: "%" }, "25", Service,
        "By how much arm B may exceed the latency target before the experiment is stopped.";
}

impl SettingName {
    /// Returns the definition of the setting.
    pub fn spec(self) -> &'static SettingSpec {
        &SETTING_SPECS[self as usize]
    }
}

impl fmt::Display for SettingName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.spec().text)
    }
}

impl FromStr for SettingName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        SETTING_SPECS
            .iter()
            .find(|spec| spec.text == text)
            .map(|spec| spec.name)
            .ok_or_else(|| {
                format!(
                    "there is no setting {text:?}; `turmericctl settings list` lists all settings"
                )
            })
    }
}

impl TryFrom<String> for SettingName {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<SettingName> for String {
    fn from(name: SettingName) -> Self {
        name.to_string()
    }
}

impl SettingSpec {
    /// Checks that the setting may be set at `level`.
    pub(crate) fn check_level(&self, level: SettingLevel) -> Result<(), String> {
        let is_team_setting = self.lowest == SettingLevel::Team;
        let is_allowed = match level {
            SettingLevel::Root => true,
            SettingLevel::Team => is_team_setting,
            other => !is_team_setting && other <= self.lowest,
        };
        if is_allowed {
            return Ok(());
        }
        Err(format!(
            "{} cannot be set at this level; its lowest level is {:?}",
            self.text, self.lowest
        ))
    }

    /// Checks a value against the type and limits of the setting.
    pub(crate) fn check_value(&self, value: &str) -> Result<(), String> {
        match self.kind {
            Switch if matches!(value, "true" | "false") => Ok(()),
            Switch => Err(format!("{value:?} is not true or false")),
            Number { min, max, unit } => match value.parse::<u64>() {
                Ok(number) if (min..=max).contains(&number) => Ok(()),
                _ => Err(format!(
                    "{value:?} is not a whole number of {unit} from {min} to {max}"
                )),
            },
            Choice(choices) if choices.contains(&value) => Ok(()),
            Choice(choices) => Err(format!("{value:?} is not one of {}", choices.join(", "))),
            Addresses => check_addresses(value),
            Name if value.len() <= 64 => Ok(()),
            Name => Err("a name must have at most 64 bytes".to_owned()),
        }
    }
}

fn check_addresses(value: &str) -> Result<(), String> {
    if value.is_empty() {
        return Ok(());
    }
    for part in value.split(',') {
        if part.parse::<std::net::SocketAddr>().is_err() {
            return Err(format!("{part:?} is not an IP address with a port"));
        }
    }
    Ok(())
}
