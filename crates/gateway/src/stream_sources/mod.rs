//! The register of stream sources in the store: kept by this node, and read for streams that
//! are taken up.
//!
//! | module | concern |
//! | --- | --- |
//! | [`document`] | the stored form |
//! | [`present`] | the links that this node's configuration and engines contain |

pub mod document;
pub mod present;

use crate::beliefs::Beliefs;
use crate::peers::roles::{role, Role};
use crate::ports::{StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::shared_reads::ReadOutcome;
use crate::store::StoreClient;
use crate::time::{sleep, within};
use ploverlift_policy::ids::{Millis, StoreEra};
use ploverlift_streamorigin::known_sources::{CallStart, Sources, ViewProofs};
use ploverlift_streamorigin::sources::{Generation, SourceRegister};
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Name of the only object.
const REGISTER_NAME: &str = "main";
/// Interval of the checks whether links should be marked or removed, in milliseconds.
const MAINTENANCE_PERIOD_MS: u64 = 5_000;
/// Time between the starts of two reads of one node, for each node of the fleet, in
/// milliseconds: the nodes of a fleet of up to 140 read at most 200 times a second together.
const READ_SPACING_MS_PER_NODE: u64 = 5;
/// Shortest and longest time between the starts of two reads, in milliseconds.
const READ_SPACING_MS: (u64, u64) = (25, 700);
/// Time for which a node that follows relays leaves a write to other nodes, in milliseconds.
const FOLLOWER_WRITE_DELAY_MS: RangeInclusive<u64> = 100..=400;
/// Maximum number of conflicting writes before the register is read again.
const MAX_CONFLICTS: u32 = 8;

/// The stored object, as a call showed it.
struct StoredRegister {
    revision: u64,
    register: Option<SourceRegister>,
}

impl StoredRegister {
    fn of(gateway: &Gateway, object: Option<&StoreObject>) -> Self {
        let Some(object) = object else {
            return Self {
                revision: 0,
                register: None,
            };
        };
        let register = document::read(&object.content);
        if register.is_none() {
            slog::warn!(gateway.log, "register of stream sources is malformed";
                "revision" => object.revision);
        }
        Self {
            revision: object.revision,
            // A register of which nothing is known lacks links.
            register: Some(register.unwrap_or_else(SourceRegister::unreadable)),
        }
    }
}

/// Registers the sources of this node's streams before they begin, and reads the register for
/// streams that are taken up, until the task is dropped.
pub async fn keep_stream_sources(gateway: Arc<Gateway>) {
    let mut keeper = SourceKeeper {
        client: StoreClient::new(&gateway),
        backoff: Backoff::new(),
        checked_at: gateway.clock.now(),
        gateway,
    };
    loop {
        keeper.wait_until_due().await;
        let began = keeper.gateway.clock.now();
        match keeper.read_and_register().await {
            Ok(()) => keeper.backoff.reset(),
            Err(error) => {
                slog::info!(keeper.gateway.log, "stream sources: store call failed";
                    "error" => error.to_string());
                keeper.client.reset();
                keeper.backoff.wait().await;
            }
        }
        let spacing_ms = read_spacing_ms(&keeper.gateway);
        let elapsed_ms = keeper.gateway.clock.now().since(began);
        sleep(spacing_ms.saturating_sub(elapsed_ms)).await;
    }
}

fn read_spacing_ms(gateway: &Gateway) -> u64 {
    let nodes = gateway.address_book().listed_nodes() as u64;
    let (shortest_ms, longest_ms) = READ_SPACING_MS;
    (nodes * READ_SPACING_MS_PER_NODE).clamp(shortest_ms, longest_ms)
}

struct SourceKeeper {
    gateway: Arc<Gateway>,
    client: StoreClient,
    backoff: Backoff,
    /// When this node last checked whether links should be marked or removed.
    checked_at: Millis,
}

impl SourceKeeper {
    /// Waits until there is a reason to read the register.
    async fn wait_until_due(&mut self) {
        loop {
            let wanted = self.gateway.source_reads.due.listen();
            let changed = self.gateway.site_updated.listen();
            if self.gateway.source_reads.is_wanted() {
                return;
            }
            if self.has_unconfirmed() || self.is_renewal_due() {
                return self.spread().await;
            }
            if self.is_maintenance_due() {
                return;
            }
            let either = futures_lite::future::or(wanted, changed);
            within(MAINTENANCE_PERIOD_MS, either).await;
        }
    }

    fn has_unconfirmed(&self) -> bool {
        let era = known_era(&self.gateway);
        self.gateway.beliefs().stream_sources.has_unconfirmed(era)
    }

    fn is_renewal_due(&self) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.beliefs().stream_sources.is_renewal_due(now)
    }

    fn is_maintenance_due(&mut self) -> bool {
        let now = self.gateway.clock.now();
        if now.since(self.checked_at) < MAINTENANCE_PERIOD_MS || !maintains(&self.gateway, now) {
            return false;
        }
        self.checked_at = now;
        let mut beliefs = self.gateway.beliefs();
        let proofs = view_proofs(&beliefs, now);
        beliefs.stream_sources.note_view(proofs, now);
        beliefs.stream_sources.has_maintenance(now)
    }

    /// Nodes that follow relays learn of a link at the same time; their reads are spread,
    /// unless a request waits.
    async fn spread(&self) {
        let now = self.gateway.clock.now();
        if role(&self.gateway, now) != Role::Follower {
            return;
        }
        let nodes = self.gateway.address_book().listed_nodes() as u64;
        let spread_ms = fastrand::u64(0..=nodes * READ_SPACING_MS_PER_NODE);
        let wanted = self.gateway.source_reads.due.listen();
        if !self.gateway.source_reads.is_wanted() {
            within(spread_ms, wanted).await;
        }
    }

    /// Reads the register, and writes what it lacks. A node that follows relays first leaves
    /// that to nodes that read the store anyway.
    async fn read_and_register(&mut self) -> Result<(), StoreError> {
        let mut stored = self.read().await?;
        let is_follower = role(&self.gateway, self.gateway.clock.now()) == Role::Follower;
        if is_follower && self.revision(&stored).is_some() {
            sleep(fastrand::u64(FOLLOWER_WRITE_DELAY_MS)).await;
            stored = self.read().await?;
        }
        self.register(stored).await
    }

    async fn read(&mut self) -> Result<StoredRegister, StoreError> {
        let sent_at = self.gateway.clock.now();
        let started = self.gateway.beliefs().stream_sources.begin_call(sent_at);
        self.gateway.source_reads.begin();
        let kind = StoreKind::StreamSources;
        match self.client.get(kind, REGISTER_NAME).await {
            Ok(object) => {
                let stored = StoredRegister::of(&self.gateway, object.as_ref());
                self.apply(&stored, started);
                self.gateway.source_reads.end(ReadOutcome::Answered);
                Ok(stored)
            }
            Err(error) => {
                self.gateway.source_reads.end(ReadOutcome::Failed);
                Err(error)
            }
        }
    }

    /// Writes what the stored register lacks, until a call shows that nothing is lacking.
    async fn register(&mut self, mut stored: StoredRegister) -> Result<(), StoreError> {
        for _ in 0..MAX_CONFLICTS {
            let Some(revised) = self.revision(&stored) else {
                return Ok(());
            };
            let sent_at = self.gateway.clock.now();
            let started = self.gateway.beliefs().stream_sources.begin_call(sent_at);
            let content = document::to_content(&revised);
            let kind = StoreKind::StreamSources;
            let written = self
                .client
                .compare_and_set(kind, REGISTER_NAME, stored.revision, content)
                .await;
            stored = match written {
                Ok(object) => {
                    self.log_written(&revised, object.revision);
                    StoredRegister {
                        revision: object.revision,
                        register: Some(revised),
                    }
                }
                Err(StoreError::Conflict {
                    current: Some(current),
                }) => StoredRegister::of(&self.gateway, Some(&current)),
                // Removed, or its revision is of another era: read again.
                Err(StoreError::Conflict { current: None }) => return Ok(()),
                Err(error) => return Err(error),
            };
            self.apply(&stored, started);
        }
        Ok(())
    }

    fn revision(&self, stored: &StoredRegister) -> Option<SourceRegister> {
        let now = self.gateway.clock.now();
        let maintains = maintains(&self.gateway, now);
        let era = self.client.answered_era();
        let beliefs = self.gateway.beliefs();
        let known = &beliefs.stream_sources;
        known.revision(stored.register.as_ref(), era, maintains, now)
    }

    fn apply(&self, stored: &StoredRegister, started: CallStart) {
        let now = self.gateway.clock.now();
        let era = self.client.answered_era();
        let register = stored.register.as_ref();
        {
            let mut beliefs = self.gateway.beliefs();
            let known = &mut beliefs.stream_sources;
            let is_proof = known.apply(register, era, started, now);
            if !is_proof {
                slog::warn!(self.gateway.log, "register of stream sources proves nothing";
                    "revision" => stored.revision, "era" => era.0,
                    "written_in_era" => register.map(|register| register.era.0));
            }
            let proofs = view_proofs(&beliefs, now);
            beliefs.stream_sources.note_view(proofs, now);
        }
        self.gateway.stream_sources_changed.notify(usize::MAX);
    }

    fn log_written(&self, register: &SourceRegister, revision: u64) {
        let marked = register.links.values().flatten().count();
        slog::info!(self.gateway.log, "stream sources registered";
            "revision" => revision,
            "generation" => register.generation.0,
            "era" => register.era.0,
            "links" => register.links.len(),
            "marked" => marked,
            "incomplete_since" => register.incomplete_since.map(|mark| mark.0));
    }
}

