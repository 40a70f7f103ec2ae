//! The state that one node keeps about all advertised limits.

use crate::account::Account;
use crate::backoff::RequestingNodes;
use crate::group::{GroupTag, Holder, NodeAddress};
use crate::node_messages::TokenAnswer;
use crate::observation::{Observation, StandingLimit};
use crate::retry_schedule::RetrySchedule;
use ploverlift_balancing::engine_rate_limits::EngineRateLimits;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use std::collections::{BTreeMap, HashMap};

/// Time without an answer from the holder after which another node takes the group over, in
/// milliseconds. A node with a small share of a core can stall for a tenth of a second.
const HOLDER_TIMEOUT_MS: u64 = 400;
/// Token requests that must also have gone unanswered before a takeover.
const UNANSWERED_REQUESTS: u32 = 4;
/// Time for which no tokens are requested from a holder that did not answer, in
/// milliseconds.
const UNANSWERED_BACKOFF_MS: u64 = 100;
/// Time over which the nodes resume sending to an engine whose limit has ended, in
/// milliseconds, each after its own delay. If all resumed at once, they would overload the
/// engine before they learn of each other's requests.
const LIFT_SPREAD_MS: u64 = 500;
/// Time for which the end of a limit is remembered, in milliseconds, because older updates
/// may arrive late.
const ENDED_LIMIT_RETENTION_MS: u64 = 60_000;

/// The limit of one engine.
#[derive(Clone, Debug)]
pub(crate) struct KnownLimit {
    pub(crate) group: GroupTag,
    pub(crate) standing: StandingLimit,
    /// Sequence number of the holder's change that announced the limit; 0 if this node
    /// observed it itself.
    pub(crate) sequence: u64,
    pub(crate) broadcast: UpdateBroadcast,
    /// The token account; only at the holder.
    pub(crate) account: Option<Account>,
}

/// A group of engines.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) holder: Holder,
    /// Whether this node holds the group, since its current start.
    pub(crate) is_held: bool,
    pub(crate) sequence: u64,
    pub(crate) broadcast: UpdateBroadcast,
    pub(crate) requesting_nodes: RequestingNodes,
    /// Recent answers, kept for retransmitted requests.
    pub(crate) answered: HashMap<(PeerId, u64), (Millis, TokenAnswer)>,
    /// Time of the first token request that the holder left unanswered, and the number of
    /// such requests.
    pub(crate) unanswered: Option<(Millis, u32)>,
    /// Until this time, no engine of the group has a token for this node.
    pub(crate) no_tokens_before: Millis,
    /// Time in which each requesting node gets one token, in milliseconds.
    pub(crate) turn_ms: u64,
    pub(crate) retries: RetrySchedule,
}

impl Group {
    pub(crate) fn held_by(holder: Holder, now: Millis) -> Self {
        Self {
            holder,
            is_held: false,
            sequence: 0,
            broadcast: UpdateBroadcast::begin(now),
            requesting_nodes: RequestingNodes::default(),
            answered: HashMap::new(),
            unanswered: None,
            no_tokens_before: Millis(0),
            turn_ms: 0,
            retries: RetrySchedule::default(),
        }
    }
}

/// The effect of an observation on this node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOutcome {
    /// No change.
    Unchanged,
    /// A limit changed; the other nodes should be notified.
    Changed,
    /// The observation should be forwarded to the holder of the engine's group.
    ForwardToHolder(NodeAddress),
}

