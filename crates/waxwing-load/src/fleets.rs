//! Where a run goes: addresses that callers use, and the counts of the stand-ins behind them.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_standin::{callers, servers::EndpointInfo};

use crate::tallies::StandinTotals;

/// `StandinAddresses` list the stand-ins of a fleet that runs elsewhere.
#[derive(Debug, Clone, Default)]
pub struct StandinAddresses {
    /// Engines.
    pub engines: Vec<SocketAddr>,
    /// Registers, each with records of its own.
    pub registers: Vec<SocketAddr>,
}

/// Reads a page as text; none if the process does not answer.
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

/// Reads a page as JSON; none if the process does not answer.
pub async fn read_page<C: Clock, T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    clock: &C,
) -> Option<T> {
    let text = read_text(address, path, clock).await?;
    serde_json::from_str(&text).ok()
}

impl StandinAddresses {
    /// Reads the counts of all stand-ins that answer.
    pub async fn totals<C: Clock>(&self, clock: &C) -> StandinTotals {
        let mut totals = StandinTotals::default();
        for engine in &self.engines {
            let info: Option<EndpointInfo> = read_page(*engine, "/info", clock).await;
            let counts = read_page(*engine, "/counts", clock).await;
            let runs = read_page(*engine, "/runs", clock).await;
            if let (Some(info), Some(counts), Some(runs)) = (info, counts, runs) {
                totals.add_engine(&info.hardware, &counts, &runs);
            }
        }
        for register in &self.registers {
            if let Some(counts) = read_page(*register, "/counts", clock).await {
                totals.add_register(&counts);
            }
        }
        totals
    }
}
