//! The two example deployments, compiled in so that the command needs no files.

use std::{collections::BTreeSet, path::Path};

use clap::ValueEnum;
use serde_json::Value;
use waxwing_core::ids;
use waxwing_settings::files;
use waxwing_standin::options::{EngineOptions, RegisterOptions, StandinOptions};

use crate::{errors::SoloError, fleets, options, requests};

/// An example deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// Atelier Solidaire des Pointes de Reçus du Québec.
    Atelier,
    /// Réseau Chaleur Commun Tunis.
    Tunis,
}

struct DeploymentText {
    settings: &'static str,
    requests: &'static str,
    region: &'static str,
    centre_names: [&'static str; 3],
    runner_role: &'static str,
    register_role: &'static str,
    service: &'static str,
    models: [&'static str; 2],
    probe_account: &'static str,
}

const ATELIER: DeploymentText = DeploymentText {
    settings: include_str!("../../../examples/atelier/settings.json"),
    requests: include_str!("../../../examples/atelier/requests.json"),
    region: "quebec",
    centre_names: ["limoilou", "levis", "rimouski"],
    runner_role: "writers",
    register_role: "registers",
    service: "register",
    models: ["spike-writer", "lot-tagger"],
    probe_account: "workshop",
};

const TUNIS: DeploymentText = DeploymentText {
    settings: include_str!("../../../examples/tunis/settings.json"),
    requests: include_str!("../../../examples/tunis/requests.json"),
    region: "tunis",
    centre_names: ["bardo", "carthage", "medina"],
    runner_role: "advisors",
    register_role: "desks",
    service: "desk",
    models: ["dossier-writer", "enquiry-tagger"],
    probe_account: "bardo-office",
};

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("`{text}` is a constant and a valid name"))
}

impl Deployment {
    /// Every example deployment.
    pub const ALL: [Self; 2] = [Self::Atelier, Self::Tunis];

    fn text(self) -> &'static DeploymentText {
        match self {
            Self::Atelier => &ATELIER,
            Self::Tunis => &TUNIS,
        }
    }

    /// Returns the full name of the deployment.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Atelier => "Atelier Solidaire des Pointes de Reçus du Québec",
            Self::Tunis => "Réseau Chaleur Commun Tunis",
        }
    }

    /// Parses the request file.
    ///
    /// # Errors
    /// Fails if the file is not valid.
    pub fn requests(self) -> Result<requests::RequestFile, SoloError> {
        Ok(files::parse("requests.json", self.text().requests)?)
    }

    /// Parses the settings tree.
    ///
    /// # Errors
    /// Fails if the file is not JSON with comments.
    pub fn tree(self) -> Result<Value, SoloError> {
        Ok(files::parse("settings.json", self.text().settings)?)
    }

    /// Returns the options of a fleet with `each` stand-in engines of every speed and two registers.
    ///
    /// # Errors
    /// Fails if a file of the example is not valid.
    pub fn fleet(self, data: &Path, each: u32) -> Result<options::SoloOptions, SoloError> {
        let speeds = [1, 2, 4]
            .into_iter()
            .flat_map(|speed| (0..each).map(move |_| speed));
        let runners = speeds.map(|speed| self.runner(speed, 1.0));
        self.fleet_of(data, runners.collect(), 2)
    }

    /// Returns the options of a fleet with the given stand-in engines and number of registers.
    ///
    /// # Errors
    /// Fails if a file of the example is not valid.
    pub fn fleet_of(
        self,
        data: &Path,
        runners: Vec<StandinOptions>,
        registers: u32,
    ) -> Result<options::SoloOptions, SoloError> {
        let text = self.text();
        let token = self
            .requests()?
            .tokens
            .remove(&parse_name(text.probe_account));
        let token = token.unwrap_or_default();
        let mut probes = Vec::new();
        if registers > 0 {
            probes.push(fleets::register_probe(&parse_name(text.service), &token));
        }
        let models = text.models.map(parse_name::<ids::ModelName>);
        probes.extend(
            models
                .iter()
                .map(|model| fleets::model_probe(model, &token)),
        );
        Ok(options::SoloOptions {
            data: data.to_owned(),
            tree: self.tree()?,
            controls: 1,
            entries: 2,
            runners,
            runner_role: parse_name(text.runner_role),
            registers: (0..registers).map(|_| self.register()).collect(),
            register_role: parse_name(text.register_role),
            region: parse_name(text.region),
            data_centres: text.centre_names.map(parse_name).to_vec(),
            probes,
        })
    }

    /// Returns a stand-in engine of the given speed that has all models of the deployment loaded.
    #[must_use]
    pub fn runner(self, speed: u32, time_scale: f64) -> StandinOptions {
        let models = self.text().models.map(parse_name::<ids::ModelName>);
        let engine = EngineOptions {
            models: BTreeSet::from(models),
            ..EngineOptions::with_speed(speed)
        };
        StandinOptions {
            time_scale,
            ..StandinOptions::engine(engine)
        }
    }

    fn register(self) -> StandinOptions {
        StandinOptions::register(RegisterOptions {
            services: BTreeSet::from([parse_name(self.text().service)]),
            ..RegisterOptions::default()
        })
    }

    /// Returns `curl` commands that can be run as they are against an entry.
    ///
    /// # Errors
    /// Fails if the request file of the example is not valid.
    pub fn curl_lines(self, entry: std::net::SocketAddr) -> Result<Vec<String>, SoloError> {
        let text = self.text();
        let file = self.requests()?;
        let token = file
            .tokens
            .get(&parse_name::<ids::AccountName>(text.probe_account));
        let token = token.cloned().unwrap_or_default();
        let model = text.models[0];
        Ok(vec![
            format!(
                "curl -sN http://{entry}/v1/chat/completions -H 'Authorization: Bearer {token}' \
                 -H 'Content-Type: application/json' -d '{{\"model\":\"{model}\",\"stream\":true,\
                 \"max_tokens\":16,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
            ),
            format!(
                "curl -s http://{entry}/services/{}/bookings -H 'Authorization: Bearer {token}' \
                 -H 'Idempotency-Key: visit-1' -d '{{\"visit\":\"survey\"}}'",
                text.service
            ),
            format!("curl -s http://{entry}/metrics"),
            format!("curl -s http://{entry}/readyz"),
        ])
    }
}
