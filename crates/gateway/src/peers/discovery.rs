//! Discovery of nodes by records in the object store. A node that receives a report answers
//! with reports of its own, so it is enough that one of two nodes knows the other.

use super::address_book::{Capacity, ListedNode};
use crate::peers::roles::lists_at_start;
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::StoreClient;
use crate::time::sleep;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::ZoneName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between the first two lists, in milliseconds: nodes that start together are
/// missing from the first. It doubles with each list.
const FIRST_LIST_PERIOD_MS: u64 = 500;
/// Interval between two lists later on, in milliseconds.
const LIST_PERIOD_MS: u64 = 10_000;
/// Interval between two lists for each listed node, in milliseconds: the cost of lists for
/// a node stays the same however large the fleet is.
const LIST_PERIOD_PER_NODE_MS: u64 = 200;
/// Pause after a failed call of the store, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Record of a node in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where it receives reports.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Where it is asked for tunnels to engines; absent if it opens none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tunnels: Option<SocketAddr>,
    /// Its share of a core, in thousandths.
    #[serde(default)]
    pub cpu_thousandths: u32,
    /// The bandwidth of its link, in megabits a second.
    #[serde(default)]
    pub link_mbps: u32,
}

impl NodeRecord {
    /// The record of this node, which receives reports at `address` and requests for tunnels
    /// at `tunnels`.
    pub fn of(gateway: &Gateway, address: SocketAddr, tunnels: Option<SocketAddr>) -> Self {
        let node = &gateway.settings().node;
        Self {
            address,
            zone: node.zone.clone(),
            tunnels,
            cpu_thousandths: (node.cpu_cores * 1_000.0) as u32,
            link_mbps: node.link_mbps as u32,
        }
    }

    /// The node as the address book knows it.
    pub fn listed(&self, name: &str) -> ListedNode {
        ListedNode {
            id: PeerId::of(name),
            address: self.address,
            zone: ZoneTag::of(&ZoneName(self.zone.clone())),
            tunnels: self.tunnels,
            capacity: Capacity {
                cpu_thousandths: self.cpu_thousandths,
                link_mbps: self.link_mbps,
            },
        }
    }
}

/// Maintains this node's record and reads those of other nodes until the task is dropped.
pub async fn find_peers(gateway: Arc<Gateway>, own: NodeRecord) {
    let mut client = StoreClient::new(&gateway);
    let mut next_ms = FIRST_LIST_PERIOD_MS;
    loop {
        match refresh_nodes(&gateway, &mut client, &own).await {
            Ok(nodes) => {
                let period_ms = LIST_PERIOD_MS.max(LIST_PERIOD_PER_NODE_MS * nodes as u64);
                if knows_relays(&gateway) {
                    next_ms = period_ms;
                }
                sleep(next_ms.min(period_ms)).await;
                next_ms = next_ms.saturating_mul(2);
            }
            Err(error) => {
                slog::debug!(gateway.log, "list of nodes not read from the store"; "error" => error.to_string());
                client.reset();
                sleep(RETRY_MS + fastrand::u64(0..RETRY_MS)).await;
            }
        }
    }
}

/// Whether the relays are known. Other nodes, which this node need not know, may still be
/// missing.
fn knows_relays(gateway: &Gateway) -> bool {
    let needed = lists_at_start(gateway);
    let book = gateway.address_book();
    book.has_relays() && book.list_count() >= needed
}

/// Reads the nodes, and writes the record of this node where it is missing or outdated.
/// Returns the number of nodes.
async fn refresh_nodes(
    gateway: &Gateway,
    client: &mut StoreClient,
    own: &NodeRecord,
) -> Result<usize, StoreError> {
    let objects = client.list_stale(StoreKind::Nodes).await?;
    let name = &gateway.settings().node.name;
    let stored = objects.iter().find(|object| object.name == *name);
    if stored.and_then(read_record).as_ref() != Some(own) {
        let revision = stored.map_or(0, |object| object.revision);
        register(client, name, revision, own).await?;
    }
    let nodes: Vec<ListedNode> = objects
        .iter()
        .filter_map(|object| Some(read_record(object)?.listed(&object.name)))
        .collect();
    let now = gateway.clock.now();
    gateway.address_book().apply_list(&nodes, now);
    gateway.engine_signals_changed.notify(usize::MAX);
    Ok(nodes.len())
}

async fn register(
    client: &mut StoreClient,
    name: &str,
    revision: u64,
    own: &NodeRecord,
) -> Result<(), StoreError> {
    let content = serde_json::to_value(own).unwrap_or_default();
    let written = client.compare_and_set(StoreKind::Nodes, name, revision, content.clone());
    match written.await {
        // The list was stale: the store returns the current record.
        Err(StoreError::Conflict {
            current: Some(current),
        }) if read_record(&current).as_ref() != Some(own) => {
            let revision = current.revision;
            let written = client.compare_and_set(StoreKind::Nodes, name, revision, content);
            written.await.map(|_| ())
        }
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

fn read_record(object: &StoreObject) -> Option<NodeRecord> {
    serde_json::from_value(object.content.clone()).ok()
}
