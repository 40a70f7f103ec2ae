//! Puts the parts of a node together: start, reload, planned stop.

use crate::cache_feeds::{follow_cache_stores, follow_engine_caches};
use crate::callers::accept_callers;
use crate::engine_checks::check_engines;
use crate::engine_paths::probes::probe_direct_paths;
use crate::engine_paths::tunnel_server::serve_tunnels;
use crate::listeners::{ListenError, Listeners, PeerListeners};
use crate::peers::address_book::Reach;
use crate::peers::discovery::{find_peers, NodeRecord};
use crate::peers::engine_signals::report_engine_signals;
use crate::peers::quarantine_reports::report_quarantine;
use crate::peers::receive_messages;
use crate::peers::relay::Relay;
use crate::peers::reports::ReportStream;
use crate::peers::snapshot::{fetch_snapshots, serve_snapshots};
use crate::peers::stream_origins::{announce_earlier_streams, request_kept_origins};
use crate::peers::weights_reports::report_weights;
use crate::planned_stop::StopPhase;
use crate::ports::Site;
use crate::quarantine::sync_quarantine;
use crate::readiness::{serve_metrics, serve_readiness};
use crate::requirements::watch_requirements;
use crate::rollouts::decider::decide_rollouts;
use crate::rollouts::feed::follow_rollouts;
use crate::rollouts::gates::advance_gates;
use crate::settings::{GatewaySettings, SettingsError};
use crate::state::Gateway;
use crate::store::{follow_configuration, follow_engines};
use crate::stream_journal::reader::read_journals;
use crate::stream_journal::writer::write_journal;
use crate::stream_sources::keep_stream_sources;
use crate::suspension::detect_suspension;
use crate::time::{sleep, within};
use crate::weights::knowledge::{follow_weights, renew_proof};
use crate::weights::update_engine_weights;
use ploverlift_clock::Clock;
use ploverlift_enginelimit::group::NodeAddress;
use slog::Logger;
use smol::Task;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// Interval between two checks of the settings file, in milliseconds.
const SETTINGS_PERIOD_MS: u64 = 2_000;
/// Time from the start of a planned stop during which requests are still accepted,
/// in milliseconds: the load balancer needs it to notice that the node is not ready.
/// Later requests are answered as not run, because they could not be finished within
/// the bound on the stop.
const ACCEPT_WHILE_STOPPING_MS: u64 = 2_900;
/// Time without a request after which a stopping node exits, in milliseconds.
const IDLE_BEFORE_STOP_MS: u64 = 300;
/// Fraction of the bound on a planned stop after which callers' connections are not waited for
/// any more; the rest is for ending the tasks.
const CLOSED_SHARE: f64 = 0.975;
/// Longest time for which a node that has stopped waits until the connections that were still
/// open are logged, in milliseconds.
const END_CONNECTIONS_MS: u64 = 50;

/// A running node.
pub struct RunningGateway {
    /// Its state.
    pub gateway: Arc<Gateway>,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    accepting: Task<()>,
    tasks: Vec<Task<()>>,
}

/// Starts a node.
///
/// # Errors
/// When a listener cannot be bound at once.
pub fn start(
    settings: GatewaySettings,
    site: Arc<dyn Site>,
    log: Logger,
) -> Result<RunningGateway, ListenError> {
    start_with_clock(settings, site, log, Clock::default())
}

/// Starts a node with the given clock.
///
/// # Errors
/// When a listener cannot be bound at once.
pub fn start_with_clock(
    settings: GatewaySettings,
    site: Arc<dyn Site>,
    log: Logger,
    clock: Clock,
) -> Result<RunningGateway, ListenError> {
    let listeners = Listeners::bind(&settings.listen)?;
    Ok(assemble(listeners, settings, site, log, clock))
}

/// Starts a node on bound listeners.
pub fn start_on(
    listeners: Listeners,
    settings: GatewaySettings,
    site: Arc<dyn Site>,
    log: Logger,
) -> RunningGateway {
    assemble(listeners, settings, site, log, Clock::default())
}

