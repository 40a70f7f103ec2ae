//! Which nodes read the object store for the others of their zone.
//!
//! Every node follows the store by itself as long as few do. In a zone with many
//! nodes the first two, in the order of all that hear of each other, go on as
//! before; they pass on changes of the engines and vouch for the configuration.
//! The others ask the store rarely. A node that no longer hears the readers, or
//! whose proof grows old, asks the store by itself again.

use crate::beliefs::Beliefs;
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;

/// Nodes of a zone that read the store for the others.
const READERS_PER_ZONE: usize = 2;

/// The readers that a node relies on; none when it reads for itself.
pub fn readers(gateway: &Gateway, beliefs: &Beliefs) -> Vec<PeerId> {
    let own = PeerId::of(&gateway.settings().node.name);
    let zone = ZoneTag::of(&gateway.zone);
    let first = beliefs
        .peer_loads
        .first_in_zone(zone, own, READERS_PER_ZONE);
    match first.len() {
        READERS_PER_ZONE => first,
        _ => Vec::new(),
    }
}

/// Whether this node relies on readers.
pub fn relies_on_readers(gateway: &Gateway) -> bool {
    let beliefs = gateway.beliefs();
    !readers(gateway, &beliefs).is_empty()
}

/// Whether other nodes rely on this one.
pub fn reads_for_others(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let near = gateway.address_book().live_near(now).len();
    near >= READERS_PER_ZONE && !relies_on_readers(gateway)
}

/// The age from which a proof of the configuration is too old to go on without
/// the store, in milliseconds: what is left until keys are refused is enough for
/// a call or two.
pub fn stale_proof_ms(key_freshness_limit_ms: u64) -> u64 {
    key_freshness_limit_ms * 3 / 5
}

/// Whether the proof that the configuration is the newest has grown old.
pub fn has_stale_proof(gateway: &Gateway, now: Millis) -> bool {
    let limit_ms = crate::state::key_freshness_limit_ms(&gateway.settings());
    let age_ms = gateway.beliefs().freshness.age_ms(now);
    age_ms.is_none_or(|age_ms| age_ms >= stale_proof_ms(limit_ms))
}
