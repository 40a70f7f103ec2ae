//! Quarantine of requests, and of parts of prompts, that end the engines that run them.
//!
//! Pure: no I/O, no clock, no randomness. Evidence is recorded against a [`subject`] and not
//! against an attempt: a whole request, by its [`fingerprint`], and each part of its prompt
//! that other requests share. It is known to the whole fleet, and once a subject is refused,
//! that is kept even if all nodes restart.
//!
//! | module | concern |
//! | --- | --- |
//! | [`fingerprint`] | identification of a request, in any attempt |
//! | [`subject`] | what evidence is recorded against: a request, or a part of a prompt |
//! | [`evidence`] | engines that ended while running it |
//! | [`answers`] | full answers, which clear a request |
//! | [`part_answers`] | the same for parts of prompts |
//! | [`quarantine`] | whether one subject may be sent |
//! | [`request_permission`] | whether a request with all its subjects may be sent |
//! | `suspect` | the evidence against one subject |
//! | `clearing` | what clears a subject, here and on other nodes |
//! | [`retention`] | how many subjects are recorded |
//! | [`node_messages`], [`exchange`] | reports that nodes exchange |
//! | [`stored`] | refused subjects in the store |

pub mod answers;
mod clearing;
pub mod evidence;
pub mod exchange;
pub mod fingerprint;
pub mod node_messages;
pub mod part_answers;
pub mod quarantine;
pub mod request_permission;
pub mod retention;
pub mod stored;
pub mod subject;
mod suspect;
