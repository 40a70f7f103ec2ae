//! Which engines of the target version serve the canary, and from where they fetch cached
//! prompt parts.

use crate::support::caller::{self, prompt};
use crate::support::engine::StandInEngine;
use crate::support::site;
use crate::support::{configuration, Fixture};
use crate::traffic::{with_callers, Traffic};
use crate::versions::{order, record_engines, wait_for_arrivals, Versions, SHORT_ROLLOUT_BOUNDS};
use serde_json::json;

#[test]
fn the_canary_uses_a_subset_of_the_target_engines() {
    with_callers(|executor| async move {
        let (versions, fixture) = Versions::with_node().await;
        let node = fixture.running();
        let mut new = Vec::new();
        for index in 0..6 {
            let name = format!("more-{index}");
            new.push(StandInEngine::of_software(&name, "app", "v2").await);
        }
        record_engines(&fixture.store, &new);
        fixture.store.put("Rollouts", "app", order("v2", 60_000));
        while fixture.gateway.beliefs().engines.len() < 8 {
            caller::get_status(node.readiness).await;
        }
        let traffic = Traffic::start(&executor, node);
        wait_for_arrivals(node, &new, 60).await;
        wait_for_arrivals(node, &versions.old, 1_500).await;
        traffic.stop().await;
        // Half of the share, and of the slack, that a bad version may get.
        let arrivals = Versions::arrivals(&new);
        let requests = arrivals + Versions::arrivals(&versions.old);
        assert!(
            arrivals * 10 < requests * 3 + 2_000,
            "{arrivals} of {requests}"
        );
        let used = new.iter().filter(|engine| engine.arrivals() > 0).count();
        assert_eq!(used, 2);
    });
}

#[test]
fn target_engines_fetch_cached_prompt_parts_from_established_engines() {
    smol::block_on(async {
        let old = StandInEngine::of_software("old", "llm", "v1").await;
        let new = StandInEngine::of_software("new", "llm", "v2").await;
        let fixture = Fixture::with(&[&old], configuration(1), SHORT_ROLLOUT_BOUNDS).await;
        let prompt_with_id = |id: &str| prompt("resume.test", id);
        assert_eq!(fixture.send(&prompt_with_id("first")).await.status(), 200);
        let order = json!({"service": "llm", "to": "v2", "ms": 60_000});
        fixture.store.put("Rollouts", "llm", order);
        fixture.store.put("Engines", "new", new.record());
        let mut sent = 0;
        while new.arrivals() == 0 {
            sent += 1;
            let answer = fixture.send(&prompt_with_id(&format!("r-{sent}"))).await;
            assert_eq!(answer.status(), 200);
        }
        let fetched_from = new.heads()[0].headers.get(site::FETCH).map(str::to_owned);
        assert_eq!(fetched_from, Some(old.address.to_string()));
    });
}
