//! Errors of deployment documents, endpoint notices and requests.

use smol_str::SmolStr;

/// A `DeploymentError` tells why a deployment document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DeploymentError {
    /// The bytes can't be read in full.
    #[error("the document can't be read: {0}")]
    Unreadable(SmolStr),
    /// A route names a service that the document doesn't hold.
    #[error("route {route}: service {service} is not in the document")]
    UnknownService {
        /// The route.
        route: SmolStr,
        /// The service that it names.
        service: SmolStr,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and path prefix")]
    SamePlace {
        /// The first route.
        first: SmolStr,
        /// The second route.
        second: SmolStr,
    },
    /// The weights of a route add up to zero.
    #[error("route {0}: the weights of its services add up to 0")]
    NoWeight(SmolStr),
    /// A route has no time.
    #[error("route {0}: the timeout is 0")]
    NoTimeout(SmolStr),
    /// Two client accounts hold the same key; the key itself is not named.
    #[error("client accounts {first} and {second} share a key")]
    SharedKey {
        /// The first account.
        first: SmolStr,
        /// The second account.
        second: SmolStr,
    },
}

/// A `NoticeError` tells why a notice names no endpoint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the notice names no endpoint: {0}")]
pub struct NoticeError(pub SmolStr);

/// A `RequestError` tells why a request can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A header that every request carries is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header has a value that can't be read.
    #[error("the header {0} can't be read")]
    Malformed(&'static str),
}

/// A `NetworkError` tells why a process can't take links.
#[derive(Debug, thiserror::Error)]
pub enum NetworkError {
    /// The address can't be bound.
    #[error("{address} can't be bound: {error}")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// What went wrong.
        error: waxwing_wire::errors::LinkError,
    },
}
