//! The process of a control host.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::Parser;
use tokio::signal;
use tokio_util::sync::CancellationToken;
use waxwing_control::{errors, options, roles};
use waxwing_core::clock;
use waxwing_settings::files;
use waxwing_wire::security;

/// The exit code for settings that were refused.
const BAD_SETTINGS: u8 = 2;

/// Holds settings, claims and the directory together with other control hosts.
#[derive(Debug, Parser)]
#[command(name = "waxwing-control", version)]
struct ControlArguments {
    /// The settings file of this host, JSON with comments.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = ControlArguments::parse();
    tracing_subscriber::fmt()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env()
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info")),
        )
        .with_writer(std::io::stderr)
        .init();
    let options = match files::load(&arguments.settings) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            let settings = matches!(
                error.downcast_ref(),
                Some(errors::ControlError::Settings(_) | errors::ControlError::FirstTree { .. })
            );
            ExitCode::from(if settings { BAD_SETTINGS } else { 1 })
        }
    }
}

fn run(options: options::ControlOptions) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("the runtime could not be started")?;
    runtime.block_on(async {
        let tls = options.tls.clone();
        let bound = roles::bind(options, clock::SystemClock).await?;
        tracing::info!(
            link = %bound.link_address(),
            http = %bound.http_address(),
            "control host opened its sockets"
        );
        let shutdown = CancellationToken::new();
        tokio::spawn(cancel_on_signal(shutdown.clone()));
        if let Some(files) = tls {
            tokio::spawn(reload_on_signal(bound.security(), files));
        }
        bound.run(shutdown).await?;
        Ok(())
    })
}

/// Reads the keys again at each SIGHUP; on failure the keys in use stay.
async fn reload_on_signal(security: security::LinkSecurity, files: security::TlsFiles) {
    let Ok(mut hangup) = signal::unix::signal(signal::unix::SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        match security.reload(&files) {
            Ok(()) => tracing::info!("keys replaced"),
            Err(error) => tracing::error!(%error, "keys could not be replaced"),
        }
    }
}

async fn cancel_on_signal(shutdown: CancellationToken) {
    let terminate = signal::unix::signal(signal::unix::SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => tokio::select! {
            _ = terminate.recv() => {}
            _ = signal::ctrl_c() => {}
        },
        Err(_) => {
            let _ = signal::ctrl_c().await;
        }
    }
    shutdown.cancel();
}
