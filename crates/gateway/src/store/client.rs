//! Client of the object store. Each call has a deadline, and its error distinguishes calls
//! that were not executed from those with an unknown outcome, which may still be executed.

use super::answer_timeout::AnswerTimeout;
use super::era::{EraChange, EraSource};
use super::listing::{Following, Listing};
use super::outage::OutageChange;
use super::rejected_entries::{note_incomplete_list, note_rejected};
use crate::answer_limits::ANSWER_LIMITS;
use crate::http_call::{CallConnection, CallError};
use crate::ports::{StoreCall, StoreError, StoreKind, StoreObject, StoreReply};
use crate::state::Gateway;
use ploverlift_http1::ResponseHead;
use ploverlift_policy::ids::StoreEra;
use ploverlift_policy::store_revision::StoreRevision;
use serde_json::Value;
use std::sync::Arc;

/// A list, or the part of it before a failure.
pub(crate) struct Listed {
    /// The objects that were read.
    pub(crate) objects: Vec<StoreObject>,
    /// The store's revision before the first page, if the list is complete.
    pub(crate) end: Result<u64, StoreError>,
}

/// A client with one connection, on which calls are made one after another.
pub struct StoreClient {
    gateway: Arc<Gateway>,
    connection: CallConnection,
    answer_timeout: Option<AnswerTimeout>,
    answered_era: StoreEra,
}

