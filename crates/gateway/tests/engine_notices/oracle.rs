//! Test oracle: derives from requests and answers alone which node an engine has notified, and
//! what the node sent afterwards.

use crate::support::engine::StandInEngine;
use crate::support::traffic::Asked;
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

/// Use of one engine by the nodes after it announced that it leaves.
#[derive(Debug)]
pub struct Departure {
    /// When each node had forwarded the first answer with the announcement.
    pub notified: BTreeMap<usize, Instant>,
    /// Maximum time from then until a caller sent a request that the same node forwarded to
    /// the engine.
    pub max_use_delay: Duration,
    /// The same, counted from the first answer with the announcement at any node.
    pub max_use_delay_anywhere: Duration,
}

impl Departure {
    /// Evaluates all answered requests.
    pub fn of(engine: &StandInEngine, asked: &[Asked]) -> Self {
        let arrived: HashSet<String> = engine.arrived_ids().into_iter().collect();
        let arrived: Vec<&Asked> = asked
            .iter()
            .filter(|asked| arrived.contains(&asked.id))
            .collect();
        let mut notified: BTreeMap<usize, Instant> = BTreeMap::new();
        for asked in arrived.iter().filter(|asked| asked.says_leaving) {
            let passed_on = asked.at + asked.took;
            let first = notified.entry(asked.node).or_insert(passed_on);
            *first = passed_on.min(*first);
        }
        let first = notified.values().min().copied();
        let after = |asked: &&Asked, notified: Option<&Instant>| {
            notified.map_or(Duration::ZERO, |notified| {
                asked.at.saturating_duration_since(*notified)
            })
        };
        let own = arrived
            .iter()
            .map(|one| after(one, notified.get(&one.node)));
        let anywhere = arrived.iter().map(|one| after(one, first.as_ref()));
        Self {
            max_use_delay: own.max().unwrap_or_default(),
            max_use_delay_anywhere: anywhere.max().unwrap_or_default(),
            notified,
        }
    }
}

/// Time after a refusal from which its engine must get no more requests: those that were in
/// flight have arrived by then.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// The node that sent a request with this id.
fn node_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

/// Maximum number of requests that an engine got from a node within a backoff that it had
/// requested from that node.
pub fn max_within_backoff(engine: &StandInEngine) -> usize {
    let arrivals = engine.arrived_ids().into_iter().zip(engine.arrival_times());
    let arrivals: Vec<(String, Instant)> = arrivals.collect();
    let within = engine.backoffs().into_iter().map(|notified| {
        let span = notified.at + UNDER_WAY..notified.at + notified.duration;
        let of_node = arrivals
            .iter()
            .filter(|(id, at)| node_of(id) == node_of(&notified.id) && span.contains(at));
        of_node.count()
    });
    within.max().unwrap_or(0)
}
