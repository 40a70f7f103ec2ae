//! This node's part in the lease under which orders are given.

use super::lease_document::{LeaseDocument, LEASE_NAME};
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::StoreClient;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_cluster::lease::{LeaseStep, LeaseTiming, LeaseView};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion};
use ploverlift_policy::objects::LeaseSpec;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// The holder stops acting when its last renewal is so old, in milliseconds.
const STOP_ACTING_AFTER_MS: u64 = 1_000;
/// The holder renews when its last renewal is so old, in milliseconds.
const RENEW_AFTER_MS: u64 = 400;
/// Added to the bound between two holders, in milliseconds.
const MARGIN_MS: u64 = 200;
/// Time between two looks at another node's lease, in milliseconds. Its watch
/// tells changes sooner; a look finds what a watch has missed.
const LOOK_PERIOD_MS: u64 = 1_500;
/// Longest wait for an answer to a call on the lease, in milliseconds. A write
/// that takes longer would leave little of the lease.
const CALL_TIMEOUT_MS: u64 = 450;

/// Holds the lease, or waits for it.
pub struct LeaseHolder {
    gateway: Arc<Gateway>,
    name: String,
    view: Mutex<LeaseView>,
    io: smol::lock::Mutex<LeaseIo>,
    announced: Mutex<Vec<InstanceId>>,
}

struct LeaseIo {
    client: StoreClient,
    looked_at: Option<Millis>,
}

impl LeaseHolder {
    /// A node that has not seen the lease.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        let settings = gateway.settings();
        let timing = LeaseTiming {
            duration_ms: settings.bounds.lease_ms + STOP_ACTING_AFTER_MS + MARGIN_MS,
            renew_after_ms: RENEW_AFTER_MS,
            stop_acting_after_ms: STOP_ACTING_AFTER_MS,
        };
        let name = settings.node.name.clone();
        let view = LeaseView::with_timing(NodeName(name.clone()), unix_ms(), timing);
        Self {
            gateway: Arc::clone(gateway),
            name,
            view: Mutex::new(view),
            io: smol::lock::Mutex::new(LeaseIo {
                client: StoreClient::with_timeout(gateway, CALL_TIMEOUT_MS),
                looked_at: None,
            }),
            announced: Mutex::new(Vec::new()),
        }
    }

    fn announced(&self) -> MutexGuard<'_, Vec<InstanceId>> {
        let announced = self.announced.lock();
        announced.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn view(&self) -> MutexGuard<'_, LeaseView> {
        let view = self.view.lock();
        view.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The holder's name in orders.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The fencing token, while this node may give orders.
    pub fn token(&self) -> Option<u64> {
        self.view().token(self.gateway.clock.now())
    }

    /// Whether this node was the last holder that it knows of.
    pub fn is_own(&self) -> bool {
        self.view().is_own_lease()
    }

    /// Reads the lease unless it was read lately: the time after which it counts
    /// as expired runs from when it was first seen.
    pub async fn observe_once(&self) {
        let now = self.gateway.clock.now();
        let mut io = self.io.lock().await;
        if io.looked_at.is_none() {
            io.looked_at = Some(now);
            self.look(&mut io).await;
        }
    }

    /// There is nothing to do: the next time there is, the lease is read anew.
    pub fn rest(&self) {
        if let Some(mut io) = self.io.try_lock() {
            io.looked_at = None;
        }
    }

    /// Renews the lease or asks for it; tells whether orders may be given. Other
    /// nodes are told to send nothing new to the engines in `loading`.
    pub async fn keep(&self, loading: Vec<InstanceId>) -> bool {
        let mut io = self.io.lock().await;
        let is_news = self.token().is_some() && *self.announced() != loading;
        *self.announced() = loading;
        if !self.is_own() {
            let now = self.gateway.clock.now();
            let looked = io.looked_at;
            if looked.is_none_or(|looked| now.since(looked) >= LOOK_PERIOD_MS) {
                io.looked_at = Some(now);
                self.look(&mut io).await;
            }
        }
        let now = self.gateway.clock.now();
        let step = match is_news {
            true => self.view().renew_early(unix_ms(), now),
            false => self.view().step(true, unix_ms(), now),
        };
        if let LeaseStep::Write {
            version,
            spec,
            began,
        } = step
        {
            self.write(&mut io, version, spec, began).await;
        }
        self.token().is_some()
    }

    async fn look(&self, io: &mut LeaseIo) {
        match io.client.get(StoreKind::Leases, LEASE_NAME).await {
            Ok(Some(object)) => self.see(&object),
            Ok(None) => {}
            Err(error) => {
                slog::debug!(self.gateway.log, "lease not read"; "error" => error.to_string());
            }
        }
    }

    /// Takes in the lease as it was read or watched.
    pub fn see(&self, object: &StoreObject) {
        if let Ok(document) = serde_json::from_value::<LeaseDocument>(object.content.clone()) {
            let now = self.gateway.clock.now();
            let version = ResourceVersion(object.revision);
            self.view().on_seen(version, document.lease, now);
        }
    }

    async fn write(
        &self,
        io: &mut LeaseIo,
        version: ResourceVersion,
        spec: LeaseSpec,
        began: Millis,
    ) {
        let had_token = self.token();
        let document = LeaseDocument {
            lease: spec.clone(),
            loading: self
                .announced()
                .iter()
                .map(|engine| engine.0.clone())
                .collect(),
        };
        let content = serde_json::to_value(&document).unwrap_or_default();
        let written = io
            .client
            .compare_and_set(StoreKind::Leases, LEASE_NAME, version.0, content)
            .await;
        match written {
            Ok(object) => {
                let now = self.gateway.clock.now();
                let token = spec.fencing_token;
                let version = ResourceVersion(object.revision);
                self.view().on_written(version, spec, began, now);
                if had_token != Some(token) {
                    slog::info!(self.gateway.log, "lease taken";
                        "token" => token, "revision" => object.revision);
                }
            }
            Err(StoreError::Conflict { current }) => {
                slog::info!(self.gateway.log, "lease not written"; "error" => "conflict");
                self.view().on_write_failed();
                match current {
                    Some(current) => self.see(&current),
                    None => self.look(io).await,
                }
            }
            Err(error) => {
                slog::info!(self.gateway.log, "lease not written"; "error" => error.to_string());
                self.view().on_write_failed();
                self.look_for(io, &spec, began).await;
            }
        }
    }

    /// After a write without an answer: if the store holds just what was
    /// written, the write was done, and not before it `began`.
    async fn look_for(&self, io: &mut LeaseIo, spec: &LeaseSpec, began: Millis) {
        let Ok(Some(object)) = io.client.get(StoreKind::Leases, LEASE_NAME).await else {
            return;
        };
        let document = serde_json::from_value::<LeaseDocument>(object.content.clone());
        if !document.is_ok_and(|document| document.lease == *spec) {
            return self.see(&object);
        }
        let now = self.gateway.clock.now();
        let version = ResourceVersion(object.revision);
        self.view().on_written(version, spec.clone(), began, now);
        slog::info!(self.gateway.log, "lease found written"; "revision" => object.revision);
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
