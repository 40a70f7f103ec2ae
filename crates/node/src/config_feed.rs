//! Reads objects from the object API by list and watch and merges them.

use crate::platform_client::{PlatformClient, PlatformError, WatchType};
use crate::state::Node;
use ploverlift_cluster::config_store::Record;
use ploverlift_policy::objects::Kind;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Pause before the object API is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows one kind until the task is dropped.
pub async fn follow(node: Arc<Node>, platform: PlatformClient, kind: Kind) {
    loop {
        if let Err(error) = follow_once(&node, &platform, kind).await {
            slog::debug!(node.log, "object API not followed";
                "kind" => kind.plural(), "error" => error.to_string());
        }
        let jitter = node.tables().random.u64(..RETRY_PAUSE.as_millis() as u64);
        Timer::after(RETRY_PAUSE + Duration::from_millis(jitter)).await;
    }
}

async fn follow_once(
    node: &Node,
    platform: &PlatformClient,
    kind: Kind,
) -> Result<(), PlatformError> {
    let list = platform.list(kind).await?;
    let mut version = list.resource_version;
    {
        let mut tables = node.tables();
        let changed = tables.store.merge_list(kind, list.items, version);
        if !changed.is_empty() {
            tables.rebuild();
        }
    }
    let mut watch = platform.watch(kind, version).await?;
    while let Some(event) = watch.next().await? {
        version = version.max(event.object.metadata.resource_version);
        let record = match event.r#type {
            WatchType::Deleted => Record::deleted(event.object.key(), version),
            WatchType::Added | WatchType::Modified => Record::stored(event.object),
        };
        node.tables().merge_records(vec![record]);
    }
    Ok(())
}
