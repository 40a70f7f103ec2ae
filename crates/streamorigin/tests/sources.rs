//! The register of stream sources: whatever nodes, the store and engines do in whatever order,
//! the register never names one source alone for a stream that began at another one.

use ploverlift_policy::ids::{Millis, StoreEra};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::known_sources::{
    CallStart, KnownSources, Sources, ViewProofs, ABSENT_BEFORE_MARK_MS, CONFIRMED_FOR_MS,
    REMEMBERED_MS,
};
use ploverlift_streamorigin::source::StreamSource;
use ploverlift_streamorigin::sources::{Generation, RouteKey, SourceLink, SourceRegister};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeSet;

const HOST: &str = "a.test";
const PATH: &str = "/x/events";
const NODES: usize = 3;
const SERVICES: [&str; 2] = ["one", "two"];
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Age of a node's view beyond which it begins no streams, in milliseconds.
const LONGEST_LAG_MS: u64 = 60_000;
/// Longest life of a stream, in milliseconds.
const LONGEST_LIFE_MS: u64 = 300_000;
const CASES: u32 = 3_000;

fn route() -> RouteKey {
    RouteKey::new(HOST, "/x/")
}

fn target(service: &str) -> SourceLink {
    SourceLink::Target(route(), ServiceName::from(service))
}

fn software(service: &str, version: &str) -> SourceLink {
    SourceLink::Software(
        ServiceName::from(service),
        SoftwareVersion(version.to_owned()),
    )
}

fn source(service: &str, version: &str) -> StreamSource {
    StreamSource::new(
        &ServiceName::from(service),
        SoftwareVersion(version.to_owned()),
    )
}

/// The store: a register with the revision of its last change, and its era.
#[derive(Clone, Debug, Default)]
struct Store {
    era: StoreEra,
    revision: u64,
    stored: Option<(u64, SourceRegister)>,
}

/// What a call showed, which the node applies later.
#[derive(Clone, Debug)]
struct Shown {
    era: StoreEra,
    stored: Option<(u64, SourceRegister)>,
    started: CallStart,
}

#[derive(Default)]
struct Node {
    known: KnownSources,
    era: StoreEra,
    seen_at: Option<Millis>,
    shown: Option<Shown>,
}

impl Node {
    fn apply(&mut self, shown: &Shown, now: Millis) {
        if shown.era < self.era {
            return;
        }
        self.era = shown.era;
        let register = shown.stored.as_ref().map(|(_, register)| register);
        self.known.apply(register, shown.era, shown.started, now);
    }
}

struct BegunStream {
    source: StreamSource,
    at: Millis,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    SetTarget(usize, bool),
    SetSoftware(usize, usize, bool),
    /// The node learns what is present now.
    Look(usize),
    /// A call of the node arrives at the store.
    Read(usize),
    /// The answer arrives at the node.
    Answer(usize),
    /// The node writes what the register lacks by the last answer.
    Write(usize),
    Begin(usize, usize, usize),
    TakeUp(usize),
    Kill(usize),
    Copy,
    Restore,
}

