//! Limits how many engines the requests with a harmful part end, whichever nodes they are sent
//! to, while the other requests are served.

use crate::site::{
    prompt_of, Answers, Load, Place, Site, HARMFUL, MAX_SENT, MIN_SERVED, SECOND_HARMFUL,
};
use crate::support::caller;
use crate::support::store::StoreFault;

/// Nodes of the site.
const NODES: usize = 5;
/// Engines of the site.
const ENGINES: usize = 18;
/// Duration of a load, in milliseconds: long enough for a trial of the refused part.
const LOAD_MS: u64 = 7_000;

fn load(place: Place) -> Load {
    Load {
        host: "stream.test",
        place,
        harmful: vec![HARMFUL],
        duration_ms: LOAD_MS,
    }
}

/// Sends the load to a new site.
async fn send_to_new_site(load: &Load) -> (Site, Answers) {
    let mut site = Site::new(ENGINES).await;
    site.start_nodes(NODES).await;
    let answers = site.send_load(load).await;
    (site, answers)
}

fn assert_bounded(site: &Site, answers: &Answers) {
    let sent = site.arrived_with(HARMFUL);
    assert!(sent <= MAX_SENT, "{sent} requests with the part were sent");
    let served = answers.served();
    assert!(served >= MIN_SERVED, "{served} of the others were served");
}

/// Each request with the part was judged as a new one.
#[test]
fn requests_with_a_harmful_first_part_reach_few_engines() {
    smol::block_on(async {
        let (site, answers) = send_to_new_site(&load(Place::First)).await;
        assert_bounded(&site, &answers);
        // The refused request has not run, and the status reports that.
        assert_eq!(answers.harmful.last(), Some(&503));
    });
}

/// The parts before and after the harmful one are in most other requests.
#[test]
fn requests_with_a_harmful_middle_part_reach_few_engines() {
    smol::block_on(async {
        let (site, answers) = send_to_new_site(&load(Place::Middle)).await;
        assert_bounded(&site, &answers);
    });
}

/// All parts but the last are shared.
#[test]
fn requests_with_a_harmful_next_to_last_part_reach_few_engines() {
    smol::block_on(async {
        let (site, answers) = send_to_new_site(&load(Place::NextToLast)).await;
        assert_bounded(&site, &answers);
    });
}

/// A stream that is resumed sends the part to a second engine.
#[test]
fn resumable_requests_with_a_harmful_part_reach_few_engines() {
    smol::block_on(async {
        let resumable = Load {
            host: "resume.test",
            ..load(Place::Middle)
        };
        let (site, answers) = send_to_new_site(&resumable).await;
        assert_bounded(&site, &answers);
    });
}

/// Evidence against one part must not hide the evidence against another.
#[test]
fn two_harmful_parts_reach_few_engines() {
    smol::block_on(async {
        let both = Load {
            harmful: vec![HARMFUL, SECOND_HARMFUL],
            ..load(Place::Middle)
        };
        let (site, answers) = send_to_new_site(&both).await;
        assert_bounded(&site, &answers);
        let sent = site.arrived_with(SECOND_HARMFUL);
        assert!(
            sent <= MAX_SENT,
            "{sent} requests with the second part were sent"
        );
    });
}

/// Nodes that start know of the refused part from the store.
#[test]
fn restarted_nodes_send_a_refused_part_to_no_engine() {
    smol::block_on(async {
        let brief = Load {
            duration_ms: 2_000,
            ..load(Place::Middle)
        };
        let (mut site, _) = send_to_new_site(&brief).await;
        let before = site.arrived_with(HARMFUL);
        assert!(before <= MAX_SENT, "{before} requests were sent");
        site.nodes.clear();
        site.start_nodes(NODES).await;
        for (number, node) in site.nodes.iter().enumerate() {
            let asked = prompt_of("stream.test", "again", &[9, HARMFUL, number as u64]);
            assert_eq!(caller::send(node.callers, &asked).await.status(), 503);
        }
        assert_eq!(site.arrived_with(HARMFUL), before);
    });
}

/// The nodes tell each other while the store is away.
#[test]
fn a_harmful_part_reaches_few_engines_while_the_store_is_down() {
    smol::block_on(async {
        let mut site = Site::new(ENGINES).await;
        site.start_nodes(NODES).await;
        site.store.set_fault(StoreFault::Status(503));
        let brief = Load {
            duration_ms: 3_000,
            ..load(Place::Middle)
        };
        let answers = site.send_load(&brief).await;
        assert_bounded(&site, &answers);
    });
}
