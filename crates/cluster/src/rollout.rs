//! The rollout of new weights over a pool's engines: a few at a time, never
//! more than the pool allows, and stopped or rolled back by a change of the
//! pool's wanted version.
//!
//! A new lease holder first makes its fencing token known to every engine of
//! the pool; only then does it give its first order. Therefore a late order of
//! an earlier, paused holder is refused everywhere.

use ploverlift_policy::fleet::{Engine, EngineKey, Fleet, Health};
use ploverlift_policy::ids::{Incarnation, Millis};
use ploverlift_policy::objects::MachineRole;
use ploverlift_policy::snapshot::Pool;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an order without an observed effect is given again, in
/// milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 10_000;
/// Maximum age of an observation of an engine, in milliseconds.
const OBSERVATION_LAG_MS: u64 = 1_500;

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub engine: EngineKey,
    /// The weights to load; `None` for an order that only makes the token
    /// known.
    pub weights: Option<u64>,
    /// Token of the lease under which the order is given.
    pub fencing_token: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has accepted the token and loads nothing.
    Idle,
    /// The engine has accepted the token and is loading by an earlier order.
    Loading,
    /// The engine has loaded the ordered weights, or already had them.
    Loaded,
}

/// An order whose effect is not yet known.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    /// The ordered weights; `None` for an order of an earlier lease holder.
    weights: Option<u64>,
    at: Millis,
}

impl Ordered {
    /// Whether the engine shows the effect, for an order without an answer. An
    /// observation may be from before the order even when it shows the ordered
    /// weights: the engine may have had them once already.
    fn is_done(&self, engine: &Engine, now: Millis) -> bool {
        let observed_since = now.since(self.at) >= OBSERVATION_LAG_MS;
        let ready = engine.health == Health::Ready;
        let shown = self
            .weights
            .is_none_or(|weights| engine.weights.0 == weights);
        observed_since && ready && shown
    }
}

/// Orders in progress, as given by the present lease holder.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    token: u64,
    fenced: BTreeSet<EngineKey>,
    ordered: BTreeMap<EngineKey, Ordered>,
}

impl Rollout {
    /// Processes an engine's answer to an order that was given under
    /// `fencing_token`.
    pub fn on_answer(
        &mut self,
        engine: EngineKey,
        fencing_token: u64,
        answer: OrderAnswer,
        now: Millis,
    ) {
        if self.token != fencing_token {
            return;
        }
        let newly_fenced = self.fenced.insert(engine);
        match answer {
            OrderAnswer::Loaded => {
                self.ordered.remove(&engine);
            }
            OrderAnswer::Loading if newly_fenced => {
                let ordered = Ordered {
                    weights: None,
                    at: now,
                };
                self.ordered.insert(engine, ordered);
            }
            OrderAnswer::Loading | OrderAnswer::Idle => {}
        }
    }

    /// Orders to give now for one pool.
    pub fn orders(
        &mut self,
        pool: &Pool,
        fleet: &Fleet,
        fencing_token: u64,
        now: Millis,
    ) -> Vec<LoadOrder> {
        if pool.spec.weights_version == 0 {
            return Vec::new();
        }
        self.adopt_token(fencing_token);
        let engines = engines_of(pool, fleet);
        let unfenced = self.unfenced(&engines, fencing_token);
        if !unfenced.is_empty() {
            return unfenced;
        }
        self.remove_completed(&engines, now);
        self.next_loads(pool, &engines, fencing_token, now)
    }

    /// Discards all state when the token has changed: this node has just become
    /// the lease holder.
    fn adopt_token(&mut self, fencing_token: u64) {
        if self.token != fencing_token {
            self.token = fencing_token;
            self.fenced.clear();
            self.ordered.clear();
        }
    }

    /// Orders that only make the token known. Dead engines are not waited for.
    fn unfenced(&self, engines: &[&Engine], fencing_token: u64) -> Vec<LoadOrder> {
        let reachable = engines
            .iter()
            .filter(|engine| engine.health != Health::Dead);
        let unfenced = reachable.filter(|engine| !self.fenced.contains(&engine.key));
        unfenced
            .map(|engine| LoadOrder {
                engine: engine.key,
                weights: None,
                fencing_token,
            })
            .collect()
    }

    fn remove_completed(&mut self, engines: &[&Engine], now: Millis) {
        self.ordered
            .retain(|_, ordered| now.since(ordered.at) < ORDER_TIMEOUT_MS);
        for engine in engines {
            let ordered = self.ordered.get(&engine.key);
            if ordered.is_some_and(|ordered| ordered.is_done(engine, now)) {
                self.ordered.remove(&engine.key);
            }
        }
    }

    fn next_loads(
        &mut self,
        pool: &Pool,
        engines: &[&Engine],
        fencing_token: u64,
        now: Millis,
    ) -> Vec<LoadOrder> {
        let wanted = pool.spec.weights_version;
        let busy = engines.iter().filter(|engine| {
            engine.health == Health::Loading || self.ordered.contains_key(&engine.key)
        });
        let free = (pool.spec.max_concurrent_loads as usize).saturating_sub(busy.count());
        let outdated = engines.iter().filter(|engine| {
            let observed = engine.incarnation != Incarnation(0);
            observed && engine.health == Health::Ready && engine.weights.0 != wanted
        });
        let idle = outdated.filter(|engine| !self.ordered.contains_key(&engine.key));
        let next: Vec<EngineKey> = idle.take(free).map(|engine| engine.key).collect();
        for engine in &next {
            let ordered = Ordered {
                weights: Some(wanted),
                at: now,
            };
            self.ordered.insert(*engine, ordered);
        }
        let order = |engine| LoadOrder {
            engine,
            weights: Some(wanted),
            fencing_token,
        };
        next.into_iter().map(order).collect()
    }
}

fn engines_of<'a>(pool: &Pool, fleet: &'a Fleet) -> Vec<&'a Engine> {
    fleet
        .iter()
        .map(|(_, engine)| engine)
        .filter(|engine| engine.role == MachineRole::Engine)
        .filter(|engine| pool.spec.selector.matches(&engine.labels))
        .collect()
}
