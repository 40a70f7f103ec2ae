//! Addresses of the other nodes, to which reports are sent: nodes in the list from the
//! object store, and nodes from which messages were received. The list also determines
//! which nodes of a zone relay for the others.

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_balancing::tunnel_peers::TunnelPeer;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::credits::Seat;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Maximum number of receivers of one report.
const MAX_RECEIVERS: usize = 64;
/// Maximum number of known nodes.
const MAX_KNOWN: usize = 4_096;
/// Time after which a silent node gets reports only every [`SILENT_PERIOD_MS`], in
/// milliseconds.
const SILENT_AFTER_MS: u64 = 5_000;
/// Interval between two reports to a silent node, in milliseconds.
const SILENT_PERIOD_MS: u64 = 1_000;
/// Maximum size of a fleet in which each node reports to each other one. Up to this size
/// such reports cost less than relays would; every known deployment has either at most 8
/// nodes or at least 59.
pub const MESH_NODES: usize = 20;
/// Number of nodes of a zone that relay for the others: one may fail without effect.
pub const RELAYS_PER_ZONE: usize = 2;
/// Time without an answer after which a relay is suspected and the next node relays in its
/// place, in milliseconds: a relay reports every 100 ms, and some reports are lost.
const SUSPECTED_AFTER_MS: u64 = 700;

/// The nodes that a stream of reports goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Nodes of the own zone.
    OwnZone,
    /// Nodes of other zones, and nodes that are known only from a message.
    OtherZones,
}

/// Capacity of a node for relaying; the nodes with the largest capacity relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Capacity {
    /// Its share of a core, in thousandths.
    pub cpu_thousandths: u32,
    /// The bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}

/// A node's record in the object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// The node.
    pub id: PeerId,
    /// Where it receives reports.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneTag,
    /// Where it is asked for tunnels to engines; `None` if it opens none.
    pub tunnels: Option<SocketAddr>,
    /// Its capacity for relaying.
    pub capacity: Capacity,
}

/// A node and where it receives reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The node.
    pub id: PeerId,
    /// Where it receives reports.
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    id: Option<PeerId>,
    listed: Option<ListedNode>,
    heard_at: Option<Millis>,
    tried_at: Option<Millis>,
    /// Since when this node waits for an answer from the contact.
    unanswered_since: Option<Millis>,
}

/// Addresses of the other nodes.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    own: Option<ListedNode>,
    contacts: BTreeMap<SocketAddr, Contact>,
    /// Listed nodes of each zone, including this one, in the order in which they are chosen
    /// as relays.
    by_zone: BTreeMap<u32, Vec<ListedNode>>,
    lists: u32,
}

impl AddressBook {
    /// Sets the record of this node, to which nothing is sent.
    pub fn set_own(&mut self, own: ListedNode) {
        self.own = Some(own);
    }

    /// Applies a list of nodes from the store. Removes nodes that are neither listed nor
    /// live.
    pub fn apply_list(&mut self, nodes: &[ListedNode], now: Millis) {
        for contact in self.contacts.values_mut() {
            contact.listed = None;
        }
        self.by_zone.clear();
        let own = self.own;
        for node in nodes {
            let is_own = own.is_some_and(|own| own.address == node.address);
            if !is_own {
                self.contact(node.address).listed = Some(*node);
            }
        }
        let others = self.contacts.values().filter_map(|contact| contact.listed);
        for node in others.chain(own) {
            self.by_zone.entry(node.zone.0).or_default().push(node);
        }
        for nodes in self.by_zone.values_mut() {
            nodes.sort_by_key(|node| (std::cmp::Reverse(node.capacity), node.id));
        }
        self.contacts
            .retain(|_, contact| contact.listed.is_some() || contact.is_live(now));
        self.lists += 1;
    }

    /// Number of lists that were applied.
    pub fn list_count(&self) -> u32 {
        self.lists
    }

