//! How many engines load new weights at the same time, and when all have finished.
//!
//! `weights.finish_ms` bounds the total time. Within it, as many engines load at once as is
//! possible without slowing each other down: until its load, an engine answers with outdated
//! weights, and a load costs its engine the same time whether it happens early or late.

use super::loading::Loading;
use super::OutdatedEngine;
use crate::state::Gateway;
use ploverlift_balancing::load_schedule::{loads_now, LoadPace};
use ploverlift_policy::ids::Millis;

/// Number of engines that should load at the same time now; 0 while no load is due. Nodes
/// that were not the last holder of the lease wait `succession_wait_ms` longer.
pub(super) fn loads_at_once(
    gateway: &Gateway,
    loading: &Loading,
    outdated: &[OutdatedEngine],
    succession_wait_ms: u64,
) -> usize {
    let settings = &gateway.settings().weights;
    let load_ms = loading.load_ms(settings.load_ms);
    let all = outdated.len() + loading.count();
    let needed = loading.needed_width(all, settings.load_ms, settings.finish_ms);
    let least = settings.loads_at_once.max(needed);
    let spared = engines_with_weights(gateway) as f64 * settings.loads_share;
    let at_once_limit = loading.width(least, spared as usize);
    let rounds = all.div_ceil(at_once_limit.max(1)) as u64;
    let finish_ms = settings.finish_ms.min(rounds * load_ms) + succession_wait_ms;
    let deadlines: Vec<Millis> = outdated
        .iter()
        .map(|engine| engine.named_at.plus(finish_ms))
        .collect();
    let pace = LoadPace {
        load_ms,
        at_once: settings.loads_at_once,
        at_once_limit,
    };
    loads_now(&deadlines, &pace, gateway.clock.now())
}

/// Number of engines that serve models.
fn engines_with_weights(gateway: &Gateway) -> usize {
    let beliefs = gateway.beliefs();
    let engines = beliefs.engines.iter();
    let with_weights = engines.filter(|engine| !engine.record.weights.is_empty());
    with_weights.count()
}
