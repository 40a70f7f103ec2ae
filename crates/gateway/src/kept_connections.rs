//! Idle connections to engines, kept open for a short time after a complete answer.
//!
//! An engine may close or drop an idle connection at the moment it is used, which leaves
//! unknown whether a request on it ran. So only requests that may run again are sent on a
//! kept connection, and it is closed in any doubt: when unexpected bytes arrived, when the
//! engine announced that it closes, or when the connection is idle for longer than a
//! fraction of the engine's own idle time-out.

use crate::engine_paths::connect::{EngineConnection, EnginePath};
use crate::engine_sentinels::EngineSentinel;
use crate::peers::roles::lists_at_start;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::names::PeerId;
use ploverlift_http1::{Headers, TcpConnection};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::credits::{owned_credits, Seat};
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of idle connections to one engine; the oldest is closed first.
const MAX_PER_ENGINE: usize = 4;
/// Time for which engines may count the connections of a former life of the fleet, in milliseconds.
const FORMER_LIFE_MS: u64 = 30_000;
/// For that time a node shares this part of what an engine admits: it may lose power again.
const NEW_LIFE_DIVISOR: u32 = 4;
/// Fraction of the idle time-out that an engine announces during which its connection is
/// reused.
const ANNOUNCED_SHARE: f64 = 0.5;

/// A connection without a request in flight.
pub struct IdleConnection {
    connection: EngineConnection,
    use_before: Millis,
}

impl IdleConnection {
    fn is_direct(&self) -> bool {
        self.connection.path == EnginePath::Direct
    }

    /// Whether the engine has, as far as is known locally, neither sent data nor closed it.
    pub(crate) async fn is_quiet(&self) -> bool {
        self.connection.stream.is_quiet().await
    }

    /// The connection, for another use.
    pub(crate) fn into_connection(mut self) -> EngineConnection {
        if let Some(place) = &mut self.connection.place {
            place.set_idle(false);
        }
        self.connection
    }
}

/// Limits on the idle connections to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Time for which one is kept at most, in milliseconds.
    pub longest_ms: u64,
}

/// Number of idle connections that a node may keep to one engine. All nodes together keep less
/// than half of what the engine admits: after a loss of power they count against it until its
/// time-out, and the nodes need the rest. `rotation` differs between engines, so that the nodes
/// that may keep one more differ, too.
pub fn idle_share(max_connections: Option<u32>, seat: Seat, rotation: u64) -> usize {
    let Some(max_connections) = max_connections else {
        return MAX_PER_ENGINE;
    };
    let of_fleet = u64::from(max_connections.saturating_sub(1) / 2);
    let share = owned_credits(of_fleet, seat, rotation);
    MAX_PER_ENGINE.min(share as usize)
}

/// Limits on the idle connections that this node keeps to an engine.
pub(crate) fn idle_limits(gateway: &Gateway, instance: &InstanceId) -> IdleLimits {
    let settings = gateway.settings();
    let seat = {
        let book = gateway.address_book();
        let is_complete =
            settings.listen.peers.is_none() || book.list_count() >= lists_at_start(gateway);
        let seat = book.seat(PeerId::of(&settings.node.name));
        is_complete.then_some(seat)
    };
    let (max_connections, rotation) = {
        let beliefs = gateway.beliefs();
        let engine = beliefs.engines.get(instance);
        let rotation = engine.map_or(0, |engine| u64::from(engine.tag.0));
        let max_connections = engine.and_then(|engine| {
            let configuration = beliefs.configuration.as_ref()?;
            let services = &configuration.document.services;
            services.get(&engine.record.service)?.max_connections
        });
        (max_connections, rotation)
    };
    let is_first_start = settings.node.is_first_start;
    let age_ms = gateway.clock.now().since(gateway.started_at);
    let is_new_life = !is_first_start && age_ms < FORMER_LIFE_MS;
    let max_connections = match is_new_life {
        true => max_connections.map(|limit| limit / NEW_LIFE_DIVISOR),
        false => max_connections,
    };
    let connections = match seat {
        Some(seat) => idle_share(max_connections, seat, rotation),
        // How many nodes share the engine is not known yet.
        None => 1,
    };
    IdleLimits {
        connections,
        longest_ms: settings.attempts.keep_connection_ms,
    }
}

