//! The story of one request, joined from the decision logs of several processes.

use std::{
    fs, io,
    io::{BufRead as _, Read as _},
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use serde_json::{Map, Value};
use waxwing_core::events;

/// Fields that stand in columns of their own or say nothing to a reader.
const OWN_FIELDS: [&str; 4] = ["timestamp", "level", "event", "id"];

/// A `StoryLine` is one decision in the story of a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct StoryLine {
    /// When, as the process wrote it.
    pub timestamp: String,
    /// The file, or what stands before the line in a joined log.
    pub source: String,
    /// The event.
    pub event: String,
    /// What the event means.
    pub meaning: String,
    /// The inputs and the outcome.
    pub fields: Map<String, Value>,
}

/// A `RequestStory` is what the logs tell of one request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct RequestStory {
    /// The id of the request.
    pub id: String,
    /// The lines in order of time.
    pub lines: Vec<StoryLine>,
    /// How it ended, if the logs tell.
    pub outcome: Option<String>,
}

/// A `LogLine` is a line of a decision log.
struct LogLine {
    source: String,
    fields: Map<String, Value>,
}

fn parse(file: &str, text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields = serde_json::from_str(&text[start..]).ok()?;
    let prefix = text[..start].split_whitespace().last();
    Some(LogLine {
        source: prefix.unwrap_or(file).to_owned(),
        fields,
    })
}

fn text_of(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

/// Joins the lines of a request. Changes of the endpoints that it met are part of the story.
pub fn join<'a>(id: &str, lines: impl Iterator<Item = (&'a str, &'a str)>) -> RequestStory {
    let mut own = Vec::new();
    let mut changes = Vec::new();
    for (file, text) in lines {
        let Some(line) = parse(file, text) else {
            continue;
        };
        if text_of(&line.fields, "id") == id {
            own.push(line);
        } else if text_of(&line.fields, "event") == "endpoint-changed" {
            changes.push(line);
        }
    }
    let met: Vec<_> = own
        .iter()
        .map(|line| text_of(&line.fields, "endpoint"))
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    changes.retain(|line| met.contains(&text_of(&line.fields, "endpoint")));
    let mut lines: Vec<_> = own.into_iter().chain(changes).map(story_line).collect();
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    let ends =
        |line: &&StoryLine| events::find(&line.event).is_some_and(|event| event.ends_request);
    let outcome = lines.iter().rev().find(ends).map(outcome);
    RequestStory {
        id: id.to_owned(),
        lines,
        outcome,
    }
}

fn story_line(line: LogLine) -> StoryLine {
    let event = text_of(&line.fields, "event");
    let meaning = events::find(&event).map_or("", |event| event.meaning);
    let mut fields = line.fields;
    let timestamp = text_of(&fields, "timestamp");
    fields.retain(|name, _| !OWN_FIELDS.contains(&name.as_str()));
    StoryLine {
        timestamp,
        source: line.source,
        meaning: meaning.to_owned(),
        event,
        fields,
    }
}

fn outcome(line: &StoryLine) -> String {
    let reason = text_of(&line.fields, "reason");
    let status = text_of(&line.fields, "status");
    let detail = [reason, status].join(" ");
    format!("{} ({}): {}", line.event, detail.trim(), line.meaning)
}

/// Reads the logs and prints the story; returns whether the request was found.
///
/// # Errors
/// Fails if a file can't be read.
pub fn run(id: &str, files: &[PathBuf], json: bool) -> anyhow::Result<bool> {
    let texts = read_all(files)?;
    let lines = texts
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |line| (name.as_str(), line)));
    let story = join(id, lines);
    if json {
        println!("{}", serde_json::to_string_pretty(&story)?);
    } else {
        print(&story);
    }
    Ok(!story.lines.is_empty())
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

fn print(story: &RequestStory) {
    for line in &story.lines {
        let fields: Vec<_> = line
            .fields
            .keys()
            .map(|name| format!("{name}={}", text_of(&line.fields, name)))
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
    match &story.outcome {
        Some(outcome) => println!("outcome: {outcome}"),
        None => println!(
            "outcome: no line tells; the entry may have been killed, or the line was left out \
             (see lines-left-out)"
        ),
    }
}
