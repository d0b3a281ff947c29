//! Export of counters to a statsd collector.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, counters};

/// Interval between exports.
const EXPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Starts a task that sends the counters to `target` at regular intervals, and a last time when
/// `stop` is cancelled. Does nothing without a target. Metric names start with `waxwing.` and
/// `role`.
///
/// # Errors
/// Fails if no local UDP socket can be opened.
pub fn start<C: Clock>(
    counters: counters::CounterSet,
    target: Option<SocketAddr>,
    role: &str,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let Some(target) = target else { return Ok(()) };
    let local: SocketAddr = match target {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = cadence::UdpMetricSink::from(target, socket)?;
    let client = cadence::StatsdClient::from_sink(&format!("waxwing.{role}"), sink);
    let mut exporter = counters::CounterExporter::new(counters, client);
    tokio::spawn(async move {
        loop {
            let stopped = tokio::select! {
                () = clock.sleep(EXPORT_INTERVAL) => false,
                () = stop.cancelled() => true,
            };
            exporter.export();
            if stopped {
                return;
            }
        }
    });
    Ok(())
}
