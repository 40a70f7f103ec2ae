//! Requests that end the engines that run them, and what becomes of their repeats.
//!
//! Pure: no I/O, no clock, no randomness. A request is known by its [`fingerprint`], not by
//! an attempt: what it did is remembered by the whole fleet, and outlives all nodes once it
//! is refused.
//!
//! | module | concern |
//! | --- | --- |
//! | [`fingerprint`] | what a request is, in whichever attempt |
//! | [`evidence`] | engines that ended while they ran it |
//! | [`answers`] | whole answers, which speak for a request |
//! | [`quarantine`] | which requests may be sent |
//! | `suspect` | what is known against one request |
//! | [`retention`] | how many are remembered |
//! | [`node_messages`], [`exchange`] | what nodes tell each other |
//! | [`stored`] | what the store has |

pub mod answers;
pub mod evidence;
pub mod exchange;
pub mod fingerprint;
pub mod node_messages;
pub mod quarantine;
pub mod retention;
pub mod stored;
mod suspect;
