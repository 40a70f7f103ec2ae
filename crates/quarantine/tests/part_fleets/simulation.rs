//! Engines and requests in virtual time, driven by events.

use crate::fleet::{encoded_bytes, Fleet};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::EngineEnd;
use ploverlift_quarantine::exchange::{MergeOutcome, ReportOptions};
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestTag};
use ploverlift_quarantine::node_messages::ReportedSubject;
use ploverlift_quarantine::quarantine::{Permission, Quarantine};
use ploverlift_quarantine::request_permission::{PermissionQuery, RequestAttempt};
use ploverlift_quarantine::subject::{PartFingerprint, Subject};
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::BTreeMap;
use std::rc::Rc;

const START_MS: u64 = 1_000_000;
const TENANT: TenantTag = TenantTag(1);
const HARMFUL: u64 = 666;
/// The part with which all prompts begin.
const COMMON: u64 = 1;
/// Number of parts of which each prompt has one, in two groups.
const MANUALS: u64 = 60;
const PAGES: u64 = 3_000;
/// Time without harmful requests at the start, in milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Time from the begin of a harmful request to the end of its engine, in milliseconds.
const ENDS_AFTER_MS: u64 = 50;
/// Time until a node knows of an engine's end, in milliseconds.
const DETECTED_AFTER_MS: u64 = 5;
/// Time until an engine is back, in milliseconds.
const DOWN_MS: u64 = 4_000;
/// Intervals of the reports, as in the gateway, in milliseconds.
const REPORT_PERIOD_MS: u64 = 250;
const MIN_PERIOD_MS: u64 = 5;
const SUBJECTS_PER_DATAGRAM: usize = 6;
/// Bytes of a datagram beside its reports.
const DATAGRAM_BYTES: u64 = 50;
/// One in this number of datagrams is lost.
const LOST_ONE_IN: u64 = 50;

/// The load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub engines: usize,
    pub requests_per_second: u64,
    pub runtime_ms: u64,
    pub harmful_per_thousand: u64,
    pub duration_ms: u64,
}

enum Event {
    Arrival,
    /// A request whose claim takes effect.
    Begin(usize),
    Finish(usize),
    EngineEnd(usize, u32),
    /// A node learns of the end of the engine under its request.
    Detected(usize, EngineEnd),
    Report(usize),
    Delivery(usize, usize, Rc<Vec<ReportedSubject>>),
    EndSome(u64),
    EndAll,
}

struct Request {
    node: usize,
    subjects: Vec<Subject>,
    is_harmful: bool,
    claimed: Vec<Subject>,
    engine: usize,
    begun: u64,
    is_cut: bool,
}

struct Engine {
    tag: u32,
    back_at: u64,
    running: Vec<usize>,
}

/// What happened; times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Results {
    harmful_sent: Vec<u64>,
    harmful_ends: Vec<u64>,
    /// When each other request arrived, and whether it was sent.
    sound: Vec<(u64, bool)>,
    pub refused_sound_parts: usize,
    pub longest_refusal_ms: u64,
    most_bytes: u64,
    all_bytes: u64,
    most_subjects: usize,
}

pub struct Simulation {
    fleet: Fleet,
    load: Load,
    now: u64,
    seed: u64,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    requests: Vec<Request>,
    engines: Vec<Engine>,
    results: Results,
    /// Since when each part is refused to sound requests, without one sent in between.
    refused_since: BTreeMap<Subject, u64>,
}

fn part(id: u64) -> Subject {
    PartFingerprint(id).into()
}

impl Simulation {
    pub fn new(fleet: Fleet, load: Load, seed: u64) -> Self {
        let engines = (0..load.engines).map(|number| Engine {
            tag: number as u32,
            back_at: 0,
            running: Vec::new(),
        });
        let nodes = fleet.nodes.len();
        let mut simulation = Self {
            fleet,
            load,
            now: START_MS,
            seed,
            events: BTreeMap::new(),
            scheduled: 0,
            requests: Vec::new(),
            engines: engines.collect(),
            results: Results::default(),
            refused_since: BTreeMap::new(),
        };
        simulation.schedule(0, Event::Arrival);
        for node in 0..nodes {
            let offset = simulation.random(REPORT_PERIOD_MS);
            simulation.schedule(offset, Event::Report(node));
        }
        simulation
    }

