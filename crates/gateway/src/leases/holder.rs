//! Acquiring, renewing and observing one lease.

use super::document::LeaseDocument;
use super::{LeaseName, LeaseRenewal};
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use crate::store::StoreClient;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_clock::unix_ms;
use ploverlift_lease::token::NodeNumber;
use ploverlift_lease::{FencingToken, LeaseStep, LeaseTiming, LeaseView, LeaseWrite, StoredLease};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion, StoreEra};
use ploverlift_policy::store_revision::StoreRevision;
use std::sync::{Arc, Mutex, MutexGuard};

/// Age of the last renewal at which the holder stops acting, in milliseconds.
const STOP_ACTING_AFTER_MS: u64 = 1_000;
/// Age of the last renewal at which the holder renews, in milliseconds.
const RENEW_AFTER_MS: u64 = 400;
/// Margin added to the configured time between two holders, in milliseconds.
const HANDOVER_MARGIN_MS: u64 = 200;
/// Time between two reads of another node's lease, in milliseconds. Only possible
/// successors of its holder read it.
const READ_PERIOD_MS: u64 = 700;
/// Pause after a failed call while this node does not hold the lease, in
/// milliseconds, so that an unavailable store is not called in a tight loop.
const RETRY_MS: u64 = 250;
/// Maximum time-out of a call on the lease, in milliseconds. A write that takes
/// longer would leave little of the lease duration.
const CALL_TIMEOUT_MS: u64 = 450;

/// Holds the lease or tries to acquire it.
pub struct LeaseHolder {
    gateway: Arc<Gateway>,
    lease: LeaseName,
    name: String,
    view: Mutex<LeaseView>,
    io: smol::lock::Mutex<LeaseIo>,
}

struct LeaseIo {
    client: StoreClient,
    last_read_at: Option<Millis>,
    failed_at: Option<Millis>,
}

