//! The interfaces behind which a platform's formats stay. An implementation only translates: it
//! decides nothing, keeps nothing and calls nothing.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::http;
use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::{deployments, errors};

/// A `ControlCall` is a call to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// The operator sends a deployment document.
    PutDeployment,
    /// The operator reads the deployment document.
    GetDeployment,
    /// An endpoint tells that it is there.
    Notice {
        /// The id of the endpoint.
        endpoint: SmolStr,
    },
    /// An endpoint says goodbye.
    Goodbye {
        /// The id of the endpoint.
        endpoint: SmolStr,
    },
    /// None of these.
    Unknown,
}

/// A `ControlDialect` translates what operators and endpoints say to control hosts.
pub trait ControlDialect: Clone + Send + Sync + 'static {
    /// Tells what a call asks for.
    fn call(&self, method: &http::Method, path: &str) -> ControlCall;

    /// Reads a deployment document.
    ///
    /// # Errors
    /// Fails if the document can't be read in full.
    fn deployment(
        &self,
        body: &[u8],
    ) -> Result<deployments::DeploymentParts, errors::DeploymentError>;

    /// Reads the notice of an endpoint.
    ///
    /// # Errors
    /// Fails if the notice names no endpoint that could be used.
    fn notice(
        &self,
        endpoint: &str,
        body: &[u8],
    ) -> Result<messages::EndpointNotice, errors::NoticeError>;

    /// Reads when the endpoint that says goodbye started, in Unix milliseconds, if it says so.
    fn goodbye_born(&self, body: &[u8]) -> Option<u64>;

    /// Returns the path under which another control host takes the same call.
    fn location(&self, host: SocketAddr, path: &str) -> String {
        format!("http://{host}{path}")
    }
}

/// `RequestFacts` is what the head of a request tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// The id of the caller's attempt.
    pub id: SmolStr,
    /// The time that the caller will wait.
    pub deadline: Option<Duration>,
    /// The key of the client account.
    pub key: Option<SmolStr>,
    /// Prompt tokens and the most tokens of the answer.
    pub tokens: Option<TokenCounts>,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// `TokenCounts` is the size of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens of the answer.
    pub most: u64,
    /// Tokens that the caller expects in the answer, right at the median.
    pub expected: Option<u64>,
}

/// A `PromptPart` is a part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// `DispatchFacts` is what an entry tells an endpoint beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct DispatchFacts<'a> {
    /// The endpoint that is meant; another one at its address refuses.
    pub endpoint: &'a str,
    /// The client account.
    pub account: Option<&'a str>,
    /// The time that is left.
    pub deadline: Option<Duration>,
    /// The last event that is already there, when the stream goes on.
    pub last_event: Option<u64>,
}

/// `LoadFacts` is the load that an endpoint tells in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFacts {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// `AnswerFacts` is what the head of an endpoint's answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the endpoint vouches for the answer.
    pub sealed: bool,
    /// Whether the answer names this request.
    pub own: bool,
    /// The load.
    pub load: Option<LoadFacts>,
}

/// A `RequestDialect` translates between callers, entries and endpoints.
pub trait RequestDialect: Clone + Send + Sync + 'static {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails if a header that is needed is missing or can't be read.
    fn request(&self, head: &http::request::Parts) -> Result<RequestFacts, errors::RequestError>;

    /// Tells whether a header of a caller must not reach an endpoint.
    fn is_reserved(&self, name: &http::HeaderName) -> bool;

    /// Adds what the entry tells the endpoint.
    fn dispatch(&self, headers: &mut http::HeaderMap, facts: &DispatchFacts<'_>);

    /// Reads the head of an answer to the request `id`.
    fn answer(&self, id: &str, head: &http::response::Parts) -> AnswerFacts;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the body of a refusal, with its content type.
    fn refusal(&self, id: Option<&str>, reason: &str) -> (Bytes, &'static str);
}
