//! Settings of the roles on the users' platform.

use std::net::SocketAddr;

use clap::ArgMatches;
use spdlog::Level;
use turmeric_jobs::PolicySet;
use turmeric_platform::BootSettings;
use turmeric_types::FindingList;

use super::FlagSpec;
use super::options::LogLevel;
use super::reader::FlagReader;

/// Flags of a role on the users' platform.
pub(crate) const HOSTED_FLAGS: &[FlagSpec] = &[
    FlagSpec {
        name: "log-level",
        default: Some("info"),
        help: "Least severe level to log: error, warn, info, debug or trace",
    },
    // The second of the ports that published deployments leave to daemons; the
    // first is for links.
    FlagSpec {
        name: "metrics-port",
        default: Some("7721"),
        help: "Port of this VM's IP address on which /metrics is served",
    },
    FlagSpec {
        name: "policies",
        default: None,
        help: "JSON file that names a variant for some policies, e.g. {\"starvation\": \"always\"}",
    },
];

/// Settings of a role on the users' platform.
#[derive(Clone, Debug)]
pub(crate) struct HostedConfig {
    /// Settings that the platform provides to the process.
    pub(crate) boot: BootSettings,
    /// Least severe level to log.
    pub(crate) level: Level,
    /// Address at which metrics are served.
    pub(crate) metrics: SocketAddr,
    /// The scheduler's policies.
    pub(crate) policies: PolicySet,
}

impl HostedConfig {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, FindingList> {
        let mut reader = FlagReader::new(matches);
        let level = reader.value::<LogLevel>("log-level");
        let port = reader.value::<u16>("metrics-port");
        let policies = reader.policies("policies");
        let mut findings = reader.findings;
        let boot = findings.collect("the platform's settings", BootSettings::from_environment());
        let values = level.zip(port).zip(policies).zip(boot);
        let config = values.map(|(((level, port), policies), boot)| Self {
            metrics: SocketAddr::new(boot.ip, port),
            boot,
            level: level.0,
            policies,
        });
        findings.into_result(config)
    }
}
