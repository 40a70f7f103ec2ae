//! The complete logic of one node without its I/O. A driver passes in time and
//! messages and sends the resulting messages: the node's runtime does so with
//! sockets, tests and experiments do so on a simulated network in virtual time.

mod claiming;
mod configuration;
mod directory;
mod engines;
mod explaining;
mod limits;

use crate::claim_group_plan;
use crate::claim_proposer::{ClaimOutcome, Proposal, Ticket};
use crate::claims::{ClaimKey, ClaimReplica, DEFAULT_RETENTION_MS};
use crate::config_store::Record;
use crate::config_sync::ConfigSync;
use crate::engine_watch::{self, EngineWatch, POLL_TIMEOUT_MS};
use crate::membership::{Digests, Identity, MemberChange, Membership};
use crate::node_key::{rendezvous_first, NodeKey};
use crate::observer_duties::ObserverDuties;
use crate::output::{Outbox, Outgoing};
use crate::quota::Quota;
use crate::readers;
use crate::router::{Router, RouterSettings};
use ploverlift_policy::admission::RetryAfter;
use ploverlift_policy::chain::PromptChain;
use ploverlift_policy::directory::PrefixMatch;
use ploverlift_policy::fleet::{Engine, EngineKey, EngineObservation};
use ploverlift_policy::ids::{BlockHash, Incarnation, Millis, ResourceVersion, WeightsVersion};
use ploverlift_policy::objects::{ClaimGroupSpec, Kind, Object};
use ploverlift_policy::snapshot::{Tenant, TenantKey};
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{
    CatchUp, DirectoryAnswer, DirectoryLookup, DirectoryMatch, DirectoryRecord, EngineReports,
    Envelope,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum interval between calls of [`NodeCore::tick`] by the driver, in
/// milliseconds.
pub const TICK_MS: u64 = 50;
/// Interval between checks for engines whose observers are silent, in
/// milliseconds.
const SILENCE_CHECK_PERIOD_MS: u64 = 200;
/// Time-out of a lookup in the directory's shard, in milliseconds.
pub const LOOKUP_TIMEOUT_MS: u64 = 8;
/// Name of the only claim group of a site. Larger sites could divide their
/// claims among several groups.
pub const CLAIM_GROUP: &str = "claims-0";
/// Time without a tick after which a node counts as having been paused, in
/// milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_500;
/// Maximum time for which a node holds back new requests after a pause, in
/// milliseconds.
const CATCH_UP_MS: u64 = 100;
/// Maximum time for which a node that has just started holds back new requests
/// until a running node has sent it the known state of the engines, in
/// milliseconds.
const START_CATCH_UP_MS: u64 = 300;
/// Number of members that a node asks for their state after a pause.
const CATCH_UP_MEMBERS: usize = 2;
/// Time after a start during which a node counts as just started, in
/// milliseconds.
const START_UP_MS: u64 = 3_000;
/// Interval between comparisons of configuration just after a start, in
/// milliseconds.
const START_COMPARISON_PERIOD_MS: u64 = 150;
/// Interval between checks whether the claim group should change, in
/// milliseconds.
const GROUP_PLAN_PERIOD_MS: u64 = 1_000;
/// Number of times that an answer is sent to the claim's replicas, in case
/// messages are lost.
const COMPLETE_REPEATS: u32 = 3;
/// Interval between these transmissions, in milliseconds.
const COMPLETE_PERIOD_MS: u64 = 300;

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Identity of the node.
    pub identity: Identity,
    /// Addresses of the cluster listeners through which the node joins.
    pub seeds: Vec<SocketAddr>,
    /// Settings of its routing decisions.
    pub router: RouterSettings,
    /// Retention time of claims, in milliseconds.
    pub claim_retention_ms: u64,
}

impl CoreSettings {
    /// Settings with defaults for all but the identity and the seeds.
    pub fn new(identity: Identity, seeds: Vec<SocketAddr>) -> Self {
        let router = RouterSettings {
            node: identity.name.clone(),
            zone: identity.zone.clone(),
            zone_distance_ms: 1.5,
            directory_blocks: 500_000,
        };
        Self {
            identity,
            seeds,
            router,
            claim_retention_ms: DEFAULT_RETENTION_MS,
        }
    }
}

/// An event that the driver waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// A claim was decided.
    Claim {
        /// The proposal.
        ticket: Ticket,
        /// The outcome.
        outcome: ClaimOutcome,
    },
    /// The directory's shard answered.
    Lookup {
        /// The lookup.
        ticket: Ticket,
        /// Engines that hold a prefix.
        matches: Vec<PrefixMatch>,
    },
    /// Another node sent its decisions on a request.
    Explained {
        /// The request for decisions.
        ticket: Ticket,
        /// JSON array of decision records.
        decisions: Vec<u8>,
    },
    /// The claim group should get this description: store it unless another
    /// node already did.
    WriteClaimGroup {
        /// Version that must still be stored; 0 to create.
        version: ResourceVersion,
        /// The description to store.
        spec: ClaimGroupSpec,
    },
}

