//! The API format of callers. Everything that depends on it is behind [`CallerFormat`].

pub mod chat;
pub mod gate;

use bytes::Bytes;
use waxwing_core::ids;

use crate::{errors, problems};

/// Parsing of requests and writing of responses in one API format.
pub trait CallerFormat {
    /// The HTTP path of model requests.
    const MODEL_PATH: &'static str;

    /// Parses the body of a model request.
    ///
    /// # Errors
    /// Fails if the body isn't valid in this format.
    fn parse_model_call(body: &Bytes) -> Result<chat::ChatCall, errors::FormatError>;

    /// Returns the line that marks the end of a complete stream, and never occurs in an incomplete
    /// one.
    fn end_marker() -> &'static [u8];

    /// Builds the event that ends a stream which can't be completed.
    fn error_event(problem: &problems::ProblemBody, request: ids::RequestId) -> Bytes;
}

/// The OpenAI chat completion format, which most engines and client libraries support.
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