/// Idle connections by engine.
#[derive(Default)]
pub struct KeptConnections {
    by_engine: HashMap<InstanceId, Vec<IdleConnection>>,
    /// Sentinel connections, on which nothing but probes is sent.
    pub(crate) sentinels: HashMap<InstanceId, Arc<EngineSentinel>>,
}

impl KeptConnections {
    /// Keeps a connection after a complete answer with these headers, within `limits`. The oldest
    /// connection is closed first.
    pub fn keep(
        &mut self,
        instance: &InstanceId,
        mut connection: EngineConnection,
        headers: &Headers,
        limits: IdleLimits,
        now: Millis,
    ) {
        self.expire(now);
        if limits.connections == 0 {
            return;
        }
        if let Some(place) = &mut connection.place {
            place.set_idle(true);
        }
        let announced_ms = announced_ms(headers).unwrap_or(u64::MAX);
        let connection = IdleConnection {
            connection,
            use_before: now.plus(limits.longest_ms.min(announced_ms)),
        };
        let kept = self.by_engine.entry(instance.clone()).or_default();
        let surplus = (kept.len() + 1).saturating_sub(limits.connections);
        kept.drain(..surplus.min(kept.len()));
        kept.push(connection);
    }

    /// Removes and returns the most recently used idle connection to an engine.
    pub fn take(&mut self, instance: &InstanceId, now: Millis) -> Option<EngineConnection> {
        self.expire(now);
        let kept = self.by_engine.get_mut(instance)?;
        kept.pop().map(IdleConnection::into_connection)
    }

    /// Removes and returns the least recently used idle connection to an engine, one that is no
    /// tunnel if there is one.
    pub(crate) fn take_oldest(
        &mut self,
        instance: &InstanceId,
        now: Millis,
    ) -> Option<IdleConnection> {
        if let Some(direct) = self.take_oldest_direct(instance, now) {
            return Some(direct);
        }
        let kept = self.by_engine.get_mut(instance)?;
        (!kept.is_empty()).then(|| kept.remove(0))
    }

    /// Removes and returns the least recently used idle connection to an engine that is no
    /// tunnel.
    pub(crate) fn take_oldest_direct(
        &mut self,
        instance: &InstanceId,
        now: Millis,
    ) -> Option<IdleConnection> {
        self.expire(now);
        let kept = self.by_engine.get_mut(instance)?;
        let oldest = kept.iter().position(IdleConnection::is_direct)?;
        Some(kept.remove(oldest))
    }

    /// Handles of the idle connections to an engine that are no tunnels.
    pub(crate) fn direct_handles(
        &mut self,
        instance: &InstanceId,
        now: Millis,
    ) -> Vec<TcpConnection> {
        self.expire(now);
        let kept = self.by_engine.get(instance).into_iter().flatten();
        let direct = kept.filter(|idle| idle.is_direct());
        direct.map(|idle| idle.connection.stream.writer()).collect()
    }

    /// Closes all idle connections to an engine, after one of them got no answer.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.by_engine.remove(instance);
    }

    /// Closes all idle connections that are not tunnels, because this node's link to engines is
    /// suspected.
    pub fn forget_direct(&mut self) {
        for kept in self.by_engine.values_mut() {
            kept.retain(|idle| idle.connection.path != EnginePath::Direct);
        }
    }

    /// Closes connections whose time for reuse is over.
    fn expire(&mut self, now: Millis) {
        self.by_engine.retain(|_, kept| {
            kept.retain(|connection| now < connection.use_before);
            !kept.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.by_engine.values().map(Vec::len).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Time for which a connection is reused after an answer that announces the engine's idle
/// time-out (`Keep-Alive: timeout=SECONDS`), in milliseconds.
fn announced_ms(headers: &Headers) -> Option<u64> {
    let announced = headers.get("keep-alive")?;
    let mut parameters = announced.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Some((seconds * 1_000.0 * ANNOUNCED_SHARE) as u64)
}
