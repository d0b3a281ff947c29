//! The `waxwing-entry` process.

use std::process::ExitCode;

use clap::Parser;
use waxwing_core::clock;
use waxwing_entry::{errors, options, server};
use waxwing_process::{arguments, export, signals};

/// Serves callers over HTTP.
#[derive(Debug, Parser)]
#[command(name = "waxwing-entry", version)]
struct EntryArguments {
    #[command(flatten)]
    process: arguments::ProcessArguments,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(EntryArguments::parse().process).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Unusable files named in the settings count as invalid settings.
            let entry = error.downcast_ref::<errors::EntryError>();
            let bind = matches!(entry, Some(errors::EntryError::Bind { .. }));
            arguments::fail(&error, entry.is_some() && !bind)
        }
    }
}

async fn run(arguments: arguments::ProcessArguments) -> anyhow::Result<()> {
    let options: options::EntryOptions = arguments.load()?;
    options.check(&arguments.settings.to_string_lossy())?;
    let keys = options.link_tls.clone();
    let entry = server::bind(options, clock::SystemClock).await?;
    let stop = signals::stop_token()?;
    signals::reload_keys(entry.link_security(), keys)?;
    let counters = entry.counters();
    export::start(
        counters,
        arguments.statsd,
        "entry",
        clock::SystemClock,
        stop.clone(),
    )?;
    entry.run(stop).await;
    Ok(())
}
