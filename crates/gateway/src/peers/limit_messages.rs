//! Tenant usage and the levels of the tenants' token buckets, as messages.

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_ratelimit::reports::{LevelReport, TenantLevel, TenantUse, UseReport};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_wire::peers;

/// Maximum number of tenants in one datagram of usage or of levels: at most 32 bytes each,
/// so that it is not fragmented.
pub const MAX_TENANTS: usize = 35;

/// A report of usage, with the zone that it sums up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseMessage {
    /// The report.
    pub report: UseReport,
    /// The zone; `None` for the usage of the sender alone.
    pub zone_sum: Option<ZoneTag>,
}

/// The message for a report of usage.
pub fn use_message(message: &UseMessage) -> peers::UseReport {
    let report = &message.report;
    peers::UseReport {
        sender: report.sender.0,
        life: report.life,
        sequence: report.sequence,
        zone_sum: message.zone_sum.map_or(0, |zone| zone.0),
        nodes: report.nodes,
        tenants: report.uses.iter().map(|used| used.tenant.0).collect(),
        admitted: report.uses.iter().map(|used| used.admitted).collect(),
        asked: report.uses.iter().map(|used| used.asked).collect(),
    }
}

/// Reads a report of usage.
pub fn read_use(message: &peers::UseReport) -> UseMessage {
    let totals = message.admitted.iter().zip(&message.asked);
    let uses = message.tenants.iter().zip(totals);
    let uses = uses.map(|(tenant, (admitted, asked))| TenantUse {
        tenant: TenantTag(*tenant),
        admitted: *admitted,
        asked: *asked,
    });
    UseMessage {
        report: UseReport {
            sender: PeerId(message.sender),
            life: message.life,
            sequence: message.sequence,
            nodes: message.nodes,
            uses: uses.collect(),
        },
        zone_sum: Some(message.zone_sum)
            .filter(|zone| *zone != 0)
            .map(ZoneTag),
    }
}

/// The part of a report of levels that is the same for all receivers.
pub fn level_message(report: &LevelReport) -> peers::LevelReport {
    let levels = &report.levels;
    peers::LevelReport {
        sender: report.sender.0,
        life: report.life,
        sequence: report.sequence,
        nodes: report.nodes,
        accounts_age_ms: report.accounts_age_ms,
        tenants: levels.iter().map(|reported| reported.tenant.0).collect(),
        levels: levels.iter().map(|reported| reported.level).collect(),
        fleet_rates: levels.iter().map(|reported| reported.fleet_rate).collect(),
        fleet_demands: levels
            .iter()
            .map(|reported| reported.fleet_demand)
            .collect(),
        counted: Vec::new(),
    }
}

/// The part of a report of levels for one receiver. It is appended to the common bytes:
/// concatenated messages of one kind are merged when they are read.
pub fn counted_message(counted: Vec<u64>) -> peers::LevelReport {
    peers::LevelReport {
        counted,
        ..peers::LevelReport::default()
    }
}

/// Reads a report of levels. Of lists of unequal length, excess entries are ignored.
pub fn read_levels(message: &peers::LevelReport) -> LevelReport {
    let rates = message.fleet_rates.iter().zip(&message.fleet_demands);
    let buckets = message.levels.iter().zip(rates).zip(&message.counted);
    let levels = message.tenants.iter().zip(buckets);
    let levels =
        levels.map(
            |(tenant, ((level, (fleet_rate, fleet_demand)), counted))| TenantLevel {
                tenant: TenantTag(*tenant),
                level: *level,
                fleet_rate: *fleet_rate,
                fleet_demand: *fleet_demand,
                counted: *counted,
            },
        );
    LevelReport {
        sender: PeerId(message.sender),
        life: message.life,
        sequence: message.sequence,
        nodes: message.nodes,
        accounts_age_ms: message.accounts_age_ms,
        levels: levels.collect(),
    }
}
