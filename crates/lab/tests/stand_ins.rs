//! The stand-ins behave like the systems that they replace.

use ploverlift_lab::engine_cache::BlockCache;
use ploverlift_lab::platform_store::{ObjectTable, WriteError};
use ploverlift_policy::ids::{BlockHash, Millis};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, Object};
use serde_json::json;

#[test]
fn the_block_cache_evicts_leaves_before_their_prefix() {
    let mut cache = BlockCache::new(3);
    let chain = [BlockHash(1), BlockHash(2), BlockHash(3)];
    cache.store(&chain, Millis(0));
    let evicted = cache.store(&[BlockHash(9)], Millis(5));
    assert_eq!(evicted.len(), 1);
    assert_eq!(evicted[0].block, BlockHash(3));
    assert_eq!(evicted[0].idle_ms, 5);
    assert_eq!(cache.cached_prefix(&chain), 2);
}

#[test]
fn the_object_api_takes_a_change_only_of_the_stored_version() {
    let mut table = ObjectTable::default();
    let object = Object::new(
        Kind::Tenant,
        "shop",
        Labels::default(),
        json!({"keyHashes": []}),
    );
    let stored = table.put(object.clone()).expect("created");
    assert_eq!(table.put(object), Err(WriteError::Conflict { stored: 1 }));
    let again = table.put(stored).expect("changed");
    assert_eq!(again.metadata.resource_version.0, 2);
    let deleted = table.delete(Kind::Tenant, "shop", 2).expect("deleted");
    assert_eq!(deleted.metadata.resource_version.0, 3);
}
