//! One emulated engine: a batch of limited size, sequential prefill of prompts, and
//! a cache of blocks.

use crate::engine_cache::BlockCache;
use crate::experiment::model::FleetModel;
use ploverlift_policy::chain::PromptChain;
use ploverlift_policy::fleet::LoadReport;
use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// A request on an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Position in the trace.
    pub index: usize,
    /// The prompt.
    pub chain: PromptChain,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Tokens that were cached when the prefill began.
    pub cached_tokens: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EmulatedEngine {
    /// Cached blocks.
    pub cache: BlockCache,
    /// Whether the process runs.
    pub alive: bool,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Requests that wait for their prefill.
    pub waiting: VecDeque<EngineRequest>,
    /// The request in prefill, and the end of its prefill in microseconds.
    pub prefilling: Option<(EngineRequest, u64)>,
    /// Requests that decode.
    pub decoding: usize,
    /// Time since the last use of the most recently evicted block, in milliseconds.
    pub eviction_age_ms: u64,
    slots: usize,
    prefill_micros: u64,
}

impl EmulatedEngine {
    /// An idle engine with an empty cache.
    pub fn new(model: &FleetModel) -> Self {
        Self {
            cache: BlockCache::new(model.cache_blocks),
            alive: true,
            incarnation: 1,
            waiting: VecDeque::new(),
            prefilling: None,
            decoding: 0,
            eviction_age_ms: 0,
            slots: model.slots,
            prefill_micros: model.prefill_micros_per_token,
        }
    }

    /// Begins the next prefill if a request waits and a slot is free. Returns its end
    /// in microseconds.
    pub fn begin_prefill(&mut self, now_us: u64) -> Option<u64> {
        if self.prefilling.is_some() || self.decoding >= self.slots {
            return None;
        }
        let mut request = self.waiting.pop_front()?;
        let blocks = self.cache.cached_prefix(&request.chain.blocks);
        request.cached_tokens = request.chain.tokens_of(blocks);
        let uncached = u64::from(request.chain.tokens - request.cached_tokens);
        let end = now_us + uncached * self.prefill_micros;
        self.prefilling = Some((request, end));
        Some(end)
    }

    /// Ends the present prefill: caches the prompt's blocks and begins to decode.
    pub fn end_prefill(&mut self, now_us: u64) -> Option<EngineRequest> {
        let (request, _) = self.prefilling.take()?;
        self.cache
            .store(&request.chain.blocks, Millis(now_us / 1_000));
        self.decoding += 1;
        Some(request)
    }

    /// Number of requests that wait, are in prefill or decode.
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.decoding + usize::from(self.prefilling.is_some())
    }

    /// The engine's load report.
    pub fn load(&self) -> LoadReport {
        let waiting: u32 = self
            .waiting
            .iter()
            .map(|request| self.uncached(&request.chain))
            .sum();
        let prefilling = self.prefilling.as_ref();
        let prefilling = prefilling.map_or(0, |(request, _)| {
            request.chain.tokens - request.cached_tokens
        });
        LoadReport {
            running: self.decoding as u32,
            waiting: self.waiting.len() as u32 + u32::from(self.prefilling.is_some()),
            slots: self.slots as u32,
            queued_tokens: waiting + prefilling,
            eviction_age_ms: self.eviction_age_ms as u32,
        }
    }

    fn uncached(&self, chain: &PromptChain) -> u32 {
        let blocks = self.cache.cached_prefix(&chain.blocks);
        chain.tokens - chain.tokens_of(blocks)
    }

    /// Time to prefill a prompt with the present cache, in microseconds.
    pub fn prefill_us(&self, chain: &PromptChain) -> u64 {
        u64::from(self.uncached(chain)) * self.prefill_micros
    }

    /// The true time to first token of a request that arrives now, in
    /// microseconds. Slots are assumed free, but each request beyond their number
    /// adds 50 ms.
    pub fn true_ttft_us(&self, chain: &PromptChain, now_us: u64) -> u64 {
        let prefill_left = self
            .prefilling
            .as_ref()
            .map_or(0, |(_, end)| end.saturating_sub(now_us));
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|request| u64::from(self.uncached(&request.chain)) * self.prefill_micros)
            .sum();
        let full = self.request_count().saturating_sub(self.slots) as u64;
        prefill_left + waiting + self.prefill_us(chain) + full * 50_000
    }

    /// Ends the process; returns the requests that waited or were in prefill.
    pub fn crash(&mut self) -> Vec<EngineRequest> {
        self.alive = false;
        self.incarnation += 1;
        self.cache.clear();
        self.decoding = 0;
        let mut lost: Vec<EngineRequest> = self.waiting.drain(..).collect();
        lost.extend(self.prefilling.take().map(|(request, _)| request));
        lost
    }
}
