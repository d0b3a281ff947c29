//! The verdict on each call: whole and in time, or in which way not.

use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;
use waxwing_standin::callers;

use crate::calls::ExpectedAnswer;

/// A `CallVerdict` tells what became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallVerdict {
    /// The whole, right answer came while it was needed.
    Good,
    /// The whole, right answer came after the deadline.
    Late,
    /// An answer that was presented as whole is not the right one.
    Wrong,
    /// The answer ended early and said so.
    Cut {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// The call was refused, and nothing ran.
    NotRun {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// It is not known whether the call ran.
    Unknown {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// The caller went away at its deadline.
    GaveUp,
    /// The connection failed before an answer.
    Failed,
}

/// A `JudgedCall` is a verdict with what the answer tells besides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JudgedCall {
    /// The verdict.
    pub verdict: CallVerdict,
    /// Prompt tokens that were computed for the answer.
    pub computed_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    outcome: SmolStr,
    reason: SmolStr,
}

/// Judges an answer against what was expected.
#[must_use]
pub fn judge(
    expected: &ExpectedAnswer,
    answer: &callers::CallAnswer,
    deadline: Duration,
) -> JudgedCall {
    if !callers::is_answer(answer.status) {
        return JudgedCall {
            verdict: judge_refusal(answer),
            computed_tokens: 0,
        };
    }
    let in_time = answer.total <= deadline;
    match expected {
        ExpectedAnswer::Chat { text, stream, .. } => {
            let reading = if *stream {
                callers::ParsedChat::of_stream(&answer.body)
            } else {
                callers::ParsedChat::of_whole(&answer.body)
            };
            let verdict = judge_chat(text, answer, &reading, in_time);
            JudgedCall {
                verdict,
                computed_tokens: reading.prompt_tokens.saturating_sub(reading.cached_tokens),
            }
        }
        ExpectedAnswer::Record { body, .. } => {
            let right = answer.body == body.as_bytes();
            JudgedCall {
                verdict: whole_verdict(answer.ended, right, in_time),
                computed_tokens: 0,
            }
        }
    }
}

fn judge_chat(
    text: &str,
    answer: &callers::CallAnswer,
    reading: &callers::ParsedChat,
    in_time: bool,
) -> CallVerdict {
    // A stream is presented as whole by its end mark, and only by that.
    if reading.failed || !reading.done {
        let reason = match (reading.reason.is_empty(), answer.ended) {
            (false, _) => reading.reason.clone(),
            (true, false) => SmolStr::new_static("connection-closed"),
            (true, true) => SmolStr::new_static("no-end-mark"),
        };
        return match reading.outcome.as_str() {
            "not-run" => CallVerdict::NotRun { reason },
            _ => CallVerdict::Cut { reason },
        };
    }
    whole_verdict(answer.ended, reading.text == text, in_time)
}

fn whole_verdict(ended: bool, right: bool, in_time: bool) -> CallVerdict {
    match (ended, right, in_time) {
        (false, _, _) => CallVerdict::Cut {
            reason: SmolStr::new_static("connection-closed"),
        },
        (true, false, _) => CallVerdict::Wrong,
        (true, true, true) => CallVerdict::Good,
        (true, true, false) => CallVerdict::Late,
    }
}

fn judge_refusal(answer: &callers::CallAnswer) -> CallVerdict {
    let problem: ProblemBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = if problem.reason.is_empty() {
        smol_str::format_smolstr!("status-{}", answer.status)
    } else {
        problem.reason
    };
    match problem.outcome.as_str() {
        "not-run" => CallVerdict::NotRun { reason },
        _ => CallVerdict::Unknown { reason },
    }
}
