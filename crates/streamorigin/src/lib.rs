//! Which service and which version of its engines' software began a resumable stream.
//!
//! Engines of several versions may serve side by side, and what two versions write does not
//! fit together, nor does what two services write: a stream that breaks may go on only at the
//! source that began it, also when its caller takes it up at another node. A register in the
//! store names all sources at which streams may have begun. Where it names several, the node
//! that forwards a stream's first event announces its source to a few nodes, the keepers of
//! that stream, and stores it in a journal, which outlives all nodes. A node that takes a stream
//! up asks the keepers, and reads the journals. A stream whose source no
//! node can tell is rejected: a missing entry does not prove that there was none.
//!
//! Pure: no I/O, no clock, no randomness.
//!
//! | module | concern |
//! | --- | --- |
//! | [`stream_key`] | identification of a stream |
//! | [`origins`] | the streams whose source this node knows |
//! | [`keepers`] | which nodes keep the source of a stream |
//! | [`journal`] | the running streams that a node stores |
//! | [`encoding`] | these streams as text |
//! | [`stored_origins`] | the streams that were read from the journals of all nodes |
//! | [`sources`] | the register of the sources at which streams may have begun |
//! | [`known_sources`] | what one node knows of the register, and has to write |
//! | [`source`] | the service and the software version that began a stream |
//! | [`placement`] | which engines may continue a stream, from what is known of it |

pub mod encoding;
pub mod journal;
pub mod keepers;
pub mod known_sources;
pub mod origins;
pub mod placement;
pub mod source;
pub mod sources;
pub mod stored_origins;
pub mod stream_key;
