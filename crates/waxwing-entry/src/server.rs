//! Server lifecycle: listening socket, connections and graceful shutdown.

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
use waxwing_client::{clients, options as client_options};
use waxwing_core::{clock, counters};
use waxwing_wire::{messages, security};

use crate::{caller_tls, control, edge, errors, options, state};

/// Timeout of reading a request's headers, so that idle connections don't accumulate.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a caller's TLS handshake.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, most often caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An entry whose listening socket is bound but not served yet.
pub struct BoundEntry<C> {
    options: options::EntryOptions,
    clock: C,
    listener: net::TcpListener,
    address: SocketAddr,
    tls: Option<tokio_rustls::TlsAcceptor>,
    security: security::LinkSecurity,
    counters: counters::CounterSet,
}

/// Binds the HTTP address for callers.
///
/// # Errors
/// Fails if the options or the certificate are not valid, or the address can't be bound.
pub async fn bind<C: clock::Clock>(
    options: options::EntryOptions,
    clock: C,
) -> Result<BoundEntry<C>, errors::EntryError> {
    options.check("entry options")?;
    let tls = options.tls.as_ref().map(caller_tls::load).transpose()?;
    let security = security::LinkSecurity::from_files(options.link_tls.as_ref())?;
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
        security,
        counters: counters::CounterSet::new(),
    })
}

impl<C: clock::Clock> BoundEntry<C> {
    /// Returns the bound HTTP address.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters, which can be read while the entry runs.
    #[must_use]
    pub fn counters(&self) -> counters::CounterSet {
        self.counters.clone()
    }

    /// Returns the security context of links, used to reload keys while the entry runs.
    #[must_use]
    pub fn link_security(&self) -> security::LinkSecurity {
        self.security.clone()
    }

    /// Serves until `shutdown` is cancelled. Readiness then fails at once, new requests are
    /// accepted for the readiness delay, and this returns after all requests have ended.
    pub async fn run(self, shutdown: CancellationToken) {
        let links_shutdown = CancellationToken::new();
        let counters = self.counters.clone();
        let client = clients::ControlClient::start(
            self.client_options(),
            self.clock.clone(),
            counters.clone(),
            links_shutdown.clone(),
        );
        let shared = state::EntryShared::new(
            self.options.clone(),
            self.security.clone(),
            self.clock.clone(),
            counters,
            client.clone(),
            links_shutdown.clone(),
        );
        let directory_task = control::follow_directory(client, shared.agents.clone());
        let task_shutdown = links_shutdown.clone();
        shared.tasks.spawn(async move {
            task_shutdown.run_until_cancelled(directory_task).await;
        });
        tracing::info!(address = %self.address, "entry is accepting HTTP requests");
        let delay = shared.options.readiness_delay();
        let stop = self.drain_on_shutdown(shared.clone(), shutdown, delay);
        let connections = graceful::GracefulShutdown::new();
        self.accept(&shared, &connections, stop).await;
        drop(self.listener);
        connections.shutdown().await;
        tracing::info!("all requests have ended");
        links_shutdown.cancel();
        shared.tasks.close();
        shared.tasks.wait().await;
    }

    fn client_options(&self) -> client_options::ClientOptions {
        let announce = messages::Announce {
            process: Some(state::hello(&self.options, &self.clock)),
            address: self.address.to_string(),
            region: self.options.region.to_string(),
            watch_limit: self.options.watch_limit,
            ..messages::Announce::default()
        };
        let mut options =
            client_options::ClientOptions::new(announce, self.options.control_hosts.clone());
        options.security = self.security.clone();
        options
    }

    /// Waits for the shutdown, makes readiness fail and waits for the readiness delay.
    fn drain_on_shutdown<P: control::ControlPort>(
        &self,
        shared: Arc<state::EntryShared<C, P>>,
        shutdown: CancellationToken,
        delay: Duration,
    ) -> impl Future<Output = ()> + Send + use<C, P> {
        async move {
            shutdown.cancelled().await;
            shared.drain();
            tracing::info!(
                "shutting down: readiness fails, new requests are accepted for the readiness delay"
            );
            shared.clock.sleep(delay).await;
        }
    }

    async fn accept<P: control::ControlPort>(
        &self,
        shared: &Arc<state::EntryShared<C, P>>,
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
                self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Otherwise Nagle's algorithm delays small stream events until earlier ones are
            // acknowledged.
            let _ = stream.set_nodelay(true);
            let edge = edge::HttpEdge::new(shared.clone());
            let watcher = connections.watcher();
            let tls = self.tls.clone();
            let clock = self.clock.clone();
            tokio::spawn(async move {
                match tls {
                    None => serve_caller(stream, edge, watcher).await,
                    Some(tls) => {
                        let secured = tokio::select! {
                            secured = tls.accept(stream) => secured.ok(),
                            () = clock.sleep(TLS_HANDSHAKE_TIMEOUT) => None,
                        };
                        if let Some(secured) = secured {
                            serve_caller(secured, edge, watcher).await;
                        }
                    }
                }
            });
        }
    }
}

async fn serve_caller<S, C, P>(stream: S, edge: edge::HttpEdge<C, P>, watcher: graceful::Watcher)
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    C: clock::Clock,
    P: control::ControlPort,
{
    let service = service::service_fn(move |http| {
        let edge = edge.clone();
        async move { Ok::<_, std::convert::Infallible>(edge.handle(http).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        tracing::debug!(%error, "caller connection closed with an error");
    }
}
