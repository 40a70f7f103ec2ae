//! Quarantine of requests that end the engines that run them.
//!
//! Pure: no I/O, no clock, no randomness. A request is identified by its [`fingerprint`]
//! and not by an attempt: its effects are known to the whole fleet, and once it is refused,
//! that is kept even if all nodes restart.
//!
//! | module | concern |
//! | --- | --- |
//! | [`fingerprint`] | identification of a request, in any attempt |
//! | [`evidence`] | engines that ended while running it |
//! | [`answers`] | full answers, which clear a request |
//! | [`quarantine`] | which requests may be sent |
//! | `suspect` | the evidence against one request |
//! | [`retention`] | how many requests are recorded |
//! | [`node_messages`], [`exchange`] | reports that nodes exchange |
//! | [`stored`] | refused requests in the store |

pub mod answers;
pub mod evidence;
pub mod exchange;
pub mod fingerprint;
pub mod node_messages;
pub mod quarantine;
pub mod retention;
pub mod stored;
mod suspect;
