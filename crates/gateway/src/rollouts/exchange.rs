//! Rollout contents of the reports between nodes.
//!
//! A node reports its counts and confirmations. A relay sums up its zone for the relays of
//! other zones, and broadcasts the orders and the sums of the fleet to its zone. Counts never
//! decrease, so a report that arrives late or twice is counted once. While no rollout is
//! open, nodes report nothing, and relays occasionally broadcast the revision up to which
//! they know all orders.

use super::running::RunningRequests;
use super::service::ServiceRollout;
use super::RolloutBeliefs;
use crate::peers::rollout_messages::{
    NodeConfirmation, RolloutNews, RolloutReport, ServiceCounts, ServiceTag,
};
use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{CountReport, Counts};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, RolloutNumber};
use ploverlift_routing::configuration::ServiceName;
use std::collections::VecDeque;

/// Number of own reports whose counts are remembered, about two seconds' worth.
const MAX_OWN_REPORTS: usize = 32;
/// Time for which each broadcast repeats a change of orders, in milliseconds, as some
/// datagrams are lost.
const REPEAT_CHANGE_MS: u64 = 1_000;
/// Incarnation of a zone's sums. The relays of a zone report the same sums, of which the
/// highest counts are kept.
const ZONE_LIFE: u64 = 0;

/// Counts of this node's recent reports to relays, by sequence number.
#[derive(Clone, Debug, Default)]
pub struct OwnReports {
    reports: VecDeque<(u64, Vec<ServiceCounts>)>,
}

impl OwnReports {
    fn note(&mut self, sequence: u64, counts: Vec<ServiceCounts>) {
        if self.reports.len() >= MAX_OWN_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((sequence, counts));
    }

    fn counts(&self, sequence: u64, service: ServiceTag) -> Option<&ServiceCounts> {
        let mut reports = self.reports.iter();
        let (_, counts) = reports.find(|(number, _)| *number == sequence)?;
        counts.iter().find(|counted| counted.service == service)
    }
}

/// Maximum number of confirmations in one datagram, with or without counts of a service.
const MAX_CONFIRMATIONS: usize = 20;
/// Maximum number of routes whose counts fit one datagram; about 900 bytes with all buckets
/// in use.
const MAX_ROUTES: usize = 4;

impl RolloutReport {
    /// Splits the report into pieces, each of which fits a datagram beside a little other
    /// content. The counts of a service can be split by routes, as a receiver keeps the
    /// highest value of each count.
    pub fn pieces(self) -> Vec<RolloutReport> {
        let lease = self.lease;
        let mut confirmations = self.confirmations.chunks(MAX_CONFIRMATIONS);
        let mut counts = self.counts.iter().flat_map(counts_by_routes);
        let mut pieces = Vec::new();
        loop {
            let (counted, confirmed) = (counts.next(), confirmations.next());
            if counted.is_none() && confirmed.is_none() {
                return pieces;
            }
            pieces.push(RolloutReport {
                counts: counted.into_iter().collect(),
                confirmations: confirmed.unwrap_or_default().to_vec(),
                lease,
            });
        }
    }
}

fn counts_by_routes(counted: &ServiceCounts) -> Vec<ServiceCounts> {
    let routes: Vec<_> = counted.counts.routes.iter().collect();
    let pieces = routes.chunks(MAX_ROUTES).map(|routes| ServiceCounts {
        counts: Counts {
            routes: routes
                .iter()
                .map(|(tag, counts)| (**tag, **counts))
                .collect(),
            target_engines: counted.counts.target_engines,
        },
        ..counted.clone()
    });
    pieces.collect()
}

/// A node that reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter {
    /// The node.
    pub node: PeerId,
    /// Its incarnation.
    pub life: u64,
}

impl RolloutBeliefs {
    /// Merges this node's counts into those of the fleet.
    pub fn merge_own_counts(&mut self, own: Reporter) {
        for rollout in self.services.values_mut() {
            if let Some(report) = rollout.own_report(own.node, own.life) {
                rollout.merge_counts(&report);
            }
        }
    }

