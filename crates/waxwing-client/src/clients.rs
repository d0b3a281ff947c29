//! The handle of the client that a role shares among its tasks.

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

/// Questions and orders that may wait between the handle and the link.
const QUEUE_LENGTH: usize = 1_024;

/// A `ClientQuestion` is a question on its way to the control hosts.
#[derive(Debug)]
pub(crate) struct ClientQuestion {
    pub(crate) body: messages::Body,
    pub(crate) answer: oneshot::Sender<messages::Body>,
}

/// A `ClientShared` is what the handles and the task of the link have in common.
#[derive(Debug)]
pub(crate) struct ClientShared<C> {
    pub(crate) options: options::ClientOptions,
    pub(crate) clock: C,
    pub(crate) started: Instant,
    pub(crate) counters: counters::CounterSet,
    pub(crate) settings: Arc<ArcSwap<view::SettingsView>>,
    pub(crate) mark: freshness::ConfirmationMark,
    pub(crate) versions: watch::Sender<ids::SettingsVersion>,
    /// Whether a quorum has confirmed any version since the start.
    pub(crate) confirmed: watch::Sender<bool>,
    pub(crate) directory: watch::Sender<Arc<directory::DirectoryView>>,
    pub(crate) announcement: watch::Sender<messages::Announce>,
    pub(crate) connected: watch::Sender<bool>,
    pub(crate) switch: tokio::sync::Notify,
}

/// A `ControlClient` is the connection of one process to the control hosts; clones share it.
#[derive(Debug)]
pub struct ControlClient<C> {
    shared: Arc<ClientShared<C>>,
    questions: mpsc::Sender<ClientQuestion>,
    orders: Arc<tokio::sync::Mutex<mpsc::Receiver<messages::Order>>>,
    outbox: mpsc::Sender<messages::Body>,
}

impl<C> Clone for ControlClient<C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            questions: self.questions.clone(),
            orders: self.orders.clone(),
            outbox: self.outbox.clone(),
        }
    }
}