#[derive(Clone, Debug)]
struct Completion {
    proposal: Proposal,
    answer: Vec<u8>,
    sends_left: u32,
    next_send: Millis,
}

/// One node.
pub struct NodeCore {
    /// Other nodes.
    pub members: Membership,
    /// Configuration.
    pub config: ConfigSync,
    /// Decisions.
    pub router: Router,
    /// Rate limits over the fleet.
    pub quota: Quota,
    /// This node's replica of the claim group.
    pub claims: ClaimReplica,
    watch: EngineWatch,
    /// Observers of each engine; computed again after a change of members or
    /// machines.
    duties: Option<ObserverDuties>,
    proposals: BTreeMap<Ticket, Proposal>,
    granted: BTreeMap<Ticket, Proposal>,
    completions: Vec<Completion>,
    next_ticket: u64,
    next_group_plan: Millis,
    next_start_comparison: Millis,
    next_silence_check: Millis,
    last_tick: Millis,
    catch_up_until: Millis,
    claim_group_observed: bool,
    outbox: Outbox,
    events: Vec<CoreEvent>,
    random: fastrand::Rng,
}

impl NodeCore {
    /// A node that has just started and knows only its settings.
    pub fn new(settings: CoreSettings, seed: u64, now: Millis) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let own_key = NodeKey::of(&settings.identity.name);
        let life = settings.identity.life;
        let alone = settings.seeds.is_empty();
        let catch_up_until = now.plus(if alone { 0 } else { START_CATCH_UP_MS });
        let members = Membership::new(settings.identity, settings.seeds, &mut random);
        Self {
            members,
            config: ConfigSync::default(),
            router: Router::new(settings.router),
            quota: Quota::default(),
            claims: ClaimReplica::new(own_key, life, now, settings.claim_retention_ms),
            watch: EngineWatch::default(),
            duties: None,
            proposals: BTreeMap::new(),
            granted: BTreeMap::new(),
            completions: Vec::new(),
            next_ticket: 0,
            next_group_plan: Millis(0),
            next_start_comparison: Millis(0),
            next_silence_check: Millis(0),
            last_tick: now,
            catch_up_until,
            claim_group_observed: false,
            outbox: Outbox::default(),
            events: Vec::new(),
            random,
        }
    }

    /// Returns the messages to send and removes them.
    pub fn take_messages(&mut self) -> Vec<Outgoing> {
        self.outbox.take()
    }

    /// Returns the pending events and removes them.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        std::mem::take(&mut self.events)
    }

    /// Wraps a message for sending.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            sender: self.members.own_key().0,
            sender_life: self.members.own().life,
            body: Some(body),
            reply_to: String::new(),
        }
    }

    /// The node's random numbers.
    pub fn random(&mut self) -> &mut fastrand::Rng {
        &mut self.random
    }

    /// Performs all periodic work that is due at `now`.
    pub fn tick(&mut self, now: Millis) {
        self.detect_pause(now);
        let digests = self.digests();
        self.members
            .tick(now, digests, &mut self.random, &mut self.outbox);
        self.apply_member_changes(now);
        self.publish_engines(now);
        self.quota.tick(now, &self.members, &mut self.outbox);
        self.tick_claims(now);
        self.tick_completions(now);
        self.compare_after_start(now);
        self.apply_config_changes(now);
        self.plan_claim_group(now);
    }

    fn digests(&self) -> Digests {
        Digests {
            config: self.config.store.root().0,
            leaving: self.watch.leaving_root(),
        }
    }

    /// Sends the leaving engines that this node knows to a member whose digest
    /// of them differs.
    fn compare_leaving(&mut self, from: SocketAddr, root: u64) {
        if root == self.watch.leaving_root() {
            return;
        }
        for reports in self.watch.leaving_reports() {
            self.outbox.send(from, Body::EngineReports(reports));
        }
    }

    /// Detects a pause of the process and asks other members for what it
    /// missed.
    fn detect_pause(&mut self, now: Millis) {
        let paused = now.since(self.last_tick) >= PAUSE_THRESHOLD_MS;
        self.last_tick = now;
        if !paused {
            return;
        }
        self.catch_up_until = now.plus(CATCH_UP_MS);
        self.members
            .request_members(CATCH_UP_MEMBERS, &mut self.random, &mut self.outbox);
    }

    /// Whether the node was paused or has just started and has not yet received
    /// what it missed. New requests are held back until then, for a short time.
    pub fn is_catching_up(&self, now: Millis) -> bool {
        now.since(self.last_tick) >= PAUSE_THRESHOLD_MS || now < self.catch_up_until
    }

    /// Processes a message.
    pub fn handle(&mut self, from: SocketAddr, envelope: Envelope, now: Millis) {
        let sender = NodeKey(envelope.sender);
        let life = envelope.sender_life;
        if let Some(body) = envelope.body {
            self.handle_body(from, sender, life, body, now);
        }
        self.apply_member_changes(now);
        self.apply_config_changes(now);
    }

    fn handle_body(
        &mut self,
        from: SocketAddr,
        sender: NodeKey,
        life: u64,
        body: Body,
        now: Millis,
    ) {
        let root = self.config.store.root().0;
        let leaving = self.watch.leaving_root();
        let (members, outbox) = (&mut self.members, &mut self.outbox);
        let random = &mut self.random;
        match body {
            Body::Probe(probe) => {
                let digests = Digests {
                    config: root,
                    leaving,
                };
                members.on_probe(from, &probe, digests, now, outbox);
                if probe.on_behalf_of.is_empty() {
                    self.config.on_root(from, probe.config_root, now, outbox);
                    self.compare_leaving(from, probe.leaving_root);
                }
            }
            Body::ProbeAnswer(answer) => {
                members.on_probe_answer(from, &answer, now, outbox);
                self.config.on_root(from, answer.config_root, now, outbox);
                self.compare_leaving(from, answer.leaving_root);
            }
            Body::IndirectProbe(request) => {
                let digests = Digests {
                    config: root,
                    leaving,
                };
                members.on_indirect_probe(from, &request, digests, now, outbox);
            }
            Body::Join(join) => {
                members.on_join(from, &join, now, outbox);
                for reports in self.watch.reports_for_joiner(&self.router.fleet) {
                    outbox.send(from, Body::EngineReports(reports));
                }
                if now >= self.catch_up_until {
                    outbox.send(from, Body::CatchUp(CatchUp {}));
                }
            }
            Body::JoinAnswer(answer) => {
                members.on_join_answer(&answer, now);
                self.config.compare_with(from, outbox);
            }
            Body::ConfigPush(push) => self.config.on_push(&push, members, now, random, outbox),
            Body::ConfigBuckets(buckets) => self.config.on_buckets(from, &buckets, outbox),
            Body::ConfigVersions(versions) => self.config.on_versions(from, &versions, outbox),
            Body::ConfigPull(pull) => self.config.on_pull(from, &pull, outbox),
            Body::EngineReports(reports) => self.on_engine_reports(sender, &reports, now),
            Body::CatchUp(_) => self.catch_up_until = now,
            Body::DirectoryRecord(record) => self.on_directory_record(&record, now),
            Body::DirectoryLookup(lookup) => self.on_directory_lookup(from, &lookup, now),
            Body::DirectoryAnswer(answer) => self.on_directory_answer(answer, now),
            Body::ClaimRequest(request) => self.claims.on_request(&request, now, from, outbox),
            Body::ClaimVote(vote) => self.on_vote(vote, sender, life),
            Body::ClaimRelease(release) => self.claims.on_release(&release),
            Body::ClaimComplete(complete) => self.claims.on_complete(complete),
            Body::ClaimRecover(recover) => {
                self.claims
                    .on_recover(&recover, sender, life, now, from, outbox);
            }
            Body::ClaimState(state) => self.claims.on_state(state, sender, now),
            Body::QuotaDemand(demand) => self.on_quota_demand(from, sender, &demand, now),
            Body::QuotaGrant(grant) => self.quota.on_grant(&grant, now),
            Body::ExplainRequest(request) => self.on_explain_request(from, &request),
            Body::ExplainAnswer(answer) => self.events.push(CoreEvent::Explained {
                ticket: Ticket(answer.ticket),
                decisions: answer.decisions,
            }),
        }
    }

    fn apply_member_changes(&mut self, now: Millis) {
        let changes = self.members.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            if let MemberChange::Gone(node) = change {
                for observation in self.watch.remove_observer(node) {
                    self.router.observe(&observation, now);
                }
            }
        }
        let duties = ObserverDuties::assign(&self.router.fleet, &self.members);
        self.watch.retain_own(|engine| duties.is_own(engine));
        self.duties = Some(duties);
    }

    fn apply_config_changes(&mut self, now: Millis) {
        let changed = self.config.take_changed_records();
        if changed.is_empty() {
            return;
        }
        for record in &changed {
            self.apply_claim_group(record);
        }
        self.router.apply(&changed);
        if changed
            .iter()
            .any(|record| record.key.kind == Kind::Machine)
        {
            self.duties = None;
            self.apply_reports_to_new_engines(now);
        }
    }

    /// Applies reports that arrived before the machine list's entry of their
    /// engine.
    fn apply_reports_to_new_engines(&mut self, now: Millis) {
        let fleet = &self.router.fleet;
        let new = fleet.iter().map(|(_, engine)| engine);
        let new = new.filter(|engine| engine.incarnation == Incarnation(0));
        let keys: Vec<EngineKey> = new.map(|engine| engine.key).collect();
        for observation in keys
            .into_iter()
            .filter_map(|key| self.watch.merged_observation(key))
        {
            self.router.observe(&observation, now);
        }
    }

    fn apply_claim_group(&mut self, record: &Record) {
        let Some(object) = &record.content else {
            return;
        };
        if object.kind != Kind::ClaimGroup || object.metadata.name != CLAIM_GROUP {
            return;
        }
        if let Ok(spec) = object.typed::<ClaimGroupSpec>() {
            self.claims.set_group(Arc::new(spec));
        }
    }
}

fn address_of(members: &Membership, node: NodeKey) -> Option<SocketAddr> {
    if node == members.own_key() {
        return Some(members.own().address);
    }
    members.address(node)
}
