//! Delivery of stages and counts: late, lost or duplicated.

use super::{Fleet, SimReport, MAX_DELIVERY_MS, REPORT_MS, TICK_MS};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::CountReport;
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::share::{FleetView, Gate, Joined};
use std::collections::VecDeque;

impl Fleet {
    pub(super) fn sync_and_report(&mut self, node: usize) {
        let now = self.now;
        if !self.is_connected(node) {
            return;
        }
        self.nodes[node].established.retain(|end| *end > now);
        if self.nodes[node].next_read_at > now {
            return;
        }
        self.nodes[node].next_read_at = now + REPORT_MS / 2 + self.rng.u64(0..REPORT_MS);
        self.read_stage(node);
        self.read_sums(node);
        self.report(node);
    }

    /// Reads the current stage; the store's answer is one tick old.
    pub(super) fn read_stage(&mut self, node: usize) {
        if self.is_store_unavailable() {
            return;
        }
        let now = self.now;
        self.nodes[node].stage_read_at = now - TICK_MS;
        let Some(progress) = self.progress.clone() else {
            return;
        };
        let settings = self.scenario.settings;
        let target = self.order.target.clone();
        let node = &mut self.nodes[node];
        match &mut node.gate {
            Some(gate) => gate.update_progress(progress),
            None => {
                let joined = match node.has_restarted {
                    true => Joined::AfterOrder,
                    false => Joined::BeforeOrder,
                };
                let began_at = Millis(now - TICK_MS);
                node.gate = Some(Gate::new(settings, target, progress, joined, began_at));
            }
        }
    }

    pub(super) fn read_sums(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let own = self.fleet_counts.of_life(PeerId(node as u64), life);
        self.nodes[node].own_in_sums = own.cloned().unwrap_or_default();
        self.nodes[node].sums = self.fleet_counts.sums().clone();
        let seat = self.seat(node);
        let now = Millis(self.now);
        let node = &mut self.nodes[node];
        let view = FleetView {
            sums: &node.sums,
            own_in_sums: Some(&node.own_in_sums),
            stage_verified_at: Millis(node.stage_read_at),
            seat,
        };
        if let Some(gate) = &mut node.gate {
            gate.advance(&view, now);
        }
    }

    pub(super) fn seat(&self, node: usize) -> Seat {
        Seat {
            rank: node as u32,
            nodes: self.nodes.len() as u32,
        }
    }

    pub(super) fn report(&mut self, node: usize) {
        let message_faults = self.scenario.message_faults;
        if self.rng.f64() < message_faults.lost {
            return;
        }
        let delivery_ms = TICK_MS + self.rng.u64(0..MAX_DELIVERY_MS);
        let sim = &mut self.nodes[node];
        let running = sim.established.len() as u32;
        let report = SimReport {
            arrives_at: self.now + delivery_ms,
            sent_at: self.now,
            node: node as u32,
            life: sim.life,
            counts: sim
                .gate
                .as_ref()
                .map(|gate| gate.own_counts().clone())
                .unwrap_or_default(),
            confirmation: sim.gate.as_mut().map(|gate| gate.confirm(running)),
        };
        if self.rng.f64() < message_faults.doubled {
            let mut late = report.clone();
            late.arrives_at += 1_000;
            self.reports.push_back(late);
        }
        self.reports.push_back(report);
    }

    pub(super) fn deliver_reports(&mut self) {
        let (arrived, waiting) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.arrives_at <= self.now);
        self.reports = waiting;
        let arrived: VecDeque<SimReport> = arrived;
        for report in arrived {
            let member = &mut self.members[report.node as usize];
            let is_later = member
                .last_heard_at
                .is_none_or(|at| at < Millis(report.sent_at));
            if is_later {
                member.last_heard_at = Some(Millis(report.sent_at));
                member.confirmation = report.confirmation;
            }
            let counted = CountReport {
                rollout: self.fleet_counts.rollout(),
                node: PeerId(u64::from(report.node)),
                life: report.life,
                counts: report.counts,
            };
            self.fleet_counts.merge_report(&counted);
        }
    }
}
