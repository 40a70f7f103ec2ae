//! Whom reports are sent to: nodes that the object store names, and nodes that
//! were heard of.

use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Nodes that one report is sent to, at most.
const MAX_RECEIVERS: usize = 64;
/// Nodes that are remembered, at most.
const MAX_KNOWN: usize = 4_096;
/// Time after which a silent node is sent reports only now and then, in
/// milliseconds.
const SILENT_AFTER_MS: u64 = 5_000;
/// Time between two reports to a silent node, in milliseconds.
const SILENT_PERIOD_MS: u64 = 1_000;

/// Which nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those of the own zone.
    Near,
    /// Those of other zones, or of whom only a message is known.
    Far,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    id: Option<PeerId>,
    is_listed: bool,
    is_near: bool,
    heard_at: Option<Millis>,
    tried_at: Option<Millis>,
}

/// Addresses of the other nodes.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    own: Option<SocketAddr>,
    contacts: BTreeMap<SocketAddr, Contact>,
}

/// A node's record in the object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Where it receives reports.
    pub address: SocketAddr,
    /// Whether it is in the zone of this node.
    pub is_near: bool,
}

impl AddressBook {
    /// This node's own address, to which nothing is sent.
    pub fn set_own(&mut self, own: SocketAddr) {
        self.own = Some(own);
    }

    /// Takes in the nodes that the store names. Nodes that are neither named nor
    /// were heard of lately are forgotten.
    pub fn take_list(&mut self, nodes: &[ListedNode], now: Millis) {
        for contact in self.contacts.values_mut() {
            contact.is_listed = false;
        }
        let own = self.own;
        for node in nodes.iter().filter(|node| Some(node.address) != own) {
            let contact = self.contact(node.address);
            contact.is_listed = true;
            contact.is_near = node.is_near;
        }
        self.contacts
            .retain(|_, contact| contact.is_listed || contact.is_live(now));
    }

    /// A node was heard of.
    pub fn heard(&mut self, address: SocketAddr, id: PeerId, now: Millis) {
        if self.contacts.contains_key(&address) || self.contacts.len() < MAX_KNOWN {
            let contact = self.contact(address);
            contact.id = Some(id);
            contact.heard_at = Some(now);
        }
    }

    /// Where a node was last heard of.
    pub fn address_of(&self, id: PeerId) -> Option<SocketAddr> {
        let known = self.contacts.iter();
        let known = known.filter(|(_, contact)| contact.id == Some(id));
        let last = known.max_by_key(|(_, contact)| contact.heard_at);
        last.map(|(address, _)| *address)
    }

    /// Nodes of the own zone that were heard of lately.
    pub fn live_near(&self, now: Millis) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter();
        let live = contacts.filter(|(_, contact)| contact.is_near && contact.is_live(now));
        live.map(|(address, _)| *address).collect()
    }

    /// Nodes to which the next report goes.
    pub fn receivers(&mut self, reach: Reach, now: Millis) -> Vec<SocketAddr> {
        let is_near = reach == Reach::Near;
        let mut due: Vec<(bool, Option<Millis>, SocketAddr)> = self
            .contacts
            .iter()
            .filter(|(_, contact)| contact.is_near == is_near && contact.is_due(now))
            .map(|(address, contact)| (!contact.is_live(now), contact.tried_at, *address))
            .collect();
        // Where there are too many, each has its turn.
        due.sort();
        due.truncate(MAX_RECEIVERS);
        for (_, _, address) in &due {
            self.contact(*address).tried_at = Some(now);
        }
        due.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Nodes that are remembered.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// Whether no other node is remembered.
    pub fn is_empty(&self) -> bool {
        self.contacts.is_empty()
    }

    fn contact(&mut self, address: SocketAddr) -> &mut Contact {
        self.contacts.entry(address).or_insert(Contact {
            id: None,
            is_listed: false,
            is_near: false,
            heard_at: None,
            tried_at: None,
        })
    }
}

impl Contact {
    fn is_live(&self, now: Millis) -> bool {
        let heard_at = self.heard_at;
        heard_at.is_some_and(|heard_at| now.since(heard_at) < SILENT_AFTER_MS)
    }

    fn is_due(&self, now: Millis) -> bool {
        let rested = |tried_at| now.since(tried_at) >= SILENT_PERIOD_MS;
        self.is_live(now) || self.tried_at.is_none_or(rested)
    }
}
