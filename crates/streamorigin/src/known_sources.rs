//! What one node knows of the register of stream sources, and what it has to write.
//!
//! A link is *present* at a node while its configuration or its engines contain it, and
//! *confirmed* once a call that was sent after the link appeared has shown it registered and
//! not marked for removal. A link that no node has present is first marked, and removed once
//! the mark has stood for longer than any stream lives: a node at which the link appears
//! meanwhile has to remove the mark before it begins a stream, so a mark that still stands
//! proves that no stream has begun since.

use crate::source::StreamSource;
use crate::sources::{Generation, RouteKey, SourceLink, SourceRegister};
use ploverlift_policy::ids::{Millis, StoreEra};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a link stays registered after it was marked for removal, in milliseconds.
pub const REMEMBERED_MS: u64 = 600_000;
/// Time without a link after which it is marked for removal, in milliseconds.
pub const ABSENT_BEFORE_MARK_MS: u64 = 30_000;
/// Time for which requests admitted before a link disappeared may still use it, in
/// milliseconds.
const LINGERING_MS: u64 = 60_000;

/// Age of the last read of the register from which it is read again, in milliseconds.
const RENEWED_AFTER_MS: u64 = 240_000;
/// Age of the last read of the register from which it confirms no link, in milliseconds. Shorter
/// than [`REMEMBERED_MS`] by more than a stream lives, so that a node that does not know of a mark
/// begins no stream by the marked link in the time that its removal relies on.
pub const CONFIRMED_FOR_MS: u64 = 300_000;

/// A call of the store as it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallStart {
    /// Number of the appearances of links before.
    appearances: u64,
    at: Millis,
}

/// Proofs of what this node takes for present: when the calls were sent that gave them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewProofs {
    /// Last proof that the list of engines is complete.
    pub engines: Option<Millis>,
    /// Last proof that the configuration is the newest.
    pub configuration: Option<Millis>,
}

/// The sources of streams of a path, as the last read of the register tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The register proves nothing: it was not read, or may lack links.
    Unproven,
    /// No stream of the path can have begun.
    None,
    /// All streams of the path began here.
    Only(StreamSource),
    /// Streams of the path may have begun at any of this number of sources.
    Several(usize),
}

impl Sources {
    /// Its name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unproven => "unproven",
            Self::None => "none",
            Self::Only(_) => "one",
            Self::Several(_) => "several",
        }
    }
}

/// A mark that this node waits for.
#[derive(Clone, Copy, Debug)]
struct StandingMark {
    generation: Generation,
    seen_at: Millis,
    /// When this node was first certain, after it had seen the mark, that the link is absent.
    absent_since: Option<Millis>,
}

/// The register as one node knows it.
#[derive(Clone, Debug, Default)]
pub struct KnownSources {
    /// The last register that proved something.
    register: Option<SourceRegister>,
    /// Whether the last read of the register proved it.
    is_proven: bool,
    /// When the last call was sent that proved the register.
    read_at: Millis,
    /// Present links, and how many had appeared with each.
    present: BTreeMap<SourceLink, u64>,
    appearances: u64,
    confirmed: BTreeSet<SourceLink>,
    /// Confirmed links that have disappeared, and when.
    lingering: BTreeMap<SourceLink, Millis>,
    absent_since: BTreeMap<SourceLink, Millis>,
    marks: BTreeMap<SourceLink, StandingMark>,
    incomplete: Option<StandingMark>,
}

impl KnownSources {
    /// Replaces the present links.
    pub fn set_present(&mut self, links: BTreeSet<SourceLink>, now: Millis) {
        let known = self.present.keys();
        let gone = known.filter(|link| !links.contains(*link)).cloned();
        let gone: Vec<SourceLink> = gone.collect();
        for link in &gone {
            self.note_absent(link, now);
        }
        for link in links {
            self.note_present(link);
        }
    }

    /// Records that a link is present.
    pub fn note_present(&mut self, link: SourceLink) {
        if self.present.contains_key(&link) {
            return;
        }
        self.appearances += 1;
        self.lingering.remove(&link);
        self.absent_since.remove(&link);
        self.marks.remove(&link);
        self.present.insert(link, self.appearances);
    }

    /// Records that a link is not present any more.
    pub fn note_absent(&mut self, link: &SourceLink, now: Millis) {
        if self.present.remove(link).is_none() {
            return;
        }
        self.absent_since.insert(link.clone(), now);
        if self.confirmed.remove(link) {
            self.lingering.insert(link.clone(), now);
        }
    }

    /// Begins a call of the store.
    pub fn begin_call(&self, now: Millis) -> CallStart {
        CallStart {
            appearances: self.appearances,
            at: now,
        }
    }

