//! Which nodes of a zone relay.

use crate::listed_nodes::{listed, OTHER_ZONE, OWN_ZONE};
use crate::reports::{address, NOW};
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_gateway::peers::address_book::{AddressBook, MESH_NODES};
use ploverlift_policy::ids::Millis;

/// The address book of a node with port 1 that lists a fleet of `nodes` nodes, half of them
/// in its zone. The capacity of a node grows with its port.
fn book(nodes: u16) -> AddressBook {
    let mut book = AddressBook::default();
    book.set_own(listed(1, OWN_ZONE, 1));
    let zone = |port: u16| match port % 2 {
        1 => OWN_ZONE,
        _ => OTHER_ZONE,
    };
    let nodes = (1..=nodes).map(|port| listed(port, zone(port), u32::from(port)));
    book.apply_list(&nodes.collect::<Vec<_>>(), NOW);
    book
}

fn ports(book: &AddressBook, zone: ZoneTag, now: Millis) -> Vec<u16> {
    let relays = book.relays_of(zone, now);
    relays.iter().map(|relay| relay.address.port()).collect()
}

#[test]
fn relays_are_used_above_the_mesh_limit() {
    assert!(!book(MESH_NODES as u16).has_relays());
    assert!(book(MESH_NODES as u16 + 1).has_relays());
}

#[test]
fn the_largest_nodes_of_a_zone_relay_until_they_stop_answering() {
    let mut book = book(40);
    assert_eq!(ports(&book, OWN_ZONE, NOW), [39, 37]);
    assert_eq!(ports(&book, OTHER_ZONE, NOW), [40, 38]);
    book.note_awaiting_reply(address(39), NOW);
    assert_eq!(ports(&book, OWN_ZONE, NOW.plus(600)), [39, 37]);
    let later = NOW.plus(800);
    assert_eq!(ports(&book, OWN_ZONE, later), [37, 35]);
    // The suspected node is probed periodically, and relays again once it answers.
    assert!(book.relays_to_probe(OWN_ZONE, later).is_empty());
    let later = NOW.plus(1_000);
    assert_eq!(book.relays_to_probe(OWN_ZONE, later), [address(39)]);
    book.note_contact(address(39), PeerId(39), later);
    assert_eq!(ports(&book, OWN_ZONE, later), [39, 37]);
}

#[test]
fn half_of_the_fleet_killed_at_once_leaves_two_relays_in_each_zone() {
    let mut book = book(40);
    for port in 20..=40 {
        book.note_awaiting_reply(address(port), NOW);
    }
    let later = NOW.plus(800);
    assert_eq!(ports(&book, OWN_ZONE, later), [19, 17]);
    assert_eq!(ports(&book, OTHER_ZONE, later), [18, 16]);
    assert_eq!(book.relay_rank(PeerId(17), later), Some(1));
    assert_eq!(book.relay_rank(PeerId(15), later), None);
    // The last remaining node relays for itself.
    for port in 2..20 {
        book.note_awaiting_reply(address(port), NOW);
    }
    assert_eq!(ports(&book, OWN_ZONE, later), [1]);
}
