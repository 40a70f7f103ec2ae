//! The object store: what must last, shared by all nodes.

use ploverlift_balancing::catalogue::EngineRecord;
use ploverlift_http1::{RequestHead, ResponseHead};
use ploverlift_policy::ids::StoreEra;
use ploverlift_policy::store_revision::StoreRevision;
use ploverlift_rollout::order::{RolloutOrder, RolloutStatus};
use ploverlift_routing::configuration::Configuration;
use serde_json::Value;
use snafu::Snafu;

/// Kinds of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreKind {
    /// The operator's configuration, one object.
    Configuration,
    /// Engines, one object each, which they write themselves.
    Engines,
    /// Named versions of weights, one object a model.
    Weights,
    /// Orders to move a service to another software version, one object a service.
    Rollouts,
    /// Leases of this product.
    Leases,
    /// Nodes of this product, one object each.
    Nodes,
    /// Requests that are refused because engines ended under them, one object each.
    RefusedRequests,
}

impl StoreKind {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreKind::Configuration => "configuration",
            StoreKind::Engines => "engines",
            StoreKind::Weights => "weights",
            StoreKind::Rollouts => "rollouts",
            StoreKind::Leases => "leases",
            StoreKind::Nodes => "nodes",
            StoreKind::RefusedRequests => "refused_requests",
        }
    }
}

/// One stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreObject {
    /// Name, unique in its kind.
    pub name: String,
    /// Revision of its last change. An [`ObjectStore`] reads the number alone; what
    /// [`StoreClient`](crate::store::StoreClient) returns is packed with the era
    /// ([`StoreRevision::packed`]).
    pub revision: u64,
    /// Whether it is about to be removed.
    pub is_deleting: bool,
    /// What was stored.
    pub content: Value,
    /// What the product has recorded with it, where it records anything.
    pub status: Option<Value>,
}

impl StoreObject {
    /// The same with its revision in an era.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.revision = StoreRevision::pack(self.revision, era);
        self
    }
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// One page of the objects of a kind, after a name.
    List {
        /// The kind.
        kind: StoreKind,
        /// The last name of the page before.
        after: Option<String>,
        /// Whether the answer may be some seconds old, which is cheaper.
        may_be_stale: bool,
    },
    /// One object.
    Get {
        /// The kind.
        kind: StoreKind,
        /// Its name.
        name: String,
    },
    /// Changes of a kind after a revision; waits for one.
    Watch {
        /// The kind.
        kind: StoreKind,
        /// The revision up to which changes are known.
        revision: u64,
        /// Longest wait at the store, in milliseconds.
        wait_ms: u64,
    },
    /// Makes an object that must not be there.
    Create {
        /// The kind.
        kind: StoreKind,
        /// Its name.
        name: String,
        /// What to store.
        content: Value,
    },
    /// Replaces an object whose revision must be this one.
    Replace {
        /// The kind.
        kind: StoreKind,
        /// Its name.
        name: String,
        /// The revision that must still be stored.
        revision: u64,
        /// What to store.
        content: Value,
    },
    /// Removes an object, whatever its revision.
    Delete {
        /// The kind.
        kind: StoreKind,
        /// Its name.
        name: String,
    },
    /// Replaces what the product records with an object that is not its own.
    ReplaceStatus {
        /// The kind.
        kind: StoreKind,
        /// Its name.
        name: String,
        /// The revision that must still be stored.
        revision: u64,
        /// What to record.
        status: Value,
    },
}

impl StoreCall {
    /// What it does, as metrics name it.
    pub fn name(&self) -> &'static str {
        match self {
            StoreCall::List {
                may_be_stale: true, ..
            } => "list_stale",
            StoreCall::List { .. } => "list",
            StoreCall::Get { .. } => "get",
            StoreCall::Watch { .. } => "watch",
            StoreCall::Create { .. } => "create",
            StoreCall::Replace { .. } => "replace",
            StoreCall::ReplaceStatus { .. } => "replace_status",
            StoreCall::Delete { .. } => "delete",
        }
    }

    /// The revision that it rests on, where it rests on one.
    pub fn revision_mut(&mut self) -> Option<&mut u64> {
        match self {
            StoreCall::Watch { revision, .. }
            | StoreCall::Replace { revision, .. }
            | StoreCall::ReplaceStatus { revision, .. } => Some(revision),
            StoreCall::List { .. }
            | StoreCall::Get { .. }
            | StoreCall::Create { .. }
            | StoreCall::Delete { .. } => None,
        }
    }

    /// The kind of objects that it is for.
    pub fn kind(&self) -> StoreKind {
        match self {
            StoreCall::List { kind, .. }
            | StoreCall::Get { kind, .. }
            | StoreCall::Watch { kind, .. }
            | StoreCall::Create { kind, .. }
            | StoreCall::Replace { kind, .. }
            | StoreCall::ReplaceStatus { kind, .. }
            | StoreCall::Delete { kind, .. } => *kind,
        }
    }
}

