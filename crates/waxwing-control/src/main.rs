//! The `waxwing-control` binary, which runs one control host.

use std::process::ExitCode;

use clap::Parser;
use waxwing_control::{errors, options, roles};
use waxwing_core::clock;
use waxwing_process::{arguments, export, signals};

/// Runs a control host, which replicates settings and idempotency claims and keeps the directory of
/// processes.
#[derive(Debug, Parser)]
#[command(name = "waxwing-control", version)]
struct ControlArguments {
    #[command(flatten)]
    process: arguments::ProcessArguments,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(ControlArguments::parse().process).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let is_config_error = matches!(
                error.downcast_ref(),
                Some(errors::ControlError::Settings(_) | errors::ControlError::InitialTree { .. })
            );
            arguments::fail(&error, is_config_error)
        }
    }
}

async fn run(arguments: arguments::ProcessArguments) -> anyhow::Result<()> {
    let options: options::ControlOptions = arguments.load()?;
    let keys = options.tls.clone();
    let control = roles::bind(options, clock::SystemClock).await?;
    tracing::info!(
        link = %control.link_address(),
        http = %control.http_address(),
        "control host opened its sockets"
    );
    let shutdown = signals::stop_token()?;
    signals::reload_keys(control.security(), keys)?;
    let counters = control.counters();
    export::start(
        counters,
        arguments.statsd,
        "control",
        clock::SystemClock,
        shutdown.clone(),
    )?;
    control.run(shutdown).await?;
    Ok(())
}
