//! Rate limits of tenants that hold over the whole fleet, in requests or in tokens.
//!
//! Pure: no I/O, no clock, no randomness. Each tenant has one token bucket for the
//! fleet. Nodes count what they admit and report it; whoever hears all parts of the
//! fleet ([`accounts`]: a node of a small fleet, or a relay) keeps the buckets, and
//! relays tell the others their levels ([`tenant_levels`]). Every node admits by itself:
//!
//! ```text
//! admitted here ──▶ UseReport ──▶ accounts of relays ──▶ LevelReport ──▶ told levels
//!       ▲                                                                    │
//!       └──────────── limiter: level − what others admit unreported ◀───────────┘
//! ```
//!
//! A part of the fleet that is not heard may go on admitting its share of the limit,
//! by its last known use; the others count that share as used until they hear of it
//! again. So a fleet that is divided divides the limit, and does not multiply it.
//!
//! | module | concern |
//! | --- | --- |
//! | [`bucket`] | one token bucket |
//! | [`recent_rate`] | use a second, over the last second or so |
//! | [`own_use`] | what this node has admitted |
//! | [`parts`] | parts of the fleet, and one count of what they report |
//! | [`accounts`] | the buckets, where all parts are heard |
//! | [`tenant_levels`] | levels that relays tell |
//! | [`limiter`] | the decision |
//! | [`standing`] | what it was made by, and when to come back |
//! | [`reports`] | what nodes tell each other |

pub mod accounts;
pub mod bucket;
pub mod limiter;
pub mod own_use;
pub mod parts;
pub mod recent_rate;
pub mod reports;
pub mod standing;
pub mod tenant_levels;
