//! Streams that are taken up after nodes were killed at once: their sources are in the store.

use crate::site::{metric, resumption_after, Resumptions, VersionedSite};
use crate::support::caller::send;
use crate::support::engine::{Behaviour, EVENTS};
use crate::support::start_node;
use crate::support::store::{StandInStore, StoreFault};
use ploverlift_clock::unix_ms;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Versions that serve side by side, two engines each.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];
const NODES: usize = 7;
/// Number of streams that each node begins before it is killed.
const STREAMS_OF_NODE: usize = 12;
/// Pause between the streams of a node, in milliseconds.
const PAUSE_MS: u64 = 50;
/// Number of events of a stream that outlasts the test's disruption; it is taken up after its
/// first, of [`EVENTS`] in all.
const LONG: u64 = 60;
/// Period at which the nodes of a small fleet write their streams' sources: streams whose first
/// event is older must go on.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// Share of these streams that must go on.
const MIN_CONTINUED_SHARE: f64 = 0.9;
/// Longest wait for a silent store before a stream is rejected, and some scheduling.
const REJECTED_WITHIN: Duration = Duration::from_millis(800 + 100);
/// Kind of the objects with the sources of streams.
const KIND: &str = "StreamOrigins";
/// Interval at which the store is looked at, in milliseconds.
const POLL_MS: u64 = 2;
/// Longest wait for a write.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Period of a node's writes with a margin for a busy machine, in milliseconds.
const SETTLED_MS: u64 = 300;

/// Streams that have begun, with the time of their first events.
struct Begun {
    streams: Vec<(String, u64, Instant)>,
}

/// Begins long streams at all nodes in turn.
async fn begin_streams(site: &VersionedSite, case: &str) -> Begun {
    site.set_all(&Behaviour::StreamSlowly(LONG));
    let mut streams = Vec::new();
    for number in 0..STREAMS_OF_NODE {
        for node in 0..site.nodes.len() {
            let id = format!("{case}-{node}-{number}");
            let stream = site.begin(node, &id).await;
            streams.push((id, stream.break_off(), Instant::now()));
        }
        sleep(PAUSE_MS).await;
    }
    Begun { streams }
}

/// Takes streams up whose first events are older than the write period at `killed_at`; later
/// ones may be lost, but not go on at another version either.
async fn take_up_all(site: &VersionedSite, begun: Begun, killed_at: Instant) -> Resumptions {
    site.set_all(&Behaviour::Answer);
    let (mut older, mut later) = (Resumptions::default(), Resumptions::default());
    for (number, (began, last, first_event)) in begun.streams.into_iter().enumerate() {
        assert!(last < EVENTS, "{began}: nothing is left");
        let resumed = format!("{began}-again");
        let node = site.callers_of(number % site.nodes.len());
        let answer = send(node, &resumption_after(last, &resumed, &began)).await;
        let is_older = first_event + WRITE_PERIOD <= killed_at;
        let resumptions = if is_older { &mut older } else { &mut later };
        resumptions.note(&answer, last, &began);
        let used = site.versions_of(&[&began, &resumed]);
        assert!(used.len() <= 1, "{began}: {used:?}");
    }
    println!("older than the write period: {older:?}, later: {later:?}");
    older
}

/// Waits until the objects fulfil a condition.
async fn wait_for(site: &VersionedSite, what: &str, is_reached: impl Fn(&StandInStore) -> bool) {
    let began = Instant::now();
    while !is_reached(&site.store) {
        assert!(began.elapsed() < LONGEST_WAIT, "{what}");
        sleep(POLL_MS).await;
    }
}

/// Waits until each of the running nodes has an object, and for another write.
async fn wait_until_written(site: &VersionedSite) {
    let names = site.nodes.iter();
    let names = names.map(|node| node.gateway.settings().node.name.clone());
    for name in names {
        wait_for(site, &name, |store| store.content(KIND, &name).is_some()).await;
    }
    sleep(SETTLED_MS).await;
}

/// Changes the stored objects of all nodes.
fn change_objects(site: &VersionedSite, change: impl Fn(&mut Value)) {
    let names = site.store.names(KIND);
    assert!(!names.is_empty(), "nothing is stored");
    for name in names {
        let mut content = site.store.content(KIND, &name).expect("an object");
        change(&mut content);
        site.store.put(KIND, &name, content);
    }
}

