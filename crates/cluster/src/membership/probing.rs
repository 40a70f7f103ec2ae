//! Direct and indirect probes, and the handling of their answers.

use super::*;

impl Membership {
    /// Performs the membership work that is due at `now`: joins, probes and the
    /// expiry of suspicions.
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

    pub(super) fn try_join(
        &mut self,
        now: Millis,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
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

    /// Requests the complete state from up to `count` random members, as after
    /// a pause.
    pub fn request_members(&self, count: usize, random: &mut fastrand::Rng, outbox: &mut Outbox) {
        let join = Join {
            this: Some(self.own_update()),
        };
        for target in self.random_live(count, None, random) {
            outbox.send(target, Body::Join(join.clone()));
        }
    }

    pub(super) fn follow_up_probe(
        &mut self,
        now: Millis,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
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

    pub(super) fn ask_others_to_probe(
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

    pub(super) fn suspect(&mut self, target: NodeKey, now: Millis) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        if member.status != MemberStatus::Alive {
            return;
        }
        member.status = MemberStatus::Suspect;
        member.since = now;
        self.suspicions += 1;
        self.queue_gossip(target);
    }

    pub(super) fn expire_suspicions(&mut self, now: Millis) {
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
            self.queue_gossip(key);
        }
        self.members
            .retain(|_, member| member.is_live() || now.since(member.since) < DEAD_RETENTION_MS);
    }

    pub(super) fn probe_next(
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

    /// The next member to probe: members of the own zone in random order, and
    /// every [`OTHER_ZONE_EVERY`]th time one of another zone.
    pub(super) fn next_target(&mut self, random: &mut fastrand::Rng) -> Option<NodeKey> {
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

    pub(super) fn refill_probe_order(&mut self, random: &mut fastrand::Rng) {
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

    pub(super) fn probe_a_dead_member(
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

    pub(super) fn new_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    pub(super) fn probe_message(
        &mut self,
        sequence: u32,
        on_behalf_of: String,
        digests: Digests,
    ) -> Probe {
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

    /// Processes a probe and answers it.
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

    /// The sender's own status as known here, if it is suspected or dead, so
    /// that the sender can refute it.
    pub(super) fn correction_of(&self, update: &MemberUpdate) -> Option<MemberUpdate> {
        let key = NodeKey::of(&NodeName(update.name.clone()));
        let member = self.members.get(&key)?;
        let refutable = matches!(member.status, MemberStatus::Suspect | MemberStatus::Dead);
        let same_life = member.identity.life == update.life;
        let needed = refutable && same_life && member.refutation >= update.refutation;
        needed.then(|| update_of(&member.identity, member.refutation, member.status))
    }

    /// Processes the answer to a probe.
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

    /// Probes a member on behalf of another node.
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
        let relayed = RelayedProbe {
            to: from,
            sequence: request.sequence,
            at: now,
        };
        self.relayed.insert(sequence, relayed);
        let probe = self.probe_message(sequence, from.to_string(), digests);
        outbox.send(target, Body::Probe(probe));
    }
}
