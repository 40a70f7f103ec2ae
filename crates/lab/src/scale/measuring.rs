//! The measurement: faults, changes, and what is read off at the end.

use super::*;

impl Hollow {
    /// Runs the measurement.
    pub fn run(mut self) -> ScaleReport {
        self.advance(SETTLE_MS);
        self.begin_fault();
        for node in &mut self.nodes {
            node.sent_bytes = 0;
            node.sent_messages = 0;
        }
        self.bytes_by_message.clear();
        self.busy = Duration::ZERO;
        let began_at = self.now;
        let suspicions = self.suspicions();
        let (mut times, not_in_force) = self.measure_changes();
        let end = began_at + self.settings.seconds * 1_000;
        self.advance(end.saturating_sub(self.now));
        let seconds = (self.now - began_at) as f64 / 1_000.0;
        let false_suspicions = self.suspicions() - suspicions;
        let nodes = self.nodes.len() as f64;
        let sent: u64 = self.nodes.iter().map(|node| node.sent_bytes).sum();
        let worst = self.nodes.iter().map(|node| node.sent_bytes).max();
        let messages: u64 = self.nodes.iter().map(|node| node.sent_messages).sum();
        let by_message = self.bytes_by_message.clone();
        let busy = self.busy;
        let readers = self.nodes.iter().filter(|node| node.reads).count();
        let missing_members = self.missing_members();
        let leaving_out_of_choice_ms = self.measure_leaving();
        times.sort_unstable();
        ScaleReport {
            nodes: self.settings.nodes,
            zones: self.settings.zones,
            engines: self.settings.engines,
            tenants: self.settings.tenants,
            fault: self.settings.fault,
            seconds: self.settings.seconds,
            sent_bytes_per_second: sent as f64 / nodes / seconds,
            sent_bytes_per_second_worst: worst.unwrap_or(0) as f64 / seconds,
            messages_per_second: messages as f64 / nodes / seconds,
            bytes_by_message: by_message
                .into_iter()
                .map(|(kind, bytes)| (kind, bytes as f64 / nodes / seconds))
                .collect(),
            core_percent: 100.0 * busy.as_secs_f64() / nodes / seconds,
            memory_kb: resident_kb() / nodes,
            in_force_ms: summary(&times),
            not_in_force,
            false_suspicions_per_hour: false_suspicions as f64 * 3_600.0 / seconds,
            readers,
            missing_members,
            leaving_out_of_choice_ms,
        }
    }

    pub(super) fn begin_fault(&mut self) {
        match self.settings.fault {
            ScaleFault::Calm => {}
            ScaleFault::Loss => self.loss = 0.05,
            ScaleFault::CutHealed => {
                self.cut = true;
                self.advance(CUT_MS);
                self.cut = false;
            }
            ScaleFault::HerdRestart => {
                let herd = self.settings.nodes / 10;
                for _ in 0..herd {
                    let number = self.random.usize(..self.settings.nodes);
                    self.nodes[number] = self.new_node(number);
                    self.schedule_node(number);
                }
            }
        }
    }

    /// Makes the changes one after the other and notes when each is in force where.
    pub(super) fn measure_changes(&mut self) -> (Vec<u64>, usize) {
        let nodes = self.nodes.len();
        let pause = self.settings.seconds * 1_000 / self.settings.changes.max(1) as u64;
        let mut times = Vec::new();
        let mut missing = 0;
        for _ in 0..self.settings.changes {
            let object = self.change();
            let began = self.now;
            let mut waiting: Vec<usize> = (0..nodes).collect();
            while !waiting.is_empty() && self.now - began < pause {
                self.advance(STEP_MS);
                waiting.retain(|number| {
                    let has = self.has(*number, &object);
                    if has {
                        times.push(self.now - began);
                    }
                    !has
                });
            }
            missing += waiting.len();
            let rest = pause.saturating_sub(self.now - began);
            self.advance(rest);
        }
        (times, missing)
    }

    /// Time until a leaving engine is out of choice on every node that hears of it.
    pub(super) fn measure_leaving(&mut self) -> u64 {
        let Some(engine) = self.incarnations.first().copied() else {
            return 0;
        };
        let small = self.nodes.len() <= ploverlift_cluster::engine_watch::SMALL_FLEET_NODES;
        let concerned: Vec<usize> = (0..self.nodes.len())
            .filter(|number| small || self.nodes[*number].zone == 0)
            .collect();
        self.leaving = Some(engine);
        let began = self.now;
        while self.now - began < LEAVING_LIMIT_MS {
            self.advance(STEP_MS);
            let all = concerned.iter().all(|number| {
                let fleet = &self.nodes[*number].core.router.fleet;
                let index = fleet.find(engine);
                index.is_some_and(|index| !fleet.get(index).takes_work())
            });
            if all {
                break;
            }
        }
        self.now - began
    }

    pub(super) fn suspicions(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.core.members.suspicions()).sum()
    }

    pub(super) fn missing_members(&self) -> usize {
        let wanted = self.nodes.len() - 1;
        let nodes = self.nodes.iter();
        nodes
            .map(|node| wanted.saturating_sub(node.core.members.live_count()))
            .sum()
    }
}
