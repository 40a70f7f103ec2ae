//! Rollout data that nodes exchange, as messages.

use super::message_fields::{read_revision, revision_fields, revision_in_era};
use crate::leases::LeaseRenewal;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::StoreEra;
use ploverlift_rollout::counts::{
    Counts, EngineSlotCounts, RouteCounts, RouteTag, SideCounts, ENGINE_SLOTS,
};
use ploverlift_rollout::first_byte::FirstByteHistogram;
use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, RolloutNumber};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::peers;
use xxhash_rust::xxh3::xxh3_64;

/// A hash of the name of a service, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// The hash of the name of a service.
    pub fn of(service: &ServiceName) -> Self {
        Self(xxh3_64(service.0.as_bytes()) as u32)
    }
}

/// Counts of one rollout on a node, in a zone or in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCounts {
    /// The service.
    pub service: ServiceTag,
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The counts.
    pub counts: Counts,
}

/// Confirmation of a stage by a node, for the decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeConfirmation {
    /// The node.
    pub node: PeerId,
    /// The service.
    pub service: ServiceTag,
    /// Its confirmation; of rollout 0 when a report of the node was received that confirms
    /// no stage.
    pub confirmation: Confirmation,
    /// Time since its report was received, in milliseconds.
    pub age_ms: u64,
}

/// Rollout data in a report of a node or of a relay of another zone; empty while no rollout
/// is open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutReport {
    /// Counts of the sender, or of its zone.
    pub counts: Vec<ServiceCounts>,
    /// Confirmations of stages by the sender, or by the nodes of its zone.
    pub confirmations: Vec<NodeConfirmation>,
    /// A renewal of the lease on rollouts.
    pub lease: Option<LeaseRenewal>,
}

/// Rollout data in a report of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutNews {
    /// Revision of the store up to which all orders are known.
    pub known_through: u64,
    /// Age of the proof that the orders are current, in milliseconds.
    pub age_ms: u64,
    /// All orders.
    pub orders: Vec<RolloutOrder>,
    /// Counts of the fleet for the open rollouts.
    pub sums: Vec<ServiceCounts>,
}

/// The message for counts.
pub fn counts_message(counted: &ServiceCounts) -> peers::RolloutCounts {
    let routes = counted.counts.routes.iter();
    let slots = counted.counts.target_engines.iter();
    peers::RolloutCounts {
        service: counted.service.0,
        rollout: counted.rollout.0,
        routes: routes.map(route_message).collect(),
        engine_answers: slots.clone().map(|slot| slot.answers).collect(),
        engine_failures: slots.map(|slot| slot.failures).collect(),
    }
}

fn route_message((route, counts): (&RouteTag, &RouteCounts)) -> peers::RolloutRouteCounts {
    peers::RolloutRouteCounts {
        route: route.0,
        is_repeatable: counts.is_repeatable,
        requests: counts.requests,
        target_arrivals: counts.target_arrivals,
        target: Some(side_message(&counts.target)),
        established: Some(side_message(&counts.established)),
    }
}

fn side_message(counts: &SideCounts) -> peers::RolloutSideCounts {
    let buckets = &counts.first_byte.buckets;
    let used = buckets.iter().rposition(|count| *count > 0);
    peers::RolloutSideCounts {
        answers: counts.answers,
        failures: counts.failures,
        first_byte: buckets[..used.map_or(0, |last| last + 1)].to_vec(),
    }
}

/// Reads counts.
pub fn read_counts(message: &peers::RolloutCounts) -> ServiceCounts {
    let routes = message.routes.iter().map(|route| {
        let counts = RouteCounts {
            is_repeatable: route.is_repeatable,
            requests: route.requests,
            target_arrivals: route.target_arrivals,
            target: read_side(route.target.as_ref()),
            established: read_side(route.established.as_ref()),
        };
        (RouteTag(route.route), counts)
    });
    let mut target_engines = [EngineSlotCounts::default(); ENGINE_SLOTS];
    let slot_counts = message.engine_answers.iter().zip(&message.engine_failures);
    for (slot, (answers, failures)) in target_engines.iter_mut().zip(slot_counts) {
        slot.answers = *answers;
        slot.failures = *failures;
    }
    ServiceCounts {
        service: ServiceTag(message.service),
        rollout: RolloutNumber(message.rollout),
        counts: Counts {
            routes: routes.collect(),
            target_engines,
        },
    }
}

