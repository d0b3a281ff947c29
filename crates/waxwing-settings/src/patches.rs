//! Patches of the settings tree: a map from path to the new value, or to `null` for removal.
//!
//! Paths are written as `/teams/bench/accounts/orders`; names hold no slash, so no escape is
//! needed. A patch travels as JSON, and every process applies it to its own copy of the tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::errors;

/// The longest patch in bytes of JSON.
pub const MAX_PATCH_BYTES: usize = 1024 * 1024;

/// The largest number of paths in one patch.
pub const MAX_PATCH_PATHS: usize = 4_096;

/// The largest number of names in one path; the settings tree is less deep than this.
pub const MAX_PATH_DEPTH: usize = 16;

/// A `SettingsPatch` is a set of changes that are accepted or refused together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SettingsPatch {
    entries: BTreeMap<SmolStr, Value>,
}

impl SettingsPatch {
    /// Reads a patch from JSON and checks its size and paths.
    ///
    /// # Errors
    /// Fails if the bytes are too long, are not a JSON object, or hold paths that are malformed or
    /// lie inside one another.
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

    /// Builds a patch from paths and values; `Value::Null` removes.
    ///
    /// # Errors
    /// Fails if paths are malformed or lie inside one another.
    pub fn from_entries(
        entries: impl IntoIterator<Item = (SmolStr, Value)>,
    ) -> Result<Self, errors::PatchError> {
        let patch = Self {
            entries: entries.into_iter().collect(),
        };
        patch.check()?;
        Ok(patch)
    }

    /// Returns the patch as JSON.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        // A map from text to JSON values always has a JSON form.
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

    /// Applies the patch to a tree. The tree is left half changed on failure, so the caller
    /// applies it to a copy.
    ///
    /// # Errors
    /// Fails if a path runs through a value that is not an object, or if a path to remove is
    /// absent.
    pub fn apply(&self, tree: &mut Value) -> Result<(), errors::PatchError> {
        self.entries
            .iter()
            .try_for_each(|(path, value)| set_path(tree, path, value))
    }

    /// Computes the patch that leads from `old` to `new`. Objects are compared member by member,
    /// everything else is replaced whole.
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
            // The result of nested paths would depend on their order.
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
    let sound = path.starts_with('/') && segments(path).all(|name| !name.is_empty());
    if sound && depth <= MAX_PATH_DEPTH {
        Ok(())
    } else {
        let end = path.floor_char_boundary(128);
        Err(errors::PatchError::Path(SmolStr::new(&path[..end])))
    }
}

fn set_path(tree: &mut Value, path: &SmolStr, value: &Value) -> Result<(), errors::PatchError> {
    let missing = || errors::PatchError::Missing(path.clone());
    let mut node = tree;
    let mut names = segments(path).peekable();
    while let Some(name) = names.next() {
        let map = node
            .as_object_mut()
            .ok_or_else(|| errors::PatchError::NotObject(path.clone()))?;
        if names.peek().is_none() {
            if value.is_null() {
                map.remove(name).ok_or_else(missing)?;
            } else {
                map.insert(name.to_owned(), value.clone());
            }
            return Ok(());
        }
        if value.is_null() {
            node = map.get_mut(name).ok_or_else(missing)?;
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
            Some(before) => collect_diff(entries, path, before, value),
            // An explicit null means the same as an absent value.
            None if value.is_null() => {}
            None => {
                entries.insert(SmolStr::new(&*path), value.clone());
            }
        }
        path.truncate(length);
    }
}
