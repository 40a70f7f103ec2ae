//! Updates about limits that a node sends to and receives from other nodes.

use crate::group::GroupTag;
use crate::limits::{EngineLimits, Group, KnownLimit};
use crate::node_messages::{GroupUpdate, UpdatedLimit, MAX_LIMITS_PER_UPDATE};
use crate::observation::StandingLimit;
use ploverlift_balancing::engine_rate_limits::EngineRateLimits;
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use std::collections::BTreeMap;

impl EngineLimits {
    /// The updates to send now: due changes and, once in each period, a rotating subset of
    /// the limits that this node holds.
    pub fn updates_due(&mut self, is_period: bool, now: Millis) -> Vec<GroupUpdate> {
        let mut selected: BTreeMap<GroupTag, Vec<EngineTag>> = BTreeMap::new();
        for (tag, group) in &mut self.groups {
            let is_due = group.broadcast.is_due(now);
            group.broadcast.record_broadcast(now);
            if is_due || (is_period && group.is_held) {
                selected.insert(*tag, Vec::new());
            }
        }
        for (engine, known) in &mut self.known {
            if known.broadcast.is_due(now) {
                known.broadcast.record_broadcast(now);
                selected.entry(known.group).or_default().push(*engine);
            }
        }
        if is_period {
            for engine in self.next_in_turn() {
                let group = selected.entry(self.known[&engine].group).or_default();
                if !group.contains(&engine) {
                    group.push(engine);
                }
            }
        }
        self.split_into_updates(&selected, now)
    }

    /// The full state, for a node that knows nothing yet.
    pub fn all_updates(&self, now: Millis) -> Vec<GroupUpdate> {
        let groups = self.groups.keys();
        let mut selected: BTreeMap<GroupTag, Vec<EngineTag>> =
            groups.map(|group| (*group, Vec::new())).collect();
        for (engine, known) in &self.known {
            selected.entry(known.group).or_default().push(*engine);
        }
        self.split_into_updates(&selected, now)
    }

    /// An update that names the holder of a group, for a node that mistook this one for the
    /// holder.
    pub fn holder_update(&self, group: GroupTag) -> Option<GroupUpdate> {
        let known = self.groups.get(&group).filter(|known| !known.is_held)?;
        Some(GroupUpdate {
            group,
            holder: known.holder,
            limits: Vec::new(),
        })
    }

    /// The next limits in rotation among those that this node holds.
    fn next_in_turn(&mut self) -> Vec<EngineTag> {
        let known = self.known.iter();
        let held = known.filter(|(_, known)| known.account.is_some());
        let mut held: Vec<EngineTag> = held.map(|(engine, _)| *engine).collect();
        held.sort();
        let first = self.next_repeated % held.len().max(1);
        self.next_repeated = first + MAX_LIMITS_PER_UPDATE;
        held.rotate_left(first);
        held.truncate(MAX_LIMITS_PER_UPDATE);
        held
    }

    fn split_into_updates(
        &self,
        selected: &BTreeMap<GroupTag, Vec<EngineTag>>,
        now: Millis,
    ) -> Vec<GroupUpdate> {
        let mut updates = Vec::new();
        for (tag, engines) in selected {
            let Some(group) = self.groups.get(tag) else {
                continue;
            };
            let limits: Vec<UpdatedLimit> = engines
                .iter()
                .filter_map(|engine| self.limit_update(*engine, now))
                .collect();
            let update_with = |limits: &[UpdatedLimit]| GroupUpdate {
                group: *tag,
                holder: group.holder,
                limits: limits.to_vec(),
            };
            match limits.is_empty() {
                true => updates.push(update_with(&[])),
                false => updates.extend(limits.chunks(MAX_LIMITS_PER_UPDATE).map(update_with)),
            }
        }
        updates
    }

    /// The update of one limit. Limits that the holder has not announced are left out.
    fn limit_update(&self, engine: EngineTag, now: Millis) -> Option<UpdatedLimit> {
        let known = self.known.get(&engine)?;
        (known.sequence > 0).then(|| UpdatedLimit {
            engine,
            limit: known.standing.limit,
            sequence: known.sequence,
            age_ms: now.since(known.standing.observed_at),
        })
    }

    /// Applies an update from another node. Returns whether it changed anything. A relay
    /// sets `passes_on` and forwards changes; other nodes leave that to the holder.
    pub fn apply_update(
        &mut self,
        update: &GroupUpdate,
        passes_on: bool,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> bool {
        let broadcast = match passes_on {
            true => UpdateBroadcast::begin(now),
            false => UpdateBroadcast::default(),
        };
        let known = self.groups.get_mut(&update.group);
        let is_new_holder = match known {
            Some(group) if group.holder == update.holder => false,
            Some(group) if !update.holder.supersedes(&group.holder, update.group) => {
                // The sender does not know of the later term yet.
                if group.is_held || passes_on {
                    group.broadcast = UpdateBroadcast::begin(now);
                }
                return false;
            }
            _ => true,
        };
        if is_new_holder {
            self.follow_holder(update, broadcast, now);
        }
        let is_held = self.groups[&update.group].is_held;
        if update.holder.at.node == self.own.node && !is_held {
            // This node held the group before a restart. The tokens that it granted then
            // are unknown.
            self.apply_limits(update, broadcast, rate_limits, now);
            self.take_over(update.group, now);
            return true;
        }
        let is_changed = !is_held && self.apply_limits(update, broadcast, rate_limits, now);
        is_new_holder || is_changed
    }

    /// Records that another node holds the group.
    fn follow_holder(&mut self, update: &GroupUpdate, broadcast: UpdateBroadcast, now: Millis) {
        let followed = Group {
            broadcast,
            ..Group::held_by(update.holder, now)
        };
        self.groups.insert(update.group, followed);
        let known = self.known.values_mut();
        for known in known.filter(|known| known.group == update.group) {
            known.account = None;
            known.sequence = 0;
        }
    }

    fn apply_limits(
        &mut self,
        update: &GroupUpdate,
        broadcast: UpdateBroadcast,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) -> bool {
        let mut is_changed = false;
        for updated in &update.limits {
            let known = self.known.get(&updated.engine);
            let is_known = known
                .is_some_and(|old| old.group == update.group && old.sequence >= updated.sequence);
            if is_known {
                continue;
            }
            let before = self.limit_of(updated.engine);
            let standing = StandingLimit {
                limit: updated.limit,
                observed_at: now.before(updated.age_ms),
            };
            let known = KnownLimit {
                group: update.group,
                standing,
                sequence: updated.sequence,
                broadcast,
                account: None,
            };
            self.known.insert(updated.engine, known);
            is_changed = true;
            if before != updated.limit {
                self.apply_limit(updated.engine, rate_limits, now);
            }
        }
        is_changed
    }
}
