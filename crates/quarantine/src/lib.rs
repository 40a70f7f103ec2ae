//! Requests that end the engines that run them.
//!
//! Pure: no I/O, no clock, no randomness.
//!
//! | module | concern |
//! | --- | --- |
//! | [`fingerprint`] | what a request is, in whichever attempt |

pub mod fingerprint;
