//! Reads the counts of the stand-ins of an external fleet over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_standin::{callers, servers::EndpointInfo};

use crate::tallies::StandinTotals;

/// Addresses of the stand-ins of an external fleet.
#[derive(Debug, Clone, Default)]
pub struct StandinAddresses {
    /// Simulated engines.
    pub engines: Vec<SocketAddr>,
    /// Registers, each with its own record store.
    pub registers: Vec<SocketAddr>,
}

/// Sends a `GET` request and returns the body as text; none if the process does not answer or the
/// body is not UTF-8.
pub async fn read_text<C: Clock>(address: SocketAddr, path: &str, clock: &C) -> Option<String> {
    let spec = callers::CallSpec {
        method: Method::GET,
        path: SmolStr::new(path),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let answer = callers::call(address, spec, clock, None).await.ok()?;
    String::from_utf8(answer.body).ok()
}

/// Sends a `GET` request and parses the body as JSON; none if the process does not answer or the
/// body has another form.
pub async fn read_json<C: Clock, T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    clock: &C,
) -> Option<T> {
    let text = read_text(address, path, clock).await?;
    serde_json::from_str(&text).ok()
}

impl StandinAddresses {
    /// Returns the sums of the counts of all stand-ins that answer.
    pub async fn totals<C: Clock>(&self, clock: &C) -> StandinTotals {
        let mut totals = StandinTotals::default();
        for engine in &self.engines {
            let info: Option<EndpointInfo> = read_json(*engine, "/info", clock).await;
            let counts = read_json(*engine, "/counts", clock).await;
            let runs = read_json(*engine, "/runs", clock).await;
            if let (Some(info), Some(counts), Some(runs)) = (info, counts, runs) {
                totals.add_engine(&info.hardware, &counts, &runs);
            }
        }
        for register in &self.registers {
            if let Some(counts) = read_json(*register, "/counts", clock).await {
                totals.add_register(&counts);
            }
        }
        totals
    }
}
