//! Starts and stops a control host: sockets, tasks, and the order of shutdown.

use std::{net::SocketAddr, time::Duration};

use tokio::{net, sync::watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{dialects, network};
use waxwing_process::metrics as process_metrics;
use waxwing_wire::messages;

use crate::{errors, group, handles, host, http, metrics, options};

/// Pause before the log is reopened after a storage failure.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A control host whose HTTP socket is bound, but that doesn't serve yet.
pub struct BoundRegistrar<C> {
    options: options::RegistrarOptions,
    clock: C,
    listener: net::TcpListener,
}

/// Binds the HTTP socket for operators and endpoints.
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
    /// Serves until `shutdown`. `seeds` changes when the settings are reloaded. The other tasks
    /// stop after the log, since the transfer of leadership at shutdown needs the network.
    ///
    /// # Errors
    /// Fails if the socket for links or for metrics can't be bound, or a metric can't be
    /// registered.
    pub async fn run<D: dialects::ControlDialect>(
        self,
        dialect: D,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        shutdown: CancellationToken,
    ) -> Result<(), errors::RegistrarError> {
        let stop_tasks = CancellationToken::new();
        let mut options = self.options;
        let network_options = network::NetworkOptions::new(
            options.link_address,
            messages::ProcessKind::Control,
            &options.data_centre,
        );
        let (network, events) =
            network::ProcessNetwork::open(network_options, self.clock.clone(), stop_tasks.clone())
                .await?;
        let metrics = metrics::RegistrarMetrics::new()?;
        if let Some(address) = options.metrics_address {
            let served = process_metrics::serve(
                address,
                self.clock.clone(),
                metrics.registry.clone(),
                stop_tasks.clone(),
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
        tokio::spawn(host.clone().announce_deployments(stop_tasks.clone()));
        tokio::spawn(host.clone().confirm_deployments(stop_tasks.clone()));
        tokio::spawn(host.clone().run_updates(stop_tasks.clone()));
        tokio::spawn(host.clone().run_rollouts(stop_tasks.clone()));
        tokio::spawn(http::serve(
            self.listener,
            host,
            dialect,
            stop_tasks.clone(),
        ));
        while !shutdown.is_cancelled() {
            let opened = group::GroupTask::open(
                &options,
                &mut channels,
                network.clone(),
                self.clock.clone(),
            );
            let result = match opened {
                Ok(task) => {
                    // The group exists from now on. A folder that is empty at the next opening has
                    // been lost, and with it what this host acknowledged as a founder.
                    options.found = false;
                    task.run(&shutdown).await
                }
                Err(error) => Err(error),
            };
            // Notices of endpoints need no disk, so the host keeps serving them without the log.
            if let Err(error) = result {
                tracing::error!(event = "log-lost", %error, "reopening the log");
                handles::drop_requests(&mut channels);
                self.clock.sleep(REOPEN_PAUSE).await;
            }
        }
        stop_tasks.cancel();
        Ok(())
    }
}
