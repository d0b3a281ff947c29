//! Generates the operators' page of all settings from the schema.

use std::fmt::Write as _;

use crate::{checks, schema};

/// Returns the content of `docs/operations/settings.md`.
#[must_use]
pub fn settings_page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Every setting of the agreed tree, made from the schema by \
         `cargo run -p waxwing-settings --example settings_page`. `{…}` stands for a name. A change \
         is checked whole before it is accepted; a refusal names the path, what was found and \
         what is allowed. Root owns everything outside of `/teams/{team}`.\n\n\
         | path | allowed | default | meaning |\n|---|---|---|---|\n",
    );
    for spec in schema::SETTINGS {
        let default = match spec.default {
            None => "must be given".to_owned(),
            Some("") => "empty".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        let allowed = checks::allowed_values(spec);
        let (path, meaning) = (spec.path, spec.meaning);
        let _ = writeln!(page, "| `{path}` | {allowed} | {default} | {meaning} |");
    }
    page
}
