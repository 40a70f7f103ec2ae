//! `ploverlift gateway`: runs a node on the users' platform until SIGTERM or
//! SIGINT.

use crate::arguments::GatewayArguments;
use crate::exit::{Failure, FAILED};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use ploverlift_gateway::assembly::{follow_settings, reload, start, RunningGateway};
use ploverlift_gateway::logging::json_logger;
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_platform::Platform;
use std::path::Path;
use std::sync::Arc;

/// Runs a node until SIGTERM or SIGINT, then stops as planned. SIGHUP reads the
/// settings again. While the node stops, SIGINT ends the process at once.
pub fn run(arguments: &GatewayArguments) -> Result<(), Failure> {
    let settings = GatewaySettings::read(&arguments.settings)?;
    let log = json_logger(&settings.node.name, settings.log.level);
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let node = start(settings, Arc::new(Platform), log)?;
        let file = arguments.settings.clone();
        let following = smol::spawn(follow_settings(Arc::clone(&node.gateway), file));
        wait_for_stop(&node, &mut signals, &arguments.settings).await;
        following.cancel().await;
        let log = node.gateway.log.clone();
        let interrupted = async {
            while let Some(signal) = signals.next().await {
                if matches!(signal, Ok(Signal::Int)) {
                    std::process::exit(i32::from(FAILED));
                }
                slog::info!(log, "signal ignored while stopping"; "signal" => format!("{signal:?}"));
            }
        };
        future::or(node.stop(), interrupted).await;
        Ok(())
    })
}

async fn wait_for_stop(node: &RunningGateway, signals: &mut Signals, file: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&node.gateway, file),
            _ => return,
        }
    }
}
