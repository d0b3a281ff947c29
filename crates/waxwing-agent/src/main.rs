//! The `waxwing-agent` process: reads its settings file and serves until it is told to leave.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::Parser;
use tokio::signal::unix;
use tokio_util::sync::CancellationToken;
use waxwing_agent::{driver, options};
use waxwing_core::clock;
use waxwing_settings::files;

/// The exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Announces an endpoint and serves requests with it.
#[derive(Debug, Parser)]
#[command(version)]
struct AgentArgs {
    /// The settings file, JSON with comments.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args = AgentArgs::parse();
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
    let options = match load(&args) {
        Ok(options) => options,
        Err(error) => {
            tracing::error!("{error:#}");
            eprintln!("waxwing-agent: {error:#}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match serve(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waxwing-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn load(args: &AgentArgs) -> anyhow::Result<options::AgentOptions> {
    let options: options::AgentOptions = files::load(&args.settings)?;
    options.endpoint_address()?;
    Ok(options)
}

fn serve(options: options::AgentOptions) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("the runtime could not be started")?;
    runtime.block_on(async {
        let agent = driver::bind(options, clock::SystemClock).await?;
        tracing::info!(address = %agent.address(), "agent accepts links");
        let shutdown = CancellationToken::new();
        stop_on_signal(shutdown.clone())?;
        Ok(agent.run(shutdown).await?)
    })
}

fn stop_on_signal(shutdown: CancellationToken) -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("agent was told to leave");
        shutdown.cancel();
    });
    Ok(())
}
