//! The `waxwing-entry` process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock;
use waxwing_entry::{errors, options, server};
use waxwing_settings::files;
use waxwing_wire::security;

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

/// Reads the keys for links again on each signal; keys that can't be used leave the former ones.
async fn reload_keys(
    mut hangup: unix::Signal,
    security: security::LinkSecurity,
    files: security::TlsFiles,
) {
    while hangup.recv().await.is_some() {
        match security.reload(&files) {
            Ok(()) => tracing::info!("keys for links were replaced"),
            Err(error) => tracing::error!(%error, "keys for links were kept"),
        }
    }
}

async fn run(options: options::EntryOptions) -> Result<(), anyhow::Error> {
    let link_tls = options.link_tls.clone();
    let entry = server::bind(options, clock::SystemClock).await?;
    if let Some(files) = link_tls {
        let hangup = unix::signal(unix::SignalKind::hangup())?;
        tokio::spawn(reload_keys(hangup, entry.link_security(), files));
    }
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
            exit_code(&error)
        }
    }
}

/// Tells files that the settings name, and that can't be used, from failures of the machine.
fn exit_code(error: &anyhow::Error) -> ExitCode {
    match error.downcast_ref() {
        Some(errors::EntryError::Bind { .. }) | None => ExitCode::FAILURE,
        Some(_) => ExitCode::from(SETTINGS_EXIT),
    }
}