// Guards against streams whose sources are lost when all nodes are killed at once.
#[test]
fn streams_go_on_at_their_version_after_all_nodes_were_killed() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &VERSIONS, Behaviour::Answer).await;
        let begun = begin_streams(&site, "all").await;
        let delays = site.nodes.iter().map(mean_delay_ms).collect::<Vec<f64>>();
        println!("mean time until sources are stored, by node, in ms: {delays:?}");
        let killed = site.kill_all();
        let killed_at = Instant::now();
        site.start_all_again(killed).await;
        let older = take_up_all(&site, begun, killed_at).await;
        assert!(older.continued_share() >= MIN_CONTINUED_SHARE, "{older:?}");
        let placed = site.nodes.iter();
        let placed = placed.map(|node| metric(node, "streams_placed_by_journal_total"));
        assert!(placed.sum::<f64>() >= older.continued as f64 / 2.0);
    });
}

/// Mean time from a first event until its source was stored, in milliseconds.
fn mean_delay_ms(node: &RunningGateway) -> f64 {
    let sum = metric(node, "stream_journal_delay_seconds_sum");
    let count = metric(node, "stream_journal_delay_seconds_count");
    1_000.0 * sum / count.max(1.0)
}

// Guards against streams that are forgotten because all of their keepers were killed.
#[test]
fn streams_go_on_at_their_version_after_half_of_the_nodes_were_killed() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &VERSIONS, Behaviour::Answer).await;
        let begun = begin_streams(&site, "half").await;
        let mut killed = Vec::new();
        for node in (0..NODES).rev().filter(|node| node % 2 == 0) {
            killed.push(site.kill(node));
        }
        let killed_at = Instant::now();
        let older = take_up_all(&site, begun, killed_at).await;
        assert!(older.continued_share() >= MIN_CONTINUED_SHARE, "{older:?}");
        site.start_all_again(killed).await;
    });
}

// Guards against a node that restarts alone and overwrites sources that no other node has read.
#[test]
fn a_node_that_starts_again_keeps_the_sources_of_its_former_streams() {
    smol::block_on(async {
        let mut site = VersionedSite::start(2, &VERSIONS, Behaviour::Answer).await;
        site.set_all(&Behaviour::StreamSlowly(LONG));
        let began: Vec<String> = (0..8).map(|number| format!("former-{number}")).collect();
        for id in &began {
            site.begin(0, id).await;
        }
        wait_for(&site, "a write", |store| {
            store.content(KIND, "node-0").is_some()
        })
        .await;
        sleep(SETTLED_MS).await;
        let mut killed = site.kill_all();
        // The first node alone starts, writes a stream of its own and is killed again.
        let second = killed.remove(1);
        site.start_all_again(killed).await;
        let before = site.store.content(KIND, "node-0");
        site.begin(0, "own").await;
        let is_written = |store: &StandInStore| store.content(KIND, "node-0") != before;
        wait_for(&site, "another write", is_written).await;
        site.kill_all();
        site.start_all_again(vec![second]).await;
        site.set_all(&Behaviour::Answer);
        for id in &began {
            let resumed = format!("{id}-again");
            let answer = send(site.callers_of(0), &resumption_after(1, &resumed, id)).await;
            assert_eq!(answer.status(), 200, "{id}: {}", answer.text());
            assert_eq!(site.versions_of(&[id, &resumed]).len(), 1, "{id}");
        }
    });
}

// Guards against a stream that goes on at any version because the store lost its source.
#[test]
fn streams_are_rejected_after_all_nodes_were_killed_and_the_store_lost_their_sources() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        site.set_all(&Behaviour::StreamSlowly(LONG));
        let last = site.begin(0, "began").await.break_off();
        sleep(SETTLED_MS).await;
        let killed = site.kill_all();
        for name in site.store.names(KIND) {
            site.store.remove(KIND, &name);
        }
        site.start_all_again(killed).await;
        assert_rejected(&site, last, "began").await;
    });
}

// Guards against an origin from before a restoration of the store, whose id may be used again.
#[test]
fn sources_from_before_a_restoration_are_not_believed() {
    smol::block_on(async {
        let mut site = VersionedSite::start_with_era(3, &["v1", "v2"]).await;
        site.set_all(&Behaviour::StreamSlowly(LONG));
        let mut lasts = Vec::new();
        for node in 0..3 {
            let id = format!("began-{node}");
            lasts.push(site.begin(node, &id).await.break_off());
        }
        wait_until_written(&site).await;
        let copy = site.store.copy();
        let killed = site.kill_all();
        site.store.restore(&copy);
        site.start_all_again(killed).await;
        for (node, last) in lasts.into_iter().enumerate() {
            assert_rejected(&site, last, &format!("began-{node}")).await;
        }
    });
}

