//! A simulated fleet in virtual time: nodes that admit requests, late and lost reports,
//! partitions, restarts and pauses.
#![allow(dead_code)]

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use ploverlift_ratelimit::accounts::FleetSize;
use ploverlift_ratelimit::limiter::{Membership, RateLimiter};
use ploverlift_ratelimit::own_use::ReportedUse;
use ploverlift_ratelimit::reports::{LevelReport, PartId, UseReport};
use ploverlift_ratelimit::standing::Standing;
use ploverlift_routing::rate_limit::{LimitUnit, RateLimit, TenantTag};
use std::collections::VecDeque;

pub const TENANT: TenantTag = TenantTag(77);
/// Time between two reports of a node, in milliseconds.
pub const NODE_PERIOD_MS: u64 = 80;
/// Time between two reports of a relay, in milliseconds.
pub const RELAY_PERIOD_MS: u64 = 100;
/// The window of the bound, in milliseconds.
pub const WINDOW_MS: u64 = 8_000;

pub fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit {
        per_second,
        burst,
        unit: LimitUnit::Tokens { undeclared: 1 },
    }
}

#[derive(Clone)]
enum Message {
    Use(PartId, UseReport),
    Levels(LevelReport),
}

struct Envelope {
    due: Millis,
    from: usize,
    to: usize,
    message: Message,
}

struct Node {
    zone: u32,
    is_relay: bool,
    limiter: RateLimiter,
    life: u64,
    sequence: u64,
    started_at: Millis,
    uses: ReportedUse,
    zone_uses: ReportedUse,
    is_cut: bool,
    paused_until: Millis,
    is_down: bool,
    has_restarted: bool,
}

/// A fleet that serves one tenant.
pub struct Fleet {
    nodes: Vec<Node>,
    has_relays: bool,
    limit: RateLimit,
    pub now: Millis,
    in_flight: Vec<Envelope>,
    random: fastrand::Rng,
    loss: f64,
    admitted: VecDeque<(Millis, u64)>,
    /// The most units that were admitted within one window.
    pub worst_window: u64,
    pub refused: u64,
    pub granted: u64,
}

impl Fleet {
    /// Starts a fleet; `zones` gives the number of nodes of each zone. With relays, the
    /// first two nodes of each zone are relays.
    pub fn new(zones: &[usize], has_relays: bool, limit: RateLimit, seed: u64) -> Self {
        let mut nodes = Vec::new();
        for (zone, count) in zones.iter().enumerate() {
            for place in 0..*count {
                nodes.push(Node {
                    zone: zone as u32,
                    is_relay: has_relays && place < 2,
                    limiter: limiter(limit),
                    life: 1,
                    sequence: 0,
                    started_at: Millis(0),
                    uses: ReportedUse::default(),
                    zone_uses: ReportedUse::default(),
                    is_cut: false,
                    paused_until: Millis(0),
                    is_down: false,
                    has_restarted: false,
                });
            }
        }
        let mut fleet = Self {
            nodes,
            has_relays,
            limit,
            now: Millis(0),
            in_flight: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            admitted: VecDeque::new(),
            worst_window: 0,
            refused: 0,
            granted: 0,
        };
        fleet.run_idle(3_000);
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    pub fn is_relay(&self, node: usize) -> bool {
        self.nodes[node].is_relay
    }

    /// Isolates a node from all others, or reconnects it.
    pub fn set_cut(&mut self, node: usize, is_cut: bool) {
        self.nodes[node].is_cut = is_cut;
    }

    pub fn pause(&mut self, node: usize, ms: u64) {
        self.nodes[node].paused_until = self.now.plus(ms);
    }

    pub fn set_down(&mut self, node: usize, is_down: bool) {
        let now = self.now;
        let limit = self.limit;
        let node = &mut self.nodes[node];
        if node.is_down && !is_down {
            node.limiter = limiter(limit);
            node.life += 1_000_000;
            node.started_at = now;
            node.uses = ReportedUse::default();
            node.zone_uses = ReportedUse::default();
            node.has_restarted = true;
        }
        node.is_down = is_down;
    }

    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
        for node in &mut self.nodes {
            node.limiter.set_limits([(TENANT, limit)].into());
        }
    }

    fn membership(&self, node: usize) -> Membership {
        let known = &self.nodes[node];
        Membership {
            keeps_accounts: !self.has_relays || known.is_relay,
            is_first_start: !known.has_restarted,
            size: FleetSize {
                nodes: self.nodes.len() as u32,
                started_at: known.started_at,
            },
        }
    }

    fn is_running(&self, node: usize) -> bool {
        !self.nodes[node].is_down && self.nodes[node].paused_until <= self.now
    }

    /// The state of the tenant at a node before a request.
    pub fn standing(&mut self, node: usize, cost: u64) -> Standing {
        let membership = self.membership(node);
        let now = self.now;
        let limit = self.limit;
        let limiter = &mut self.nodes[node].limiter;
        limiter.standing(TENANT, cost, &limit, &membership, now)
    }