fn read_side(message: Option<&peers::RolloutSideCounts>) -> SideCounts {
    let Some(message) = message else {
        return SideCounts::default();
    };
    let mut first_byte = FirstByteHistogram::default();
    for (bucket, count) in first_byte.buckets.iter_mut().zip(&message.first_byte) {
        *bucket = *count;
    }
    SideCounts {
        answers: message.answers,
        failures: message.failures,
        first_byte,
    }
}

/// The message for a confirmation.
pub fn confirmation_message(reported: &NodeConfirmation) -> peers::RolloutConfirmation {
    let confirmation = &reported.confirmation;
    peers::RolloutConfirmation {
        node: reported.node.0,
        service: reported.service.0,
        rollout: confirmation.rollout.0,
        epoch: confirmation.epoch.0,
        has_left_established: confirmation.has_left_established,
        running_on_established: confirmation.running_on_established,
        has_stopped: confirmation.has_stopped,
        age_ms: reported.age_ms,
    }
}

/// Reads a confirmation.
pub fn read_confirmation(message: &peers::RolloutConfirmation) -> NodeConfirmation {
    NodeConfirmation {
        node: PeerId(message.node),
        service: ServiceTag(message.service),
        confirmation: Confirmation {
            rollout: RolloutNumber(message.rollout),
            epoch: Epoch(message.epoch),
            has_left_established: message.has_left_established,
            running_on_established: message.running_on_established,
            has_stopped: message.has_stopped,
        },
        age_ms: message.age_ms,
    }
}

/// The message for the rollout data of a relay.
pub fn news_message(broadcast: &RolloutNews) -> peers::RolloutNews {
    let (known_through, known_through_era) = revision_fields(broadcast.known_through);
    peers::RolloutNews {
        known_through,
        known_through_era,
        age_ms: broadcast.age_ms,
        orders: broadcast.orders.iter().map(order_message).collect(),
        sums: broadcast.sums.iter().map(counts_message).collect(),
    }
}

/// Reads the rollout data of a relay.
pub fn read_news(message: &peers::RolloutNews) -> RolloutNews {
    RolloutNews {
        known_through: read_revision(message.known_through, message.known_through_era),
        age_ms: message.age_ms,
        orders: message.orders.iter().map(read_order).collect(),
        sums: message.sums.iter().map(read_counts).collect(),
    }
}

impl RolloutNews {
    /// The same data with all its revisions in an era of the store.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.known_through = revision_in_era(self.known_through, era);
        for order in &mut self.orders {
            order.revision = revision_in_era(order.revision, era);
        }
        self
    }
}

fn order_message(order: &RolloutOrder) -> peers::RolloutOrder {
    let status = order.status.as_ref().map(|status| peers::RolloutStatus {
        state: match status.state {
            RolloutState::Running => peers::RolloutState::Running,
            RolloutState::Completed => peers::RolloutState::Completed,
            RolloutState::RolledBack => peers::RolloutState::RolledBack,
        } as i32,
        target: status.target.0.clone(),
        progress: status.progress.clone(),
    });
    let (revision, revision_era) = revision_fields(order.revision);
    peers::RolloutOrder {
        service: order.service.0.clone(),
        target: order.target.0.clone(),
        duration_ms: order.duration_ms,
        revision,
        revision_era,
        status,
    }
}

fn read_order(message: &peers::RolloutOrder) -> RolloutOrder {
    let status = message.status.as_ref().map(|status| RolloutStatus {
        state: match status.state() {
            peers::RolloutState::Running => RolloutState::Running,
            peers::RolloutState::Completed => RolloutState::Completed,
            peers::RolloutState::RolledBack => RolloutState::RolledBack,
        },
        target: SoftwareVersion(status.target.clone()),
        progress: status.progress.clone(),
    });
    RolloutOrder {
        service: ServiceName(message.service.clone()),
        target: SoftwareVersion(message.target.clone()),
        duration_ms: message.duration_ms,
        revision: read_revision(message.revision, message.revision_era),
        status,
    }
}
