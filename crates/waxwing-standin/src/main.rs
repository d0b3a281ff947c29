//! Command line of the stand-ins: `waxwing-standin engine` and `waxwing-standin register`.

use std::{collections::BTreeSet, net::SocketAddr};

use clap::Parser;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock, ids};
use waxwing_standin::{options, servers};

/// Simulated model engine and register for development and tests.
#[derive(Debug, Parser)]
#[command(version)]
struct StandinArguments {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Factor by which the stand-in is faster than real time.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    #[command(subcommand)]
    role: RoleArguments,
}

#[derive(Debug, clap::Subcommand)]
enum RoleArguments {
    /// Run a simulated model engine.
    Engine {
        /// A model that is loaded at the start; can be repeated.
        #[arg(long = "model", required = true)]
        models: Vec<ids::ModelName>,
        /// Speed of the hardware as a multiple of the slowest class.
        #[arg(long, default_value_t = 1)]
        speed: u32,
        /// Execute orders with an outdated fencing number.
        #[arg(long)]
        ignores_fencing: bool,
        /// Seed that determines which cache events are lost.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a register of orders, donations and bookings.
    Register {
        /// A service that the register announces; can be repeated.
        #[arg(long = "service", required = true)]
        services: Vec<ids::ServiceName>,
    },
}

fn standin_options(arguments: StandinArguments) -> options::StandinOptions {
    let role = match arguments.role {
        RoleArguments::Engine {
            models,
            speed,
            ignores_fencing,
            seed,
        } => options::StandinRole::Engine(options::EngineOptions {
            models: BTreeSet::from_iter(models),
            checks_fencing: !ignores_fencing,
            seed,
            ..options::EngineOptions::with_speed(speed)
        }),
        RoleArguments::Register { services } => {
            options::StandinRole::Register(options::RegisterOptions {
                services: BTreeSet::from_iter(services),
                ..options::RegisterOptions::default()
            })
        }
    };
    options::StandinOptions {
        listen: arguments.listen,
        time_scale: arguments.time_scale,
        role,
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let options = standin_options(StandinArguments::parse());
    let bound = servers::bind(options, clock::SystemClock).await?;
    println!("listening on {}", bound.address());
    let shutdown = CancellationToken::new();
    let shutdown_on_signal = shutdown.clone();
    tokio::spawn(async move {
        let _ = tokio::signal::ctrl_c().await;
        shutdown_on_signal.cancel();
    });
    bound.run(shutdown).await;
    Ok(())
}
