//! Rate limits of tenants, in requests or in tokens, enforced across the whole fleet.
//!
//! Pure: no I/O, no clock, no randomness. Each tenant has one token bucket for the
//! fleet. Nodes count what they admit and report it. Nodes that receive the reports of
//! all parts of the fleet keep the buckets ([`accounts`]: every node of a small fleet,
//! or the relays of a large one), and relays report the levels to the other nodes
//! ([`tenant_levels`]). Every node decides on its own:
//!
//! ```text
//! admitted here ──▶ UseReport ──▶ accounts of relays ──▶ LevelReport ──▶ relay levels
//!       ▲                                                                     │
//!       └─────── limiter: level − unreported admissions of other nodes ◀──────┘
//! ```
//!
//! A part of the fleet from which no reports arrive may go on admitting its share of the
//! limit, by its last known use. The others count that share as used until they receive
//! its reports again. A partitioned fleet thus divides the limit and does not multiply it.
//!
//! | module | concern |
//! | --- | --- |
//! | [`bucket`] | one token bucket |
//! | [`recent_rate`] | use a second, over about the last second |
//! | [`own_use`] | what this node has admitted |
//! | [`parts`] | parts of the fleet, and merging their reports into one count |
//! | [`accounts`] | the buckets, where the reports of all parts arrive |
//! | [`tenant_levels`] | levels reported by relays |
//! | [`limiter`] | the decision |
//! | [`standing`] | the state behind a decision, and when to retry |
//! | [`reports`] | reports that nodes exchange |

pub mod accounts;
pub mod bucket;
pub mod limiter;
pub mod own_use;
pub mod parts;
pub mod recent_rate;
pub mod reports;
pub mod standing;
pub mod tenant_levels;