    /// Whether the fleet is large enough for its nodes to report to relays.
    pub fn has_relays(&self) -> bool {
        self.listed_nodes() > MESH_NODES
    }

    /// Number of listed nodes, including this one.
    pub fn listed_nodes(&self) -> usize {
        let listed: usize = self.by_zone.values().map(Vec::len).sum();
        listed.max(1)
    }

    /// A node's seat among all listed nodes, including silent ones.
    pub fn seat(&self, node: PeerId) -> Seat {
        let listed = self.by_zone.values().flatten();
        let before = listed.filter(|known| known.id < node).count();
        Seat {
            rank: before as u32,
            nodes: self.listed_nodes() as u32,
        }
    }

    /// All listed nodes, including this one.
    pub fn listed(&self) -> impl Iterator<Item = &ListedNode> {
        self.by_zone.values().flatten()
    }

    /// Records that a message of a node was received.
    pub fn note_contact(&mut self, address: SocketAddr, id: PeerId, now: Millis) {
        if self.contacts.contains_key(&address) || self.contacts.len() < MAX_KNOWN {
            let contact = self.contact(address);
            contact.id = Some(id);
            contact.heard_at = Some(now);
            contact.unanswered_since = None;
        }
    }

    /// Records that a message was sent that the node is expected to answer.
    pub fn note_awaiting_reply(&mut self, address: SocketAddr, now: Millis) {
        let contact = self.contact(address);
        contact.tried_at = Some(now);
        contact.unanswered_since.get_or_insert(now);
    }

    /// The nodes that relay for a zone, as far as this node knows: the first listed ones
    /// that are not suspected. This node may be one of them.
    pub fn relays_of(&self, zone: ZoneTag, now: Millis) -> Vec<PeerAddress> {
        let listed = self.by_zone.get(&zone.0).into_iter().flatten();
        let fit = listed.filter(|node| !self.is_suspected(node.address, now));
        let relays = fit.take(RELAYS_PER_ZONE).map(|node| PeerAddress {
            id: node.id,
            address: node.address,
        });
        relays.collect()
    }

    /// Suspected nodes that would relay for a zone if they answered, and that are due for
    /// another report.
    pub fn relays_to_probe(&self, zone: ZoneTag, now: Millis) -> Vec<SocketAddr> {
        let listed = self.by_zone.get(&zone.0).into_iter().flatten();
        let before_last_relay = match self.relays_of(zone, now).last() {
            None => listed.collect::<Vec<_>>(),
            Some(last) => listed.take_while(|node| node.id != last.id).collect(),
        };
        let suspected = before_last_relay.into_iter().map(|node| node.address);
        let suspected = suspected.filter(|address| self.is_suspected(*address, now));
        let due = suspected.filter(|address| {
            let tried_at = self.contacts.get(address).and_then(|known| known.tried_at);
            tried_at.is_none_or(|at| now.since(at) >= SILENT_PERIOD_MS)
        });
        due.take(RELAYS_PER_ZONE).collect()
    }

    /// Zones that have a listed node.
    pub fn zones(&self) -> Vec<ZoneTag> {
        self.by_zone.keys().copied().map(ZoneTag).collect()
    }

