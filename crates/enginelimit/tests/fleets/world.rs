//! The simulated fleet: nodes, the network between them, engines and the requests that they
//! got.

use ploverlift_balancing::engine_rate_limits::EngineRateLimits;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_enginelimit::group::{group_of, GroupTag, NodeAddress};
use ploverlift_enginelimit::limits::{EngineLimits, ObservationOutcome};
use ploverlift_enginelimit::node_messages::{GroupUpdate, TokenAnswer, TokenRequest, Wanted};
use ploverlift_enginelimit::observation::Observation;
use ploverlift_enginelimit::tokens::Granter;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The window over which arrivals are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;
/// Time from the first advertisement after which the bound holds, in milliseconds.
pub const KNOWN_AFTER_MS: u64 = 3_000;
/// Largest fleet in which each node sends to all others; larger fleets use relays.
const MESH_NODES: usize = 20;
/// Time between two repeated broadcasts of unchanged state, in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Time between two checks for updates that are due, in milliseconds.
const BROADCAST_CHECK_MS: u64 = 5;
/// Time-out of a token request, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 60;
/// Denials for single engines after which a request may get any engine of the group.
const MAX_DENIALS: u32 = 3;
/// Time that an engine takes to answer, in milliseconds.
const SERVICE_MS: u64 = 30;

/// A node.
struct Node {
    limits: EngineLimits,
    rate_limits: EngineRateLimits,
    is_up: bool,
    /// The side of a partition. Nodes on different sides cannot exchange messages.
    side: u8,
    last_period_at: u64,
    next_request_number: u64,
}

/// A token request that waits for its answer.
#[derive(Clone)]
struct PendingRequest {
    request: TokenRequest,
    tries: u32,
    denials: u32,
}

enum Event {
    Arrive {
        node: usize,
    },
    Broadcast {
        node: usize,
    },
    ReceiveUpdate {
        node: usize,
        news: GroupUpdate,
    },
    RequestToken {
        to: usize,
        from: usize,
        request: TokenRequest,
    },
    Answer {
        node: usize,
        request: TokenRequest,
        answer: TokenAnswer,
    },
    TimeOut {
        node: usize,
        number: u64,
    },
    ReceiveObservation {
        node: usize,
        seen: Observation,
        group: GroupTag,
    },
    Answered {
        node: usize,
        engine: usize,
        sent_at: u64,
    },
}

/// What the fleet did, as counts of events.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub token_requests: u64,
    pub rejected: u64,
    pub served: u64,
}

/// The fleet.
pub struct World {
    pub now: u64,
    nodes: Vec<Node>,
    /// The rate that each engine advertises, if it is limited.
    pub limits: Vec<Option<f64>>,
    /// For each engine, the time and the side of the partition of each request that it got.
    pub arrivals: Vec<Vec<(u64, u8)>>,
    pub counts: Counts,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Requests a second, over all nodes.
    pub demand: f64,
    pending_requests: HashMap<(usize, u64), PendingRequest>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    random: fastrand::Rng,
    service: ServiceName,
}

