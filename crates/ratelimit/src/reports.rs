//! What nodes tell each other of tenants' use.

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_routing::rate_limit::TenantTag;

/// A part of the fleet whose use is reported as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartId {
    /// One node.
    Node(PeerId),
    /// All nodes of a zone, summed up by its relays.
    Zone(ZoneTag),
}

/// Reports in which each tenant is named at least once: that repairs what was lost.
const REPORTS_PER_REFRESH: u64 = 8;

/// Whether a tenant is named in the report with this number though nothing changed.
pub(crate) fn is_refresh_due(tenant: TenantTag, report: u64) -> bool {
    tenant.0 % REPORTS_PER_REFRESH == report % REPORTS_PER_REFRESH
}

/// What a tenant asked for and was admitted since the reporter's life began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantTag,
    /// In the unit of its limit.
    pub admitted: u64,
    /// The same with what was refused.
    pub asked: u64,
}

/// A node's own use, or a relay's sum of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseReport {
    /// Who reports.
    pub sender: PeerId,
    /// Its life, by the time of day at its start: see
    /// [`ploverlift_balancing::report_position::ReportPosition`].
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// Nodes whose use is in the report.
    pub nodes: u32,
    /// Some tenants; absolute values, so that the next report repairs a lost one.
    pub uses: Vec<TenantUse>,
}

/// The bucket of a tenant as a relay keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantTag,
    /// Tokens that are left; negative ones are owed.
    pub level: i64,
    /// Tokens a second that the whole fleet admits.
    pub fleet_rate: u64,
    /// Tokens a second that it is asked for, admitted or not.
    pub fleet_demand: u64,
    /// What the receiver of the report had admitted in the last of its reports that
    /// the level contains.
    pub counted: u64,
}

/// What a relay tells a node of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelReport {
    /// The relay.
    pub sender: PeerId,
    /// Its life, by the time of day at its start: see
    /// [`ploverlift_balancing::report_position::ReportPosition`].
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// Nodes of the fleet that the relay knows of.
    pub nodes: u32,
    /// Time for which the relay's accounts have run, in milliseconds. Tenants that it
    /// does not name have used nothing in that time, or little.
    pub accounts_age_ms: u64,
    /// Some tenants.
    pub levels: Vec<TenantLevel>,
}
