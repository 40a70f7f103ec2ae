//! Messages between nodes: what each has at the engines, which engines keep which
//! prompts, and what a few nodes have read from the object store for the others.
//!
//! A report is one datagram without an answer. Loads and placements are advice: a node
//! that hears none decides from its own traffic, as a single node does. What a
//! follower must know (engines, configuration, target versions) comes with an age and
//! with numbers that show a gap; without a relay that is recent it reads the store.
//!
//! | module | concern |
//! | --- | --- |
//! | [`address_book`] | whom reports are sent to, and which nodes relay |
//! | [`discovery`] | how nodes find each other: by records in the object store |
//! | [`roles`] | who reads the store, and who is told |
//! | [`reports`] | a node's own reports: to all in a small fleet, else to relays |
//! | [`incoming`] | reports of other nodes and of other zones' relays |
//! | [`relay_forwarding`] | what a relay has yet to pass on, and whom it answers |
//! | [`relay`] | the task of a relay: when it tells whom |
//! | `relay_contents` | what its reports contain |
//! | [`followed_relays`], [`follower`] | what a node that follows relays has heard |
//! | [`snapshot`] | what a follower lacks, over TCP |
//! | [`weights_reports`] | which weights are the newest, with the age of the proof |
//! | [`weights_exchange`] | which of these reports were sent and heard |
//! | [`quarantine_reports`] | requests under which engines ended |
//! | [`engine_signals`] | what engines said of themselves in answers, told to all |
//! | [`engine_limits`] | rate limits that engines advertise, and tokens for them |
//! | [`token_questions`] | requests for tokens of such engines |
//! | [`outbox`] | messages of tasks that do not have the socket |
//! | `receivers` | whom news that concerns all nodes goes to |
//! | [`limits`] | what tenants were admitted, and what is left of their limits |
//! | [`messages`], [`relay_messages`], [`limit_messages`], [`rollout_messages`], [`weights_messages`], [`quarantine_messages`], [`engine_limit_messages`], [`engine_signal_messages`] | messages as datagrams |
//! | [`message_fields`] | fields that several kinds of messages have |
//!
//! ```text
//! node ── report ──▶ relay ── zone report ──▶ relays of other zones
//!   ▲                 │ ▲
//!   └─ relay report ──┘ └── watches of the store
//! ```

pub mod address_book;
pub mod discovery;
pub mod encoded_engines;
pub mod engine_limit_messages;
pub mod engine_limits;
pub mod engine_signal_messages;
pub mod engine_signals;
pub mod followed_relays;
pub mod follower;
pub mod incoming;
pub mod limit_messages;
pub mod limits;
pub mod message_fields;
pub mod messages;
pub mod outbox;
pub mod quarantine_messages;
pub mod quarantine_reports;
mod receivers;
pub mod relay;
pub mod relay_contents;
pub mod relay_forwarding;
pub mod relay_messages;
pub mod reports;
pub mod roles;
pub mod rollout_messages;
pub mod snapshot;
pub mod store_contents;
pub mod token_requests;
pub mod weights_exchange;
pub mod weights_messages;
pub mod weights_reports;

use crate::state::Gateway;
use crate::time::sleep;
use engine_limits::{answer_token_request, handle_observation, handle_returned_token};
use engine_signals::handle_signals;
use follower::handle_relay_report;
use incoming::{handle_report, handle_zone_report};
use limits::{handle_level_report, handle_use_report};
use messages::{decode, PeerMessage};
use quarantine_reports::handle_quarantine_report;
use smol::net::UdpSocket;
use std::sync::Arc;
use weights_reports::handle_weights_report;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Pause after the socket failed, in milliseconds.
const RETRY_MS: u64 = 100;

/// Takes in messages of other nodes until the task is dropped.
pub async fn receive_messages(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            sleep(RETRY_MS).await;
            continue;
        };
        let message = match decode(&datagram[..length]) {
            Ok(message) => message,
            Err(error) => {
                slog::debug!(gateway.log, "datagram is no message";
                    "from" => from.to_string(), "error" => error.to_string());
                continue;
            }
        };
        match message {
            Some(PeerMessage::Report(report)) => handle_report(&gateway, &report, from),
            Some(PeerMessage::ZoneReport(report)) => handle_zone_report(&gateway, &report, from),
            Some(PeerMessage::RelayReport(report)) => handle_relay_report(&gateway, &report, from),
            Some(PeerMessage::Use(message)) => handle_use_report(&gateway, &message),
            Some(PeerMessage::Levels(report)) => handle_level_report(&gateway, &report),
            Some(PeerMessage::Weights(report)) => handle_weights_report(&gateway, &report, from),
            Some(PeerMessage::Quarantine(report)) => handle_quarantine_report(&gateway, &report),
            Some(PeerMessage::EngineSignals(report)) => handle_signals(&gateway, &report, from),
            Some(PeerMessage::EngineLimitObserved(report)) => handle_observation(&gateway, &report),
            Some(PeerMessage::TokenRequest(asked)) => answer_token_request(&gateway, &asked, from),
            Some(PeerMessage::TokenAnswer(numbered)) => {
                gateway
                    .token_questions
                    .resolve(numbered.number, numbered.answer);
            }
            Some(PeerMessage::TokenReturn(engine)) => handle_returned_token(&gateway, engine),
            None => {}
        }
    }
}