struct Fleet {
    now: Millis,
    present: BTreeSet<SourceLink>,
    store: Store,
    copy: Store,
    nodes: Vec<Node>,
    streams: Vec<BegunStream>,
    placed: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Millis(1_000_000),
            present: BTreeSet::from([target("one"), software("one", "v1")]),
            store: Store::default(),
            copy: Store::default(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            streams: Vec::new(),
            placed: 0,
        }
    }

    fn set(&mut self, link: SourceLink, is_present: bool) {
        match is_present {
            true => self.present.insert(link),
            false => self.present.remove(&link),
        };
    }

    fn show(&self, started: CallStart) -> Shown {
        Shown {
            era: self.store.era,
            stored: self.store.stored.clone(),
            started,
        }
    }

    fn write(&mut self, node: usize) {
        let now = self.now;
        let Some(shown) = self.nodes[node].shown.clone() else {
            return;
        };
        let register = shown.stored.as_ref().map(|(_, register)| register);
        let known = &self.nodes[node].known;
        let Some(revised) = known.revision(register, shown.era, true, now) else {
            return;
        };
        let started = known.begin_call(now);
        let read = shown.stored.as_ref().map_or(0, |(revision, _)| *revision);
        let stored = self
            .store
            .stored
            .as_ref()
            .map_or(0, |(revision, _)| *revision);
        if read == stored {
            self.store.revision += 1;
            self.store.stored = Some((self.store.revision, revised));
        }
        let shown = self.show(started);
        self.nodes[node].apply(&shown, now);
        self.nodes[node].shown = Some(shown);
    }

    fn begin(&mut self, node: usize, service: &str, version: &str) {
        let (now, node) = (self.now, &self.nodes[node]);
        let is_recent = node
            .seen_at
            .is_some_and(|at| now.since(at) <= LONGEST_LAG_MS);
        let mut links = [target(service), software(service, version)].into_iter();
        if is_recent && links.all(|link| node.known.is_usable(&link, node.era, now)) {
            let source = source(service, version);
            self.streams.push(BegunStream { source, at: now });
        }
    }

    fn take_up(&mut self, node: usize) {
        let now = self.now;
        let shown = self.show(self.nodes[node].known.begin_call(now));
        self.nodes[node].apply(&shown, now);
        let known = &self.nodes[node].known;
        let Sources::Only(only) = known.sources(HOST, PATH, self.nodes[node].era) else {
            return;
        };
        for stream in &self.streams {
            if now.since(stream.at) <= LONGEST_LIFE_MS {
                assert_eq!(stream.source, only, "a stream of {:?}", stream.at);
                self.placed += 1;
            }
        }
    }

    fn step(&mut self, step: &Step) {
        let now = self.now;
        match *step {
            Step::Wait(ms) => self.now = now.plus(ms),
            Step::SetTarget(service, is_present) => {
                self.set(target(SERVICES[service]), is_present);
            }
            Step::SetSoftware(service, version, is_present) => {
                self.set(software(SERVICES[service], VERSIONS[version]), is_present);
            }
            Step::Look(node) => {
                let node = &mut self.nodes[node];
                node.era = self.store.era;
                node.seen_at = Some(now);
                node.known.set_present(self.present.clone(), now);
                let proofs = ViewProofs {
                    engines: Some(now),
                    configuration: Some(now),
                };
                node.known.note_view(proofs, now);
            }
            Step::Read(node) => {
                let shown = self.show(self.nodes[node].known.begin_call(now));
                self.nodes[node].shown = Some(shown);
            }
            Step::Answer(node) => {
                if let Some(shown) = self.nodes[node].shown.clone() {
                    self.nodes[node].apply(&shown, now);
                }
            }
            Step::Write(node) => self.write(node),
            Step::Begin(node, service, version) => {
                self.begin(node, SERVICES[service], VERSIONS[version]);
            }
            Step::TakeUp(node) => self.take_up(node),
            Step::Kill(node) => self.nodes[node] = Node::default(),
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                let era = StoreEra(self.store.era.0 + 1);
                self.store = Store {
                    era,
                    ..self.copy.clone()
                };
            }
        }
        // Beginning is tried after each step: a stream begins whenever a node lets it.
        for node in 0..NODES {
            for service in SERVICES {
                for version in VERSIONS {
                    if self.streams.len() < 2_000 {
                        self.begin(node, service, version);
                    }
                }
            }
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let service = 0..SERVICES.len();
    let version = 0..VERSIONS.len();
    let waits = prop_oneof![
        0_u64..50,
        Just(ABSENT_BEFORE_MARK_MS),
        0..LONGEST_LAG_MS,
        Just(REMEMBERED_MS / 2),
        Just(REMEMBERED_MS),
    ];
    let step = prop_oneof![
        3 => waits.prop_map(Step::Wait),
        1 => (service.clone(), any::<bool>()).prop_map(|(at, is)| Step::SetTarget(at, is)),
        2 => (service.clone(), version.clone(), any::<bool>())
            .prop_map(|(at, version, is)| Step::SetSoftware(at, version, is)),
        5 => node.clone().prop_map(Step::Look),
        3 => node.clone().prop_map(Step::Read),
        4 => node.clone().prop_map(Step::Answer),
        4 => node.clone().prop_map(Step::Write),
        1 => (node.clone(), service, version)
            .prop_map(|(node, at, version)| Step::Begin(node, at, version)),
        4 => node.clone().prop_map(Step::TakeUp),
        1 => node.prop_map(Step::Kill),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ];
    prop::collection::vec(step, 1..160)
}

