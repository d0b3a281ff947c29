//! Pool of HTTP connections to endpoints.

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

use crate::{errors, sockets, uploads};

/// Timeout for opening a connection. A lost SYN is retransmitted only after a second; another
/// endpoint can answer long before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection ended until the endpoint is checked: a process that crashes closes
/// its connections and its listening socket at nearly the same time.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(5);

/// Idle time after which a connection is not reused; endpoints close idle connections a few seconds
/// later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is not reused for a request that may run at most once. Such a
/// request can't be sent again if it meets a connection that the endpoint is just closing.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Size of the read buffer of a connection, and with it the limit on the head of an answer. While a
/// caller doesn't read, its stream holds this twice.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The side of a connection to an endpoint that sends requests.
#[derive(Debug)]
struct RequestSender {
    sender: http1::SendRequest<Full<Bytes>>,
    end: uploads::StreamEnd,
}

impl RequestSender {
    /// Tells whether the connection can't take another request.
    fn is_closed(&self) -> bool {
        self.end.has_come() || self.sender.is_closed()
    }
}

/// A connection that is ready for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    /// When the previous request on it ended.
    since: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SmolStr, Vec<IdleConnection>>>,
}

/// An answer whose head has arrived, with the connection that it arrives on.
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
            .expect("no panic occurs while the connection table is locked")
    }

    fn take_idle(
        &self,
        endpoint: &SmolStr,
        now: Instant,
        idle_limit: Duration,
    ) -> Option<RequestSender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            let idle_time = now.saturating_duration_since(connection.since);
            if idle_time < idle_limit
                && !connection.sender.is_closed()
                && connection.sender.sender.is_ready()
            {
                return Some(connection.sender);
            }
            if idle_time < IDLE_TIMEOUT && !connection.sender.is_closed() {
                // Not usable for this request, but possibly for a later one that may be repeated.
                connections.push(connection);
                return None;
            }
        }
        None
    }

    fn put_idle(&self, endpoint: SmolStr, sender: RequestSender, now: Instant) {
        if !sender.is_closed() {
            let connection = IdleConnection { sender, since: now };
            self.idle().entry(endpoint).or_default().push(connection);
        }
    }

    /// Closes connections that were idle for too long and those to endpoints that no longer exist.
    pub(crate) fn prune(&self, now: Instant, is_known: impl Fn(&SmolStr) -> bool) {
        self.idle().retain(|endpoint, connections| {
            connections.retain(|connection| {
                now.saturating_duration_since(connection.since) < IDLE_TIMEOUT
                    && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_known(endpoint)
        });
    }

    /// Sends a request over an idle or a new connection and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails with `NotSent` if no byte was written, and with `Lost` if the request may have run.
    pub(crate) async fn send<C: Clock>(
        &self,
        clock: &C,
        endpoint: &SmolStr,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<EndpointAnswer, errors::SendError> {
        let idle_limit = if repeatable {
            IDLE_TIMEOUT
        } else {
            NON_IDEMPOTENT_IDLE_TIMEOUT
        };
        let mut request = request;
        if let Some(mut sender) = self.take_idle(endpoint, clock.now(), idle_limit) {
            match sender.sender.try_send_request(request).await {
                Ok(response) => {
                    let endpoint = endpoint.clone();
                    return Ok(EndpointAnswer {
                        response,
                        sender,
                        endpoint,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // The idle connection closed before anything was written, so a new one is used.
                    Some(unsent) => request = unsent,
                    None => return Err(errors::SendError::Lost("the connection ended")),
                },
            }
        }
        let mut sender = self.connect(clock, address).await?;
        match sender.sender.try_send_request(request).await {
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
            () = clock.sleep(CONNECT_TIMEOUT) => {
                return Err(errors::SendError::NotSent("no connection in time"));
            }
        };
        let stream = connected.map_err(|_| errors::SendError::NotSent("connection refused"))?;
        sockets::prepare(&stream, sockets::UNSENT_REQUEST_BYTES);
        let stream = uploads::EndpointStream::new(stream);
        let end = stream.end();
        let established = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) =
            established.map_err(|_| errors::SendError::NotSent("connection ended"))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "a connection to an endpoint ended");
            }
        });
        Ok(RequestSender { sender, end })
    }

    /// Returns a connection to the pool after the whole answer was read.
    pub(crate) async fn release(&self, mut connection: BusyConnection, now: Instant) {
        // The connection becomes ready once its task has processed the end of the answer.
        if connection.sender.sender.ready().await.is_ok() {
            self.put_idle(connection.endpoint, connection.sender, now);
        }
    }
}

/// Tells whether no process accepts connections at an address that is reachable.
pub(crate) async fn refuses_connections<C: Clock>(clock: &C, address: SocketAddr) -> bool {
    clock.sleep(CRASH_CHECK_DELAY).await;
    let connecting = net::TcpStream::connect(address);
    tokio::select! {
        connected = connecting => connected
            .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused),
        () = clock.sleep(CONNECT_TIMEOUT) => false,
    }
}

/// A connection on which an answer is still being read. Dropping it before the end closes the
/// connection, which tells the endpoint to stop.
#[derive(Debug)]
pub(crate) struct BusyConnection {
    sender: RequestSender,
    endpoint: SmolStr,
}

impl EndpointAnswer {
    /// Separates the response from its connection.
    pub(crate) fn split(self) -> (Response<body::Incoming>, BusyConnection) {
        let busy = BusyConnection {
            sender: self.sender,
            endpoint: self.endpoint,
        };
        (self.response, busy)
    }
}
