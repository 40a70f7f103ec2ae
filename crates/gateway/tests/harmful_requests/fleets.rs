//! Limits how many engines one request ends, whichever nodes it is sent to.

use crate::site::{harmful_call, harmful_prompt, Site, MAX_ENDED};
use crate::support::caller::{self, prompt};
use crate::support::store::StoreFault;
use ploverlift_gateway::quarantine::{list_refused, release_refused};
use ploverlift_gateway::time::{sleep, within};

/// Nodes of the site.
const NODES: usize = 5;
/// Engines of the site.
const ENGINES: usize = 12;
/// Number of times that the request is sent.
const REQUESTS_SENT: usize = 30;
/// Pause after each answer, in milliseconds.
const PAUSE_MS: u64 = 30;
/// Longest wait until the nodes have stored the refused request once the store answers
/// again, in milliseconds.
const MAX_WAIT_MS: u64 = 20_000;

#[test]
fn a_request_that_ends_engines_reaches_few_of_them_through_any_node() {
    smol::block_on(async {
        let mut site = Site::new("llm", ENGINES).await;
        site.start_nodes(NODES).await;
        let statuses = site
            .send_repeatedly(&harmful_prompt(), REQUESTS_SENT, PAUSE_MS)
            .await;
        assert!(site.ends() <= MAX_ENDED, "{} engines ended", site.ends());
        // The refused request has not run, and the status reports that.
        assert_eq!(statuses.last(), Some(&503));
        // Another request of the same caller is served.
        let node = &site.nodes[0];
        let answer = caller::send(node.callers, &prompt("stream.test", "r")).await;
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn a_repeatable_request_ends_no_more_engines() {
    smol::block_on(async {
        let mut site = Site::new("app", ENGINES).await;
        site.start_nodes(NODES).await;
        site.send_repeatedly(&harmful_call(), REQUESTS_SENT, PAUSE_MS)
            .await;
        assert!(site.ends() <= MAX_ENDED, "{} engines ended", site.ends());
    });
}

#[test]
fn restarted_nodes_send_a_refused_request_to_no_engine() {
    smol::block_on(async {
        let mut site = Site::new("llm", ENGINES).await;
        site.start_nodes(NODES).await;
        site.send_repeatedly(&harmful_prompt(), REQUESTS_SENT, PAUSE_MS)
            .await;
        let before = site.ends();
        assert!(before < ENGINES, "no engine is left");
        site.stop_nodes();
        site.start_nodes(NODES).await;
        site.send_repeatedly(&harmful_prompt(), NODES, 0).await;
        assert_eq!(site.ends(), before);
        // An operator can list the one entry and remove it.
        let gateway = &site.nodes[0].gateway;
        let listed = list_refused(gateway).await.expect("a list");
        assert_eq!(listed.len(), 1);
        assert_eq!(
            site.store.names("RefusedRequests"),
            [listed[0].0.to_string()]
        );
        let released = release_refused(gateway, listed[0].0).await;
        released.expect("a release");
        assert!(site.store.names("RefusedRequests").is_empty());
    });
}

#[test]
fn nodes_report_to_each_other_while_the_store_is_down() {
    smol::block_on(async {
        let mut site = Site::new("llm", ENGINES).await;
        site.start_nodes(NODES).await;
        site.store.set_fault(StoreFault::Status(503));
        site.send_repeatedly(&harmful_prompt(), REQUESTS_SENT / 2, PAUSE_MS)
            .await;
        assert!(site.ends() <= MAX_ENDED, "{} engines ended", site.ends());
        // The refused request is stored once the store answers again.
        site.store.set_fault(StoreFault::None);
        let stored = async {
            while site.store.names("RefusedRequests").is_empty() {
                sleep(PAUSE_MS).await;
            }
        };
        let stored = within(MAX_WAIT_MS, stored).await;
        assert!(stored.is_some(), "the refused request was not stored");
    });
}
