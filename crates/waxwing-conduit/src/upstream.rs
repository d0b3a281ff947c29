//! Connections to endpoints.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net;
use waxwing_core::clock::Clock;

use crate::{errors, sockets};

/// Time for a connection to be made; a lost first packet is sent again after a second, and by then
/// another endpoint has long answered.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used again; endpoints close theirs some seconds
/// later.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is not used for what may run once at most: a request on a
/// connection that the endpoint is just closing can't be sent again.
const SAFE_IDLE_LIMIT: Duration = Duration::from_millis(1_500);

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// An `IdleConnection` is a connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    since: Instant,
}

/// A `ConnectionPool` holds idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SmolStr, Vec<IdleConnection>>>,
}

/// An `EndpointAnswer` is the head of an answer with the connection that it came over.
#[derive(Debug)]
pub(crate) struct EndpointAnswer {
    pub(crate) response: Response<body::Incoming>,
    sender: RequestSender,
    endpoint: SmolStr,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<SmolStr, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .expect("the table of connections is never left half changed")
    }

    fn take(&self, endpoint: &SmolStr, now: Instant, limit: Duration) -> Option<RequestSender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            let rested = now.saturating_duration_since(connection.since);
            if rested < limit && !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection.sender);
            }
            if rested < IDLE_LIMIT && !connection.sender.is_closed() {
                // Good for other requests still.
                connections.push(connection);
                return None;
            }
        }
        None
    }

    fn put(&self, endpoint: SmolStr, sender: RequestSender, now: Instant) {
        if !sender.is_closed() {
            let connection = IdleConnection { sender, since: now };
            self.idle().entry(endpoint).or_default().push(connection);
        }
    }

    /// Closes connections that were idle for long, and those to endpoints that are gone.
    pub(crate) fn prune(&self, now: Instant, is_known: impl Fn(&SmolStr) -> bool) {
        self.idle().retain(|endpoint, connections| {
            connections.retain(|connection| {
                now.saturating_duration_since(connection.since) < IDLE_LIMIT
                    && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_known(endpoint)
        });
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send<C: Clock>(
        &self,
        clock: &C,
        endpoint: &SmolStr,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<EndpointAnswer, errors::SendError> {
        let limit = if repeatable {
            IDLE_LIMIT
        } else {
            SAFE_IDLE_LIMIT
        };
        let mut request = request;
        if let Some(mut sender) = self.take(endpoint, clock.now(), limit) {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let endpoint = endpoint.clone();
                    return Ok(EndpointAnswer {
                        response,
                        sender,
                        endpoint,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // The connection ended before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(errors::SendError::Lost("the connection ended")),
                },
            }
        }
        let mut sender = self.connect(clock, address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(EndpointAnswer {
                response,
                sender,
                endpoint: endpoint.clone(),
            }),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(errors::SendError::NotSent("the new connection ended")),
                None => Err(errors::SendError::Lost("the new connection ended")),
            },
        }
    }

    async fn connect<C: Clock>(
        &self,
        clock: &C,
        address: SocketAddr,
    ) -> Result<RequestSender, errors::SendError> {
        let connected = tokio::select! {
            connected = net::TcpStream::connect(address) => connected,
            () = clock.sleep(CONNECT_LIMIT) => {
                return Err(errors::SendError::NotSent("no connection in time"));
            }
        };
        let stream = connected.map_err(|_| errors::SendError::NotSent("connection refused"))?;
        sockets::prepare(&stream);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            shaken.map_err(|_| errors::SendError::NotSent("connection ended"))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "a connection to an endpoint ended");
            }
        });
        Ok(sender)
    }

    /// Takes a connection back after the whole answer was read.
    pub(crate) async fn give_back(&self, mut connection: SpentConnection, now: Instant) {
        // The connection is ready once its task has seen the end of the answer.
        if connection.sender.ready().await.is_ok() {
            self.put(connection.endpoint, connection.sender, now);
        }
    }
}

/// A `SpentConnection` is a connection whose answer is being read. Dropping it before the end
/// closes the connection, which tells the endpoint to stop.
#[derive(Debug)]
pub(crate) struct SpentConnection {
    sender: RequestSender,
    endpoint: SmolStr,
}

impl EndpointAnswer {
    /// Splits the answer into its head and body and the connection.
    pub(crate) fn split(self) -> (Response<body::Incoming>, SpentConnection) {
        let spent = SpentConnection {
            sender: self.sender,
            endpoint: self.endpoint,
        };
        (self.response, spent)
    }
}
