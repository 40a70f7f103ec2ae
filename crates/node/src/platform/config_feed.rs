//! Reads objects from the object API by list and watch, while this node is one
//! of the readers, and stores the claim group's description.

use crate::platform::client::{PlatformClient, PlatformError, WatchType};
use crate::state::Node;
use futures_lite::future;
use ploverlift_cluster::config_store::Record;
use ploverlift_cluster::core::CLAIM_GROUP;
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, Object};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Pause before the object API is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at whether this node is a reader.
const READER_PERIOD: Duration = Duration::from_millis(250);

/// Follows one kind whenever this node is a reader, until the task is dropped.
pub async fn follow(node: Arc<Node>, platform: PlatformClient, kind: Kind) {
    loop {
        wait_for_duty(&node, true).await;
        let follow = follow_once(&node, &platform, kind);
        let relieved = async {
            wait_for_duty(&node, false).await;
            Ok(())
        };
        if let Err(error) = future::or(follow, relieved).await {
            slog::debug!(node.log, "object API not followed";
                "kind" => kind.plural(), "error" => error.to_string());
        }
        let jitter = fastrand::u64(..RETRY_PAUSE.as_millis() as u64);
        Timer::after(RETRY_PAUSE + Duration::from_millis(jitter)).await;
    }
}

/// Waits until this node is a reader, or no longer is.
async fn wait_for_duty(node: &Node, wanted: bool) {
    while node.core().is_reader(node.clock.now()) != wanted {
        Timer::after(READER_PERIOD).await;
    }
}

async fn follow_once(
    node: &Node,
    platform: &PlatformClient,
    kind: Kind,
) -> Result<(), PlatformError> {
    let list = platform.list(kind).await?;
    let mut version = list.resource_version;
    node.with_core(|core, now| core.apply_list(kind, list.items, version, now));
    let mut watch = platform.watch(kind, version).await?;
    while let Some(event) = watch.next().await? {
        version = version.max(event.object.metadata.resource_version);
        let record = match event.r#type {
            WatchType::Deleted => Record::deleted(event.object.key(), version),
            WatchType::Added | WatchType::Modified => Record::stored(event.object),
        };
        node.with_core(|core, now| core.apply_records(vec![record], now));
    }
    Ok(())
}

/// Stores descriptions of the claim group when the core asks for it.
pub async fn write_claim_group(node: Arc<Node>, platform: PlatformClient) {
    while let Ok((version, spec)) = node.group_writes.recv().await {
        let mut object = Object::new(Kind::ClaimGroup, CLAIM_GROUP, Labels::default(), spec);
        object.metadata.resource_version = version;
        match platform.put(&object).await {
            Ok(stored) => {
                let record = Record::stored(stored);
                node.with_core(|core, now| core.apply_records(vec![record], now));
            }
            // A conflict means that another node wrote; the watch brings it.
            Err(error) => slog::debug!(node.log, "claim group not stored";
                "error" => error.to_string()),
        }
    }
}
