//! The whole of one node without its I/O. A driver gives it time and messages
//! and performs what it asks: the node's runtime does so with sockets, tests
//! and experiments do so on a simulated network in virtual time.

use crate::claim_group_plan;
use crate::claim_proposer::{ClaimOutcome, Proposal, Ticket};
use crate::claims::{ClaimKey, ClaimReplica, DEFAULT_RETENTION_MS};
use crate::config_store::Record;
use crate::config_sync::ConfigSync;
use crate::engine_watch::{self, EngineWatch, LOOK_TIMEOUT_MS};
use crate::membership::{Digests, Identity, MemberChange, Membership};
use crate::node_key::{rendezvous_first, NodeKey};
use crate::observer_duties::ObserverDuties;
use crate::output::{Outbox, Outgoing};
use crate::quota::Quota;
use crate::readers;
use crate::router::{Router, RouterSettings};
use ploverlift_policy::admission::ComeBack;
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

/// The driver calls [`NodeCore::tick`] at least this often, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Time between two looks for engines whose observers are silent, in milliseconds.
const SILENCE_CHECK_PERIOD_MS: u64 = 200;
/// Time after which a lookup in the directory's shard is given up, in milliseconds.
pub const LOOKUP_TIMEOUT_MS: u64 = 8;
/// The one claim group of a site. More groups divide the claims of larger ones.
pub const CLAIM_GROUP: &str = "claims-0";
/// A node that did not tick for so long was paused, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// Longest time for which a node that was paused holds new requests, in milliseconds.
const CATCH_UP_MS: u64 = 100;
/// Longest time for which a node that has just started holds new requests:
/// until a node that runs has told it what it knows of engines, in milliseconds.
const START_CATCH_UP_MS: u64 = 300;
/// Members that a node that was paused asks.
const CATCH_UP_MEMBERS: usize = 2;
/// A node counts as just started for so long, in milliseconds.
const START_UP_MS: u64 = 3_000;
/// Time between two comparisons of configuration just after a start, in milliseconds.
const START_COMPARISON_PERIOD_MS: u64 = 150;
/// Time between two looks at whether the claim group should change, in milliseconds.
const GROUP_PLAN_PERIOD_MS: u64 = 1_000;
/// An answer is sent to the claim's replicas so many times, against loss.
const COMPLETE_REPEATS: u32 = 3;
/// Time between two of these, in milliseconds.
const COMPLETE_PERIOD_MS: u64 = 300;

/// Constants of one node.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Who the node is.
    pub identity: Identity,
    /// Cluster listeners that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Constants of its decisions.
    pub router: RouterSettings,
    /// Time for which claims are kept, in milliseconds.
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

/// Something that the driver waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// A claim was decided.
    Claim {
        /// The proposal.
        ticket: Ticket,
        /// What came of it.
        outcome: ClaimOutcome,
    },
    /// The directory's shard answered.
    Lookup {
        /// The lookup.
        ticket: Ticket,
        /// Engines that hold a prefix.
        matches: Vec<PrefixMatch>,
    },
    /// Another node answered about its decisions on a request.
    Explained {
        /// The question.
        ticket: Ticket,
        /// JSON array of decision records.
        decisions: Vec<u8>,
    },
    /// The claim group should get this description: store it if nobody did.
    WriteClaimGroup {
        /// Version that must still be stored; 0 to create.
        version: ResourceVersion,
        /// What to store.
        spec: ClaimGroupSpec,
    },
}

#[derive(Clone, Debug)]
struct Completion {
    proposal: Proposal,
    answer: Vec<u8>,
    left: u32,
    next: Millis,
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
    /// This node's part in the claim group.
    pub claims: ClaimReplica,
    watch: EngineWatch,
    /// Who observes which engine; worked out again after a change of members
    /// or machines.
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
    group_seen_from_platform: bool,
    outbox: Outbox,
    events: Vec<CoreEvent>,
    random: fastrand::Rng,
}

