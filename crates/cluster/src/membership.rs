//! Who is a member: probes with suspicion and refutation, spread by gossip on
//! the probes themselves, after SWIM (Das, Gupta, Motivala 2002).
//!
//! One member is probed in each period; without an answer others probe it too;
//! without an answer still it is suspected, and dead when it does not refute in
//! time. The cost of a node does not depend on the number of members. Dead
//! members are probed now and then, so that a healed cut is found from either
//! side.
//!
//! Gossip alone is not enough: nodes that start at the same moment can each
//! learn of one other only, and then nobody has news to tell. So probes carry a
//! digest of the live members, and a lasting difference is mended by asking for
//! the whole list.

use crate::node_key::NodeKey;
use crate::output::Outbox;
use ploverlift_policy::ids::{Millis, NodeName, ZoneName};
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{
    IndirectProbe, Join, JoinAnswer, MemberStatus, MemberUpdate, Probe, ProbeAnswer,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time between two probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Time until a probe without an answer is made through others, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 300;
/// Members through which a probe is repeated.
pub const INDIRECT_PROBES: usize = 3;
/// Time a suspected member has to refute, in milliseconds.
pub const SUSPICION_MS: u64 = 3_000;
/// Time between two tries to join through seeds, in milliseconds.
pub const JOIN_PERIOD_MS: u64 = 500;
/// Time between two probes of a dead member, in milliseconds.
pub const RECONNECT_PERIOD_MS: u64 = 2_000;
/// Time after which a dead member is forgotten, in milliseconds.
pub const FORGET_DEAD_MS: u64 = 3_600_000;
/// Members are compared only when they did not change for so long, in milliseconds.
const MEMBERS_QUIET_MS: u64 = 1_000;
/// Shortest time between two comparisons of members, in milliseconds.
const COMPARE_MEMBERS_PERIOD_MS: u64 = 5_000;
/// The same while members change all the time, in milliseconds.
const BUSY_COMPARE_MEMBERS_PERIOD_MS: u64 = 8_000;
/// Updates on one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// An update is sent this many times the logarithm of the number of members.
const SPREAD_FACTOR: u32 = 3;
/// One probe in this many goes to another zone.
const OTHER_ZONE_EVERY: u64 = 4;

/// Digests of what a node knows, sent with every probe: a difference that
/// lasts is mended by whom it concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Over the configuration.
    pub config: u64,
    /// Over the engines that are known to leave.
    pub leaving: u64,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub name: NodeName,
    /// Failure domain.
    pub zone: ZoneName,
    /// Group of zones; readers of the object API are chosen in each region.
    pub region: String,
    /// Cluster listener.
    pub address: SocketAddr,
    /// Milliseconds of Unix time at the node's start.
    pub life: u64,
}

/// What is known of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Rises when the node refutes a suspicion.
    pub refutation: u32,
    /// Present status.
    pub status: MemberStatus,
    /// When the status was taken.
    pub since: Millis,
}

impl Member {
    /// Whether duties may be given to the member. Suspected ones keep theirs.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    target: NodeKey,
    sequence: u32,
    sent_at: Millis,
    indirect: bool,
}

/// A probe that was made for another node and whose answer goes back to it.
#[derive(Clone, Copy, Debug)]
struct Relayed {
    to: SocketAddr,
    sequence: u32,
    at: Millis,
}

/// A change of membership that other parts act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A node joined, came back or restarted.
    Joined(NodeKey),
    /// A node died or left.
    Gone(NodeKey),
}

/// The members that one node knows.
#[derive(Debug)]
pub struct Membership {
    own: Identity,
    own_key: NodeKey,
    own_refutation: u32,
    leaving: bool,
    members: BTreeMap<NodeKey, Member>,
    live: usize,
    gossip: VecDeque<(NodeKey, u32)>,
    seeds: Vec<SocketAddr>,
    probe_order: Vec<NodeKey>,
    pending: Option<PendingProbe>,
    relayed: HashMap<u32, Relayed>,
    next_sequence: u32,
    next_probe: Millis,
    next_join: Millis,
    next_reconnect: Millis,
    joined: bool,
    changed_at: Millis,
    compared_at: Option<Millis>,
    probes_made: u64,
    changes: Vec<MemberChange>,
    suspicions: u64,
}

