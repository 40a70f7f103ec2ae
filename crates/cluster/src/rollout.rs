//! The roll-out of new weights over a pool's engines: a few at a time, never
//! more than the pool allows, and stopped or turned back by a change of the
//! pool's wanted version.
//!
//! A new holder of the lease first makes its fencing token known to every
//! engine of the pool; only then does it give its first order. So a late order
//! of an earlier, paused holder is refused everywhere.

use ploverlift_policy::fleet::{Engine, EngineKey, Fleet, Health};
use ploverlift_policy::ids::{Incarnation, Millis};
use ploverlift_policy::objects::MachineRole;
use ploverlift_policy::snapshot::Pool;
use std::collections::{BTreeMap, BTreeSet};

/// An order whose engine shows no effect is given again after this time, in milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 10_000;

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub engine: EngineKey,
    /// The weights to load; nothing for an order that only makes the token known.
    pub weights: Option<u64>,
    /// Token of the lease under which the order is given.
    pub fencing_token: u64,
}

/// What is observed of an engine is at most this old, in milliseconds.
const OBSERVATION_LAG_MS: u64 = 1_500;

/// Orders under way, as the present holder gave them.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    token: u64,
    fenced: BTreeSet<EngineKey>,
    ordered: BTreeMap<EngineKey, Ordered>,
}

/// An order whose effect was not observed yet.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    /// The weights ordered; nothing for an order of an earlier holder.
    weights: Option<u64>,
    at: Millis,
}

impl Ordered {
    /// Whether the engine shows the effect. That the engine has the weights
    /// wanted *now* is no sign: the wish may have changed, and what is observed
    /// may be from before the order.
    fn is_done(&self, engine: &Engine, now: Millis) -> bool {
        let ready = engine.health == Health::Ready;
        match self.weights {
            Some(weights) => ready && engine.weights.0 == weights,
            None => ready && now.since(self.at) >= OBSERVATION_LAG_MS,
        }
    }
}

impl Rollout {
    /// An engine has taken in the token, and says whether it is loading by an
    /// order of an earlier holder.
    pub fn on_fenced(&mut self, engine: EngineKey, fencing_token: u64, loading: bool, now: Millis) {
        if self.token == fencing_token && self.fenced.insert(engine) && loading {
            let ordered = Ordered {
                weights: None,
                at: now,
            };
            self.ordered.insert(engine, ordered);
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
        let wanted = pool.spec.weights_version;
        if wanted == 0 {
            return Vec::new();
        }
        if self.token != fencing_token {
            self.token = fencing_token;
            self.fenced.clear();
            self.ordered.clear();
        }
        self.ordered
            .retain(|_, ordered| now.since(ordered.at) < ORDER_TIMEOUT_MS);
        let engines: Vec<_> = fleet
            .iter()
            .map(|(_, engine)| engine)
            .filter(|engine| engine.role == MachineRole::Engine)
            .filter(|engine| pool.spec.selector.matches(&engine.labels))
            .collect();
        let unfenced: Vec<LoadOrder> = engines
            .iter()
            .filter(|engine| engine.health != Health::Dead)
            .filter(|engine| !self.fenced.contains(&engine.key))
            .map(|engine| LoadOrder {
                engine: engine.key,
                weights: None,
                fencing_token,
            })
            .collect();
        if !unfenced.is_empty() {
            return unfenced;
        }
        for engine in &engines {
            let ordered = self.ordered.get(&engine.key);
            if ordered.is_some_and(|ordered| ordered.is_done(engine, now)) {
                self.ordered.remove(&engine.key);
            }
        }
        let busy = engines.iter().filter(|engine| {
            engine.health == Health::Loading || self.ordered.contains_key(&engine.key)
        });
        let free = (pool.spec.max_concurrent_loads as usize).saturating_sub(busy.count());
        let mut orders = Vec::new();
        for engine in &engines {
            let observed = engine.incarnation != Incarnation(0);
            let outdated = engine.weights.0 != wanted && engine.health == Health::Ready;
            if orders.len() < free
                && observed
                && outdated
                && !self.ordered.contains_key(&engine.key)
            {
                let ordered = Ordered {
                    weights: Some(wanted),
                    at: now,
                };
                self.ordered.insert(engine.key, ordered);
                orders.push(LoadOrder {
                    engine: engine.key,
                    weights: Some(wanted),
                    fencing_token,
                });
            }
        }
        orders
    }
}
