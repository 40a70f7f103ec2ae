//! Messages between nodes: the load of each node on the engines, which engines cache which
//! prompts, and what relays have read from the object store for the other nodes.
//!
//! A report is one datagram without an answer. Loads and placements are advice: a node
//! that receives none decides from its own traffic, as a single node does. The data that a
//! follower depends on (engines, configuration, target versions) carries its age and
//! sequence numbers that reveal gaps; a follower without an up-to-date relay reads the
//! store.
//!
//! | module | concern |
//! | --- | --- |
//! | [`address_book`] | addresses of the other nodes, and which of them relay |
//! | [`discovery`] | discovery of nodes by records in the object store |
//! | [`roles`] | the role of a node: which nodes read the store, and which follow relays |
//! | [`reports`] | a node's own reports: to all nodes of a small fleet, otherwise to relays |
//! | [`incoming`] | handling of reports of other nodes and of other zones' relays |
//! | [`relay_forwarding`] | which nodes report to a relay, and which placements it has yet to forward |
//! | [`relay`] | the task of a relay: when it reports to which nodes |
//! | `relay_contents` | the contents of its reports |
//! | [`followed_relays`], [`follower`] | the state of the relays that a node follows, and the handling of their reports |
//! | [`snapshot`] | transfer of configuration and engines to followers over TCP |
//! | [`weights_reports`] | reports of the newest weights, with the age of the proof |
//! | [`weights_exchange`] | which of these reports were sent and received |
//! | [`quarantine_reports`] | reports of requests during which engines terminated |
//! | [`engine_signals`] | broadcast of the signals that engines set in answers |
//! | [`engine_limits`] | rate limits that engines advertise, and the tokens for them |
//! | [`token_requests`] | requests for tokens of such engines |
//! | [`stream_origins`] | software versions that began streams |
//! | [`pending_requests`] | requests that wait for answers |
//! | [`outbox`] | queue of messages from tasks without the socket |
//! | `receivers` | receivers of changes that concern all nodes |
//! | [`limits`] | tenant usage, and the levels of the tenants' limits |
//! | [`messages`], [`relay_messages`], [`limit_messages`], [`rollout_messages`], [`weights_messages`], [`quarantine_messages`], [`engine_limit_messages`], [`engine_signal_messages`], [`stream_origin_messages`] | encoding of messages as datagrams |
//! | [`message_fields`] | fields shared by several kinds of messages |
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
pub mod pending_requests;
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
pub mod stream_origin_messages;
pub mod stream_origins;
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
use stream_origins::{answer_query, keep_origins, resolve_answer, send_kept_origins};
use weights_reports::handle_weights_report;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Pause after a socket error, in milliseconds.
const RETRY_MS: u64 = 100;

/// Receives and handles messages of other nodes until the task is dropped.
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
                slog::debug!(gateway.log, "invalid datagram from a peer";
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
            Some(PeerMessage::EngineLimitObserved(seen)) => handle_observation(&gateway, &seen),
            Some(PeerMessage::TokenRequest(request)) => {
                answer_token_request(&gateway, &request, from)
            }
            Some(PeerMessage::TokenAnswer(numbered)) => {
                gateway
                    .token_questions
                    .resolve(numbered.number, numbered.answer);
            }
            Some(PeerMessage::TokenReturn(engine)) => handle_returned_token(&gateway, engine),
            Some(PeerMessage::StreamOrigins(origins)) => keep_origins(&gateway, origins, from),
            Some(PeerMessage::StreamOriginsWanted(sender)) => {
                send_kept_origins(&gateway, sender, from);
            }
            Some(PeerMessage::StreamOriginQuery(query)) => answer_query(&gateway, &query, from),
            Some(PeerMessage::StreamOriginAnswer(numbered)) => {
                resolve_answer(&gateway, numbered, from);
            }
            None => {}
        }
    }
}
