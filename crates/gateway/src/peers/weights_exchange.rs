//! Which reports on weights this node has sent and heard.
//!
//! A report names the last one of its receiver that it answers. When that was sent is
//! known here alone, and what the report proves is taken to be as old.

use super::message_fields::IncludedReport;
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Own reports whose sending time is remembered: those of 16 s. An answer to an older
/// one would prove nothing that is of use.
const MAX_SENT: usize = 64;
/// Time after which the last report of a silent node is forgotten, in milliseconds.
const PEER_EXPIRY_MS: u64 = 5_000;

/// What a node has sent and heard of these reports.
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
    /// The number of a report that is being sent now.
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

    /// When the report with this number was sent; nothing when that is longer ago than is
    /// remembered.
    pub fn sent_at(&self, sequence: u64) -> Option<Millis> {
        let mut sent = self.sent.iter();
        let sent = sent.find(|report| report.sequence == sequence)?;
        Some(sent.at)
    }

    /// A report of another node was taken in; tells whether it is the first one of its
    /// life.
    pub fn note_received(&mut self, from: SocketAddr, report: IncludedReport, now: Millis) -> bool {
        let before = self
            .received
            .insert(from, ReceivedReport { report, at: now });
        before.is_none_or(|before| before.report.life != report.life)
    }

    /// Nodes whose reports were taken in lately.
    pub fn live_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.received.keys().copied()
    }

    /// The last report that was taken in from a node.
    pub fn last_received(&self, from: &SocketAddr) -> Option<IncludedReport> {
        self.received.get(from).map(|received| received.report)
    }
}
