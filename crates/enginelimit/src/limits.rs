//! What one node knows of all advertised limits.

use crate::account::Account;
use crate::backoff::RequestingNodes;
use crate::group::{GroupTag, Holder, NodeAddress};
use crate::node_messages::TokenAnswer;
use crate::observation::{Observation, StandingLimit};
use crate::retry_schedule::RetrySchedule;
use ploverlift_balancing::engine_rooms::EngineRooms;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_policy::telling::Telling;
use std::collections::{BTreeMap, HashMap};

/// Silence of a holder after which another node takes its group over, in milliseconds: a
/// node with a small share of a core stands still for a tenth of a second at times.
const HOLDER_TIMEOUT_MS: u64 = 400;
/// Questions that must have gone unanswered by then.
const UNANSWERED_REQUESTS: u32 = 4;
/// Time for which a holder is not asked that has not answered, in milliseconds.
const UNANSWERED_BACKOFF_MS: u64 = 100;
/// Time within which nodes send to an engine again whose limit has ended, each from a moment
/// of its own, in milliseconds: all at once would fill it before they hear of each other.
const LIFT_SPREAD_MS: u64 = 500;
/// Time for which the end of a limit is remembered, in milliseconds: what was told before
/// may come late.
const ENDED_LIMIT_RETENTION_MS: u64 = 60_000;

/// One engine's limit.
#[derive(Clone, Debug)]
pub(crate) struct KnownLimit {
    pub(crate) group: GroupTag,
    pub(crate) standing: StandingLimit,
    /// Of the holder's change that told it; 0 where this node saw it by itself.
    pub(crate) sequence: u64,
    pub(crate) telling: Telling,
    /// At the holder.
    pub(crate) account: Option<Account>,
}

/// One group.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) holder: Holder,
    /// Whether this life of this node holds it.
    pub(crate) is_held: bool,
    pub(crate) sequence: u64,
    pub(crate) telling: Telling,
    pub(crate) requesting_nodes: RequestingNodes,
    /// Answers that were given lately, for questions that come twice.
    pub(crate) answered: HashMap<(PeerId, u64), (Millis, TokenAnswer)>,
    /// Since when the holder has not answered this node, and how many questions.
    pub(crate) unanswered: Option<(Millis, u32)>,
    /// Before this moment no engine of the group has a token for this node.
    pub(crate) no_tokens_before: Millis,
    /// Time in which one token comes for each node that asks, in milliseconds.
    pub(crate) turn_ms: u64,
    pub(crate) retries: RetrySchedule,
}

impl Group {
    pub(crate) fn held_by(holder: Holder, now: Millis) -> Self {
        Self {
            holder,
            is_held: false,
            sequence: 0,
            telling: Telling::begin(now),
            requesting_nodes: RequestingNodes::default(),
            answered: HashMap::new(),
            unanswered: None,
            no_tokens_before: Millis(0),
            turn_ms: 0,
            retries: RetrySchedule::default(),
        }
    }
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOutcome {
    /// Nothing.
    Unchanged,
    /// Something that the other nodes should hear of.
    Changed,
    /// Whoever holds the engine's group should hear of it.
    ForwardToHolder(NodeAddress),
}

/// All limits, as one node knows them.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    pub(crate) own: NodeAddress,
    pub(crate) groups: BTreeMap<GroupTag, Group>,
    pub(crate) known: HashMap<EngineTag, KnownLimit>,
    pub(crate) next_repeated: usize,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self::new(NodeAddress::UNREACHABLE)
    }
}

