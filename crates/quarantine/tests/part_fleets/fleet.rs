//! Nodes that exchange reports: all with all, or through the relays of their zones.

use ploverlift_balancing::names::PeerId;
use ploverlift_quarantine::node_messages::ReportedSubject;
use ploverlift_quarantine::quarantine::Quarantine;

/// Zones of a fleet with relays, and relays in each.
const ZONES: usize = 3;
const RELAYS_PER_ZONE: usize = 2;
/// Delay of a datagram within a zone and between zones, in milliseconds.
const ZONE_DELAY_MS: u64 = 1;
const OTHER_ZONE_DELAY_MS: u64 = 20;

pub struct Node {
    pub quarantine: Quarantine,
    pub is_relay: bool,
    pub is_report_due: bool,
    pub last_period_at: u64,
    /// Bytes sent in the current second, and the most in any second.
    pub second: u64,
    pub second_bytes: u64,
    pub most_bytes: u64,
    /// Bytes sent in all.
    pub all_bytes: u64,
    pub most_subjects: usize,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    has_relays: bool,
}

impl Fleet {
    /// A fleet whose nodes report to each other.
    pub fn mesh(count: usize) -> Self {
        Self::new(count, false)
    }

    /// A fleet whose nodes report to the relays of their zones.
    pub fn relayed(count: usize) -> Self {
        Self::new(count, true)
    }

    fn new(count: usize, has_relays: bool) -> Self {
        let nodes = (0..count).map(|number| Node {
            quarantine: Quarantine::default(),
            is_relay: has_relays && number < ZONES * RELAYS_PER_ZONE,
            is_report_due: false,
            last_period_at: 0,
            second: 0,
            second_bytes: 0,
            most_bytes: 0,
            all_bytes: 0,
            most_subjects: 0,
        });
        Self {
            nodes: nodes.collect(),
            has_relays,
        }
    }

    pub fn peer(node: usize) -> PeerId {
        PeerId(node as u64 + 1)
    }

    /// Time from a claim until it takes effect, in milliseconds.
    pub fn claim_delay_ms(&self) -> u64 {
        match self.has_relays {
            true => 150,
            false => 25,
        }
    }

    pub fn receivers(&self, from: usize) -> Vec<usize> {
        let all = 0..self.nodes.len();
        let zone = |node: usize| node % ZONES;
        let receives = |to: &usize| match (self.has_relays, self.nodes[from].is_relay) {
            (false, _) => true,
            (true, true) => self.nodes[*to].is_relay || zone(*to) == zone(from),
            (true, false) => self.nodes[*to].is_relay && zone(*to) == zone(from),
        };
        all.filter(|to| *to != from).filter(receives).collect()
    }

    pub fn delay_ms(from: usize, to: usize) -> u64 {
        match from % ZONES == to % ZONES {
            true => ZONE_DELAY_MS,
            false => OTHER_ZONE_DELAY_MS,
        }
    }
}

/// Encoded size of a report, in bytes: two hashes, and 14 bytes for each end.
pub fn encoded_bytes(report: &ReportedSubject) -> u64 {
    let software: usize = report.software.iter().map(|known| known.0.len() + 2).sum();
    (30 + 14 * report.ends.len() + software) as u64
}
