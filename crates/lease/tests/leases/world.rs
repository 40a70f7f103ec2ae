//! A simulation of nodes and a store in virtual time.

use ploverlift_lease::{FencingToken, LeaseStep, LeaseTiming, LeaseView, LeaseWrite, StoredLease};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion, StoreEra};
use ploverlift_policy::store_revision::StoreRevision;

/// Minimum time between orders of two different nodes, in milliseconds.
pub const LEASE_BOUND_MS: u64 = 3_000;
/// Time-out of a node's wait for the answer to a write, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 450;
pub const TIMING: LeaseTiming = LeaseTiming {
    duration_ms: 4_200,
    renew_after_ms: 400,
    stop_acting_after_ms: 1_000,
};

/// The outcome of a write.
#[derive(Clone, Copy, Debug)]
pub enum Write {
    Answered,
    AnswerLost,
    NotApplied,
    AppliedAfter(u64),
}

/// An action in the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// The node renews or takes the lease if its view allows it.
    RenewOrTake(Write),
    /// The node reads the lease.
    Read,
    /// The node gives an order if its view allows it.
    Order,
    /// An engine refuses the node's current token.
    RefuseToken,
    /// The node's process restarts.
    Restart,
    /// The node receives the announcement of the next node, if that one holds the lease.
    ReceiveAnnouncement,
    /// The store is copied.
    CopyStore,
    /// The store is restored from the last copy.
    RestoreStore,
    /// The store is restored without the lease.
    LoseLease,
}

/// A lease as stored, with the number of the write.
#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    lease: StoredLease,
}

#[derive(Clone, Debug, Default)]
struct StoreCopy {
    number: u64,
    entry: Option<Entry>,
}

/// A write that is applied later if its condition still holds.
#[derive(Clone, Debug)]
struct LateWrite {
    at: Millis,
    condition: u64,
    lease: StoredLease,
}

#[derive(Clone, Debug)]
struct Store {
    era: StoreEra,
    reports_era: bool,
    number: u64,
    entry: Option<Entry>,
    copy: StoreCopy,
    late: Vec<LateWrite>,
}

impl Store {
    /// Stores a lease if the number of the last write is still the expected one. Conditions do
    /// not include the era, so a number that is assigned again after a restoration matches.
    fn put(&mut self, condition: u64, lease: StoredLease) -> Option<StoredLease> {
        let known = self.entry.as_ref().map_or(0, |entry| entry.number);
        if known != condition {
            return None;
        }
        self.number += 1;
        let number = self.number;
        self.entry = Some(Entry { number, lease });
        self.read()
    }

    /// The lease, with the version that clients receive.
    fn read(&self) -> Option<StoredLease> {
        let entry = self.entry.as_ref()?;
        let revision = StoreRevision {
            era: self.reported_era(),
            number: entry.number,
        };
        Some(StoredLease {
            version: ResourceVersion(revision.packed()),
            ..entry.lease.clone()
        })
    }

    fn reported_era(&self) -> StoreEra {
        match self.reports_era {
            true => self.era,
            false => StoreEra(0),
        }
    }

    fn restore(&mut self) {
        self.number = self.copy.number;
        self.entry = self.copy.entry.clone();
        self.era.0 += 1;
    }

    fn lose_lease(&mut self) {
        self.entry = None;
        self.era.0 += 1;
    }

    /// Applies the late writes that are due, if their condition still holds.
    fn apply_due_writes(&mut self, now: Millis) {
        let late = std::mem::take(&mut self.late).into_iter();
        let (due, later) = late.partition(|write| write.at <= now);
        self.late = later;
        let due: Vec<LateWrite> = due;
        for write in due {
            self.put(write.condition, write.lease);
        }
    }
}

/// An order as received by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    pub at: Millis,
    pub node: usize,
    pub token: FencingToken,
}

/// Number of violations of each rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    pub shared_tokens: usize,
    pub decreased_tokens: usize,
    pub early_handovers: usize,
    /// Orders under a token that an engine had refused.
    pub refused_tokens: usize,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now: Millis,
    store: Store,
    pub views: Vec<LeaseView>,
    lives: u64,
    pub orders: Vec<Order>,
    refused: Vec<FencingToken>,
    orders_after_refusal: usize,
}

