//! Validation of a settings tree before it is accepted: types and ranges against the schema, then
//! references between settings. All findings are reported, not only the first.

use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use waxwing_core::ids;

use crate::{credentials, patches, references, schema, view};

/// Maximum number of findings returned for one tree.
pub const MAX_FINDINGS: usize = 32;

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SettingFinding {
    /// The path of the value in the settings tree.
    pub path: SmolStr,
    /// What was found; secrets and long values are omitted.
    pub found: SmolStr,
    /// What is allowed, with the unit.
    pub allowed: SmolStr,
}

impl SettingFinding {
    /// Creates a finding and truncates long texts, so that hostile input can't inflate responses
    /// and logs.
    #[must_use]
    pub fn new(path: &str, found: &str, allowed: &str) -> Self {
        Self {
            path: truncated(path, 256),
            found: truncated(found, 96),
            allowed: truncated(allowed, 512),
        }
    }
}

impl std::fmt::Display for SettingFinding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            path,
            found,
            allowed,
        } = self;
        write!(formatter, "{path}: found {found}; allowed: {allowed}")
    }
}

/// Validates a whole tree and deserializes it.
///
/// # Errors
/// Returns up to [`MAX_FINDINGS`] values that are not allowed.
pub fn check_tree(tree: &Value) -> Result<view::SettingsTree, Vec<SettingFinding>> {
    let mut checker = TreeChecker::default();
    let specs: Vec<_> = schema::SETTINGS
        .iter()
        .map(|spec| (spec, patches::segments(spec.path).collect()))
        .collect();
    checker.check_node(tree, &mut String::new(), 0, &specs);
    if !checker.findings.is_empty() {
        return Err(checker.findings);
    }
    let typed = serde_json::from_value(tree.clone()).map_err(|error| {
        let detail = error.to_string();
        vec![SettingFinding::new("/", &detail, "a settings tree")]
    })?;
    let findings = references::check(&typed);
    if findings.is_empty() {
        Ok(typed)
    } else {
        Err(findings.into_iter().take(MAX_FINDINGS).collect())
    }
}

/// Settings with their paths split into names.
type Specs<'a> = [(&'a schema::SettingSpec, Vec<&'a str>)];

/// Compares a tree with the schema, node by node.
#[derive(Debug, Default)]
struct TreeChecker {
    findings: Vec<SettingFinding>,
}

impl TreeChecker {
    fn report(&mut self, path: &str, found: &str, allowed: &str) {
        if self.findings.len() < MAX_FINDINGS {
            let path = if path.is_empty() { "/" } else { path };
            self.findings
                .push(SettingFinding::new(path, found, allowed));
        }
    }

    /// Checks the value at `path`. `specs` are the settings whose paths begin with the `depth`
    /// names of `path`.
    fn check_node(&mut self, value: &Value, path: &mut String, depth: usize, specs: &Specs<'_>) {
        if let Some((spec, _)) = specs.iter().find(|(_, names)| names.len() == depth) {
            self.check_leaf(value, path, spec);
            return;
        }
        let Some(map) = value.as_object() else {
            self.report(path, &describe(value), "an object");
            return;
        };
        for (name, child) in map {
            let matching: Vec<_> = specs
                .iter()
                .filter(|(_, names)| names[depth] == name || is_placeholder(names[depth]))
                .cloned()
                .collect();
            let length = path.len();
            path.push('/');
            path.push_str(name);
            match matching.first() {
                None => self.report(path, "an unknown name", &list_names(depth, specs)),
                Some((_, names)) if is_placeholder(names[depth]) && !is_name(name) => {
                    self.report(path, name, "1 to 64 ASCII letters, digits, `-`, `_` or `.`");
                }
                Some(_) => self.check_node(child, path, depth + 1, &matching),
            }
            path.truncate(length);
        }
        let required = specs
            .iter()
            .filter(|(spec, names)| names.len() == depth + 1 && spec.default.is_none());
        for (spec, names) in required {
            if !map.contains_key(names[depth]) {
                let path = format!("{path}/{}", names[depth]);
                self.report(&path, "nothing", &allowed_values(spec));
            }
        }
    }

    fn check_leaf(&mut self, value: &Value, path: &str, spec: &schema::SettingSpec) {
        let absent = value.is_null() && spec.default == Some("none");
        if !absent && !is_allowed(value, spec.kind) {
            let secret = spec.kind == schema::SettingKind::Digests;
            let found = if secret {
                "a value that is not shown".to_owned()
            } else {
                describe(value)
            };
            self.report(path, &found, &allowed_values(spec));
        }
    }
}

