//! A lease under every schedule: nodes that pause and restart, writes whose
//! answers are lost, that are not done, or that are done late.
//!
//! What must hold of the orders that holders give: machines never take turns
//! within the bound, no token serves two machines, and tokens only rise.

use ploverlift_cluster::lease::{LeaseStep, LeaseTiming, LeaseView};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion};
use ploverlift_policy::objects::LeaseSpec;
use proptest::prelude::*;

const NODES: usize = 3;
/// Two machines never give orders within this time, in milliseconds.
const LEASE_BOUND_MS: u64 = 3_000;
/// Time after which a node no longer waits for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 450;
const TIMING: LeaseTiming = LeaseTiming {
    duration_ms: 4_200,
    renew_after_ms: 400,
    stop_acting_after_ms: 1_000,
};

#[derive(Clone, Copy, Debug)]
enum Write {
    Answered,
    AnswerLost,
    NotDone,
    DoneAfter(u64),
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// The node renews or asks for the lease.
    Keep(Write),
    /// The node reads the lease.
    Look,
    /// The node gives an order, if it may.
    Order,
    /// An engine refuses the token of an order that the node has just given.
    Refused,
    /// The node's process starts anew.
    Restart,
}

struct Store {
    revision: u64,
    stored: Option<(u64, LeaseSpec)>,
    late: Vec<(Millis, u64, LeaseSpec)>,
}

impl Store {
    fn put(&mut self, expected: u64, spec: LeaseSpec) -> Option<u64> {
        let known = self.stored.as_ref().map_or(0, |(revision, _)| *revision);
        if known != expected {
            return None;
        }
        self.revision += 1;
        self.stored = Some((self.revision, spec));
        Some(self.revision)
    }

    /// Does the writes that are due, if their condition still holds.
    fn catch_up(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.late = later;
        for (_, expected, spec) in due {
            self.put(expected, spec);
        }
    }
}

struct World {
    now: Millis,
    store: Store,
    views: Vec<LeaseView>,
    lives: u64,
    orders: Vec<(Millis, usize, u64)>,
    refused: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            store: Store {
                revision: 0,
                stored: None,
                late: Vec::new(),
            },
            views: Vec::new(),
            lives: 0,
            orders: Vec::new(),
            refused: Vec::new(),
        };
        for node in 0..NODES {
            let view = world.new_view(node);
            world.views.push(view);
        }
        world
    }

    fn new_view(&mut self, node: usize) -> LeaseView {
        self.lives += 1;
        let name = NodeName(format!("node-{node}"));
        LeaseView::with_timing(name, self.lives, TIMING)
    }

    fn look(&mut self, node: usize) {
        if let Some((revision, spec)) = self.store.stored.clone() {
            self.views[node].on_seen(ResourceVersion(revision), spec, self.now);
        }
    }

    fn keep(&mut self, node: usize, write: Write) {
        // The lease's wall-clock field only tells one write from another.
        self.lives += 1;
        let step = self.views[node].step(true, self.lives, self.now);
        let LeaseStep::Write {
            version,
            spec,
            began,
        } = step
        else {
            return;
        };
        let done = match write {
            Write::Answered | Write::AnswerLost => self.store.put(version.0, spec.clone()),
            Write::NotDone => None,
            Write::DoneAfter(delay) => {
                let at = self.now.plus(delay);
                self.store.late.push((at, version.0, spec.clone()));
                None
            }
        };
        if !matches!(write, Write::Answered) {
            self.now = self.now.plus(ANSWER_TIMEOUT_MS);
        }
        match (write, done) {
            (Write::Answered, Some(revision)) => {
                let version = ResourceVersion(revision);
                self.views[node].on_written(version, spec, began, self.now);
            }
            _ => {
                self.views[node].on_write_failed();
                self.look_for(node, &spec, began);
            }
        }
    }

    /// After a write without an answer: if the store holds just what was
    /// written, the write was done, and not before it `began`.
    fn look_for(&mut self, node: usize, spec: &LeaseSpec, began: Millis) {
        let stored = self.store.stored.clone();
        match stored.filter(|(_, stored)| stored == spec) {
            Some((revision, spec)) => {
                let version = ResourceVersion(revision);
                self.views[node].on_written(version, spec, began, self.now);
            }
            None => self.look(node),
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        self.store.catch_up(self.now);
        match action {
            Action::Keep(write) => self.keep(node, write),
            Action::Look => self.look(node),
            Action::Order => {
                if let Some(token) = self.views[node].token(self.now) {
                    assert!(!self.refused.contains(&token), "a refused token again");
                    self.orders.push((self.now, node, token));
                }
            }
            Action::Refused => {
                if let Some(token) = self.views[node].token(self.now) {
                    self.views[node].on_token_refused(token, self.now);
                    self.refused.push(token);
                }
            }
            Action::Restart => self.views[node] = self.new_view(node),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for pair in self.orders.windows(2) {
            let (earlier, machine, token) = pair[0];
            let (later, next_machine, next_token) = pair[1];
            prop_assert!(next_token >= token, "a token fell: {:?}", pair);
            if machine != next_machine {
                prop_assert!(next_token > token, "one token, two machines: {:?}", pair);
                let gap = later.since(earlier);
                prop_assert!(gap >= LEASE_BOUND_MS, "turns within {gap} ms: {:?}", pair);
            }
        }
        Ok(())
    }
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => Just(Write::Answered),
        1 => Just(Write::AnswerLost),
        1 => Just(Write::NotDone),
        1 => (100u64..6_000).prop_map(Write::DoneAfter),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => write().prop_map(Action::Keep),
        2 => Just(Action::Look),
        6 => Just(Action::Order),
        1 => Just(Action::Refused),
        1 => Just(Action::Restart),
    ]
}