    /// The rollout contents of this node's report with a sequence number; empty while no
    /// rollout is open.
    pub fn own_report(&mut self, own: Reporter, sequence: u64) -> RolloutReport {
        let mut counts = Vec::new();
        let mut confirmations = Vec::new();
        let rollouts = self.services.values_mut();
        for rollout in rollouts.filter(|rollout| rollout.is_open()) {
            let Some(confirmed) = own_confirmation(rollout, &self.running, own) else {
                continue;
            };
            if let Some(counted) = rollout.own_report(own.node, own.life) {
                counts.push(ServiceCounts {
                    service: confirmed.service,
                    rollout: counted.rollout,
                    counts: counted.counts,
                });
            }
            confirmations.push(confirmed);
        }
        if !counts.is_empty() {
            self.own_reports.note(sequence, counts.clone());
        }
        RolloutReport {
            counts,
            confirmations,
            lease: None,
        }
    }

    /// This node's confirmation of the present stage of a service's rollout.
    pub fn own_stage_confirmation(
        &mut self,
        service: &ServiceName,
        own: Reporter,
    ) -> Option<Confirmation> {
        let rollout = self.services.get_mut(service)?;
        let confirmed = own_confirmation(rollout, &self.running, own)?;
        Some(confirmed.confirmation)
    }

    /// Counts and confirmations of this node's zone, for the relays of other zones.
    pub fn zone_report(&mut self, own: Reporter, now: Millis) -> RolloutReport {
        self.merge_own_counts(own);
        let mut report = RolloutReport::default();
        let rollouts = self.services.values_mut();
        for rollout in rollouts.filter(|rollout| rollout.is_open()) {
            let Some(confirmed) = own_confirmation(rollout, &self.running, own) else {
                continue;
            };
            let service = confirmed.service;
            report.counts.push(ServiceCounts {
                service,
                rollout: confirmed.confirmation.rollout,
                counts: rollout.zone_sums().clone(),
            });
            report.confirmations.push(confirmed);
            let members = rollout
                .members
                .iter()
                .filter(|(_, member)| member.is_in_own_zone);
            let confirmed = members.map(|(node, member)| NodeConfirmation {
                node: *node,
                service,
                confirmation: member.confirmation.unwrap_or(NO_CONFIRMATION),
                age_ms: now.since(member.last_report_at),
            });
            report.confirmations.extend(confirmed);
        }
        report
    }

    /// Merges the report of a node of this zone, or of a small fleet.
    pub fn merge_node_report(&mut self, from: Reporter, report: &RolloutReport, now: Millis) {
        for rollout in self
            .services
            .values_mut()
            .filter(|rollout| rollout.is_open())
        {
            let member = rollout.members.entry(from.node).or_default();
            member.last_report_at = now;
            member.is_in_own_zone = true;
        }
        for counted in &report.counts {
            if let Some(rollout) = self.rollout_by_tag(counted.service) {
                rollout.merge_counts(&CountReport {
                    rollout: counted.rollout,
                    node: from.node,
                    life: from.life,
                    counts: counted.counts.clone(),
                });
            }
        }
        self.take_confirmations(&report.confirmations, now);
    }

    /// Merges the report of a relay of another zone.
    pub fn merge_zone_report(&mut self, zone: ZoneTag, report: &RolloutReport, now: Millis) {
        for counted in &report.counts {
            if let Some(rollout) = self.rollout_by_tag(counted.service) {
                rollout.merge_zone_counts(&CountReport {
                    rollout: counted.rollout,
                    node: PeerId(u64::from(zone.0)),
                    life: ZONE_LIFE,
                    counts: counted.counts.clone(),
                });
            }
        }
        self.take_confirmations(&report.confirmations, now);
    }

    fn take_confirmations(&mut self, confirmations: &[NodeConfirmation], now: Millis) {
        for confirmed in confirmations {
            let Some(rollout) = self.rollout_by_tag(confirmed.service) else {
                continue;
            };
            let last_report_at = now.before(confirmed.age_ms);
            let member = rollout.members.entry(confirmed.node).or_default();
            member.last_report_at = member.last_report_at.max(last_report_at);
            member.update_confirmation(confirmed.confirmation);
        }
    }

