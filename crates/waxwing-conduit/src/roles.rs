//! The role: sockets, tasks, and the order of a shutdown.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body, server::conn::http1, service};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful,
};
use tokio::{net, sync::watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{dialects, network};
use waxwing_gate::{gate, options as gate_options};
use waxwing_process::{listening, metrics as served};
use waxwing_wire::messages;

use crate::{errors, fleet, intake, metrics, options, sockets, state};

/// Pause after a failed accept, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time from the signal to stop until the balancer sends no new callers: it asks every second and
/// needs two refusals.
const READINESS_DELAY: Duration = Duration::from_millis(2_800);

/// Time between two looks at what is being answered while the process drains.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the last end of runs at which the process ends in any case, before it is killed.
const CLOSING_TIME: Duration = Duration::from_millis(700);

/// Time beyond the idle time that callers are told for which a connection waits for its next
/// request, so that a request on its way is not lost.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// The part of the allowed slack of quotas that is used; the rest covers what entries admit while
/// their books are on the way.
const QUOTA_SLACK_SHARE: f64 = 0.5;

/// The largest head of a request; the deployment's own limit is never above it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A `BoundConduit` is an entry whose sockets are open.
pub struct BoundConduit<C> {
    options: options::ConduitOptions,
    clock: C,
    front: net::TcpListener,
    ready: net::TcpListener,
}

async fn listen(address: SocketAddr) -> Result<net::TcpListener, errors::ConduitError> {
    let listener = net::TcpListener::bind(address).await;
    listener.map_err(|error| errors::ConduitError::Bind { address, error })
}

/// Opens the sockets for callers and for the balancer.
///
/// # Errors
/// Fails if an address can't be bound.
pub async fn bind<C: Clock>(
    options: options::ConduitOptions,
    clock: C,
) -> Result<BoundConduit<C>, errors::ConduitError> {
    Ok(BoundConduit {
        front: listen(options.front_address).await?,
        ready: listen(options.ready_address).await?,
        options,
        clock,
    })
}

impl<C: Clock> BoundConduit<C> {
    /// Serves until `shutdown`, then drains. `seeds` follows the settings while the process runs.
    ///
    /// # Errors
    /// Fails if the socket for links can't be opened.
    pub async fn run<D, T>(
        self,
        dialect: D,
        documents: T,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        shutdown: CancellationToken,
    ) -> Result<(), errors::ConduitError>
    where
        D: dialects::RequestDialect,
        T: dialects::ControlDialect,
    {
        let ended = CancellationToken::new();
        let network_options = network::NetworkOptions::new(
            self.options.link_address,
            messages::ProcessKind::Entry,
            &self.options.data_centre,
        );
        let (network, events) =
            network::ProcessNetwork::open(network_options, self.clock.clone(), ended.clone())
                .await?;
        let core = gate::GateCore::new(gate_settings(&self.options), self.clock.now());
        let metrics = metrics::EntryMetrics::new()?;
        if let Some(address) = self.options.metrics_address {
            let served = served::serve(
                address,
                self.clock.clone(),
                metrics.registry.clone(),
                ended.clone(),
            )
            .await;
            served.map_err(|error| errors::ConduitError::Bind { address, error })?;
        }
        let state = state::EntryState::new(self.options, self.clock, dialect, core, metrics);
        let state = Arc::new(state);
        let link = fleet::FleetLink::new(state.clone(), documents, network, seeds);
        tokio::spawn(link.clone().serve_links(events));
        tokio::spawn(link.clone().send_books(ended.clone()));
        tokio::spawn(link.upkeep(ended.clone()));
        tokio::spawn(serve_readiness(self.ready, state.clone(), ended.clone()));
        serve_callers(self.front, state, shutdown).await;
        ended.cancel();
        Ok(())
    }
}

fn gate_settings(options: &options::ConduitOptions) -> gate_options::GateOptions {
    gate_options::GateOptions {
        address: options.link_address,
        data_centre: options.data_centre.clone(),
        routing: options.routing,
        routing_seed: rand::random(),
        retry_ratio: options.retry_ratio,
        retry_extra: options.retry_extra,
        budget_window: options.retry_window(),
        quota_slack: options.quota_slack * QUOTA_SLACK_SHARE,
        ..gate_options::GateOptions::default()
    }
}

async fn serve_readiness<C: Clock, D: dialects::RequestDialect>(
    listener: net::TcpListener,
    state: Arc<state::EntryState<C, D>>,
    ended: CancellationToken,
) {
    let clock = state.clock.clone();
    let respond = move |request: Request<body::Incoming>| {
        let known = request.uri().path() == state.dialect.ready_path();
        let status = match (known, state.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = status;
        std::future::ready(answer)
    };
    listening::serve(listener, clock, respond, ended).await;
}

async fn serve_callers<C: Clock, D: dialects::RequestDialect>(
    listener: net::TcpListener,
    state: Arc<state::EntryState<C, D>>,
    shutdown: CancellationToken,
) {
    let graceful = graceful::GracefulShutdown::new();
    let drained = drained(state.clone(), shutdown);
    tokio::pin!(drained);
    loop {
        let accepted = tokio::select! {
            () = &mut drained => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "no caller can be accepted");
                state.clock.sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        sockets::prepare(&stream);
        let state = state.clone();
        let service = service::service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(intake::serve(state, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(intake::KEPT_IDLE + IDLE_MARGIN)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a caller's connection ended");
            }
        });
    }
    drop(listener);
    tracing::info!(event = "entry-closing", active = state.active());
    let end = state.drain_deadline().unwrap_or_else(|| state.clock.now()) + CLOSING_TIME;
    let left = end.saturating_duration_since(state.clock.now());
    tokio::select! {
        () = graceful.shutdown() => {}
        () = state.clock.sleep(left) => tracing::warn!(event = "grace-over", "requests are cut off"),
    }
}

/// Waits for the signal to stop, and then until the balancer has noticed and nothing is being
/// answered, or the time is up. Callers whom the balancer still sends here are served meanwhile.
async fn drained<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    shutdown: CancellationToken,
) {
    shutdown.cancelled().await;
    state.begin_stop();
    state.clock.sleep(READINESS_DELAY).await;
    let end = state.drain_deadline();
    while state.active() > 0 && end.is_some_and(|end| state.clock.now() < end) {
        state.clock.sleep(DRAIN_INTERVAL).await;
    }
}
