//! Startup and shutdown of a control host: [`bind`] opens the sockets, [`BoundControl::run`] starts
//! the tasks.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net,
    sync::{broadcast, watch},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_settings::{checks, files};
use waxwing_store::{disk, memory};
use waxwing_wire::{links, messages, security};

use crate::{
    commands, decider, driver, errors, founding, host, hosts, operators, options, peers, processes,
    storage,
};

/// Capacity of the broadcast channels for engine orders and results. A slow link may miss some; the
/// placement controller repeats orders without effect.
const ORDER_QUEUE_CAPACITY: usize = 256;

/// A control host with open sockets, ready to run.
pub struct BoundControl<C> {
    options: options::ControlOptions,
    clock: C,
    listener: links::LinkListener<C>,
    http: net::TcpListener,
    security: security::LinkSecurity,
    link_address: SocketAddr,
    http_address: SocketAddr,
    incarnation: ids::Incarnation,
    initial_tree: Option<serde_json::Value>,
    snapshot_bytes: u64,
    counters: counters::CounterSet,
}

/// Opens the sockets of a control host and reads the initial settings tree, if one is configured.
///
/// # Errors
/// Fails if an address can't be bound, the TLS keys can't be used, or the initial tree is
/// unreadable or invalid.
pub async fn bind<C: Clock>(
    options: options::ControlOptions,
    clock: C,
) -> Result<BoundControl<C>, errors::ControlError> {
    let initial_tree = load_initial_tree(&options)?;
    let security = security::LinkSecurity::from_files(options.tls.as_ref())?;
    let incarnation = ids::Incarnation(clock.wall_millis());
    let counters = counters::CounterSet::new();
    let listener = links::LinkListener::bind(
        options.link,
        host::hello(&options, incarnation),
        links::LinkOptions::with_counters(&counters),
        security.clone(),
        clock.clone(),
    )
    .await?;
    let http = net::TcpListener::bind(options.http)
        .await
        .map_err(errors::ControlError::Http)?;
    Ok(BoundControl {
        link_address: listener.local_addr()?,
        http_address: http.local_addr().map_err(errors::ControlError::Http)?,
        options,
        clock,
        listener,
        http,
        security,
        incarnation,
        initial_tree,
        snapshot_bytes: driver::SNAPSHOT_BYTES,
        counters,
    })
}

fn load_initial_tree(
    options: &options::ControlOptions,
) -> Result<Option<serde_json::Value>, errors::ControlError> {
    let Some(file) = &options.settings else {
        return Ok(None);
    };
    let tree = files::load(file)?;
    match checks::check_tree(&tree) {
        Ok(_) => Ok(Some(tree)),
        Err(findings) => Err(errors::ControlError::InitialTree {
            file: file.display().to_string(),
            findings,
        }),
    }
}

impl<C: Clock> BoundControl<C> {
    /// Returns the address on which this host accepts links.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the address of the operators' interface.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the metrics counters of this host.
    #[must_use]
    pub fn counters(&self) -> counters::CounterSet {
        self.counters.clone()
    }

    /// Returns the link security, whose keys can be reloaded while the host runs.
    #[must_use]
    pub fn security(&self) -> security::LinkSecurity {
        self.security.clone()
    }

    /// Replaces the list of the other control hosts, for hosts whose ports are chosen by the
    /// system.
    pub fn set_peers(&mut self, peers: Vec<options::PeerOptions>) {
        self.options.peers = peers;
    }

    /// Sets the size of the log in bytes after which a snapshot is taken; the default is 8 MiB.
    pub fn set_snapshot_bytes(&mut self, bytes: u64) {
        self.snapshot_bytes = bytes;
    }

    /// Sets the initial settings tree, in place of the file in the options.
    ///
    /// # Errors
    /// Returns the invalid values of the tree.
    pub fn set_initial_tree(
        &mut self,
        tree: serde_json::Value,
    ) -> Result<(), Vec<checks::SettingFinding>> {
        checks::check_tree(&tree)?;
        self.initial_tree = Some(tree);
        Ok(())
    }

