//! Adapters between the gateway and the protocols of the site it runs on.
//!
//! Each port translates between messages on the wire and types of the product.
//! A port does no I/O, keeps no state, sets no timer and decides nothing: the
//! gateway sends what a port has encoded and acts on what it has decoded. The
//! implementation for a site is one folder; the tests of this repository contain
//! another one.
//!
//! | port | translates |
//! | --- | --- |
//! | [`CallerProtocol`] | a caller's head to a [`CallerRequest`]; a refusal to a head |
//! | [`EngineProtocol`] | an [`EngineCall`] to a head; an engine's head to its [`AnswerMeaning`] and [`EngineSignals`]; a [`LivenessProbe`] to a head, and its answer |
//! | [`EngineControl`] | reports and orders, in both directions |
//! | [`CacheProtocol`] | events of KV cache stores |
//! | [`ObjectStore`] | calls to the object store, in both directions |
//! | [`StoredDocuments`] | stored documents to configuration, engines and named weights |

mod cache;
mod caller;
mod control;
mod engine;
mod signals;
mod store;

pub use cache::{CacheAnswer, CacheProtocol};
pub use caller::{CallerProtocol, CallerRequest, InvalidRequest, Refusal, RefusalKind};
pub use control::{EngineControl, EngineReport, LoadOrder, OrderAnswer};
pub use engine::{
    AnswerMeaning, CacheTransfer, EngineCall, EngineProtocol, LivenessAnswer, LivenessProbe,
    RefusedByEngine,
};
pub use signals::{EngineSignals, Leaving, Signal};
pub use store::{
    InvalidDocument, NamedVersion, ObjectStore, StoreCall, StoreError, StoreKind, StoreObject,
    StoreReply, StoredDocuments, WatchEvent,
};

/// All ports of a site.
pub trait Site:
    CallerProtocol + EngineProtocol + EngineControl + CacheProtocol + ObjectStore + StoredDocuments
{
}

impl<T> Site for T where
    T: CallerProtocol
        + EngineProtocol
        + EngineControl
        + CacheProtocol
        + ObjectStore
        + StoredDocuments
{
}
