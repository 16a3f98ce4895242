//! The tree of operator settings.
//!
//! A [`SettingsTree`] holds the values that operators set on nodes. A node
//! inherits from its parent and overrides only what differs. The tree is
//! pure: the daemon keeps it in the platform's table service.

mod change;
mod path;
mod spec;
mod tree;

pub use change::{ChangeEdit, ChangeId, ChangeRefusal, SettingsChange};
pub use path::{PathError, SettingsPath};
pub use spec::{SETTING_SPECS, SettingKind, SettingLevel, SettingName, SettingSpec};
pub use tree::{EffectiveSetting, SettingEntry, SettingsTree, ValueChange};
