//! Errors of deployment documents and their patches, endpoint notices and requests.

use smol_str::SmolStr;

/// Why a deployment document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DeploymentError {
    /// The document can't be parsed. Holds the reason.
    #[error("the document can't be read: {0}")]
    Unreadable(SmolStr),
    /// A route refers to a service that the document doesn't define.
    #[error("route {route}: service {service} is not in the document")]
    UnknownService {
        /// The name of the route.
        route: SmolStr,
        /// The service that it refers to.
        service: SmolStr,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and path prefix")]
    DuplicateRoute {
        /// The name of the first route.
        first: SmolStr,
        /// The name of the second route.
        second: SmolStr,
    },
    /// The weights of a route's services add up to zero. Holds the name of the route.
    #[error("route {0}: the weights of its services add up to 0")]
    ZeroWeight(SmolStr),
    /// The timeout of a route is zero. Holds the name of the route.
    #[error("route {0}: the timeout is 0")]
    ZeroTimeout(SmolStr),
    /// Two client accounts have the same key. The message leaves out the key, which is a secret.
    #[error("client accounts {first} and {second} share a key")]
    SharedKey {
        /// The name of the first account.
        first: SmolStr,
        /// The name of the second account.
        second: SmolStr,
    },
}

/// Why a patch can't be created or applied.
#[derive(Debug, thiserror::Error)]
pub enum PatchError {
    /// The compressed data is damaged, or memory ran out.
    #[error("the patch can't be processed: {0}")]
    Codec(#[from] std::io::Error),
    /// The document is longer than the limit.
    #[error("a document of {found} bytes exceeds the limit of {allowed} bytes")]
    TooLong {
        /// The announced length in bytes.
        found: usize,
        /// The limit in bytes.
        allowed: usize,
    },
    /// The result differs from the document that the patch was made for, so the base differs too.
    #[error("the patched document isn't the expected one")]
    Mismatch,
}

/// Why a notice doesn't describe a usable endpoint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the notice names no endpoint: {0}")]
pub struct NoticeError(pub SmolStr);

/// Why the head of a request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A required header is missing. Holds its name.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// The value of a header is malformed. Holds the name of the header.
    #[error("the header {0} can't be read")]
    Malformed(&'static str),
}

/// Why a process can't accept links.
#[derive(Debug, thiserror::Error)]
pub enum NetworkError {
    /// The address can't be bound.
    #[error("{address} can't be bound: {error}")]
    Bind {
        /// The address to listen at.
        address: std::net::SocketAddr,
        /// The error of the listener.
        error: waxwing_wire::errors::LinkError,
    },
}

/// Why an order of a roll-out can't be parsed. Holds the reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the order can't be read: {0}")]
pub struct RolloutError(pub SmolStr);
