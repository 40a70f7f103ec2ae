//! The roll-out of new weights over a pool's engines: a few at a time, never
//! more than the pool allows, and stopped or turned back by a change of the
//! pool's wanted version.
//!
//! A new holder of the lease first makes its fencing token known to every
//! engine of the pool; only then does it give its first order. So a late order
//! of an earlier, paused holder is refused everywhere.

use ploverlift_policy::fleet::{EngineKey, Fleet, Health};
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

/// Orders under way, as the present holder gave them.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    token: u64,
    fenced: BTreeSet<EngineKey>,
    ordered: BTreeMap<EngineKey, (u64, Millis)>,
}

impl Rollout {
    /// An engine has taken in the token.
    pub fn on_fenced(&mut self, engine: EngineKey, fencing_token: u64) {
        if self.token == fencing_token {
            self.fenced.insert(engine);
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
            .retain(|_, (_, ordered_at)| now.since(*ordered_at) < ORDER_TIMEOUT_MS);
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
            let done = engine.weights.0 == wanted && engine.health != Health::Loading;
            if done {
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
                self.ordered.insert(engine.key, (wanted, now));
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
