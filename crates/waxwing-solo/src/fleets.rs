//! The fleet: starts all runtimes in order, waits until they serve, and stops them.

use std::{fs, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::Method;
use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};
use waxwing_agent::AgentOptions;
use waxwing_control::{ControlOptions, options::PeerOptions};
use waxwing_core::{
    clock::{Clock, SystemClock},
    ids,
};
use waxwing_entry::EntryOptions;
use waxwing_standin::{
    callers, registers,
    servers::{self, StandinService},
};

use crate::{errors::SoloError, options, runtimes::RoleRuntime};

/// Time limit for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed readiness probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// A running stand-in endpoint.
#[derive(Debug)]
pub struct StandinRuntime {
    /// The runtime that it runs on.
    pub runtime: RoleRuntime,
    /// The handle for reading counts and injecting faults; it stays usable after the runtime ends.
    pub service: StandinService<SystemClock>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// A running fleet in this process.
#[derive(Debug)]
pub struct SoloFleet {
    options: Arc<options::SoloOptions>,
    /// Runtimes of the control hosts.
    pub controls: Vec<RoleRuntime>,
    /// Stand-in engines.
    pub runners: Vec<StandinRuntime>,
    /// Stand-in registers.
    pub registers: Vec<StandinRuntime>,
    /// Runtimes of the agents, those of the engines first.
    pub agents: Vec<RoleRuntime>,
    /// Runtimes of the entries.
    pub entries: Vec<RoleRuntime>,
    /// Addresses at which the entries serve callers.
    pub entry_addresses: Vec<SocketAddr>,
    /// Addresses of the operators' interface of the control hosts.
    pub operator_addresses: Vec<SocketAddr>,
    /// The records that all registers share.
    pub records: registers::RecordStore,
    links: Vec<SocketAddr>,
}

fn process_name(kind: &str, index: usize) -> ids::ProcessName {
    let name = format!("{kind}-{}", index + 1);
    name.parse().expect("letters, digits and `-` are a name")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl SoloFleet {
    /// Starts all runtimes and waits until every entry answers every probe.
    ///
    /// # Errors
    /// Fails if a runtime can't be started or the fleet does not become ready in time.
    pub async fn start(options: options::SoloOptions) -> Result<Self, SoloError> {
        let mut fleet = Self {
            options: Arc::new(options),
            controls: Vec::new(),
            runners: Vec::new(),
            registers: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            entry_addresses: Vec::new(),
            operator_addresses: Vec::new(),
            records: registers::RecordStore::default(),
            links: Vec::new(),
        };
        fleet.start_controls().await?;
        fleet.start_standins().await?;
        fleet.start_agents().await?;
        fleet.start_entries().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_controls(&mut self) -> Result<(), SoloError> {
        let mut bound = Vec::new();
        for index in 0..self.options.controls as usize {
            let runtime = RoleRuntime::new(format_smolstr!("control-{}", index + 1), 1)?;
            let options = self.control_options(index)?;
            let control = runtime
                .bind(waxwing_control::bind(options, SystemClock))
                .await?;
            self.links.push(control.link_address());
            self.operator_addresses.push(control.http_address());
            bound.push((runtime, control));
        }
        for (index, (mut runtime, mut control)) in bound.into_iter().enumerate() {
            let others = self
                .links
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let peers = others.map(|(other, link)| PeerOptions {
                name: process_name("control", other),
                link: *link,
            });
            control.set_peers(peers.collect());
            if index == 0 {
                let set = control.set_initial_tree(self.options.tree.clone());
                set.map_err(|findings| SoloError::Tree(format!("{findings:?}")))?;
            }
            let name = runtime.name().clone();
            runtime.run(|shutdown| async move {
                if let Err(error) = control.run(shutdown).await {
                    tracing::error!(%name, %error, "control host ended");
                }
            });
            self.controls.push(runtime);
        }
        Ok(())
    }

    fn control_options(&self, index: usize) -> Result<ControlOptions, SoloError> {
        let folder = self.options.data.join(format!("control-{}", index + 1));
        fs::create_dir_all(&folder).map_err(|error| SoloError::Folder {
            folder: folder.to_string_lossy().to_smolstr(),
            error,
        })?;
        Ok(ControlOptions {
            name: process_name("control", index),
            data_centre: self.options.data_centre(index),
            region: self.options.region.clone(),
            link: loopback(),
            http: loopback(),
            data: Some(folder),
            found: index == 0,
            peers: Vec::new(),
            tls: None,
            settings: None,
        })
    }

    async fn start_standins(&mut self) -> Result<(), SoloError> {
        for (index, options) in self.options.clone().runners.iter().enumerate() {
            let name = format_smolstr!("runner-{}", index + 1);
            self.runners.push(self.start_standin(name, options).await?);
        }
        for (index, options) in self.options.clone().registers.iter().enumerate() {
            let name = format_smolstr!("register-{}", index + 1);
            self.registers
                .push(self.start_standin(name, options).await?);
        }
        Ok(())
    }

    async fn start_standin(
        &self,
        name: SmolStr,
        options: &waxwing_standin::options::StandinOptions,
    ) -> Result<StandinRuntime, SoloError> {
        let mut runtime = RoleRuntime::new(name, 1)?;
        let bind = servers::bind_shared(options.clone(), self.records.clone(), SystemClock);
        let bound = runtime.bind(bind).await?;
        let (address, service) = (bound.address(), bound.service());
        runtime.run(|shutdown| bound.run(shutdown));
        Ok(StandinRuntime {
            runtime,
            service,
            address,
        })
    }

    async fn start_agents(&mut self) -> Result<(), SoloError> {
        let engines = self.runners.iter().map(|standin| standin.address);
        let engines = engines.map(|address| (address, self.options.runner_role.clone()));
        let plain = self.registers.iter().map(|standin| standin.address);
        let plain = plain.map(|address| (address, self.options.register_role.clone()));
        let endpoints: Vec<_> = engines.chain(plain).collect();
        for (index, (address, role)) in endpoints.into_iter().enumerate() {
            let agent = self.start_agent(index, address, role).await?;
            self.agents.push(agent);
        }
        Ok(())
    }

    async fn start_agent(
        &self,
        index: usize,
        endpoint: SocketAddr,
        role: ids::RoleName,
    ) -> Result<RoleRuntime, SoloError> {
        let mut runtime = RoleRuntime::new(format_smolstr!("agent-{}", index + 1), 1)?;
        let options = AgentOptions {
            name: process_name("agent", index),
            data_centre: self.options.data_centre(index),
            region: self.options.region.clone(),
            link_address: loopback(),
            announced_address: None,
            endpoint: format_smolstr!("http://{endpoint}"),
            role,
            control: self.links.clone(),
            limits: waxwing_agent::options::AgentLimits::default(),
            tls: None,
            security: waxwing_wire::security::LinkSecurity::Plain,
        };
        let bound = runtime
            .bind(waxwing_agent::bind(options, SystemClock))
            .await?;
        let name = runtime.name().clone();
        runtime.run(|shutdown| async move {
            if let Err(error) = bound.run(shutdown).await {
                tracing::error!(%name, %error, "agent ended");
            }
        });
        Ok(runtime)
    }

    async fn start_entries(&mut self) -> Result<(), SoloError> {
        for index in 0..self.options.entries as usize {
            let mut runtime = RoleRuntime::new(format_smolstr!("entry-{}", index + 1), 2)?;
            let options = EntryOptions {
                name: process_name("entry", index),
                data_centre: self.options.data_centre(index),
                region: self.options.region.clone(),
                http_address: loopback(),
                control_hosts: self.links.clone(),
                body_memory_bytes: waxwing_core::units::ByteCount(256 * 1024 * 1024),
                // No load balancer has to notice a failing readiness check here.
                readiness_delay_ms: 0,
                watch_limit: 160,
                tls: None,
                link_tls: None,
            };
            let bound = runtime
                .bind(waxwing_entry::bind(options, SystemClock))
                .await?;
            self.entry_addresses.push(bound.http_address());
            runtime.run(|shutdown| async move { bound.run(shutdown).await });
            self.entries.push(runtime);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), SoloError> {
        let started = SystemClock.now();
        for entry in &self.entry_addresses {
            for probe in &self.options.probes {
                self.wait_probe(*entry, probe, started).await?;
            }
        }
        Ok(())
    }

    async fn wait_probe(
        &self,
        entry: SocketAddr,
        probe: &options::FleetProbe,
        started: std::time::Instant,
    ) -> Result<(), SoloError> {
        loop {
            let seen = match send_probe(entry, probe).await {
                // A missing record is an answer of the register, so the service is reachable.
                Ok(answer)
                    if callers::is_success_status(answer.status) || is_missing_record(&answer) =>
                {
                    return Ok(());
                }
                Ok(answer) => String::from_utf8_lossy(&answer.body).to_smolstr(),
                Err(error) => error.to_smolstr(),
            };
            let waited = SystemClock.now().saturating_duration_since(started);
            if waited > READY_TIMEOUT {
                let seconds = READY_TIMEOUT.as_secs();
                return Err(SoloError::NotReady { seconds, seen });
            }
            SystemClock.sleep(PROBE_INTERVAL).await;
        }
    }

    /// Stops entries first, then agents, stand-ins and control hosts, each gracefully.
    pub async fn stop(mut self) {
        let standins = self.runners.iter_mut().chain(&mut self.registers);
        let standins = standins.map(|standin| &mut standin.runtime);
        let groups: [Vec<&mut RoleRuntime>; 4] = [
            self.entries.iter_mut().collect(),
            self.agents.iter_mut().collect(),
            standins.collect(),
            self.controls.iter_mut().collect(),
        ];
        for group in groups {
            group.iter().for_each(|runtime| runtime.request_shutdown());
            for runtime in group {
                runtime.stop().await;
            }
        }
    }
}

fn is_missing_record(answer: &callers::CallAnswer) -> bool {
    answer.status == 404
        && answer
            .body
            .windows(14)
            .any(|text| text == b"no such record")
}

async fn send_probe(
    entry: SocketAddr,
    probe: &options::FleetProbe,
) -> Result<callers::CallAnswer, waxwing_standin::errors::CallError> {
    let spec = callers::CallSpec {
        method: probe.method.clone(),
        path: probe.path.clone(),
        headers: vec![
            ("authorization", format!("Bearer {}", probe.token)),
            ("x-deadline-ms", "1000".to_owned()),
        ],
        body: Bytes::from(probe.body.clone()),
    };
    tokio::select! {
        answer = callers::call(entry, spec, &SystemClock, None) => answer,
        () = SystemClock.sleep(Duration::from_secs(2)) => Err(
            waxwing_standin::errors::CallError::Connect(std::io::ErrorKind::TimedOut.into()),
        ),
    }
}

/// Returns a probe that generates one token with a model.
#[must_use]
pub fn model_probe(model: &ids::ModelName, token: &str) -> options::FleetProbe {
    let body = serde_json::json!({
        "model": model,
        "messages": [{ "role": "user", "content": "ready?" }],
        "max_tokens": 1,
    });
    options::FleetProbe {
        method: Method::POST,
        path: SmolStr::new_static("/v1/chat/completions"),
        token: SmolStr::new(token),
        body: body.to_string(),
    }
}

/// Returns a probe that asks a register for a record that does not exist.
#[must_use]
pub fn register_probe(service: &ids::ServiceName, token: &str) -> options::FleetProbe {
    options::FleetProbe {
        method: Method::GET,
        path: format_smolstr!("/services/{service}/bookings/none"),
        token: SmolStr::new(token),
        body: String::new(),
    }
}
