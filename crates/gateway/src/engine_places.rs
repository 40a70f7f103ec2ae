//! Places of this node's connections among those that an engine admits.

use crate::engine_paths::connect::EngineConnection;
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::connection_window::EnginePlace;
use std::time::Duration;

/// The end of a connection that the engine does not admit is awaited for this many times as long as
/// the connection took to open.
const ADMISSION_ROUND_TRIPS: u32 = 4;
/// Shortest and longest such wait, in milliseconds.
const ADMISSION_WAIT_MS: (u64, u64) = (6, 40);

/// Takes a place for a new connection to an engine, if necessary that of an idle one, which is
/// closed; `None` while the engine has no room.
pub(crate) fn take_place(gateway: &Gateway, instance: &InstanceId) -> Option<EnginePlace> {
    let now = gateway.clock.now();
    loop {
        let taken = {
            let mut beliefs = gateway.beliefs();
            let window = beliefs.engines.connections_mut(instance)?;
            window.take_place(now)
        };
        if taken.is_some() {
            return taken;
        }
        // Closing it frees its place.
        let idle = gateway.kept_connections().take_oldest(instance, now);
        drop(idle?);
    }
}

/// Whether the engine has admitted a new connection, as far as that can be seen before anything is
/// sent on it. An engine that does not ends the connection at once.
pub(crate) async fn is_admitted(
    gateway: &Gateway,
    instance: &InstanceId,
    connection: &EngineConnection,
    connect_time: Duration,
) -> bool {
    let now = gateway.clock.now();
    let is_in_doubt = {
        let beliefs = gateway.beliefs();
        let engine = beliefs.engines.get(instance);
        engine.is_some_and(|engine| engine.connections.is_in_doubt(now))
    };
    if !is_in_doubt {
        return true;
    }
    let wait = connect_time * ADMISSION_ROUND_TRIPS;
    let wait_ms = (wait.as_millis() as u64).clamp(ADMISSION_WAIT_MS.0, ADMISSION_WAIT_MS.1);
    within(wait_ms, connection.stream.until_input())
        .await
        .is_none()
}

/// Records that an engine ended a connection before anything was sent on it.
pub(crate) fn note_rejected(gateway: &Gateway, instance: &InstanceId, place: EnginePlace) {
    let now = gateway.clock.now();
    let nodes = gateway.address_book().listed_nodes();
    let (places, had_limit) = {
        let mut beliefs = gateway.beliefs();
        let Some(window) = beliefs.engines.connections_mut(instance) else {
            return;
        };
        let had_limit = window.places(now).is_some();
        (window.note_rejected(place, nodes, now), had_limit)
    };
    gateway.metrics.count_rejected_connection("nothing");
    if !had_limit {
        slog::warn!(gateway.log, "engine admits no further connection";
            "engine" => &instance.0, "places" => places);
    }
}

/// Records that an engine reset a new connection without an answer, `after_ms` milliseconds after a
/// request was sent on it.
pub(crate) fn note_reset(gateway: &Gateway, instance: &InstanceId, after_ms: u64) {
    let now = gateway.clock.now();
    if let Some(window) = gateway.beliefs().engines.connections_mut(instance) {
        window.note_reset(after_ms, now);
    }
    gateway.metrics.count_rejected_connection("request");
}

/// Records that an engine answered a request on a connection; `place` is that of a new one.
pub(crate) fn note_answered(gateway: &Gateway, instance: &InstanceId, place: Option<&EnginePlace>) {
    let now = gateway.clock.now();
    let ordinal = place.map_or(0, EnginePlace::ordinal);
    if let Some(window) = gateway.beliefs().engines.connections_mut(instance) {
        window.note_answered(ordinal, now);
    }
}
