//! Errors of the shared types.

use smol_str::SmolStr;

/// The error for text that is not a valid value of a type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is not a valid {expected}; allowed: {allowed}")]
pub struct ParseError {
    /// The name of the expected type, for the error message.
    pub expected: &'static str,
    /// The invalid text, truncated to at most 64 bytes.
    pub found: SmolStr,
    /// A description of the valid values, for the error message.
    pub allowed: &'static str,
}

impl ParseError {
    /// Creates the error and truncates `found`, so that malicious input can't make log lines long.
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
