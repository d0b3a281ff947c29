//! A minimal HTTP/1 server for auxiliary endpoints such as metrics, separate from client requests.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;

use crate::bodies;

/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and answers their requests with `respond`, until `shutdown` is cancelled.
/// Connections that are open by then are not closed.
pub async fn serve<C, R, F>(
    listener: net::TcpListener,
    clock: C,
    respond: R,
    shutdown: CancellationToken,
) where
    C: Clock,
    R: Fn(Request<body::Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service::service_fn(move |request| {
                let response = respond(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .max_buf_size(bodies::MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection failed");
            }
        });
    }
}
