//! Runs an entry: sockets, tasks and graceful shutdown.

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
use waxwing_process::{bodies, listening, metrics as process_metrics};
use waxwing_wire::messages;

use crate::{errors, fleet, intake, metrics, options, sockets, stalls, state};

/// Delay after a failed accept, which most often means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time from the stop signal until the load balancer sends no new callers: it checks readiness
/// every second and needs two failed checks.
const READINESS_DELAY: Duration = Duration::from_millis(2_800);

/// Time between two checks for requests in flight while the process drains.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the drain deadline for closing connections. The process then ends in any case, before
/// it is killed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time beyond the announced keep-alive timeout for which a connection stays open, so that a
/// request that is already on its way is not lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);

/// Share of the allowed quota slack that the gate uses. The rest covers requests that entries admit
/// while their load updates to each other are in transit.
const QUOTA_SLACK_SHARE: f64 = 0.5;

/// An entry whose sockets are bound but not yet served.
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

/// Opens the sockets for callers and for readiness checks.
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
    /// Serves until `shutdown` is cancelled, then drains. `seeds` holds the current addresses of
    /// control hosts in the settings.
    ///
    /// # Errors
    /// Fails if the metrics can't be registered, or if the socket for links or for metrics can't be
    /// opened.
    pub async fn run<D, T>(
        self,
        dialect: D,
        control_dialect: T,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        shutdown: CancellationToken,
    ) -> Result<(), errors::ConduitError>
    where
        D: dialects::RequestDialect,
        T: dialects::ControlDialect,
    {
        let stopped = CancellationToken::new();
        let network_options = network::NetworkOptions::new(
            self.options.link_address,
            messages::ProcessKind::Entry,
            &self.options.data_centre,
        );
        let (network, events) =
            network::ProcessNetwork::open(network_options, self.clock.clone(), stopped.clone())
                .await?;
        let core = gate::GateCore::new(gate_options_from(&self.options), self.clock.now());
        let metrics = metrics::EntryMetrics::new()?;
        if let Some(address) = self.options.metrics_address {
            let metrics_server = process_metrics::serve(
                address,
                self.clock.clone(),
                metrics.registry.clone(),
                stopped.clone(),
            )
            .await;
            metrics_server.map_err(|error| errors::ConduitError::Bind { address, error })?;
        }
        let state = state::EntryState::new(self.options, self.clock, dialect, core, metrics);
        let state = Arc::new(state);
        let messenger = fleet::FleetMessenger::new(state.clone(), control_dialect, network, seeds);
        tokio::spawn(messenger.clone().serve_links(events));
        tokio::spawn(messenger.clone().run_fetches(stopped.clone()));
        tokio::spawn(messenger.clone().send_updates(stopped.clone()));
        tokio::spawn(messenger.clone().decide_on_peer_loads(stopped.clone()));
        tokio::spawn(messenger.clone().send_rollout_reports(stopped.clone()));
        tokio::spawn(messenger.run_maintenance(stopped.clone()));
        tokio::spawn(serve_readiness(self.ready, state.clone(), stopped.clone()));
        serve_callers(self.front, state, shutdown).await;
        stopped.cancel();
        Ok(())
    }
}

fn gate_options_from(options: &options::ConduitOptions) -> gate_options::GateOptions {
    gate_options::GateOptions {
        address: options.link_address,
        data_centre: options.data_centre.clone(),
        leaving_price: options.leaving_price,
        routing: options.routing,
        routing_seed: rand::random(),
        retry_ratio: options.retry_ratio,
        retry_extra: options.retry_extra,
        budget_window: options.retry_window(),
        quota_slack: options.quota_slack * QUOTA_SLACK_SHARE,
        ..gate_options::GateOptions::default()
    }
}

/// Serves the readiness checks of the load balancer.
async fn serve_readiness<C: Clock, D: dialects::RequestDialect>(
    listener: net::TcpListener,
    state: Arc<state::EntryState<C, D>>,
    stopped: CancellationToken,
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
    listening::serve(listener, clock, respond, stopped).await;
}

/// Accepts connections of callers until the entry has drained, then closes them.
async fn serve_callers<C: Clock, D: dialects::RequestDialect>(
    listener: net::TcpListener,
    state: Arc<state::EntryState<C, D>>,
    shutdown: CancellationToken,
) {
    let graceful = graceful::GracefulShutdown::new();
    let drained = wait_until_drained(state.clone(), shutdown);
    tokio::pin!(drained);
    loop {
        let accepted = tokio::select! {
            () = &mut drained => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                state.clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        sockets::prepare(&stream, sockets::UNSENT_ANSWER_BYTES);
        let stream = stalls::CallerStream::new(stream, address);
        let state = state.clone();
        let service = service::service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(intake::serve(state, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(intake::KEEP_ALIVE_TIMEOUT + KEEP_ALIVE_MARGIN)
            .max_buf_size(bodies::MAX_HEAD_BYTES)
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
    let end = state.drain_deadline().unwrap_or_else(|| state.clock.now()) + CLOSE_TIMEOUT;
    let remaining = end.saturating_duration_since(state.clock.now());
    tokio::select! {
        () = graceful.shutdown() => {}
        () = state.clock.sleep(remaining) => tracing::warn!(
            event = "grace-over",
            "remaining requests are aborted"
        ),
    }
}

/// Waits for the stop signal, then until the load balancer has noticed it and no request is in
/// flight, or until the drain deadline. Callers that the load balancer still sends are served
/// meanwhile.
async fn wait_until_drained<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    shutdown: CancellationToken,
) {
    shutdown.cancelled().await;
    state.begin_stop();
    state.clock.sleep(READINESS_DELAY).await;
    let end = state.drain_deadline();
    while state.active() > 0 && end.is_some_and(|end| state.clock.now() < end) {
        state.clock.sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
