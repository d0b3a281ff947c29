//! `waxwing-load run EXPERIMENT` and `waxwing-load compare A B`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Parser;
use smol_str::SmolStr;
use waxwing_load::{comparison, errors::LoadError, experiments, fleets, pages, reports, runs};

/// Load and experiment tool.
#[derive(Debug, Parser)]
#[command(version)]
enum LoadArguments {
    /// Run an experiment and write its report as JSON and HTML.
    Run(RunArguments),
    /// Print the ratios of two reports side by side.
    Compare {
        /// The first report.
        one: PathBuf,
        /// The report that is divided by the first one.
        other: PathBuf,
    },
}

#[derive(Debug, clap::Args)]
struct RunArguments {
    /// The experiment file.
    experiment: PathBuf,
    /// The folder for reports.
    #[arg(long, default_value = "reports")]
    out: PathBuf,
    /// Run only these variants.
    #[arg(long = "variant")]
    variants: Vec<SmolStr>,
    /// Use another seed.
    #[arg(long)]
    seed: Option<u64>,
    /// An entry that runs elsewhere, as `ip:port`; no fleet is started then.
    #[arg(long = "entry")]
    entries: Vec<SocketAddr>,
    /// A stand-in engine behind the entries, for its counts.
    #[arg(long = "engine")]
    engines: Vec<SocketAddr>,
    /// A stand-in register behind the entries, for its counts.
    #[arg(long = "register")]
    registers: Vec<SocketAddr>,
}

async fn run(arguments: RunArguments) -> Result<bool, LoadError> {
    let mut experiment = experiments::load(&arguments.experiment)?;
    let chosen = &arguments.variants;
    experiment
        .variants
        .retain(|variant| chosen.is_empty() || chosen.contains(&variant.name));
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
    let file = |kind: &str| arguments.out.join(format!("{}.{kind}", report.experiment));
    let json = serde_json::to_string_pretty(&report)?;
    reports::write(&file("json"), &json)?;
    reports::write(&file("html"), &pages::html(&report)?)?;
    eprintln!("reports: {} and .html", file("json").display());
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
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        // A missed target is a result, not a failure of the tool.
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
