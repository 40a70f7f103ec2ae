//! Stored list of refused requests and parts of prompts, which outlives all nodes.
//!
//! Each refused request is written once, by the node that detected it; the other nodes
//! write it only if that node has not. Each node reads the list when it starts, before it
//! accepts callers. An operator releases a request by deleting its object.

use crate::peers::roles::{are_engines_relayed, role, Role};
use crate::ports::{InvalidDocument, StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::feed::Feed;
use crate::store::rejected_entries::note_rejected;
use crate::store::StoreClient;
use crate::time::{sleep, within};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::stored::StoredRefusal;
use ploverlift_quarantine::subject::Subject;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Interval between two lists while any request is refused, in milliseconds. It is the
/// maximum delay until a request that an operator has released is sent again.
const LIST_PERIOD_MS: u64 = 30_000;
/// Time within which a relay that reports the engines also reports the number of refused
/// requests, in milliseconds: ten of its reports.
const REPORTED_WITHIN_MS: u64 = 1_000;
/// Interval between two checks for changes that have to be stored, in milliseconds.
const POLL_PERIOD_MS: u64 = 1_000;

/// Stored document of a refused request or part; the object's name is the fingerprint. Earlier
/// releases do not read the names of parts and skip these objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RefusalDocument {
    /// Hash of the tenant's name, in hex.
    tenant: String,
    /// Software versions of the engines that terminated.
    software: Vec<String>,
    /// Number of trials that the request was given since.
    trials: u32,
}

impl RefusalDocument {
    fn of(refusal: &StoredRefusal) -> Self {
        Self {
            tenant: format!("{:016x}", refusal.tenant.0),
            software: refusal
                .software
                .iter()
                .map(|known| known.0.clone())
                .collect(),
            trials: refusal.trials,
        }
    }

    fn read(object: &StoreObject) -> Option<(Subject, StoredRefusal)> {
        let document: Self = serde_json::from_value(object.content.clone()).ok()?;
        let request = object.name.parse().ok()?;
        let tenant = u64::from_str_radix(&document.tenant, 16).ok()?;
        let refusal = StoredRefusal {
            tenant: TenantTag(tenant),
            software: document.software.into_iter().map(SoftwareVersion).collect(),
            trials: document.trials,
        };
        Some((request, refusal))
    }
}

/// Reads the list of refused requests, and stores this node's own findings, until the task
/// is dropped.
pub async fn sync_quarantine(gateway: Arc<Gateway>) {
    load_refusals(&gateway).await;
    let mut client = StoreClient::new(&gateway);
    let mut listed_at = gateway.clock.now();
    loop {
        let changed = gateway.quarantine_changed.listen();
        let now = gateway.clock.now();
        if let Err(error) = store_changes(&gateway, &mut client, now).await {
            slog::warn!(gateway.log, "refused request not stored"; "error" => error.to_string());
            client.reset();
            sleep(POLL_PERIOD_MS).await;
            continue;
        }
        let has_refused = gateway.beliefs().quarantine.refused() > 0;
        if !has_refused || role(&gateway, now) == Role::Follower {
            // Relays report the refused requests to their followers.
            listed_at = now;
        } else if now.since(listed_at) >= LIST_PERIOD_MS {
            listed_at = now;
            refresh_list(&gateway, &mut client).await;
        }
        within(POLL_PERIOD_MS, changed).await;
    }
}

/// Loads the refused requests: from the store, or from a relay that has the list.
async fn load_refusals(gateway: &Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(gateway), StoreKind::RefusedRequests);
    let mut backoff = Backoff::new();
    let listing = async {
        let (objects, _, sent) = feed.list(&mut backoff).await;
        apply_list(gateway, &objects, sent);
    };
    let reported = async {
        loop {
            let update = gateway.site_updated.listen();
            if gateway.beliefs().quarantine.is_stored_list_known() {
                return;
            }
            update.await;
        }
    };
    let unreported = async {
        // Relays of an earlier release report the engines, but not the refused requests.
        while !are_engines_relayed(gateway) {
            sleep(POLL_PERIOD_MS).await;
        }
        sleep(REPORTED_WITHIN_MS).await;
        let mut client = StoreClient::new(gateway);
        while !gateway.beliefs().quarantine.is_stored_list_known() {
            refresh_list(gateway, &mut client).await;
            sleep(POLL_PERIOD_MS).await;
        }
    };
    let reported = futures_lite::future::or(reported, unreported);
    futures_lite::future::or(listing, reported).await;
    gateway.site_updated.notify(usize::MAX);
}

