//! Counters and histograms in the usual text format over HTTP.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::Encoder as _;
use tokio::net;
use tokio_util::sync::CancellationToken;

/// Upper bounds of the buckets of latency histograms in seconds: powers of two from 5 ms, which is
/// below a decode step, to 20 s, which is above the longest deadline.
pub const LATENCY_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 20.48,
];

/// Serves the metrics of a registry at `/metrics` until `shutdown`.
///
/// # Errors
/// Fails if the address can't be bound.
pub async fn serve(
    address: SocketAddr,
    registry: prometheus::Registry,
    shutdown: CancellationToken,
) -> std::io::Result<()> {
    let listener = net::TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "no reader of metrics can be accepted");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            let registry = registry.clone();
            tokio::spawn(async move {
                let service = service::service_fn(move |request: Request<body::Incoming>| {
                    let answer = answer(&registry, request.uri().path());
                    async move { Ok::<_, Infallible>(answer) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "a reader of metrics failed");
                }
            });
        }
    });
    Ok(())
}

fn answer(registry: &prometheus::Registry, path: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    if path != "/metrics" {
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let mut text = Vec::new();
    let encoder = prometheus::TextEncoder::new();
    match encoder.encode(&registry.gather(), &mut text) {
        Ok(()) => *answer.body_mut() = Full::new(text.into()),
        Err(error) => {
            tracing::error!(%error, "the metrics can't be written");
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    answer
}
