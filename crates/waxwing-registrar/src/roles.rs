//! The role: sockets, tasks, and the order of a shutdown.

use std::{net::SocketAddr, time::Duration};

use tokio::{net, sync::watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{dialects, network};
use waxwing_process::metrics as served;
use waxwing_wire::messages;

use crate::{errors, group, handles, host, http, metrics, options};

/// Pause before the log is opened again after its disk failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A `BoundRegistrar` is a control host whose sockets are open.
pub struct BoundRegistrar<C> {
    options: options::RegistrarOptions,
    clock: C,
    listener: net::TcpListener,
}

/// Opens the socket for operators and endpoints.
///
/// # Errors
/// Fails if the address can't be bound.
pub async fn bind<C: Clock>(
    options: options::RegistrarOptions,
    clock: C,
) -> Result<BoundRegistrar<C>, errors::RegistrarError> {
    let address = options.http_address;
    let listener = net::TcpListener::bind(address)
        .await
        .map_err(|error| errors::RegistrarError::Bind { address, error })?;
    Ok(BoundRegistrar {
        options,
        clock,
        listener,
    })
}

impl<C: Clock> BoundRegistrar<C> {
    /// Serves until `shutdown`. `seeds` follows the settings while the process runs.
    ///
    /// # Errors
    /// Fails if the socket for links can't be opened.
    pub async fn run<D: dialects::ControlDialect>(
        self,
        dialect: D,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        shutdown: CancellationToken,
    ) -> Result<(), errors::RegistrarError> {
        let ended = CancellationToken::new();
        let options = self.options;
        let network_options = network::NetworkOptions::new(
            options.link_address,
            messages::ProcessKind::Control,
            &options.data_centre,
        );
        let (network, events) =
            network::ProcessNetwork::open(network_options, self.clock.clone(), ended.clone())
                .await?;
        let metrics = metrics::RegistrarMetrics::new()?;
        if let Some(address) = options.metrics_address {
            let served = served::serve(
                address,
                self.clock.clone(),
                metrics.registry.clone(),
                ended.clone(),
            )
            .await;
            served.map_err(|error| errors::RegistrarError::Bind { address, error })?;
        }
        let (handle, mut channels) = handles::channels();
        let host = host::RegistrarHost::new(
            options.clone(),
            self.clock.clone(),
            handle,
            network.clone(),
            seeds,
            metrics,
        );
        tokio::spawn(host.clone().serve_links(events));
        tokio::spawn(host.clone().spread_deployments(ended.clone()));
        tokio::spawn(host.clone().keep_fleet(ended.clone()));
        tokio::spawn(http::serve(self.listener, host, dialect, ended.clone()));
        while !shutdown.is_cancelled() {
            let opened = group::GroupTask::open(
                &options,
                &mut channels,
                network.clone(),
                self.clock.clone(),
            );
            let ran = match opened {
                Ok(task) => task.run(&shutdown).await,
                Err(error) => Err(error),
            };
            // Notices of endpoints need no disk, so the process goes on without its log.
            if let Err(error) = ran {
                tracing::error!(event = "log-lost", %error, "the log is opened again");
                handles::abandon(&mut channels);
                self.clock.sleep(REOPEN_PAUSE).await;
            }
        }
        ended.cancel();
        Ok(())
    }
}
