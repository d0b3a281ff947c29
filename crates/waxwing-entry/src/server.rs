//! The process: sockets, tasks and the order of a shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net,
};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock;
use waxwing_wire::{messages, security};

use crate::{caller_tls, control, edge, errors, options, state};

/// Time for which the head of a request is awaited, so that idle connections don't pile up.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// Time for a TLS handshake.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A `BoundEntry` is an entry whose socket is open.
pub struct BoundEntry<C> {
    options: options::EntryOptions,
    clock: C,
    listener: net::TcpListener,
    address: SocketAddr,
    tls: Option<tokio_rustls::TlsAcceptor>,
    security: security::LinkSecurity,
}

/// Opens the socket for callers.
///
/// # Errors
/// Fails if the options or the certificate are not valid, or the address can't be bound.
pub async fn bind<C: clock::Clock>(
    options: options::EntryOptions,
    clock: C,
) -> Result<BoundEntry<C>, errors::EntryError> {
    options.check("entry options")?;
    let tls = options.tls.as_ref().map(caller_tls::load).transpose()?;
    let address = options.http_address;
    let bind_error = |error| errors::EntryError::Bind { address, error };
    let listener = net::TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    Ok(BoundEntry {
        options,
        clock,
        listener,
        address,
        tls,
        security: security::LinkSecurity::Plain,
    })
}

impl<C: clock::Clock> BoundEntry<C> {
    /// Returns the address for callers.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.address
    }

    /// Protects the links to other processes.
    #[must_use]
    pub fn with_security(mut self, security: security::LinkSecurity) -> Self {
        self.security = security;
        self
    }

    /// Serves until `shutdown`. Then readiness fails at once, requests are accepted for the
    /// readiness delay, and those in progress end before this returns.
    pub async fn run(self, shutdown: CancellationToken) {
        let links_ended = CancellationToken::new();
        let shared = state::EntryShared::new(
            self.options.clone(),
            self.security.clone(),
            self.clock.clone(),
            links_ended.clone(),
        );
        let control = self.control_task(&shared);
        let control_ended = links_ended.clone();
        shared.tasks.spawn(async move {
            control_ended.run_until_cancelled(control.run()).await;
        });
        tracing::info!(address = %self.address, "entry serves callers");
        let delay = shared.options.readiness_delay();
        let stop = self.stop_accepting(shared.clone(), shutdown, delay);
        let connections = graceful::GracefulShutdown::new();
        self.accept(&shared, &connections, stop).await;
        drop(self.listener);
        connections.shutdown().await;
        tracing::info!("all requests have ended");
        links_ended.cancel();
        shared.tasks.close();
        shared.tasks.wait().await;
    }

    fn control_task(&self, shared: &Arc<state::EntryShared<C>>) -> control::ControlTask<C> {
        let announce = messages::Announce {
            process: Some(state::hello(&self.options, &self.clock)),
            address: self.address.to_string(),
            region: self.options.region.to_string(),
            watch_limit: self.options.watch_limit,
            ..messages::Announce::default()
        };
        control::ControlTask {
            announce,
            hosts: self.options.control_hosts.clone(),
            link: shared.control.clone(),
            settings: shared.settings.clone(),
            agents: shared.agents.clone(),
            security: self.security.clone(),
            clock: self.clock.clone(),
        }
    }

    /// Waits for the shutdown and the readiness delay after it.
    fn stop_accepting(
        &self,
        shared: Arc<state::EntryShared<C>>,
        shutdown: CancellationToken,
        delay: Duration,
    ) -> impl Future<Output = ()> + Send + use<C> {
        async move {
            shutdown.cancelled().await;
            shared.drain();
            tracing::info!("readiness fails; new requests are accepted for the readiness delay");
            shared.clock.sleep(delay).await;
        }
    }

    async fn accept(
        &self,
        shared: &Arc<state::EntryShared<C>>,
        connections: &graceful::GracefulShutdown,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut stop => return,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                self.clock.sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Without it small events of a stream wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            let edge = edge::HttpEdge::new(shared.clone());
            let watcher = connections.watcher();
            let tls = self.tls.clone();
            let clock = self.clock.clone();
            tokio::spawn(async move {
                match tls {
                    None => serve(stream, edge, watcher).await,
                    Some(tls) => {
                        let secured = tokio::select! {
                            secured = tls.accept(stream) => secured.ok(),
                            () = clock.sleep(HANDSHAKE_LIMIT) => None,
                        };
                        if let Some(secured) = secured {
                            serve(secured, edge, watcher).await;
                        }
                    }
                }
            });
        }
    }
}

async fn serve<S, C>(stream: S, edge: edge::HttpEdge<C>, watcher: graceful::Watcher)
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    C: clock::Clock,
{
    let service = service::service_fn(move |http| {
        let edge = edge.clone();
        async move { Ok::<_, std::convert::Infallible>(edge.handle(http).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        tracing::debug!(%error, "a caller's connection ended with an error");
    }
}