impl Membership {
    /// A node that knows only itself and its seeds.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>, random: &mut fastrand::Rng) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address);
        Self {
            own_key: NodeKey::of(&own.name),
            seeds: seeds.collect(),
            own,
            own_refutation: 0,
            leaving: false,
            members: BTreeMap::new(),
            live: 0,
            gossip: VecDeque::new(),
            probe_order: Vec::new(),
            pending: None,
            relayed: HashMap::new(),
            next_sequence: 0,
            next_probe: Millis(random.u64(..PROBE_PERIOD_MS)),
            next_join: Millis(0),
            next_reconnect: Millis(RECONNECT_PERIOD_MS),
            joined: false,
            changed_at: Millis(0),
            compared_at: None,
            probes_made: 0,
            changes: Vec::new(),
            suspicions: 0,
        }
    }

    /// This node.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// The key of this node.
    pub fn own_key(&self) -> NodeKey {
        self.own_key
    }

    /// Whether seeds are configured that could know other members.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Every other node that was ever heard of and not forgotten.
    pub fn members(&self) -> impl Iterator<Item = (NodeKey, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// One other node.
    pub fn member(&self, key: NodeKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Other nodes that are alive or only suspected.
    pub fn live(&self) -> impl Iterator<Item = (NodeKey, &Member)> {
        self.members().filter(|(_, member)| member.is_live())
    }

    /// Number of other live nodes.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// The address of a live member.
    pub fn address(&self, key: NodeKey) -> Option<SocketAddr> {
        let member = self.members.get(&key)?;
        member.is_live().then_some(member.identity.address)
    }

    /// Suspicions this node raised itself.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Digest over the live members and this node.
    pub fn root(&self) -> u64 {
        let live = self.live().map(|(key, member)| (key, member.identity.life));
        live.chain([(self.own_key, self.own.life)])
            .fold(0, |root, (key, life)| root ^ key.digest(life))
    }

    /// Asks for all members of a node that has lasting other ones.
    fn compare_root(&mut self, from: SocketAddr, root: u64, now: Millis, outbox: &mut Outbox) {
        let since = self.compared_at.map_or(now.0, |at| now.since(at));
        // While many nodes start there is never quiet; then compare more rarely.
        let quiet = now.since(self.changed_at) >= MEMBERS_QUIET_MS;
        let due =
            since >= COMPARE_MEMBERS_PERIOD_MS && quiet || since >= BUSY_COMPARE_MEMBERS_PERIOD_MS;
        if !due || root == self.root() {
            return;
        }
        self.compared_at = Some(now);
        let join = Join {
            this: Some(self.own_update()),
        };
        outbox.send(from, Body::Join(join));
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// What this node says of itself.
    pub fn own_update(&self) -> MemberUpdate {
        let status = if self.leaving {
            MemberStatus::Left
        } else {
            MemberStatus::Alive
        };
        update_of(&self.own, self.own_refutation, status)
    }

    /// Says good-bye to some members; the rest learn it by gossip.
    pub fn leave(&mut self, outbox: &mut Outbox, digests: Digests) {
        self.leaving = true;
        let targets: Vec<SocketAddr> = self
            .live()
            .take(LEAVE_MESSAGES)
            .map(|(_, member)| member.identity.address)
            .collect();
        for target in targets {
            let probe = self.probe_message(0, String::new(), digests);
            outbox.send(target, Body::Probe(probe));
        }
    }

    /// Does what is due at `now`.
    pub fn tick(
        &mut self,
        now: Millis,
        digests: Digests,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        if self.leaving {
            return;
        }
        self.try_join(now, random, outbox);
        self.follow_up_probe(now, random, outbox);
        self.expire_suspicions(now);
        if now >= self.next_probe {
            self.next_probe = now.plus(PROBE_PERIOD_MS);
            self.probe_next(now, digests, random, outbox);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now.plus(RECONNECT_PERIOD_MS);
            self.probe_a_dead_member(now, digests, random, outbox);
        }
    }

    fn try_join(&mut self, now: Millis, random: &mut fastrand::Rng, outbox: &mut Outbox) {
        let done = self.joined && self.live > 0;
        if done || self.seeds.is_empty() || now < self.next_join {
            return;
        }
        self.next_join = now.plus(JOIN_PERIOD_MS + random.u64(..JOIN_PERIOD_MS));
        let join = Join {
            this: Some(self.own_update()),
        };
        for seed in &self.seeds {
            outbox.send(*seed, Body::Join(join.clone()));
        }
    }

    /// Asks a few members for all they know, as after a pause.
    pub fn ask_some(&self, count: usize, random: &mut fastrand::Rng, outbox: &mut Outbox) {
        let join = Join {
            this: Some(self.own_update()),
        };
        for target in self.random_live(count, None, random) {
            outbox.send(target, Body::Join(join.clone()));
        }
    }

    fn follow_up_probe(&mut self, now: Millis, random: &mut fastrand::Rng, outbox: &mut Outbox) {
        let Some(probe) = self.pending else {
            return;
        };
        let waited = now.since(probe.sent_at);
        if waited >= PROBE_TIMEOUT_MS && !probe.indirect {
            self.pending = Some(PendingProbe {
                indirect: true,
                ..probe
            });
            self.ask_others_to_probe(probe, random, outbox);
        }
        if waited >= PROBE_PERIOD_MS.saturating_sub(TICK_SLACK_MS) {
            self.pending = None;
            self.suspect(probe.target, now);
        }
    }

    fn ask_others_to_probe(
        &self,
        probe: PendingProbe,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        let Some(target) = self.members.get(&probe.target) else {
            return;
        };
        let request = IndirectProbe {
            sequence: probe.sequence,
            target_address: target.identity.address.to_string(),
        };
        let helpers = self.random_live(INDIRECT_PROBES, Some(probe.target), random);
        for helper in helpers {
            outbox.send(helper, Body::IndirectProbe(request.clone()));
        }
    }

    /// Addresses of random live members.
    pub fn random_live(
        &self,
        count: usize,
        except: Option<NodeKey>,
        random: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let live = self.live().filter(|(key, _)| Some(*key) != except);
        let candidates: Vec<SocketAddr> = live.map(|(_, member)| member.identity.address).collect();
        random.choose_multiple(candidates, count)
    }

    fn suspect(&mut self, target: NodeKey, now: Millis) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        if member.status != MemberStatus::Alive {
            return;
        }
        member.status = MemberStatus::Suspect;
        member.since = now;
        self.suspicions += 1;
        self.spread(target);
    }

    fn expire_suspicions(&mut self, now: Millis) {
        let expired: Vec<NodeKey> = self
            .members
            .iter()
            .filter(|(_, member)| member.status == MemberStatus::Suspect)
            .filter(|(_, member)| now.since(member.since) >= SUSPICION_MS)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some(member) = self.members.get_mut(&key) {
                member.status = MemberStatus::Dead;
                member.since = now;
            }
            self.live -= 1;
            self.changed_at = now;
            self.changes.push(MemberChange::Gone(key));
            self.spread(key);
        }
        self.members
            .retain(|_, member| member.is_live() || now.since(member.since) < FORGET_DEAD_MS);
    }

    fn probe_next(
        &mut self,
        now: Millis,
        digests: Digests,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        if self.pending.is_some() {
            return;
        }
        let Some(target) = self.next_target(random) else {
            return;
        };
        let Some(address) = self.address(target) else {
            return;
        };
        let sequence = self.new_sequence();
        self.pending = Some(PendingProbe {
            target,
            sequence,
            sent_at: now,
            indirect: false,
        });
        let probe = self.probe_message(sequence, String::new(), digests);
        outbox.send(address, Body::Probe(probe));
    }

    /// Members of the own zone in random order, and now and then one of another zone.
    fn next_target(&mut self, random: &mut fastrand::Rng) -> Option<NodeKey> {
        self.probes_made += 1;
        if self.probes_made % OTHER_ZONE_EVERY == 0 {
            let others = self.live();
            let others = others.filter(|(_, member)| member.identity.zone != self.own.zone);
            let others: Vec<NodeKey> = others.map(|(key, _)| key).collect();
            if let Some(target) = random.choice(others) {
                return Some(target);
            }
        }
        loop {
            if let Some(target) = self.probe_order.pop() {
                if self.members.get(&target).is_some_and(Member::is_live) {
                    return Some(target);
                }
                continue;
            }
            self.refill_probe_order(random);
            if self.probe_order.is_empty() {
                return None;
            }
        }
    }

    fn refill_probe_order(&mut self, random: &mut fastrand::Rng) {
        let zone = &self.own.zone;
        let live = self.live();
        let near = live.filter(|(_, member)| member.identity.zone == *zone);
        let mut order: Vec<NodeKey> = near.map(|(key, _)| key).collect();
        if order.is_empty() {
            order = self.live().map(|(key, _)| key).collect();
        }
        random.shuffle(&mut order);
        self.probe_order = order;
    }

    fn probe_a_dead_member(
        &mut self,
        now: Millis,
        digests: Digests,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        self.relayed
            .retain(|_, relayed| now.since(relayed.at) < PROBE_PERIOD_MS);
        let dead = self.members.values();
        let dead = dead.filter(|member| member.status == MemberStatus::Dead);
        let dead: Vec<SocketAddr> = dead.map(|member| member.identity.address).collect();
        if let Some(address) = random.choice(dead) {
            let sequence = self.new_sequence();
            let probe = self.probe_message(sequence, String::new(), digests);
            outbox.send(address, Body::Probe(probe));
        }
    }

    fn new_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    fn probe_message(&mut self, sequence: u32, on_behalf_of: String, digests: Digests) -> Probe {
        Probe {
            sequence,
            on_behalf_of,
            config_root: digests.config,
            leaving_root: digests.leaving,
            this: Some(self.own_update()),
            members_root: self.root(),
            updates: self.updates_to_send(),
        }
    }

    /// Takes in a probe and answers it.
    pub fn on_probe(
        &mut self,
        from: SocketAddr,
        probe: &Probe,
        digests: Digests,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let mut correction = None;
        if let Some(update) = &probe.this {
            correction = self.correction_of(update);
            self.merge(update, now);
        }
        self.merge_all(&probe.updates, now);
        if self.leaving {
            return;
        }
        let mut updates = self.updates_to_send();
        updates.extend(correction);
        let answer = ProbeAnswer {
            sequence: probe.sequence,
            config_root: digests.config,
            leaving_root: digests.leaving,
            target: self.own_key.0,
            updates,
            members_root: self.root(),
        };
        outbox.send(from, Body::ProbeAnswer(answer));
        if probe.on_behalf_of.is_empty() {
            self.compare_root(from, probe.members_root, now, outbox);
        }
    }

    /// What the sender should be told of itself so that it can refute it.
    fn correction_of(&self, update: &MemberUpdate) -> Option<MemberUpdate> {
        let key = NodeKey::of(&NodeName(update.name.clone()));
        let member = self.members.get(&key)?;
        let refutable = matches!(member.status, MemberStatus::Suspect | MemberStatus::Dead);
        let same_life = member.identity.life == update.life;
        let needed = refutable && same_life && member.refutation >= update.refutation;
        needed.then(|| update_of(&member.identity, member.refutation, member.status))
    }

    /// Takes in the answer to a probe.
    pub fn on_probe_answer(
        &mut self,
        from: SocketAddr,
        answer: &ProbeAnswer,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        self.merge_all(&answer.updates, now);
        if let Some(relayed) = self.relayed.remove(&answer.sequence) {
            let mut relayed_answer = answer.clone();
            relayed_answer.sequence = relayed.sequence;
            relayed_answer.updates.clear();
            outbox.send(relayed.to, Body::ProbeAnswer(relayed_answer));
            return;
        }
        let target = NodeKey(answer.target);
        if self.address(target) == Some(from) {
            self.compare_root(from, answer.members_root, now, outbox);
        }
        let expected = self
            .pending
            .is_some_and(|probe| probe.sequence == answer.sequence && probe.target == target);
        if expected {
            self.pending = None;
        }
    }

    /// Probes a member for another node.
    pub fn on_indirect_probe(
        &mut self,
        from: SocketAddr,
        request: &IndirectProbe,
        digests: Digests,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let Ok(target) = request.target_address.parse::<SocketAddr>() else {
            return;
        };
        let sequence = self.new_sequence();
        let relayed = Relayed {
            to: from,
            sequence: request.sequence,
            at: now,
        };
        self.relayed.insert(sequence, relayed);
        let probe = self.probe_message(sequence, from.to_string(), digests);
        outbox.send(target, Body::Probe(probe));
    }

    /// Takes in a new node and tells it all members.
    pub fn on_join(&mut self, from: SocketAddr, join: &Join, now: Millis, outbox: &mut Outbox) {
        if let Some(update) = &join.this {
            self.merge(update, now);
        }
        let mut members: Vec<MemberUpdate> = self
            .live()
            .map(|(_, member)| update_of(&member.identity, member.refutation, member.status))
            .collect();
        members.push(self.own_update());
        outbox.send(from, Body::JoinAnswer(JoinAnswer { members }));
    }

    /// Takes in all members that another node knows.
    pub fn on_join_answer(&mut self, answer: &JoinAnswer, now: Millis) {
        self.joined = true;
        for update in &answer.members {
            self.merge_quietly(update, now);
        }
    }

    fn merge_all(&mut self, updates: &[MemberUpdate], now: Millis) {
        for update in updates {
            self.merge(update, now);
        }
    }

    /// Takes in an update and hands it on when it is news.
    fn merge(&mut self, update: &MemberUpdate, now: Millis) {
        if let Some(key) = self.merge_quietly(update, now) {
            self.spread(key);
        }
    }

    /// Takes in an update; returns the node's key when it is news.
    fn merge_quietly(&mut self, update: &MemberUpdate, now: Millis) -> Option<NodeKey> {
        let key = NodeKey::of(&NodeName(update.name.clone()));
        if key == self.own_key {
            return self.defend(update);
        }
        let address: SocketAddr = update.address.parse().ok()?;
        let status = update.status();
        let known = self.members.get(&key);
        if known.is_some_and(|member| !supersedes(update, member)) {
            return None;
        }
        let was_live = known.is_some_and(Member::is_live);
        let restarted = known.is_some_and(|member| member.identity.life < update.life);
        let same_status = known.is_some_and(|member| member.status == status);
        let since = match known {
            Some(member) if same_status && !restarted => member.since,
            _ => now,
        };
        let member = Member {
            identity: Identity {
                name: NodeName(update.name.clone()),
                zone: ZoneName(update.zone.clone()),
                region: update.region.clone(),
                address,
                life: update.life,
            },
            refutation: update.refutation,
            status,
            since,
        };
        let is_live = member.is_live();
        self.members.insert(key, member);
        if was_live != is_live || restarted {
            self.changed_at = now;
        }
        self.note_change(key, was_live, is_live, restarted);
        Some(key)
    }

    fn note_change(&mut self, key: NodeKey, was_live: bool, is_live: bool, restarted: bool) {
        match (was_live, is_live) {
            (false, true) => {
                self.live += 1;
                self.changes.push(MemberChange::Joined(key));
            }
            (true, false) => {
                self.live -= 1;
                self.changes.push(MemberChange::Gone(key));
            }
            (true, true) if restarted => self.changes.push(MemberChange::Joined(key)),
            _ => {}
        }
    }

    /// Refutes what is wrongly said of this node.
    fn defend(&mut self, update: &MemberUpdate) -> Option<NodeKey> {
        let wrong = update.status() != MemberStatus::Alive && update.life == self.own.life;
        if wrong && !self.leaving && update.refutation >= self.own_refutation {
            self.own_refutation = update.refutation + 1;
            return Some(self.own_key);
        }
        None
    }

    fn spread(&mut self, key: NodeKey) {
        self.gossip.retain(|(queued, _)| *queued != key);
        self.gossip.push_front((key, 0));
    }

    fn updates_to_send(&mut self) -> Vec<MemberUpdate> {
        let members = self.live as u32 + 2;
        let limit = SPREAD_FACTOR * (u32::BITS - members.leading_zeros());
        let mut updates = Vec::new();
        for _ in 0..UPDATES_PER_MESSAGE.min(self.gossip.len()) {
            let Some((key, sent)) = self.gossip.pop_front() else {
                break;
            };
            if let Some(update) = self.update_for(key) {
                updates.push(update);
            }
            if sent + 1 < limit {
                self.gossip.push_back((key, sent + 1));
            }
        }
        updates
    }

    fn update_for(&self, key: NodeKey) -> Option<MemberUpdate> {
        if key == self.own_key {
            return Some(self.own_update());
        }
        let member = self.members.get(&key)?;
        Some(update_of(
            &member.identity,
            member.refutation,
            member.status,
        ))
    }
}

/// Members that are told directly when a node leaves.
const LEAVE_MESSAGES: usize = 16;
/// Ticks come a little early or late; a probe is judged this much early, in milliseconds.
const TICK_SLACK_MS: u64 = 100;

fn update_of(identity: &Identity, refutation: u32, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        name: identity.name.0.clone(),
        zone: identity.zone.0.clone(),
        region: identity.region.clone(),
        address: identity.address.to_string(),
        life: identity.life,
        refutation,
        status: status.into(),
    }
}

fn severity(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Suspect => 1,
        MemberStatus::Dead => 2,
        MemberStatus::Left => 3,
    }
}

/// Whether an update tells more than what is known.
fn supersedes(update: &MemberUpdate, known: &Member) -> bool {
    let told = (update.life, update.refutation);
    let present = (known.identity.life, known.refutation);
    let worse = severity(update.status()) > severity(known.status);
    told > present || (told == present && worse)
}
