//! Prompts cut into blocks and hashed as a chain.
//!
//! The chain's seed is derived from cache scope, model and weights version, so a
//! block of another tenant or of older weights has a different hash. It cannot
//! match by construction, so lookups need no further check.

use crate::ids::{BlockHash, CacheScope, WeightsVersion};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Properties that must be equal for two prompts to share cached blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSeed<'a> {
    /// Scope within which cached blocks are shared.
    pub scope: &'a CacheScope,
    /// The model's name.
    pub model: &'a str,
    /// The weights the blocks were computed with.
    pub weights: WeightsVersion,
}

impl ChainSeed<'_> {
    fn hash(&self) -> u64 {
        let scope = xxh3_64_with_seed(self.scope.0.as_bytes(), SCOPE_DOMAIN);
        let model = xxh3_64_with_seed(self.model.as_bytes(), scope);
        xxh3_64_with_seed(&self.weights.0.to_le_bytes(), model)
    }
}

/// Hash seed that separates chain seeds from other uses of the same hash function.
const SCOPE_DOMAIN: u64 = 0x706c_6f76_6572;

/// The blocks of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    /// Hash of every full block, first to last.
    pub blocks: Vec<BlockHash>,
    /// Estimated tokens of the whole prompt, including the last partial block.
    pub tokens: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
}

/// Most blocks of a prompt that are hashed; only the engine's own cache covers later
/// blocks.
pub const MAX_CHAIN_BLOCKS: usize = 512;

impl PromptChain {
    /// Cuts `prompt` into blocks of `block_tokens` estimated tokens.
    pub fn of_text(
        seed: &ChainSeed<'_>,
        prompt: &[u8],
        block_tokens: u32,
        bytes_per_token: u32,
    ) -> Self {
        let block_bytes = (block_tokens as usize).saturating_mul(bytes_per_token as usize);
        let whole = prompt.chunks_exact(block_bytes.max(1));
        let mut parent = seed.hash();
        let mut blocks = Vec::with_capacity(whole.len().min(MAX_CHAIN_BLOCKS));
        for block in whole.take(MAX_CHAIN_BLOCKS) {
            parent = xxh3_64_with_seed(block, parent);
            blocks.push(BlockHash(parent));
        }
        let tokens = prompt.len().div_ceil(bytes_per_token.max(1) as usize);
        Self {
            blocks,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            block_tokens,
        }
    }

    /// Chains block identities that are already hashes, as in recorded traces.
    pub fn of_identities(seed: &ChainSeed<'_>, identities: &[u64], block_tokens: u32) -> Self {
        let mut parent = seed.hash();
        let mut blocks = Vec::with_capacity(identities.len());
        for identity in identities {
            parent = xxh3_64_with_seed(&identity.to_le_bytes(), parent);
            blocks.push(BlockHash(parent));
        }
        let tokens = identities.len() as u32 * block_tokens;
        Self {
            blocks,
            tokens,
            block_tokens,
        }
    }

    /// Tokens that a cached prefix of `blocks` full blocks covers.
    pub fn tokens_of(&self, blocks: usize) -> u32 {
        self.block_tokens
            .saturating_mul(blocks as u32)
            .min(self.tokens)
    }
}
