//! Roles of nodes: which nodes read the object store, and which follow relays.
//!
//! In a small fleet each node reads the store itself and reports to all others. In a large
//! fleet two nodes of each zone relay: they read the store, collect the reports of their
//! zone and report to all its nodes. The other nodes follow them and do not call the store
//! while they receive reports from a relay whose own knowledge is recent enough.

use crate::beliefs::Beliefs;
use crate::engines_proof::engines_age_limit_ms;
use crate::state::{key_freshness_limit_ms, Gateway};
use crate::time::sleep;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use ploverlift_ratelimit::accounts::FleetSize;
use ploverlift_ratelimit::limiter::Membership;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of lists of nodes after which the size of the fleet is known when all nodes start
/// together: the first lists do not contain all of them.
const LISTS_AT_FIRST_START: u32 = 3;
/// Time after its start for which a node waits to learn its role and to receive a report of
/// a relay before it reads the store itself, in milliseconds: three lists take 1.5 s, the
/// first report of a relay up to 0.3 s more.
const START_WAIT_MS: u64 = 2_000;
/// As [`START_WAIT_MS`], where the fleet was running before.
const RESTART_WAIT_MS: u64 = 900;
/// Maximum time after its start for which a node waits for live relays that do not know all
/// engines yet, in milliseconds: reading 20,000 engines takes them 2 s.
const MAX_START_WAIT_MS: u64 = 6_000;
/// Interval at which a node checks whether relays can be followed, in milliseconds. Three
/// feeds check on each node. Together with the share of the bound for which knowledge may
/// be stale ([`engines_age_limit_ms`]) it leaves 0.25 s of a bound of 2 s on leaving
/// engines for reading them from the store.
const POLL_PERIOD_MS: u64 = 200;
/// As [`POLL_PERIOD_MS`], while the node is starting.
const START_POLL_PERIOD_MS: u64 = 15;
/// Time for which a successful call for the configuration proves that the store is
/// reachable, in milliseconds.
const REACHABLE_MS: u64 = 1_500;

/// Time after which a relay that reports no orders is no longer relied on for them, in
/// milliseconds: it reports them at least once a second.
const ORDERS_TIMEOUT_MS: u64 = 2_500;

/// Role of a node in the exchange of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The size of the fleet is not known yet.
    #[default]
    Undecided,
    /// The fleet is small: the node reads the store, and reports to all others.
    Direct,
    /// The node reads the store and reports to the nodes of its zone.
    Relay,
    /// The node reports to relays and receives their reports.
    Follower,
}

impl Role {
    /// Name of the role in logs.
    pub fn name(self) -> &'static str {
        match self {
            Role::Undecided => "undecided",
            Role::Direct => "direct",
            Role::Relay => "relay",
            Role::Follower => "follower",
        }
    }
}

/// The current role of this node.
pub fn role(gateway: &Gateway, now: Millis) -> Role {
    let settings = gateway.settings();
    if settings.listen.peers.is_none() {
        return Role::Direct;
    }
    let own = PeerId::of(&settings.node.name);
    let is_first = {
        let book = gateway.address_book();
        if !book.has_relays() {
            return match book.list_count() >= lists_at_start(gateway) {
                true => Role::Direct,
                false => Role::Undecided,
            };
        }
        let relays = book.relays_of(ZoneTag::of(&gateway.zone), now);
        relays.iter().any(|relay| relay.id == own)
    };
    if is_first || gateway.beliefs().relaying.has_reporters(now) {
        return Role::Relay;
    }
    Role::Follower
}

/// The other relays, as a relay knows them: those in the list of nodes, and those that
/// report to this node, since the list is up to 10 s old.
pub(super) fn peer_relays(gateway: &Gateway, now: Millis) -> BTreeSet<SocketAddr> {
    let own = PeerId::of(&gateway.settings().node.name);
    let listed = gateway.address_book().other_relays(own, now);
    let beliefs = gateway.beliefs();
    let reporting = beliefs.weights_exchange.live_peers();
    listed.into_iter().chain(reporting).collect()
}

/// How this node takes part in the accounting of the fleet.
pub fn membership(gateway: &Gateway, now: Millis) -> Membership {
    let keeps_accounts = role(gateway, now) != Role::Follower;
    let size = FleetSize {
        nodes: gateway.address_book().listed_nodes() as u32,
        started_at: gateway.started_at,
    };
    Membership {
        keeps_accounts,
        is_first_start: gateway.settings().node.is_first_start,
        size,
    }
}

/// Number of lists of nodes after which the size of the fleet is known.
pub fn lists_at_start(gateway: &Gateway) -> u32 {
    match gateway.settings().node.is_first_start {
        true => LISTS_AT_FIRST_START,
        false => 1,
    }
}

/// Whether this node relies on a relay for the contents of the store.
pub fn relies_on_relay(gateway: &Gateway, now: Millis) -> bool {
    role(gateway, now) == Role::Follower && {
        let limit_ms = engines_age_limit_ms(&gateway.settings());
        let beliefs = gateway.beliefs();
        beliefs.followed.is_current(limit_ms, now) || awaits_engines(&beliefs, limit_ms, now)
    }
}

