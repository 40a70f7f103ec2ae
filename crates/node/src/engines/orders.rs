//! Orders to engines: this node's part in the lease, and the roll-out of
//! weights while it holds it.

use crate::engines::client::{state_without_answer, EngineCall};
use crate::platform::client::{PlatformClient, PlatformError};
use crate::state::Node;
use ploverlift_clock::unix_ms;
use ploverlift_cluster::config_store::Record;
use ploverlift_cluster::rollout::{LoadOrder, OrderAnswer, Rollout};
use ploverlift_lease::{FencingToken, LeaseStep, LeaseView, LeaseWrite, StoredLease};
use ploverlift_policy::ids::{RequestId, StoreEra};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, LeaseSpec, Object};
use serde_json::json;
use smol::Timer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trillium::Method;

/// Name of the lease.
pub const ORDERS_LEASE: &str = "orders";
/// The object API has no eras: it never comes back from a copy.
const OBJECT_API_ERA: StoreEra = StoreEra(0);
/// Path of an engine's listener for orders.
const ORDER_PATH: &str = "/admin/load";
/// Time between two steps.
const STEP_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for an engine to load.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

type Rollouts = Arc<Mutex<BTreeMap<String, Rollout>>>;

/// Takes part in the lease and gives orders, until the task is dropped.
pub async fn give_orders(node: Arc<Node>, platform: PlatformClient) {
    let life = node.core().members.own().life;
    let mut lease = LeaseView::new(node.name.clone(), life);
    let rollouts = Rollouts::default();
    loop {
        Timer::after(STEP_PERIOD).await;
        note_stored_lease(&node, &mut lease);
        let wants = wants_lease(&node);
        let step = lease.step(wants, unix_ms(), node.clock.now());
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Write(write) => write_lease(&node, &platform, &mut lease, write).await,
            LeaseStep::NoTokenLeft => {
                slog::error!(node.log, "no fencing token is left";
                    "highest" => lease.highest_token().0);
            }
        }
        if let Some(token) = lease.token(node.clock.now()) {
            give_due_orders(&node, &rollouts, token);
        }
    }
}

/// Readers of the object API are candidates while any pool wants certain weights.
fn wants_lease(node: &Node) -> bool {
    let core = node.core();
    let pools = Arc::clone(&core.router.snapshot.pools);
    let wanted = pools.iter().any(|pool| pool.spec.weights_version != 0);
    wanted && core.is_reader(node.clock.now())
}

fn note_stored_lease(node: &Node, lease: &mut LeaseView) {
    let stored = node
        .core()
        .config
        .store
        .get(Kind::Lease, ORDERS_LEASE)
        .cloned();
    let now = node.clock.now();
    let Some(stored) = stored else {
        if lease.is_unread() {
            lease.on_read(None, OBJECT_API_ERA, now);
        }
        return;
    };
    let version = stored.metadata.resource_version;
    // Copies of objects come from several nodes, so an older one may come late.
    if lease
        .observed_lease()
        .is_some_and(|known| known.version >= version)
    {
        return;
    }
    if let Ok(spec) = stored.typed::<LeaseSpec>() {
        let era = OBJECT_API_ERA;
        let stored = StoredLease { version, spec, era };
        lease.on_read(Some(stored), era, now);
    }
}

async fn write_lease(
    node: &Node,
    platform: &PlatformClient,
    lease: &mut LeaseView,
    write: LeaseWrite,
) {
    let spec = write.lease.spec.clone();
    let mut object = Object::new(Kind::Lease, ORDERS_LEASE, Labels::default(), spec);
    object.metadata.resource_version = write.condition;
    match platform.put(&object).await {
        Ok(stored) => {
            let now = node.clock.now();
            let written = StoredLease {
                version: stored.metadata.resource_version,
                ..write.lease
            };
            lease.on_written(written, write.began, OBJECT_API_ERA, now);
            node.with_core(|core, now| core.apply_records(vec![Record::stored(stored)], now));
        }
        Err(PlatformError::NoAnswer { .. }) => lease.on_write_failed(),
        Err(error) => {
            slog::debug!(node.log, "lease not stored"; "error" => error.to_string());
            lease.on_write_failed();
        }
    }
}

fn give_due_orders(node: &Arc<Node>, rollouts: &Rollouts, token: FencingToken) {
    let now = node.clock.now();
    let core = node.core();
    let pools = Arc::clone(&core.router.snapshot.pools);
    let Ok(mut rollouts_now) = rollouts.lock() else {
        return;
    };
    for pool in pools.iter() {
        let rollout = rollouts_now.entry(pool.name.clone()).or_default();
        for order in rollout.orders(pool, &core.router.fleet, token.0, now) {
            let Some(index) = core.router.fleet.find(order.engine) else {
                continue;
            };
            let address = core.router.fleet.get(index).address;
            let sending = send(
                Arc::clone(node),
                Arc::clone(rollouts),
                pool.name.clone(),
                order,
                address,
            );
            smol::spawn(sending).detach();
        }
    }
}

async fn send(
    node: Arc<Node>,
    rollouts: Rollouts,
    pool: String,
    order: LoadOrder,
    address: SocketAddr,
) {
    let Some(answer) = call(&node, &order, address).await else {
        return;
    };
    if let Ok(mut rollouts) = rollouts.lock() {
        if let Some(rollout) = rollouts.get_mut(&pool) {
            rollout.on_answer(order.engine, order.fencing_token, answer, node.clock.now());
        }
    }
}

async fn call(node: &Node, order: &LoadOrder, address: SocketAddr) -> Option<OrderAnswer> {
    let body = json!({
        "fencingToken": order.fencing_token,
        "weightsVersion": order.weights.unwrap_or(0),
    });
    let call = EngineCall {
        address,
        method: Method::Post,
        path: ORDER_PATH.to_owned(),
        request_id: RequestId(format!(
            "order-{}-{:x}",
            order.fencing_token, order.engine.0
        )),
        content_type: "application/json".to_owned(),
        body: Arc::new(body.to_string().into_bytes()),
        resume_from: 0,
        relies_on: None,
    };
    let sent = Arc::new(AtomicBool::new(false));
    let answered = async {
        let mut answer = call.send(&sent).await.ok()?;
        let text = answer.read_whole().await.ok()?;
        answer.status.is_success().then_some(text)
    };
    let timeout = async {
        Timer::after(ORDER_TIMEOUT).await;
        None
    };
    let text = futures_lite::future::or(answered, timeout).await;
    let Some(text) = text else {
        slog::info!(node.log, "order not taken";
            "engine" => address.to_string(),
            "state" => format!("{:?}", state_without_answer(&sent)));
        return None;
    };
    match text.as_slice() {
        b"loading\n" => Some(OrderAnswer::Loading),
        b"idle\n" => Some(OrderAnswer::Idle),
        _ => Some(OrderAnswer::Loaded),
    }
}
