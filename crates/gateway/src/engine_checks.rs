//! Checks by connections alone whether an engine is still reachable.
//!
//! A check sends no request, so no caller waits for it, and a lost machine accepts no
//! connection that could be charged for. While an engine is checked, requests go to other
//! engines as long as there are any.

use crate::engine_paths::connect::{connect_engine, EngineConnection};
use crate::http_call::ConnectFailure;
use crate::kept_connections::idle_limits;
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_losses::DueCheck;
use ploverlift_http1::Headers;
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Time before the first check and between the first few checks, in milliseconds.
const FIRST_PAUSE_MS: u64 = 250;
/// Maximum time between two checks, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;
/// Number of checks at the first pause; after them, the pause doubles each time. With their
/// time-outs they span the time after which a silent engine is lost.
const CHECKS_AT_FIRST_PAUSE: u32 = 5;
/// Maximum checks of an engine after its record was removed.
const CHECKS_WITHOUT_RECORD: u32 = 5;
/// Time beyond the end of the next check for which the engine stays ejected, in
/// milliseconds.
const EJECTION_SLACK_MS: u64 = 100;
/// Interval between two removals of expired losses and notices, in milliseconds.
const EXPIRE_PERIOD_MS: u64 = 1_000;

/// Starts checks that are due, until the task is dropped.
pub async fn check_engines(gateway: Arc<Gateway>) {
    loop {
        let due = gateway.engine_check_due.listen();
        let now = gateway.clock.now();
        let checks = {
            let mut beliefs = gateway.beliefs();
            beliefs.losses.expire(now);
            beliefs.engine_paths.expire(now);
            beliefs.tunnel_peers.expire(now);
            beliefs.engines.expire_notices(now);
            beliefs.losses.take_due()
        };
        // The removal of a record or another node's report may have confirmed a loss.
        if gateway.beliefs().losses.has_lost() {
            gateway.engine_lost.notify(usize::MAX);
        }
        for check in checks {
            smol::spawn(check_engine(Arc::clone(&gateway), check)).detach();
        }
        within(EXPIRE_PERIOD_MS, due).await;
    }
}

/// Tries to connect until that succeeds, the check is obsolete, or the engine's record has
/// been gone for `CHECKS_WITHOUT_RECORD` checks.
async fn check_engine(gateway: Arc<Gateway>, check: DueCheck) {
    let began = gateway.clock.now();
    let mut was_lost = false;
    let mut checks_without_record = 0;
    for number in 0.. {
        sleep(pause_ms(number)).await;
        if !gateway.beliefs().losses.is_current(&check) {
            return;
        }
        let has_record = gateway.beliefs().engines.get(&check.instance).is_some();
        if !has_record && checks_without_record >= CHECKS_WITHOUT_RECORD {
            gateway.beliefs().losses.forget(&check.instance);
            return;
        }
        checks_without_record += u32::from(!has_record);
        let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
        let began_check = gateway.clock.now();
        let connected = connect_engine(&gateway, &check.instance, check.address, timeout_ms).await;
        let now = gateway.clock.now();
        match connected {
            Ok(connection) => {
                keep_connection(&gateway, &check.instance, connection, now);
                record_reached(&gateway, &check, began, now);
                return;
            }
            // The engine is at its limit of connections, and runs.
            Err(unconnected) if unconnected.failure() == ConnectFailure::Rejected => {
                record_reached(&gateway, &check, began, now);
                return;
            }
            Err(unconnected) => {
                let failed = FailedCheck {
                    failure: unconnected.failure(),
                    began: began_check,
                    ejection_ms: pause_ms(number + 1) + timeout_ms + EJECTION_SLACK_MS,
                };
                let is_lost = record_failed_check(&gateway, &check, failed, now);
                if is_lost && !std::mem::replace(&mut was_lost, true) {
                    slog::warn!(gateway.log, "engine lost";
                        "engine" => &check.instance.0, "has_record" => has_record,
                        "after_ms" => now.since(began), "error" => unconnected.reason());
                }
            }
        }
    }
}

/// Keeps the open connection to an engine for its next request.
pub(crate) fn keep_connection(
    gateway: &Gateway,
    instance: &InstanceId,
    mut connection: EngineConnection,
    now: Millis,
) {
    let limits = idle_limits(gateway, instance);
    let place = {
        let beliefs = gateway.beliefs();
        let engine = beliefs.engines.get(instance);
        engine.map(|engine| engine.connections.place_of_open())
    };
    if limits.longest_ms == 0 || place.is_none() {
        return;
    }
    connection.place = connection.place.or(place);
    let unused = Headers::default();
    let mut kept = gateway.kept_connections();
    kept.keep(instance, connection, &unused, limits, now);
}

fn pause_ms(number: u32) -> u64 {
    let doublings = number.saturating_sub(CHECKS_AT_FIRST_PAUSE - 1).min(8);
    (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS)
}

fn record_reached(gateway: &Gateway, check: &DueCheck, began: Millis, now: Millis) {
    let mut beliefs = gateway.beliefs();
    beliefs.losses.note_reached(&check.instance, now);
    beliefs.engines.allow_trial(&check.instance, now);
    drop(beliefs);
    slog::info!(gateway.log, "engine reached again";
        "engine" => &check.instance.0, "after_ms" => now.since(began));
}

/// A check that failed to connect.
#[derive(Clone, Copy)]
struct FailedCheck {
    failure: ConnectFailure,
    began: Millis,
    /// Time for which the engine is ejected, in milliseconds.
    ejection_ms: u64,
}

/// Records a failed check; returns whether the engine is lost.
fn record_failed_check(
    gateway: &Gateway,
    check: &DueCheck,
    failed: FailedCheck,
    now: Millis,
) -> bool {
    let mut beliefs = gateway.beliefs();
    // The engine may have answered a request meanwhile, and a local error (no descriptors,
    // ports or memory) is no evidence against it.
    if !beliefs.losses.is_current(check) || failed.failure == ConnectFailure::Local {
        return false;
    }
    beliefs.losses.note_check_failed(&check.instance);
    beliefs
        .engines
        .put_aside(&check.instance, now.plus(failed.ejection_ms));
    if failed.failure == ConnectFailure::NoAnswer {
        let losses = &mut beliefs.losses;
        losses.note_unreachable(&check.instance, check.address, failed.began, now);
    }
    let engines = beliefs.engines.len();
    let losses = &beliefs.losses;
    let is_lost = losses.is_lost_since(&check.instance, Millis(0), engines);
    drop(beliefs);
    if is_lost {
        // Notified after each check, because other nodes may have confirmed the loss by now.
        gateway.engine_lost.notify(usize::MAX);
    }
    is_lost
}
