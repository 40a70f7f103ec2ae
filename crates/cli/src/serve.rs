//! `ploverlift serve`: runs a node until a signal or an operator stops it.

use crate::arguments::ServeArguments;
use crate::exit::{Failure, FAILED};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use ploverlift_node::assembly::{self, RunningNode};
use ploverlift_node::logging::json_logger;
use ploverlift_node::settings::Settings;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

/// The line on standard output that reports that the node is serving. The log line of
/// the start has the same fields and may precede it.
#[derive(Serialize)]
struct Ready {
    callers: SocketAddr,
    operators: SocketAddr,
    cluster: SocketAddr,
}

/// Runs a node until SIGTERM or SIGINT, then stops as planned. A second
/// signal ends the process at once.
pub fn run(arguments: &ServeArguments) -> Result<(), Failure> {
    let settings = settings_of(arguments)?;
    let log = json_logger(&settings.node.name, &settings.node.zone, settings.log.level);
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let node = assembly::start(settings, log)?;
        announce(&node);
        wait_for_stop(&node, &mut signals).await;
        let second = async {
            signals.next().await;
            std::process::exit(i32::from(FAILED));
        };
        future::or(node.stop(), second).await;
        Ok(())
    })
}

async fn wait_for_stop(node: &RunningNode, signals: &mut Signals) {
    let signalled = async {
        signals.next().await;
    };
    future::or(signalled, node.drain_ordered()).await;
}

fn settings_of(arguments: &ServeArguments) -> Result<Settings, Failure> {
    let mut settings = Settings::read(&arguments.settings)?;
    let listen = &mut settings.listen;
    listen.callers = arguments.callers.unwrap_or(listen.callers);
    listen.operators = arguments.operators.unwrap_or(listen.operators);
    listen.cluster = arguments.cluster.unwrap_or(listen.cluster);
    settings.platform.address = arguments.platform.or(settings.platform.address);
    if !arguments.seed.is_empty() {
        settings.cluster.seeds = arguments.seed.clone();
    }
    settings.check(Path::new(""))?;
    Ok(settings)
}

fn announce(node: &RunningNode) {
    let ready = Ready {
        callers: node.callers_address(),
        operators: node.operators_address(),
        cluster: node.cluster_address(),
    };
    let line = serde_json::to_string(&ready).unwrap_or_default();
    // The parent process may have closed the pipe; `println!` would then panic and end
    // the node.
    let _ = writeln!(std::io::stdout(), "{line}");
}
