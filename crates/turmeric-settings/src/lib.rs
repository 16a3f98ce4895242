//! The tree of operator settings.
//!
//! A [`SettingsTree`] contains the values that operators set on its nodes. A
//! node inherits the values of its parent unless it overrides them. This crate
//! does no I/O: the daemon stores the tree in the platform's table service.

mod change;
mod path;
mod spec;
mod tree;

pub use change::{ChangeEdit, ChangeId, ChangeRefusal, SettingsChange};
pub use path::{PathError, SettingsPath};
pub use spec::{SETTING_SPECS, SettingKind, SettingLevel, SettingName, SettingSpec};
pub use tree::{EffectiveSetting, SettingEntry, SettingsTree, ValueChange};
