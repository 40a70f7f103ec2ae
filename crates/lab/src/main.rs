//! `ploverlift-lab`: stand-ins of engines and platform, and measuring tools.

use argh::FromArgs;
use ploverlift_lab::engine::EngineServer;
use ploverlift_lab::engine_state::EngineSettings;
use ploverlift_lab::platform::PlatformServer;
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
