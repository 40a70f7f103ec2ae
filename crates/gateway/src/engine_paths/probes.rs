//! Probes the direct paths to engines that are cut off from this node until they work again.

use super::connect::direct_failure;
use crate::http_call::connect;
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::names::{EngineTag, InstanceId};
use std::net::SocketAddr;
use std::sync::Arc;

/// Period at which due probes are looked for while an engine is cut off, in milliseconds.
const PROBE_TICK_MS: u64 = 50;

/// A direct path to probe.
struct DueProbe {
    engine: EngineTag,
    instance: InstanceId,
    address: SocketAddr,
}

/// Probes direct paths until the task is dropped. It only waits while no engine is cut off.
pub async fn probe_direct_paths(gateway: Arc<Gateway>) {
    loop {
        let cut_off = gateway.engine_cut_off.listen();
        let is_idle = gateway.beliefs().engine_paths.cut_count() == 0;
        match is_idle {
            true => cut_off.await,
            false => {
                within(PROBE_TICK_MS, cut_off).await;
            }
        }
        for due in due_probes(&gateway) {
            let gateway = Arc::clone(&gateway);
            smol::spawn(async move { probe(&gateway, due).await }).detach();
        }
    }
}

/// The direct paths that are due to be probed.
fn due_probes(gateway: &Gateway) -> Vec<DueProbe> {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let beliefs = &mut *beliefs;
    let (paths, engines) = (&mut beliefs.engine_paths, &beliefs.engines);
    let due = paths.take_due_probes(now).into_iter();
    let due = due.filter_map(|engine| {
        let record = &engines.by_tag(engine)?.record;
        Some(DueProbe {
            engine,
            instance: record.instance.clone(),
            address: record.address,
        })
    });
    due.collect()
}

async fn probe(gateway: &Arc<Gateway>, due: DueProbe) {
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let connected = connect(due.address, timeout_ms).await;
    let now = gateway.clock.now();
    if let Err(error) = &connected {
        // A fault of this machine is no result.
        if direct_failure(error).is_none() {
            return;
        }
    }
    let restored = {
        let mut beliefs = gateway.beliefs();
        let paths = &mut beliefs.engine_paths;
        paths.note_probe(due.engine, connected.is_ok(), now)
    };
    let Some(restored) = restored else {
        return;
    };
    // Connections through peers would otherwise be reused for as long as there is traffic.
    gateway.kept_connections().forget(&due.instance);
    slog::info!(gateway.log, "engine no longer cut off from this node";
        "engine" => &due.instance.0, "cut_ms" => restored.cut_ms,
        "engines_cut_off" => gateway.beliefs().engine_paths.cut_count());
}
