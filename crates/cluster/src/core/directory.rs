//! The directory's shards.

use super::*;

impl NodeCore {
    /// The live node that owns the directory's shard of a block. Shards are
    /// distributed over the nodes that receive reports on the same engines: all
    /// nodes of a small fleet, or those of the own zone in a larger one. With
    /// shards by zone in a small fleet, each zone would place every prefix
    /// anew.
    pub(super) fn shard_of(&self, anchor: BlockHash) -> Option<NodeKey> {
        let zone = &self.members.own().zone;
        let small = self.members.live_count() < engine_watch::SMALL_FLEET_NODES;
        let live = self.members.live();
        let near = live.filter(|(_, member)| small || member.identity.zone == *zone);
        let keys = near.map(|(key, _)| key);
        rendezvous_first(anchor.0, keys.chain([self.members.own_key()]))
    }

    pub(super) fn remote_shard(&self, anchor: BlockHash) -> Option<SocketAddr> {
        let shard = self.shard_of(anchor)?;
        if shard == self.members.own_key() {
            return None;
        }
        self.members.address(shard)
    }

    /// Asks the directory's shard for engines that hold a prefix of a prompt.
    /// Returns `None` when this node owns the shard itself or already knows a
    /// holder of the whole chain.
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

    /// Reports a placement to the directory's shard.
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

    pub(super) fn on_directory_record(&mut self, record: &DirectoryRecord, now: Millis) {
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

    pub(super) fn on_directory_lookup(
        &mut self,
        from: SocketAddr,
        lookup: &DirectoryLookup,
        now: Millis,
    ) {
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

    pub(super) fn on_directory_answer(&mut self, answer: DirectoryAnswer, now: Millis) {
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
}
