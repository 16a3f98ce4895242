//! Settings of an entry.

use std::net::SocketAddr;

use clap::ArgMatches;
use turmeric_types::{EntryId, FindingList};

use super::FlagSpec;
use super::options::{COMMON_FLAGS, CommonConfig};
use super::reader::FlagReader;

/// Flags of an entry.
pub(crate) const ENTRY_FLAGS: &[&[FlagSpec]] = &[
    &[
        FlagSpec {
            name: "id",
            default: None,
            help: "Name of this entry, unique in the installation, for example entry-1",
        },
        FlagSpec {
            name: "control",
            default: None,
            help: "IP address and port for the control connections of agents",
        },
        FlagSpec {
            name: "platform",
            default: None,
            help: "IP address and port of the platform's table service and object store",
        },
    ],
    COMMON_FLAGS,
];

/// Settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryConfig {
    pub(crate) common: CommonConfig,
    pub(crate) id: EntryId,
    pub(crate) control: SocketAddr,
    pub(crate) platform: SocketAddr,
}

impl EntryConfig {
    /// Reads the settings of an entry.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, FindingList> {
        let mut reader = FlagReader::new(matches);
        let id = reader.value("id");
        let control = reader.address("control");
        let platform = reader.address("platform");
        let common = CommonConfig::read(&mut reader);
        let config = || {
            Some(Self {
                common: common?,
                id: id?,
                control: control?,
                platform: platform?,
            })
        };
        let config = config();
        reader.findings.into_result(config)
    }
}
