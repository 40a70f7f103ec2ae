//! A prompt as a chain of parts, and the keys under which its cache is stored.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// Its size, in tokens.
    pub tokens: u64,
}

/// The prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Parts in order. The last belongs only to this request or its session; the others may
    /// be shared with other requests.
    pub parts: Vec<PromptPart>,
    /// Most tokens to generate.
    pub max_output_tokens: u64,
}

/// The hash of a chain of parts, equal only for the same parts in the same order under the
/// same model and cache scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChainKey(pub u64);

/// The key of a part that is cached under a salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of the part with this id under a salt.
    pub fn of(salt: &str, part: u64) -> Self {
        Self(xxh3_64_with_seed(salt.as_bytes(), part))
    }
}

/// The keys of parts under a salt.
pub fn part_keys(salt: &str, parts: &[PromptPart]) -> Vec<PartKey> {
    let keys = parts.iter().map(|part| PartKey::of(salt, part.id));
    keys.collect()
}

impl Prompt {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The key of all shared parts under a cache scope. A prompt without shared parts is keyed
    /// by its only part, so that all requests of a session have the same key.
    pub fn shared_key(&self, scope: &str) -> ChainKey {
        let shared = self.shared_parts();
        let keyed = if shared.is_empty() {
            &self.parts[..]
        } else {
            shared
        };
        let seed = xxh3_64_with_seed(scope.as_bytes(), 0);
        let mut chain = xxh3_64_with_seed(self.model.as_bytes(), seed);
        for part in keyed {
            chain = xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
        }
        ChainKey(chain)
    }
}

/// The salt under which engines store cache. It contains the weights version, the model and
/// the scope, so that cache of another tenant or of older weights cannot match.
pub fn cache_salt(model: &str, weights: u64, scope: &str) -> String {
    format!("{weights}/{model}/{scope}")
}
