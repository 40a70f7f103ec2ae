//! From outside one sees why a node is not ready.

mod support;

use ploverlift_gateway::readiness::metrics_page;
use ploverlift_gateway::requirements::{LackChange, Lacks, Requirement};
use ploverlift_gateway::time::sleep;
use ploverlift_policy::ids::Millis;
use support::caller;
use support::store::StandInStore;
use support::{configuration, start_node};

// Guards against a node that is never ready and does not say what it waits for.
#[test]
fn a_node_that_is_not_ready_names_what_it_lacks_in_probes_and_metrics() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start_node(&store, "node", "");
        let lacks_configuration = || {
            let page = metrics_page(&node.gateway);
            let name = "lacking_seconds{requirement=\"configuration\"} ";
            let line = page.lines().find(|line| line.contains(name));
            let seconds = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            seconds.expect("a gauge") > 0.0
        };
        sleep(50).await;
        while !lacks_configuration() {
            sleep(5).await;
        }
        let (status, body) = caller::get(node.readiness).await;
        assert_eq!(status, 503);
        assert!(body.contains("configuration"), "{body}");
        store.put("Configuration", "main", configuration(1));
        while caller::get_status(node.readiness).await != 200 {
            sleep(5).await;
        }
        assert!(!lacks_configuration());
    });
}

#[test]
fn lacks_are_logged_when_they_begin_last_and_end() {
    let (configuration, engines) = (Requirement::Configuration, Requirement::Engines);
    let mut lacks = Lacks::default();
    let began = lacks.update(&[configuration, engines], Millis(100));
    let expected = [configuration, engines].map(LackChange::Began);
    assert_eq!(began, expected);
    assert!(lacks.update(&[configuration], Millis(200)) == [LackChange::Ended(engines, 100)]);
    assert!(lacks.update(&[configuration], Millis(300)).is_empty());
    let lasting = lacks.update(&[configuration], Millis(2_200));
    assert_eq!(lasting, [LackChange::Lasts(configuration, 2_100)]);
    assert_eq!(lacks.age_ms(configuration, Millis(2_300)), 2_200);
    assert_eq!(lacks.age_ms(engines, Millis(2_300)), 0);
    let ended = lacks.update(&[], Millis(2_400));
    assert_eq!(ended, [LackChange::Ended(configuration, 2_300)]);
}