#[test]
fn the_register_never_names_one_source_for_a_stream_of_another() {
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let placed = std::cell::Cell::new(0);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let result = runner.run(&steps(), |steps| {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.step(step);
        }
        placed.set(placed.get() + fleet.placed);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(
        placed.get() > 1_000,
        "few streams were placed: {}",
        placed.get()
    );
}

/// A node whose view and register are up to date.
struct UpToDate {
    known: KnownSources,
    stored: Option<SourceRegister>,
    now: Millis,
}

impl UpToDate {
    fn new(present: &[SourceLink]) -> Self {
        let mut node = Self {
            known: KnownSources::default(),
            stored: None,
            now: Millis(1_000_000),
        };
        node.look(present);
        node
    }

    /// Learns what is present, and writes what the register lacks in this era.
    fn look(&mut self, present: &[SourceLink]) {
        self.look_in(present, StoreEra::default());
    }

    fn look_in(&mut self, present: &[SourceLink], era: StoreEra) {
        let links = present.iter().cloned().collect();
        self.known.set_present(links, self.now);
        let proofs = ViewProofs {
            engines: Some(self.now),
            configuration: Some(self.now),
        };
        self.known.note_view(proofs, self.now);
        let started = self.known.begin_call(self.now);
        self.known
            .apply(self.stored.as_ref(), era, started, self.now);
        if let Some(revised) = self
            .known
            .revision(self.stored.as_ref(), era, true, self.now)
        {
            self.known.apply(Some(&revised), era, started, self.now);
            self.stored = Some(revised);
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
    }

    fn sources(&self) -> Sources {
        self.known.sources(HOST, PATH, StoreEra::default())
    }
}

#[test]
fn a_version_is_removed_once_its_mark_has_stood_for_longer_than_streams_live() {
    let both = [target("one"), software("one", "v1"), software("one", "v2")];
    let later = [target("one"), software("one", "v2")];
    let mut node = UpToDate::new(&both);
    assert_eq!(node.sources(), Sources::Several(2));
    node.look(&later);
    node.wait(ABSENT_BEFORE_MARK_MS);
    node.look(&later);
    let marked = node.stored.as_ref().expect("a register");
    assert!(!marked.allows(&software("one", "v1")));
    assert_eq!(node.sources(), Sources::Several(2));
    node.wait(1);
    node.look(&later);
    node.wait(REMEMBERED_MS - 1);
    node.look(&later);
    assert_eq!(node.sources(), Sources::Several(2));
    node.wait(1);
    node.look(&later);
    assert_eq!(node.sources(), Sources::Only(source("one", "v2")));
    // Nothing is left to write.
    assert!(!node.known.has_unconfirmed(StoreEra::default()));
    assert!(!node.known.has_maintenance(node.now));
}

#[test]
fn a_version_that_comes_back_is_not_removed() {
    let both = [target("one"), software("one", "v1"), software("one", "v2")];
    let later = [target("one"), software("one", "v2")];
    let mut node = UpToDate::new(&both);
    node.look(&later);
    node.wait(ABSENT_BEFORE_MARK_MS);
    node.look(&later);
    node.wait(REMEMBERED_MS / 2);
    node.look(&both);
    let stored = node.stored.as_ref().expect("a register");
    assert!(stored.allows(&software("one", "v1")));
    node.look(&later);
    node.wait(REMEMBERED_MS / 2 + 1);
    node.look(&later);
    node.look(&later);
    assert_eq!(node.sources(), Sources::Several(2));
}

// Guards against believing a register of before the store was restored from a copy.
#[test]
fn a_register_of_an_earlier_era_proves_nothing() {
    let present = [target("one"), software("one", "v1")];
    let mut node = UpToDate::new(&present);
    assert_eq!(node.sources(), Sources::Only(source("one", "v1")));
    let copy = node.stored.clone();
    let both = [target("one"), software("one", "v1"), software("one", "v2")];
    node.look(&both);
    node.look(&present);
    node.stored = copy;
    let era = StoreEra(1);
    node.look_in(&present, era);
    assert_eq!(node.known.sources(HOST, PATH, era), Sources::Unproven);
    let stored = node.stored.clone().expect("a register");
    assert!(stored.links.contains_key(&software("one", "v2")), "lost");
    // Another node, which knows nothing of the earlier era.
    let mut other = KnownSources::default();
    other.apply(Some(&stored), era, other.begin_call(node.now), node.now);
    assert_eq!(other.sources(HOST, PATH, era), Sources::Unproven);
    for _ in 0..3 {
        node.wait(REMEMBERED_MS);
        node.look_in(&present, era);
        node.wait(1);
        node.look_in(&present, era);
    }
    let sources = node.known.sources(HOST, PATH, era);
    assert_eq!(sources, Sources::Only(source("one", "v1")));
}

#[test]
fn a_missing_register_is_complete_only_in_a_store_that_was_never_restored() {
    let present: BTreeSet<SourceLink> = [target("one"), software("one", "v1")].into();
    let mut known = KnownSources::default();
    known.set_present(present, Millis(1));
    let first = known.revision(None, StoreEra(0), true, Millis(1));
    assert_eq!(first.expect("a write").incomplete_since, None);
    let restored = known.revision(None, StoreEra(1), true, Millis(1));
    assert!(restored.expect("a write").incomplete_since.is_some());
}

/// A register with one link and its mark.
fn register_of(link: &SourceLink, generation: u64, mark: Option<Generation>) -> SourceRegister {
    SourceRegister {
        generation: Generation(generation),
        links: [(link.clone(), mark)].into(),
        ..SourceRegister::default()
    }
}

#[test]
fn a_source_is_usable_only_once_a_later_call_has_shown_it() {
    let link = software("one", "v1");
    let register = register_of(&link, 1, None);
    let mut known = KnownSources::default();
    let started = known.begin_call(Millis(0));
    known.note_present(link.clone());
    known.apply(Some(&register), StoreEra(0), started, Millis(1));
    assert!(!known.is_usable(&link, StoreEra(0), Millis(1)));
    known.apply(
        Some(&register),
        StoreEra(0),
        known.begin_call(Millis(0)),
        Millis(1),
    );
    assert!(known.is_usable(&link, StoreEra(0), Millis(1)));
    assert!(
        !known.is_usable(&link, StoreEra(1), Millis(1)),
        "another era"
    );
}

// Guards against a stream that begins at a link whose removal is under way.
#[test]
fn a_marked_link_is_usable_only_once_its_mark_was_removed() {
    let link = software("one", "v1");
    let marked = register_of(&link, 2, Some(Generation(2)));
    let mut known = KnownSources::default();
    known.note_present(link.clone());
    let started = known.begin_call(Millis(0));
    known.apply(Some(&marked), StoreEra(0), started, Millis(1));
    assert!(!known.is_usable(&link, StoreEra(0), Millis(1)));
    assert!(
        known.has_unconfirmed(StoreEra(0)),
        "the mark is to be removed"
    );
    let revised = known.revision(Some(&marked), StoreEra(0), false, Millis(1));
    let revised = revised.expect("a write");
    assert!(revised.allows(&link));
    known.apply(Some(&revised), StoreEra(0), started, Millis(2));
    assert!(known.is_usable(&link, StoreEra(0), Millis(2)));
}

#[test]
fn the_sources_of_a_path_are_those_of_all_routes_that_it_may_have_had() {
    let (long, short) = (
        RouteKey::new(HOST, "/x/y/"),
        RouteKey::new("A.test:80", "/x/"),
    );
    let other = RouteKey::new("b.test", "/x/");
    let to = |route, service: &str| SourceLink::Target(route, ServiceName::from(service));
    let links = [
        to(long, "one"),
        to(short, "two"),
        to(other, "three"),
        software("one", "v1"),
        software("two", "v1"),
        software("three", "v1"),
    ];
    let register = SourceRegister {
        links: links.into_iter().map(|link| (link, None)).collect(),
        ..SourceRegister::default()
    };
    let sources = |host: &str, path: &str| register.sources(host, path).expect("complete");
    assert_eq!(sources(HOST, "/x/y/z").len(), 2);
    assert_eq!(sources(HOST, "/x/z"), [source("two", "v1")].into());
    assert_eq!(sources("b.test", "/x/y/z"), [source("three", "v1")].into());
    assert!(sources(HOST, "/z").is_empty());
}

// Guards against a stream that begins at a link which others have marked, and removed, since this
// node read the register.
#[test]
fn a_link_is_usable_only_for_a_time_after_the_register_was_read() {
    let link = software("one", "v1");
    let register = register_of(&link, 1, None);
    let mut known = KnownSources::default();
    known.note_present(link.clone());
    let sent_at = Millis(1_000);
    let started = known.begin_call(sent_at);
    // The answer is read late, as by a node that was suspended meanwhile.
    let read_at = sent_at.plus(5_000);
    known.apply(Some(&register), StoreEra(0), started, read_at);
    let last = sent_at.plus(CONFIRMED_FOR_MS - 1);
    assert!(known.is_usable(&link, StoreEra(0), last));
    assert!(known.is_renewal_due(last), "it is read again before");
    assert!(!known.is_usable(&link, StoreEra(0), last.plus(1)));
    let started = known.begin_call(last);
    known.apply(Some(&register), StoreEra(0), started, last.plus(1));
    assert!(known.is_usable(&link, StoreEra(0), last.plus(1)));
    assert!(!known.is_renewal_due(last.plus(1)));
}
