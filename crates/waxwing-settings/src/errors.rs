//! Errors of settings; each names the file, the path in the tree, what was found and what is
//! allowed, so that an operator can mend the setting without reading code.

use std::io;

use smol_str::SmolStr;

/// A `SettingsError` tells why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {error}")]
    Read {
        /// The path of the file.
        file: SmolStr,
        /// What the operating system said.
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
        /// What the parser said.
        detail: SmolStr,
    },
    /// A value is not allowed.
    #[error("{file}: {path}: found {found}; allowed: {allowed}")]
    Value {
        /// The path of the file, or `settings tree`.
        file: SmolStr,
        /// The path in the tree, such as `/teams/bench/accounts/orders/weight`.
        path: SmolStr,
        /// What was found, with secrets left out.
        found: SmolStr,
        /// What is allowed.
        allowed: SmolStr,
    },
}
