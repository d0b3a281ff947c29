//! Errors of the shared types.

use smol_str::SmolStr;

/// A `ParseError` tells which text could not be read as which type, and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is not a valid {expected}; allowed: {allowed}")]
pub struct ParseError {
    /// The type that was asked for, in words.
    pub expected: &'static str,
    /// The text that was found, cut to 64 bytes.
    pub found: SmolStr,
    /// The allowed form, in words.
    pub allowed: &'static str,
}

impl ParseError {
    /// Builds the error and cuts `found`, so that hostile input can't grow a log line.
    #[must_use]
    pub fn new(expected: &'static str, found: &str, allowed: &'static str) -> Self {
        let end = found.floor_char_boundary(64);
        Self {
            expected,
            found: SmolStr::new(&found[..end]),
            allowed,
        }
    }
}