    /// Sends a request to a node. Returns whether it was admitted.
    pub fn request(&mut self, node: usize, cost: u64) -> bool {
        if !self.is_running(node) {
            return false;
        }
        let membership = self.membership(node);
        let now = self.now;
        let limiter = &mut self.nodes[node].limiter;
        let decided = limiter.decide(TENANT, cost, &self.limit, &membership, now);
        if !decided.is_admitted {
            self.refused += cost;
            return false;
        }
        self.granted += cost;
        self.admitted.push_back((now, cost));
        self.note_window();
        true
    }

    fn note_window(&mut self) {
        let now = self.now;
        while let Some((at, _)) = self.admitted.front() {
            if now.since(*at) < WINDOW_MS {
                break;
            }
            self.admitted.pop_front();
        }
        let sum = self.admitted.iter().map(|(_, cost)| cost).sum();
        self.worst_window = self.worst_window.max(sum);
    }

    /// Advances the time without requests.
    pub fn run_idle(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
        }
    }

    /// Advances the time by ten milliseconds.
    pub fn step(&mut self) {
        self.now = self.now.plus(10);
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.is_running(node) {
                self.report(node);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Envelope>, Vec<Envelope>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|envelope| envelope.due <= now && self.is_running(envelope.to));
        self.in_flight = later;
        for envelope in due {
            if self.nodes[envelope.from].is_cut || self.nodes[envelope.to].is_cut {
                continue;
            }
            let limiter = &mut self.nodes[envelope.to].limiter;
            match envelope.message {
                Message::Use(part, report) => limiter.apply_use_report(part, &report, now),
                Message::Levels(report) => limiter.apply_level_report(&report, now),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.nodes[to].is_down || self.random.f64() < self.loss {
            return;
        }
        let delay_ms = self.random.u64(1..20);
        self.in_flight.push(Envelope {
            due: self.now.plus(delay_ms),
            from,
            to,
            message,
        });
    }

    fn is_time(&self, node: usize, period_ms: u64) -> bool {
        // The report times of the nodes are staggered.
        (self.now.0 / 10 + node as u64 * 3) % (period_ms / 10) == 0
    }

    fn report(&mut self, node: usize) {
        let receivers: Vec<usize> = (0..self.nodes.len())
            .filter(|other| *other != node && self.receives_from(*other, node))
            .collect();
        let part = PartId::Node(PeerId(node as u64));
        if self.is_time(node, NODE_PERIOD_MS) {
            let known = &mut self.nodes[node];
            let now = self.now;
            if let Some(uses) = known.uses.next(known.limiter.own_uses(), now) {
                let report = self.use_report(node, 1, uses);
                for to in &receivers {
                    self.send(node, *to, Message::Use(part, report.clone()));
                }
            }
        }
        if self.is_time(node, RELAY_PERIOD_MS) {
            let membership = self.membership(node);
            let now = self.now;
            self.nodes[node].limiter.advance(&membership, now);
            if self.nodes[node].is_relay {
                self.relay(node);
            }
        }
    }

    fn receives_from(&self, receiver: usize, reporter: usize) -> bool {
        let (receiver, reporter) = (&self.nodes[receiver], &self.nodes[reporter]);
        !self.has_relays || (receiver.is_relay && receiver.zone == reporter.zone)
    }

    fn use_report(
        &mut self,
        node: usize,
        nodes: u32,
        uses: Vec<ploverlift_ratelimit::reports::TenantUse>,
    ) -> UseReport {
        let known = &mut self.nodes[node];
        known.sequence += 1;
        UseReport {
            sender: PeerId(node as u64),
            life: known.life,
            sequence: known.sequence,
            nodes,
            uses,
        }
    }

    fn relay(&mut self, node: usize) {
        let now = self.now;
        let zone = self.nodes[node].zone;
        let levels = self.nodes[node].limiter.next_levels(now);
        let accounts_age_ms = self.nodes[node].limiter.accounts_age_ms(now);
        self.nodes[node].sequence += 1;
        let followers: Vec<usize> = (0..self.nodes.len())
            .filter(|other| self.nodes[*other].zone == zone && *other != node)
            .collect();
        for to in followers {
            let counted = self.nodes[node]
                .limiter
                .counted_use(PeerId(to as u64), &[TENANT]);
            let mut levels = levels.clone();
            for level in &mut levels {
                level.counted = counted[0];
            }
            let report = LevelReport {
                sender: PeerId(node as u64),
                life: self.nodes[node].life,
                sequence: self.nodes[node].sequence,
                nodes: self.nodes.len() as u32,
                accounts_age_ms,
                levels,
            };
            self.send(node, to, Message::Levels(report));
        }
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|other| self.nodes[*other].is_relay && self.nodes[*other].zone != zone)
            .collect();
        let Some(sum) = self.nodes[node].limiter.zone_sum() else {
            return;
        };
        let uses = self.nodes[node].zone_uses.next(sum.uses.into_iter(), now);
        let uses = uses.unwrap_or_default();
        let mut report = self.use_report(node, sum.nodes, uses);
        report.life += sum.begun_at.0;
        for to in others {
            let part = PartId::Zone(ZoneTag(zone));
            self.send(node, to, Message::Use(part, report.clone()));
        }
    }
}

fn limiter(limit: RateLimit) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.set_limits([(TENANT, limit)].into());
    limiter
}