/// Whether this node reads configuration and engines from the store itself, and may therefore
/// mark and remove links.
fn maintains(gateway: &Gateway, now: Millis) -> bool {
    let knows_links = {
        let beliefs = gateway.beliefs();
        beliefs.configuration.is_some() && beliefs.has_listed_engines
    };
    knows_links && matches!(role(gateway, now), Role::Direct | Role::Relay)
}

fn view_proofs(beliefs: &Beliefs, now: Millis) -> ViewProofs {
    let engines = beliefs.engines_proof.reported_age_ms(now);
    let configuration = beliefs.freshness.age_ms(now);
    let since = |age_ms: u64| Millis(now.0.saturating_sub(age_ms));
    ViewProofs {
        engines: engines.map(since),
        configuration: configuration.map(since),
    }
}

/// A read of the register for a stream that is taken up.
#[derive(Clone, Debug)]
pub struct SourcesRead {
    /// The sources of streams of the path; `None` if the store did not answer in time.
    pub sources: Option<Sources>,
    /// The last write that the register contains.
    pub generation: Option<Generation>,
    /// Time since the read was asked for, in milliseconds: the register is at most as old.
    pub age_ms: u64,
}

/// Reads the register for a stream of a path that is taken up. The read begins after this
/// call, and is shared with other requests.
pub async fn read_sources(gateway: &Gateway, host: &str, path: &str) -> SourcesRead {
    let began = gateway.clock.now();
    let is_read = gateway.source_reads.is_answered().await;
    let era = known_era(gateway);
    let age_ms = gateway.clock.now().since(began);
    let beliefs = gateway.beliefs();
    let known = &beliefs.stream_sources;
    SourcesRead {
        sources: is_read.then(|| known.sources(host, path, era)),
        generation: known.register().map(|register| register.generation),
        age_ms,
    }
}

/// Whether the source of a stream of a path may be confused with another one, as far as this
/// node knows.
pub fn may_be_confused(gateway: &Gateway, beliefs: &Beliefs, host: &str, path: &str) -> bool {
    let sources = beliefs
        .stream_sources
        .sources(host, path, known_era(gateway));
    !matches!(sources, Sources::Only(_))
}

/// The era of the store that this node knows.
pub fn known_era(gateway: &Gateway) -> StoreEra {
    gateway.store_era.get().unwrap_or_default()
}
