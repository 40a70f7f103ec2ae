//! `ploverlift gateway`: runs a node on the users' platform until SIGTERM or
//! SIGINT.

use crate::arguments::GatewayArguments;
use crate::exit::{Failure, FAILED};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use ploverlift_gateway::assembly::{follow_settings, reload, start_on, RunningGateway};
use ploverlift_gateway::listeners::{ListenError, Listeners, MAX_WAIT_MS};
use ploverlift_gateway::logging::json_logger;
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_platform::Platform;
use slog::Logger;
use std::path::Path;
use std::sync::Arc;

/// Runs a node until SIGTERM or SIGINT, then stops as planned. SIGHUP reads the
/// settings again. While the node stops, SIGINT ends the process at once.
pub fn run(arguments: &GatewayArguments) -> Result<(), Failure> {
    let settings = GatewaySettings::read(&arguments.settings)?;
    let log = json_logger(&settings.node.name, settings.log.level);
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let Some(listeners) = bind_until_stopped(&settings, &mut signals, &log).await? else {
            return Ok(());
        };
        let node = start_on(listeners, settings, Arc::new(Platform), log);
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

/// Binds the listeners; `None` when the node is stopped before their ports are free.
async fn bind_until_stopped(
    settings: &GatewaySettings,
    signals: &mut Signals,
    log: &Logger,
) -> Result<Option<Listeners>, ListenError> {
    let binding = async {
        let bound = Listeners::bind_when_free(&settings.listen, MAX_WAIT_MS, log).await;
        bound.map(Some)
    };
    let stopping = async {
        // The settings are read again at the next start.
        while let Some(Ok(Signal::Hup)) = signals.next().await {}
        slog::info!(log, "stopped before it was listening");
        Ok(None)
    };
    future::or(binding, stopping).await
}

async fn wait_for_stop(node: &RunningGateway, signals: &mut Signals, file: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&node.gateway, file),
            _ => return,
        }
    }
}
