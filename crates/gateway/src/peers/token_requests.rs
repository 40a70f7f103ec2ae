//! Requests for tokens of engines, sent to the node that grants them.

use super::messages::PeerMessage;
use super::outbox::Outbox;
use super::pending_requests::PendingRequests;
use crate::time::within;
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest};
use std::net::SocketAddr;

/// Time-out of each attempt, in milliseconds: a round trip takes 3 ms between zones, and a
/// busy node some tens of milliseconds more.
const ANSWER_TIMEOUT_MS: u64 = 40;
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 2;

/// The pending requests for tokens.
pub type PendingTokenRequests = PendingRequests<TokenAnswer>;

impl PendingTokenRequests {
    /// Requests a token from a node; `None` when it does not answer in time.
    pub async fn request_token(
        &self,
        outbox: &Outbox,
        to: SocketAddr,
        request: &TokenRequest,
    ) -> Option<TokenAnswer> {
        let pending = self.begin(request.number, 1);
        for _ in 0..MAX_ATTEMPTS {
            outbox.put(to, &PeerMessage::TokenRequest(request.clone()));
            if let Some(Ok(answer)) = within(ANSWER_TIMEOUT_MS, pending.answers.recv()).await {
                return Some(answer);
            }
        }
        None
    }
}
