//! `ploverlift-lab`: stand-ins of engines and platform, and measuring tools.

use argh::FromArgs;
use ploverlift_lab::engine::EngineServer;
use ploverlift_lab::engine_state::EngineSettings;
use ploverlift_lab::platform::PlatformServer;
use ploverlift_lab::scale::{Hollow, ScaleFault, ScaleSettings};
use serde::Serialize;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Stand-ins of engines and platform, and measuring tools for ploverlift.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Scale(ScaleArguments),
}

/// Run a stand-in of the platform's object API and machine list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on; port 0 takes any free port
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// version after which the object API goes on counting
    #[argh(option, default = "0")]
    first_version: u64,
}

/// Run a stand-in of a model engine or of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on; port 0 takes any free port
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// name in the machine list
    #[argh(option)]
    name: String,
    /// model that is served
    #[argh(option, default = "String::from(\"dev-model\")")]
    model: String,
    /// milliseconds between two tokens
    #[argh(option, default = "10")]
    decode_ms: u64,
    /// requests that decode at the same time
    #[argh(option, default = "32")]
    slots: u32,
}

/// Run many hollow nodes in virtual time and measure what they cost.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct ScaleArguments {
    /// number of nodes
    #[argh(option, default = "12")]
    nodes: usize,
    /// number of zones, two a region
    #[argh(option, default = "3")]
    zones: usize,
    /// number of engines
    #[argh(option, default = "18")]
    engines: usize,
    /// number of tenants
    #[argh(option, default = "8")]
    tenants: usize,
    /// virtual seconds to measure
    #[argh(option, default = "20")]
    seconds: u64,
    /// changes of configuration while measuring
    #[argh(option, default = "10")]
    changes: usize,
    /// calm, loss, cut_healed or herd_restart
    #[argh(option, default = "String::from(\"calm\")")]
    fault: String,
    /// seed of the virtual network
    #[argh(option, default = "1")]
    seed: u64,
    /// answer as JSON on one line
    #[argh(switch)]
    json: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The line that a stand-in prints once it listens.
#[derive(Serialize)]
struct Listening {
    listening: SocketAddr,
}

fn announce(address: SocketAddr) {
    let line = Listening { listening: address };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let outcome = match arguments.command {
        Command::Platform(arguments) => run_platform(&arguments),
        Command::Engine(arguments) => run_engine(arguments),
        Command::Scale(arguments) => run_scale(&arguments),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(arguments: &PlatformArguments) -> std::io::Result<()> {
    let server = PlatformServer::start(arguments.listen, arguments.first_version)?;
    announce(server.address());
    smol::block_on(std::future::pending::<()>());
    Ok(())
}

fn run_engine(arguments: EngineArguments) -> std::io::Result<()> {
    let mut settings = EngineSettings::named(&arguments.name, &arguments.model);
    settings.decode_ms = arguments.decode_ms;
    settings.slots = arguments.slots;
    let server = EngineServer::start(arguments.listen, settings)?;
    announce(server.address());
    smol::block_on(std::future::pending::<()>());
    Ok(())
}

fn run_scale(arguments: &ScaleArguments) -> std::io::Result<()> {
    let Some(fault) = ScaleFault::parse(&arguments.fault) else {
        return Err(std::io::Error::other(
            "--fault takes calm, loss, cut_healed or herd_restart",
        ));
    };
    let settings = ScaleSettings {
        nodes: arguments.nodes,
        zones: arguments.zones,
        engines: arguments.engines,
        tenants: arguments.tenants,
        seconds: arguments.seconds,
        changes: arguments.changes,
        fault,
        seed: arguments.seed,
    };
    let report = Hollow::new(settings).run();
    let text = if arguments.json {
        serde_json::to_string(&report)
    } else {
        serde_json::to_string_pretty(&report)
    };
    println!("{}", text.unwrap_or_default());
    Ok(())
}