/// Lists the refused requests in the store, for an operator.
///
/// # Errors
/// When the store does not answer properly.
pub async fn list_refused(
    gateway: &Arc<Gateway>,
) -> Result<Vec<(Subject, StoredRefusal)>, StoreError> {
    let mut client = StoreClient::new(gateway);
    match client.list(StoreKind::RefusedRequests).await {
        Ok((objects, _)) => Ok(objects.iter().filter_map(RefusalDocument::read).collect()),
        // A store that does not know this kind of object has no refused requests.
        Err(StoreError::NotFound) => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

/// Releases a request: nodes send it again once they have read the list, within 30 s.
///
/// # Errors
/// When the store does not answer properly.
pub async fn release_refused(gateway: &Arc<Gateway>, request: Subject) -> Result<(), StoreError> {
    let mut client = StoreClient::new(gateway);
    let name = request.to_string();
    client.delete(StoreKind::RefusedRequests, &name).await
}

async fn refresh_list(gateway: &Gateway, client: &mut StoreClient) {
    let sent = gateway.clock.now();
    match client.list(StoreKind::RefusedRequests).await {
        Ok((objects, _)) => apply_list(gateway, &objects, sent),
        Err(error) => {
            slog::info!(gateway.log, "refused requests not read"; "error" => error.to_string());
            client.reset();
        }
    }
}

fn apply_list(gateway: &Gateway, objects: &[StoreObject], sent: Millis) {
    let stored = objects.iter().filter_map(|object| {
        let read = RefusalDocument::read(object);
        if read.is_none() {
            let invalid = InvalidDocument {
                document: object.name.clone(),
                reason: "the document is malformed".to_owned(),
            };
            note_rejected(gateway, StoreKind::RefusedRequests, &invalid);
        }
        read
    });
    let now = gateway.clock.now();
    let released = {
        let quarantine = &mut gateway.beliefs().quarantine;
        quarantine.apply_stored_list(stored.collect(), sent, now)
    };
    for request in released {
        slog::warn!(gateway.log, "request released"; "fingerprint" => request.to_string());
        gateway.quarantine_changed.notify(usize::MAX);
    }
}

/// Writes refused requests that are not stored yet, and deletes those that are no longer
/// refused.
async fn store_changes(
    gateway: &Gateway,
    client: &mut StoreClient,
    now: Millis,
) -> Result<(), StoreError> {
    let unstored = gateway.beliefs().quarantine.unstored(now);
    for (request, refusal) in unstored {
        write(client, request, &refusal).await?;
        let now = gateway.clock.now();
        let quarantine = &mut gateway.beliefs().quarantine;
        quarantine.note_stored(request, refusal.trials, now);
        slog::info!(gateway.log, "refused request stored";
            "fingerprint" => request.to_string(), "trials" => refusal.trials);
        gateway.quarantine_changed.notify(usize::MAX);
    }
    let deletions = gateway.beliefs().quarantine.pending_deletions();
    for request in deletions {
        client
            .delete(StoreKind::RefusedRequests, &request.to_string())
            .await?;
        gateway.beliefs().quarantine.note_deleted(request);
    }
    Ok(())
}

async fn write(
    client: &mut StoreClient,
    request: Subject,
    refusal: &StoredRefusal,
) -> Result<(), StoreError> {
    let name = request.to_string();
    let content = serde_json::to_value(RefusalDocument::of(refusal)).unwrap_or_default();
    let kind = StoreKind::RefusedRequests;
    let written = client
        .compare_and_set(kind, &name, 0, content.clone())
        .await;
    let Err(StoreError::Conflict {
        current: Some(current),
    }) = written
    else {
        return written.map(|_| ());
    };
    let known = RefusalDocument::read(&current).map(|(_, known)| known.trials);
    if known.is_some_and(|trials| trials >= refusal.trials) {
        return Ok(());
    }
    let revision = current.revision;
    let written = client.compare_and_set(kind, &name, revision, content).await;
    written.map(|_| ())
}
