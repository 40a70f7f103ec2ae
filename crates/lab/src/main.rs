//! `ploverlift-lab`: stand-ins of engines and platform, and measuring tools.

use argh::FromArgs;
use ploverlift_lab::bench::{self, BenchSettings};
use ploverlift_lab::engine::EngineServer;
use ploverlift_lab::engine_state::EngineSettings;
use ploverlift_lab::experiment::model::FleetModel;
use ploverlift_lab::experiment::policies::PolicyKind;
use ploverlift_lab::experiment::run::{experiment, ExperimentFault};
use ploverlift_lab::experiment::workload::WorkloadShape;
use ploverlift_lab::losses::Losses;
use ploverlift_lab::platform::PlatformServer;
use ploverlift_node::executor::use_all_cores;
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
    Bench(BenchArguments),
    Experiment(ExperimentArguments),
    Losses(LossesArguments),
}

/// Tell where requests lost worth, from nodes' logs on standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "losses")]
struct LossesArguments {}

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
    /// microseconds to prefill one token that is not cached
    #[argh(option, default = "20")]
    prefill_micros: u64,
}

/// Measure what a running node adds to the time to first token.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
struct BenchArguments {
    /// callers' address of the node
    #[argh(option)]
    node: SocketAddr,
    /// address of an engine behind it
    #[argh(option)]
    engine: SocketAddr,
    /// bearer key
    #[argh(option, default = "String::from(\"dev-key\")")]
    key: String,
    /// model
    #[argh(option, default = "String::from(\"dev-model\")")]
    model: String,
    /// streams open at the same time
    #[argh(option, default = "200")]
    streams: usize,
    /// requests on each path
    #[argh(option, default = "10000")]
    requests: usize,
    /// bytes of the prompt
    #[argh(option, default = "400")]
    prompt_bytes: usize,
    /// process id of the node, for its processor time and memory
    #[argh(option)]
    pid: Option<u32>,
}

/// Compare routing policies on an emulated fleet in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArguments {
    /// bula or city
    #[argh(option)]
    workload: String,
    /// seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
    /// round_robin, least_load, bounded_hash, ploverlift or oracle; may be repeated; all without it
    #[argh(option)]
    policy: Vec<String>,
    /// crash_wave, load_lag, hot_shift, zone_cut or shard_lost; may be repeated
    #[argh(option)]
    fault: Vec<String>,
    /// weight of recomputed tokens, over the workload's own
    #[argh(option)]
    recompute_weight: Option<f64>,
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
    use_all_cores();
    let arguments: Arguments = argh::from_env();
    let outcome = match arguments.command {
        Command::Platform(arguments) => run_platform(&arguments),
        Command::Engine(arguments) => run_engine(arguments),
        Command::Bench(arguments) => run_bench(arguments),
        Command::Experiment(arguments) => run_experiment(&arguments),
        Command::Losses(_) => run_losses(),
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
    settings.prefill_micros_per_token = arguments.prefill_micros;
    let server = EngineServer::start(arguments.listen, settings)?;
    announce(server.address());
    smol::block_on(std::future::pending::<()>());
    Ok(())
}

fn run_bench(arguments: BenchArguments) -> std::io::Result<()> {
    let report = smol::block_on(bench::run(BenchSettings {
        node: arguments.node,
        engine: arguments.engine,
        key: arguments.key,
        model: arguments.model,
        streams: arguments.streams,
        requests: arguments.requests,
        prompt_bytes: arguments.prompt_bytes,
        pid: arguments.pid,
    }));
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    Ok(())
}

fn run_experiment(arguments: &ExperimentArguments) -> std::io::Result<()> {
    let unknown =
        |what: &str, name: &str| std::io::Error::other(format!("unknown {what} '{name}'"));
    let shape = WorkloadShape::named(&arguments.workload)
        .ok_or_else(|| unknown("workload", &arguments.workload))?;
    let mut model = match shape.name {
        "city" => FleetModel::city(),
        _ => FleetModel::bula(),
    };
    model.recompute_weight = arguments.recompute_weight.unwrap_or(model.recompute_weight);
    let mut policies = Vec::new();
    for name in &arguments.policy {
        policies.push(PolicyKind::parse(name).ok_or_else(|| unknown("policy", name))?);
    }
    if policies.is_empty() {
        policies.extend(PolicyKind::ALL);
    }
    let mut faults = Vec::new();
    for name in &arguments.fault {
        faults.push(ExperimentFault::parse(name).ok_or_else(|| unknown("fault", name))?);
    }
    let report = experiment(&shape, &model, arguments.seed, &policies, &faults);
    if arguments.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return Ok(());
    }
    println!("policy        hit rate   ttft p50     p95     p99 ms   wasted   max queue");
    for row in &report.results {
        println!(
            "{:<13} {:>8.4} {:>10.1} {:>7.1} {:>7.1} {:>11.4} {:>11}",
            row.policy,
            row.hit_rate,
            row.ttft_ms.p50,
            row.ttft_ms.p95,
            row.ttft_ms.p99,
            row.wasted_recomputation,
            row.max_queue
        );
    }
    Ok(())
}

fn run_losses() -> std::io::Result<()> {
    let losses = Losses::of(std::io::stdin().lock())?;
    print!("{}", losses.table());
    Ok(())
}
