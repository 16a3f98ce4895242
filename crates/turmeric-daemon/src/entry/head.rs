//! The rows with the prefix `head/`: settings version, entries and partition owners.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_schema::{Message, v1};
use turmeric_store::{RowTag, TableRow};
use turmeric_types::{EntryId, Incarnation, MonoTime, OwnerEpoch, PartitionId, SettingsVersion};

/// Key prefix of all head rows.
pub(crate) const HEAD_PREFIX: &str = "head/";

/// Key of the row with the newest settings version.
pub(crate) const SETTINGS_HEAD_KEY: &str = "head/settings";

/// Time without a change of its row after which an entry counts as failed.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns the key of an entry's heartbeat row.
pub(crate) fn entry_key(entry: &EntryId) -> String {
    format!("head/entry/{entry}")
}

/// Returns the key of a partition's owner row.
pub(crate) fn owner_key(partition: PartitionId) -> String {
    format!("head/owner/{partition}")
}

/// The heartbeat row of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryRow {
    pub(crate) beat: v1::EntryBeat,
    /// When this process last saw the row change.
    pub(crate) changed_at: MonoTime,
}

/// The owner row of a partition.
#[derive(Clone, Debug)]
pub(crate) struct OwnerRow {
    pub(crate) tag: RowTag,
    pub(crate) entry: EntryId,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: OwnerEpoch,
    pub(crate) is_released: bool,
}

/// The head rows as this entry last read them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadView {
    pub(crate) settings: SettingsVersion,
    pub(crate) settings_tag: Option<RowTag>,
    pub(crate) entries: BTreeMap<EntryId, EntryRow>,
    pub(crate) owners: BTreeMap<PartitionId, OwnerRow>,
}

impl HeadView {
    /// Decodes the rows; `earlier` is the view from the previous read.
    ///
    /// A row that cannot be decoded is left out, so that one bad row does not
    /// stop an entry.
    pub(crate) fn read(rows: &[TableRow], earlier: &Self, now: MonoTime) -> Self {
        let mut view = Self::default();
        for row in rows {
            let key = row.key.as_str();
            if key == SETTINGS_HEAD_KEY {
                if let Ok(head) = v1::SettingsHead::decode(row.value.as_slice()) {
                    view.settings = SettingsVersion::new(head.version);
                    view.settings_tag = Some(row.tag);
                }
            } else if let Some(id) = key.strip_prefix("head/entry/") {
                view.read_entry(id, row, earlier, now);
            } else if let Some(number) = key.strip_prefix("head/owner/") {
                view.read_owner(number, row);
            }
        }
        view
    }

    fn read_entry(&mut self, id: &str, row: &TableRow, earlier: &Self, now: MonoTime) {
        let beat = v1::EntryBeat::decode(row.value.as_slice());
        let (Ok(id), Ok(beat)) = (id.parse::<EntryId>(), beat) else {
            return;
        };
        let changed_at = earlier
            .entries
            .get(&id)
            .filter(|known| known.beat == beat)
            .map_or(now, |known| known.changed_at);
        self.entries.insert(id, EntryRow { beat, changed_at });
    }

    fn read_owner(&mut self, number: &str, row: &TableRow) {
        let partition = number.parse().ok().and_then(PartitionId::new);
        let owner = v1::PartitionOwner::decode(row.value.as_slice());
        let (Some(partition), Ok(owner)) = (partition, owner) else {
            return;
        };
        let Ok(entry) = owner.entry.parse() else {
            return;
        };
        let owner = OwnerRow {
            tag: row.tag,
            entry,
            incarnation: Incarnation::new(owner.incarnation),
            epoch: OwnerEpoch::new(owner.epoch),
            is_released: owner.released,
        };
        self.owners.insert(partition, owner);
    }

    /// Returns the entries whose rows changed within the timeout.
    pub(crate) fn live_entries(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&EntryId, &EntryRow)> {
        self.entries
            .iter()
            .filter(move |(_, row)| now <= row.changed_at.after(ENTRY_TIMEOUT))
    }
}
