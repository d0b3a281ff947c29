//! The settings in force at this process, and how current they are.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use waxwing_core::{counters, ids};
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::routes;

/// Time without contact after which settings count as stale: an accepted change is in force
/// everywhere within it.
pub const STALE_AFTER: Duration = Duration::from_secs(8);

/// A `Freshness` tells how current the settings are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No settings were received.
    Absent,
    /// Control was heard within [`STALE_AFTER`].
    Current,
    /// Control was not heard for a while; no claims are made.
    Stale,
    /// Control was not heard for longer than the limit; requests are refused.
    Expired,
}

#[derive(Debug, Default)]
struct TreeState {
    tree: serde_json::Value,
    version: u64,
}

/// A `SettingsState` holds the newest settings. A request takes the view once and keeps it.
#[derive(Debug)]
pub struct SettingsState {
    view: ArcSwapOption<view::SettingsView>,
    tree: Mutex<TreeState>,
    heard: Mutex<Option<Instant>>,
    counters: counters::CounterSet,
}

/// A `DeltaResult` tells what became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaResult {
    /// The change is in force, or was before.
    Taken,
    /// The change doesn't fit; the whole tree is needed.
    NeedsSnapshot,
}

impl SettingsState {
    /// Builds a state without settings.
    #[must_use]
    pub fn new(counters: counters::CounterSet) -> Self {
        Self {
            view: ArcSwapOption::empty(),
            tree: Mutex::default(),
            heard: Mutex::default(),
            counters,
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn view(&self) -> Option<Arc<view::SettingsView>> {
        self.view.load_full()
    }

    /// Returns the version in force; zero for none.
    #[must_use]
    pub fn version(&self) -> ids::SettingsVersion {
        self.view
            .load()
            .as_ref()
            .map_or(ids::SettingsVersion(0), |view| view.version)
    }

    /// Notes that control was heard.
    pub fn hear(&self, now: Instant) {
        *routes::lock(&self.heard) = Some(now);
    }

    /// Tells how current the settings are.
    #[must_use]
    pub fn freshness(&self, now: Instant) -> Freshness {
        let heard = *routes::lock(&self.heard);
        let (Some(view), Some(heard)) = (self.view.load_full(), heard) else {
            return Freshness::Absent;
        };
        let silent = now.saturating_duration_since(heard);
        let limit = Duration::from_secs(view.tree.fleet.stale_settings_limit_s);
        if silent <= STALE_AFTER {
            Freshness::Current
        } else if silent <= limit {
            Freshness::Stale
        } else {
            Freshness::Expired
        }
    }

    /// Takes a whole tree into force, unless it is older than the one in force.
    pub fn take_snapshot(&self, snapshot: &messages::SettingsSnapshot) {
        let mut state = routes::lock(&self.tree);
        if self.is_old(&state, snapshot.version) {
            return;
        }
        match serde_json::from_slice(&snapshot.tree) {
            Ok(tree) => {
                self.put(&mut state, tree, snapshot.version);
            }
            Err(error) => tracing::error!(%error, "the settings tree from control is not JSON"),
        }
    }

    /// Takes one change into force.
    pub fn take_delta(&self, delta: &messages::SettingsDelta) -> DeltaResult {
        let mut state = routes::lock(&self.tree);
        if self.is_old(&state, delta.version) {
            return DeltaResult::Taken;
        }
        let patch = serde_json::from_slice::<serde_json::Map<_, _>>(&delta.patch);
        let (Ok(patch), true) = (patch, delta.base == state.version) else {
            return DeltaResult::NeedsSnapshot;
        };
        let mut tree = state.tree.clone();
        let applied = patch
            .into_iter()
            .all(|(path, value)| apply_path(&mut tree, &path, value));
        if applied && self.put(&mut state, tree, delta.version) {
            DeltaResult::Taken
        } else {
            DeltaResult::NeedsSnapshot
        }
    }

    fn is_old(&self, state: &TreeState, version: u64) -> bool {
        let old = version < state.version;
        if old {
            self.counters
                .count(counters::CounterEvent::SettingsOldRefused);
        }
        old || (version == state.version && version > 0)
    }

    fn put(&self, state: &mut TreeState, tree: serde_json::Value, version: u64) -> bool {
        match serde_json::from_value::<view::SettingsTree>(tree.clone()) {
            Ok(typed) => {
                let version_id = ids::SettingsVersion(version);
                let view = view::SettingsView::new(version_id, typed);
                *state = TreeState { tree, version };
                self.view.store(Some(Arc::new(view)));
                self.counters.count(counters::CounterEvent::SettingsApplied);
                true
            }
            Err(error) => {
                tracing::error!(%error, version, "the settings tree can't be read; kept the former");
                false
            }
        }
    }
}

/// Sets or removes one value; tells whether the path is valid.
fn apply_path(tree: &mut serde_json::Value, path: &str, value: serde_json::Value) -> bool {
    let mut place = tree;
    let mut names = path.split('/');
    if names.next() != Some("") {
        return false;
    }
    let mut names = names
        .map(|name| name.replace("~1", "/").replace("~0", "~"))
        .peekable();
    while let Some(name) = names.next() {
        if place.is_null() {
            *place = serde_json::Value::Object(serde_json::Map::new());
        }
        let Some(object) = place.as_object_mut() else {
            return false;
        };
        if names.peek().is_none() {
            if value.is_null() {
                object.remove(&name);
            } else {
                object.insert(name, value);
            }
            return true;
        }
        place = object.entry(name).or_insert(serde_json::Value::Null);
    }
    false
}
