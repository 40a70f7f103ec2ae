//! Starts, stops and pauses of nodes, and the messages between them.

use super::*;

impl World {
    pub(super) fn is_current_life(&self, node: usize, life: u64) -> bool {
        let node = &self.nodes[node];
        node.core.is_some() && node.life == life
    }

    pub(super) fn node_now(&self, node: usize) -> Millis {
        Millis(self.now - self.nodes[node].started_at)
    }

    pub(super) fn start_node(&mut self, number: usize) {
        let seeds: Vec<SocketAddr> = (0..self.nodes.len())
            .filter(|other| *other != number)
            .map(site::node_address)
            .collect();
        let life = if self.mutations.nodes_reuse_lives {
            1
        } else {
            self.now.max(self.nodes[number].life + 1)
        };
        let node = &mut self.nodes[number];
        let identity = Identity {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: "viti".to_owned(),
            address: node.address,
            life,
        };
        let mut settings = CoreSettings::new(identity, seeds);
        settings.claim_retention_ms = CLAIM_RETENTION_MS;
        settings.router.directory_blocks = 10_000;
        node.started_at = self.now;
        node.life = life;
        node.is_paused = false;
        node.deferred_events.clear();
        node.read_version = None;
        node.lease = LeaseView::new(node.name.clone(), life);
        node.rollout = Rollout::default();
        node.core = Some(NodeCore::new(settings, self.random.u64(..), Millis(0)));
        let node = number;
        let offset = self.random.u64(..TICK_MS);
        self.at(offset, SimEvent::Tick { node, life });
        self.at(offset, SimEvent::PollObjectApi { node, life });
        self.at(offset, SimEvent::ObserveEngines { node, life });
    }

    pub(super) fn kill_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.core = None;
        node.is_paused = false;
        let mut lost: Vec<TryId> = node.requests.keys().copied().collect();
        for deferred in std::mem::take(&mut node.deferred_events) {
            if let SimEvent::RequestArrives { try_id, .. } = deferred {
                lost.push(try_id);
            }
        }
        node.requests.clear();
        for try_id in lost {
            let try_outcome = TryOutcome::ConnectionLost;
            self.at(
                1,
                SimEvent::CallerEnd {
                    try_id,
                    try_outcome,
                },
            );
        }
    }

    pub(super) fn resume_node(&mut self, number: usize) {
        self.nodes[number].is_paused = false;
        for sim_event in std::mem::take(&mut self.nodes[number].deferred_events) {
            self.at(0, sim_event);
        }
    }

    /// Calls `work` with the core of a running node, then sends the messages and
    /// handles the events that the core has produced.
    pub(super) fn with_core<T>(
        &mut self,
        number: usize,
        work: impl FnOnce(&mut NodeCore, Millis) -> T,
    ) -> Option<T> {
        let now = self.node_now(number);
        let core = self.nodes[number].core.as_mut()?;
        let result = work(core, now);
        let messages: Vec<(SocketAddr, Envelope)> = core
            .take_messages()
            .into_iter()
            .map(|message| (message.to, core.envelope(message.body)))
            .collect();
        let events = core.take_events();
        for (to, envelope) in messages {
            self.send(number, to, envelope);
        }
        for event in events {
            self.core_event(number, event);
        }
        Some(result)
    }

    pub(super) fn send(&mut self, from: usize, to: SocketAddr, mut envelope: Envelope) {
        let Some(target) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        self.cluster_bytes += prost::Message::encoded_len(&envelope) as u64;
        if !self.apply_mutations(&mut envelope) {
            return;
        }
        let (a, b) = (&self.nodes[from].zone, &self.nodes[target].zone);
        let own_address = self.nodes[from].address;
        let delays = if from == target {
            vec![0]
        } else {
            self.network.deliveries(a, b, &mut self.random)
        };
        for delay in delays {
            let sim_event = SimEvent::Message {
                node: target,
                from: own_address,
                envelope: envelope.clone(),
            };
            self.at(delay, sim_event);
        }
    }

    /// Applies mutations to a message. Returns false when the message is dropped.
    pub(super) fn apply_mutations(&self, envelope: &mut Envelope) -> bool {
        match &mut envelope.body {
            Some(Body::EngineReports(_)) if self.mutations.no_engine_reports => false,
            Some(Body::ConfigPush(push)) if self.mutations.stale_records_look_new => {
                let version = self.platform.version();
                for record in &mut push.records {
                    record.version = version;
                    if let Ok(mut object) = serde_json::from_slice::<Object>(&record.content) {
                        object.metadata.resource_version.0 = version;
                        record.content = serde_json::to_vec(&object).unwrap_or_default();
                    }
                }
                true
            }
            Some(Body::ConfigPush(_) | Body::ConfigVersions(_)) => {
                !self.mutations.no_config_from_peers
            }
            _ => true,
        }
    }

    pub(super) fn message(&mut self, node: usize, from: SocketAddr, envelope: Envelope) {
        self.log_event(|| match &envelope.body {
            Some(
                body @ (Body::ClaimRequest(_)
                | Body::ClaimVote(_)
                | Body::ClaimRelease(_)
                | Body::ClaimRecover(_)
                | Body::ClaimState(_)),
            ) => format!("node-{node} received from {from}: {body:?}"),
            _ => String::new(),
        });
        self.with_core(node, |core, now| core.handle(from, envelope, now));
    }

    pub(super) fn tick(&mut self, node: usize, life: u64) {
        if !self.is_current_life(node, life) {
            return;
        }
        self.with_core(node, |core, now| core.tick(now));
        self.record_configuration(node);
        self.at(TICK_MS, SimEvent::Tick { node, life });
    }

    pub(super) fn record_configuration(&mut self, number: usize) {
        let node = &self.nodes[number];
        let Some(core) = &node.core else {
            return;
        };
        if let Some(route) = core.config.store.get(Kind::Route, site::ROUTE) {
            let version = route.metadata.resource_version;
            let (name, life) = (node.name.0.clone(), node.life);
            self.oracle.record_version_in_force(&name, life, version);
            self.check_stored(&name, route.as_ref().clone());
        }
    }

    /// Records a violation unless the object API has accepted this route in this version.
    pub(super) fn check_stored(&mut self, node: &str, route: Object) {
        let accepted = self.platform.accepted(&route);
        if !accepted {
            let version = route.metadata.resource_version;
            let what = format!(
                "{node} uses a route that the object API never accepted as version {version}"
            );
            self.oracle.record_violation(Promise::Configuration, what);
        }
    }

    pub(super) fn core_event(&mut self, node: usize, event: CoreEvent) {
        match event {
            CoreEvent::Claim { ticket, outcome } => {
                let mut requests = self.nodes[node].requests.values();
                let found = requests.find(|request| request.claim == Some(ticket));
                if let Some(try_id) = found.map(|request| request.try_id) {
                    self.claim_decided(node, try_id, outcome);
                }
            }
            CoreEvent::WriteClaimGroup { version, spec } => {
                let mut object =
                    Object::new(Kind::ClaimGroup, CLAIM_GROUP, Labels::default(), spec);
                object.metadata.resource_version = version;
                let answer = self.platform.put(object);
                let life = self.nodes[node].life;
                self.at(2, SimEvent::GroupStored { node, life, answer });
            }
            CoreEvent::Lookup { .. } | CoreEvent::Explained { .. } => {}
        }
    }
}
