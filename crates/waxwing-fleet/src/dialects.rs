//! The traits that separate a platform's formats from the rest of the system. An implementation
//! only translates: it is stateless, makes no decisions and no calls.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::http;
use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_wire::messages;

use crate::{deployments, errors};

/// An HTTP call to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// An operator stores a deployment document.
    PutDeployment,
    /// An operator reads the deployment document.
    GetDeployment,
    /// An endpoint registers itself or reports its state.
    Notice {
        /// The id of the endpoint.
        endpoint: SmolStr,
    },
    /// An endpoint deregisters itself.
    Deregister {
        /// The id of the endpoint.
        endpoint: SmolStr,
    },
    /// An operator orders a roll-out.
    StartRollout,
    /// An operator asks for the state of a roll-out.
    ShowRollout {
        /// The service.
        service: SmolStr,
    },
    /// Any other method or path.
    Unknown,
}

/// An order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRequest {
    /// The service.
    pub service: SmolStr,
    /// The new version.
    pub target: SmolStr,
    /// The time from the order to its deadline.
    pub period: Duration,
}

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The new version is being tested or takes over.
    Active,
    /// The new version serves all requests.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// Translates the calls of operators and endpoints to control hosts.
pub trait ControlDialect: Clone + Send + Sync + 'static {
    /// Classifies a call by its method and path.
    fn call(&self, method: &http::Method, path: &str) -> ControlCall;

    /// Parses a deployment document, without validating it.
    ///
    /// # Errors
    /// Fails if the document is malformed.
    fn deployment(
        &self,
        body: &[u8],
    ) -> Result<deployments::DeploymentParts, errors::DeploymentError>;

    /// Parses the notice of an endpoint.
    ///
    /// # Errors
    /// Fails if the notice doesn't describe a usable endpoint.
    fn notice(
        &self,
        endpoint: &str,
        body: &[u8],
    ) -> Result<messages::EndpointNotice, errors::NoticeError>;

    /// Parses the body of a deregistration: the start time of the endpoint in Unix milliseconds, or
    /// `None` if it isn't given.
    fn deregistration(&self, body: &[u8]) -> Option<u64>;

    /// Parses an order of a roll-out, without validating it.
    ///
    /// # Errors
    /// Fails if the order is malformed.
    fn rollout_order(&self, body: &[u8]) -> Result<RolloutRequest, errors::RolloutError>;

    /// Returns the body that tells the state of a roll-out.
    fn rollout_status(&self, target: &str, state: RolloutState) -> Bytes;

    /// Returns the URL of the same call at another control host.
    fn location(&self, host: SocketAddr, path: &str) -> String {
        format!("http://{host}{path}")
    }
}

/// The values in the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// The id that the caller gave this attempt.
    pub id: SmolStr,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The key of the client account.
    pub key: Option<SmolStr>,
    /// The size of a model request; `None` for other requests.
    pub tokens: Option<TokenCounts>,
    /// The parts of the prompt in order; empty if the caller doesn't state them.
    pub parts: Vec<PromptPart>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// The size of a model request in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens in the prompt.
    pub prompt: u64,
    /// The maximum number of tokens in the answer.
    pub max_answer: u64,
    /// The caller's estimate of the tokens in the answer, which is right at the median.
    pub expected: Option<u64>,
}

/// The largest token count that is reckoned with, far above the memory of any engine; callers may
/// state any number, and sums over many requests must stay in range.
const MAX_TOKENS: u64 = 1 << 32;

impl TokenCounts {
    /// Returns the counts, each at most 2^32.
    #[must_use]
    pub fn clamped(self) -> Self {
        Self {
            prompt: self.prompt.min(MAX_TOKENS),
            max_answer: self.max_answer.min(MAX_TOKENS),
            expected: self.expected.map(|tokens| tokens.min(MAX_TOKENS)),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id by which all requests refer to this part.
    pub id: u64,
    /// The number of tokens in the part.
    pub tokens: u32,
}

/// The values that an entry adds to the caller's headers when it sends a request to an endpoint.
#[derive(Debug, Clone)]
pub struct DispatchFacts<'a> {
    /// The id of the intended endpoint; another endpoint that has taken over the address refuses
    /// the request.
    pub endpoint: &'a str,
    /// The name of the client account.
    pub account: Option<&'a str>,
    /// The time left to answer.
    pub deadline: Option<Duration>,
    /// The id of the last event that was already received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// What an endpoint states of the pace of its host.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum PaceStatement {
    /// It states none.
    #[default]
    Absent,
    /// It states something that is no pace.
    Malformed,
    /// It states this one.
    Stated(units::HostPace),
}

/// The load that an endpoint reports in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFacts {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// How long work takes on its host at the moment.
    pub pace: PaceStatement,
}

/// The values in the head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerFacts {
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub sealed: bool,
    /// Whether the answer echoes the id of this request.
    pub id_matches: bool,
    /// The load, if the endpoint reports it.
    pub load: Option<LoadFacts>,
    /// The requests that the endpoint takes from all entries together, if it names a limit.
    pub limit: Option<units::RequestRate>,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
    /// How long the endpoint wants no requests from this entry, if it says so with a refusal.
    pub retry_after: Option<Duration>,
}

/// Translates requests and answers between callers, entries and endpoints.
pub trait RequestDialect: Clone + Send + Sync + 'static {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// Fails if a required header is missing or a header is malformed.
    fn request(&self, head: &http::request::Parts) -> Result<RequestFacts, errors::RequestError>;

    /// Returns whether a header must be removed from a caller's request.
    fn is_reserved(&self, name: &http::HeaderName) -> bool;

    /// Adds the headers for the endpoint.
    fn dispatch(&self, headers: &mut http::HeaderMap, facts: &DispatchFacts<'_>);

    /// Parses the head of an answer to the request `id`.
    fn answer(&self, id: &str, head: &http::response::Parts) -> AnswerFacts;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the body of a refusal, with its content type.
    fn refusal(&self, id: Option<&str>, reason: &str) -> (Bytes, &'static str);
}
