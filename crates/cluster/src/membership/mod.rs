//! Cluster membership: probes with suspicion and refutation, disseminated by
//! gossip on the probes themselves, after SWIM (Das, Gupta, Motivala 2002).
//!
//! One member is probed in each period. Without an answer, other members probe
//! it too; if that fails as well it is suspected, and it is declared dead when
//! it does not refute in time. The cost for a node does not depend on the
//! number of members. Dead members are probed occasionally, so that the end of
//! a network partition is detected from either side.
//!
//! Gossip alone is not enough: nodes that start at the same moment can each
//! learn of only one other, after which no node has updates to send. Therefore
//! probes carry a digest of the live members, and a lasting difference is
//! resolved by requesting the complete list.

mod probing;
mod updates;

use crate::node_key::NodeKey;
use crate::output::Outbox;
use ploverlift_policy::ids::{Millis, NodeName, ZoneName};
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{
    IndirectProbe, Join, JoinAnswer, MemberStatus, MemberUpdate, Probe, ProbeAnswer,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Interval between probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Time without an answer after which a probe is repeated through other
/// members, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 300;
/// Number of members through which a probe is repeated.
pub const INDIRECT_PROBES: usize = 3;
/// Time within which a suspected member must refute the suspicion, in
/// milliseconds.
pub const SUSPICION_MS: u64 = 3_000;
/// Minimum interval between attempts to join through seeds, in milliseconds.
pub const JOIN_PERIOD_MS: u64 = 500;
/// Interval between probes of a dead member, in milliseconds.
pub const RECONNECT_PERIOD_MS: u64 = 2_000;
/// Time after which a dead member is removed, in milliseconds.
pub const DEAD_RETENTION_MS: u64 = 3_600_000;
/// Member lists are compared only when they have not changed for this time, in
/// milliseconds.
const MEMBERS_QUIET_MS: u64 = 1_000;
/// Minimum interval between comparisons of member lists, in milliseconds.
const COMPARE_MEMBERS_PERIOD_MS: u64 = 5_000;
/// Interval between comparisons while member lists keep changing, in
/// milliseconds.
const BUSY_COMPARE_MEMBERS_PERIOD_MS: u64 = 8_000;
/// Maximum number of updates in one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// An update is sent this many times the binary logarithm of the number of
/// members.
const GOSSIP_FACTOR: u32 = 3;
/// Every probe with a number divisible by this goes to another zone.
const OTHER_ZONE_EVERY: u64 = 4;

/// Digests of a node's state, sent with every probe so that lasting differences
/// are found and resolved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Over the configuration.
    pub config: u64,
    /// Over the engines that are known to leave.
    pub leaving: u64,
}

/// Identity of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub name: NodeName,
    /// Failure domain.
    pub zone: ZoneName,
    /// Group of zones; readers of the object API are selected in each region.
    pub region: String,
    /// Cluster listener.
    pub address: SocketAddr,
    /// Unix time of the node's start in milliseconds; identifies the
    /// incarnation.
    pub life: u64,
}

/// The known state of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub identity: Identity,
    /// Incremented when the node refutes a suspicion.
    pub refutation: u32,
    /// Present status.
    pub status: MemberStatus,
    /// Time of the last change of status.
    pub since: Millis,
}

impl Member {
    /// Whether duties may be assigned to the member. Suspected members keep
    /// theirs.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    target: NodeKey,
    sequence: u32,
    sent_at: Millis,
    indirect: bool,
}

/// A probe made on behalf of another node, to which its answer is relayed.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    to: SocketAddr,
    sequence: u32,
    at: Millis,
}

/// A change of membership that other components act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A node joined, was reachable again or restarted.
    Joined(NodeKey),
    /// A node died or left.
    Gone(NodeKey),
}

/// One node's view of the members.
#[derive(Debug)]
pub struct Membership {
    own: Identity,
    own_key: NodeKey,
    own_refutation: u32,
    leaving: bool,
    members: BTreeMap<NodeKey, Member>,
    live: usize,
    gossip: VecDeque<(NodeKey, u32)>,
    seeds: Vec<SocketAddr>,
    probe_order: Vec<NodeKey>,
    pending: Option<PendingProbe>,
    relayed: HashMap<u32, RelayedProbe>,
    next_sequence: u32,
    next_probe: Millis,
    next_join: Millis,
    next_reconnect: Millis,
    joined: bool,
    changed_at: Millis,
    compared_at: Option<Millis>,
    probes_made: u64,
    changes: Vec<MemberChange>,
    suspicions: u64,
}