impl EngineLimits {
    /// A node that knows of no limit yet.
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            groups: BTreeMap::new(),
            known: HashMap::new(),
            next_repeated: 0,
        }
    }

    /// Whether no engine has a limit, and none had one lately.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The limit of an engine, in requests a second.
    pub fn limit_of(&self, engine: EngineTag) -> Option<f64> {
        self.known.get(&engine)?.standing.limit
    }

    /// The group in which an engine's limit is counted.
    pub fn group_of(&self, engine: EngineTag) -> Option<GroupTag> {
        self.known.get(&engine).map(|known| known.group)
    }

    /// Who holds a group.
    pub fn holder(&self, group: GroupTag) -> Option<Holder> {
        self.groups.get(&group).map(|known| known.holder)
    }

    /// Engines that have a limit, with their rates in requests a second and their groups.
    pub fn limited(&self) -> impl Iterator<Item = (EngineTag, f64, GroupTag)> + '_ {
        let known = self.known.iter();
        known.filter_map(|(engine, known)| Some((*engine, known.standing.limit?, known.group)))
    }

    /// Where this node receives messages, once that is known.
    pub fn set_own(&mut self, own: NodeAddress) {
        self.own = own;
    }

    /// Takes in what an answer said of its engine, which belongs to this group.
    pub fn observe(
        &mut self,
        seen: &Observation,
        group: GroupTag,
        rooms: &mut EngineRooms,
        now: Millis,
    ) -> ObservationOutcome {
        let limit_before = self.limit_of(seen.engine);
        if seen.limit.is_none() && limit_before.is_none() {
            return ObservationOutcome::Unchanged;
        }
        let group = self.group_of(seen.engine).unwrap_or(group);
        if !self.groups.contains_key(&group) {
            self.take_over(group, now);
        }
        let known = &self.groups[&group];
        if known.is_held {
            return match self.apply_as_holder(seen, group, rooms, now) {
                true => ObservationOutcome::Changed,
                false => ObservationOutcome::Unchanged,
            };
        }
        let holder = known.holder.at;
        if limit_before.is_none() {
            // The holder is asked from now on, whenever it learns of the limit.
            self.record_limit(seen, group);
            self.apply_limit(seen.engine, rooms, now);
        }
        ObservationOutcome::ForwardToHolder(holder)
    }

    /// Takes in an answer that another node has seen; tells whether another limit is in
    /// force. Whoever does not hold the group leaves it to the holder.
    pub fn apply_observation(
        &mut self,
        seen: &Observation,
        group: GroupTag,
        rooms: &mut EngineRooms,
        now: Millis,
    ) -> bool {
        let is_held = self.groups.get(&group).is_some_and(|known| known.is_held);
        is_held && self.apply_as_holder(seen, group, rooms, now)
    }

    /// Takes in an answer as the holder; tells whether another limit is in force.
    fn apply_as_holder(
        &mut self,
        seen: &Observation,
        group: GroupTag,
        rooms: &mut EngineRooms,
        now: Millis,
    ) -> bool {
        let is_changed = match self.known.get_mut(&seen.engine) {
            Some(known) => known.standing.take(seen),
            None if seen.limit.is_none() => false,
            None => {
                self.record_limit(seen, group);
                true
            }
        };
        if is_changed {
            self.apply_limit(seen.engine, rooms, now);
            self.announce(seen.engine, now);
        }
        is_changed
    }

    fn record_limit(&mut self, seen: &Observation, group: GroupTag) {
        let standing = StandingLimit {
            limit: seen.limit,
            observed_at: seen.head_at,
        };
        let known = KnownLimit {
            group,
            standing,
            sequence: 0,
            telling: Telling::default(),
            account: None,
        };
        self.known.insert(seen.engine, known);
    }

    /// Has the choice of engines follow a limit that has changed.
    pub(crate) fn apply_limit(&mut self, engine: EngineTag, rooms: &mut EngineRooms, now: Millis) {
        let lift_delay_ms = (self.own.node.0 ^ u64::from(engine.0)) % LIFT_SPREAD_MS;
        let Some(known) = self.known.get_mut(&engine) else {
            return;
        };
        let is_held = self.groups.get(&known.group);
        let is_held = is_held.is_some_and(|group| group.is_held);
        match known.standing.limit {
            Some(limit) => {
                rooms.limit(engine, limit, now);
                match &mut known.account {
                    Some(account) => account.set_limit(limit, now),
                    None if is_held => {
                        known.account = Some(Account::beginning_at(limit, now));
                    }
                    None => {}
                }
            }
            None => {
                rooms.lift(engine, now.plus(lift_delay_ms), now);
                known.account = None;
            }
        }
    }

    fn announce(&mut self, engine: EngineTag, now: Millis) {
        let Some(known) = self.known.get_mut(&engine) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&known.group) {
            group.sequence += 1;
            known.sequence = group.sequence;
            known.telling = Telling::begin(now);
        }
    }

    /// Holds a group from now on, in a term of its own.
    pub(crate) fn take_over(&mut self, group: GroupTag, now: Millis) {
        let term = self.groups.get(&group).map_or(0, |known| known.holder.term);
        let holder = Holder {
            at: self.own,
            term: term + 1,
        };
        let held = Group {
            is_held: true,
            ..Group::held_by(holder, now)
        };
        self.groups.insert(group, held);
        let in_group = self.known.iter_mut();
        let in_group = in_group.filter(|(_, known)| known.group == group);
        let mut engines = Vec::new();
        for (engine, known) in in_group {
            let limit = known.standing.limit;
            known.account = limit.map(|limit| Account::beginning_at(limit, now));
            engines.push(*engine);
        }
        for engine in engines {
            self.announce(engine, now);
        }
    }

    /// The holder of a group has not answered a question; tells whether this node has taken
    /// the group over. Nothing waits for that holder meanwhile.
    pub fn note_unanswered(
        &mut self,
        group: GroupTag,
        rooms: &mut EngineRooms,
        now: Millis,
    ) -> bool {
        let retry_at = now.plus(UNANSWERED_BACKOFF_MS);
        for (engine, known) in &self.known {
            if known.group == group {
                rooms.back_off(*engine, retry_at);
            }
        }
        let Some(known) = self.groups.get_mut(&group).filter(|known| !known.is_held) else {
            return false;
        };
        known.no_tokens_before = retry_at;
        let (since, unanswered_count) = known.unanswered.get_or_insert((now, 0));
        *unanswered_count += 1;
        let is_silent = *unanswered_count >= UNANSWERED_REQUESTS && now.since(*since) >= HOLDER_TIMEOUT_MS;
        if is_silent {
            self.take_over(group, now);
        }
        is_silent
    }

    /// Forgets engines that are gone, and limits that ended long ago.
    pub fn expire(
        &mut self,
        is_known: impl Fn(EngineTag) -> bool,
        rooms: &mut EngineRooms,
        now: Millis,
    ) {
        self.known.retain(|engine, known| {
            let is_recent = now.since(known.standing.observed_at) < ENDED_LIMIT_RETENTION_MS;
            let stays = is_recent || (known.standing.limit.is_some() && is_known(*engine));
            if !stays {
                rooms.lift(*engine, now, now);
            }
            stays
        });
    }
}
