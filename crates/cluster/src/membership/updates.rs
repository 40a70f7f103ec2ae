//! Joins, and member updates: precedence between updates and their
//! dissemination.

use super::*;

impl Membership {
    /// Adds a joining node and sends it the list of live members.
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

    /// Merges the member list of another node.
    pub fn on_join_answer(&mut self, answer: &JoinAnswer, now: Millis) {
        self.joined = true;
        for update in &answer.members {
            self.merge_without_gossip(update, now);
        }
    }

    pub(super) fn merge_all(&mut self, updates: &[MemberUpdate], now: Millis) {
        for update in updates {
            self.merge(update, now);
        }
    }

    /// Merges an update and queues it for gossip if it is new.
    pub(super) fn merge(&mut self, update: &MemberUpdate, now: Millis) {
        if let Some(key) = self.merge_without_gossip(update, now) {
            self.queue_gossip(key);
        }
    }

    /// Merges an update; returns the node's key if it is new.
    pub(super) fn merge_without_gossip(
        &mut self,
        update: &MemberUpdate,
        now: Millis,
    ) -> Option<NodeKey> {
        let key = NodeKey::of(&NodeName(update.name.clone()));
        if key == self.own_key {
            return self.refute(update);
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

    pub(super) fn note_change(
        &mut self,
        key: NodeKey,
        was_live: bool,
        is_live: bool,
        restarted: bool,
    ) {
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

    /// Refutes an update that wrongly reports this node as not alive.
    pub(super) fn refute(&mut self, update: &MemberUpdate) -> Option<NodeKey> {
        let wrong = update.status() != MemberStatus::Alive && update.life == self.own.life;
        if wrong && !self.leaving && update.refutation >= self.own_refutation {
            self.own_refutation = update.refutation + 1;
            return Some(self.own_key);
        }
        None
    }

    pub(super) fn queue_gossip(&mut self, key: NodeKey) {
        self.gossip.retain(|(queued, _)| *queued != key);
        self.gossip.push_front((key, 0));
    }

    pub(super) fn updates_to_send(&mut self) -> Vec<MemberUpdate> {
        let members = self.live as u32 + 2;
        let limit = GOSSIP_FACTOR * (u32::BITS - members.leading_zeros());
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

    pub(super) fn update_for(&self, key: NodeKey) -> Option<MemberUpdate> {
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
