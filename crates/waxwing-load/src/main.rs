//! Command line of the load tool: `waxwing-load run EXPERIMENT`, `waxwing-load compare A B` and
//! `waxwing-load replay`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::Parser;
use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_gate::options as gate_options;
use waxwing_load::{
    comparison, errors::LoadError, experiments, fleets, pages, replay, reports, runs,
};

/// Load and experiment tool.
#[derive(Debug, Parser)]
#[command(version)]
enum LoadArguments {
    /// Run an experiment and write its report as JSON and HTML.
    Run(RunArguments),
    /// Print the values of two reports side by side, with their ratios.
    Compare {
        /// The base report (JSON).
        one: PathBuf,
        /// The report (JSON) to compare with the base: ratios are its values divided by those of
        /// the base.
        other: PathBuf,
    },
    /// Play a load pattern against the gates of many entries, without network.
    Replay(ReplayArguments),
}

#[derive(Debug, clap::Args)]
struct ReplayArguments {
    /// Number of entries.
    #[arg(long, default_value_t = 27)]
    entries: u16,
    /// Number of endpoints.
    #[arg(long, default_value_t = 120)]
    endpoints: u16,
    /// Slots of an endpoint.
    #[arg(long, default_value_t = 6)]
    slots: u32,
    /// How many times slower the slowest engine is than the fastest one.
    #[arg(long, default_value_t = 5.0)]
    speed_ratio: f64,
    /// Requests a second over all entries.
    #[arg(long, default_value_t = 750.0)]
    rate: f64,
    /// Factor of the rate for two seconds from the third second on.
    #[arg(long, default_value_t = 1.0)]
    burst: f64,
    /// Seconds during which requests arrive.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Share of the load updates that are lost.
    #[arg(long, default_value_t = 0.0)]
    lost_updates: f64,
    /// Share of the hosts that are two and a half times slower at a time, drawn anew every 600 ms.
    #[arg(long, default_value_t = 0.0)]
    noise: f64,
    /// Engines state the pace of their hosts.
    #[arg(long)]
    state_pace: bool,
    /// Longest pause in an answer that counts as on time, in milliseconds; without it, reading
    /// prompts delays no answers.
    #[arg(long)]
    max_pause: Option<u64>,
    /// Share of the callers in each data centre.
    #[arg(long, value_delimiter = ',', default_values_t = [1.0])]
    demand: Vec<f64>,
    /// Price of leaving a data centre, as a share of the latency objective.
    #[arg(long, default_value = "0")]
    leaving_price: units::ObjectiveShare,
    /// Seed; can be repeated.
    #[arg(long = "seed", default_values_t = [1])]
    seeds: Vec<u64>,
}

fn replay(arguments: &ReplayArguments) {
    let burst = replay::LoadBurst {
        at: Duration::from_secs(3),
        length: Duration::from_secs(2),
        factor: arguments.burst,
    };
    for seed in &arguments.seeds {
        let plan = replay::ReplayPlan {
            entries: arguments.entries,
            endpoints: arguments.endpoints,
            slots: arguments.slots,
            demand: arguments.demand.clone(),
            options: gate_options::GateOptions {
                leaving_price: arguments.leaving_price,
                ..gate_options::GateOptions::default()
            },
            speed_ratio: arguments.speed_ratio,
            rate: arguments.rate,
            bursts: vec![burst],
            duration: Duration::from_secs(arguments.seconds),
            lost_updates: arguments.lost_updates,
            noise: Some(replay::HostNoise {
                share: arguments.noise,
                factor: 2.5,
                period: Duration::from_millis(600),
                is_stated: arguments.state_pace,
            }),
            max_pause: arguments.max_pause.map(Duration::from_millis),
            seed: *seed,
            ..replay::ReplayPlan::default()
        };
        println!("seed {seed}: {}", replay::play(&plan));
    }
}

#[derive(Debug, clap::Args)]
struct RunArguments {
    /// The experiment file.
    experiment: PathBuf,
    /// The folder to write the reports to.
    #[arg(long, default_value = "reports")]
    out: PathBuf,
    /// Run only this variant; can be repeated.
    #[arg(long = "variant")]
    variants: Vec<SmolStr>,
    /// Override the seed of the experiment file.
    #[arg(long)]
    seed: Option<u64>,
    /// Address (`ip:port`) of a running entry; can be repeated. No fleet is started then.
    #[arg(long = "entry")]
    entries: Vec<SocketAddr>,
    /// Address of a stand-in engine behind the entries, whose counts are read; can be repeated.
    #[arg(long = "engine")]
    engines: Vec<SocketAddr>,
    /// Address of a stand-in register behind the entries, whose counts are read; can be repeated.
    #[arg(long = "register")]
    registers: Vec<SocketAddr>,
}

async fn run(arguments: RunArguments) -> Result<bool, LoadError> {
    let mut experiment = experiments::load(&arguments.experiment)?;
    let selected = &arguments.variants;
    experiment
        .variants
        .retain(|variant| selected.is_empty() || selected.contains(&variant.name));
    experiment.seed = arguments.seed.unwrap_or(experiment.seed);
    let folder = arguments.experiment.parent().unwrap_or(Path::new("."));
    let external = runs::ExternalFleet {
        entries: arguments.entries,
        standins: fleets::StandinAddresses {
            engines: arguments.engines,
            registers: arguments.registers,
        },
    };
    let report = runs::run(experiment, folder, &external).await?;
    print!("{}", pages::summary(&report));
    let file = |extension: &str| {
        arguments
            .out
            .join(format!("{}.{extension}", report.experiment))
    };
    let json = serde_json::to_string_pretty(&report)?;
    reports::write(&file("json"), &json)?;
    reports::write(&file("html"), &pages::html(&report)?)?;
    eprintln!("wrote {} and .html", file("json").display());
    Ok(report.targets.iter().all(|target| target.met))
}

fn compare(one: &Path, other: &Path) -> Result<bool, LoadError> {
    let (one, other) = (reports::load(one)?, reports::load(other)?);
    print!("{}", comparison::compare(&one, &other));
    Ok(true)
}

#[tokio::main]
async fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("error"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let result = match LoadArguments::parse() {
        LoadArguments::Run(arguments) => run(arguments).await,
        LoadArguments::Compare { one, other } => compare(&one, &other),
        LoadArguments::Replay(arguments) => {
            replay(&arguments);
            Ok(true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        // A missed target has its own status, since it is a result and not a failure of the tool.
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
