//! Levels reported by relays, and the share of a node that receives no relay reports.

use crate::accounts::{share_of, HOLD_MS, MIN_AGE_ADVANTAGE_MS, SETTLED_MS, UNREPORTED_MS};
use crate::bucket::{granted_in, Bucket};
use crate::own_use::OwnUse;
use crate::reports::{LevelReport, TenantLevel};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::report_position::{LifeChange, NewReport, ReportPosition};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::{RateLimit, TenantTag};
use std::collections::{BTreeMap, HashMap};

/// Time without a report after which a relay's levels are no longer used, in milliseconds:
/// two of a relay's longest report periods and some jitter. With two reporting relays, that
/// takes four lost datagrams in a row.
const RELAY_TIMEOUT_MS: u64 = 450;

#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: f64,
    fleet_rate: f64,
    fleet_demand: f64,
    counted: u64,
    reported_at: Millis,
    /// The use a second of this node at that time.
    own_rate: f64,
}

#[derive(Clone, Debug)]
struct RelayReports {
    position: ReportPosition,
    accounts_age_ms: u64,
    levels: HashMap<TenantTag, ReportedLevel>,
}

/// This node's share of a limit while it receives no relay reports.
#[derive(Clone, Copy, Debug)]
struct OwnShare {
    share: f64,
    bucket: Bucket,
}

/// The levels of all tenants, as reported by relays.
#[derive(Clone, Debug, Default)]
pub struct RelayLevels {
    relays: BTreeMap<PeerId, RelayReports>,
    nodes: u32,
    heard_at: Option<Millis>,
    shares: HashMap<TenantTag, OwnShare>,
}

/// The tokens of a tenant that this node may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Remaining tokens, as far as known. A negative number is a debt.
    pub available: f64,
    /// Tokens a second that become available to this node.
    pub refill_per_second: f64,
    /// Tokens a second that other nodes admit.
    pub others_per_second: f64,
    /// Tokens a second that are requested from the whole fleet, admitted or not.
    pub fleet_demand: f64,
    /// Age of the underlying report, in milliseconds; `None` if there is none.
    pub age_ms: Option<u64>,
}

impl RelayLevels {
    /// Applies a report of a relay. A report that arrives out of order is ignored.
    pub fn apply(&mut self, report: &LevelReport, own: &OwnUse, now: Millis) {
        let known = self.relays.get(&report.sender);
        let known = known.map(|relay| relay.position);
        let follows = ReportPosition::follow(known, report.life, report.sequence, now);
        let Some(NewReport { position, life }) = follows else {
            return;
        };
        if life != LifeChange::Same {
            self.relays.remove(&report.sender);
        }
        let relay = self
            .relays
            .entry(report.sender)
            .or_insert_with(|| RelayReports {
                position,
                accounts_age_ms: 0,
                levels: HashMap::new(),
            });
        relay.position = position;
        relay.accounts_age_ms = report.accounts_age_ms;
        for reported in &report.levels {
            let own_rate = own.rate(reported.tenant).per_second(now);
            let level = ReportedLevel::of(reported, own_rate, now);
            relay.levels.insert(reported.tenant, level);
        }
        self.nodes = report.nodes;
        self.heard_at = Some(now);
        self.shares.clear();
        self.relays
            .retain(|_, relay| now.since(relay.position.heard_at()) < HOLD_MS);
    }

    /// The relay whose levels are used: the one with the oldest accounts, and among those
    /// the one with the latest report.
    fn preferred_relay(&self, now: Millis) -> Option<&RelayReports> {
        let relays = self.relays.values();
        let recent = relays.filter(|relay| now.since(relay.position.heard_at()) < RELAY_TIMEOUT_MS);
        recent.max_by_key(|relay| {
            let age_ms = relay.accounts_age_ms.min(SETTLED_MS);
            (age_ms / MIN_AGE_ADVANTAGE_MS, relay.position.heard_at())
        })
    }

