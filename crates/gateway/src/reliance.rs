//! Whether the list of engines is recent enough to send requests by it.

use crate::engines_proof::engines_age_limit_ms;
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use ploverlift_policy::ids::Millis;

/// Part of the bound on leaving engines that is reserved for sending a request once an
/// engine is chosen, in milliseconds: 250 to connect, the rest for a head and a short body
/// over a shared link.
const SENDING_MARGIN_MS: u64 = 450;

/// Age of the list of engines beyond which no request should be sent by it, in
/// milliseconds.
fn longest_reliance_ms(settings: &GatewaySettings) -> u64 {
    let bound_ms = settings.bounds.leaving_engine_ms;
    let limit_ms = engines_age_limit_ms(settings);
    bound_ms.saturating_sub(SENDING_MARGIN_MS).max(limit_ms)
}

/// How far the list of engines can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reliance {
    /// The list is recent enough.
    Recent,
    /// The list is too old, and no call has shown the cause yet.
    Unproven,
    /// The list is too old, and a relay has a newer one: the store is reachable.
    Behind,
    /// The list is too old, and no newer one can be read to its end.
    Incomplete,
    /// The list is too old, and the store answers no call. The engines stay in use: the
    /// bound on leaving engines applies only to nodes that can reach the store.
    StoreAway,
}

impl Reliance {
    /// Whether a request need not wait: the list is recent, or no newer one can be had.
    pub fn needs_no_wait(self) -> bool {
        matches!(self, Self::Recent | Self::Incomplete | Self::StoreAway)
    }
}

/// How far the list of engines can be relied on now.
pub fn reliance(gateway: &Gateway, now: Millis) -> Reliance {
    let limit_ms = longest_reliance_ms(&gateway.settings());
    let beliefs = gateway.beliefs();
    // Before the first update there are no engines to send to.
    let Some(last) = beliefs.engines_proof.last_update() else {
        return Reliance::Recent;
    };
    if now.since(last.at) <= limit_ms {
        return Reliance::Recent;
    }
    let others_know = beliefs.followed.newest_proof();
    if others_know.is_some_and(|at| now.since(at) <= limit_ms) {
        return Reliance::Behind;
    }
    if beliefs.uses_incomplete_engines(now) {
        return Reliance::Incomplete;
    }
    match beliefs.store_outage.failing_since() > Some(last.at) {
        true => Reliance::StoreAway,
        false => Reliance::Unproven,
    }
}
