//! A small HTTP server for the interfaces beside the callers' one.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;

/// Pause after a failed accept, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests with `respond` until `shutdown`.
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
                tracing::warn!(%error, "no connection can be accepted");
                clock.sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service::service_fn(move |request| {
                let answered = respond(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection failed");
            }
        });
    }
}
