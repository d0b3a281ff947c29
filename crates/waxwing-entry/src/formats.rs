//! The wire format toward callers. Everything that depends on it stands here, behind
//! [`CallerFormat`].

pub mod chat;
pub mod gate;

use bytes::Bytes;
use waxwing_core::ids;

use crate::{errors, problems};

/// A `CallerFormat` reads what callers send and writes what only this format knows.
pub trait CallerFormat {
    /// The path of model requests.
    const MODEL_PATH: &'static str;

    /// Reads the body of a model request.
    ///
    /// # Errors
    /// Fails if the body isn't valid in this format.
    fn parse_model_call(body: &Bytes) -> Result<chat::ChatCall, errors::FormatError>;

    /// Returns the line that ends a complete stream and no other.
    fn end_marker() -> &'static [u8];

    /// Writes the event that ends a stream which can't be completed.
    fn error_event(problem: &problems::ProblemBody, request: ids::RequestId) -> Bytes;
}

/// An `OpenAiFormat` is the chat completion format that most engines and client libraries share.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenAiFormat;

impl CallerFormat for OpenAiFormat {
    const MODEL_PATH: &'static str = "/v1/chat/completions";

    fn parse_model_call(body: &Bytes) -> Result<chat::ChatCall, errors::FormatError> {
        chat::parse(body)
    }

    fn end_marker() -> &'static [u8] {
        b"data: [DONE]"
    }

    fn error_event(problem: &problems::ProblemBody, request: ids::RequestId) -> Bytes {
        let detail = problem.to_json(request);
        Bytes::from(format!("event: error\ndata: {{\"error\":{detail}}}\n\n"))
    }
}