fn assemble(
    listeners: Listeners,
    settings: GatewaySettings,
    site: Arc<dyn Site>,
    log: Logger,
    clock: Clock,
) -> RunningGateway {
    let Listeners {
        callers,
        readiness,
        metrics,
        peers,
    } = listeners;
    let gateway = Arc::new(Gateway::with_clock(settings, site, log, clock));
    let accepting = smol::spawn(accept_callers(Arc::clone(&gateway), callers.listener));
    let mut tasks = vec![
        smol::spawn(serve_readiness(Arc::clone(&gateway), readiness.listener)),
        smol::spawn(follow_configuration(Arc::clone(&gateway))),
        smol::spawn(follow_engines(Arc::clone(&gateway))),
        smol::spawn(follow_weights(Arc::clone(&gateway))),
        smol::spawn(renew_proof(Arc::clone(&gateway))),
        smol::spawn(follow_rollouts(Arc::clone(&gateway))),
        smol::spawn(decide_rollouts(Arc::clone(&gateway))),
        smol::spawn(advance_gates(Arc::clone(&gateway))),
        smol::spawn(follow_cache_stores(Arc::clone(&gateway))),
        smol::spawn(follow_engine_caches(Arc::clone(&gateway))),
        smol::spawn(update_engine_weights(Arc::clone(&gateway))),
        smol::spawn(check_engines(Arc::clone(&gateway))),
        smol::spawn(sync_quarantine(Arc::clone(&gateway))),
        smol::spawn(detect_suspension(Arc::clone(&gateway))),
        smol::spawn(watch_requirements(Arc::clone(&gateway))),
        smol::spawn(keep_stream_sources(Arc::clone(&gateway))),
        smol::spawn(read_journals(Arc::clone(&gateway))),
        smol::spawn(write_journal(Arc::clone(&gateway))),
    ];
    if let Some(metrics) = metrics {
        let serving = serve_metrics(Arc::clone(&gateway), metrics.listener);
        tasks.push(smol::spawn(serving));
    }
    if let Some(PeerListeners {
        reports: socket,
        snapshots,
        address: own,
        tunnels,
    }) = peers
    {
        let tunnels = tunnels.map(|tunnels| {
            let serving = serve_tunnels(Arc::clone(&gateway), tunnels.listener);
            tasks.push(smol::spawn(serving));
            tunnels.address
        });
        tasks.push(smol::spawn(probe_direct_paths(Arc::clone(&gateway))));
        let record = NodeRecord::of(&gateway, own, tunnels);
        let listed = record.listed(&gateway.settings().node.name);
        gateway.address_book().set_own(listed);
        gateway.beliefs().engine_limits.set_own(NodeAddress {
            node: listed.id,
            address: listed.address,
        });
        for reach in [Reach::OwnZone, Reach::OtherZones] {
            let stream = ReportStream::new(Arc::clone(&gateway), Arc::clone(&socket), reach);
            tasks.push(smol::spawn(stream.run()));
        }
        let receiving = receive_messages(Arc::clone(&gateway), Arc::clone(&socket));
        tasks.push(smol::spawn(receiving));
        let reporting = report_weights(Arc::clone(&gateway), Arc::clone(&socket));
        tasks.push(smol::spawn(reporting));
        let reporting = report_quarantine(Arc::clone(&gateway), Arc::clone(&socket));
        tasks.push(smol::spawn(reporting));
        let reporting = report_engine_signals(Arc::clone(&gateway), Arc::clone(&socket));
        tasks.push(smol::spawn(reporting));
        let sending = Arc::clone(&socket);
        let sender = Arc::clone(&gateway);
        tasks.push(smol::spawn(async move {
            sender.outbox.send_all(sending).await;
        }));
        tasks.push(smol::spawn(Relay::new(Arc::clone(&gateway), socket).run()));
        let answering = serve_snapshots(Arc::clone(&gateway), snapshots);
        tasks.push(smol::spawn(answering));
        tasks.push(smol::spawn(fetch_snapshots(Arc::clone(&gateway))));
        tasks.push(smol::spawn(request_kept_origins(Arc::clone(&gateway))));
        let announcing = announce_earlier_streams(Arc::clone(&gateway));
        tasks.push(smol::spawn(announcing));
        tasks.push(smol::spawn(find_peers(Arc::clone(&gateway), record)));
    }
    slog::info!(gateway.log, "started";
        "callers" => callers.address.to_string(),
        "readiness" => readiness.address.to_string(),
        "zone" => &gateway.zone.0,
        "store" => gateway.settings().store.address.to_string());
    RunningGateway {
        gateway,
        callers: callers.address,
        readiness: readiness.address,
        accepting,
        tasks,
    }
}

