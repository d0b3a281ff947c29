//! Runs one stand-in: `waxwing-standin engine` or `waxwing-standin register`.

use std::{collections::BTreeSet, net::SocketAddr};

use clap::Parser;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock, ids};
use waxwing_standin::{options, servers};

/// Stand-in engine and register for development.
#[derive(Debug, Parser)]
#[command(version)]
struct StandinArguments {
    /// The address to listen on; port 0 takes a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How many times faster than real time the stand-in works.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    #[command(subcommand)]
    role: RoleArguments,
}

#[derive(Debug, clap::Subcommand)]
enum RoleArguments {
    /// A model engine.
    Engine {
        /// Models that are loaded at the start.
        #[arg(long = "model", required = true)]
        models: Vec<ids::ModelName>,
        /// How many times faster than the slowest class the hardware is.
        #[arg(long, default_value_t = 1)]
        speed: u32,
        /// Carry out orders with an old fencing number.
        #[arg(long)]
        ignores_fencing: bool,
        /// The seed of the lost cache events.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A register of orders, donations and bookings.
    Register {
        /// Services that are announced.
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
            ..options::EngineOptions::of_speed(speed)
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
    let interrupt = shutdown.clone();
    tokio::spawn(async move {
        let _ = tokio::signal::ctrl_c().await;
        interrupt.cancel();
    });
    bound.run(shutdown).await;
    Ok(())
}
