//! KV cache stores: which one saves a prompt, and whose contents are relied on.

use crate::site::{address, parts, topology};
use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_balancing::cache_stores::{
    is_kept_elsewhere, saving_store, CacheStoreState, CacheStores,
};
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::prompt::ChainKey;
use std::collections::BTreeSet;

fn store(index: u16, zone: &str) -> CacheStore {
    CacheStore {
        address: address(index),
        zone: ZoneName::from(zone),
        capacity_tokens: 10_000,
        link_mbps: None,
        max_event_calls: None,
    }
}

#[test]
fn the_stores_of_a_region_share_its_prompts_and_those_of_others_take_none() {
    let configured = [store(1, "w1"), store(2, "w2"), store(3, "e1")];
    let mut stores = CacheStores::default();
    for store in &configured {
        let belief = stores.of_mut(store.address);
        belief.note_state(CacheStoreState::Followed);
    }
    let saving = |stores: &CacheStores, zone: &str| {
        let in_use = stores.in_use(configured.iter());
        let zone = ZoneName::from(zone);
        let chosen = |key| saving_store(&in_use, &topology(), &zone, ChainKey(key));
        let chosen = (0..64).filter_map(chosen);
        chosen
            .map(|(store, _)| store.address)
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(saving(&stores, "w1"), [address(1), address(2)].into());
    assert_eq!(saving(&stores, "w1"), saving(&stores, "w2"));
    assert_eq!(saving(&stores, "e2"), [address(3)].into());
    let lost = CacheStoreState::Lost;
    stores.of_mut(address(3)).note_state(lost);
    assert_eq!(saving(&stores, "e2"), BTreeSet::new());
    stores.of_mut(address(2)).note_state(lost);
    assert_eq!(saving(&stores, "w2"), [address(1)].into());
}

#[test]
fn contents_of_a_lost_or_emptied_store_are_not_relied_on() {
    let part = parts().remove(0);
    let configured = [store(1, "w1")];
    let mut stores = CacheStores::default();
    let is_relied_on = |stores: &CacheStores| {
        let in_use = stores.in_use(configured.iter());
        let mut in_use = in_use.iter();
        in_use.any(|(_, belief)| belief.contents().has("s", &part))
    };
    let follow = |stores: &mut CacheStores, epoch| {
        let belief = stores.of_mut(address(1));
        belief.note_state(CacheStoreState::Followed);
        belief.contents_mut().apply(&CacheEvents {
            epoch,
            ..CacheEvents::default()
        });
    };
    follow(&mut stores, 1);
    let save_part = |stores: &mut CacheStores| {
        let contents = stores.of_mut(address(1)).contents_mut();
        contents.note_kept("s", &part);
    };
    save_part(&mut stores);
    assert!(is_relied_on(&stores));
    // A call failed: nothing is relied on until the store answers with the same epoch.
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    assert!(!is_relied_on(&stores));
    follow(&mut stores, 1);
    assert!(is_relied_on(&stores));
    // With a new epoch the store starts empty.
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    follow(&mut stores, 2);
    assert!(!is_relied_on(&stores));
    // When the store answers without events, its epoch is unknown.
    save_part(&mut stores);
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    let belief = stores.of_mut(address(1));
    belief.note_state(CacheStoreState::Unobserved);
    assert!(!is_relied_on(&stores));
}

#[test]
fn a_prompt_that_another_store_keeps_is_known_to_be_there() {
    let configured = [store(1, "w1"), store(2, "e1")];
    let mut stores = CacheStores::default();
    for store in &configured {
        stores
            .of_mut(store.address)
            .note_state(CacheStoreState::Followed);
    }
    stores
        .of_mut(address(2))
        .contents_mut()
        .note_kept("s", &parts()[0]);
    let in_use = stores.in_use(configured.iter());
    assert!(is_kept_elsewhere(&in_use, address(1), "s", &parts()));
    assert!(!is_kept_elsewhere(&in_use, address(2), "s", &parts()));
    assert!(!is_kept_elsewhere(&in_use, address(1), "t", &parts()));
}
