//! The handle of the client, shared by the tasks of a process.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters, ids, reasons};
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::{directory, errors, freshness, options, sessions, settings};

/// Capacity, in messages, of each queue between the handles and the task of the link.
const QUEUE_CAPACITY: usize = 1_024;

/// A request to the control hosts and the channel for its response.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub(crate) body: messages::Body,
    pub(crate) response: oneshot::Sender<messages::Body>,
}

/// State shared by the handles and the task of the link.
#[derive(Debug)]
pub(crate) struct ClientShared<C> {
    pub(crate) options: options::ClientOptions,
    pub(crate) clock: C,
    pub(crate) started: Instant,
    pub(crate) counters: counters::CounterSet,
    pub(crate) settings: Arc<ArcSwap<view::SettingsView>>,
    pub(crate) last_confirmation: freshness::LastConfirmation,
    pub(crate) versions: watch::Sender<ids::SettingsVersion>,
    /// Whether a quorum has confirmed the version in force at least once since the start.
    pub(crate) confirmed: watch::Sender<bool>,
    pub(crate) directory: watch::Sender<Arc<directory::DirectoryView>>,
    pub(crate) announcement: watch::Sender<messages::Announce>,
    pub(crate) connected: watch::Sender<bool>,
    /// Tells the task to switch to the next control host, since a request timed out.
    pub(crate) switch_host: tokio::sync::Notify,
}

/// The client of one process for the control hosts; clones share one link.
#[derive(Debug)]
pub struct ControlClient<C> {
    shared: Arc<ClientShared<C>>,
    requests: mpsc::Sender<ClientRequest>,
    orders: Arc<tokio::sync::Mutex<mpsc::Receiver<messages::Order>>>,
    outbox: mpsc::Sender<messages::Body>,
}

impl<C> Clone for ControlClient<C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            requests: self.requests.clone(),
            orders: self.orders.clone(),
            outbox: self.outbox.clone(),
        }
    }
}

impl<C: Clock> ControlClient<C> {
    /// Starts the task of the client. When `shutdown` is cancelled, the task tells the control host
    /// that the process is leaving, and ends.
    pub fn start(
        options: options::ClientOptions,
        clock: C,
        counters: counters::CounterSet,
        shutdown: CancellationToken,
    ) -> Self {
        let started = clock.now();
        let announcement = options.announcement.clone();
        let shared = Arc::new(ClientShared {
            options,
            clock,
            started,
            counters,
            settings: Arc::new(ArcSwap::from_pointee(view::SettingsView::default())),
            last_confirmation: freshness::LastConfirmation::new(started),
            versions: watch::Sender::new(ids::SettingsVersion(0)),
            confirmed: watch::Sender::new(false),
            directory: watch::Sender::new(Arc::default()),
            announcement: watch::Sender::new(announcement),
            connected: watch::Sender::new(false),
            switch_host: tokio::sync::Notify::new(),
        });
        let (requests, request_queue) = mpsc::channel(QUEUE_CAPACITY);
        let (order_sender, order_queue) = mpsc::channel(QUEUE_CAPACITY);
        let (outbox, out_queue) = mpsc::channel(QUEUE_CAPACITY);
        let task = sessions::ClientTask {
            replica: settings::SettingsReplica::new(shared.settings.clone()),
            shared: shared.clone(),
            requests: request_queue,
            orders: order_sender,
            outbox: out_queue,
            shutdown,
            next_host: 0,
        };
        tokio::spawn(task.run());
        Self {
            shared,
            requests,
            orders: Arc::new(tokio::sync::Mutex::new(order_queue)),
            outbox,
        }
    }

    /// Returns the settings in force. A caller's request loads them once, so that it sees one
    /// version throughout.
    #[must_use]
    pub fn settings(&self) -> Arc<view::SettingsView> {
        self.shared.settings.load_full()
    }

    /// Returns the shared cell whose content is replaced with each new settings version.
    #[must_use]
    pub fn settings_cell(&self) -> Arc<ArcSwap<view::SettingsView>> {
        self.shared.settings.clone()
    }

    /// Watches the version in force. A repeated confirmation of the same version doesn't count as a
    /// change.
    #[must_use]
    pub fn watch_version(&self) -> watch::Receiver<ids::SettingsVersion> {
        self.shared.versions.subscribe()
    }

    /// Watches the directory.
    #[must_use]
    pub fn watch_directory(&self) -> watch::Receiver<Arc<directory::DirectoryView>> {
        self.shared.directory.subscribe()
    }

    /// Watches whether a link to a control host is open.
    #[must_use]
    pub fn watch_connected(&self) -> watch::Receiver<bool> {
        self.shared.connected.subscribe()
    }

