//! Which engines have weights that are too old, and in which order they load.

use super::knowledge::max_report_delay_ms;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::net::SocketAddr;

/// An engine whose weights are older than those named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedEngine {
    /// The engine.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: String,
    /// When the oldest version that it lacks was named, as far as this node can tell.
    pub named_at: Millis,
    /// Requests of all nodes there. What they have yet to make counts as made on
    /// changed weights.
    pub running: u32,
}

/// Engines with outdated weights; the one whose missing version was named first
/// is first, and among those the one with the fewest requests: new ones go to engines
/// that have loaded, so at the others fewer and fewer are left. Engines that leave,
/// cannot be reached or are not where their entry says are left out.
pub fn outdated_engines(gateway: &Gateway, now: Millis) -> Vec<OutdatedEngine> {
    let late_ms = max_report_delay_ms(gateway);
    let beliefs = gateway.beliefs();
    let mut outdated = Vec::new();
    for engine in beliefs.engines.iter() {
        let record = &engine.record;
        let stays = !beliefs.engines.is_leaving(engine) && !engine.is_misdirected(now);
        if !stays || !engine.health.may_be_chosen(now) {
            continue;
        }
        for (model, version) in &record.weights {
            if let Some(named_at) = beliefs.weights.first_newer(model, *version, late_ms) {
                outdated.push(OutdatedEngine {
                    instance: record.instance.clone(),
                    address: record.address,
                    model: model.clone(),
                    named_at,
                    running: engine.in_flight + beliefs.peer_loads.at(engine.tag).requests,
                });
            }
        }
    }
    outdated.sort_by(|a, b| {
        let first = (a.named_at, a.running, &a.instance);
        first.cmp(&(b.named_at, b.running, &b.instance))
    });
    outdated
}
