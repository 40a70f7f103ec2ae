//! The tokens that the stand-in engine generates, a function of prompt and position.

use serde_json::{json, Value};

/// One run of a completion.
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) prompt: Vec<u8>,
    pub(crate) scope: String,
    pub(crate) from: u64,
    pub(crate) tokens: u64,
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    pub(crate) hold: Option<async_channel::Receiver<()>>,
}

pub(crate) fn token_text(run: &Run, position: u64) -> String {
    let hash = token_hash(&run.prompt, position);
    format!(" w{:04x}", hash & 0xffff)
}

fn token_hash(prompt: &[u8], position: u64) -> u64 {
    let scope = ploverlift_policy::ids::CacheScope::from("answer");
    let seed = ploverlift_policy::chain::ChainSeed {
        scope: &scope,
        model: "answer",
        weights: ploverlift_policy::ids::WeightsVersion(position),
    };
    let length = u32::try_from(prompt.len()).unwrap_or(u32::MAX).max(1);
    let chain = ploverlift_policy::chain::PromptChain::of_text(&seed, prompt, length, 1);
    chain.blocks.first().map_or(position, |block| block.0)
}

pub(crate) fn piece(run: &Run, position: u64) -> Value {
    let text = token_text(run, position);
    let choice = if run.chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": text, "finish_reason": null})
    };
    json!({"id": run.id, "object": "chat.completion.chunk", "choices": [choice]})
}
