//! The timeline of one request, merged from the decision logs of several processes.

use std::{
    fs, io,
    io::{BufRead as _, Read as _},
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use serde_json::{Map, Value};
use waxwing_core::events;

/// Fields left out of the field list: they are reported separately, except for the level, which says
/// nothing about the request.
const OMITTED_FIELDS: [&str; 4] = ["timestamp", "level", "event", "id"];

/// One logged decision in the timeline of a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TimelineEntry {
    /// The timestamp, as the process logged it.
    pub timestamp: String,
    /// The name of the log file, or the last word before the JSON object in a log that merges several
    /// processes.
    pub source: String,
    /// The name of the event.
    pub event: String,
    /// What the event means.
    pub meaning: String,
    /// The remaining fields: the inputs and the outcome of the decision.
    pub fields: Map<String, Value>,
}

/// Everything that the logs contain about one request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct RequestTimeline {
    /// The id of the request.
    pub id: String,
    /// The logged decisions in order of time.
    pub lines: Vec<TimelineEntry>,
    /// How the request ended; `None` if no log line ends it.
    pub outcome: Option<String>,
}

/// A parsed line of a decision log.
struct LogLine {
    source: String,
    fields: Map<String, Value>,
}

fn parse_line(file: &str, text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields = serde_json::from_str(&text[start..]).ok()?;
    let prefix = text[..start].split_whitespace().last();
    Some(LogLine {
        source: prefix.unwrap_or(file).to_owned(),
        fields,
    })
}

fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

/// Builds the timeline of a request from pairs of file name and log line. It includes the state
/// changes of the endpoints that the request used.
pub fn build_timeline<'a>(
    id: &str,
    lines: impl Iterator<Item = (&'a str, &'a str)>,
) -> RequestTimeline {
    let mut request_lines = Vec::new();
    let mut endpoint_changes = Vec::new();
    for (file, text) in lines {
        let Some(line) = parse_line(file, text) else {
            continue;
        };
        if field_text(&line.fields, "id") == id {
            request_lines.push(line);
        } else if field_text(&line.fields, "event") == "endpoint-changed" {
            endpoint_changes.push(line);
        }
    }
    let endpoints: Vec<_> = request_lines
        .iter()
        .map(|line| field_text(&line.fields, "endpoint"))
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    endpoint_changes.retain(|line| endpoints.contains(&field_text(&line.fields, "endpoint")));
    let mut lines: Vec<_> = request_lines
        .into_iter()
        .chain(endpoint_changes)
        .map(timeline_entry)
        .collect();
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    let is_terminal =
        |line: &&TimelineEntry| events::find(&line.event).is_some_and(|event| event.ends_request);
    let outcome = lines.iter().rev().find(is_terminal).map(describe_outcome);
    RequestTimeline {
        id: id.to_owned(),
        lines,
        outcome,
    }
}

fn timeline_entry(line: LogLine) -> TimelineEntry {
    let event = field_text(&line.fields, "event");
    let meaning = events::find(&event).map_or("", |event| event.meaning);
    let mut fields = line.fields;
    let timestamp = field_text(&fields, "timestamp");
    fields.retain(|name, _| !OMITTED_FIELDS.contains(&name.as_str()));
    TimelineEntry {
        timestamp,
        source: line.source,
        meaning: meaning.to_owned(),
        event,
        fields,
    }
}

fn describe_outcome(line: &TimelineEntry) -> String {
    let reason = field_text(&line.fields, "reason");
    let status = field_text(&line.fields, "status");
    let detail = [reason, status].join(" ");
    format!("{} ({}): {}", line.event, detail.trim(), line.meaning)
}

/// Reads the logs and prints the timeline; returns whether the request was found. Without files,
/// standard input is read.
///
/// # Errors
/// Fails if a file can't be read or standard input is not UTF-8.
pub fn run(id: &str, files: &[PathBuf], json: bool) -> anyhow::Result<bool> {
    let texts = read_all(files)?;
    let lines = texts
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |line| (name.as_str(), line)));
    let timeline = build_timeline(id, lines);
    if json {
        println!("{}", serde_json::to_string_pretty(&timeline)?);
    } else {
        print_timeline(&timeline);
    }
    Ok(!timeline.lines.is_empty())
}

fn read_all(files: &[PathBuf]) -> anyhow::Result<Vec<(String, String)>> {
    if files.is_empty() {
        let mut text = String::new();
        for line in io::stdin().lock().lines() {
            text.push_str(&line?);
            text.push('\n');
        }
        return Ok(vec![("standard input".to_owned(), text)]);
    }
    files.iter().map(|file| read(file)).collect()
}

fn read(file: &Path) -> anyhow::Result<(String, String)> {
    let mut bytes = Vec::new();
    fs::File::open(file)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .with_context(|| file.display().to_string())?;
    let name = file.file_name().unwrap_or(file.as_os_str());
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok((name.to_string_lossy().into_owned(), text))
}

fn print_timeline(timeline: &RequestTimeline) {
    for line in &timeline.lines {
        let fields: Vec<_> = line
            .fields
            .keys()
            .map(|name| format!("{name}={}", field_text(&line.fields, name)))
            .collect();
        println!(
            "{}  {}  {}  {}",
            line.timestamp,
            line.source,
            line.event,
            fields.join(" ")
        );
        println!("    {}", line.meaning);
    }
    match &timeline.outcome {
        Some(outcome) => println!("outcome: {outcome}"),
        None => println!(
            "outcome: unknown; no log line ends the request. The entry may have been killed, or the \
             line was dropped (see lines-left-out)"
        ),
    }
}
