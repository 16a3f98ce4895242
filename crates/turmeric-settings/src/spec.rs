//! The settings that exist, their types, limits and defaults.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of place in the tree, from the top.
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
    /// `true` or `false`.
    Switch,
    /// A whole number with its unit.
    Number {
        /// Smallest value.
        least: u64,
        /// Largest value.
        most: u64,
        /// Unit of the value.
        unit: &'static str,
    },
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A name, or nothing.
    Name,
    /// Addresses and ports separated by commas, or nothing.
    Addresses,
}

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Name, as operators write it.
    pub name: SettingName,
    /// Name as text.
    pub text: &'static str,
    /// Type and limits.
    pub kind: SettingKind,
    /// Value where no node sets one.
    pub default: &'static str,
    /// The lowest level at which it can be set.
    pub lowest: SettingLevel,
    /// What it does.
    pub description: &'static str,
}

macro_rules! settings {
    ($($variant:ident, $text:literal, $kind:expr, $default:literal, $lowest:ident, $description:literal;)*) => {
        /// A setting that exists.
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
        "Whether the place takes new work.";
    RoutingPolicy, "routing-policy",
        Choice(&["round-robin", "random", "least-outstanding", "power-of-two", "expected-latency"]),
        "expected-latency", Service, "How an entry chooses an endpoint for a request.";
    PlacementPolicy, "placement-policy",
        Choice(&["first-fit", "best-fit", "random", "least-interference"]),
        "least-interference", Root, "How an entry chooses a worker for a task.";
    TaskSizes, "task-sizes", Choice(&["declared", "learned"]), "learned", Root,
        "What a task is given: what was declared, or what tasks of its kind were seen to want.";
    SizeMargin, "size-margin",
        Number { least: 0, most: 1_000, unit: "%" }, "15", Root,
        "What a learned size is above the largest use seen.";
    HarmLimit, "harm-limit",
        Number { least: 0, most: 10_000, unit: "%" }, "100", Root,
        "Slowdown of a service up to which batch tasks are placed beside it.";
    EvictionPolicy, "eviction-policy",
        Choice(&["least-work-lost", "newest-first", "largest-first"]),
        "least-work-lost", Root, "Which batch tasks make room for urgent work.";
    LatencyTarget, "latency-target",
        Number { least: 1, most: 60_000, unit: "ms" }, "250", Service,
        "Time within which 99 of 100 requests are to be answered.";
    QueueLimit, "queue-limit",
        Number { least: 1, most: 10_000, unit: "requests" }, "64", Worker,
        "Requests that may wait at one endpoint.";
    BatchSpeed, "batch-speed",
        Number { least: 1, most: 100, unit: "%" }, "100", Worker,
        "Speed of batch tasks on a worker.";
    QuotaCores, "quota-cores",
        Number { least: 0, most: 1_000_000, unit: "cores" }, "1000000", Team,
        "Processors that the running tasks of a team may hold.";
    KeyHomes, "key-homes", Addresses, "", Root,
        "Agents that decide which attempt may run a request with a key; empty: no such request runs.";
    ExperimentName, "experiment-name", Name, "", Service,
        "Name of the experiment that runs here; empty for none.";
    ExperimentPolicy, "experiment-policy",
        Choice(&["round-robin", "random", "least-outstanding", "power-of-two", "expected-latency"]),
        "expected-latency", Service, "Routing policy of arm B; arm A keeps the routing policy.";
    ExperimentShare, "experiment-share",
        Number { least: 1, most: 99, unit: "%" }, "50", Service, "Share of units in arm B.";
    ExperimentUnit, "experiment-unit", Choice(&["request", "caller", "time-slot"]),
        "time-slot", Service, "What is assigned to an arm.";
    ExperimentSlot, "experiment-slot",
        Number { least: 1_000, most: 3_600_000, unit: "ms" }, "10000", Service,
        "Length of a time slot.";
    ExperimentMargin, "experiment-margin",
        Number { least: 0, most: 1_000, unit: "%" }, "25", Service,
        "By how much arm B may break the latency target before it is stopped.";
}

impl SettingName {
    /// Returns the description of the setting.
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
                format!("there is no setting {text:?}; `turmericctl settings list` names them")
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
    /// Checks that the setting exists at `level`.
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
            "{} cannot be set here; the lowest level for it is {:?}",
            self.text, self.lowest
        ))
    }

    /// Checks a value against type and limits.
    pub(crate) fn check_value(&self, value: &str) -> Result<(), String> {
        match self.kind {
            Switch if matches!(value, "true" | "false") => Ok(()),
            Switch => Err(format!("{value:?} is not true or false")),
            Number { least, most, unit } => match value.parse::<u64>() {
                Ok(number) if (least..=most).contains(&number) => Ok(()),
                _ => Err(format!(
                    "{value:?} is not a whole number of {unit} from {least} to {most}"
                )),
            },
            Choice(choices) if choices.contains(&value) => Ok(()),
            Choice(choices) => Err(format!("{value:?} is not one of {}", choices.join(", "))),
            Addresses => check_addresses(value),
            Name if value.len() <= 64 => Ok(()),
            Name => Err("a name has at most 64 bytes".to_owned()),
        }
    }
}

fn check_addresses(value: &str) -> Result<(), String> {
    if value.is_empty() {
        return Ok(());
    }
    for part in value.split(',') {
        if part.parse::<std::net::SocketAddr>().is_err() {
            return Err(format!("{part:?} is not an IP address and port"));
        }
    }
    Ok(())
}