    /// Runs the control host until `shutdown`.
    ///
    /// # Errors
    /// Fails if the stored state can't be read, or if a write to it fails.
    pub async fn run(self, shutdown: CancellationToken) -> Result<(), errors::ControlError> {
        let network = Arc::new(peers::PeerNetwork::default());
        let probe = founding::GroupProbe {
            peers: self.options.peers.clone(),
            hello: host::hello(&self.options, self.incarnation),
            security: self.security.clone(),
            clock: self.clock.clone(),
        };
        let storage = tokio::select! {
            () = shutdown.cancelled() => return Ok(()),
            storage = open_storage(&self.options, probe.may_create_group()) => storage?,
        };
        let store = storage.identity.store;
        let (driver, handle) = driver::LogDriver::open(
            &self.options,
            storage,
            network.clone(),
            self.counters.clone(),
            self.clock.clone(),
            self.snapshot_bytes,
        )?;
        let own = hosts::member_info(&self.options, self.link_address, self.http_address, store);
        let state = Arc::new(host::HostState {
            started: self.clock.now(),
            clock: self.clock.clone(),
            counters: self.counters.clone(),
            incarnation: self.incarnation,
            log: handle,
            network: network.clone(),
            directory: std::sync::Mutex::default(),
            directory_changes: watch::Sender::new(0),
            confirmations: watch::Sender::new(0),
            orders: broadcast::Sender::new(ORDER_QUEUE_CAPACITY),
            order_results: broadcast::Sender::new(ORDER_QUEUE_CAPACITY),
            control_addresses: watch::Sender::new(vec![own.link.clone()]),
            options: self.options,
        });
        let (name, incarnation) = (&state.options.name, state.incarnation);
        tracing::info!(%name, %incarnation, %store, "control host started");
        let tasks = TaskTracker::new();
        // The log stops before the links to other control hosts, so that it can transfer leadership
        // first.
        let (stop_log, stop_links) = (CancellationToken::new(), CancellationToken::new());
        let mut log_task = tokio::spawn(driver.run(stop_log.clone()));
        let maintenance = hosts::HostMaintenance {
            host: state.clone(),
            network,
            dialer: peers::PeerDialer {
                counters: self.counters.clone(),
                hello: host::hello(&state.options, self.incarnation),
                security: self.security,
                clock: self.clock,
                tasks: tasks.clone(),
                shutdown: stop_links.clone(),
            },
            own,
            reported_leader: None,
        };
        tasks.spawn(maintenance.run(shutdown.clone()));
        tasks.spawn(operators::serve(state.clone(), self.http, shutdown.clone()));
        tasks.spawn(sweep_directory(state.clone(), shutdown.clone()));
        tasks.spawn(confirm_settings(state.clone(), shutdown.clone()));
        let controller = decider::PlacementController {
            host: state.clone(),
        };
        tasks.spawn(controller.run(shutdown.clone()));
        if let Some(tree) = self.initial_tree {
            tasks.spawn(bootstrap(state.clone(), tree, shutdown.clone()));
        }
        tasks.spawn(accept_links(
            state,
            self.listener,
            tasks.clone(),
            shutdown.clone(),
            stop_links.clone(),
        ));
        let log_result = tokio::select! {
            () = shutdown.cancelled() => {
                stop_log.cancel();
                log_task.await
            }
            log_result = &mut log_task => log_result,
        };
        shutdown.cancel();
        stop_links.cancel();
        tasks.close();
        tasks.wait().await;
        log_result.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
    }
}

async fn open_storage(
    options: &options::ControlOptions,
    may_create_group: impl Future<Output = bool>,
) -> Result<storage::OpenedStorage, errors::ControlError> {
    let Some(folder) = &options.data else {
        return Ok(storage::open(memory::MemoryDisk::new(), options, may_create_group).await?);
    };
    let disk = disk::FolderDisk::open(folder).map_err(|error| errors::ControlError::Folder {
        folder: folder.display().to_string(),
        error,
    })?;
    Ok(storage::open(disk, options, may_create_group).await?)
}

