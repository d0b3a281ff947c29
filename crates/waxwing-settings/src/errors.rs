//! Errors of settings. They name the file, the path in the tree, what was found and what is
//! allowed, so that an operator can correct a setting without reading code.

use std::io;

use smol_str::SmolStr;

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {error}")]
    Read {
        /// The path of the file.
        file: SmolStr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The text is not JSON with comments.
    #[error("{file}: line {line}, column {column}: {detail}")]
    Syntax {
        /// The path of the file.
        file: SmolStr,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The message of the parser.
        detail: SmolStr,
    },
    /// A value is not allowed.
    #[error("{file}: {path}: found {found}; allowed: {allowed}")]
    Value {
        /// The path of the file, or `settings tree`.
        file: SmolStr,
        /// The path in the tree, such as `/teams/bench/accounts/orders/weight`.
        path: SmolStr,
        /// What was found, without secrets.
        found: SmolStr,
        /// What is allowed.
        allowed: SmolStr,
    },
}

/// Why a patch can't be parsed or applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The patch is longer than the limit.
    #[error("a patch of {found} bytes is over the limit of {allowed} bytes")]
    TooLong {
        /// The length in bytes.
        found: usize,
        /// The maximum length in bytes.
        allowed: usize,
    },
    /// The patch has too many paths.
    #[error("a patch of {found} paths is over the limit of {allowed} paths")]
    TooManyPaths {
        /// The number of paths.
        found: usize,
        /// The maximum number of paths.
        allowed: usize,
    },
    /// The bytes are not a JSON object.
    #[error("the patch is not a JSON object of paths and values: {0}")]
    Syntax(SmolStr),
    /// A path is malformed.
    #[error("`{0}` is not a path; allowed: `/name/name…` without empty names")]
    Path(SmolStr),
    /// A path is nested in another path of the patch.
    #[error("{0}: lies inside another path of the same patch")]
    Nested(SmolStr),
    /// A parent on the path is not an object.
    #[error("{0}: runs through a value that is not an object")]
    NotObject(SmolStr),
    /// A path to remove doesn't exist.
    #[error("{0}: can't be removed since it is absent")]
    Missing(SmolStr),
}

impl PatchError {
    /// Returns the path that the error concerns, or `/` if it concerns the patch as a whole.
    #[must_use]
    pub fn path(&self) -> &str {
        match self {
            Self::TooLong { .. } | Self::TooManyPaths { .. } | Self::Syntax(_) => "/",
            Self::Path(path) | Self::Nested(path) | Self::NotObject(path) | Self::Missing(path) => {
                path
            }
        }
    }
}
