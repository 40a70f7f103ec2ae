//! Which engines have outdated weights, and in which order they load.

use super::knowledge::max_report_delay_ms;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::net::SocketAddr;

/// An engine whose weights are older than the named version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedEngine {
    /// The engine's instance id.
    pub instance: InstanceId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The model with outdated weights.
    pub model: String,
    /// When the oldest version that the engine lacks was named, as far as this node knows.
    pub named_at: Millis,
    /// Requests of all nodes that run on the engine. Output that they have yet to generate
    /// counts as generated with changed weights.
    pub running: u32,
}

/// Engines with outdated weights, ordered by the time at which the oldest missing version
/// was named, then by the number of running requests: new requests go to engines that have
/// loaded, so the others have fewer and fewer requests left. Engines that are leaving,
/// unreachable, or not at the address in their record are left out. So are engines that are
/// cut off from this node: when only those are left, the lease passes to a node that reaches
/// them.
pub fn outdated_engines(gateway: &Gateway, now: Millis) -> Vec<OutdatedEngine> {
    let late_ms = max_report_delay_ms(gateway);
    let beliefs = gateway.beliefs();
    let mut outdated = Vec::new();
    for engine in beliefs.engines.iter() {
        let record = &engine.record;
        let is_usable = !beliefs.engines.is_leaving(engine) && !engine.is_misdirected(now);
        let is_reached =
            engine.health.may_be_chosen(now) && !beliefs.engine_paths.is_cut(engine.tag);
        if !is_usable || !is_reached {
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
