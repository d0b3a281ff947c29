//! Reading of settings files: JSON with comments.

use std::{fs, io::Read as _, path};

use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::errors;

/// The longest settings file in bytes.
pub const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;

/// Reads a file and parses it.
///
/// # Errors
/// Fails if the file can't be read, is not JSON with comments, or holds a value that is not
/// allowed.
pub fn load<T: DeserializeOwned>(file: &path::Path) -> Result<T, errors::SettingsError> {
    let name = SmolStr::new(file.to_string_lossy());
    let read_error = |error| errors::SettingsError::Read {
        file: name.clone(),
        error,
    };
    let mut text = String::new();
    let source = fs::File::open(file).map_err(read_error)?;
    source
        .take(MAX_FILE_BYTES)
        .read_to_string(&mut text)
        .map_err(read_error)?;
    parse(&name, &text)
}

/// Parses text as JSON with comments; `name` is used in errors.
///
/// # Errors
/// Fails if the text is not JSON with comments, or holds a value that is not allowed.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, errors::SettingsError> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    serde_json::from_reader(reader).map_err(|error| errors::SettingsError::Syntax {
        file: SmolStr::new(name),
        line: error.line(),
        column: error.column(),
        detail: SmolStr::new(error.to_string()),
    })
}
