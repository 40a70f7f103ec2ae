//! Reports that nodes exchange about the use of tenants.

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_routing::rate_limit::TenantTag;

/// A part of the fleet whose use is reported as one total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartId {
    /// One node.
    Node(PeerId),
    /// All nodes of a zone, as summed up by its relays.
    Zone(ZoneTag),
}

/// Number of reports in which each tenant is included at least once, to repair lost
/// reports.
const REPORTS_PER_REFRESH: u64 = 8;

/// Whether the report with this number includes a tenant even if its use did not change.
pub(crate) fn is_refresh_due(tenant: TenantTag, report: u64) -> bool {
    tenant.0 % REPORTS_PER_REFRESH == report % REPORTS_PER_REFRESH
}

/// The requested and the admitted use of a tenant since the start of the reporter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantTag,
    /// Admitted use, in the unit of the limit.
    pub admitted: u64,
    /// Requested use: admitted and refused.
    pub asked: u64,
}

/// The use of a node, or a relay's sum of the use of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseReport {
    /// The reporting node.
    pub sender: PeerId,
    /// The start of the sender, by its wall clock: see
    /// [`ploverlift_balancing::report_position::ReportPosition`].
    pub life: u64,
    /// Increases with each report since that start.
    pub sequence: u64,
    /// Number of nodes whose use is in the report.
    pub nodes: u32,
    /// Some of the tenants. Values are totals, so that the next report makes up for a lost
    /// one.
    pub uses: Vec<TenantUse>,
}

/// The bucket of a tenant, as kept by a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantTag,
    /// The remaining tokens. A negative level is a debt.
    pub level: i64,
    /// Tokens a second that the whole fleet admits.
    pub fleet_rate: u64,
    /// Tokens a second that are requested from the whole fleet, admitted or not.
    pub fleet_demand: u64,
    /// The receiver's admitted total in its last report that is included in the level.
    pub counted: u64,
}

/// A report of a relay to a node of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelReport {
    /// The relay.
    pub sender: PeerId,
    /// The start of the sender, by its wall clock: see
    /// [`ploverlift_balancing::report_position::ReportPosition`].
    pub life: u64,
    /// Increases with each report since that start.
    pub sequence: u64,
    /// Number of nodes of the fleet that the relay knows.
    pub nodes: u32,
    /// Age of the relay's accounts, in milliseconds. Tenants that are not included have
    /// used little or nothing in that time.
    pub accounts_age_ms: u64,
    /// Levels of some of the tenants.
    pub levels: Vec<TenantLevel>,
}
