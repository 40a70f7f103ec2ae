//! Rollouts that are completed or rolled back.

use crate::support::caller::{self, request};
use crate::support::engine::Behaviour;
use crate::support::store::StandInStore;
use crate::traffic::{with_callers, Traffic, CALLERS};
use crate::versions::{order, record_engines, state, wait_for_arrivals, wait_for_state, Versions};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

#[test]
fn a_bad_version_is_rolled_back_and_receives_no_more_requests() {
    with_callers(|executor| async move {
        let (versions, fixture) = Versions::with_node().await;
        let traffic = Traffic::start(&executor, fixture.running());
        versions.set_new(Behaviour::Fail);
        fixture.store.put("Rollouts", "app", order("v2", 20_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_state(&fixture.store, fixture.running(), "rolled-back").await;
        let arrivals_at_end = Versions::arrivals(&versions.new);
        let old_arrivals_at_end = Versions::arrivals(&versions.old);
        while Versions::arrivals(&versions.old) < old_arrivals_at_end + 200 {
            caller::get_status(fixture.running().readiness).await;
        }
        let (good, bad) = traffic.stop().await;
        assert!(arrivals_at_end > 0);
        // One request of each caller may have been under way.
        assert!(Versions::arrivals(&versions.new) <= arrivals_at_end + CALLERS);
        assert!(good > 200);
        // Callers see only the failures that the retry budget did not cover.
        assert!(bad <= good / 20, "{bad} of {good}");
    });
}

#[test]
fn a_rollout_completes_once_established_engines_receive_nothing() {
    with_callers(|executor| async move {
        let (versions, fixture) = Versions::with_node().await;
        let traffic = Traffic::start(&executor, fixture.running());
        fixture.store.put("Rollouts", "app", order("v2", 6_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_state(&fixture.store, fixture.running(), "completed").await;
        let old_arrivals_at_end = Versions::arrivals(&versions.old);
        // The established engines stop at once, without draining.
        versions
            .old
            .iter()
            .for_each(|engine| engine.set(Behaviour::Reset));
        let new_arrivals_at_end = Versions::arrivals(&versions.new);
        while Versions::arrivals(&versions.new) < new_arrivals_at_end + 200 {
            caller::get_status(fixture.running().readiness).await;
        }
        let (good, bad) = traffic.stop().await;
        assert_eq!(Versions::arrivals(&versions.old), old_arrivals_at_end);
        assert!(good > 200);
        assert_eq!(bad, 0);
    });
}

#[test]
fn a_rollout_waits_for_requests_running_on_established_engines() {
    with_callers(|executor| async move {
        let (versions, fixture) = Versions::with_node().await;
        let node = fixture.running();
        // A long request at an established engine.
        versions
            .old
            .iter()
            .for_each(|engine| engine.set(Behaviour::Silent));
        let long_request = caller::open(node.callers, &request("patient.test", "lasting")).await;
        while Versions::arrivals(&versions.old) == 0 {
            caller::get_status(node.readiness).await;
        }
        versions
            .old
            .iter()
            .for_each(|engine| engine.set(Behaviour::Answer));
        let traffic = Traffic::start(&executor, node);
        fixture.store.put("Rollouts", "app", order("v2", 2_000));
        record_engines(&fixture.store, &versions.new);
        let progress = |store: &StandInStore| {
            let status = store.status("Rollouts", "app").unwrap_or_default();
            status["progress"].as_str().unwrap_or_default().to_owned()
        };
        while !progress(&fixture.store).ends_with("stage=cutting_over") {
            caller::get_status(node.readiness).await;
        }
        wait_for_arrivals(node, &versions.new, 300).await;
        let old_arrivals = Versions::arrivals(&versions.old);
        wait_for_arrivals(node, &versions.new, 300).await;
        assert_eq!(Versions::arrivals(&versions.old), old_arrivals);
        assert_eq!(state(&fixture.store).as_deref(), Some("running"));
        let running = || {
            let beliefs = fixture.gateway.beliefs();
            let (service, target) = (ServiceName::from("app"), SoftwareVersion("v2".to_owned()));
            beliefs.rollouts.running.except(&service, &target)
        };
        assert_eq!(running(), 1);
        drop(long_request);
        wait_for_state(&fixture.store, node, "completed").await;
        let (_, bad) = traffic.stop().await;
        assert_eq!(bad, 0);
    });
}
