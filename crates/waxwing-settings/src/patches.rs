//! Patches of the settings tree: a map from path to the new value, or to `null` to remove it.
//!
//! Paths are written as `/teams/bench/accounts/orders`; names contain no slash, so no escaping is
//! needed. Patches are sent as JSON, and every process applies them to its own copy of the tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::errors;

/// Maximum length of a patch in bytes of JSON.
pub const MAX_PATCH_BYTES: usize = 1024 * 1024;

/// Maximum number of paths in a patch.
pub const MAX_PATCH_PATHS: usize = 4_096;

/// Maximum number of names in a path; the settings tree is less deep than this.
pub const MAX_PATH_DEPTH: usize = 16;

/// A set of changes that are accepted or refused atomically.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SettingsPatch {
    entries: BTreeMap<SmolStr, Value>,
}

impl SettingsPatch {
    /// Parses a patch from JSON and checks its size and paths.
    ///
    /// # Errors
    /// Fails if `bytes` is too long or not a JSON object, or if there are too many paths or paths
    /// that are malformed or nested in one another.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, errors::PatchError> {
        if bytes.len() > MAX_PATCH_BYTES {
            return Err(errors::PatchError::TooLong {
                found: bytes.len(),
                allowed: MAX_PATCH_BYTES,
            });
        }
        let patch: Self = serde_json::from_slice(bytes)
            .map_err(|error| errors::PatchError::Syntax(SmolStr::new(error.to_string())))?;
        patch.check()?;
        Ok(patch)
    }

    /// Creates a patch from paths and values; `Value::Null` removes a path.
    ///
    /// # Errors
    /// Fails if there are too many paths, or paths that are malformed or nested in one another.
    pub fn from_entries(
        entries: impl IntoIterator<Item = (SmolStr, Value)>,
    ) -> Result<Self, errors::PatchError> {
        let patch = Self {
            entries: entries.into_iter().collect(),
        };
        patch.check()?;
        Ok(patch)
    }

    /// Serializes the patch as JSON.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        // A map from strings to JSON values can always be serialized.
        serde_json::to_vec(&self.entries).unwrap_or_default()
    }

    /// Returns each path with its new value.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Value)> {
        self.entries
            .iter()
            .map(|(path, value)| (path.as_str(), value))
    }

    /// Tells whether the patch changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies the patch to a tree. A failure leaves the tree partially changed, so apply the patch
    /// to a copy.
    ///
    /// # Errors
    /// Fails if a parent on a path is not an object, or if a path to remove doesn't exist.
    pub fn apply(&self, tree: &mut Value) -> Result<(), errors::PatchError> {
        self.entries
            .iter()
            .try_for_each(|(path, value)| set_path(tree, path, value))
    }

    /// Computes the patch that turns `old` into `new`. Objects are compared member by member; all
    /// other values are replaced as a whole.
    #[must_use]
    pub fn diff(old: &Value, new: &Value) -> Self {
        let mut entries = BTreeMap::new();
        collect_diff(&mut entries, &mut String::new(), old, new);
        Self { entries }
    }

    fn check(&self) -> Result<(), errors::PatchError> {
        if self.entries.len() > MAX_PATCH_PATHS {
            return Err(errors::PatchError::TooManyPaths {
                found: self.entries.len(),
                allowed: MAX_PATCH_PATHS,
            });
        }
        for path in self.entries.keys() {
            check_path(path)?;
            // With nested paths the result would depend on the order in which they are applied.
            let parents = path.match_indices('/').skip(1).map(|(end, _)| &path[..end]);
            for parent in parents {
                if self.entries.contains_key(parent) {
                    return Err(errors::PatchError::Nested(path.clone()));
                }
            }
        }
        Ok(())
    }
}

/// Splits a path into its names.
pub fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').skip(1)
}

fn check_path(path: &SmolStr) -> Result<(), errors::PatchError> {
    let depth = segments(path).count();
    let well_formed = path.starts_with('/') && segments(path).all(|name| !name.is_empty());
    if well_formed && depth <= MAX_PATH_DEPTH {
        Ok(())
    } else {
        let end = path.floor_char_boundary(128);
        Err(errors::PatchError::Path(SmolStr::new(&path[..end])))
    }
}

fn set_path(tree: &mut Value, path: &SmolStr, value: &Value) -> Result<(), errors::PatchError> {
    let missing_error = || errors::PatchError::Missing(path.clone());
    let mut node = tree;
    let mut names = segments(path).peekable();
    while let Some(name) = names.next() {
        let map = node
            .as_object_mut()
            .ok_or_else(|| errors::PatchError::NotObject(path.clone()))?;
        if names.peek().is_none() {
            if value.is_null() {
                map.remove(name).ok_or_else(missing_error)?;
            } else {
                map.insert(name.to_owned(), value.clone());
            }
            return Ok(());
        }
        if value.is_null() {
            node = map.get_mut(name).ok_or_else(missing_error)?;
        } else {
            node = map
                .entry(name.to_owned())
                .or_insert_with(|| Value::Object(Map::new()));
        }
    }
    Ok(())
}

fn collect_diff(
    entries: &mut BTreeMap<SmolStr, Value>,
    path: &mut String,
    old: &Value,
    new: &Value,
) {
    if old == new {
        return;
    }
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else {
        entries.insert(SmolStr::new(&*path), new.clone());
        return;
    };
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    for name in removed {
        entries.insert(SmolStr::new(format!("{path}/{name}")), Value::Null);
    }
    for (name, value) in new {
        let length = path.len();
        path.push('/');
        path.push_str(name);
        match old.get(name) {
            Some(old_value) => collect_diff(entries, path, old_value, value),
            // A null value is equivalent to an absent one.
            None if value.is_null() => {}
            None => {
                entries.insert(SmolStr::new(&*path), value.clone());
            }
        }
        path.truncate(length);
    }
}
