//! The `waxwing-entry` process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock;
use waxwing_entry::{options, server};
use waxwing_settings::files;

/// The exit code for settings that are not valid.
const SETTINGS_EXIT: u8 = 2;

/// `EntryArguments` are the arguments of the command line.
#[derive(Debug, Parser)]
#[command(name = "waxwing-entry", about = "Serves callers over HTTP", version)]
struct EntryArguments {
    /// The settings file: JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn load(arguments: &EntryArguments) -> Result<options::EntryOptions, anyhow::Error> {
    let options: options::EntryOptions = files::load(&arguments.settings)?;
    options.check(&arguments.settings.to_string_lossy())?;
    Ok(options)
}

async fn run(options: options::EntryOptions) -> Result<(), anyhow::Error> {
    let entry = server::bind(options, clock::SystemClock).await?;
    let shutdown = CancellationToken::new();
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let stopped = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stopped.cancel();
    });
    entry.run(shutdown).await;
    Ok(())
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let options = match load(&EntryArguments::parse()) {
        Ok(options) => options,
        Err(error) => {
            tracing::error!("{error:#}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "the runtime can't be started");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
