//! This node's part in one lease.

use super::document::LeaseDocument;
use super::LeaseName;
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use crate::store::StoreClient;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_clock::unix_ms;
use ploverlift_cluster::lease::{LeaseStep, LeaseTiming, LeaseView};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion};
use ploverlift_policy::objects::LeaseSpec;
use std::sync::{Arc, Mutex, MutexGuard};

/// The holder stops acting when its last renewal is so old, in milliseconds.
const STOP_ACTING_AFTER_MS: u64 = 1_000;
/// The holder renews when its last renewal is so old, in milliseconds.
const RENEW_AFTER_MS: u64 = 400;
/// Added to the bound between two holders, in milliseconds.
const MARGIN_MS: u64 = 200;
/// Time between two looks at another node's lease, in milliseconds. Only nodes
/// that would succeed its holder look.
const LOOK_PERIOD_MS: u64 = 700;
/// Pause after a write that failed while this node does not hold the lease, in
/// milliseconds: a store that is away is not asked again and again.
const RETRY_MS: u64 = 250;
/// Longest wait for an answer to a call on the lease, in milliseconds. A write
/// that takes longer would leave little of the lease.
const CALL_TIMEOUT_MS: u64 = 450;

/// Holds the lease, or waits for it.
pub struct LeaseHolder {
    gateway: Arc<Gateway>,
    lease: LeaseName,
    name: String,
    view: Mutex<LeaseView>,
    io: smol::lock::Mutex<LeaseIo>,
}

struct LeaseIo {
    client: StoreClient,
    looked_at: Option<Millis>,
    failed_at: Option<Millis>,
}

impl LeaseHolder {
    /// A node that has not seen the lease.
    pub fn new(gateway: &Arc<Gateway>, lease: LeaseName) -> Self {
        let settings = gateway.settings();
        let timing = LeaseTiming {
            duration_ms: duration_ms(&settings),
            renew_after_ms: RENEW_AFTER_MS,
            stop_acting_after_ms: STOP_ACTING_AFTER_MS,
        };
        let name = settings.node.name.clone();
        let view = LeaseView::with_timing(NodeName(name.clone()), unix_ms(), timing);
        Self {
            gateway: Arc::clone(gateway),
            lease,
            name,
            view: Mutex::new(view),
            io: smol::lock::Mutex::new(LeaseIo {
                client: StoreClient::with_timeout(gateway, CALL_TIMEOUT_MS),
                looked_at: None,
                failed_at: None,
            }),
        }
    }

    fn view(&self) -> MutexGuard<'_, LeaseView> {
        let view = self.view.lock();
        view.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// This node's name as a holder.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The fencing token, while this node may act as the holder.
    pub fn token(&self) -> Option<u64> {
        self.view().token(self.gateway.clock.now())
    }

    /// An engine refused a token because it has seen a higher one.
    pub fn note_token_refused(&self, engine: &InstanceId, token: u64) {
        slog::warn!(self.gateway.log, "fencing token refused";
            "engine" => &engine.0, "token" => token);
        self.gateway.metrics.refused_fencing_tokens.inc();
        let now = self.gateway.clock.now();
        self.view().on_token_refused(token, now);
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
        self.gateway.beliefs().leases.of_mut(self.lease).held = None;
        if let Some(mut io) = self.io.try_lock() {
            io.looked_at = None;
        }
    }

    /// Whether the holder, another node, told of a renewal lately. Then there is
    /// nothing to look for in the store.
    fn hears_holder(&self, now: Millis) -> bool {
        let heard = self.gateway.beliefs().leases.of(self.lease).heard;
        let duration_ms = duration_ms(&self.gateway.settings());
        heard.is_some_and(|heard| now.since(heard.heard_at) < duration_ms)
    }

    /// Renews the lease or asks for it; tells whether this node may act as the holder.
    pub async fn keep(&self) -> bool {
        let is_kept = self.try_keep().await;
        let revision = is_kept.then(|| self.view().revision());
        let mut beliefs = self.gateway.beliefs();
        beliefs.leases.of_mut(self.lease).held = revision.flatten();
        drop(beliefs);
        is_kept
    }