    /// The broadcast of a relay to its zone. `None` before any orders are known, and while
    /// nothing changed and no rollout is open, unless `is_always_due`.
    pub fn relay_broadcast(
        &mut self,
        own: Reporter,
        is_always_due: bool,
        now: Millis,
    ) -> Option<RolloutNews> {
        let known_through = self.orders.known_through()?;
        let changed_at = self.orders.changed_at();
        let is_new = changed_at.is_some_and(|at| now.since(at) < REPEAT_CHANGE_MS);
        if !(is_always_due || is_new || self.is_any_open()) {
            return None;
        }
        self.merge_own_counts(own);
        let open = self.services.values().filter(|rollout| rollout.is_open());
        let sums = open.filter_map(|rollout| {
            Some(ServiceCounts {
                service: rollout.tag(),
                rollout: rollout.gate()?.progress().rollout,
                counts: rollout.fleet().sums().clone(),
            })
        });
        let proven_at = self.orders.proven_at().unwrap_or(Millis(0));
        Some(RolloutNews {
            known_through,
            age_ms: now.since(proven_at),
            orders: self.orders.iter().cloned().collect(),
            sums: sums.collect(),
        })
    }

    /// Records the time of a relay's broadcast, and removes the orders that it lacks unless this
    /// node knows later revisions.
    pub fn remove_missing(&mut self, broadcast: &RolloutNews, now: Millis) {
        self.orders.note_relay_report(now);
        if self.orders.known_through() <= Some(broadcast.known_through) {
            for service in self.orders.missing_in(&broadcast.orders) {
                self.remove_order(&service, broadcast.known_through, now);
            }
        }
    }

    /// Applies the rest of a relay's broadcast after its orders. `answers` is the sequence
    /// number of this node's newest report that the relay had received, and the time at which
    /// it was sent.
    pub fn apply_sums(
        &mut self,
        broadcast: &RolloutNews,
        answers: Option<(u64, Millis)>,
        engines: &EngineCatalogue,
        now: Millis,
    ) {
        // Counted from the report that it answers, less the age that the relay gives: so
        // the proof is never taken for newer than it is, however long the answer took.
        let proven_at = answers.map(|(_, sent_at)| sent_at.0.saturating_sub(broadcast.age_ms));
        self.note_orders_known(broadcast.known_through, proven_at.map(Millis), engines, now);
        for counted in &broadcast.sums {
            let Some((sequence, _)) = answers else {
                continue;
            };
            let own = self.own_reports.counts(sequence, counted.service);
            let own = own.filter(|own| own.rollout == counted.rollout);
            let own: Option<Counts> = own.map(|own| own.counts.clone());
            if let Some(rollout) = self.rollout_by_tag(counted.service) {
                rollout.apply_sums(counted.rollout, &counted.counts, own, now);
            }
        }
    }

    fn rollout_by_tag(&mut self, tag: ServiceTag) -> Option<&mut ServiceRollout> {
        let mut services = self.services.values_mut();
        services.find(|rollout| rollout.tag() == tag)
    }
}

/// This node's confirmation of the present stage; `None` until a stage is known.
fn own_confirmation(
    rollout: &mut ServiceRollout,
    running: &RunningRequests,
    own: Reporter,
) -> Option<NodeConfirmation> {
    let service = rollout.tag();
    let name = &rollout.order().service;
    let running = running.except(name, rollout.gate_target());
    Some(NodeConfirmation {
        node: own.node,
        service,
        confirmation: rollout.gate_mut()?.confirm(running),
        age_ms: 0,
    })
}

/// Stands for a node that has reported but confirmed no stage of the rollout.
const NO_CONFIRMATION: Confirmation = Confirmation {
    rollout: RolloutNumber(0),
    epoch: Epoch(0),
    has_left_established: false,
    running_on_established: 0,
    has_stopped: false,
};
