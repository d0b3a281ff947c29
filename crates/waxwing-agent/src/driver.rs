//! The I/O around the state machine: links to entries, the endpoint, control hosts and the clock.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_wire::{links, messages};

use crate::{controls, endpoint, errors, events, options, pollers, state};

/// Capacity of the core's input queue; a full queue applies backpressure to links and endpoint
/// calls.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// Delay before accepting again after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time allowed for writing the last messages to links before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// An agent whose listening socket is open, but which does not serve yet.
#[derive(Debug)]
pub struct BoundAgent<C> {
    options: options::AgentOptions,
    endpoint: SocketAddr,
    listener: links::LinkListener<C>,
    address: SocketAddr,
    hello: messages::Hello,
    incarnation: ids::Incarnation,
    counters: counters::CounterSet,
    clock: C,
}

/// Opens the listening socket of an agent.
///
/// # Errors
/// Fails if the address can't be bound or the endpoint URL is not valid.
pub async fn bind<C: Clock>(
    options: options::AgentOptions,
    clock: C,
) -> Result<BoundAgent<C>, errors::AgentError> {
    let endpoint = options.endpoint_address()?;
    let incarnation = new_incarnation(&clock);
    let hello = messages::Hello {
        kind: messages::ProcessKind::Agent as i32,
        name: options.name.to_string(),
        incarnation: incarnation.0,
        data_centre: options.data_centre.to_string(),
    };
    let counters = counters::CounterSet::new();
    let bound = links::LinkListener::bind(
        options.link_address,
        hello.clone(),
        links::LinkOptions::with_counters(&counters),
        options.security.clone(),
        clock.clone(),
    );
    let failure = |error| errors::AgentError::Bind {
        address: options.link_address,
        error,
    };
    let listener = bound.await.map_err(failure)?;
    let address = listener.local_addr().map_err(failure)?;
    Ok(BoundAgent {
        options,
        endpoint,
        listener,
        address,
        hello,
        incarnation,
        counters,
        clock,
    })
}

/// Returns a number that increases with every start. The lowest bits are random, so that two
/// processes that start under one name in the same millisecond differ.
fn new_incarnation<C: Clock>(clock: &C) -> ids::Incarnation {
    let random_bits: u64 = rand::random::<u64>() & 0xFFFF;
    ids::Incarnation((clock.wall_millis() << 16) | random_bits)
}

impl<C: Clock> BoundAgent<C> {
    /// Returns the bound address, to which entries open links.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the incarnation of this start.
    #[must_use]
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// Returns a handle to the counters, which stays valid while the agent runs.
    #[must_use]
    pub fn counters(&self) -> counters::CounterSet {
        self.counters.clone()
    }

    /// Serves until `shutdown`, then refuses offers, finishes running work and returns.
    ///
    /// # Errors
    /// Fails if the agent can't continue to serve.
    pub async fn run(self, shutdown: CancellationToken) -> Result<(), errors::AgentError> {
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (link_sender, opened) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let control = controls::ControlChannel::start(
            &self.options,
            self.announcement(),
            self.counters.clone(),
            input_sender.clone(),
            self.clock.clone(),
        );
        let client = endpoint::EndpointClient::new(self.endpoint, self.clock.clone());
        let poll = pollers::PollTask {
            client: client.clone(),
            role: self.options.role.to_string(),
            core_sender: input_sender.clone(),
            clock: self.clock.clone(),
        };
        let accept = AcceptTask {
            listener: self.listener,
            opened: link_sender,
            core_sender: input_sender.clone(),
            clock: self.clock.clone(),
        };
        let _tasks = [
            AbortOnDropHandle::new(tokio::spawn(poll.run())),
            AbortOnDropHandle::new(tokio::spawn(accept.run())),
        ];
        let limits = self.options.limits.clone();
        let now = self.clock.now();
        let core = state::AgentCore::new(self.incarnation, limits, self.counters, now);
        let mut driver = AgentDriver {
            core,
            inputs,
            input_sender,
            opened,
            links: HashMap::new(),
            runs: HashMap::new(),
            client,
            control,
            clock: self.clock,
        };
        driver.serve(shutdown).await;
        driver.clock.sleep(FLUSH_TIME).await;
        driver.control.leave().await;
        Ok(())
    }

    fn announcement(&self) -> messages::Announce {
        let address = self.options.announced_address.unwrap_or(self.address);
        messages::Announce {
            process: Some(self.hello.clone()),
            address: address.to_string(),
            region: self.options.region.to_string(),
            ..messages::Announce::default()
        }
    }
}

/// Accepts links and spawns a task to read each of them.
struct AcceptTask<C> {
    listener: links::LinkListener<C>,
    opened: mpsc::Sender<(events::LinkId, links::LinkSender)>,
    core_sender: mpsc::Sender<events::AgentInput>,
    clock: C,
}