impl LeaseHolder {
    /// A holder that has not yet read the lease.
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
                last_read_at: None,
                failed_at: None,
            }),
        }
    }

    fn view(&self) -> MutexGuard<'_, LeaseView> {
        let view = self.view.lock();
        view.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The view, updated with what this node learned elsewhere: the store era and the
    /// renewals that holders announced in reports.
    fn current_view(&self, now: Millis) -> MutexGuard<'_, LeaseView> {
        let announced = self.gateway.beliefs().leases.of(self.lease).announced;
        let mut view = self.view();
        if let Some(era) = self.gateway.store_era.get() {
            view.on_era(era, now);
        }
        if let Some(announced) = announced {
            view.on_holder_announced(announced.renewal.token, announced.received_at);
        }
        view
    }

    /// This node's name, as written into the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The fencing token, if this node may act as the holder now.
    pub fn token(&self) -> Option<FencingToken> {
        let now = self.gateway.clock.now();
        let token = self.current_view(now).token(now);
        let (lease, metrics) = (self.lease.stored_name(), &self.gateway.metrics);
        metrics.set_fencing_token(lease, token.map(|token| token.0));
        token
    }

    /// Records that an engine refused a token because it has seen a higher one.
    pub fn note_token_refused(&self, engine: &InstanceId, token: FencingToken) {
        slog::warn!(self.gateway.log, "fencing token refused";
            "engine" => &engine.0, "token" => token.0);
        self.gateway.metrics.refused_fencing_tokens.inc();
        let now = self.gateway.clock.now();
        self.view().on_token_refused(token, now);
    }

    /// Whether this node is the last known holder.
    pub fn is_own(&self) -> bool {
        self.current_view(self.gateway.clock.now()).is_own_lease()
    }

    /// Reads the lease unless it was already read since the node was last idle: the time
    /// after which the lease counts as expired runs from when it was first observed.
    pub async fn observe_once(&self) {
        let now = self.gateway.clock.now();
        let mut io = self.io.lock().await;
        if io.last_read_at.is_none() {
            io.last_read_at = Some(now);
            self.read_stored(&mut io).await;
        }
    }

    /// Reads the lease if it has not been read in the current store era, so that the wait
    /// for a holder that may be alive is over before there is anything to do.
    pub async fn observe_if_unread(&self) {
        let now = self.gateway.clock.now();
        let mut io = self.io.lock().await;
        let is_unread = self.current_view(now).is_unread();
        if is_unread && !io.has_just_failed(now) {
            self.read_stored(&mut io).await;
        }
    }

    /// Records that there is nothing to do; the lease is read again when there is.
    pub fn note_idle(&self) {
        self.gateway.beliefs().leases.of_mut(self.lease).held = None;
        if let Some(mut io) = self.io.try_lock() {
            io.last_read_at = None;
        }
    }

    /// Renews the lease or tries to acquire it. Returns whether this node may act as the
    /// holder.
    pub async fn renew_or_acquire(&self) -> bool {
        let may_act = self.try_renew_or_acquire().await;
        let held = may_act.then(|| self.last_renewal());
        let mut beliefs = self.gateway.beliefs();
        beliefs.leases.of_mut(self.lease).held = held.flatten();
        drop(beliefs);
        may_act
    }

    fn last_renewal(&self) -> Option<LeaseRenewal> {
        let view = self.view();
        let lease = view.observed_lease()?;
        Some(LeaseRenewal {
            token: lease.token(),
            revision: StoreRevision::of_packed(lease.version.0).number,
        })
    }

    async fn try_renew_or_acquire(&self) -> bool {
        let mut io = self.io.lock().await;
        let now = self.gateway.clock.now();
        let is_own = self.is_own();
        if !is_own && self.current_view(now).has_recent_announcement(now) {
            return false;
        }
        if io.has_just_failed(now) && self.token().is_none() {
            return false;
        }
        let is_read_due = io
            .last_read_at
            .is_none_or(|read_at| now.since(read_at) >= READ_PERIOD_MS);
        if !is_own && (is_read_due || self.view().is_unread()) {
            io.last_read_at = Some(now);
            self.read_stored(&mut io).await;
        }
        let now = self.gateway.clock.now();
        let may_acquire = !self.yields_shared_number();
        let step = self.current_view(now).step(may_acquire, unix_ms(), now);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Write(write) => self.write(&mut io, write).await,
            LeaseStep::NoTokenLeft => {
                slog::error!(self.gateway.log, "no fencing token is left";
                    "lease" => self.lease.stored_name(),
                    "highest" => self.view().highest_token().0);
            }
        }
        self.token().is_some()
    }

    /// Whether a known node with a lower id has the same node number in fencing tokens. Of
    /// two such nodes, only the one with the lower id may acquire the lease.
    fn yields_shared_number(&self) -> bool {
        let own = PeerId::of(&self.name);
        let number = NodeNumber::of_hash(own.0);
        let book = self.gateway.address_book();
        let shares = book
            .listed()
            .any(|node| node.id < own && number.is_shared_by(node.id.0));
        shares
    }

    async fn read_stored(&self, io: &mut LeaseIo) {
        let name = self.lease.stored_name();
        match io.client.get(StoreKind::Leases, name).await {
            Ok(object) => self.apply_read(object.as_ref(), io.client.answered_era()),
            Err(error) => {
                io.failed_at = Some(self.gateway.clock.now());
                slog::debug!(self.gateway.log, "lease not read"; "error" => error.to_string());
            }
        }
    }

    /// Applies the result of a read: the stored lease, or that there is none.
    fn apply_read(&self, object: Option<&StoreObject>, era: StoreEra) {
        let now = self.gateway.clock.now();
        let stored = object.map(read_lease);
        if stored.as_ref().is_some_and(Option::is_none) {
            slog::warn!(self.gateway.log, "stored lease could not be parsed";
                "lease" => self.lease.stored_name());
            return;
        }
        let stored = stored.flatten();
        let announced = self.gateway.beliefs().leases.of(self.lease).announced;
        let announced = announced.filter(|announced| {
            let renewal = announced.renewal;
            let read = stored.as_ref();
            read.is_some_and(|lease| {
                let number = StoreRevision::of_packed(lease.version.0).number;
                number == renewal.revision && lease.token() == renewal.token
            })
        });
        let known_at = announced.map_or(now, |announced| announced.received_at);
        let mut view = self.current_view(now);
        if stored.is_none() {
            self.note_missing(&view, era);
        }
        view.on_read(stored, era, known_at);
    }

    /// Logs and counts that a lease known to this node is missing in the store.
    fn note_missing(&self, view: &LeaseView, era: StoreEra) {
        let Some(known) = view.observed_lease() else {
            return;
        };
        self.gateway.metrics.missing_leases.inc();
        slog::warn!(self.gateway.log, "a known lease is missing";
            "lease" => self.lease.stored_name(), "holder" => &known.spec.holder.0,
            "token" => known.spec.fencing_token, "revision" => known.version.0, "era" => era.0);
    }

    async fn write(&self, io: &mut LeaseIo, write: LeaseWrite) {
        let before = self.view().observed_lease().cloned();
        let since = self.view().observed_since();
        let content = LeaseDocument::of(&write.lease).to_json();
        let written = io
            .client
            .compare_and_set(
                StoreKind::Leases,
                self.lease.stored_name(),
                write.condition.0,
                content,
            )
            .await;
        let era = io.client.answered_era();
        match written {
            Ok(object) => {
                let had_token = before.as_ref().map(StoredLease::token);
                if had_token != Some(write.lease.token()) {
                    let seen_ms = since.map(|since| write.began.since(since));
                    self.log_taken(&write, before.as_ref(), seen_ms, object.revision);
                }
                self.note_written(write, &object, era);
            }
            Err(StoreError::Conflict { current }) => {
                slog::info!(self.gateway.log, "lease not written";
                    "lease" => self.lease.stored_name(), "error" => "conflict",
                    "ground" => write.reason.name());
                self.view().on_write_failed();
                match current.filter(|current| read_lease(current).is_some()) {
                    Some(current) => self.apply_read(Some(&current), era),
                    None => self.read_stored(io).await,
                }
            }
            Err(error) => {
                slog::info!(self.gateway.log, "lease not written";
                    "lease" => self.lease.stored_name(), "error" => error.to_string(),
                    "ground" => write.reason.name());
                self.view().on_write_failed();
                io.failed_at = Some(self.gateway.clock.now());
                self.confirm_write(io, write).await;
            }
        }
    }

    fn note_written(&self, write: LeaseWrite, object: &StoreObject, era: StoreEra) {
        let lease = StoredLease {
            version: ResourceVersion(object.revision),
            ..write.lease
        };
        if lease.era != era {
            slog::warn!(self.gateway.log, "lease stored in a later era";
                "lease" => self.lease.stored_name(), "written_for" => lease.era.0, "era" => era.0);
        }
        let now = self.gateway.clock.now();
        self.current_view(now)
            .on_written(lease, write.began, era, now);
    }

    fn log_taken(
        &self,
        write: &LeaseWrite,
        before: Option<&StoredLease>,
        seen_ms: Option<u64>,
        revision: u64,
    ) {
        slog::info!(self.gateway.log, "lease taken"; "lease" => self.lease.stored_name(),
            "token" => write.lease.token().0, "revision" => revision,
            "era" => write.lease.era.0, "ground" => write.reason.name(),
            "token_before" => before.map(|lease| lease.token().0),
            "holder_before" => before.map(|lease| lease.spec.holder.0.clone()),
            "seen_ms" => seen_ms);
    }

    /// Reads the lease after a write without an answer. If the store holds exactly what was
    /// written, the write succeeded, and not before `write.began`.
    async fn confirm_write(&self, io: &mut LeaseIo, write: LeaseWrite) {
        let name = self.lease.stored_name();
        let Ok(object) = io.client.get(StoreKind::Leases, name).await else {
            return;
        };
        let era = io.client.answered_era();
        let stored = object.as_ref().and_then(read_lease);
        let is_as_written = stored
            .is_some_and(|stored| stored.spec == write.lease.spec && stored.era == write.lease.era);
        let Some(object) = object.as_ref().filter(|_| is_as_written) else {
            return self.apply_read(object.as_ref(), era);
        };
        slog::info!(self.gateway.log, "lease write confirmed by reading it back";
            "lease" => name, "revision" => object.revision, "ground" => write.reason.name());
        self.note_written(write, object, era);
    }
}

impl LeaseIo {
    fn has_just_failed(&self, now: Millis) -> bool {
        let failed_at = self.failed_at;
        failed_at.is_some_and(|failed_at| now.since(failed_at) < RETRY_MS)
    }
}

/// Parses a stored lease; `None` if it is invalid.
fn read_lease(object: &StoreObject) -> Option<StoredLease> {
    let document: LeaseDocument = serde_json::from_value(object.content.clone()).ok()?;
    Some(StoredLease {
        version: ResourceVersion(object.revision),
        spec: document.lease,
        era: StoreEra(document.store_era),
    })
}

/// Time after which a lease that was not renewed counts as expired, in
/// milliseconds.
fn duration_ms(settings: &GatewaySettings) -> u64 {
    settings.bounds.lease_ms + STOP_ACTING_AFTER_MS + HANDOVER_MARGIN_MS
}
