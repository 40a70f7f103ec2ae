//! The lease for orders to engines, and the orders.

use super::*;

impl World {
    pub(super) fn step_lease(&mut self, node: usize) {
        let now = self.node_now(node);
        let unix = self.now;
        let wants_lease = self.target_weights(node) != 0;
        let step = self.nodes[node].lease.step(wants_lease, unix, now);
        if let LeaseStep::Write(write) = step {
            let (spec, began) = (write.lease.spec, write.began);
            let mut object = Object::new(Kind::Lease, ORDERS_LEASE, Labels::default(), spec);
            object.metadata.resource_version = write.condition;
            let answer = self.platform.put(object);
            let life = self.nodes[node].life;
            self.at(
                2,
                SimEvent::LeaseStored {
                    node,
                    life,
                    began,
                    answer,
                },
            );
        }
        self.send_orders(node);
    }

    pub(super) fn lease_stored(
        &mut self,
        node: usize,
        life: u64,
        began: Millis,
        answer: WriteAnswer,
    ) {
        if !self.is_current_life(node, life) {
            return;
        }
        let now = self.node_now(node);
        self.log_event(|| format!("node-{node} wrote the lease: {answer:?}"));
        match answer {
            WriteAnswer::Stored(object) => {
                if let Ok(spec) = object.typed::<LeaseSpec>() {
                    let version = object.metadata.resource_version;
                    let era = OBJECT_API_ERA;
                    let written = StoredLease { version, spec, era };
                    let lease = &mut self.nodes[node].lease;
                    lease.on_written(written, began, era, now);
                }
            }
            WriteAnswer::Conflict | WriteAnswer::Lost | WriteAnswer::Unreachable => {
                self.nodes[node].lease.on_write_failed();
            }
        }
    }

    pub(super) fn target_weights(&self, node: usize) -> u64 {
        let core = self.nodes[node].core.as_ref();
        let snapshot = core.map(|core| Arc::clone(&core.router.snapshot));
        let pool = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.pool("fixit"));
        pool.map_or(0, |pool| pool.spec.weights_version)
    }

    pub(super) fn send_orders(&mut self, number: usize) {
        let now = self.node_now(number);
        let node = &mut self.nodes[number];
        let (Some(token), Some(core)) = (node.lease.token(now), &node.core) else {
            return;
        };
        let Some(pool) = core.router.snapshot.pool("fixit") else {
            return;
        };
        let orders = node.rollout.orders(pool, &core.router.fleet, token.0, now);
        let life = node.life;
        for order in orders {
            let delay = self.random.u64(..ORDER_DELAY_MS);
            self.at(
                delay,
                SimEvent::OrderSent {
                    node: number,
                    life,
                    order,
                },
            );
        }
    }

    pub(super) fn order_arrives(&mut self, node: usize, life: u64, order: LoadOrder) {
        let Some(engine) = self
            .engines
            .iter()
            .position(|known| known.key == order.engine)
        else {
            return;
        };
        let connected = self
            .network
            .connected(&self.nodes[node].zone, &self.engines[engine].zone);
        if !connected || !self.engines[engine].alive {
            return;
        }
        let known = &mut self.engines[engine];
        if order.fencing_token < known.fencing_token && !self.mutations.engines_ignore_tokens {
            return;
        }
        known.fencing_token = known.fencing_token.max(order.fencing_token);
        self.log_event(|| format!("engine-{engine} accepted {order:?} from node-{node}"));
        let known = &mut self.engines[engine];
        let is_loading = known.loading_until > self.now;
        let (answer, delay) = match order.weights {
            None if is_loading => (OrderAnswer::Loading, 1),
            None => (OrderAnswer::Idle, 1),
            Some(weights) if known.weights.0 == weights && !is_loading => (OrderAnswer::Loaded, 1),
            Some(weights) => {
                known.loading_until = self.now + LOAD_MS;
                known.change_weights(weights);
                self.check_concurrent_loads();
                (OrderAnswer::Loaded, LOAD_MS + 1)
            }
        };
        let answered = SimEvent::OrderAnswered {
            node,
            life,
            order,
            answer,
        };
        self.at(delay, answered);
    }

    pub(super) fn check_concurrent_loads(&mut self) {
        let now = self.now;
        let loading = self
            .engines
            .iter()
            .filter(|engine| engine.loading_until > now);
        let count = loading.count();
        if count > site::MAX_CONCURRENT_LOADS as usize {
            let what = format!("{count} engines load weights at the same time");
            self.oracle.record_violation(Promise::Orders, what);
        }
    }
}
