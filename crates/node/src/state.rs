//! What all tasks of a node share.

use crate::cluster::transport::ClusterTransport;
use crate::cluster::waiters::Waiters;
use crate::settings::Settings;
use async_channel::{Receiver, Sender};
use event_listener::Event;
use ploverlift_clock::{unix_ms, Clock};
use ploverlift_cluster::claims::DEFAULT_RETENTION_MS;
use ploverlift_cluster::core::{CoreEvent, CoreSettings, NodeCore};
use ploverlift_cluster::membership::Identity;
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion, ZoneName};
use ploverlift_policy::objects::ClaimGroupSpec;
use ploverlift_policy::snapshot::Snapshot;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// One node.
pub struct Node {
    /// Name, from the settings.
    pub name: NodeName,
    /// Failure domain, from the settings.
    pub zone: ZoneName,
    /// The settings.
    pub settings: Settings,
    /// Monotonic time.
    pub clock: Clock,
    /// Structured log.
    pub log: Logger,
    /// Set at the start of a planned stop.
    pub stopping: AtomicBool,
    /// An operator's order to stop as planned.
    pub drain: Sender<()>,
    /// Where the order is waited for.
    pub drain_ordered: Receiver<()>,
    /// Descriptions of the claim group that should be stored.
    pub group_writes: Receiver<(ResourceVersion, ClaimGroupSpec)>,
    /// Counters for metrics.
    pub counters: Counters,
    /// Tasks that wait for something the core will say.
    pub waiters: Waiters,
    /// Told whenever a request under way has ended.
    pub relay_ended: Event,
    core: Mutex<NodeCore>,
    transport: ClusterTransport,
    changed: Event,
    write_group: Sender<(ResourceVersion, ClaimGroupSpec)>,
}

/// Counters that only rise, and gauges.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests taken from callers.
    pub requests: AtomicU64,
    /// Requests answered in full.
    pub completed: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Attempts at back ends.
    pub attempts: AtomicU64,
    /// Streams that ended with an error event.
    pub aborted: AtomicU64,
    /// Answers given again from a claim's record.
    pub replayed: AtomicU64,
    /// Messages sent to other nodes.
    pub cluster_messages: AtomicU64,
    /// Bytes sent to other nodes.
    pub cluster_bytes: AtomicU64,
    /// Requests under way; a gauge.
    pub in_flight: AtomicU64,
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Descriptions of the claim group that may wait to be stored.
const GROUP_WRITES: usize = 1;

impl Node {
    /// A node with empty tables that uses `transport` to reach others.
    pub fn new(settings: Settings, log: Logger, transport: ClusterTransport) -> Self {
        let (drain, drain_ordered) = async_channel::bounded(1);
        let (write_group, group_writes) = async_channel::bounded(GROUP_WRITES);
        let clock = Clock::default();
        let core_settings = core_settings(&settings, transport.address());
        let core = NodeCore::new(core_settings, fastrand::u64(..), clock.now());
        Self {
            name: NodeName(settings.node.name.clone()),
            zone: ZoneName(settings.node.zone.clone()),
            settings,
            clock,
            log,
            stopping: AtomicBool::new(false),
            drain,
            drain_ordered,
            group_writes,
            counters: Counters::default(),
            waiters: Waiters::default(),
            relay_ended: Event::new(),
            core: Mutex::new(core),
            transport,
            changed: Event::new(),
            write_group,
        }
    }

    /// Looks at the core without changing it.
    pub fn core(&self) -> MutexGuard<'_, NodeCore> {
        self.core
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Works on the core and then performs what it asks for. The lock is held
    /// for `work` only, never over I/O.
    pub fn with_core<T>(&self, work: impl FnOnce(&mut NodeCore, Millis) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.core();
        let before = core.router.generation();
        let result = work(&mut core, now);
        let changed = core.router.generation() != before;
        let messages = core.take_messages();
        let envelopes: Vec<_> = messages
            .into_iter()
            .map(|message| (message.to, core.envelope(message.body)))
            .collect();
        let events = core.take_events();
        drop(core);
        for (to, envelope) in envelopes {
            let bytes = self.transport.send(to, envelope);
            count(&self.counters.cluster_messages);
            let total = &self.counters.cluster_bytes;
            total.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        for event in events {
            self.perform(event);
        }
        if changed {
            self.changed.notify(usize::MAX);
        }
        result
    }

    fn perform(&self, event: CoreEvent) {
        match event {
            CoreEvent::WriteClaimGroup { version, spec } => {
                // One write at a time is enough: the plan is made again each second.
                let _ = self.write_group.try_send((version, spec));
            }
            event => self.waiters.resolve(event),
        }
    }

    /// Waits until `condition` holds; it is looked at after every change of
    /// configuration or of an engine's state.
    pub async fn wait_until(&self, condition: impl Fn(&NodeCore) -> bool) {
        loop {
            let changed = self.changed.listen();
            if condition(&self.core()) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until no request is under way.
    pub async fn wait_until_idle(&self) {
        loop {
            let ended = self.relay_ended.listen();
            if self.counters.in_flight.load(Ordering::Acquire) == 0 {
                return;
            }
            ended.await;
        }
    }

    /// The typed view of the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.core().router.snapshot)
    }

    /// Where other nodes connect.
    pub fn cluster_address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

fn core_settings(settings: &Settings, address: SocketAddr) -> CoreSettings {
    let identity = Identity {
        name: NodeName(settings.node.name.clone()),
        zone: ZoneName(settings.node.zone.clone()),
        region: settings.node.region.clone(),
        address,
        life: unix_ms(),
    };
    let mut core = CoreSettings::new(identity, settings.cluster.seeds.clone());
    core.router.zone_distance_ms = settings.site.zone_distance_ms;
    let retention = settings.cluster.claim_retention_seconds;
    core.claim_retention_ms = retention.map_or(DEFAULT_RETENTION_MS, |seconds| seconds * 1_000);
    core
}
