//! Loading of settings files, which are JSON with comments.

use std::{fs, io::Read as _, path};

use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::errors;

/// Maximum length of a settings file in bytes; the rest of a longer file is ignored.
pub const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;

/// The standard library's error message for an invalid socket address.
const ADDRESS_ERROR: &str = "invalid socket address syntax";

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

/// Parses text as JSON with comments; `name` is the file name for errors.
///
/// # Errors
/// Fails if the text is not JSON with comments, or holds a value that is not allowed.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, errors::SettingsError> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let mut source = serde_json::Deserializer::from_reader(reader);
    let value = serde_path_to_error::deserialize(&mut source).map_err(|error| {
        let path = error.path().to_string();
        convert_error(name, &path, &error.into_inner())
    })?;
    source
        .end()
        .map_err(|error| convert_error(name, "", &error))?;
    Ok(value)
}

/// Converts an error of the parser into one with the path, what was found and what is allowed.
fn convert_error(name: &str, path: &str, error: &serde_json::Error) -> errors::SettingsError {
    let file = SmolStr::new(name);
    let (line, column) = (error.line(), error.column());
    let text = error.to_string();
    let position = format!(" at line {line} column {column}");
    let detail = text.strip_suffix(&position).unwrap_or(&text);
    if !error.is_data() {
        let detail = SmolStr::new(detail);
        return errors::SettingsError::Syntax {
            file,
            line,
            column,
            detail,
        };
    }
    let parts = detail
        .split_once(", expected ")
        .or(detail.split_once("; allowed: "));
    let (found, allowed) = match parts {
        Some(parts) => parts,
        None if detail == ADDRESS_ERROR => ("a text that is no address", "`ip:port`"),
        None => (detail, "a value of the documented form"),
    };
    let names = path.trim_start_matches('.').replace('.', "/");
    errors::SettingsError::Value {
        file,
        path: smol_str::format_smolstr!("/{names} (line {line})"),
        found: SmolStr::new(found),
        allowed: SmolStr::new(allowed),
    }
}
