//! Which service and which version of its engines' software began a resumable stream.
//!
//! Engines of several versions may serve side by side, and what two versions write does not
//! fit together: a stream that breaks may go on only at the version that began it, also when
//! its caller takes it up at another node. While a service has several versions, the node
//! that forwards a stream's first event announces the version to a few nodes, the keepers of
//! that stream. A node that takes a stream up asks them. A stream whose version nobody can
//! tell is rejected: that no entry is found does not show that there was none.
//!
//! Pure: no I/O, no clock, no randomness.
//!
//! | module | concern |
//! | --- | --- |
//! | [`stream_key`] | identification of a stream |
//! | [`origins`] | the streams whose version this node knows |
//! | [`keepers`] | which nodes keep the version of a stream |
//! | [`history`] | which versions of a service have served recently |
//! | [`source`] | the service and the software version that began a stream |
//! | [`placement`] | which version may continue a stream, from the answers of keepers |

pub mod history;
pub mod keepers;
pub mod origins;
pub mod placement;
pub mod source;
pub mod stream_key;
