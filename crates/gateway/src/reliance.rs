//! Whether requests may go to the engines that this node knows, by how recent that is.

use crate::engines_proof::engines_age_limit_ms;
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use ploverlift_policy::ids::Millis;

/// Part of the bound that is left for sending a request once an engine is chosen, in
/// milliseconds: 250 to connect, and a head and a short body over a link that others use.
const SENDING_MARGIN_MS: u64 = 450;

/// Age beyond which nothing should be sent on knowledge of the engines, in milliseconds.
fn longest_reliance_ms(settings: &GatewaySettings) -> u64 {
    let bound_ms = settings.bounds.leaving_engine_ms;
    let limit_ms = engines_age_limit_ms(settings);
    bound_ms.saturating_sub(SENDING_MARGIN_MS).max(limit_ms)
}

/// Whether requests may go to the engines that this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reliance {
    /// What is known is recent enough.
    Recent,
    /// It is too old, and no call has shown yet why.
    Unproven,
    /// It is too old, and a relay knows more: the store is there.
    Behind,
    /// It is too old, and the store answers no call. Engines stay in use: the bound
    /// binds those who can reach the store.
    StoreAway,
}

impl Reliance {
    /// Whether a request need not wait: the knowledge is recent, or none is to be had.
    pub fn needs_no_wait(self) -> bool {
        matches!(self, Self::Recent | Self::StoreAway)
    }
}

/// Whether requests may go to the engines that this node knows now.
pub fn reliance(gateway: &Gateway, now: Millis) -> Reliance {
    let limit_ms = longest_reliance_ms(&gateway.settings());
    let beliefs = gateway.beliefs();
    // A node that was told of no engines yet has none to send to.
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
    match beliefs.store_outage.failing_since() > Some(last.at) {
        true => Reliance::StoreAway,
        false => Reliance::Unproven,
    }
}
