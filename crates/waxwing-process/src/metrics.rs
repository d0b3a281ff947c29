//! Prometheus metrics in the text format over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body};
use prometheus::{Encoder as _, IntCounterVec, IntGauge, Opts, Registry};
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;

use crate::listening;

/// Upper bounds of latency histogram buckets in seconds, each twice the previous one: from 5 ms,
/// which is below a decode step, to 20.48 s, which is above the longest deadline.
pub const LATENCY_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 20.48,
];

/// Creates and registers a counter with one label.
///
/// # Errors
/// Fails if the name or the label is invalid, or the name is already registered.
pub fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

/// Creates and registers a gauge.
///
/// # Errors
/// Fails if the name is invalid or already registered.
pub fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// Starts a server for the metrics of a registry at `/metrics`, which runs until `shutdown` is
/// cancelled.
///
/// # Errors
/// Fails if the address can't be bound.
pub async fn serve<C: Clock>(
    address: SocketAddr,
    clock: C,
    registry: prometheus::Registry,
    shutdown: CancellationToken,
) -> std::io::Result<()> {
    let listener = net::TcpListener::bind(address).await?;
    let respond = move |request: Request<body::Incoming>| {
        std::future::ready(answer(&registry, request.uri().path()))
    };
    tokio::spawn(listening::serve(listener, clock, respond, shutdown));
    Ok(())
}

fn answer(registry: &prometheus::Registry, path: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if path != "/metrics" {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut text = Vec::new();
    let encoder = prometheus::TextEncoder::new();
    match encoder.encode(&registry.gather(), &mut text) {
        Ok(()) => *response.body_mut() = Full::new(text.into()),
        Err(error) => {
            tracing::error!(%error, "failed to encode the metrics");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
