//! Reports of tenant usage, and of the levels of the tenants' limits.

use super::limit_messages::{counted_message, level_message, UseMessage, MAX_TENANTS};
use super::messages::{encode, encode_body, PeerMessage};
use super::roles::membership;
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use ploverlift_ratelimit::limiter::Membership;
use ploverlift_ratelimit::own_use::ReportedUse;
use ploverlift_ratelimit::reports::{LevelReport, PartId, TenantUse, UseReport};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_wire::peers::peer_message::Body;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Periods in which a relay reports the age of its accounts at least once, so that the
/// nodes that rely on it see that it is alive.
const PERIODS_PER_LEVEL_REPORT: u64 = 2;

/// Reports of usage to one set of receivers.
#[derive(Debug, Default)]
pub struct UseStream {
    reported: ReportedUse,
}

impl UseStream {
    /// Reports what this node has admitted.
    pub async fn send_own(
        &mut self,
        gateway: &Gateway,
        socket: &UdpSocket,
        receivers: &[SocketAddr],
    ) {
        let due = {
            let beliefs = gateway.beliefs();
            let limiter = &beliefs.limiter;
            if !limiter.has_limits() {
                return;
            }
            self.reported.next(limiter.own_uses(), gateway.clock.now())
        };
        let reporter = Reporter {
            zone_sum: None,
            nodes: 1,
            life: gateway.life,
        };
        if let Some(due) = due {
            send_uses(gateway, socket, receivers, &reporter, &due).await;
        }
    }

    /// Reports what this node's zone has admitted, as a relay.
    pub async fn send_zone(
        &mut self,
        gateway: &Gateway,
        socket: &UdpSocket,
        receivers: &[SocketAddr],
    ) {
        let sum = {
            let beliefs = gateway.beliefs();
            let limiter = &beliefs.limiter;
            if !limiter.has_limits() {
                return;
            }
            limiter.zone_sum()
        };
        let Some(sum) = sum else {
            return;
        };
        let reporter = Reporter {
            zone_sum: Some(ZoneTag::of(&gateway.zone)),
            nodes: sum.nodes,
            // Sums that began later belong to a later incarnation.
            life: gateway.life + sum.begun_at.0,
        };
        if let Some(due) = self
            .reported
            .next(sum.uses.into_iter(), gateway.clock.now())
        {
            send_uses(gateway, socket, receivers, &reporter, &due).await;
        }
    }
}

/// On whose behalf usage is reported.
struct Reporter {
    zone_sum: Option<ZoneTag>,
    nodes: u32,
    life: u64,
}

async fn send_uses(
    gateway: &Gateway,
    socket: &UdpSocket,
    receivers: &[SocketAddr],
    reporter: &Reporter,
    due: &[TenantUse],
) {
    for uses in chunks_or_empty(due) {
        let report = UseReport {
            sender: PeerId::of(&gateway.settings().node.name),
            life: reporter.life,
            sequence: gateway.report_sequence.fetch_add(1, Ordering::Relaxed),
            nodes: reporter.nodes,
            uses: uses.to_vec(),
        };
        let zone_sum = reporter.zone_sum;
        let datagram = encode(&PeerMessage::Use(UseMessage { report, zone_sum }));
        for receiver in receivers {
            // A lost report is repaired by the next ones.
            let _ = socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Advances the accounts and, on a relay, reports the levels to the nodes of the zone.
pub async fn send_levels(
    gateway: &Gateway,
    socket: &UdpSocket,
    receivers: &[(SocketAddr, PeerId)],
    period: u64,
    now: Millis,
) {
    let Some(membership) = advance_accounts(gateway, now) else {
        return;
    };
    let (levels, accounts_age_ms) = {
        let limiter = &mut gateway.beliefs().limiter;
        (limiter.next_levels(now), limiter.accounts_age_ms(now))
    };
    if levels.is_empty() && period % PERIODS_PER_LEVEL_REPORT != 0 {
        return;
    }
    for chunk in chunks_or_empty(&levels) {
        let report = LevelReport {
            sender: PeerId::of(&gateway.settings().node.name),
            life: gateway.life,
            sequence: gateway.report_sequence.fetch_add(1, Ordering::Relaxed),
            nodes: membership.size.nodes,
            accounts_age_ms,
            levels: chunk.to_vec(),
        };
        let common = encode_body(Body::LevelReport(level_message(&report)));
        let tenants: Vec<TenantTag> = chunk.iter().map(|reported| reported.tenant).collect();
        let counted: Vec<Vec<u64>> = {
            let limiter = &gateway.beliefs().limiter;
            let receivers = receivers.iter();
            receivers
                .map(|(_, receiver)| limiter.counted_use(*receiver, &tenants))
                .collect()
        };
        for ((address, _), counted) in receivers.iter().zip(counted) {
            let mut datagram = common.clone();
            let counted = Body::LevelReport(counted_message(counted));
            datagram.extend_from_slice(&encode_body(counted));
            // A lost report is repaired by the next ones.
            let _ = socket.send_to(&datagram, address).await;
        }
    }
}

/// The tenants of each datagram; one empty chunk when there are none, so that the report
/// shows that this node is alive.
fn chunks_or_empty<T>(tenants: &[T]) -> Vec<&[T]> {
    match tenants.is_empty() {
        true => vec![tenants],
        false => tenants.chunks(MAX_TENANTS).collect(),
    }
}

/// Advances the accounts of a node that receives the reports of all others; `None` when no
/// tenant has a limit.
pub fn advance_accounts(gateway: &Gateway, now: Millis) -> Option<Membership> {
    if !gateway.beliefs().limiter.has_limits() {
        return None;
    }
    let membership = membership(gateway, now);
    gateway.beliefs().limiter.advance(&membership, now);
    Some(membership)
}

/// Applies the reported usage of a node or a zone.
pub fn handle_use_report(gateway: &Gateway, message: &UseMessage) {
    let now = gateway.clock.now();
    let report = &message.report;
    let part = match message.zone_sum {
        Some(zone) if zone == ZoneTag::of(&gateway.zone) => return,
        Some(zone) => PartId::Zone(zone),
        None => PartId::Node(report.sender),
    };
    gateway
        .beliefs()
        .limiter
        .apply_use_report(part, report, now);
}

/// Applies the levels that a relay reports.
pub fn handle_level_report(gateway: &Gateway, report: &LevelReport) {
    let now = gateway.clock.now();
    gateway.beliefs().limiter.apply_level_report(report, now);
}