/// All advertised limits known to one node.
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
    /// Creates the state of a node that knows no limits.
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            groups: BTreeMap::new(),
            known: HashMap::new(),
            next_repeated: 0,
        }
    }

    /// Whether no engine has a limit or had one recently.
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

    /// The holder of a group.
    pub fn holder(&self, group: GroupTag) -> Option<Holder> {
        self.groups.get(&group).map(|known| known.holder)
    }

    /// Engines that have a limit, with their rates in requests a second and their groups.
    pub fn limited(&self) -> impl Iterator<Item = (EngineTag, f64, GroupTag)> + '_ {
        let known = self.known.iter();
        known.filter_map(|(engine, known)| Some((*engine, known.standing.limit?, known.group)))
    }

    /// Sets the address at which this node receives messages.
    pub fn set_own(&mut self, own: NodeAddress) {
        self.own = own;
    }

    /// Applies the limit that an engine advertised in an answer to this node. `group` is
    /// the group of the engine.
    pub fn observe(
        &mut self,
        observed: &Observation,
        group: GroupTag,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> ObservationOutcome {
        let limit_before = self.limit_of(observed.engine);
        if observed.limit.is_none() && limit_before.is_none() {
            return ObservationOutcome::Unchanged;
        }
        let group = self.group_of(observed.engine).unwrap_or(group);
        if !self.groups.contains_key(&group) {
            self.take_over(group, now);
        }
        let known = &self.groups[&group];
        if known.is_held {
            return match self.apply_as_holder(observed, group, rate_limits, now) {
                true => ObservationOutcome::Changed,
                false => ObservationOutcome::Unchanged,
            };
        }
        let holder = known.holder.at;
        if limit_before.is_none() {
            // From now on tokens are requested from the holder, even if it has yet to learn
            // of the limit.
            self.record_limit(observed, group);
            self.apply_limit(observed.engine, rate_limits, now);
        }
        ObservationOutcome::ForwardToHolder(holder)
    }

    /// Applies an observation that another node forwarded. Returns whether the limit
    /// changed; a node that does not hold the group ignores the observation.
    pub fn apply_observation(
        &mut self,
        observed: &Observation,
        group: GroupTag,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> bool {
        let is_held = self.groups.get(&group).is_some_and(|known| known.is_held);
        is_held && self.apply_as_holder(observed, group, rate_limits, now)
    }

    /// Applies an observation as the holder of the group. Returns whether the limit
    /// changed.
    fn apply_as_holder(
        &mut self,
        observed: &Observation,
        group: GroupTag,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> bool {
        let is_changed = match self.known.get_mut(&observed.engine) {
            Some(known) => known.standing.apply(observed),
            None if observed.limit.is_none() => false,
            None => {
                self.record_limit(observed, group);
                true
            }
        };
        if is_changed {
            self.apply_limit(observed.engine, rate_limits, now);
            self.announce(observed.engine, now);
        }
        is_changed
    }

    fn record_limit(&mut self, observed: &Observation, group: GroupTag) {
        let standing = StandingLimit {
            limit: observed.limit,
            observed_at: observed.head_at,
        };
        let known = KnownLimit {
            group,
            standing,
            sequence: 0,
            broadcast: UpdateBroadcast::default(),
            account: None,
        };
        self.known.insert(observed.engine, known);
    }

    /// Applies a changed limit to engine selection and to the token account.
    pub(crate) fn apply_limit(
        &mut self,
        engine: EngineTag,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) {
        let lift_delay_ms = (self.own.node.0 ^ u64::from(engine.0)) % LIFT_SPREAD_MS;
        let Some(known) = self.known.get_mut(&engine) else {
            return;
        };
        let is_held = self.groups.get(&known.group);
        let is_held = is_held.is_some_and(|group| group.is_held);
        match known.standing.limit {
            Some(limit) => {
                rate_limits.limit(engine, limit, now);
                match &mut known.account {
                    Some(account) => account.set_limit(limit, now),
                    None if is_held => {
                        known.account = Some(Account::beginning_at(limit, now));
                    }
                    None => {}
                }
            }
            None => {
                rate_limits.lift(engine, now.plus(lift_delay_ms), now);
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
            known.broadcast = UpdateBroadcast::begin(now);
        }
    }

    /// Takes the group over in a new term.
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

    /// Records that the holder of a group did not answer a token request. Returns whether
    /// this node has taken the group over. Until the backoff ends, no request waits for
    /// that holder.
    pub fn note_unanswered(
        &mut self,
        group: GroupTag,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> bool {
        let retry_at = now.plus(UNANSWERED_BACKOFF_MS);
        for (engine, known) in &self.known {
            if known.group == group {
                rate_limits.back_off(*engine, retry_at);
            }
        }
        let Some(known) = self.groups.get_mut(&group).filter(|known| !known.is_held) else {
            return false;
        };
        known.no_tokens_before = retry_at;
        let (since, unanswered_count) = known.unanswered.get_or_insert((now, 0));
        *unanswered_count += 1;
        let is_silent =
            *unanswered_count >= UNANSWERED_REQUESTS && now.since(*since) >= HOLDER_TIMEOUT_MS;
        if is_silent {
            self.take_over(group, now);
        }
        is_silent
    }

    /// Removes engines that no longer exist and limits that ended long ago.
    pub fn expire(
        &mut self,
        is_known: impl Fn(EngineTag) -> bool,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) {
        self.known.retain(|engine, known| {
            let is_recent = now.since(known.standing.observed_at) < ENDED_LIMIT_RETENTION_MS;
            let stays = is_recent || (known.standing.limit.is_some() && is_known(*engine));
            if !stays {
                rate_limits.lift(*engine, now, now);
            }
            stays
        });
    }
}
