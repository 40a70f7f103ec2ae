//! Decides on rollouts at the node that holds the rollout lease.
//!
//! Only relays, or the first nodes of a small fleet, are candidates for the lease, and only
//! while a rollout is open. A decision takes effect once it is stored, by a write that is
//! conditional on the revision it was based on, so only one of two concurrent deciders can
//! write. After a conflict, a refusal or a lost answer the order is read again before the
//! next decision, so the node continues from what the store actually holds.

use super::feed::{read_order, update_known_order};
use super::service::ServiceRollout;
use super::stage_log::{log_decision, reason_name};
use super::{exchange::Reporter, rollout_settings};
use crate::leases::succession::{is_lease_candidate, succession_delay_ms, LAST_SUCCESSOR_DELAY_MS};
use crate::leases::{LeaseHolder, LeaseName};
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::StoreClient;
use crate::time::{sleep, within};
use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::decider::{Decider, DeciderInput, Decision, Member, VersionSupply};
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_routing::configuration::ServiceName;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time between two decisions, in milliseconds; the period at which reports arrive.
const PERIOD_MS: u64 = 100;
/// Polling period while no rollout is open, in milliseconds.
const IDLE_PERIOD_MS: u64 = 1_000;
/// Time-out of a write, in milliseconds. It must leave time to read the order again and to
/// decide anew within the bound on a rollback.
const WRITE_TIMEOUT_MS: u64 = 450;
/// Time until all nodes have confirmed a stage after the last request on established engines
/// has ended, in milliseconds: the watch, two reports each way, and the decision.
const CONFIRMATION_DELAY_MS: u64 = 800;

/// Decides on rollouts while this node holds the lease, until the task is dropped.
pub async fn decide_rollouts(gateway: Arc<Gateway>) {
    let holder = LeaseHolder::new(&gateway, LeaseName::Rollouts);
    let mut decision_loop = DecisionLoop::new(&gateway);
    loop {
        let changed = gateway.order_changed.listen();
        let is_open = gateway.beliefs().rollouts.is_any_open();
        let wait_ms = match holder.is_own() {
            true => 0,
            false => succession_delay_ms(&gateway),
        };
        if !is_open || wait_ms > LAST_SUCCESSOR_DELAY_MS || gateway.is_stopping() {
            holder.note_idle();
            decision_loop.deciders.clear();
            if is_lease_candidate(&gateway) {
                holder.observe_if_unread().await;
            }
            within(IDLE_PERIOD_MS, changed).await;
            continue;
        }
        holder.observe_once().await;
        sleep(wait_ms).await;
        if !holder.renew_or_acquire().await {
            decision_loop.deciders.clear();
            sleep(PERIOD_MS).await;
            continue;
        }
        decision_loop.decide_all(&holder).await;
        sleep(PERIOD_MS).await;
    }
}

/// State of the decider on this node.
struct DecisionLoop {
    gateway: Arc<Gateway>,
    client: StoreClient,
    deciders: BTreeMap<ServiceName, Decider>,
    /// Last logged reason of each service.
    reasons: BTreeMap<ServiceName, String>,
    /// Services whose order must be read again before the next decision.
    unread_orders: Vec<ServiceName>,
}

/// A decision with the order that it is based on.
struct PendingDecision {
    order: RolloutOrder,
    decision: Decision,
}