impl StoreClient {
    /// A client of the configured store.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        let address = gateway.settings().store.address;
        let memory = Arc::clone(&gateway.byte_budget.store_answers);
        Self {
            gateway: Arc::clone(gateway),
            connection: CallConnection::new(address, ANSWER_LIMITS.store_bytes, memory),
            answer_timeout: None,
            answered_era: StoreEra::default(),
        }
    }

    /// A client whose calls time out after at most `timeout_ms`, and sooner while the
    /// store answers faster.
    pub fn with_timeout(gateway: &Arc<Gateway>, timeout_ms: u64) -> Self {
        Self {
            answer_timeout: Some(AnswerTimeout::new(timeout_ms)),
            ..Self::new(gateway)
        }
    }

    /// Drops the connection; the next call opens a new one to the store's current location.
    pub fn reset(&mut self) {
        self.connection.reset();
    }

    /// The store era of the last answer; 0 if the store reports none.
    pub fn answered_era(&self) -> StoreEra {
        self.answered_era
    }

    /// Makes one call.
    ///
    /// # Errors
    /// When the call was not executed or its outcome is unknown.
    pub async fn call(&mut self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let (call, required_era) = self.resolve_revision(call)?;
        let call = &call;
        let (head, body) = self.gateway.site.store_message(call)?;
        let wait_ms = match call {
            StoreCall::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let configured_ms = self.gateway.settings().store.timeout_ms;
        let answer_timeout_ms = self
            .answer_timeout
            .map_or(configured_ms, |timeout| timeout.current_ms());
        let timeout_ms = answer_timeout_ms + wait_ms;
        let began = self.gateway.clock.now();
        self.gateway.beliefs().store_outage.note_call_began(began);
        self.gateway.metrics.count_store_call(call);
        let answered = self.connection.call(head, &body, timeout_ms).await;
        if let Some(answer_timeout) = &mut self.answer_timeout {
            match &answered {
                Ok(_) => answer_timeout.on_answer(self.gateway.clock.now().since(began)),
                Err(_) => answer_timeout.on_timeout(),
            }
        }
        let result = match answered {
            Ok((head, body)) => self.read_answer(call, required_era, &head, &body),
            Err(CallError::Unreachable { reason, .. }) => Err(StoreError::Unreachable { reason }),
            Err(CallError::NoAnswer { reason }) => Err(StoreError::Unknown { reason }),
        };
        let now = self.gateway.clock.now();
        let change = self
            .gateway
            .beliefs()
            .store_outage
            .note_call_ended(&result, now);
        self.log_outage(call, change, result.as_ref().err());
        match &result {
            Ok(reply) => {
                let rejected = reply.rejected().iter();
                rejected.for_each(|invalid| note_rejected(&self.gateway, call.kind(), invalid));
            }
            Err(_) => {
                self.gateway.metrics.store_failures.inc();
            }
        }
        result
    }

    /// The call with the revision number as the store expects it, and the era that the call
    /// depends on. Calls with a revision of an earlier era are rejected, because the store
    /// may have assigned the same revision again.
    fn resolve_revision(
        &self,
        call: &StoreCall,
    ) -> Result<(StoreCall, Option<StoreEra>), StoreError> {
        let mut call = call.clone();
        let Some(revision) = call.revision_mut() else {
            return Ok((call, None));
        };
        let StoreRevision { era, number } = StoreRevision::of_packed(*revision);
        *revision = number;
        let known = self.gateway.store_era.get().unwrap_or_default();
        if era == known {
            return Ok((call, Some(era)));
        }
        Err(match call {
            StoreCall::Watch { .. } => StoreError::HistoryGone,
            _ => StoreError::Conflict { current: None },
        })
    }

    /// Reads an answer. Answers from before the store was restored from a copy are rejected,
    /// because they contain what is no longer stored; so are changes since a revision of an
    /// earlier era, because they are incomplete.
    fn read_answer(
        &mut self,
        call: &StoreCall,
        required_era: Option<StoreEra>,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<StoreReply, StoreError> {
        let known = self.gateway.store_era.get();
        let era = self.gateway.site.store_era(head).or(known);
        if let Some(era) = era {
            if self.gateway.note_store_era(era, EraSource::Store) == EraChange::Outdated {
                return Err(StoreError::Unknown {
                    reason: "response is from an earlier era of the store".to_owned(),
                });
            }
            self.answered_era = era;
        }
        let era = self.answered_era;
        let is_watch = matches!(call, StoreCall::Watch { .. });
        if is_watch && required_era.is_some_and(|required| required != era) {
            return Err(StoreError::HistoryGone);
        }
        let reply = self.gateway.site.read_store_answer(call, head, body);
        match reply {
            Ok(reply) => Ok(reply.in_era(era)),
            Err(StoreError::Conflict { current }) => Err(StoreError::Conflict {
                current: current.map(|current| Box::new(current.in_era(era))),
            }),
            Err(error) => Err(error),
        }
    }

    /// Logs the call that began or ended an outage as observed by this node.
    fn log_outage(
        &self,
        call: &StoreCall,
        change: Option<OutageChange>,
        error: Option<&StoreError>,
    ) {
        match change {
            None => {}
            Some(OutageChange::Began { silence_ms }) => {
                slog::warn!(self.gateway.log, "store call failed";
                    "call" => call.name(), "kind" => call.kind().name(),
                    "error" => error.map(ToString::to_string), "silence_ms" => silence_ms);
            }
            Some(OutageChange::Ended {
                silence_ms,
                may_have_lapsed,
            }) => {
                slog::info!(self.gateway.log, "store answers again";
                    "call" => call.name(), "kind" => call.kind().name(),
                    "silence_ms" => silence_ms, "may_have_lapsed" => may_have_lapsed);
            }
        }
    }

    /// Reads all objects of a kind, with the store's revision before the first page. A watch
    /// from that revision reports changes made during the list again.
    ///
    /// # Errors
    /// When a page cannot be read.
    pub async fn list(&mut self, kind: StoreKind) -> Result<(Vec<StoreObject>, u64), StoreError> {
        let listed = self.list_or_part(kind, false).await;
        Ok((listed.objects, listed.end?))
    }

    /// Reads all objects of a kind; the result may be stale by some seconds.
    ///
    /// # Errors
    /// When a page cannot be read.
    pub async fn list_stale(&mut self, kind: StoreKind) -> Result<Vec<StoreObject>, StoreError> {
        let listed = self.list_or_part(kind, true).await;
        listed.end.map(|_| listed.objects)
    }

    /// Reads a list until it ends or a call fails. The objects of the pages before the failure
    /// are returned with it.
    pub(crate) async fn list_or_part(&mut self, kind: StoreKind, may_be_stale: bool) -> Listed {
        let mut listing = Listing::default();
        let end = self.read_pages(kind, may_be_stale, &mut listing).await;
        if let Err(error @ StoreError::ListIncomplete { .. }) = &end {
            note_incomplete_list(&self.gateway, kind, error);
        }
        Listed {
            objects: listing.into_objects(),
            end,
        }
    }

    /// Reads the pages of a list; returns the store's revision before the first one.
    async fn read_pages(
        &mut self,
        kind: StoreKind,
        may_be_stale: bool,
        listing: &mut Listing,
    ) -> Result<u64, StoreError> {
        let mut first_page = None;
        loop {
            let call = StoreCall::List {
                kind,
                after: listing.position().map(str::to_owned),
                may_be_stale,
            };
            let reply = self.call(&call).await?;
            let StoreReply::Page {
                objects,
                rejected,
                end,
                has_more,
                revision,
            } = reply
            else {
                return Err(unexpected_reply());
            };
            let era = self.answered_era;
            let (first_revision, first_era) = *first_page.get_or_insert((revision, era));
            if first_era != era {
                // The pages before belong to another history.
                *listing = Listing::default();
                return Err(StoreError::HistoryGone);
            }
            let added = listing.add_page(objects, rejected.len(), end, has_more);
            let following = added.map_err(|source| StoreError::ListIncomplete {
                listed: listing.len(),
                source,
            })?;
            if following == Following::Nothing {
                return Ok(first_revision);
            }
        }
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    /// When the store does not answer properly.
    pub async fn get(
        &mut self,
        kind: StoreKind,
        name: &str,
    ) -> Result<Option<StoreObject>, StoreError> {
        let name = name.to_owned();
        match self.call(&StoreCall::Get { kind, name }).await {
            Ok(StoreReply::Object(object)) => Ok(Some(object)),
            Ok(_) => Err(unexpected_reply()),
            Err(StoreError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Stores an object if its revision is still `revision`; with 0, creates it.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the revision differs; [`StoreError::Unknown`] when the
    /// change may have been made or may still be made.
    pub async fn compare_and_set(
        &mut self,
        kind: StoreKind,
        name: &str,
        revision: u64,
        content: Value,
    ) -> Result<StoreObject, StoreError> {
        let name = name.to_owned();
        let call = match revision {
            0 => StoreCall::Create {
                kind,
                name,
                content,
            },
            revision => StoreCall::Replace {
                kind,
                name,
                revision,
                content,
            },
        };
        match self.call(&call).await? {
            StoreReply::Object(object) => Ok(object),
            _ => Err(unexpected_reply()),
        }
    }

    /// Deletes an object; succeeds if it does not exist.
    ///
    /// # Errors
    /// When the store does not answer properly.
    pub async fn delete(&mut self, kind: StoreKind, name: &str) -> Result<(), StoreError> {
        self.delete_at(kind, name, None).await
    }

    /// Deletes an object if its revision is still `revision`; succeeds if it does not exist.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the revision differs; otherwise as [`StoreClient::delete`].
    pub async fn delete_if(
        &mut self,
        kind: StoreKind,
        name: &str,
        revision: u64,
    ) -> Result<(), StoreError> {
        self.delete_at(kind, name, Some(revision)).await
    }

    async fn delete_at(
        &mut self,
        kind: StoreKind,
        name: &str,
        revision: Option<u64>,
    ) -> Result<(), StoreError> {
        let call = StoreCall::Delete {
            kind,
            name: name.to_owned(),
            revision,
        };
        match self.call(&call).await {
            Ok(_) | Err(StoreError::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Stores the status of an object if its revision is still `revision`.
    ///
    /// # Errors
    /// As [`StoreClient::compare_and_set`].
    pub async fn replace_status(
        &mut self,
        kind: StoreKind,
        name: &str,
        revision: u64,
        status: Value,
    ) -> Result<StoreObject, StoreError> {
        let call = StoreCall::ReplaceStatus {
            kind,
            name: name.to_owned(),
            revision,
            status,
        };
        match self.call(&call).await? {
            StoreReply::Object(object) => Ok(object),
            _ => Err(unexpected_reply()),
        }
    }
}

fn unexpected_reply() -> StoreError {
    StoreError::Unknown {
        reason: "response does not match the call".to_owned(),
    }
}
