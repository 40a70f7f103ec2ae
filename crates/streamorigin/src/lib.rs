//! Which service and which version of its engines' software began a resumable stream.
//!
//! Engines of several versions may serve side by side, and what two versions write does not
//! fit together, nor does what two services write: a stream that breaks may go on only at the
//! source that began it, also when its caller takes it up at another node. A register in the
//! store names all sources at which streams may have begun. Where it names several, the node
//! that forwards a stream's first event announces its source to a few nodes, the keepers of
//! that stream, and a node that takes a stream up asks them. A stream whose source nobody can
//! tell is rejected: that no entry is found does not show that there was none.
//!
//! Pure: no I/O, no clock, no randomness.
//!
//! | module | concern |
//! | --- | --- |
//! | [`stream_key`] | identification of a stream |
//! | [`origins`] | the streams whose version this node knows |
//! | [`keepers`] | which nodes keep the version of a stream |
//! | [`sources`] | the register of the sources at which streams may have begun |
//! | [`known_sources`] | what one node knows of the register, and has to write |
//! | [`source`] | the service and the software version that began a stream |
//! | [`placement`] | which version may continue a stream, from the answers of keepers |

pub mod keepers;
pub mod known_sources;
pub mod origins;
pub mod placement;
pub mod source;
pub mod sources;
pub mod stream_key;
