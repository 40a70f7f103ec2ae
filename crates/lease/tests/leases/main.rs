//! Leases in a store that loses answers, writes late, and forgets.

mod holders;
mod schedules;
mod search;
mod tokens;
mod world;