    pub fn end_engines_every(&mut self, interval_ms: u64) {
        self.schedule(interval_ms, Event::EndSome(interval_ms));
    }

    pub fn end_all_engines_at(&mut self, after_ms: u64) {
        self.schedule(after_ms, Event::EndAll);
    }

    pub fn run(mut self) -> Results {
        let until = START_MS + self.load.duration_ms;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for node in &self.fleet.nodes {
            let refused = node.quarantine.refused();
            let harmful = usize::from(node.quarantine.is_refused(part(HARMFUL)));
            let sound = refused - harmful;
            self.results.refused_sound_parts = self.results.refused_sound_parts.max(sound);
            self.results.most_bytes = self.results.most_bytes.max(node.most_bytes);
            self.results.all_bytes += node.all_bytes;
            self.results.most_subjects = self.results.most_subjects.max(node.most_subjects);
        }
        self.results
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let period_ms = 1_000.0 / self.load.requests_per_second as f64;
                let next = (self.requests.len() + 1) as f64 * period_ms;
                let delay = (START_MS + next as u64).saturating_sub(self.now);
                self.arrive();
                self.schedule(delay, Event::Arrival);
            }
            Event::Begin(request) => self.begin(request),
            Event::Finish(request) => self.finish(request),
            Event::EngineEnd(engine, tag) => self.end_engine(engine, tag),
            Event::Detected(request, end) => self.detect(request, end),
            Event::Report(node) => self.report(node),
            Event::Delivery(from, to, reports) => self.deliver(from, to, &reports),
            Event::EndSome(interval_ms) => {
                let engine = self.random(self.engines.len() as u64) as usize;
                self.end_engine(engine, self.engines[engine].tag);
                self.schedule(interval_ms, Event::EndSome(interval_ms));
            }
            Event::EndAll => {
                for engine in 0..self.engines.len() {
                    self.end_engine(engine, self.engines[engine].tag);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let number = self.requests.len();
        let is_warm = self.now >= START_MS + WARM_UP_MS;
        let is_harmful = is_warm && self.random(1_000) < self.load.harmful_per_thousand;
        let manual = 10 + self.random(MANUALS);
        let page = 1_000 + self.random(PAGES);
        let second = match is_harmful {
            true => HARMFUL,
            false => manual,
        };
        let request = RequestFingerprint(number as u64);
        let subjects = vec![request.into(), part(COMMON), part(second), part(page)];
        let node = self.random(self.fleet.nodes.len() as u64) as usize;
        self.requests.push(Request {
            node,
            subjects: subjects.clone(),
            is_harmful,
            claimed: Vec::new(),
            engine: 0,
            begun: 0,
            is_cut: false,
        });
        let now = Millis(self.now);
        let query = PermissionQuery {
            subjects: &subjects,
            has_new_software: &|_| false,
        };
        let permitted = self.quarantine(node).request_permission(query, now);
        match permitted.permission {
            Permission::Free => self.begin(number),
            Permission::AfterClaim => {
                for subject in &permitted.to_claim {
                    self.quarantine(node)
                        .claim(*subject, Fleet::peer(node), now);
                }
                self.requests[number].claimed = permitted.to_claim;
                self.report_soon(node);
                self.schedule(self.fleet.claim_delay_ms(), Event::Begin(number));
            }
            Permission::Busy { .. } | Permission::Refused { .. } => {
                self.record_outcome(number, false);
                if let Some(subject) = permitted.due_to.filter(|_| !is_harmful) {
                    let since = *self.refused_since.entry(subject).or_insert(self.now);
                    let refused_ms = self.now - since;
                    let longest_ms = self.results.longest_refusal_ms.max(refused_ms);
                    self.results.longest_refusal_ms = longest_ms;
                }
            }
        }
    }

    fn begin(&mut self, number: usize) {
        let request = &self.requests[number];
        let node = request.node;
        let (subjects, claimed) = (request.subjects.clone(), request.claimed.clone());
        let own = Fleet::peer(node);
        let now = Millis(self.now);
        let attempt = RequestAttempt {
            subjects: &subjects,
            renewed: &[],
            claimed: &claimed,
            own,
        };
        let quarantine = self.quarantine(node);
        if !quarantine.begin_request(&attempt, &|_| false, now) {
            self.record_outcome(number, false);
            self.release(number);
            return;
        }
        self.report_soon(node);
        let Some(engine) = self.free_engine() else {
            self.release(number);
            return;
        };
        self.record_outcome(number, true);
        for subject in &subjects {
            self.refused_since.remove(subject);
        }
        let request = &mut self.requests[number];
        request.engine = engine;
        request.begun = self.now;
        let is_harmful = request.is_harmful;
        self.engines[engine].running.push(number);
        if is_harmful {
            self.results.harmful_sent.push(self.now);
            let tag = self.engines[engine].tag;
            self.schedule(ENDS_AFTER_MS, Event::EngineEnd(engine, tag));
        } else {
            self.schedule(self.load.runtime_ms, Event::Finish(number));
        }
    }

    fn finish(&mut self, number: usize) {
        if self.requests[number].is_cut {
            return;
        }
        let engine = self.requests[number].engine;
        self.engines[engine]
            .running
            .retain(|known| *known != number);
        let now = Millis(self.now);
        let node = self.requests[number].node;
        for subject in self.requests[number].subjects.clone() {
            if self.quarantine(node).note_answered(subject, now) {
                self.report_soon(node);
            }
        }
        self.release(number);
    }

    fn end_engine(&mut self, engine: usize, tag: u32) {
        if self.engines[engine].tag != tag || self.engines[engine].back_at > self.now {
            return;
        }
        let cut = std::mem::take(&mut self.engines[engine].running);
        self.engines[engine].back_at = self.now + DOWN_MS;
        self.engines[engine].tag += self.load.engines as u32;
        if cut.iter().any(|number| self.requests[*number].is_harmful) {
            self.results.harmful_ends.push(self.now);
        }
        for number in cut {
            self.requests[number].is_cut = true;
            let end = EngineEnd {
                engine: EngineTag(tag),
                begun: Millis(self.requests[number].begun),
                at: Millis(self.now),
                request: RequestTag(number as u32),
            };
            self.schedule(DETECTED_AFTER_MS, Event::Detected(number, end));
        }
    }

    fn detect(&mut self, number: usize, end: EngineEnd) {
        let node = self.requests[number].node;
        let now = Millis(self.now);
        for subject in self.requests[number].subjects.clone() {
            self.quarantine(node)
                .note_end(subject, TENANT, end, None, now);
        }
        self.report_soon(node);
        self.release(number);
    }

    fn release(&mut self, number: usize) {
        let node = self.requests[number].node;
        let now = Millis(self.now);
        for subject in std::mem::take(&mut self.requests[number].claimed) {
            self.quarantine(node)
                .release(subject, Fleet::peer(node), now);
            self.report_soon(node);
        }
    }

    /// Sends what is due, and schedules the next report at the latest after a period.
    fn report(&mut self, from: usize) {
        let now = self.now;
        let node = &mut self.fleet.nodes[from];
        let is_period = now - node.last_period_at >= REPORT_PERIOD_MS;
        if is_period {
            node.last_period_at = now;
            self.schedule(REPORT_PERIOD_MS, Event::Report(from));
        }
        let node = &mut self.fleet.nodes[from];
        node.is_report_due = false;
        let options = ReportOptions {
            is_period,
            includes_refused: is_period && (now / REPORT_PERIOD_MS) % 16 == 0,
            passes_on: node.is_relay,
        };
        let quarantine = &mut node.quarantine;
        let reports = quarantine.reports_due(Fleet::peer(from), options, Millis(now));
        node.most_subjects = node.most_subjects.max(node.quarantine.len());
        if reports.is_empty() {
            return;
        }
        if reports.len() >= 12 {
            self.report_soon(from);
        }
        for datagram in reports.chunks(SUBJECTS_PER_DATAGRAM) {
            let bytes: u64 = datagram.iter().map(encoded_bytes).sum();
            let shared = Rc::new(datagram.to_vec());
            for to in self.fleet.receivers(from) {
                self.count_bytes(from, bytes + DATAGRAM_BYTES);
                if self.random(LOST_ONE_IN) > 0 {
                    let delivery = Event::Delivery(from, to, Rc::clone(&shared));
                    self.schedule(Fleet::delay_ms(from, to), delivery);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, reports: &[ReportedSubject]) {
        let now = Millis(self.now);
        let passes_on = self.fleet.nodes[to].is_relay;
        let (sender, own) = (Fleet::peer(from), Fleet::peer(to));
        let mut is_changed = false;
        for report in reports {
            let outcome = self
                .quarantine(to)
                .merge(report, sender, own, passes_on, now);
            is_changed |= outcome != MergeOutcome::Unchanged;
        }
        if is_changed {
            self.report_soon(to);
        }
    }

    fn count_bytes(&mut self, from: usize, bytes: u64) {
        let second = self.now / 1_000;
        let node = &mut self.fleet.nodes[from];
        if node.second != second {
            node.second = second;
            node.second_bytes = 0;
        }
        node.second_bytes += bytes;
        node.all_bytes += bytes;
        node.most_bytes = node.most_bytes.max(node.second_bytes);
    }

    fn report_soon(&mut self, node: usize) {
        if !std::mem::replace(&mut self.fleet.nodes[node].is_report_due, true) {
            self.schedule(MIN_PERIOD_MS, Event::Report(node));
        }
    }

    fn record_outcome(&mut self, number: usize, is_sent: bool) {
        if !self.requests[number].is_harmful {
            self.results.sound.push((self.now, is_sent));
        }
    }

    fn free_engine(&mut self) -> Option<usize> {
        let first = self.random(self.engines.len() as u64) as usize;
        let all = (0..self.engines.len()).map(|step| (first + step) % self.engines.len());
        let mut up = all.filter(|engine| self.engines[*engine].back_at <= self.now);
        up.next()
    }

    fn quarantine(&mut self, node: usize) -> &mut Quarantine {
        &mut self.fleet.nodes[node].quarantine
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + delay_ms, self.scheduled), event);
    }

    /// A number below `bound` (SplitMix64).
    fn random(&mut self, bound: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

impl Results {
    /// The fifth end under the harmful part, or the last one if there are fewer.
    fn fifth_end(&self) -> u64 {
        let ends = &self.harmful_ends;
        ends.get(4).or(ends.last()).copied().unwrap_or(START_MS)
    }

    /// Number of harmful requests sent later than this after the fifth end.
    pub fn harmful_sent_after(&self, after_ms: u64) -> usize {
        let since = self.fifth_end() + after_ms;
        let late = self.harmful_sent.iter().filter(|sent| **sent > since);
        late.count()
    }

    /// Share of the other requests that were sent before the first end.
    pub fn sound_sent_before(&self) -> f64 {
        let first = self.harmful_ends.first().copied().unwrap_or(u64::MAX);
        self.sent_share(|at| at < first)
    }

    /// Share of the other requests that were sent, of those later than this after the fifth end.
    pub fn sound_sent_after(&self, after_ms: u64) -> f64 {
        let since = self.fifth_end() + after_ms;
        self.sent_share(|at| at > since)
    }

    pub fn sound_refused_share(&self) -> f64 {
        1.0 - self.sent_share(|_| true)
    }

    fn sent_share(&self, counts: impl Fn(u64) -> bool) -> f64 {
        let counted = self.sound.iter().filter(|(at, _)| counts(*at));
        let (all, sent) = counted.fold((0, 0), |(all, sent), (_, is_sent)| {
            (all + 1, sent + usize::from(*is_sent))
        });
        sent as f64 / f64::from(all.max(1))
    }

    pub fn summary(&self) -> String {
        let refused = self.sound_refused_share();
        format!(
            "{} sent with the part, {} ends, {} later than 3 s; {refused:.4} of the others \
             refused, longest {} ms; most bytes of a node in a second {}, of all nodes {}, most subjects {}",
            self.harmful_sent.len(),
            self.harmful_ends.len(),
            self.harmful_sent_after(3_000),
            self.longest_refusal_ms,
            self.most_bytes,
            self.all_bytes,
            self.most_subjects,
        )
    }
}