impl Membership {
    /// A node that knows only itself and its seeds.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>, random: &mut fastrand::Rng) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address);
        Self {
            own_key: NodeKey::of(&own.name),
            seeds: seeds.collect(),
            own,
            own_refutation: 0,
            leaving: false,
            members: BTreeMap::new(),
            live: 0,
            gossip: VecDeque::new(),
            probe_order: Vec::new(),
            pending: None,
            relayed: HashMap::new(),
            next_sequence: 0,
            next_probe: Millis(random.u64(..PROBE_PERIOD_MS)),
            next_join: Millis(0),
            next_reconnect: Millis(RECONNECT_PERIOD_MS),
            joined: false,
            changed_at: Millis(0),
            compared_at: None,
            probes_made: 0,
            changes: Vec::new(),
            suspicions: 0,
        }
    }

    /// This node.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// The key of this node.
    pub fn own_key(&self) -> NodeKey {
        self.own_key
    }

    /// Whether seeds other than this node are configured.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// All other known nodes, including dead ones that are not yet removed.
    pub fn members(&self) -> impl Iterator<Item = (NodeKey, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// One other node.
    pub fn member(&self, key: NodeKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Other nodes that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = (NodeKey, &Member)> {
        self.members().filter(|(_, member)| member.is_live())
    }

    /// Number of other live nodes.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// The address of a live member.
    pub fn address(&self, key: NodeKey) -> Option<SocketAddr> {
        let member = self.members.get(&key)?;
        member.is_live().then_some(member.identity.address)
    }

    /// Number of suspicions that this node raised itself.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Digest over the live members and this node.
    pub fn root(&self) -> u64 {
        let live = self.live().map(|(key, member)| (key, member.identity.life));
        live.chain([(self.own_key, self.own.life)])
            .fold(0, |root, (key, life)| root ^ key.digest(life))
    }

    /// Requests the complete member list from a node whose digest of the live
    /// members differs.
    fn compare_root(&mut self, from: SocketAddr, root: u64, now: Millis, outbox: &mut Outbox) {
        let since = self.compared_at.map_or(now.0, |at| now.since(at));
        // While many nodes start, the list changes all the time; then it is
        // compared less often.
        let quiet = now.since(self.changed_at) >= MEMBERS_QUIET_MS;
        let due =
            since >= COMPARE_MEMBERS_PERIOD_MS && quiet || since >= BUSY_COMPARE_MEMBERS_PERIOD_MS;
        if !due || root == self.root() {
            return;
        }
        self.compared_at = Some(now);
        let join = Join {
            this: Some(self.own_update()),
        };
        outbox.send(from, Body::Join(join));
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// The update by which this node announces itself.
    pub fn own_update(&self) -> MemberUpdate {
        let status = if self.leaving {
            MemberStatus::Left
        } else {
            MemberStatus::Alive
        };
        update_of(&self.own, self.own_refutation, status)
    }

    /// Announces to some members that this node leaves; the others learn it by
    /// gossip.
    pub fn leave(&mut self, outbox: &mut Outbox, digests: Digests) {
        self.leaving = true;
        let targets: Vec<SocketAddr> = self
            .live()
            .take(LEAVE_MESSAGES)
            .map(|(_, member)| member.identity.address)
            .collect();
        for target in targets {
            let probe = self.probe_message(0, String::new(), digests);
            outbox.send(target, Body::Probe(probe));
        }
    }
}

/// Maximum number of members that are notified directly when a node leaves.
const LEAVE_MESSAGES: usize = 16;
/// Tolerance for ticks that come early or late: an unanswered probe is
/// evaluated this much before the end of its period, in milliseconds.
const TICK_SLACK_MS: u64 = 100;

fn update_of(identity: &Identity, refutation: u32, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        name: identity.name.0.clone(),
        zone: identity.zone.0.clone(),
        region: identity.region.clone(),
        address: identity.address.to_string(),
        life: identity.life,
        refutation,
        status: status.into(),
    }
}

fn severity(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Suspect => 1,
        MemberStatus::Dead => 2,
        MemberStatus::Left => 3,
    }
}

/// Whether an update is newer than the known state, or reports a worse status
/// at the same age.
fn supersedes(update: &MemberUpdate, known: &Member) -> bool {
    let reported = (update.life, update.refutation);
    let present = (known.identity.life, known.refutation);
    let worse = severity(update.status()) > severity(known.status);
    reported > present || (reported == present && worse)
}