// Guards against running streams that are lost because the store came back without them.
#[test]
fn running_streams_are_stored_again_after_a_restoration() {
    smol::block_on(async {
        let mut site = VersionedSite::start_with_era(3, &VERSIONS).await;
        let copy = site.store.copy();
        site.set_all(&Behaviour::StreamSlowly(LONG));
        for node in 0..3 {
            site.begin(node, &format!("began-{node}")).await;
        }
        wait_until_written(&site).await;
        site.store.restore(&copy);
        assert!(site.store.names(KIND).is_empty());
        wait_until_written(&site).await;
        let killed = site.kill_all();
        site.start_all_again(killed).await;
        site.set_all(&Behaviour::Answer);
        for node in 0..3 {
            let (began, resumed) = (format!("began-{node}"), format!("again-{node}"));
            let answer = send(site.callers_of(0), &resumption_after(1, &resumed, &began)).await;
            assert_eq!(answer.status(), 200, "{began}: {}", answer.text());
            assert_eq!(site.versions_of(&[&began, &resumed]).len(), 1);
        }
    });
}

// Guards against sources that outlive their streams by far, and against objects of later
// releases and others that can't be read.
#[test]
fn stored_sources_are_read_with_unknown_fields_and_not_long_after_their_streams() {
    smol::block_on(async {
        for (case, is_known) in [("later", true), ("old", false)] {
            let mut site = VersionedSite::start(3, &["v1", "v1", "v2"], Behaviour::Answer).await;
            site.set_all(&Behaviour::StreamSlowly(LONG));
            let last = site.begin(0, "began").await.break_off();
            wait_for(&site, "a write", |store| !store.names(KIND).is_empty()).await;
            let killed = site.kill_all();
            change_objects(&site, |content| match is_known {
                true => content["of_a_later_release"] = json!({"any": ["thing"]}),
                false => {
                    let written = content["written_unix_ms"].as_u64().expect("a time");
                    content["written_unix_ms"] = json!(written - 3_600_000 / 2);
                }
            });
            site.store.put(KIND, "malformed", json!({"streams": 7}));
            site.store.put(KIND, "empty", Value::Null);
            site.start_all_again(killed).await;
            if !is_known {
                assert_rejected(&site, last, "began").await;
                continue;
            }
            site.set_all(&Behaviour::Answer);
            let request = resumption_after(last, "resumed", "began");
            let answer = send(site.callers_of(1), &request).await;
            assert_eq!(answer.status(), 200, "{case}: {}", answer.text());
            assert_eq!(site.versions_of(&["began", "resumed"]).len(), 1, "{case}");
        }
    });
}

// Guards against a stream that waits for a silent store, or goes on at any version because the
// store is silent.
#[test]
fn a_silent_store_neither_holds_nor_mixes_streams() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &VERSIONS, Behaviour::Answer).await;
        let written = begin_streams(&site, "written").await;
        sleep(SETTLED_MS).await;
        site.store.set_fault(StoreFault::Silent);
        site.set_all(&Behaviour::StreamSlowly(LONG));
        let last = site.begin(0, "unwritten").await.break_off();
        // The store takes the write and does nothing.
        sleep(SETTLED_MS).await;
        let killed = site.kill_all();
        let killed_at = Instant::now();
        site.store.set_fault(StoreFault::None);
        site.start_all_again(killed).await;
        site.store.set_fault(StoreFault::Silent);
        let began = Instant::now();
        assert_rejected(&site, last, "unwritten").await;
        assert!(began.elapsed() < REJECTED_WITHIN, "{:?}", began.elapsed());
        // What was written has been read when the nodes started.
        let older = take_up_all(&site, written, killed_at).await;
        assert!(older.continued_share() >= MIN_CONTINUED_SHARE, "{older:?}");
    });
}

// Guards against objects of nodes that are gone for good staying for ever, and against deleting
// those that may still be needed.
#[test]
fn objects_that_nobody_writes_are_deleted_after_an_hour() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let now = unix_ms();
        for (name, minutes) in [("gone", 61), ("recent", 59)] {
            let written = now - minutes * 60_000;
            let content = json!({"written_unix_ms": written, "era": null, "sources": [],
                                 "streams": ""});
            store.put(KIND, name, content);
        }
        let _node = start_node(&store, "node", "");
        let began = Instant::now();
        while store.names(KIND).contains(&"gone".to_owned()) {
            assert!(began.elapsed() < LONGEST_WAIT, "not deleted");
            sleep(POLL_MS).await;
        }
        assert_eq!(store.names(KIND), ["recent"]);
    });
}

async fn assert_rejected(site: &VersionedSite, last: u64, began: &str) {
    site.set_all(&Behaviour::Answer);
    let resumed = format!("{began}-rejected");
    let request = resumption_after(last, &resumed, began);
    let answer = send(site.callers_of(0), &request).await;
    assert_eq!(answer.status(), 503, "{began}: {}", answer.text());
    assert!(answer.head.headers.get("retry-after-ms").is_some());
    assert!(site.versions_of(&[&resumed]).is_empty(), "{began}");
}
