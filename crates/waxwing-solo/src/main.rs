//! Runs a whole fleet in one process: a demo with `--demo`, else a fleet to try with `curl`.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::Parser;
use waxwing_solo::{demo, deployments::Deployment, fleets::SoloFleet};

/// Runs a whole fleet in one process, with stand-in endpoints on loopback sockets.
#[derive(Debug, Parser)]
#[command(version)]
struct SoloArguments {
    /// Send the requests of both example deployments, print the results and exit. The exit code is 0
    /// only if every answer was complete and every record was made exactly once.
    #[arg(long)]
    demo: bool,
    /// The folder for the durable state of the control hosts; a temporary one if absent.
    #[arg(long)]
    data: Option<PathBuf>,
    /// The example deployment to serve without `--demo`.
    #[arg(long, value_enum, default_value = "atelier")]
    deployment: Deployment,
    /// Number of stand-in engines of each of the three speeds.
    #[arg(long, default_value_t = 2)]
    runners: u32,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("error"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let arguments = SoloArguments::parse();
    // The temporary folder is deleted when this value is dropped at the end of the function.
    let temporary = tempfile::tempdir().context("a temporary folder is needed")?;
    let data = arguments
        .data
        .unwrap_or_else(|| temporary.path().to_owned());
    if arguments.demo {
        let complete = demo::run_all(&data).await?;
        return Ok(ExitCode::from(u8::from(!complete)));
    }
    let deployment = arguments.deployment;
    let options = deployment.fleet(&data, arguments.runners)?;
    let fleet = SoloFleet::start(options).await?;
    println!("{} serves until interrupted; try:\n", deployment.title());
    for line in deployment.curl_lines(fleet.entry_addresses[0])? {
        println!("{line}\n");
    }
    for operator in &fleet.operator_addresses {
        println!("operators' interface: http://{operator}");
    }
    tokio::signal::ctrl_c().await?;
    println!("shutting down");
    fleet.stop().await;
    Ok(ExitCode::SUCCESS)
}