impl<C: Clock> AcceptTask<C> {
    async fn run(self) {
        let mut next = 1;
        loop {
            let Ok(pending) = self.listener.accept().await else {
                self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let link = events::LinkId(next);
            next += 1;
            let (opened, core_sender) = (self.opened.clone(), self.core_sender.clone());
            tokio::spawn(async move {
                match pending.open().await {
                    Ok(open) => read_link(link, open, opened, core_sender).await,
                    Err(error) => tracing::debug!(%error, "link handshake failed"),
                }
            });
        }
    }
}

async fn read_link(
    link: events::LinkId,
    open: links::Link,
    opened: mpsc::Sender<(events::LinkId, links::LinkSender)>,
    core_sender: mpsc::Sender<events::AgentInput>,
) {
    let links::Link {
        sender,
        mut receiver,
        peer,
        ..
    } = open;
    if opened.send((link, sender.clone())).await.is_err() {
        return;
    }
    tracing::debug!(peer = %peer.name, "link opened");
    let mut core_running = core_sender
        .send(events::AgentInput::LinkOpened { link })
        .await
        .is_ok();
    while core_running {
        let Ok(envelope) = receiver.recv().await else {
            break;
        };
        let correlation = envelope.correlation;
        core_running = match envelope.body {
            None | Some(messages::Body::Heartbeat(_)) => true,
            Some(body) => {
                let input = events::AgentInput::Message {
                    link,
                    correlation,
                    body,
                };
                core_sender.send(input).await.is_ok()
            }
        };
    }
    sender.close();
    // A closed input queue means that the process is ending.
    let _ = core_sender
        .send(events::AgentInput::LinkClosed { link })
        .await;
}

/// Feeds inputs to the core and performs its outputs.
struct AgentDriver<C> {
    core: state::AgentCore,
    inputs: mpsc::Receiver<events::AgentInput>,
    input_sender: mpsc::Sender<events::AgentInput>,
    opened: mpsc::Receiver<(events::LinkId, links::LinkSender)>,
    links: HashMap<events::LinkId, links::LinkSender>,
    runs: HashMap<events::RunId, endpoint::RunControl>,
    client: endpoint::EndpointClient<C>,
    control: controls::ControlChannel<C>,
    clock: C,
}

impl<C: Clock> AgentDriver<C> {
    async fn serve(&mut self, shutdown: CancellationToken) {
        let mut leaving = false;
        let mut last_tick = self.clock.now();
        while !(leaving && self.core.is_drained()) {
            let input = tokio::select! {
                biased;
                () = shutdown.cancelled(), if !leaving => {
                    leaving = true;
                    events::AgentInput::Shutdown
                }
                Some((link, sender)) = self.opened.recv() => {
                    self.links.insert(link, sender);
                    continue;
                }
                Some(input) = self.inputs.recv() => input,
                () = self.clock.sleep(self.core.tick_interval()) => events::AgentInput::Tick,
            };
            self.step(input);
            let now = self.clock.now();
            if now.saturating_duration_since(last_tick) >= self.core.tick_interval() {
                last_tick = now;
                self.step(events::AgentInput::Tick);
            }
            let leaving = self.core.is_draining();
            self.control.announce(self.core.info(), leaving);
        }
    }

    fn step(&mut self, input: events::AgentInput) {
        if let events::AgentInput::LinkClosed { link } = &input {
            self.links.remove(link);
        }
        for output in self.core.handle(self.clock.now(), input) {
            self.perform(output);
        }
    }

    fn perform(&mut self, output: events::AgentOutput) {
        match output {
            events::AgentOutput::Send {
                link,
                correlation,
                body,
            } => self.send(link, correlation, body),
            events::AgentOutput::Control { correlation, body } => {
                self.control.send(correlation, body);
            }
            events::AgentOutput::Start { run, call } => {
                self.remove_ended_runs();
                let control = self.client.start(run, call, self.input_sender.clone());
                self.runs.insert(run, control);
            }
            events::AgentOutput::Stop {
                run,
                request_id,
                export,
            } => self.stop(run, request_id, export),
            events::AgentOutput::PauseReading(run) => self.pause(run, true),
            events::AgentOutput::ResumeReading(run) => self.pause(run, false),
            events::AgentOutput::Order(order) => self.order(order),
        }
    }

    fn send(&mut self, link: events::LinkId, correlation: u64, body: messages::Body) {
        let Some(sender) = self.links.get(&link) else {
            return;
        };
        // A full queue loses this message, so the link is closed; the entry resumes over another
        // one.
        if sender.try_send(correlation, body).is_err() {
            sender.close();
        }
    }

    fn pause(&self, run: events::RunId, paused: bool) {
        if let Some(control) = self.runs.get(&run) {
            control.pause(paused);
        }
    }

    fn stop(&mut self, run: events::RunId, request_id: String, export: bool) {
        let control = self.runs.remove(&run);
        let client = self.client.clone();
        let core_sender = self.input_sender.clone();
        tokio::spawn(async move {
            // Exporting precedes the cancellation, since the engine exports only running requests.
            let kv = match export {
                true => pollers::export_kv(&client, &request_id).await,
                false => None,
            };
            pollers::cancel_call(&client, &request_id, control).await;
            // A closed input queue means that the process is ending.
            let _ = core_sender
                .send(events::AgentInput::Stopped { run, kv })
                .await;
        });
    }

    fn order(&self, order: messages::Order) {
        let client = self.client.clone();
        let core_sender = self.input_sender.clone();
        tokio::spawn(async move {
            let number = order.order;
            let outcome = pollers::send_order(client, order).await;
            let ended = events::AgentInput::OrderEnded {
                order: number,
                outcome,
            };
            // A closed input queue means that the process is ending.
            let _ = core_sender.send(ended).await;
        });
    }

    fn remove_ended_runs(&mut self) {
        self.runs.retain(|_, control| !control.is_ended());
    }
}
