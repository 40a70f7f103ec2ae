//! Finding out by connections alone whether an engine still is there.
//!
//! A check carries no request, so no caller waits for it, and a machine that is gone
//! takes no connection that could be priced. While an engine is checked, requests go
//! elsewhere as long as there is an elsewhere.

use crate::http_call::{connect, ConnectFailure};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_losses::DueCheck;
use ploverlift_http1::{BufferedStream, Headers};
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Time to the first check and between the first few, in milliseconds.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest time between two checks, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// Checks at the first pause; then it doubles.
const CHECKS_AT_FIRST_PAUSE: u32 = 3;
/// Checks of an engine after its record has gone.
const CHECKS_WITHOUT_RECORD: u32 = 5;
/// Time beyond a check for which the engine is put aside, in milliseconds.
const EJECTION_SLACK_MS: u64 = 100;
/// Time between two looks for news that is too old, in milliseconds.
const EXPIRE_PERIOD_MS: u64 = 1_000;

/// Begins checks that are due, until the task is dropped.
pub async fn check_engines(gateway: Arc<Gateway>) {
    loop {
        let due = gateway.engine_check_due.listen();
        let now = gateway.clock.now();
        let checks = {
            let mut beliefs = gateway.beliefs();
            beliefs.losses.expire(now);
            beliefs.engines.expire_notices(now);
            beliefs.losses.take_due()
        };
        // A record that has gone since, or another node's word, may confirm a loss.
        if gateway.beliefs().losses.has_lost() {
            gateway.engine_lost.notify(usize::MAX);
        }
        for check in checks {
            smol::spawn(check_engine(Arc::clone(&gateway), check)).detach();
        }
        within(EXPIRE_PERIOD_MS, due).await;
    }
}

/// Tries to connect until that succeeds or nobody needs to know any more.
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
        let connected = connect(check.address, timeout_ms).await;
        let now = gateway.clock.now();
        match connected {
            Ok(stream) => {
                keep_connection(&gateway, &check.instance, stream, now);
                record_reached(&gateway, &check, began, now);
                return;
            }
            Err(error) => {
                let Some(failure) = error.connect_failure() else {
                    continue;
                };
                let failed = FailedCheck {
                    failure,
                    began: began_check,
                    ejection_ms: pause_ms(number + 1) + timeout_ms + EJECTION_SLACK_MS,
                };
                let is_lost = record_failed_check(&gateway, &check, failed, now);
                if is_lost && !std::mem::replace(&mut was_lost, true) {
                    slog::warn!(gateway.log, "engine lost";
                        "engine" => &check.instance.0, "has_record" => has_record,
                        "after_ms" => now.since(began), "error" => error.to_string());
                }
            }
        }
    }
}

/// The connection that an engine has taken serves the next request.
pub(crate) fn keep_connection(
    gateway: &Gateway,
    instance: &InstanceId,
    stream: BufferedStream,
    now: Millis,
) {
    let longest_ms = gateway.settings().attempts.keep_connection_ms;
    let is_known = gateway.beliefs().engines.get(instance).is_some();
    if longest_ms > 0 && is_known {
        let unused = Headers::default();
        let mut kept = gateway.kept_connections();
        kept.keep(instance, stream, &unused, longest_ms, now);
    }
}

fn pause_ms(number: u32) -> u64 {
    let doublings = number.saturating_sub(CHECKS_AT_FIRST_PAUSE - 1).min(8);
    (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS)
}

fn record_reached(gateway: &Gateway, check: &DueCheck, began: Millis, now: Millis) {
    let mut beliefs = gateway.beliefs();
    beliefs.losses.note_reached(&check.instance, now);
    beliefs.engines.allow_trial(&check.instance, now);
    drop(beliefs);
    slog::info!(gateway.log, "engine reached again";
        "engine" => &check.instance.0, "after_ms" => now.since(began));
}

/// A check whose connection did not come about.
#[derive(Clone, Copy)]
struct FailedCheck {
    failure: ConnectFailure,
    began: Millis,
    /// Time for which the engine is put aside, in milliseconds.
    ejection_ms: u64,
}

/// Notes a check that failed; tells whether the engine is lost.
fn record_failed_check(
    gateway: &Gateway,
    check: &DueCheck,
    failed: FailedCheck,
    now: Millis,
) -> bool {
    let mut beliefs = gateway.beliefs();
    // The engine may have answered a request meanwhile; and what this node lacks says
    // nothing about it.
    if !beliefs.losses.is_current(check) || failed.failure == ConnectFailure::Local {
        return false;
    }
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
        // Told again after each check: others may confirm it by now.
        gateway.engine_lost.notify(usize::MAX);
    }
    is_lost
}
