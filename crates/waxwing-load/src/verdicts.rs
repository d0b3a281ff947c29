//! Checks the response to each call against the expected answer and deadline.

use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;
use waxwing_standin::callers;

use crate::calls::ExpectedAnswer;

/// Outcome of a call, as observed by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallVerdict {
    /// The answer is complete and correct and came before the deadline.
    Good,
    /// The answer is complete and correct and came after the deadline.
    Late,
    /// The answer was presented as complete and is incorrect.
    Wrong,
    /// The answer ended early and is recognisably incomplete.
    Cut {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// The call was refused with the outcome that nothing was executed.
    NotRun {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// The call was refused, and it is unknown whether it was executed.
    Unknown {
        /// The reason that was given.
        reason: SmolStr,
    },
    /// The caller closed the connection after the deadline.
    GaveUp,
    /// The connection failed before a response.
    Failed,
}

/// The verdict on a response, with the token usage that it reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedCall {
    /// The verdict on the call.
    pub verdict: CallVerdict,
    /// Prompt tokens computed for the answer, without those found in the prefix cache.
    pub computed_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    outcome: SmolStr,
    reason: SmolStr,
}

/// Checks a response against the expected answer and the deadline.
#[must_use]
pub fn check(
    expected: &ExpectedAnswer,
    answer: &callers::CallAnswer,
    deadline: Duration,
) -> CheckedCall {
    if !callers::is_success_status(answer.status) {
        return CheckedCall {
            verdict: check_refusal(answer),
            computed_tokens: 0,
        };
    }
    let in_time = answer.total <= deadline;
    match expected {
        ExpectedAnswer::Chat { text, stream, .. } => {
            let chat = if *stream {
                callers::ParsedChat::from_stream(&answer.body)
            } else {
                callers::ParsedChat::from_body(&answer.body)
            };
            let verdict = check_chat(text, answer, &chat, in_time);
            CheckedCall {
                verdict,
                computed_tokens: chat.prompt_tokens.saturating_sub(chat.cached_tokens),
            }
        }
        ExpectedAnswer::Record { body, .. } => {
            let correct = answer.body == body.as_bytes();
            CheckedCall {
                verdict: complete_verdict(answer.ended, correct, in_time),
                computed_tokens: 0,
            }
        }
    }
}

fn check_chat(
    text: &str,
    answer: &callers::CallAnswer,
    chat: &callers::ParsedChat,
    in_time: bool,
) -> CallVerdict {
    // A stream without its end marker is not presented as complete.
    if chat.failed || !chat.done {
        let reason = match (chat.reason.is_empty(), answer.ended) {
            (false, _) => chat.reason.clone(),
            (true, false) => SmolStr::new_static("connection-closed"),
            (true, true) => SmolStr::new_static("no-end-mark"),
        };
        return match chat.outcome.as_str() {
            "not-run" => CallVerdict::NotRun { reason },
            _ => CallVerdict::Cut { reason },
        };
    }
    complete_verdict(answer.ended, chat.text == text, in_time)
}

fn complete_verdict(ended: bool, correct: bool, in_time: bool) -> CallVerdict {
    match (ended, correct, in_time) {
        (false, _, _) => CallVerdict::Cut {
            reason: SmolStr::new_static("connection-closed"),
        },
        (true, false, _) => CallVerdict::Wrong,
        (true, true, true) => CallVerdict::Good,
        (true, true, false) => CallVerdict::Late,
    }
}

fn check_refusal(answer: &callers::CallAnswer) -> CallVerdict {
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
