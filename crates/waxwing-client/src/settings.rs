//! The local replica of the settings tree. It is updated by snapshots and deltas and never goes
//! back to an older version.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde_json::Value;
use waxwing_core::ids;
use waxwing_settings::{patches, view};
use waxwing_wire::messages;

/// The result of applying a snapshot or delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsUpdate {
    /// The received version is now in force.
    Applied,
    /// A snapshot of the version in force, or a delta to that version or an older one; nothing
    /// changed.
    Known,
    /// The snapshot is older than the version in force and was rejected.
    Older,
    /// The delta can't be applied to the version in force; a snapshot is needed.
    Gap,
    /// The tree or patch could not be parsed; the version in force stays.
    Invalid,
}

/// The raw settings tree, to which deltas are applied, and the typed view that is shared with the
/// request path.
#[derive(Debug)]
pub struct SettingsReplica {
    tree: Value,
    view: Arc<ArcSwap<view::SettingsView>>,
}

impl SettingsReplica {
    /// Creates a replica with an empty tree that publishes each new version to `view`.
    #[must_use]
    pub fn new(view: Arc<ArcSwap<view::SettingsView>>) -> Self {
        Self {
            tree: Value::Object(serde_json::Map::new()),
            view,
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ids::SettingsVersion {
        self.view.load().version
    }

    /// Replaces the tree with a snapshot, unless its version is not newer than the one in force.
    pub fn apply_snapshot(&mut self, update: &messages::SettingsSnapshot) -> SettingsUpdate {
        let version = ids::SettingsVersion(update.version);
        match version.cmp(&self.version()) {
            std::cmp::Ordering::Less => SettingsUpdate::Older,
            std::cmp::Ordering::Equal => SettingsUpdate::Known,
            std::cmp::Ordering::Greater => match serde_json::from_slice(&update.tree) {
                Ok(tree) => self.install(version, tree),
                Err(_) => SettingsUpdate::Invalid,
            },
        }
    }

    /// Applies a delta whose base is the version in force.
    pub fn apply_delta(&mut self, update: &messages::SettingsDelta) -> SettingsUpdate {
        let version = ids::SettingsVersion(update.version);
        if version <= self.version() {
            return SettingsUpdate::Known;
        }
        if update.base != self.version().0 {
            return SettingsUpdate::Gap;
        }
        let Ok(patch) = patches::SettingsPatch::from_slice(&update.patch) else {
            return SettingsUpdate::Invalid;
        };
        let mut tree = self.tree.clone();
        match patch.apply(&mut tree) {
            Ok(()) => self.install(version, tree),
            Err(_) => SettingsUpdate::Gap,
        }
    }

    fn install(&mut self, version: ids::SettingsVersion, tree: Value) -> SettingsUpdate {
        match serde_json::from_value(tree.clone()) {
            Ok(typed) => {
                self.tree = tree;
                let view = view::SettingsView::new(version, typed);
                self.view.store(Arc::new(view));
                SettingsUpdate::Applied
            }
            Err(_) => SettingsUpdate::Invalid,
        }
    }
}
