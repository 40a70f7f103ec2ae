//! Sources of running streams in the object store, so that they outlive all nodes.
//!
//! While the source of a stream could be confused with another one, each node that calls the
//! store itself keeps an object with its running streams, and a relay also those of its
//! followers ([design](../../../../docs/design/stream-origins.md)). A node reads these objects
//! when it starts, and again when a stream is taken up that no node knows.
//!
//! | module | concern |
//! | --- | --- |
//! | [`document`] | the stored object |
//! | [`writer`] | writing this node's object |
//! | [`reader`] | reading the objects of all nodes |

pub mod document;
pub mod reader;
pub mod writer;
