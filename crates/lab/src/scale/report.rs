//! What a run of many hollow nodes reports.

use super::ScaleFault;
use serde::Serialize;
use std::collections::BTreeMap;

/// Times of a set of events, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// Half were sooner.
    pub p50: u64,
    /// 99 of 100 were sooner.
    pub p99: u64,
    /// The last one.
    pub worst: u64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Nodes.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Engines.
    pub engines: usize,
    /// Tenants.
    pub tenants: usize,
    /// What failed.
    pub fault: ScaleFault,
    /// Virtual seconds measured.
    pub seconds: u64,
    /// Bytes a node sent a second, datagram headers included; mean.
    pub sent_bytes_per_second: f64,
    /// The same of the node that sent most.
    pub sent_bytes_per_second_worst: f64,
    /// Messages a node sent a second; mean.
    pub messages_per_second: f64,
    /// Bytes a second by kind of message; mean over the nodes.
    pub bytes_by_message: BTreeMap<&'static str, f64>,
    /// Share of one core that a node's state machines took, in percent; mean.
    pub core_percent: f64,
    /// Resident memory a node, in kilobytes; the process's growth over its nodes.
    pub memory_kb: f64,
    /// Time until a change was in force, over all nodes and changes, in milliseconds.
    pub in_force_ms: Times,
    /// Pairs of node and change that were not in force at the end.
    pub not_in_force: usize,
    /// Suspicions an hour over all nodes of which the suspect was alive.
    pub false_suspicions_per_hour: f64,
    /// Nodes that read the object API at the end.
    pub readers: usize,
    /// Pairs of nodes of which one does not know the other as live, at the end.
    pub missing_members: usize,
    /// Time until a leaving engine was out of choice on every node that routes to it, in milliseconds.
    pub leaving_out_of_choice_ms: u64,
}
