//! Engines that turn requests away and name a time for which they want nothing.

use crate::oracle::most_within_backoff;
use crate::play_alone;
use crate::support::deployment::Deployment;
use crate::support::engine::Behaviour;
use crate::support::traffic::{Asked, Traffic};
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Nodes of the site.
const NODES: usize = 5;
/// Engines of the site.
const ENGINES: usize = 6;
/// Time between two requests at one node, in milliseconds: 100 a second at the site.
const PERIOD_MS: u64 = 50;
/// Time for which the engines turn requests away, in milliseconds.
const REFUSING_MS: u64 = 2_500;
/// Requests of a node that an engine may get within the time that it named.
const MOST_WITHIN: usize = 2;
/// Longest time for which a request that is rejected may have been held; the shared thread of
/// the test comes on top.
const LONGEST_HOLD: Duration = Duration::from_millis(50);

/// What a time to back off made of the callers' requests.
struct Played {
    site: Deployment,
    asked: Vec<Asked>,
    /// When the engines served again.
    ended_at: Instant,
    /// By how much a timer of this process was late at most.
    latest_timer: Duration,
}

/// So many engines turn requests away for a while, each time for so long.
async fn refusing(engines: usize, backoff_ms: u64) -> Played {
    let mut site = Deployment::new(ENGINES).await;
    site.start_nodes(NODES).await;
    let traffic = Traffic::start(site.callers(), PERIOD_MS);
    sleep(500).await;
    for engine in &site.engines[..engines] {
        engine.name_backoff(Some(&backoff_ms.to_string()));
        engine.set(Behaviour::Refuse);
    }
    sleep(REFUSING_MS).await;
    for engine in &site.engines[..engines] {
        engine.set(Behaviour::Answer);
    }
    let ended_at = Instant::now();
    sleep(backoff_ms + 2_000).await;
    let latest_timer = traffic.latest_timer();
    Played {
        asked: traffic.asked(),
        site,
        ended_at,
        latest_timer,
    }
}

fn check_engines(played: &Played) {
    for engine in &played.site.engines {
        let most = most_within_backoff(engine);
        assert!(most <= MOST_WITHIN, "{most} within the time to back off");
    }
}

/// Guards against requests that engines get within the time for which they had told the node
/// that they want nothing, where no other engine is left.
#[test]
fn engines_that_all_want_nothing_for_a_time_get_nothing_and_callers_are_rejected_at_once() {
    let _playing = play_alone();
    smol::block_on(async {
        let played = refusing(ENGINES, 2_000).await;
        check_engines(&played);
        let rejected = played.asked.iter().filter(|asked| asked.status != 200);
        assert!(rejected.clone().all(|asked| asked.status == 503));
        assert!(rejected.clone().count() > 50);
        let longest = rejected.map(|asked| asked.took).max().unwrap_or_default();
        let late = played.latest_timer;
        println!("held for {longest:?} at most; a timer was late by {late:?} at most");
        assert!(longest < LONGEST_HOLD + late, "held for {longest:?}");
        let last_rejected = played.asked.iter().filter(|asked| asked.status != 200);
        let last = last_rejected.map(|asked| asked.at).max().expect("one");
        let served_from = played.ended_at + Duration::from_millis(2_000 + 1_000);
        assert!(last < served_from, "rejected when the engines served again");
    });
}
