//! Telling the other nodes which engines advertise rate limits and who counts for them, and
//! granting tokens to those who ask.
//!
//! Nothing is sent while no engine has a limit. A change is told at once, and twice again;
//! the holder tells some of its limits in each period, so that a node that was cut off
//! hears of them. A node that starts asks before it is ready.

use super::engine_limit_messages::{EngineLimitReport, NumberedAnswer, ToldObservation};
use super::messages::{encode, PeerMessage};
use super::receivers::news_receivers;
use super::roles::{role, Role};
use crate::beliefs::Beliefs;
use crate::engine_limits::{answer_request, log_limit};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_enginelimit::news::{GroupNews, TokenAnswer, TokenRequest};
use ploverlift_enginelimit::observation::Observation;
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two tellings of what has not changed, in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Longest time between two looks at what is due, in milliseconds: tellings that are
/// repeated.
const LOOK_MS: u64 = 100;
/// Shortest time between two reports, in milliseconds.
const SHORTEST_PERIOD_MS: u64 = 5;
/// Longest time from its start for which a node waits to be told, in milliseconds.
const START_WAIT_MS: u64 = 1_500;

/// Reports until the task is dropped.
pub async fn report_engine_limits(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut period_began = gateway.clock.now();
    loop {
        let due = gateway.engine_limits_changed.listen();
        let now = gateway.clock.now();
        let is_period = now.since(period_began) >= PERIOD_MS;
        if is_period {
            period_began = now;
            forget_gone(&gateway, now);
        }
        let groups = gateway.beliefs().engine_limits.news(is_period, now);
        let wants_all = !knows_limits(&gateway);
        tell(&gateway, &socket, groups, wants_all, now).await;
        sleep(SHORTEST_PERIOD_MS).await;
        within(LOOK_MS - SHORTEST_PERIOD_MS, due).await;
    }
}

async fn tell(
    gateway: &Gateway,
    socket: &UdpSocket,
    groups: Vec<GroupNews>,
    wants_all: bool,
    now: Millis,
) {
    if groups.is_empty() && !wants_all {
        return;
    }
    let receivers = news_receivers(gateway, now);
    for report in reports(gateway, groups, wants_all) {
        let datagram = encode(&PeerMessage::EngineLimits(report));
        for receiver in &receivers {
            // A lost report is repaired by the next ones.
            let _ = socket.send_to(&datagram, receiver).await;
        }
    }
}

/// One report for each piece of news, and one at least.
fn reports(gateway: &Gateway, groups: Vec<GroupNews>, wants_all: bool) -> Vec<EngineLimitReport> {
    let sender = PeerId::of(&gateway.settings().node.name);
    let report = |groups: Vec<GroupNews>| EngineLimitReport {
        sender,
        groups,
        wants_all,
    };
    match groups.is_empty() {
        true => vec![report(Vec::new())],
        false => groups
            .into_iter()
            .map(|group| report(vec![group]))
            .collect(),
    }
}

/// Whether this node has been told which limits there are, or nobody tells it.
pub fn knows_limits(gateway: &Gateway) -> bool {
    let is_alone = {
        let book = gateway.address_book();
        book.lists() > 0 && book.listed_nodes() <= 1
    };
    let has_waited = gateway.clock.now().since(gateway.started_at) >= START_WAIT_MS;
    let hears_nobody = gateway.settings().listen.peers.is_none();
    is_alone || has_waited || hears_nobody || gateway.beliefs().is_told_limits
}

fn forget_gone(gateway: &Gateway, now: Millis) {
    let beliefs = &mut *gateway.beliefs();
    if beliefs.engine_limits.is_empty() {
        return;
    }
    let engines = &beliefs.engines;
    let limited = beliefs.engine_limits.limited();
    let present: HashSet<EngineTag> = limited
        .map(|(engine, _, _)| engine)
        .filter(|engine| engines.by_tag(*engine).is_some())
        .collect();
    let is_known = |engine| present.contains(&engine);
    let rooms = &mut beliefs.engines.rooms;
    beliefs.engine_limits.expire(is_known, rooms, now);
}

