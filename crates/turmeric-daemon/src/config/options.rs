//! Settings that entries and agents share.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use spdlog::Level;
use turmeric_tasks::LeaseTerms;

use super::FlagSpec;
use super::reader::FlagReader;

/// Minimum and maximum of the setting `task-lease`.
const TASK_LEASE_BOUNDS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(3600));

/// Minimum and maximum of the setting `drain-limit`.
const DRAIN_BOUNDS: (Duration, Duration) = (Duration::ZERO, Duration::from_secs(600));

/// Flags that entries and agents share.
pub(crate) const COMMON_FLAGS: &[FlagSpec] = &[
    FlagSpec {
        name: "listen",
        default: None,
        help: "IP address and port for HTTP, for example 10.0.0.5:7400",
    },
    FlagSpec {
        name: "region",
        default: None,
        help: "Region this process runs in, for example morava",
    },
    FlagSpec {
        name: "zone",
        default: None,
        help: "Availability zone this process runs in, for example morava-a",
    },
    FlagSpec {
        name: "log-form",
        default: Some("text"),
        help: "Format of the log: text, or json for one JSON object per line",
    },
    FlagSpec {
        name: "log-level",
        default: Some("info"),
        help: "Least severe level to log: error, warn, info, debug or trace",
    },
    FlagSpec {
        name: "metrics",
        default: None,
        help: "IP address and port to which metrics are sent over UDP; default: not sent",
    },
    FlagSpec {
        name: "task-lease",
        default: Some("15s"),
        help: "Time for which a task runs without a renewal by its owner; the same for all processes",
    },
    FlagSpec {
        name: "drain-limit",
        default: Some("30s"),
        help: "Maximum time that a planned stop waits for requests in progress",
    },
];

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogForm {
    /// Readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not text or json")),
        }
    }
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogOptions {
    pub(crate) form: LogForm,
    pub(crate) level: Level,
}

/// Settings that entries and agents share.
#[derive(Clone, Debug)]
pub(crate) struct CommonConfig {
    pub(crate) listen: SocketAddr,
    pub(crate) region: String,
    pub(crate) zone: turmeric_types::ZoneName,
    pub(crate) log: LogOptions,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) terms: LeaseTerms,
    pub(crate) drain_limit: Duration,
}

impl CommonConfig {
    /// Reads the settings; findings are kept in the reader.
    pub(crate) fn read(reader: &mut FlagReader<'_>) -> Option<Self> {
        let listen = reader.address("listen");
        let region = reader.value::<turmeric_types::ZoneName>("region");
        let zone = reader.value("zone");
        let form = reader.value("log-form");
        let level = reader.value::<LogLevel>("log-level");
        let metrics = reader.optional("metrics");
        let lease = reader.duration("task-lease", TASK_LEASE_BOUNDS.0, TASK_LEASE_BOUNDS.1);
        let drain_limit = reader.duration("drain-limit", DRAIN_BOUNDS.0, DRAIN_BOUNDS.1);
        Some(Self {
            listen: listen?,
            region: region?.to_string(),
            zone: zone?,
            log: LogOptions {
                form: form?,
                level: level?.0,
            },
            metrics: metrics?,
            terms: LeaseTerms::new(lease?),
            drain_limit: drain_limit?,
        })
    }
}

/// A log level, parsed from its name in a setting.
pub(crate) struct LogLevel(pub(crate) Level);

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let level = match text {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => {
                return Err(format!("{text:?} is not error, warn, info, debug or trace"));
            }
        };
        Ok(Self(level))
    }
}