impl<C: Clock> ControlClient<C> {
    /// Starts the client; its task ends with `shutdown`, after a goodbye to the control host.
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
            mark: freshness::ConfirmationMark::new(started),
            versions: watch::Sender::new(ids::SettingsVersion(0)),
            confirmed: watch::Sender::new(false),
            directory: watch::Sender::new(Arc::default()),
            announcement: watch::Sender::new(announcement),
            connected: watch::Sender::new(false),
            switch: tokio::sync::Notify::new(),
        });
        let (questions, question_queue) = mpsc::channel(QUEUE_LENGTH);
        let (order_sender, order_queue) = mpsc::channel(QUEUE_LENGTH);
        let (outbox, out_queue) = mpsc::channel(QUEUE_LENGTH);
        let task = sessions::ClientTask {
            replica: settings::SettingsReplica::new(shared.settings.clone()),
            shared: shared.clone(),
            questions: question_queue,
            orders: order_sender,
            outbox: out_queue,
            shutdown,
            next_host: 0,
        };
        tokio::spawn(task.run());
        Self {
            shared,
            questions,
            orders: Arc::new(tokio::sync::Mutex::new(order_queue)),
            outbox,
        }
    }

    /// Returns the settings in force; a request loads them once and keeps that version.
    #[must_use]
    pub fn settings(&self) -> Arc<view::SettingsView> {
        self.shared.settings.load_full()
    }

    /// Returns the cell that holds the settings in force.
    #[must_use]
    pub fn settings_cell(&self) -> Arc<ArcSwap<view::SettingsView>> {
        self.shared.settings.clone()
    }

    /// Watches the version in force; a confirmation of the same version is no change.
    #[must_use]
    pub fn watch_version(&self) -> watch::Receiver<ids::SettingsVersion> {
        self.shared.versions.subscribe()
    }

    /// Watches the directory; each change is a new view.
    #[must_use]
    pub fn watch_directory(&self) -> watch::Receiver<Arc<directory::DirectoryView>> {
        self.shared.directory.subscribe()
    }

    /// Watches whether a link to a control host is open.
    #[must_use]
    pub fn watch_connected(&self) -> watch::Receiver<bool> {
        self.shared.connected.subscribe()
    }

    /// Tells how old the confirmation of the settings is.
    #[must_use]
    pub fn freshness(&self) -> freshness::SettingsFreshness {
        let shared = &self.shared;
        let limit = shared.settings.load().tree.fleet.stale_settings_limit_s;
        shared.mark.freshness(
            shared.clock.now(),
            shared.options.stale_after,
            Duration::from_secs(limit),
        )
    }

    /// Waits until the first settings version has been confirmed by a quorum.
    ///
    /// # Errors
    /// Fails if the client has been shut down.
    pub async fn wait_confirmed(&self) -> Result<(), errors::ClientError> {
        let mut confirmed = self.shared.confirmed.subscribe();
        let waited = confirmed.wait_for(|confirmed| *confirmed).await;
        waited.map(|_| ()).map_err(|_| errors::ClientError::Closed)
    }

    /// Changes the announcement; it is sent at once and again with every interval.
    pub fn update_announcement(&self, change: impl FnOnce(&mut messages::Announce)) {
        self.shared.announcement.send_modify(change);
    }

    /// Says at once that this process takes no new work.
    pub fn set_leaving(&self) {
        self.update_announcement(|announcement| announcement.leaving = true);
    }

    /// Claims a key, or looks a claim up. A lost answer is asked for again at the next control
    /// host with the same ids, which the log recognises.
    ///
    /// # Errors
    /// Fails if the settings are stale or no control host answers in time; nothing may be handed
    /// over then.
    pub async fn claim(
        &self,
        question: messages::ClaimKey,
    ) -> Result<messages::ClaimResult, errors::ClientError> {
        if !question.lookup && !self.freshness().allows_claims() {
            return Err(errors::ClientError::Stale);
        }
        match self.ask(messages::Body::ClaimKey(question)).await? {
            messages::Body::ClaimResult(result) => Ok(result),
            _ => Err(errors::ClientError::UnexpectedAnswer),
        }
    }

    /// Stores the result of a claimed request; the caller repeats it until it succeeds.
    ///
    /// # Errors
    /// Fails if no control host answers in time.
    pub async fn complete(
        &self,
        completion: messages::CompleteClaim,
    ) -> Result<(), errors::ClientError> {
        match self.ask(messages::Body::CompleteClaim(completion)).await? {
            messages::Body::ClaimCompleted(_) => Ok(()),
            _ => Err(errors::ClientError::UnexpectedAnswer),
        }
    }

    /// Asks for the highest fencing number of the agreed state.
    ///
    /// # Errors
    /// Fails if no control host answers in time.
    pub async fn ask_fencing(&self) -> Result<ids::FencingNumber, errors::ClientError> {
        let question = messages::Body::AskFencing(messages::AskFencing {});
        match self.ask(question).await? {
            messages::Body::Fencing(fencing) => Ok(ids::FencingNumber(fencing.number)),
            _ => Err(errors::ClientError::UnexpectedAnswer),
        }
    }

    /// Waits for the next engine order; `None` after the client has been shut down.
    pub async fn next_order(&self) -> Option<messages::Order> {
        self.orders.lock().await.recv().await
    }

    /// Reports the result of an engine order; it is lost if no control host can be reached, and
    /// the decider asks again.
    pub fn report_order(&self, result: messages::OrderResult) {
        let _ = self.outbox.try_send(messages::Body::OrderResult(result));
    }

    async fn ask(&self, body: messages::Body) -> Result<messages::Body, errors::ClientError> {
        let clock = &self.shared.clock;
        let options = &self.shared.options;
        let started = clock.now();
        loop {
            let (answer, receiver) = oneshot::channel();
            let question = ClientQuestion {
                body: body.clone(),
                answer,
            };
            let attempt = async {
                self.questions
                    .send(question)
                    .await
                    .map_err(|_| errors::ClientError::Closed)?;
                Ok(receiver.await.ok())
            };
            let mut pause = options.retry_pause;
            tokio::select! {
                answer = attempt => match answer? {
                    Some(messages::Body::Unavailable(unavailable)) => {
                        pause = pause.max(Duration::from_millis(unavailable.retry_after_millis));
                    }
                    Some(answer) => return Ok(answer),
                    // The link ended; the task is on its way to the next host.
                    None => {}
                },
                () = clock.sleep(options.answer_limit) => self.shared.switch.notify_one(),
            }
            self.shared
                .counters
                .retry(reasons::RetryReason::ClaimTimeout);
            let left = options
                .question_limit
                .saturating_sub(clock.now().saturating_duration_since(started));
            if left <= pause {
                return Err(errors::ClientError::Unavailable);
            }
            clock.sleep(pause).await;
        }
    }
}
