//! The `waxwing-agent` process: reads its settings file and serves until it receives a stop signal.

use std::process::ExitCode;

use clap::Parser;
use waxwing_agent::{driver, errors, options};
use waxwing_core::clock;
use waxwing_process::{arguments, export, signals};
use waxwing_wire::security;

/// Announces an endpoint and forwards requests to it.
#[derive(Debug, Parser)]
#[command(name = "waxwing-agent", version)]
struct AgentArguments {
    #[command(flatten)]
    process: arguments::ProcessArguments,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(AgentArguments::parse().process).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let agent_error = error.downcast_ref::<errors::AgentError>();
            let bad_settings = matches!(agent_error, Some(errors::AgentError::Endpoint { .. }));
            arguments::fail(&error, bad_settings)
        }
    }
}

async fn run(arguments: arguments::ProcessArguments) -> anyhow::Result<()> {
    let mut options: options::AgentOptions = arguments.load()?;
    let keys = options.tls.clone();
    options.security = security::LinkSecurity::from_files(keys.as_ref())?;
    let links = options.security.clone();
    let agent = driver::bind(options, clock::SystemClock).await?;
    tracing::info!(address = %agent.address(), "agent accepts links");
    let stop = signals::stop_token()?;
    signals::reload_keys(links, keys)?;
    let counters = agent.counters();
    export::start(
        counters,
        arguments.statsd,
        "agent",
        clock::SystemClock,
        stop.clone(),
    )?;
    Ok(agent.run(stop).await?)
}