    /// Applies the register as a call in an era showed it, or as it was written by that call.
    /// Returns whether it proves anything.
    pub fn apply(
        &mut self,
        stored: Option<&SourceRegister>,
        era: StoreEra,
        started: CallStart,
        now: Millis,
    ) -> bool {
        let Some(stored) = stored.filter(|stored| self.is_proof(stored, era)) else {
            self.is_proven = false;
            self.confirmed.clear();
            self.lingering.clear();
            return false;
        };
        if !self.is_proven || self.era() != era {
            self.confirmed.clear();
            self.lingering.clear();
        }
        for (link, appearance) in &self.present {
            match stored.allows(link) {
                true if *appearance <= started.appearances => {
                    self.confirmed.insert(link.clone());
                }
                true => {}
                false => {
                    self.confirmed.remove(link);
                }
            }
        }
        self.follow_marks(stored, now);
        for link in stored.links.keys() {
            if !self.present.contains_key(link) {
                self.absent_since.entry(link.clone()).or_insert(now);
            }
        }
        self.absent_since
            .retain(|link, _| stored.links.contains_key(link));
        self.lingering.retain(|link, gone| {
            stored.links.contains_key(link) && now.since(*gone) < LINGERING_MS
        });
        self.register = Some(stored.clone());
        self.is_proven = true;
        self.read_at = started.at;
        true
    }

    /// A register of another era, or with fewer writes than were acknowledged, has lost links.
    fn is_proof(&self, stored: &SourceRegister, era: StoreEra) -> bool {
        let known = self.register.as_ref().filter(|known| known.era == era);
        let has_lost_writes = known.is_some_and(|known| stored.generation < known.generation);
        stored.era == era && !has_lost_writes
    }

    fn follow_marks(&mut self, stored: &SourceRegister, now: Millis) {
        let seen = |generation| StandingMark {
            generation,
            seen_at: now,
            absent_since: None,
        };
        let is_other_era = self.era() != stored.era;
        let before = match is_other_era {
            true => BTreeMap::new(),
            false => std::mem::take(&mut self.marks),
        };
        let marked = stored.links.iter().filter_map(|(link, mark)| {
            let mark = (*mark)?;
            let known = before.get(link).copied();
            let known = known.filter(|known| known.generation == mark);
            Some((link.clone(), known.unwrap_or_else(|| seen(mark))))
        });
        self.marks = marked.collect();
        let known = self.incomplete.filter(|_| !is_other_era);
        self.incomplete = stored.incomplete_since.map(|mark| {
            let known = known.filter(|known| known.generation == mark);
            known.unwrap_or_else(|| seen(mark))
        });
    }

    /// Notes how recently this node was certain of what is present.
    pub fn note_view(&mut self, proofs: ViewProofs, now: Millis) {
        for (link, mark) in &mut self.marks {
            let proven_at = match link {
                SourceLink::Target(..) => proofs.configuration,
                SourceLink::Software(..) => proofs.engines,
            };
            let is_proven = proven_at.is_some_and(|at| at > mark.seen_at);
            if self.present.contains_key(link) {
                mark.absent_since = None;
            } else if is_proven {
                mark.absent_since.get_or_insert(now);
            }
        }
        if let Some(mark) = &mut self.incomplete {
            mark.absent_since.get_or_insert(now);
        }
    }

    /// Whether a stream may begin by way of a link, as far as the register matters.
    pub fn is_usable(&self, link: &SourceLink, era: StoreEra, now: Millis) -> bool {
        if !self.is_proven || self.era() != era || now.since(self.read_at) >= CONFIRMED_FOR_MS {
            return false;
        }
        let lingers = || {
            let gone = self.lingering.get(link);
            gone.is_some_and(|gone| now.since(*gone) < LINGERING_MS)
        };
        self.confirmed.contains(link) || lingers()
    }

    /// Whether any present link is still to be confirmed.
    pub fn has_unconfirmed(&self, era: StoreEra) -> bool {
        let is_outdated = !self.is_proven || self.era() != era;
        !self.present.is_empty() && (is_outdated || self.confirmed.len() < self.present.len())
    }