    /// Number of listed nodes of each zone.
    pub fn nodes_by_zone(&self) -> impl Iterator<Item = (ZoneTag, usize)> + '_ {
        let zones = self.by_zone.iter();
        zones.map(|(zone, nodes)| (ZoneTag(*zone), nodes.len()))
    }

    /// Rank of a node among the relays of all zones; `None` when it is not a relay.
    pub fn relay_rank(&self, own: PeerId, now: Millis) -> Option<usize> {
        let zones = self.by_zone.keys().copied().map(ZoneTag);
        let mut relays: Vec<PeerId> = zones
            .flat_map(|zone| self.relays_of(zone, now))
            .map(|relay| relay.id)
            .collect();
        relays.sort();
        relays.iter().position(|relay| *relay == own)
    }

    fn is_suspected(&self, address: SocketAddr, now: Millis) -> bool {
        let contact = self.contacts.get(&address);
        let since = contact.and_then(|contact| contact.unanswered_since);
        since.is_some_and(|since| now.since(since) >= SUSPECTED_AFTER_MS)
    }

    /// Receivers of the next report where nodes report to each other.
    pub fn receivers(&mut self, reach: Reach, now: Millis) -> Vec<SocketAddr> {
        let is_own_zone = reach == Reach::OwnZone;
        let own_zone = self.own.map(|own| own.zone);
        let mut due: Vec<(bool, Option<Millis>, SocketAddr)> = self
            .contacts
            .iter()
            .filter(|(_, contact)| contact.is_in(own_zone) == is_own_zone && contact.is_due(now))
            .map(|(address, contact)| (!contact.is_live(now), contact.tried_at, *address))
            .collect();
        // With too many nodes they take turns: the one that has waited longest comes first.
        due.sort();
        due.truncate(MAX_RECEIVERS);
        for (_, _, address) in &due {
            self.contact(*address).tried_at = Some(now);
        }
        due.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Nodes from which messages were received recently.
    pub fn live(&self, now: Millis) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter();
        let live = contacts.filter(|(_, contact)| contact.is_live(now));
        live.map(|(address, _)| *address)
            .take(MAX_RECEIVERS)
            .collect()
    }

    /// The relays of all zones except this node.
    pub fn other_relays(&self, own: PeerId, now: Millis) -> Vec<SocketAddr> {
        let zones = self.by_zone.keys().copied().map(ZoneTag);
        let relays = zones.flat_map(|zone| self.relays_of(zone, now));
        let others = relays.filter(|relay| relay.id != own);
        others.map(|relay| relay.address).collect()
    }

    /// Listed nodes that open tunnels to engines and are not suspected.
    pub fn tunnel_peers(&self, now: Millis) -> impl Iterator<Item = TunnelPeer> + '_ {
        let contacts = self.contacts.iter();
        contacts.filter_map(move |(address, contact)| {
            let listed = contact.listed?;
            let tunnels = listed.tunnels?;
            (!self.is_suspected(*address, now)).then_some(TunnelPeer {
                id: listed.id,
                address: tunnels,
                zone: listed.zone,
            })
        })
    }

    /// Whether a listed node of this node's zone has this address.
    pub fn lists_in_own_zone(&self, address: SocketAddr) -> bool {
        let own_zone = self.own.map(|own| own.zone);
        let contact = self.contacts.get(&address);
        own_zone.is_some() && contact.is_some_and(|contact| contact.is_in(own_zone))
    }

    /// Whether a listed node runs on this host.
    pub fn lists_host(&self, host: IpAddr) -> bool {
        let mut listed = self.contacts.values().filter_map(|contact| contact.listed);
        listed.any(|node| node.address.ip() == host)
    }

    /// Number of known nodes.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.contacts.is_empty()
    }

    fn contact(&mut self, address: SocketAddr) -> &mut Contact {
        self.contacts.entry(address).or_insert(Contact {
            id: None,
            listed: None,
            heard_at: None,
            tried_at: None,
            unanswered_since: None,
        })
    }
}

impl Contact {
    fn is_in(&self, zone: Option<ZoneTag>) -> bool {
        self.listed.is_some_and(|listed| Some(listed.zone) == zone)
    }

    fn is_live(&self, now: Millis) -> bool {
        let heard_at = self.heard_at;
        heard_at.is_some_and(|heard_at| now.since(heard_at) < SILENT_AFTER_MS)
    }

    fn is_due(&self, now: Millis) -> bool {
        let is_retry_due = |tried_at| now.since(tried_at) >= SILENT_PERIOD_MS;
        self.is_live(now) || self.tried_at.is_none_or(is_retry_due)
    }
}