    async fn try_keep(&self) -> bool {
        let mut io = self.io.lock().await;
        let now = self.gateway.clock.now();
        if !self.is_own() && self.hears_holder(now) {
            return false;
        }
        let has_just_failed = io
            .failed_at
            .is_some_and(|failed_at| now.since(failed_at) < RETRY_MS);
        if has_just_failed && self.token().is_none() {
            return false;
        }
        if !self.is_own() {
            let looked = io.looked_at;
            if looked.is_none_or(|looked| now.since(looked) >= LOOK_PERIOD_MS) {
                io.looked_at = Some(now);
                self.look(&mut io).await;
            }
        }
        let now = self.gateway.clock.now();
        let step = self.view().step(true, unix_ms(), now);
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
        match io
            .client
            .get(StoreKind::Leases, self.lease.stored_name())
            .await
        {
            Ok(Some(object)) => self.see(&object),
            Ok(None) => self.note_absent(),
            Err(error) => {
                slog::debug!(self.gateway.log, "lease not read"; "error" => error.to_string());
            }
        }
    }

    /// The store has no lease.
    fn note_absent(&self) {
        let Some((known, revision)) = self.view().seen() else {
            return;
        };
        self.gateway.metrics.missing_leases.inc();
        slog::warn!(self.gateway.log, "a known lease is missing";
            "lease" => self.lease.stored_name(), "holder" => &known.holder.0,
            "token" => known.fencing_token, "revision" => revision.0,
            "era" => self.gateway.store_era.get().map(|era| era.0));
    }

    /// Takes in the lease as it was read.
    fn see(&self, object: &StoreObject) {
        if let Ok(document) = serde_json::from_value::<LeaseDocument>(object.content.clone()) {
            let now = self.gateway.clock.now();
            let heard = self.gateway.beliefs().leases.of(self.lease).heard;
            let heard = heard.filter(|heard| heard.revision == object.revision);
            let since = heard.map_or(now, |heard| heard.heard_at);
            let version = ResourceVersion(object.revision);
            self.view().on_seen(version, document.lease, since);
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
        let before = self.view().seen();
        let age_ms = began.since(self.view().seen_at());
        let document = LeaseDocument {
            lease: spec.clone(),
        };
        let content = serde_json::to_value(&document).unwrap_or_default();
        let written = io
            .client
            .compare_and_set(
                StoreKind::Leases,
                self.lease.stored_name(),
                version.0,
                content,
            )
            .await;
        match written {
            Ok(object) => {
                let now = self.gateway.clock.now();
                let token = spec.fencing_token;
                let version = ResourceVersion(object.revision);
                self.view().on_written(version, spec, began, now);
                if had_token != Some(token) {
                    let before = before.as_ref().map(|(lease, _)| lease);
                    slog::info!(self.gateway.log, "lease taken"; "lease" => self.lease.stored_name(),
                        "token" => token, "revision" => object.revision,
                        "era" => self.gateway.store_era.get().map(|era| era.0),
                        "token_before" => before.map(|lease| lease.fencing_token),
                        "holder_before" => before.map(|lease| lease.holder.0.clone()),
                        "seen_ms" => before.map(|_| age_ms));
                }
            }
            Err(StoreError::Conflict { current }) => {
                slog::info!(self.gateway.log, "lease not written";
                    "lease" => self.lease.stored_name(), "error" => "conflict");
                self.view().on_write_failed();
                match current {
                    Some(current) => self.see(&current),
                    None => self.look(io).await,
                }
            }
            Err(error) => {
                slog::info!(self.gateway.log, "lease not written";
                    "lease" => self.lease.stored_name(), "error" => error.to_string());
                self.view().on_write_failed();
                io.failed_at = Some(self.gateway.clock.now());
                self.look_for(io, &spec, began).await;
            }
        }
    }

    /// After a write without an answer: if the store holds just what was
    /// written, the write was done, and not before it `began`.
    async fn look_for(&self, io: &mut LeaseIo, spec: &LeaseSpec, began: Millis) {
        let Ok(Some(object)) = io
            .client
            .get(StoreKind::Leases, self.lease.stored_name())
            .await
        else {
            return;
        };
        let document = serde_json::from_value::<LeaseDocument>(object.content.clone());
        if !document.is_ok_and(|document| document.lease == *spec) {
            return self.see(&object);
        }
        let now = self.gateway.clock.now();
        let version = ResourceVersion(object.revision);
        self.view().on_written(version, spec.clone(), began, now);
        slog::info!(self.gateway.log, "lease found written";
            "lease" => self.lease.stored_name(), "revision" => object.revision);
    }
}

/// Time after which a lease that was not renewed counts as expired, in
/// milliseconds.
fn duration_ms(settings: &GatewaySettings) -> u64 {
    settings.bounds.lease_ms + STOP_ACTING_AFTER_MS + MARGIN_MS
}