/// Whether a request to a relay is pending, and what this node knows of the engines
/// meanwhile is recent enough, or nothing yet. In a large fleet hundreds of nodes send such
/// requests at once; the store could not answer all of them either.
fn awaits_engines(beliefs: &Beliefs, limit_ms: u64, now: Millis) -> bool {
    let known_at = beliefs.engines_proof.last_update().map(|last| last.at);
    let is_recent = known_at.is_none_or(|at| now.since(at) <= limit_ms);
    beliefs.followed.is_fetching(now) && is_recent
}

/// Age from which a proof of the configuration is too old to continue without the store, in
/// milliseconds: the time until keys are refused then suffices for one or two calls.
fn stale_proof_ms(key_freshness_limit_ms: u64) -> u64 {
    key_freshness_limit_ms * 3 / 5
}

/// Whether the proof that the configuration is the newest is stale.
fn has_stale_proof(gateway: &Gateway, now: Millis) -> bool {
    let limit_ms = key_freshness_limit_ms(&gateway.settings());
    let age_ms = gateway.beliefs().freshness.age_ms(now);
    age_ms.is_none_or(|age_ms| age_ms >= stale_proof_ms(limit_ms))
}

/// Waits while this node need not read the configuration itself.
pub async fn wait_while_configuration_is_relayed(gateway: &Gateway) {
    while is_starting(gateway) || is_configuration_relayed(gateway) {
        sleep(poll_period_ms(gateway)).await;
    }
}

/// Whether relays keep this node's configuration up to date.
pub fn is_configuration_relayed(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    relies_on_relay(gateway, now) && !has_stale_proof(gateway, now)
}

/// Waits while this node need not read engines and target versions itself. A follower that
/// has lost its relays requests them from the store together with the configuration: the
/// bound on leaving engines leaves no time for one after the other. After a failed call it
/// requests them only once the configuration was read, so that an unavailable store does
/// not get three calls from each node.
pub async fn wait_while_engines_are_relayed(gateway: &Gateway) {
    while is_starting(gateway) || are_engines_relayed(gateway) || awaits_failing_store(gateway) {
        sleep(poll_period_ms(gateway)).await;
    }
}

fn awaits_failing_store(gateway: &Gateway) -> bool {
    let is_failing = gateway.beliefs().store_outage.failing_since().is_some();
    is_failing && awaits_store(gateway)
}

/// Whether relays keep this node's engines up to date.
pub fn are_engines_relayed(gateway: &Gateway) -> bool {
    relies_on_relay(gateway, gateway.clock.now())
}

/// Whether relays keep this node's rollout orders up to date. A relay of an earlier release
/// reports none.
pub fn are_orders_relayed(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let told_at = gateway.beliefs().rollouts.orders.relay_reported_at();
    relies_on_relay(gateway, now) && told_at.is_some_and(|at| now.since(at) < ORDERS_TIMEOUT_MS)
}

/// Waits while this node need not read rollout orders itself.
pub async fn wait_while_orders_are_relayed(gateway: &Gateway) {
    while is_starting(gateway) || are_orders_relayed(gateway) || awaits_store_recovery(gateway) {
        sleep(POLL_PERIOD_MS).await;
    }
}

/// Whether this node waits until the store is reachable again. With relays of an earlier
/// release it does not wait: they report the configuration, so no other call checks the
/// store, but they report no orders.
pub fn awaits_store_recovery(gateway: &Gateway) -> bool {
    awaits_store(gateway) && !is_configuration_relayed(gateway)
}

fn awaits_store(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let reached_at = gateway.beliefs().store_reached_at;
    let is_reached = reached_at.is_some_and(|at| now.since(at) < REACHABLE_MS);
    role(gateway, now) == Role::Follower && !is_reached
}

/// Interval of the checks, in milliseconds. All nodes of a zone wait for its relays to read
/// the store, so these check often until they know that they relay.
fn poll_period_ms(gateway: &Gateway) -> u64 {
    match is_starting(gateway) {
        true => START_POLL_PERIOD_MS,
        false => POLL_PERIOD_MS,
    }
}

/// Whether this node has just started and may still receive the first report of a relay.
fn is_starting(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let wait_ms = match gateway.settings().node.is_first_start {
        true => START_WAIT_MS,
        false => RESTART_WAIT_MS,
    };
    let uptime_ms = now.since(gateway.started_at);
    let is_new = uptime_ms < wait_ms || (uptime_ms < MAX_START_WAIT_MS && awaits_relay(gateway));
    is_new && matches!(role(gateway, now), Role::Undecided | Role::Follower)
}

/// Whether this node knows no engines yet and receives reports of a relay that will supply
/// them.
fn awaits_relay(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    !beliefs.has_listed_engines && beliefs.followed.has_live_relay(now)
}
