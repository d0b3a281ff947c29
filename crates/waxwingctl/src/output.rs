//! Human-readable output. With `--json` the responses of the operators' interface are printed as JSON
//! instead.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;
use waxwing_settings::operations;

/// Builds a table with a header and no rows.
#[must_use]
pub fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(presets::UTF8_BORDERS_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.to_vec());
    table
}

/// Describes the result of a submitted change.
#[must_use]
pub fn describe_answer(answer: &operations::ChangeAnswer) -> String {
    match answer {
        operations::ChangeAnswer::Changed { version } => {
            format!("accepted; the version is {version}")
        }
        operations::ChangeAnswer::Checked { version } => {
            format!("passes every check against version {version}; nothing was changed")
        }
        operations::ChangeAnswer::Conflict { version, winner } => match winner {
            Some(winner) => format!(
                "conflict: change {} by {} won on version {}; the version in force is {version}",
                winner.id, winner.operator, winner.base
            ),
            None => format!("conflict: the version in force is {version}"),
        },
        operations::ChangeAnswer::Refused { findings } => {
            let lines = findings.iter().map(|finding| format!("\n  {finding}"));
            format!("refused:{}", lines.collect::<String>())
        }
        operations::ChangeAnswer::Forbidden { path, operator } => {
            format!("forbidden: {operator} may not change {path}")
        }
    }
}

/// Builds the table of accepted changes, one row a change.
#[must_use]
pub fn history_table(changes: &[operations::ChangeRecord]) -> Table {
    let mut table = new_table(&["version", "base", "operator", "at (ms since 1970)", "paths"]);
    for change in changes {
        let patch = change.patch.as_ref().and_then(Value::as_object);
        let paths: Vec<_> = patch
            .into_iter()
            .flat_map(|patch| patch.keys().map(String::as_str))
            .collect();
        table.add_row([
            change.version.to_string(),
            change.base.to_string(),
            change.operator.clone(),
            change.at_ms.to_string(),
            paths.join("\n"),
        ]);
    }
    table
}

/// Renders the status of control hosts and processes as text.
#[must_use]
pub fn status_text(status: &operations::StatusAnswer) -> String {
    let mut members = new_table(&[
        "control host",
        "kind",
        "leads",
        "data centre",
        "link",
        "http",
    ]);
    for member in &status.members {
        members.add_row([
            member.name.clone(),
            if member.voter { "voter" } else { "learner" }.to_owned(),
            if member.leads { "yes" } else { "" }.to_owned(),
            member.data_centre.clone(),
            member.link.clone(),
            member.http.clone(),
        ]);
    }
    let mut processes = new_table(&[
        "process",
        "kind",
        "data centre",
        "version",
        "state",
        "models",
    ]);
    for process in &status.processes {
        let draining = status.draining.contains(&process.name);
        let conflict = status.name_conflicts.contains(&process.name);
        let state = [
            (process.lagging, "lagging"),
            (draining, "draining"),
            (process.leaving, "leaving"),
            (conflict, "name-conflict"),
        ];
        let state: Vec<_> = state
            .iter()
            .filter_map(|(applies, flag)| applies.then_some(*flag))
            .collect();
        processes.add_row([
            process.name.clone(),
            process.kind.clone(),
            process.data_centre.clone(),
            process.version.to_string(),
            state.join(", "),
            process.models.join(", "),
        ]);
    }
    let lagging = status.processes.iter().filter(|process| process.lagging);
    format!(
        "answered by {}{}\nsettings version {}, {} lagging; leader {}, term {}, fencing number {}; {} claims\n{members}\n{processes}",
        status.host,
        if status.confirmed {
            ""
        } else {
            " (not confirmed by a quorum; may be old)"
        },
        status.version,
        lagging.count(),
        status.leader.as_deref().unwrap_or("unknown"),
        status.term,
        status.fencing,
        status.claims,
    )
}

/// Builds a table of named settings from rows of team, name and value; the team is empty for settings
/// of the whole fleet.
#[must_use]
pub fn named_table(rows: &[(String, String, Value)]) -> Table {
    let mut table = new_table(&["team", "name", "settings"]);
    for (team, name, value) in rows {
        table.add_row([team.clone(), name.clone(), value.to_string()]);
    }
    table
}
