//! Tunnels: connections to an engine that another node opens, as HTTP `CONNECT` does.
//!
//! A node that does not reach an engine asks a peer for a tunnel. The peer opens a
//! connection to the engine and copies bytes between both connections. It neither parses
//! nor repeats a request: admission, choice, attempts and the request's record stay with
//! the node that took the request from its caller.
//!
//! ```text
//! node ── open ──▶ peer ── connect ──▶ engine
//!      ◀─ answer ──     ◀── connected ──
//!      ── bytes ──▶     ── bytes ──▶
//!      ◀─ frames ──     ◀── bytes ──
//! ```
//!
//! Towards the engine the bytes are passed on as they are. Towards the node they are
//! framed, so that a tunnel that breaks is not taken for an answer that ends.
//!
//! No I/O, no clock. The gateway's `engine_paths` sends and receives.
//!
//! | module | concern |
//! | --- | --- |
//! | [`framing`] | frames of the bytes that come from the engine |
//! | [`messages`] | the request for a tunnel and its answer |
//! | [`limits`] | how many tunnels a node carries for others, and how many bytes a second |

pub mod framing;
pub mod limits;
pub mod messages;
