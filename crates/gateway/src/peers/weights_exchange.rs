//! Which reports on weights this node has sent and received.
//!
//! A report names the last report of its receiver that it includes. Only the receiver knows
//! when it sent that one; it takes the proof in the report to be that old.

use super::message_fields::IncludedReport;
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of own reports whose sending time is kept: those of 16 s. A proof based on an
/// older one would be too old to be of use.
const MAX_SENT: usize = 64;
/// Time after which the last report of a silent node is removed, in milliseconds.
const PEER_EXPIRY_MS: u64 = 5_000;

/// Reports on weights that this node has sent and received.
#[derive(Clone, Debug, Default)]
pub struct WeightsExchange {
    sequence: u64,
    sent: VecDeque<SentReport>,
    received: HashMap<SocketAddr, ReceivedReport>,
}

#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: IncludedReport,
    at: Millis,
}

impl WeightsExchange {
    /// Records that a report is being sent now, and returns its sequence number.
    pub fn next_sequence(&mut self, now: Millis) -> u64 {
        self.sequence += 1;
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        let sequence = self.sequence;
        self.sent.push_back(SentReport { sequence, at: now });
        self.received
            .retain(|_, received| now.since(received.at) < PEER_EXPIRY_MS);
        sequence
    }

    /// When the report with this sequence number was sent; `None` when its sending time is
    /// no longer kept.
    pub fn sent_at(&self, sequence: u64) -> Option<Millis> {
        let mut sent = self.sent.iter();
        let sent = sent.find(|report| report.sequence == sequence)?;
        Some(sent.at)
    }

    /// Records a report of another node; returns whether it is the first one of its
    /// incarnation.
    pub fn note_received(&mut self, from: SocketAddr, report: IncludedReport, now: Millis) -> bool {
        let before = self
            .received
            .insert(from, ReceivedReport { report, at: now });
        before.is_none_or(|before| before.report.life != report.life)
    }

    /// Nodes whose reports were received recently.
    pub fn live_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.received.keys().copied()
    }

    /// The last report that was received from a node.
    pub fn last_received(&self, from: &SocketAddr) -> Option<IncludedReport> {
        self.received.get(from).map(|received| received.report)
    }
}
