//! How two processes know each other: mutual TLS with keys from the settings, or nothing on a
//! trusted loopback.

use std::sync::Arc;

use arc_swap::ArcSwap;

/// A `LinkSecurity` says how links of a process are protected.
#[derive(Debug, Clone, Default)]
pub enum LinkSecurity {
    /// No protection; for loopback and tests only.
    #[default]
    Plain,
    /// TLS 1.3 in which both sides show a certificate of the fleet's authority.
    Mutual(Arc<ArcSwap<TlsContext>>),
}

/// A `TlsContext` holds the TLS settings of both directions; it is replaced whole when keys are
/// rotated, and links that are already open go on with the keys they began with.
#[derive(Debug)]
pub struct TlsContext {
    /// Settings for links that this process opens.
    pub client: Arc<rustls::ClientConfig>,
    /// Settings for links that this process accepts.
    pub server: Arc<rustls::ServerConfig>,
}
