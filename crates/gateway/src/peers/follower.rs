//! Handling of the reports of relays on a follower.

use super::relay_messages::RelayReport;
use super::roles::{role, Role};
use super::rollout_messages::RolloutNews;
use crate::beliefs::Beliefs;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::engines_proof::engines_age_limit_ms;
use crate::rollouts::feed::publish_order_updates;
use crate::rollouts::{rollout_settings, OrderUpdate};
use crate::state::Gateway;
use crate::weights::knowledge::{apply_weights_report, VersionSource};
use ploverlift_balancing::engine_losses::ReportSource;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::settings::RolloutSettings;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The report of a relay with its revisions in an era of the store. A relay of an earlier
/// release reports no era: it reads the same store as this node, so the era that this node
/// knows applies.
fn with_known_era<'a>(gateway: &Gateway, report: &'a RelayReport) -> Cow<'a, RelayReport> {
    let own = gateway.store_era.get();
    match own.filter(|_| report.store_era.is_none()) {
        Some(era) => Cow::Owned(report.clone().in_era(era)),
        None => Cow::Borrowed(report),
    }
}

/// Applies a report of a relay of the zone.
pub fn handle_relay_report(gateway: &Gateway, report: &RelayReport, from: SocketAddr) {
    let report = &*with_known_era(gateway, report);
    let now = gateway.clock.now();
    let sender = report.loads.sender;
    gateway.note_peer_era(report.store_era);
    gateway.address_book().note_contact(from, sender, now);
    if role(gateway, now) != Role::Follower {
        // Nodes with another role learn this from the store and from the nodes themselves.
        return;
    }
    let limit_ms = engines_age_limit_ms(&gateway.settings());
    let settings = rollout_settings(&gateway.settings());
    let fleet = gateway.address_book().listed_nodes();
    let mut beliefs = gateway.beliefs();
    let included = report.included.filter(|known| known.life == gateway.life);
    let included = included.map(|known| known.sequence);
    let loads = &mut beliefs.peer_loads.relayed;
    let sent_at = included.and_then(|sequence| loads.own_report_sent_at(sequence));
    loads.apply(&report.loads, included, now);
    let (placements, loaded) = (&report.placements, &report.loaded);
    beliefs.note_reported(placements, loaded, report.lease, now);
    for reported in &report.stores {
        beliefs.cache_stores.apply_reported(reported, now);
    }
    beliefs.followed.note_report(report, from, sent_at, now);
    apply_proof(&mut beliefs, report, sent_at);
    let refused = report.refused_requests;
    if refused.is_some_and(|refused| beliefs.quarantine.refused() >= refused as usize) {
        beliefs.quarantine.mark_stored_list_known();
    }
    beliefs.apply_reported_losses(ReportSource::Relay, sender, &report.lost, fleet, now);
    let before = beliefs.catalogue_log.through();
    for change in beliefs.followed.next_changes(report) {
        beliefs.apply_engine_change(change.clone(), now);
    }
    let changes = beliefs.catalogue_log.after(before);
    if let Some(proven_at) = beliefs.followed.proven_at() {
        beliefs.engines_proof.note_relay_proof(proven_at);
    }
    let answers = included.zip(sent_at);
    let broadcast = report.rollouts.as_ref();
    let order_news = broadcast.map_or_else(Vec::new, |broadcast| {
        apply_rollout_news(&mut beliefs, broadcast, answers, settings, now)
    });
    let configuration = beliefs.configuration_version();
    let missing = beliefs.followed.snapshot_need(configuration, limit_ms, now);
    drop(beliefs);
    log_engine_updates(gateway, &changes, UpdateSource::Relay);
    apply_weights_report(gateway, &report.weights, sent_at, VersionSource::Relay);
    publish_order_updates(gateway, &order_news);
    gateway.site_updated.notify(usize::MAX);
    if !report.lost.is_empty() || !report.changes.is_empty() {
        gateway.engine_check_due.notify(usize::MAX);
    }
    if missing.is_some() {
        gateway.snapshot_due.notify(usize::MAX);
    }
}

/// Applies the rollout data of a relay. `answers` is as for
/// [`crate::rollouts::RolloutBeliefs::apply_sums`].
pub(super) fn apply_rollout_news(
    beliefs: &mut Beliefs,
    broadcast: &RolloutNews,
    answers: Option<(u64, Millis)>,
    settings: RolloutSettings,
    now: Millis,
) -> Vec<OrderUpdate> {
    beliefs.rollouts.remove_missing(broadcast, now);
    let mut taken = Vec::new();
    for order in &broadcast.orders {
        taken.extend(beliefs.apply_rollout_order(order.clone(), settings, now));
    }
    let (rollouts, engines) = (&mut beliefs.rollouts, &beliefs.engines);
    rollouts.apply_sums(broadcast, answers, engines, now);
    taken
}

/// Applies the proof of a relay that its configuration is the newest. The proof counts from
/// when this node sent the report that the relay included, less the age in the report:
/// however long the datagram was under way, the proof is never taken to be younger than it
/// is.
fn apply_proof(beliefs: &mut Beliefs, report: &RelayReport, sent_at: Option<Millis>) {
    let is_same = report.configuration == beliefs.configuration_version();
    let (Some(sent_at), Some(age_ms)) = (sent_at, report.proof_age_ms) else {
        return;
    };
    if is_same && report.configuration.is_some() {
        let proven_at = sent_at.0.saturating_sub(age_ms);
        beliefs.freshness.prove(Millis(proven_at));
    }
}