impl World {
    pub fn new(nodes: usize, engines: usize, demand: f64, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            limits: vec![None; engines],
            arrivals: vec![Vec::new(); engines],
            counts: Counts::default(),
            loss: 0.0,
            demand,
            pending_requests: HashMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            random: fastrand::Rng::with_seed(seed),
            service: ServiceName::from("llm"),
        };
        for node in 0..nodes {
            world.nodes.push(Node {
                limits: EngineLimits::new(address_of(node)),
                rate_limits: EngineRateLimits::default(),
                is_up: true,
                side: 0,
                last_period_at: 0,
                next_request_number: 0,
            });
            let first = world.random.u64(0..1_000);
            world.at(first, Event::Arrive { node });
            world.at(node as u64 % BROADCAST_CHECK_MS, Event::Broadcast { node });
        }
        world
    }

    /// Advances the simulation by `for_ms`.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Stops a node; it stays stopped until it is resumed or restarted.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Resumes a stopped node with its state.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_up = true;
    }

    /// Restarts a node without its state and sends it the state of another node.
    pub fn restart(&mut self, node: usize) {
        let other = (node + 1) % self.nodes.len();
        let told = self.nodes[other].limits.all_updates(self.millis());
        let now = self.millis();
        let started = &mut self.nodes[node];
        started.limits = EngineLimits::new(address_of(node));
        started.rate_limits = EngineRateLimits::default();
        for news in told {
            started
                .limits
                .apply_update(&news, false, &mut started.rate_limits, now);
        }
        started.is_up = true;
    }

    /// Partitions the fleet: nodes from `first` on are separated from those before.
    pub fn cut_from(&mut self, first: usize) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            node.side = u8::from(number >= first);
        }
    }

    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.side = 0;
        }
    }

    /// The holder of the group of an engine, as known to this node.
    pub fn holder_seen_by(&self, node: usize, engine: usize) -> Option<usize> {
        let limits = &self.nodes[node].limits;
        let group = limits.group_of(tag(engine))?;
        Some(index_of(limits.holder(group)?.at))
    }

    /// The number of nodes that know this limit of an engine.
    pub fn nodes_that_know(&self, engine: usize, limit: Option<f64>) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| node.limits.limit_of(tag(engine)) == limit)
            .count()
    }

    /// The most requests that an engine got from one side in any window of the interval.
    pub fn worst_window(&self, engine: usize, from: u64, until: u64, side: Option<u8>) -> usize {
        let times: Vec<u64> = self.arrivals[engine]
            .iter()
            .filter(|(at, of)| *at >= from && *at < until && side.is_none_or(|side| side == *of))
            .map(|(at, _)| *at)
            .collect();
        let counts = times.iter().enumerate().map(|(first, began)| {
            let end = times.partition_point(|at| *at <= began + WINDOW_MS);
            end - first
        });
        counts.max().unwrap_or(0)
    }

    /// Requests that an engine got in an interval.
    pub fn arrivals_in(&self, engine: usize, from: u64, until: u64) -> usize {
        let times = self.arrivals[engine].iter();
        times.filter(|(at, _)| *at >= from && *at < until).count()
    }

    fn millis(&self) -> Millis {
        Millis(self.now)
    }

    fn at(&mut self, when: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((when, self.next_event), event);
    }

    /// Sends a message with a delay. It may be lost, and does not cross a partition.
    fn send(&mut self, from: usize, to: usize, delay_ms: u64, event: Event) {
        self.counts.messages += 1;
        let is_cut = self.nodes[from].side != self.nodes[to].side;
        if !is_cut && self.random.f64() >= self.loss {
            self.at(self.now + delay_ms, event);
        }
    }

    fn network_delay_ms(&mut self) -> u64 {
        self.random.u64(1..=3)
    }

    fn group(&self, engine: usize) -> GroupTag {
        group_of(&self.service, tag(engine), self.limits.len())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { node } => {
                let mean_ms = 1_000.0 * self.nodes.len() as f64 / self.demand;
                let pause = -mean_ms * (1.0 - self.random.f64()).ln();
                self.at(self.now + pause as u64 + 1, Event::Arrive { node });
                if self.nodes[node].is_up {
                    self.choose(node, 0);
                }
            }
            Event::Broadcast { node } => self.broadcast(node),
            Event::ReceiveUpdate { node, news } => {
                let now = self.millis();
                let node = &mut self.nodes[node];
                if node.is_up {
                    node.limits
                        .apply_update(&news, false, &mut node.rate_limits, now);
                }
            }
            Event::RequestToken { to, from, request } => {
                if self.nodes[to].is_up {
                    let now = self.millis();
                    let answer = self.nodes[to].limits.answer(&request, now);
                    let redirect = self.nodes[to].limits.holder_update(request.group);
                    if let (TokenAnswer::NotHolder, Some(news)) = (answer, redirect) {
                        let delay = self.network_delay_ms();
                        self.send(to, from, delay, Event::ReceiveUpdate { node: from, news });
                    }
                    let delay = self.network_delay_ms();
                    self.send(
                        to,
                        from,
                        delay,
                        Event::Answer {
                            node: from,
                            request,
                            answer,
                        },
                    );
                }
            }
            Event::Answer {
                node,
                request,
                answer,
            } => {
                let open = self.pending_requests.remove(&(node, request.number));
                if let Some(pending) = open.filter(|_| self.nodes[node].is_up) {
                    self.take_answer(node, &request, answer, pending.denials);
                }
            }
            Event::TimeOut { node, number } => self.time_out(node, number),
            Event::ReceiveObservation { node, seen, group } => {
                let now = self.millis();
                let node = &mut self.nodes[node];
                if node.is_up {
                    let limits = &mut node.limits;
                    limits.apply_observation(&seen, group, &mut node.rate_limits, now);
                }
            }
            Event::Answered {
                node,
                engine,
                sent_at,
            } => self.observe(node, engine, sent_at),
        }
    }

    /// Selects an engine for a caller's request: a limited engine with free capacity if
    /// there is one, as it gets little load; otherwise any engine with free capacity;
    /// otherwise one that the holder grants.
    fn choose(&mut self, node: usize, denials: u32) {
        let now = self.millis();
        let engines = self.limits.len();
        let first = self.random.usize(0..engines);
        let known = &self.nodes[node];
        let mut order = (0..engines.min(64)).map(|step| (first + step) % engines);
        let has_room = |engine: &usize| known.rate_limits.has_token(tag(*engine), now);
        let is_limited = |engine: &usize| known.limits.limit_of(tag(*engine)).is_some();
        let limited = order
            .clone()
            .find(|engine| is_limited(engine) && has_room(engine));
        let open = limited.or_else(|| order.clone().find(has_room));
        let is_unlimited = |engine: &usize| known.limits.limit_of(tag(*engine)).is_none();
        let open = match denials < MAX_DENIALS {
            true => open,
            false => order.find(|engine| is_unlimited(engine) && has_room(engine)),
        };
        let Some(engine) = open else {
            let group = self.group(first);
            if self.nodes[node].limits.may_have_token(group, now) {
                self.request_token(node, group, Wanted::AnyBut(Vec::new()), denials);
            } else {
                self.reject();
            }
            return;
        };
        if self.nodes[node].limits.limit_of(tag(engine)).is_none() {
            return self.arrive(node, engine);
        }
        let group = self.nodes[node].limits.group_of(tag(engine));
        let group = group.expect("a limited engine has a group");
        self.request_token(node, group, Wanted::Engine(tag(engine)), denials);
    }

    fn request_token(&mut self, node: usize, group: GroupTag, wanted: Wanted, denials: u32) {
        self.counts.token_requests += 1;
        let number = self.nodes[node].next_request_number;
        self.nodes[node].next_request_number += 1;
        let request = TokenRequest {
            sender: address_of(node).node,
            number,
            group,
            wanted,
            is_urgent: true,
        };
        let now = self.millis();
        match self.nodes[node].limits.granter(group) {
            Granter::Here => {
                let answer = self.nodes[node].limits.answer(&request, now);
                self.take_answer(node, &request, answer, denials);
            }
            Granter::At(holder) => {
                let pending = PendingRequest {
                    request,
                    tries: 1,
                    denials,
                };
                self.pending_requests
                    .insert((node, number), pending.clone());
                self.send_request(node, index_of(holder), pending.request);
            }
            Granter::Nobody => self.reject(),
        }
    }

    fn send_request(&mut self, node: usize, holder: usize, request: TokenRequest) {
        let number = request.number;
        let delay = self.network_delay_ms();
        let ask = Event::RequestToken {
            to: holder,
            from: node,
            request,
        };
        self.send(node, holder, delay, ask);
        self.at(
            self.now + ANSWER_TIMEOUT_MS,
            Event::TimeOut { node, number },
        );
    }

    fn time_out(&mut self, node: usize, number: u64) {
        let Some(pending) = self.pending_requests.get_mut(&(node, number)) else {
            return;
        };
        if pending.tries == 1 {
            pending.tries = 2;
            let request = pending.request.clone();
            if let Granter::At(holder) = self.nodes[node].limits.granter(request.group) {
                return self.send_request(node, index_of(holder), request);
            }
        }
        let pending = self.pending_requests.remove(&(node, number));
        let request = pending.expect("an open request").request;
        let now = self.millis();
        let known = &mut self.nodes[node];
        known
            .limits
            .note_unanswered(request.group, &mut known.rate_limits, now);
        self.reject();
    }

    fn take_answer(
        &mut self,
        node: usize,
        request: &TokenRequest,
        answer: TokenAnswer,
        denials: u32,
    ) {
        let draw = self.random.f64();
        let now = self.millis();
        let known = &mut self.nodes[node];
        let granted = known
            .limits
            .take_answer(request, answer, &mut known.rate_limits, draw, now);
        match granted {
            Some(engine) => {
                known.rate_limits.note_spent(engine, now);
                self.arrive(node, engine.0 as usize);
            }
            None if matches!(request.wanted, Wanted::Engine(_)) => self.choose(node, denials + 1),
            None => self.reject(),
        }
    }

    fn reject(&mut self) {
        self.counts.rejected += 1;
    }

    fn arrive(&mut self, node: usize, engine: usize) {
        self.counts.served += 1;
        let side = self.nodes[node].side;
        self.arrivals[engine].push((self.now, side));
        let answered = Event::Answered {
            node,
            engine,
            sent_at: self.now,
        };
        self.at(self.now + SERVICE_MS, answered);
    }

    fn observe(&mut self, node: usize, engine: usize, sent_at: u64) {
        let now = self.millis();
        if !self.nodes[node].is_up {
            return;
        }
        let seen = Observation {
            engine: tag(engine),
            limit: self.limits[engine],
            sent_at: Millis(sent_at),
            head_at: now,
        };
        let group = self.group(engine);
        let known = &mut self.nodes[node];
        let heard = known
            .limits
            .observe(&seen, group, &mut known.rate_limits, now);
        if let ObservationOutcome::ForwardToHolder(holder) = heard {
            let holder = index_of(holder);
            let delay = self.network_delay_ms();
            let told = Event::ReceiveObservation {
                node: holder,
                seen,
                group,
            };
            self.send(node, holder, delay, told);
        }
    }

    fn broadcast(&mut self, node: usize) {
        // A large fleet checks less often, to keep the test short.
        let check_ms = match self.nodes.len() <= MESH_NODES {
            true => BROADCAST_CHECK_MS,
            false => 10 * BROADCAST_CHECK_MS,
        };
        self.at(self.now + check_ms, Event::Broadcast { node });
        let now = self.millis();
        let known = &mut self.nodes[node];
        if !known.is_up || known.limits.is_empty() {
            return;
        }
        let is_period = self.now - known.last_period_at >= PERIOD_MS;
        if is_period {
            known.last_period_at = self.now;
        }
        for news in known.limits.updates_due(is_period, now) {
            for other in 0..self.nodes.len() {
                if other != node {
                    // Relays forward within some tens of milliseconds.
                    let delay = match self.nodes.len() <= MESH_NODES {
                        true => self.network_delay_ms(),
                        false => self.random.u64(5..=60),
                    };
                    let heard = Event::ReceiveUpdate {
                        node: other,
                        news: news.clone(),
                    };
                    self.send(node, other, delay, heard);
                }
            }
        }
    }
}

fn tag(engine: usize) -> EngineTag {
    EngineTag(engine as u32)
}

fn address_of(node: usize) -> NodeAddress {
    NodeAddress {
        node: PeerId(node as u64 + 1),
        address: SocketAddr::from(([127, 0, 0, 1], node as u16 + 1)),
    }
}

fn index_of(at: NodeAddress) -> usize {
    at.node.0 as usize - 1
}
