//! One request through a gateway: the answer to its caller, and what engines receive.

mod answer_end_costs;
mod answers;
mod app_engine;
mod cached_prompts;
mod early_answers;
mod killed_engines;
mod not_run;
mod retries;
mod start;
mod streams;
#[path = "../support/mod.rs"]
mod support;
mod truncated_answers;
mod unframed_ends;