/// A change.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// The object after the change.
    pub object: StoreObject,
    /// Whether it was removed.
    pub is_gone: bool,
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A page of a list.
    Page {
        /// Objects in the order of their names.
        objects: Vec<StoreObject>,
        /// Whether more follow.
        has_more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// One object: as it is, or as it was stored.
    Object(StoreObject),
    /// The object is removed, or is about to be.
    Deleted,
    /// Changes, maybe none.
    Changes {
        /// In order.
        events: Vec<WatchEvent>,
        /// Revision from which to go on.
        revision: u64,
    },
}

impl StoreReply {
    /// The same with all revisions in an era.
    pub fn in_era(self, era: StoreEra) -> Self {
        match self {
            StoreReply::Page {
                objects,
                has_more,
                revision,
            } => StoreReply::Page {
                objects: objects
                    .into_iter()
                    .map(|object| object.in_era(era))
                    .collect(),
                has_more,
                revision: StoreRevision::pack(revision, era),
            },
            StoreReply::Object(object) => StoreReply::Object(object.in_era(era)),
            StoreReply::Deleted => StoreReply::Deleted,
            StoreReply::Changes { events, revision } => {
                let events = events.into_iter().map(|event| WatchEvent {
                    object: event.object.in_era(era),
                    is_gone: event.is_gone,
                });
                StoreReply::Changes {
                    events: events.collect(),
                    revision: StoreRevision::pack(revision, era),
                }
            }
        }
    }
}

/// Why a call did not do what it should.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum StoreError {
    /// Not done: the object has another revision, or is there already.
    #[snafu(display("conflict"))]
    Conflict {
        /// The object as it is, when the store tells.
        current: Option<Box<StoreObject>>,
    },
    /// Not done: there is no such object.
    #[snafu(display("not found"))]
    NotFound,
    /// The changes since the revision are no longer known.
    #[snafu(display("the history is gone"))]
    HistoryGone,
    /// Not done: the store takes no more calls now.
    #[snafu(display("throttled"))]
    Throttled,
    /// Not done: the store refused the call.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// Not done: the store could not be reached.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// No answer came: a change may have been made, or may still be made.
    #[snafu(display("unknown outcome: {reason}"))]
    Unknown {
        /// What happened.
        reason: String,
    },
}

/// The protocol of the object store.
pub trait ObjectStore: Send + Sync {
    /// Head and body of a call, without the body's length.
    fn store_message(&self, call: &StoreCall) -> (RequestHead, Vec<u8>);

    /// Reads the answer to a call.
    ///
    /// # Errors
    /// When the call was not done, or the answer does not fit.
    fn read_store_answer(
        &self,
        call: &StoreCall,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<StoreReply, StoreError>;

    /// The era of the store that gave an answer, where it tells.
    fn store_era(&self, head: &ResponseHead) -> Option<StoreEra>;
}

/// A named version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// A stored document that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{document}: {reason}"))]
pub struct InvalidDocument {
    /// Which document.
    pub document: String,
    /// What does not fit.
    pub reason: String,
}

/// The documents that the operator and the engines store.
pub trait StoredDocuments: Send + Sync {
    /// Reads the configuration.
    ///
    /// # Errors
    /// When it does not fit.
    fn configuration(&self, object: &StoreObject) -> Result<Configuration, InvalidDocument>;

    /// Reads an engine's record.
    ///
    /// # Errors
    /// When it does not fit.
    fn engine(&self, object: &StoreObject) -> Result<EngineRecord, InvalidDocument>;

    /// Reads a named version of weights.
    ///
    /// # Errors
    /// When it does not fit.
    fn named_version(&self, object: &StoreObject) -> Result<NamedVersion, InvalidDocument>;

    /// Reads an order to move a service to another software version, with what is
    /// recorded of it.
    ///
    /// # Errors
    /// When it does not fit.
    fn rollout_order(&self, object: &StoreObject) -> Result<RolloutOrder, InvalidDocument>;

    /// What is stored as the status of a rollout.
    fn rollout_status_content(&self, status: &RolloutStatus) -> Value;
}
