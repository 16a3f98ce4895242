//! Settings of an agent.

use std::net::SocketAddr;

use clap::ArgMatches;
use turmeric_types::{FindingList, WorkerId};

use super::FlagSpec;
use super::options::{COMMON_FLAGS, CommonConfig};
use super::reader::FlagReader;

/// Flags of an agent.
pub(crate) const AGENT_FLAGS: &[&[FlagSpec]] = &[
    &[
        FlagSpec {
            name: "worker",
            default: None,
            help: "Name of the worker beside which this agent runs, for example w1",
        },
        FlagSpec {
            name: "worker-address",
            default: None,
            help: "IP address and port of the worker's interface",
        },
        FlagSpec {
            name: "rack",
            default: None,
            help: "Rack of the worker, for example r1",
        },
        FlagSpec {
            name: "advertise",
            default: None,
            help: "IP address and port at which entries reach this agent; default: --listen",
        },
        FlagSpec {
            name: "entries",
            default: None,
            help: "Control addresses of all entries, separated by commas",
        },
    ],
    COMMON_FLAGS,
];

/// Settings of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentConfig {
    pub(crate) common: CommonConfig,
    pub(crate) worker: WorkerId,
    pub(crate) worker_address: SocketAddr,
    pub(crate) rack: String,
    pub(crate) entries: Vec<SocketAddr>,
    /// Address that the agent announces to entries.
    pub(crate) advertise: SocketAddr,
}

impl AgentConfig {
    /// Reads the settings of an agent.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, FindingList> {
        let mut reader = FlagReader::new(matches);
        let worker = reader.value("worker");
        let worker_address = reader.address("worker-address");
        let rack = reader.value::<WorkerId>("rack");
        let entries = reader.addresses("entries");
        let advertise = reader.optional::<SocketAddr>("advertise");
        let common = CommonConfig::read(&mut reader);
        let config = || {
            let common = common?;
            Some(Self {
                advertise: advertise?.unwrap_or(common.listen),
                common,
                worker: worker?,
                worker_address: worker_address?,
                rack: rack?.to_string(),
                entries: entries?,
            })
        };
        let config = config();
        reader.findings.into_result(config)
    }
}