impl RunningGateway {
    /// Stops the node as planned: it is no longer ready from now on, accepts requests that can end
    /// within the stop for `ACCEPT_WHILE_STOPPING_MS` so that the load balancer can notice, and
    /// refuses all others. When no request is in flight, it answers what has arrived on
    /// connections that were not read yet, and ends. Requests that run until the bound on a
    /// planned stop is close are answered as unfinished.
    pub async fn stop(mut self) {
        let gateway = &self.gateway;
        let began = gateway.clock.now();
        let window = gateway.begin_stop();
        let concluding_ms = window.left_ms(began);
        slog::info!(gateway.log, "stopping";
            "under_way" => gateway.requests_in_flight(),
            "concluding_after_ms" => concluding_ms);
        let stop_ms = gateway.settings().bounds.stop_seconds * 1_000.0;
        let draining = async {
            sleep(ACCEPT_WHILE_STOPPING_MS).await;
            gateway.begin_refusing();
            wait_until_drained(gateway).await;
        };
        within(concluding_ms, draining).await;
        gateway.planned_stop.begin(StopPhase::Closing);
        let left_ms = window.left_ms(gateway.clock.now());
        if within(left_ms, &mut self.accepting).await.is_none() {
            slog::info!(gateway.log, "concluding"; "under_way" => gateway.requests_in_flight());
            gateway.planned_stop.begin(StopPhase::Concluding);
            let after_ms = gateway.clock.now().since(began);
            let left_ms = ((stop_ms * CLOSED_SHARE) as u64).saturating_sub(after_ms);
            within(left_ms, &mut self.accepting).await;
        }
        slog::info!(gateway.log, "stopped";
            "after_ms" => gateway.clock.now().since(began),
            "under_way" => gateway.requests_in_flight());
        gateway.planned_stop.begin(StopPhase::Ended);
        within(END_CONNECTIONS_MS, wait_until_none_in_flight(gateway)).await;
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Waits until no request is in flight.
async fn wait_until_none_in_flight(gateway: &Gateway) {
    loop {
        let ended = gateway.work_ended.listen();
        if gateway.requests_in_flight() == 0 {
            return;
        }
        ended.await;
    }
}

/// Waits until no request has been in flight for `IDLE_BEFORE_STOP_MS`.
async fn wait_until_drained(gateway: &Gateway) {
    loop {
        let ended = gateway.work_ended.listen();
        if gateway.requests_in_flight() > 0 {
            ended.await;
            continue;
        }
        if within(IDLE_BEFORE_STOP_MS, ended).await.is_none() && gateway.requests_in_flight() == 0 {
            return;
        }
    }
}

/// Reads the settings file again, and applies it if it is valid.
pub fn reload(gateway: &Gateway, file: &Path) {
    match GatewaySettings::read(file) {
        Ok(settings) => {
            gateway.replace_settings(settings);
            slog::info!(gateway.log, "settings reloaded"; "file" => file.display().to_string());
        }
        Err(error) => log_reload_failure(gateway, &error),
    }
}

fn log_reload_failure(gateway: &Gateway, error: &SettingsError) {
    slog::warn!(gateway.log, "settings not reloaded"; "error" => error.to_string());
}

/// Reloads the settings whenever the file's modification time changes, until dropped.
pub async fn follow_settings(gateway: Arc<Gateway>, file: PathBuf) {
    let mut known = modified(&file);
    loop {
        sleep(SETTINGS_PERIOD_MS).await;
        let present = modified(&file);
        if present != known {
            known = present;
            reload(&gateway, &file);
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file)
        .and_then(|data| data.modified())
        .ok()
}