/// Pauses near the durations at which something lapses.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0u64..300,
        2 => 300u64..1_100,
        1 => 1_900u64..2_200,
        1 => 3_000u64..4_300,
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn orders_of_two_machines_are_never_near(
        schedule in prop::collection::vec((pause(), 0..NODES, action()), 1..120),
    ) {
        let mut world = World::new();
        for (pause, node, action) in schedule {
            world.now = world.now.plus(pause);
            world.act(node, action);
        }
        world.check()?;
    }
}

#[test]
fn a_write_that_is_found_done_counts_from_its_beginning() {
    let mut world = World::new();
    let began = world.now;
    world.act(0, Action::Keep(Write::AnswerLost));
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
    world.now = began.plus(TIMING.stop_acting_after_ms);
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn a_holder_that_renews_goes_on_and_a_successor_follows_it() {
    let mut world = World::new();
    for _ in 0..10 {
        world.act(0, Action::Keep(Write::Answered));
        world.act(0, Action::Order);
        world.act(1, Action::Look);
        world.now = world.now.plus(400);
    }
    assert_eq!(world.orders.len(), 10);
    for _ in 0..12 {
        world.now = world.now.plus(400);
        world.act(1, Action::Keep(Write::Answered));
        world.act(1, Action::Order);
    }
    assert_eq!(world.orders.last().map(|order| order.1), Some(1));
    world.check().expect("the orders");
}

#[test]
fn a_renewal_on_its_way_does_not_revive_a_refused_token() {
    let mut world = World::new();
    world.act(0, Action::Keep(Write::Answered));
    world.now = world.now.plus(TIMING.renew_after_ms);
    let LeaseStep::Write {
        version,
        spec,
        began,
    } = world.views[0].step(true, 99, world.now)
    else {
        panic!("a renewal was due");
    };
    let refused = world.views[0].token(world.now).expect("a token");
    world.views[0].on_token_refused(refused, world.now);
    let revision = world.store.put(version.0, spec.clone()).expect("stored");
    world.views[0].on_written(ResourceVersion(revision), spec, began, world.now);
    assert_eq!(world.views[0].token(world.now), None);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, Action::Keep(Write::Answered));
    assert_eq!(world.views[0].token(world.now), Some(refused + 1));
}

#[test]
fn a_holder_that_was_overtaken_conflicts_and_waits() {
    let mut world = World::new();
    world.act(0, Action::Keep(Write::Answered));
    world.act(1, Action::Look);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(1, Action::Keep(Write::Answered));
    let successor = world.views[1].token(world.now).expect("a token");
    world.views[0].on_token_refused(successor - 1, world.now);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, Action::Keep(Write::Answered));
    assert_eq!(world.views[0].token(world.now), None);
    assert_eq!(world.views[1].token(world.now), Some(successor));
}