async fn accept_links<C: Clock>(
    state: host::HostHandle<C>,
    listener: links::LinkListener<C>,
    tasks: TaskTracker,
    shutdown: CancellationToken,
    stop_links: CancellationToken,
) {
    loop {
        // Accepts links until the log has stopped, because it needs responses of other control
        // hosts until then.
        let accepted = tokio::select! {
            () = stop_links.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(pending) => {
                let (shutdown, stop_links) = (shutdown.clone(), stop_links.clone());
                tasks.spawn(open_link(state.clone(), pending, shutdown, stop_links));
            }
            Err(error) => {
                // Accepting fails when the system is out of resources such as file descriptors, so
                // retry later.
                tracing::warn!(%error, "failed to accept a link");
                state.clock.sleep(host::SWEEP_INTERVAL).await;
            }
        }
    }
}

async fn open_link<C: Clock>(
    state: host::HostHandle<C>,
    pending: links::PendingLink<C>,
    shutdown: CancellationToken,
    stop_links: CancellationToken,
) {
    let opened = tokio::select! {
        () = stop_links.cancelled() => return,
        opened = pending.open() => opened,
    };
    match opened {
        Ok(link) => match messages::ProcessKind::try_from(link.peer.kind) {
            Ok(messages::ProcessKind::Control) => hosts::serve(state, link, stop_links).await,
            Ok(
                messages::ProcessKind::Entry
                | messages::ProcessKind::Agent
                | messages::ProcessKind::Tool,
            ) => processes::ProcessLink::serve(state, link, shutdown).await,
            _ => link.sender.close(),
        },
        Err(error) => tracing::debug!(%error, "failed to open a link"),
    }
}

/// Expires leases and notifies watchers of changes, once per interval.
async fn sweep_directory<C: Clock>(state: host::HostHandle<C>, shutdown: CancellationToken) {
    let mut notified_revision = 0;
    let mut was_rebuilt = false;
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = state.clock.sleep(host::SWEEP_INTERVAL) => {}
        }
        let now = state.clock.now();
        let mut directory = state.directory();
        directory.sweep(now);
        let revision = directory.revision();
        drop(directory);
        let just_rebuilt = !was_rebuilt && state.is_directory_rebuilt();
        was_rebuilt |= just_rebuilt;
        if revision != notified_revision || just_rebuilt {
            notified_revision = revision;
            state.publish_directory();
        }
    }
}

/// Periodically confirms by a read barrier that this host's settings are current.
async fn confirm_settings<C: Clock>(state: host::HostHandle<C>, shutdown: CancellationToken) {
    loop {
        let confirmed = tokio::select! {
            () = shutdown.cancelled() => return,
            confirmed = state.read_barrier() => confirmed,
        };
        if confirmed.is_ok() {
            state.confirmations.send_modify(|count| *count += 1);
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = state.clock.sleep(host::CONFIRM_INTERVAL) => {}
        }
    }
}

/// Submits the initial tree until there is a result. The state machine ignores it if there is a
/// tree already.
async fn bootstrap<C: Clock>(
    state: host::HostHandle<C>,
    tree: serde_json::Value,
    shutdown: CancellationToken,
) {
    let tree = serde_json::to_vec(&tree).unwrap_or_default().into();
    let bootstrap = commands::BootstrapSettings { tree };
    while !shutdown.is_cancelled() {
        let action = commands::LogAction::Bootstrap(bootstrap.clone());
        let submitted = tokio::select! {
            () = shutdown.cancelled() => return,
            submitted = state.submit(action) => submitted,
        };
        match submitted {
            Ok(result) => {
                tracing::info!(?result, "first settings submitted");
                return;
            }
            Err(_) => state.clock.sleep(host::SWEEP_INTERVAL).await,
        }
    }
}