    /// The allowance by the levels of the preferred relay; `None` if no relay has reported
    /// recently.
    pub fn allowance(
        &self,
        tenant: TenantTag,
        limit: &RateLimit,
        own: &OwnUse,
        now: Millis,
    ) -> Option<Allowance> {
        let relay = self.preferred_relay(now)?;
        let own_rate = own.rate(tenant).per_second(now);
        let Some(reported) = relay.levels.get(&tenant) else {
            // The relay knows no use, or only the last requests of this node.
            let refilled = granted_in(limit, relay.accounts_age_ms).min(limit.burst);
            return Some(Allowance {
                available: refilled - own.rate(tenant).value(now),
                refill_per_second: limit.per_second,
                others_per_second: 0.0,
                fleet_demand: own.demand(tenant).per_second(now),
                age_ms: Some(now.since(relay.position.heard_at())),
            });
        };
        let age_ms = now.since(reported.reported_at);
        let others = (reported.fleet_rate - own_rate).max(0.0);
        let unreported = others * (age_ms + UNREPORTED_MS) as f64 / 1_000.0;
        let own_unreported = own.admitted(tenant).saturating_sub(reported.counted);
        let refilled = (reported.level + granted_in(limit, age_ms)).min(limit.burst);
        Some(Allowance {
            available: refilled - unreported - own_unreported as f64,
            refill_per_second: limit.per_second,
            others_per_second: others,
            fleet_demand: reported
                .fleet_demand
                .max(own.demand(tenant).per_second(now)),
            age_ms: Some(age_ms),
        })
    }

    /// The allowance while no relay has reported recently: this node's share by its last
    /// known use, and an even share once the other nodes no longer hold the former for it.
    pub fn own_share(
        &mut self,
        tenant: TenantTag,
        limit: &RateLimit,
        started_at: Millis,
        now: Millis,
    ) -> Allowance {
        let nodes = self.nodes.max(1);
        let silent_ms = now.since(self.heard_at.unwrap_or(started_at));
        let last = self
            .relays
            .values()
            .max_by_key(|relay| relay.position.heard_at());
        let last = last.and_then(|relay| relay.levels.get(&tenant));
        let own_rate = last.map_or(0.0, |reported| reported.own_rate);
        let fleet_rate = last.map_or(0.0, |reported| reported.fleet_rate.max(own_rate));
        let share = share_of(limit, own_rate, 1.0, fleet_rate, nodes);
        let even = 1.0 / f64::from(nodes);
        let known = self.shares.entry(tenant).or_insert_with(|| {
            let level = last.map_or(0.0, |reported| reported.level.clamp(0.0, limit.burst));
            OwnShare {
                share,
                bucket: Bucket::with_level(level * share, now),
            }
        });
        if silent_ms >= HOLD_MS {
            known.share = even;
        }
        let part = RateLimit {
            per_second: limit.per_second * known.share,
            burst: limit.burst * known.share,
            ..*limit
        };
        known.bucket.refill(&part, now);
        Allowance {
            available: known.bucket.level(),
            refill_per_second: part.per_second,
            others_per_second: 0.0,
            fleet_demand: 0.0,
            age_ms: self.heard_at.map(|at| now.since(at)),
        }
    }

    /// Charges tokens that this node admits while it receives no relay reports.
    pub fn charge_share(&mut self, tenant: TenantTag, tokens: f64) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.bucket.take(tokens);
        }
    }

    /// The levels of the preferred relay and the age of its accounts, for a node that
    /// starts to keep accounts itself.
    pub fn handover(&self, now: Millis) -> Option<(Vec<(TenantTag, f64)>, u64)> {
        let relay = self.preferred_relay(now)?;
        let levels = relay.levels.iter();
        let levels = levels.map(|(tenant, reported)| (*tenant, reported.level));
        Some((levels.collect(), relay.accounts_age_ms))
    }
}

impl ReportedLevel {
    fn of(reported: &TenantLevel, own_rate: f64, now: Millis) -> Self {
        Self {
            level: reported.level as f64,
            fleet_rate: reported.fleet_rate as f64,
            fleet_demand: reported.fleet_demand as f64,
            counted: reported.counted,
            reported_at: now,
            own_rate,
        }
    }
}