    /// Whether the register should be read again, so that it goes on to confirm links.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        !self.present.is_empty() && now.since(self.read_at) >= RENEWED_AFTER_MS
    }

    /// Whether a link should be marked or removed now.
    pub fn has_maintenance(&self, now: Millis) -> bool {
        let Some(register) = self.register.as_ref().filter(|_| self.is_proven) else {
            return false;
        };
        let is_due = |link: &SourceLink| self.is_mark_due(register, link, now);
        register.links.keys().any(is_due)
            || self.marks.keys().any(|link| self.is_removal_due(link, now))
            || self.is_completion_due(now)
    }

    fn is_mark_due(&self, register: &SourceRegister, link: &SourceLink, now: Millis) -> bool {
        let absent_since = self.absent_since.get(link);
        register.allows(link)
            && absent_since.is_some_and(|since| now.since(*since) >= ABSENT_BEFORE_MARK_MS)
    }

    fn is_removal_due(&self, link: &SourceLink, now: Millis) -> bool {
        let mark = self.marks.get(link);
        let absent_since = mark.and_then(|mark| mark.absent_since);
        absent_since.is_some_and(|since| now.since(since) >= REMEMBERED_MS)
    }

    fn is_completion_due(&self, now: Millis) -> bool {
        let known_since = self.incomplete.and_then(|mark| mark.absent_since);
        known_since.is_some_and(|since| now.since(since) >= REMEMBERED_MS)
    }

    /// The register to write in place of the one that a call in an era showed and that has
    /// been applied; `None` if nothing is to be changed. Only a node that reads the
    /// configuration and the engines from the store itself `maintains` the register.
    pub fn revision(
        &self,
        stored: Option<&SourceRegister>,
        era: StoreEra,
        maintains: bool,
        now: Millis,
    ) -> Option<SourceRegister> {
        let mut revised = self.complete(stored, era);
        if maintains && self.is_proven {
            self.retire(&mut revised, now);
        }
        for link in self.present.keys() {
            revised.links.insert(link.clone(), None);
        }
        let is_changed = stored != Some(&revised);
        revised.generation = self.next_generation(stored);
        is_changed.then_some(revised)
    }

    /// The stored register, with the links that this node knows if it may have lost some.
    fn complete(&self, stored: Option<&SourceRegister>, era: StoreEra) -> SourceRegister {
        if let Some(stored) = stored.filter(|stored| self.is_proof(stored, era)) {
            return stored.clone();
        }
        let next = self.next_generation(stored);
        // A store that was never restored, and that has no register, has had none.
        let is_first = stored.is_none() && era == StoreEra::default() && self.register.is_none();
        let mut complete = SourceRegister {
            era,
            generation: next,
            incomplete_since: (!is_first).then_some(next),
            links: BTreeMap::new(),
        };
        for known in stored.into_iter().chain(&self.register) {
            complete.add_links_of(known);
        }
        complete
    }

    fn retire(&self, revised: &mut SourceRegister, now: Millis) {
        let next = self.next_generation(Some(revised));
        let links: Vec<SourceLink> = revised.links.keys().cloned().collect();
        for link in links {
            if self.is_removal_due(&link, now) {
                revised.links.remove(&link);
            } else if self.is_mark_due(revised, &link, now) {
                revised.links.insert(link, Some(next));
            }
        }
        if self.is_completion_due(now) {
            revised.incomplete_since = None;
        }
    }

    fn next_generation(&self, stored: Option<&SourceRegister>) -> Generation {
        let both = stored.into_iter().chain(&self.register);
        let last = both.map(|register| register.generation).max();
        Generation(last.unwrap_or_default().0 + 1)
    }

    /// The sources of streams of a path.
    pub fn sources(&self, host: &str, path: &str, era: StoreEra) -> Sources {
        let register = self.register.as_ref();
        let register = register.filter(|known| self.is_proven && known.era == era);
        let Some(sources) = register.and_then(|register| register.sources(host, path)) else {
            return Sources::Unproven;
        };
        let count = sources.len();
        match sources.into_iter().next() {
            None => Sources::None,
            Some(only) if count == 1 => Sources::Only(only),
            Some(_) => Sources::Several(count),
        }
    }

    /// The versions of a service at which streams may not begin yet.
    pub fn unusable_versions(
        &self,
        service: &ServiceName,
        era: StoreEra,
        now: Millis,
    ) -> Vec<SoftwareVersion> {
        let versions = self.versions(service);
        let unusable = versions.filter(|(link, _)| !self.is_usable(link, era, now));
        unusable.map(|(_, software)| software.clone()).collect()
    }

    /// Whether streams of a route may begin at a service, at one version of its engines at
    /// least. Also true while the service has no engine.
    pub fn has_usable_source(
        &self,
        route: RouteKey,
        service: &ServiceName,
        era: StoreEra,
        now: Millis,
    ) -> bool {
        let target = SourceLink::Target(route, service.clone());
        let mut versions = self.versions(service).peekable();
        versions.peek().is_none()
            || self.is_usable(&target, era, now)
                && versions.any(|(link, _)| self.is_usable(link, era, now))
    }

    fn versions<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a SourceLink, &'a SoftwareVersion)> {
        let first = SourceLink::Software(service.clone(), SoftwareVersion::default());
        let links = self.present.range(first..).map(|(link, _)| link);
        links.map_while(move |link| match link {
            SourceLink::Software(of_service, software) if of_service == service => {
                Some((link, software))
            }
            _ => None,
        })
    }

    /// The last register that proved something.
    pub fn register(&self) -> Option<&SourceRegister> {
        self.register.as_ref()
    }

    fn era(&self) -> StoreEra {
        let register = self.register.as_ref();
        register.map(|register| register.era).unwrap_or_default()
    }
}