impl NodeCore {
    /// A node that has just started: it knows its settings and nothing else.
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
            group_seen_from_platform: false,
            outbox: Outbox::default(),
            events: Vec::new(),
            random,
        }
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<Outgoing> {
        self.outbox.take()
    }

    /// Takes what the driver waits for.
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

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Millis) {
        self.notice_pause(now);
        let digests = self.digests();
        self.members
            .tick(now, digests, &mut self.random, &mut self.outbox);
        self.take_in_member_changes(now);
        self.publish_engines(now);
        self.quota.tick(now, &self.members, &mut self.outbox);
        self.tick_claims(now);
        self.tick_completions(now);
        self.compare_after_start(now);
        self.take_in_config(now);
        self.plan_claim_group(now);
    }

    fn digests(&self) -> Digests {
        Digests {
            config: self.config.store.root().0,
            leaving: self.watch.leaving_root(),
        }
    }

    /// Tells a member that knows other leaving engines those that this node knows.
    fn compare_leaving(&mut self, from: SocketAddr, root: u64) {
        if root == self.watch.leaving_root() {
            return;
        }
        for reports in self.watch.leaving_reports() {
            self.outbox.send(from, Body::EngineReports(reports));
        }
    }

    /// After a pause of its process a node asks others what it missed.
    fn notice_pause(&mut self, now: Millis) {
        let paused = now.since(self.last_tick) >= PAUSE_MS;
        self.last_tick = now;
        if !paused {
            return;
        }
        self.catch_up_until = now.plus(CATCH_UP_MS);
        self.members
            .ask_some(CATCH_UP_MEMBERS, &mut self.random, &mut self.outbox);
    }

    /// Whether the node was paused, or has just started, and has not heard yet
    /// what it missed. New requests wait for it, shortly.
    pub fn is_catching_up(&self, now: Millis) -> bool {
        now.since(self.last_tick) >= PAUSE_MS || now < self.catch_up_until
    }

    /// Takes in a message.
    pub fn handle(&mut self, from: SocketAddr, envelope: Envelope, now: Millis) {
        let sender = NodeKey(envelope.sender);
        let life = envelope.sender_life;
        if let Some(body) = envelope.body {
            self.handle_body(from, sender, life, body, now);
        }
        self.take_in_member_changes(now);
        self.take_in_config(now);
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
            Body::EngineReports(reports) => self.heard(sender, &reports, now),
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

    fn take_in_member_changes(&mut self, now: Millis) {
        let changes = self.members.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            if let MemberChange::Gone(node) = change {
                for observation in self.watch.observer_gone(node) {
                    self.router.observe(&observation, now);
                }
            }
        }
        let duties = ObserverDuties::assign(&self.router.fleet, &self.members);
        self.watch.keep_own(|engine| duties.is_own(engine));
        self.duties = Some(duties);
    }

    fn take_in_config(&mut self, now: Millis) {
        let learned = self.config.take_learned();
        if learned.is_empty() {
            return;
        }
        for record in &learned {
            self.take_in_claim_group(record);
        }
        self.router.apply(&learned);
        if learned
            .iter()
            .any(|record| record.key.kind == Kind::Machine)
        {
            self.duties = None;
            self.apply_reports_to_new_engines(now);
        }
    }

    /// Reports may come before the machine list's entry of their engine.
    fn apply_reports_to_new_engines(&mut self, now: Millis) {
        let fleet = &self.router.fleet;
        let new = fleet.iter().map(|(_, engine)| engine);
        let new = new.filter(|engine| engine.incarnation == Incarnation(0));
        let keys: Vec<EngineKey> = new.map(|engine| engine.key).collect();
        for observation in keys.into_iter().filter_map(|key| self.watch.holds(key)) {
            self.router.observe(&observation, now);
        }
    }

    fn take_in_claim_group(&mut self, record: &Record) {
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

    // Configuration.

    /// Whether this node should read the object API now.
    pub fn is_reader(&self, now: Millis) -> bool {
        readers::is_reader(&self.members, now)
    }

    /// Takes in records from the object API or an operator.
    pub fn learn(&mut self, records: Vec<Record>, now: Millis) {
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config
            .learn(records, members, now, &mut self.random, outbox);
        self.take_in_config(now);
    }

    /// Takes in a complete list of one kind from the object API.
    pub fn learn_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        version: ResourceVersion,
        now: Millis,
    ) {
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config.learn_list(
            kind,
            objects,
            version,
            members,
            now,
            &mut self.random,
            outbox,
        );
        if kind == Kind::ClaimGroup {
            self.group_seen_from_platform = true;
        }
        self.take_in_config(now);
    }

    /// A node that has just started compares often: it must serve at once, and
    /// a lost push would otherwise be found by the next probe only.
    fn compare_after_start(&mut self, now: Millis) {
        if now.0 >= START_UP_MS || now < self.next_start_comparison {
            return;
        }
        self.next_start_comparison = now.plus(START_COMPARISON_PERIOD_MS);
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config
            .compare_with_one(members, &mut self.random, outbox);
    }

    fn plan_claim_group(&mut self, now: Millis) {
        if now < self.next_group_plan {
            return;
        }
        self.next_group_plan = now.plus(GROUP_PLAN_PERIOD_MS);
        if !self.group_seen_from_platform || !claim_group_plan::has_duty(&self.members) {
            return;
        }
        let stored = self.config.store.get(Kind::ClaimGroup, CLAIM_GROUP);
        let version = stored.map_or(ResourceVersion(0), |object| {
            object.metadata.resource_version
        });
        let present = stored.and_then(|object| object.typed::<ClaimGroupSpec>().ok());
        let item = crate::config_store::key_hash(&ploverlift_policy::objects::ObjectKey {
            kind: Kind::ClaimGroup,
            name: CLAIM_GROUP.to_owned(),
        });
        let plan = claim_group_plan::plan(present.as_ref(), &self.members, item.0, now);
        if let Some(spec) = plan {
            self.events
                .push(CoreEvent::WriteClaimGroup { version, spec });
        }
    }

    // Engines.

    /// Engines that this node observes.
    pub fn engines_to_observe(&mut self) -> Vec<Engine> {
        let duties = self
            .duties
            .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
        let fleet = &self.router.fleet;
        let own = duties.own().iter().filter_map(|key| fleet.find(*key));
        own.map(|index| fleet.get(index).clone()).collect()
    }

    fn publish_engines(&mut self, now: Millis) {
        let duties = self
            .duties
            .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
        let own = self.members.own_key();
        let publishes_load = |engine| duties.publishes_load(engine, own);
        self.watch
            .tick(now, &self.members, publishes_load, &mut self.outbox);
        if now < self.next_silence_check {
            return;
        }
        self.next_silence_check = now.plus(SILENCE_CHECK_PERIOD_MS);
        let watch = &self.watch;
        let heard = |node: &NodeKey| *node == own || watch.is_heard(*node, now);
        let silent = |engine| !duties.observers_of(engine).iter().any(heard);
        self.router.note_unobserved(silent);
    }

    /// Takes in what this node observed of an engine by a look that began at
    /// `looked_at`. What a paused node reads only after its pause is too old.
    pub fn observed(&mut self, observation: EngineObservation, looked_at: Millis, now: Millis) {
        if now.since(looked_at) > LOOK_TIMEOUT_MS {
            return;
        }
        let holds = self.watch.observed(observation);
        self.router.observe(&holds, now);
    }

    /// Takes in that an engine did not answer a look.
    pub fn look_failed(&mut self, engine: EngineKey, now: Millis) {
        let Some(index) = self.router.fleet.find(engine) else {
            return;
        };
        let known = self.router.fleet.get(index).clone();
        if let Some(holds) = self.watch.look_failed(&known) {
            self.router.observe(&holds, now);
        }
    }

    /// Takes in what an engine said of itself when it refused a request that
    /// relied on another life or other weights.
    pub fn corrected(
        &mut self,
        engine: EngineKey,
        incarnation: Incarnation,
        weights: WeightsVersion,
        now: Millis,
    ) {
        let Some(index) = self.router.fleet.find(engine) else {
            return;
        };
        let known = self.router.fleet.get(index);
        let observation = EngineObservation {
            key: engine,
            incarnation,
            weights,
            health: known.health,
            load: known.load,
        };
        self.router.observe(&observation, now);
    }

    fn heard(&mut self, from: NodeKey, reports: &EngineReports, now: Millis) {
        self.watch.heard_of(from, now);
        for report in &reports.reports {
            let observation = engine_watch::from_message(report);
            let duties = self
                .duties
                .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
            let observers = duties.observers_of(observation.key);
            let holds = self.watch.heard(from, observation, observers);
            self.router.observe(&holds, now);
        }
    }

    // Directory.

    /// The live node that has the directory's shard of a block. The shards are
    /// spread over the same nodes that hear of the same engines: all of a small
    /// fleet, or those of the own zone. With shards by zone in a small fleet
    /// each zone placed every prefix anew.
    fn shard_of(&self, anchor: BlockHash) -> Option<NodeKey> {
        let zone = &self.members.own().zone;
        let small = self.members.live_count() < engine_watch::SMALL_FLEET_NODES;
        let live = self.members.live();
        let near = live.filter(|(_, member)| small || member.identity.zone == *zone);
        let keys = near.map(|(key, _)| key);
        rendezvous_first(anchor.0, keys.chain([self.members.own_key()]))
    }

    fn remote_shard(&self, anchor: BlockHash) -> Option<SocketAddr> {
        let shard = self.shard_of(anchor)?;
        if shard == self.members.own_key() {
            return None;
        }
        self.members.address(shard)
    }

    /// Asks the directory's shard for holders of a prompt. Nothing when this
    /// node has the shard itself or already knows a holder of the whole chain.
    pub fn look_up(&mut self, chain: &PromptChain) -> Option<Ticket> {
        let anchor = *chain.blocks.first()?;
        let target = self.remote_shard(anchor)?;
        let local = self.router.local_matches(chain);
        let whole = chain.blocks.len() as u32;
        if local.iter().any(|found| found.blocks == whole) {
            return None;
        }
        let ticket = self.new_ticket();
        let lookup = DirectoryLookup {
            ticket: ticket.0,
            blocks: chain.blocks.iter().map(|block| block.0).collect(),
        };
        self.outbox.send(target, Body::DirectoryLookup(lookup));
        Some(ticket)
    }

    /// Tells the directory's shard of a placement.
    pub fn publish_placement(
        &mut self,
        chain: &PromptChain,
        engine: EngineKey,
        incarnation: Incarnation,
    ) {
        let Some(anchor) = chain.blocks.first() else {
            return;
        };
        if let Some(target) = self.remote_shard(*anchor) {
            let record = DirectoryRecord {
                blocks: chain.blocks.iter().map(|block| block.0).collect(),
                engine: engine.0,
                incarnation: incarnation.0,
            };
            self.outbox.send(target, Body::DirectoryRecord(record));
        }
    }

    fn on_directory_record(&mut self, record: &DirectoryRecord, now: Millis) {
        let blocks: Vec<BlockHash> = record
            .blocks
            .iter()
            .map(|block| BlockHash(*block))
            .collect();
        let engine = EngineKey(record.engine);
        let incarnation = Incarnation(record.incarnation);
        self.router
            .directory
            .record(&blocks, engine, incarnation, now);
    }

    fn on_directory_lookup(&mut self, from: SocketAddr, lookup: &DirectoryLookup, now: Millis) {
        let chain = PromptChain {
            blocks: lookup
                .blocks
                .iter()
                .map(|block| BlockHash(*block))
                .collect(),
            tokens: 0,
            block_tokens: 0,
        };
        let matches = self.router.local_matches(&chain);
        let matches = matches.iter().map(|found| DirectoryMatch {
            engine: found.engine.0,
            incarnation: found.incarnation.0,
            blocks: found.blocks,
            age_ms: now.since(found.used_at).min(u64::from(u32::MAX)) as u32,
        });
        let answer = DirectoryAnswer {
            ticket: lookup.ticket,
            matches: matches.collect(),
        };
        self.outbox.send(from, Body::DirectoryAnswer(answer));
    }

    fn on_directory_answer(&mut self, answer: DirectoryAnswer, now: Millis) {
        let matches = answer.matches.iter().map(|found| PrefixMatch {
            engine: EngineKey(found.engine),
            incarnation: Incarnation(found.incarnation),
            blocks: found.blocks,
            used_at: Millis(now.0.saturating_sub(u64::from(found.age_ms))),
        });
        self.events.push(CoreEvent::Lookup {
            ticket: Ticket(answer.ticket),
            matches: matches.collect(),
        });
    }

    // Limits.

    /// Takes one request of a tenant's rate.
    ///
    /// # Errors
    /// When the tenant's rate is used up: when to come back.
    pub fn take_rate(&mut self, tenant: &Tenant, now: Millis) -> Result<(), ComeBack> {
        let limit = f64::from(tenant.spec.requests_per_second);
        if limit == 0.0 {
            return Ok(());
        }
        let key = TenantKey::of(&tenant.name);
        self.quota.count_request(key);
        let rate = self.quota.rate(key, limit, &self.members, now);
        self.router.take_rate(tenant, rate, now)
    }

    fn on_quota_demand(
        &mut self,
        from: SocketAddr,
        sender: NodeKey,
        demand: &ploverlift_wire::messages::QuotaDemand,
        now: Millis,
    ) {
        let snapshot = &self.router.snapshot;
        let limit_of = |key: TenantKey| {
            let tenant = snapshot.tenants.get_by_key(key)?;
            Some(f64::from(tenant.spec.requests_per_second))
        };
        let nodes = self.members.live_count() + 1;
        let grant = self.quota.on_demand(sender, demand, nodes, limit_of, now);
        if !grant.grants.is_empty() {
            self.outbox.send(from, Body::QuotaGrant(grant));
        }
    }

    // Claims.

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Asks the claim group for the right to run a request once. The outcome
    /// comes as [`CoreEvent::Claim`].
    ///
    /// # Errors
    /// When no claim group is known: when to come back.
    pub fn propose(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        now: Millis,
    ) -> Result<Ticket, ComeBack> {
        let Some(spec) = self.claims.group().cloned() else {
            return Err(ComeBack::after(0));
        };
        let ticket = self.new_ticket();
        let owner = self.random.u64(1..);
        let mut proposal = Proposal::new(CLAIM_GROUP, spec, key, owner, fingerprint, now);
        let members = &self.members;
        proposal.ask(now, |node| address_of(members, node), &mut self.outbox);
        self.proposals.insert(ticket, proposal);
        Ok(ticket)
    }

    fn on_vote(
        &mut self,
        vote: ploverlift_wire::messages::ClaimVote,
        voter: NodeKey,
        voter_life: u64,
    ) {
        let found = self
            .proposals
            .iter()
            .find(|(_, proposal)| proposal.owner() == vote.owner)
            .map(|(ticket, _)| *ticket);
        let Some(ticket) = found else {
            return;
        };
        let proposal = self.proposals.get_mut(&ticket);
        let outcome = proposal.and_then(|known| known.on_vote(vote, voter, voter_life));
        if let Some(outcome) = outcome {
            self.decide_claim(ticket, outcome);
        }
    }

    fn decide_claim(&mut self, ticket: Ticket, outcome: ClaimOutcome) {
        let Some(proposal) = self.proposals.remove(&ticket) else {
            return;
        };
        let members = &self.members;
        match &outcome {
            ClaimOutcome::Granted => {
                self.granted.insert(ticket, proposal);
            }
            ClaimOutcome::Held
            | ClaimOutcome::Answered(_)
            | ClaimOutcome::OtherRequest
            | ClaimOutcome::Unavailable(_) => {
                proposal.release(|node| address_of(members, node), &mut self.outbox);
            }
        }
        self.events.push(CoreEvent::Claim { ticket, outcome });
    }

    fn tick_claims(&mut self, now: Millis) {
        let members = &self.members;
        let address = |node| address_of(members, node);
        self.claims
            .tick(now, CLAIM_GROUP, address, &mut self.outbox);
        let mut decided = Vec::new();
        for (ticket, proposal) in &mut self.proposals {
            if let Some(outcome) = proposal.tick(now, address, &mut self.outbox) {
                decided.push((*ticket, outcome));
            }
        }
        for (ticket, outcome) in decided {
            self.decide_claim(ticket, outcome);
        }
    }

    /// Gives a granted claim back: its request did not run and never will.
    pub fn release_claim(&mut self, ticket: Ticket) {
        if let Some(proposal) = self.granted.remove(&ticket) {
            let members = &self.members;
            proposal.release(|node| address_of(members, node), &mut self.outbox);
        }
    }

    /// Records the answer of a claimed request at the replicas.
    pub fn complete_claim(&mut self, ticket: Ticket, answer: Vec<u8>, now: Millis) {
        let Some(proposal) = self.granted.remove(&ticket) else {
            return;
        };
        self.completions.push(Completion {
            proposal,
            answer,
            left: COMPLETE_REPEATS,
            next: now,
        });
        self.tick_completions(now);
    }

    /// Forgets a granted claim whose request may have run without an answer.
    pub fn abandon_claim(&mut self, ticket: Ticket) {
        self.granted.remove(&ticket);
    }

    fn tick_completions(&mut self, now: Millis) {
        let members = &self.members;
        for completion in &mut self.completions {
            if completion.next <= now && completion.left > 0 {
                completion.left -= 1;
                completion.next = now.plus(COMPLETE_PERIOD_MS);
                let address = |node| address_of(members, node);
                completion
                    .proposal
                    .complete(&completion.answer, address, &mut self.outbox);
            }
        }
        self.completions.retain(|completion| completion.left > 0);
    }

    // Explanations.

    /// Asks every live node for its decisions on a request.
    pub fn ask_for_decisions(&mut self, request: &str) -> Ticket {
        let ticket = self.new_ticket();
        let message = ploverlift_wire::messages::ExplainRequest {
            ticket: ticket.0,
            request: request.to_owned(),
        };
        let targets: Vec<SocketAddr> = self
            .members
            .live()
            .map(|(_, member)| member.identity.address)
            .collect();
        for target in targets {
            self.outbox
                .send(target, Body::ExplainRequest(message.clone()));
        }
        ticket
    }

    fn on_explain_request(
        &mut self,
        from: SocketAddr,
        request: &ploverlift_wire::messages::ExplainRequest,
    ) {
        let id = ploverlift_policy::ids::RequestId(request.request.clone());
        let records = self.router.decisions_on(&id);
        if records.is_empty() {
            return;
        }
        let answer = ploverlift_wire::messages::ExplainAnswer {
            ticket: request.ticket,
            decisions: serde_json::to_vec(&records).unwrap_or_default(),
        };
        self.outbox.send(from, Body::ExplainAnswer(answer));
    }

    /// Says good-bye: a planned stop begins.
    pub fn leave(&mut self) {
        let digests = self.digests();
        self.members.leave(&mut self.outbox, digests);
    }
}

fn address_of(members: &Membership, node: NodeKey) -> Option<SocketAddr> {
    if node == members.own_key() {
        return Some(members.own().address);
    }
    members.address(node)
}
