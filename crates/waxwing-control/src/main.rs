//! The process of a control host.

use std::process::ExitCode;

use clap::Parser;
use waxwing_control::{errors, options, roles};
use waxwing_core::clock;
use waxwing_process::{arguments, export, signals};

/// Holds settings, claims and the directory together with other control hosts.
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
            let refused = matches!(
                error.downcast_ref(),
                Some(errors::ControlError::Settings(_) | errors::ControlError::FirstTree { .. })
            );
            arguments::fail(&error, refused)
        }
    }
}

async fn run(arguments: arguments::ProcessArguments) -> anyhow::Result<()> {
    let options: options::ControlOptions = arguments.load()?;
    let keys = options.tls.clone();
    let bound = roles::bind(options, clock::SystemClock).await?;
    tracing::info!(
        link = %bound.link_address(),
        http = %bound.http_address(),
        "control host opened its sockets"
    );
    let stop = signals::stop_token()?;
    signals::reload_keys(bound.security(), keys)?;
    let counters = bound.counters();
    export::start(
        counters,
        arguments.statsd,
        "control",
        clock::SystemClock,
        stop.clone(),
    )?;
    bound.run(stop).await?;
    Ok(())
}