impl DecisionLoop {
    fn new(gateway: &Arc<Gateway>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            client: StoreClient::with_timeout(gateway, WRITE_TIMEOUT_MS),
            deciders: BTreeMap::new(),
            reasons: BTreeMap::new(),
            unread_orders: Vec::new(),
        }
    }

    async fn decide_all(&mut self, holder: &LeaseHolder) {
        for service in std::mem::take(&mut self.unread_orders) {
            self.read_again(service).await;
        }
        let services: Vec<ServiceName> = {
            let beliefs = self.gateway.beliefs();
            let open = beliefs.rollouts.services();
            let open = open.filter(|rollout| rollout.is_open());
            open.map(|rollout| rollout.order().service.clone())
                .collect()
        };
        for service in services {
            if self.unread_orders.contains(&service) {
                continue;
            }
            let Some(pending) = self.make_decision(&service) else {
                continue;
            };
            self.log_reason(&service, &pending.decision);
            // The lease may have expired while the status of another service was written.
            if let (Some(next), true) = (&pending.decision.next, holder.token().is_some()) {
                log_decision(
                    &self.gateway,
                    &pending.order,
                    next,
                    &pending.decision.reason,
                );
                let status = next.status(&pending.order);
                let content = self.gateway.site.rollout_status_content(&status);
                self.store(&pending.order, content).await;
            }
        }
    }

    fn make_decision(&mut self, service: &ServiceName) -> Option<PendingDecision> {
        let gateway = Arc::clone(&self.gateway);
        let own = gateway.own_seat();
        let listed: Vec<PeerId> = {
            let book = gateway.address_book();
            book.listed().map(|node| node.id).collect()
        };
        let now = gateway.clock.now();
        let settings = rollout_settings(&gateway.settings());
        let mut beliefs = gateway.beliefs();
        let beliefs = &mut *beliefs;
        let reporter = Reporter {
            node: own.node,
            life: own.life,
        };
        beliefs.rollouts.merge_own_counts(reporter);
        let own_stage_confirmation = beliefs.rollouts.own_stage_confirmation(service, reporter);
        let rollout = beliefs.rollouts.of_service(service)?;
        let mut members = members_of(rollout, &listed, own.node);
        members.push(Member {
            node: own.node,
            last_heard_at: Some(now),
            confirmation: own_stage_confirmation,
        });
        let engines = supply(&beliefs.engines, service);
        let order = rollout.order().clone();
        let decider = self.deciders.entry(service.clone());
        let decider = decider.or_insert_with(|| Decider::new(settings));
        let decided = decider.decide(&DeciderInput {
            now,
            order: &order,
            order_seen_at: rollout.order_seen_at(),
            status_seen_at: rollout.status_seen_at(),
            counts: rollout.fleet(),
            members: &members,
            engines: &engines,
            barrier_ms: CONFIRMATION_DELAY_MS + rollout.longest_request_ms(),
        });
        match decided {
            Ok(decision) => Some(PendingDecision { order, decision }),
            Err(error) => {
                let text = error.to_string();
                if self.reasons.get(service) != Some(&text) {
                    slog::error!(gateway.log, "no decision on rollout, its status can't be read";
                        "service" => &service.0, "error" => &text);
                    self.reasons.insert(service.clone(), text);
                }
                None
            }
        }
    }

    /// Logs the reason of a decision when it differs from the last logged one.
    fn log_reason(&mut self, service: &ServiceName, decision: &Decision) {
        let name = reason_name(&decision.reason);
        let kind = name.split([' ', '{', '(']).next().unwrap_or_default();
        if self.reasons.get(service).map(String::as_str) != Some(kind) {
            slog::info!(self.gateway.log, "rollout waits";
                "service" => &service.0, "reason" => &name);
            self.reasons.insert(service.clone(), kind.to_owned());
        }
    }

    async fn store(&mut self, order: &RolloutOrder, content: serde_json::Value) {
        let name = order.service.0.as_str();
        let written = self
            .client
            .replace_status(StoreKind::Rollouts, name, order.revision, content)
            .await;
        match written {
            Ok(object) => self.apply_object(&object),
            Err(error) => {
                slog::warn!(self.gateway.log, "rollout status not written";
                    "service" => name, "revision" => order.revision,
                    "error" => error.to_string());
                self.client.reset();
                match error {
                    StoreError::Conflict {
                        current: Some(current),
                    } => self.apply_object(&current),
                    _ => self.read_again(order.service.clone()).await,
                }
            }
        }
    }

    fn apply_object(&self, object: &StoreObject) {
        if let Some(order) = read_order(&self.gateway, object) {
            update_known_order(&self.gateway, order);
        }
    }

    /// Reads an order after a failed write or one with an unknown outcome. Until that
    /// succeeds, no decision is made on its rollout.
    async fn read_again(&mut self, service: ServiceName) {
        match self.client.get(StoreKind::Rollouts, &service.0).await {
            Ok(Some(object)) => self.apply_object(&object),
            Ok(None) => {}
            Err(error) => {
                slog::warn!(self.gateway.log, "rollout order not read";
                    "service" => &service.0, "error" => error.to_string());
                self.client.reset();
                self.unread_orders.push(service);
            }
        }
    }
}

/// All other nodes that are listed in the store or have reported.
fn members_of(rollout: &ServiceRollout, listed: &[PeerId], own: PeerId) -> Vec<Member> {
    let silent = listed.iter().filter(|id| !rollout.members.contains_key(id));
    let silent = silent.map(|id| Member {
        node: *id,
        last_heard_at: None,
        confirmation: None,
    });
    let reported = rollout.members.iter().map(|(id, member)| Member {
        node: *id,
        last_heard_at: Some(member.last_report_at).filter(|at| *at > Millis(0)),
        confirmation: member.confirmation,
    });
    silent
        .chain(reported)
        .filter(|member| member.node != own)
        .collect()
}

/// Number of engines of a service that are not leaving, by version.
fn supply(engines: &EngineCatalogue, service: &ServiceName) -> Vec<VersionSupply> {
    let mut by_version = BTreeMap::new();
    for engine in engines.of_service(service) {
        let count: &mut u32 = by_version.entry(&engine.record.software).or_default();
        *count += u32::from(!engines.is_leaving(engine));
    }
    let supply = by_version.into_iter();
    supply
        .map(|(version, engines)| VersionSupply {
            version: version.clone(),
            engines,
        })
        .collect()
}