/// Tells whether a name in a schema path, such as `{team}`, stands for a name that operators
/// choose.
fn is_placeholder(name: &str) -> bool {
    name.starts_with('{')
}

fn is_name(text: &str) -> bool {
    text.parse::<ids::ProcessName>().is_ok()
}

fn list_names(depth: usize, specs: &Specs<'_>) -> String {
    let mut names: Vec<_> = specs.iter().map(|(_, names)| names[depth]).collect();
    names.sort_unstable();
    names.dedup();
    names.join(", ")
}

fn is_allowed(value: &Value, kind: schema::SettingKind) -> bool {
    match kind {
        schema::SettingKind::Whole(min, max) => value
            .as_u64()
            .is_some_and(|number| (min..=max).contains(&number)),
        schema::SettingKind::Number(min, max) => value
            .as_f64()
            .is_some_and(|number| (min..=max).contains(&number)),
        schema::SettingKind::Text(max) => value.as_str().is_some_and(|text| text.len() <= max),
        schema::SettingKind::Choice(words) => {
            value.as_str().is_some_and(|text| words.contains(&text))
        }
        schema::SettingKind::Name(_) => value.as_str().is_some_and(is_name),
        schema::SettingKind::Names(_) => all_texts(value, 10_000, is_name),
        schema::SettingKind::Methods => all_texts(value, 32, |text| {
            !text.is_empty()
                && text.len() <= 32
                && text.bytes().all(|byte| byte.is_ascii_uppercase())
        }),
        schema::SettingKind::Digests => all_texts(value, 4, |text| {
            text.parse::<credentials::TokenDigest>().is_ok()
        }),
        schema::SettingKind::Paths => all_texts(value, 1_000, |text| {
            text.len() <= 512
                && text.starts_with('/')
                && patches::segments(text).all(|name| !name.is_empty())
        }),
    }
}

/// Tells whether `value` is a list of at most `max_items` strings that `accepts` holds for.
fn all_texts(value: &Value, max_items: usize, accepts: impl Fn(&str) -> bool) -> bool {
    value.as_array().is_some_and(|list| {
        list.len() <= max_items && list.iter().all(|item| item.as_str().is_some_and(&accepts))
    })
}

/// Describes a value for a finding; of a long value only the type and the length are given.
fn describe(value: &Value) -> String {
    match value {
        Value::Object(map) => format!("an object of {} names", map.len()),
        Value::Array(list) if list.len() > 8 => format!("a list of {} values", list.len()),
        Value::String(text) if text.len() > 64 => format!("a text of {} bytes", text.len()),
        other => other.to_string(),
    }
}

/// Describes the values that a setting allows, with their unit.
#[must_use]
pub fn allowed_values(spec: &schema::SettingSpec) -> SmolStr {
    let unit = if spec.unit.is_empty() { "" } else { " " };
    let unit = format_smolstr!("{unit}{}", spec.unit);
    match spec.kind {
        schema::SettingKind::Whole(min, max) => {
            format_smolstr!("a whole number from {min} to {max}{unit}")
        }
        schema::SettingKind::Number(min, max) => {
            format_smolstr!("a number from {min} to {max}{unit}")
        }
        schema::SettingKind::Text(max) => format_smolstr!("a text of at most {max} bytes"),
        schema::SettingKind::Choice(words) => SmolStr::new(words.join(", ")),
        schema::SettingKind::Name(kind) => format_smolstr!("the name of a {}", kind_word(kind)),
        schema::SettingKind::Names(kind) => {
            format_smolstr!("a list of names, each of a {}", kind_word(kind))
        }
        schema::SettingKind::Methods => SmolStr::new("a list of HTTP methods in upper case"),
        schema::SettingKind::Digests => {
            SmolStr::new("a list of at most 4 SHA-256 digests of 64 hexadecimal digits")
        }
        schema::SettingKind::Paths => SmolStr::new("a list of paths such as `/models`"),
    }
}

fn kind_word(kind: schema::NameKind) -> &'static str {
    match kind {
        schema::NameKind::Tier => "tier",
        schema::NameKind::Model => "model",
        schema::NameKind::Service => "service",
        schema::NameKind::Process => "process",
    }
}

fn truncated(text: &str, max_bytes: usize) -> SmolStr {
    SmolStr::new(&text[..text.floor_char_boundary(max_bytes)])
}
