//! Merging the logs of several processes into the timeline of a request.

use waxwingctl::explain;

const ENTRY: &str = r#"{"timestamp":"2026-01-01T00:00:01.100Z","level":"INFO","event":"request-started","id":"a1","endpoint":"e1","waited_ms":"3"}
not a line of the log
{"timestamp":"2026-01-01T00:00:01.200Z","level":"INFO","event":"request-started","id":"b2","endpoint":"e2"}
{"timestamp":"2026-01-01T00:00:01.900Z","level":"INFO","event":"send-failed","id":"a1","endpoint":"e1","error":"lost: silent"}
{"timestamp":"2026-01-01T00:00:02.000Z","level":"INFO","event":"request-refused","id":"a1","status":502,"reason":"answer-lost"}"#;

const CONTROL: &str = r#"  12.3 core-1 {"timestamp":"2026-01-01T00:00:01.500Z","level":"INFO","event":"endpoint-changed","endpoint":"e1","phase":"Gone"}
  12.3 core-1 {"timestamp":"2026-01-01T00:00:01.500Z","level":"INFO","event":"endpoint-changed","endpoint":"e2","phase":"Gone"}"#;

fn timeline(id: &str) -> explain::RequestTimeline {
    let entry = ENTRY.lines().map(|line| ("entry.log", line));
    let control = CONTROL.lines().map(|line| ("all.log", line));
    explain::build_timeline(id, entry.chain(control))
}

/// Guards against a timeline that misses lines of some process, is out of order, or includes other
/// requests and endpoints that the request did not use.
#[test]
fn lines_of_all_processes_are_merged_in_order() {
    let timeline = timeline("a1");
    let events: Vec<_> = timeline
        .lines
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    let expected = [
        "request-started",
        "endpoint-changed",
        "send-failed",
        "request-refused",
    ];
    assert_eq!(events, expected);
    assert_eq!(timeline.lines[0].source, "entry.log");
    assert_eq!(timeline.lines[1].source, "core-1");
    assert_eq!(timeline.lines[1].fields["phase"], "Gone");
    assert!(timeline.lines.iter().all(|line| !line.meaning.is_empty()));
    let outcome = timeline.outcome.unwrap();
    assert!(outcome.contains("answer-lost 502"), "{outcome}");
}

/// Guards against an invented outcome for a request whose end is not in the logs, and against lines
/// for a request that the logs don't know.
#[test]
fn request_without_an_end_has_no_outcome() {
    let timeline = timeline("b2");
    assert_eq!(timeline.outcome, None);
    assert!(
        explain::build_timeline("c3", ENTRY.lines().map(|line| ("x", line)))
            .lines
            .is_empty()
    );
}
