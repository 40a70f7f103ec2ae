//! Who is a member: probes with suspicion and refutation, spread by gossip on
//! the probes themselves, after SWIM (Das, Gupta, Motivala 2002).
//!
//! One member is probed in each period; without an answer others probe it too;
//! without an answer still it is suspected, and dead when it does not refute in
//! time. The cost of a node does not depend on the number of members. Dead
//! members are probed now and then, so that a healed cut is found from either
//! side.
//!
//! Gossip alone is not enough: nodes that start at the same moment can each
//! learn of one other only, and then nobody has news to tell. So probes carry a
//! digest of the live members, and a lasting difference is mended by asking for
//! the whole list.

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

/// Time between two probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Time until a probe without an answer is made through others, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 300;
/// Members through which a probe is repeated.
pub const INDIRECT_PROBES: usize = 3;
/// Time a suspected member has to refute, in milliseconds.
pub const SUSPICION_MS: u64 = 3_000;
/// Time between two tries to join through seeds, in milliseconds.
pub const JOIN_PERIOD_MS: u64 = 500;
/// Time between two probes of a dead member, in milliseconds.
pub const RECONNECT_PERIOD_MS: u64 = 2_000;
/// Time after which a dead member is forgotten, in milliseconds.
pub const DEAD_RETENTION_MS: u64 = 3_600_000;
/// Members are compared only when they did not change for so long, in milliseconds.
const MEMBERS_QUIET_MS: u64 = 1_000;
/// Shortest time between two comparisons of members, in milliseconds.
const COMPARE_MEMBERS_PERIOD_MS: u64 = 5_000;
/// The same while members change all the time, in milliseconds.
const BUSY_COMPARE_MEMBERS_PERIOD_MS: u64 = 8_000;
/// Updates on one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// An update is sent this many times the logarithm of the number of members.
const GOSSIP_FACTOR: u32 = 3;
/// One probe in this many goes to another zone.
const OTHER_ZONE_EVERY: u64 = 4;

/// Digests of what a node knows, sent with every probe: a difference that
/// lasts is mended by whom it concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Over the configuration.
    pub config: u64,
    /// Over the engines that are known to leave.
    pub leaving: u64,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub name: NodeName,
    /// Failure domain.
    pub zone: ZoneName,
    /// Group of zones; readers of the object API are chosen in each region.
    pub region: String,
    /// Cluster listener.
    pub address: SocketAddr,
    /// Milliseconds of Unix time at the node's start.
    pub life: u64,
}

/// What is known of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Rises when the node refutes a suspicion.
    pub refutation: u32,
    /// Present status.
    pub status: MemberStatus,
    /// When the status was taken.
    pub since: Millis,
}

impl Member {
    /// Whether duties may be given to the member. Suspected ones keep theirs.
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

/// A probe that was made for another node and whose answer goes back to it.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    to: SocketAddr,
    sequence: u32,
    at: Millis,
}

/// A change of membership that other parts act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A node joined, came back or restarted.
    Joined(NodeKey),
    /// A node died or left.
    Gone(NodeKey),
}

/// The members that one node knows.
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

    /// Whether seeds are configured that could know other members.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Every other node that was ever heard of and not forgotten.
    pub fn members(&self) -> impl Iterator<Item = (NodeKey, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// One other node.
    pub fn member(&self, key: NodeKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Other nodes that are alive or only suspected.
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

    /// Suspicions this node raised itself.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Digest over the live members and this node.
    pub fn root(&self) -> u64 {
        let live = self.live().map(|(key, member)| (key, member.identity.life));
        live.chain([(self.own_key, self.own.life)])
            .fold(0, |root, (key, life)| root ^ key.digest(life))
    }

    /// Asks for all members of a node that has lasting other ones.
    fn compare_root(&mut self, from: SocketAddr, root: u64, now: Millis, outbox: &mut Outbox) {
        let since = self.compared_at.map_or(now.0, |at| now.since(at));
        // While many nodes start there is never quiet; then compare more rarely.
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

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// What this node says of itself.
    pub fn own_update(&self) -> MemberUpdate {
        let status = if self.leaving {
            MemberStatus::Left
        } else {
            MemberStatus::Alive
        };
        update_of(&self.own, self.own_refutation, status)
    }

    /// Says good-bye to some members; the rest learn it by gossip.
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

/// Members that are told directly when a node leaves.
const LEAVE_MESSAGES: usize = 16;
/// Ticks come a little early or late; a probe is judged this much early, in milliseconds.
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

/// Whether an update tells more than what is known.
fn supersedes(update: &MemberUpdate, known: &Member) -> bool {
    let reported = (update.life, update.refutation);
    let present = (known.identity.life, known.refutation);
    let worse = severity(update.status()) > severity(known.status);
    reported > present || (reported == present && worse)
}
