//! The operators' command-line tool.

use std::process::ExitCode;

use clap::Parser as _;
use waxwing_core::clock;
use waxwing_settings::errors;
use waxwingctl::{arguments, calls, commands};

/// The exit code for a settings file that is not valid.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = arguments::ToolArguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(anyhow::Error::from)
        .and_then(|runtime| runtime.block_on(run(&arguments)));
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error:#}");
            let invalid = error.downcast_ref::<errors::SettingsError>().is_some();
            ExitCode::from(if invalid { INVALID_SETTINGS } else { 1 })
        }
    }
}

async fn run(arguments: &arguments::ToolArguments) -> anyhow::Result<u8> {
    // `explain` reads logs only, so it needs no token and no control host.
    if let arguments::ToolCommand::Explain { id, files } = &arguments.command {
        return commands::explain(id, files, arguments.json);
    }
    let connection = &arguments.connection;
    let caller = match &arguments.command {
        // Control hosts of a fleet without agents know no operators and take no token.
        arguments::ToolCommand::Rollout(_) => {
            let hosts = connection.control.clone();
            calls::ControlCaller::new(hosts, String::new(), clock::SystemClock)
        }
        _ => calls::ControlCaller::from_arguments(connection, clock::SystemClock)?,
    };
    let runner = commands::CommandRunner::new(caller, arguments.json);
    runner.run(&arguments.command).await
}