/// Takes in what another node tells.
pub fn take_limit_report(gateway: &Gateway, report: &EngineLimitReport, from: SocketAddr) {
    let now = gateway.clock.now();
    if report.wants_all {
        let everything = gateway.beliefs().engine_limits.everything(now);
        for answer in reports(gateway, everything, false) {
            gateway.outbox.put(from, &PeerMessage::EngineLimits(answer));
        }
    }
    let passes_on = role(gateway, now) == Role::Relay;
    let mut is_news = false;
    for news in &report.groups {
        is_news |= take_group_news(gateway, news, passes_on, now);
    }
    // A node that asks as well knows no more than this one.
    gateway.beliefs().is_told_limits |= !report.wants_all;
    if is_news {
        gateway.engine_limits_changed.notify(usize::MAX);
    }
}

fn take_group_news(gateway: &Gateway, news: &GroupNews, passes_on: bool, now: Millis) -> bool {
    let beliefs = &mut *gateway.beliefs();
    let limits_of = |beliefs: &Beliefs| -> Vec<Option<f64>> {
        let told = news.limits.iter();
        told.map(|told| beliefs.engine_limits.limit_of(told.engine))
            .collect()
    };
    let before = limits_of(beliefs);
    let holder_before = beliefs.engine_limits.holder(news.group);
    let rooms = &mut beliefs.engines.rooms;
    let is_news = beliefs.engine_limits.hear(news, passes_on, rooms, now);
    let after = limits_of(beliefs);
    for ((told, before), after) in news.limits.iter().zip(before).zip(after) {
        if before != after {
            log_limit(gateway, beliefs, told.engine, before, "holder");
        }
    }
    let holder = beliefs.engine_limits.holder(news.group);
    if holder != holder_before {
        slog::info!(gateway.log, "holder of engine limits";
            "group" => format!("{:08x}", news.group.0),
            "node" => holder.map(|holder| format!("{:016x}", holder.at.node.0)),
            "term" => holder.map(|holder| holder.term));
    }
    is_news
}

/// Takes in what an answer at another node said of its engine.
pub fn take_observation(gateway: &Gateway, told: &ToldObservation) {
    let now = gateway.clock.now();
    let seen = Observation {
        engine: told.engine,
        limit: told.limit,
        sent_at: now.before(told.sent_age_ms),
        head_at: now.before(told.head_age_ms),
    };
    let beliefs = &mut *gateway.beliefs();
    let before = beliefs.engine_limits.limit_of(told.engine);
    let rooms = &mut beliefs.engines.rooms;
    let limits = &mut beliefs.engine_limits;
    if limits.hear_observation(&seen, told.group, rooms, now) {
        log_limit(
            gateway,
            beliefs,
            told.engine,
            before,
            "another node's answer",
        );
        gateway.engine_limits_changed.notify(usize::MAX);
    }
}

/// Answers a question for a token.
pub fn answer_token_request(gateway: &Gateway, request: &TokenRequest, from: SocketAddr) {
    let now = gateway.clock.now();
    let answer = answer_request(gateway, request, now);
    if answer == TokenAnswer::NotHolder {
        let news = gateway.beliefs().engine_limits.holder_news(request.group);
        for report in news
            .map(|news| reports(gateway, vec![news], false))
            .into_iter()
            .flatten()
        {
            gateway.outbox.put(from, &PeerMessage::EngineLimits(report));
        }
    }
    let numbered = NumberedAnswer {
        number: request.number,
        answer,
    };
    gateway
        .outbox
        .put(from, &PeerMessage::TokenAnswer(numbered));
}

/// A token that was granted here was not used.
pub fn take_back_token(gateway: &Gateway, engine: EngineTag) {
    let now = gateway.clock.now();
    gateway.beliefs().engine_limits.give_back(engine, now);
}