impl World {
    pub fn new(nodes: usize, reports_era: bool) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            store: Store {
                era: StoreEra(1),
                reports_era,
                number: 0,
                entry: None,
                copy: StoreCopy::default(),
                late: Vec::new(),
            },
            views: Vec::new(),
            lives: 0,
            orders: Vec::new(),
            refused: Vec::new(),
            orders_after_refusal: 0,
        };
        for node in 0..nodes {
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

    pub fn read_lease(&mut self, node: usize) {
        let (stored, era) = (self.store.read(), self.store.reported_era());
        self.views[node].on_read(stored, era, self.now);
    }

    fn renew_or_take(&mut self, node: usize, write: Write) {
        if self.views[node].is_unread() {
            self.read_lease(node);
        }
        // The wall-clock field of the lease only distinguishes one write from another.
        self.lives += 1;
        let step = self.views[node].step(true, self.lives, self.now);
        let LeaseStep::Write(started) = step else {
            return;
        };
        let condition = StoreRevision::of_packed(started.condition.0).number;
        let applied = match write {
            Write::Answered | Write::AnswerLost => self.store.put(condition, started.lease.clone()),
            Write::NotApplied => None,
            Write::AppliedAfter(delay) => {
                self.store.late.push(LateWrite {
                    at: self.now.plus(delay),
                    condition,
                    lease: started.lease.clone(),
                });
                None
            }
        };
        if !matches!(write, Write::Answered) {
            self.now = self.now.plus(ANSWER_TIMEOUT_MS);
        }
        match (write, applied) {
            (Write::Answered, Some(stored)) => self.record_written(node, stored, started.began),
            _ => {
                self.views[node].on_write_failed();
                self.confirm_write(node, &started);
            }
        }
    }

    fn record_written(&mut self, node: usize, stored: StoredLease, began: Millis) {
        let era = self.store.reported_era();
        self.views[node].on_written(stored, began, era, self.now);
    }

    /// Reads the lease after a write without an answer. If the store holds exactly what was
    /// written, the write was applied, and not before it started.
    fn confirm_write(&mut self, node: usize, started: &LeaseWrite) {
        let confirmed = self
            .store
            .read()
            .filter(|stored| stored.spec == started.lease.spec && stored.era == started.lease.era);
        match confirmed {
            Some(stored) => self.record_written(node, stored, started.began),
            None => self.read_lease(node),
        }
    }

    /// Passes on the token of the next node, if that one holds the lease.
    fn receive_announcement(&mut self, node: usize) {
        let next = (node + 1) % self.views.len();
        let era = self.store.reported_era();
        let token = self.views[next].token(self.now);
        let view = &mut self.views[node];
        view.on_era(era, self.now);
        if let Some(token) = token {
            view.on_holder_announced(token, self.now);
        }
    }

    pub fn act(&mut self, node: usize, action: Action) {
        self.store.apply_due_writes(self.now);
        match action {
            Action::RenewOrTake(write) => self.renew_or_take(node, write),
            Action::Read => self.read_lease(node),
            Action::Order => self.order(node),
            Action::RefuseToken => {
                if let Some(token) = self.views[node].token(self.now) {
                    self.views[node].on_token_refused(token, self.now);
                    self.refused.push(token);
                }
            }
            Action::Restart => self.views[node] = self.new_view(node),
            Action::ReceiveAnnouncement => self.receive_announcement(node),
            Action::CopyStore => {
                self.store.copy = StoreCopy {
                    number: self.store.number,
                    entry: self.store.entry.clone(),
                };
            }
            Action::RestoreStore => self.store.restore(),
            Action::LoseLease => self.store.lose_lease(),
        }
    }

    fn order(&mut self, node: usize) {
        let Some(token) = self.views[node].token(self.now) else {
            return;
        };
        self.orders_after_refusal += usize::from(self.refused.contains(&token));
        let at = self.now;
        self.orders.push(Order { at, node, token });
    }

    /// The violations by all orders so far.
    pub fn violations(&self) -> Violations {
        let mut violations = Violations {
            refused_tokens: self.orders_after_refusal,
            ..Violations::default()
        };
        for (index, order) in self.orders.iter().enumerate() {
            let earlier = &self.orders[..index];
            let shares = |other: &&Order| other.token == order.token && other.node != order.node;
            violations.shared_tokens += earlier.iter().filter(shares).count().min(1);
            let Some(before) = earlier.last() else {
                continue;
            };
            violations.decreased_tokens += usize::from(order.token < before.token);
            let is_handover = order.node != before.node;
            let is_early = is_handover && order.at.since(before.at) < LEASE_BOUND_MS;
            violations.early_handovers += usize::from(is_early);
        }
        violations
    }
}