    /// Classifies the settings in force by the age of their last confirmation.
    #[must_use]
    pub fn freshness(&self) -> freshness::SettingsFreshness {
        let shared = &self.shared;
        let expires_after_s = shared.settings.load().tree.fleet.stale_settings_limit_s;
        shared.last_confirmation.freshness(
            shared.clock.now(),
            shared.options.stale_after,
            Duration::from_secs(expires_after_s),
        )
    }

    /// Waits until a quorum has confirmed the settings in force for the first time since the start.
    ///
    /// # Errors
    /// Fails if the client has been shut down.
    pub async fn wait_confirmed(&self) -> Result<(), errors::ClientError> {
        let mut confirmed = self.shared.confirmed.subscribe();
        let outcome = confirmed.wait_for(|confirmed| *confirmed).await;
        outcome.map(|_| ()).map_err(|_| errors::ClientError::Closed)
    }

    /// Changes the announcement. It is sent at once and then repeated with every interval.
    pub fn update_announcement(&self, change: impl FnOnce(&mut messages::Announce)) {
        self.shared.announcement.send_modify(change);
    }

    /// Announces at once that this process takes no new work.
    pub fn announce_leaving(&self) {
        self.update_announcement(|announcement| announcement.leaving = true);
    }

    /// Claims an idempotency key, or looks up an existing claim. If the response is late or lost,
    /// the request is retried at the next control host with the same ids, by which the replicated
    /// log detects duplicates.
    ///
    /// # Errors
    /// Fails if the settings are stale or no control host responds in time. The caller's request
    /// must not be handed over then.
    pub async fn claim(
        &self,
        request: messages::ClaimKey,
    ) -> Result<messages::ClaimResult, errors::ClientError> {
        if !request.lookup && !self.freshness().allows_claims() {
            return Err(errors::ClientError::Stale);
        }
        match self.call(messages::Body::ClaimKey(request)).await? {
            messages::Body::ClaimResult(result) => Ok(result),
            _ => Err(errors::ClientError::UnexpectedResponse),
        }
    }

    /// Stores the result of a claimed request. Callers repeat this until it succeeds.
    ///
    /// # Errors
    /// Fails if no control host responds in time.
    pub async fn complete(
        &self,
        completion: messages::CompleteClaim,
    ) -> Result<(), errors::ClientError> {
        match self.call(messages::Body::CompleteClaim(completion)).await? {
            messages::Body::ClaimCompleted(_) => Ok(()),
            _ => Err(errors::ClientError::UnexpectedResponse),
        }
    }

    /// Returns the highest fencing number in the replicated state.
    ///
    /// # Errors
    /// Fails if no control host responds in time.
    pub async fn request_fencing_number(&self) -> Result<ids::FencingNumber, errors::ClientError> {
        let request = messages::Body::AskFencing(messages::AskFencing {});
        match self.call(request).await? {
            messages::Body::Fencing(fencing) => Ok(ids::FencingNumber(fencing.number)),
            _ => Err(errors::ClientError::UnexpectedResponse),
        }
    }

    /// Waits for the next engine order; returns `None` after the client has been shut down.
    pub async fn next_order(&self) -> Option<messages::Order> {
        self.orders.lock().await.recv().await
    }

    /// Queues the result of an engine order. The result is lost if the queue is full or the link
    /// ends before it is sent; the placement controller then sends the order again.
    pub fn report_order(&self, result: messages::OrderResult) {
        let _ = self.outbox.try_send(messages::Body::OrderResult(result));
    }

    /// Sends a request and waits for its response. After a lost link, a timeout or an `Unavailable`
    /// response it is sent again, until `request_timeout` has passed. A timeout also makes the
    /// client switch to the next control host.
    async fn call(&self, body: messages::Body) -> Result<messages::Body, errors::ClientError> {
        let clock = &self.shared.clock;
        let options = &self.shared.options;
        let started = clock.now();
        loop {
            let (response, receiver) = oneshot::channel();
            let request = ClientRequest {
                body: body.clone(),
                response,
            };
            let attempt = async {
                self.requests
                    .send(request)
                    .await
                    .map_err(|_| errors::ClientError::Closed)?;
                Ok(receiver.await.ok())
            };
            let mut delay = options.retry_delay;
            tokio::select! {
                response = attempt => match response? {
                    Some(messages::Body::Unavailable(unavailable)) => {
                        delay = delay.max(Duration::from_millis(unavailable.retry_after_millis));
                    }
                    Some(response) => return Ok(response),
                    // The link ended, so the task is already connecting to the next host.
                    None => {}
                },
                () = clock.sleep(options.attempt_timeout) => self.shared.switch_host.notify_one(),
            }
            self.shared
                .counters
                .count_retry(reasons::RetryReason::ClaimTimeout);
            let remaining = options
                .request_timeout
                .saturating_sub(clock.now().saturating_duration_since(started));
            if remaining <= delay {
                return Err(errors::ClientError::Unavailable);
            }
            clock.sleep(delay).await;
        }
    }
}
