//! Updating one engine to the newest weights.

use super::{Loading, OutdatedEngine};
use crate::answer_limits::ANSWER_LIMITS;
use crate::engine_signals::{apply_signals, AnswerOrigin};
use crate::http_call::CallConnection;
use crate::leases::LeaseHolder;
use crate::ports::{EngineReport, LoadOrder, OrderAnswer};
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::health::Outcome;
use ploverlift_http1::ResponseHead;
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Maximum number of orders to one engine before all engines are checked again.
const MAX_ORDERS: u32 = 4;
/// Maximum number of reports requested from one engine before all engines are checked again.
const MAX_REPORTS: u32 = 24;
/// Time between two report requests to a busy engine, in milliseconds.
const REPORT_PERIOD_MS: u64 = 120;
/// Time for which an engine counts as loading after an order, in milliseconds.
const LOADING_MS: u64 = 700;

/// The next step with the engine.
enum NextStep {
    Report { after_ms: u64 },
    Loaded { after_ms: Option<u64> },
    Finished,
}

/// The update of one engine.
struct EngineLoad<'a> {
    gateway: &'a Arc<Gateway>,
    holder: &'a LeaseHolder,
    loading: &'a Loading,
    engine: OutdatedEngine,
    connection: CallConnection,
    orders: u32,
    ordered_at: Option<Millis>,
    ordered: Option<u64>,
}

/// Sends orders and requests reports until the engine has the newest weights, the lease is
/// lost, or the engine does not answer. Returns the time from the order to the report that
/// showed the finished load, in milliseconds, if it is known.
pub(super) async fn bring_up_to_date(
    gateway: &Arc<Gateway>,
    holder: &LeaseHolder,
    loading: &Loading,
    engine: OutdatedEngine,
) -> Option<u64> {
    let memory = Arc::clone(&gateway.byte_budget.engine_calls);
    let connection = CallConnection::new(engine.address, ANSWER_LIMITS.report_bytes, memory);
    let mut load = EngineLoad {
        gateway,
        holder,
        loading,
        engine,
        connection,
        orders: 0,
        ordered_at: None,
        ordered: None,
    };
    for _ in 0..MAX_REPORTS {
        match load.step().await {
            NextStep::Report { after_ms } => sleep(after_ms).await,
            NextStep::Finished => return None,
            NextStep::Loaded { after_ms } => return after_ms,
        }
    }
    None
}

impl EngineLoad<'_> {
    async fn step(&mut self) -> NextStep {
        let Some(report) = self.report().await else {
            return self.unreachable();
        };
        let instance = &self.engine.instance;
        self.gateway
            .beliefs()
            .note_engine_incarnation(instance, report.born_ms);
        let newest = self.gateway.beliefs().weights.newest(&self.engine.model);
        let Some((version, _)) = newest else {
            return NextStep::Finished;
        };
        let current = report.weights.get(&self.engine.model).copied();
        self.note_reported_version(current.unwrap_or(0));
        // A version that was named in the meantime is scheduled like any other: loading it
        // here at once would keep more engines loading than the schedule allows.
        let wanted = self.ordered.unwrap_or(version);
        if current.is_some_and(|current| current >= wanted) && !report.is_busy {
            let current = current.unwrap_or(version);
            self.note_loaded(current);
            return self.loaded(current);
        }
        if report.is_busy {
            self.note_loading();
            let now = self.gateway.clock.now();
            let configured_ms = self.gateway.settings().weights.load_ms;
            self.loading
                .note_busy(&self.engine.instance, configured_ms, now);
            let after_ms = REPORT_PERIOD_MS;
            return NextStep::Report { after_ms };
        }
        self.order(version, report.orders_taken).await
    }

    async fn report(&mut self) -> Option<EngineReport> {
        let timeout_ms = self.gateway.settings().weights.order_timeout_ms;
        let head = self.gateway.site.report_head();
        match self.connection.call(head, &[], timeout_ms).await {
            Ok((head, body)) => self.gateway.site.read_report(&head, &body),
            Err(error) => {
                slog::info!(self.gateway.log, "no report";
                    "engine" => &self.engine.instance.0, "error" => error.to_string());
                None
            }
        }
    }

    fn loaded(&self, version: u64) -> NextStep {
        let now = self.gateway.clock.now();
        let after_ms = self.ordered_at.map(|ordered| now.since(ordered));
        slog::info!(self.gateway.log, "weights loaded";
            "engine" => &self.engine.instance.0, "model" => &self.engine.model,
            "version" => version, "orders" => self.orders,
            "after_ms" => after_ms);
        // After several orders the duration of a single load is unknown.
        let after_ms = after_ms.filter(|_| self.orders == 1);
        NextStep::Loaded { after_ms }
    }

    fn unreachable(&self) -> NextStep {
        self.gateway
            .note_outcome(&self.engine.instance, Outcome::Unreachable);
        NextStep::Finished
    }

    fn note_reported_version(&self, version: u64) {
        let engine = &self.engine;
        let engines = &mut self.gateway.beliefs().engines;
        engines.note_weights(&engine.instance, &engine.model, version);
    }

    fn note_loaded(&self, version: u64) {
        let engine = &self.engine;
        let now = self.gateway.clock.now();
        self.gateway
            .beliefs()
            .note_loaded(&engine.instance, &engine.model, version, now);
        self.gateway.report_due.notify(usize::MAX);
    }

    fn note_loading(&self) {
        let until = self.gateway.clock.now().plus(LOADING_MS);
        let engines = &mut self.gateway.beliefs().engines;
        engines.note_loading(&self.engine.instance, until);
    }

    async fn order(&mut self, version: u64, orders_taken: u64) -> NextStep {
        if self.orders >= MAX_ORDERS {
            return NextStep::Finished;
        }
        let timeout_ms = self.gateway.settings().weights.order_timeout_ms;
        if let Err(error) = self.connection.open(timeout_ms).await {
            slog::info!(self.gateway.log, "order not sent";
                "engine" => &self.engine.instance.0, "error" => error.to_string());
            return NextStep::Report {
                after_ms: REPORT_PERIOD_MS,
            };
        }
        // Read immediately before sending, because the lease may expire during any wait.
        let Some(fencing_token) = self.holder.token() else {
            return NextStep::Finished;
        };
        let order = LoadOrder {
            instance: self.engine.instance.clone(),
            model: self.engine.model.clone(),
            version,
            holder: self.holder.name().to_owned(),
            fencing_token: fencing_token.0,
            expected_orders: orders_taken,
        };
        let (head, body) = match self.gateway.site.order_message(&order) {
            Ok(message) => message,
            Err(error) => {
                slog::warn!(self.gateway.log, "order can't be written";
                    "engine" => &order.instance.0, "error" => error.to_string());
                return NextStep::Finished;
            }
        };
        self.orders += 1;
        self.ordered = Some(version);
        self.ordered_at.get_or_insert(self.gateway.clock.now());
        self.note_loading();
        self.gateway.metrics.orders.inc();
        let sent_at = self.gateway.clock.now();
        let answered = self.connection.call(head, &body, timeout_ms).await;
        let answer = answered.map(|(head, _)| self.read_order_answer(&head, sent_at));
        slog::info!(self.gateway.log, "order";
            "engine" => &order.instance.0, "model" => &order.model, "version" => version,
            "token" => fencing_token.0, "expected_orders" => orders_taken,
            "answer" => format!("{answer:?}"));
        let answer = answer.ok();
        if answer == Some(OrderAnswer::FenceTooLow) {
            self.holder
                .note_token_refused(&self.engine.instance, fencing_token);
        }
        self.after_order(answer, version)
    }

    /// Reads the answer to an order. Orders name their target engine; any other engine answers
    /// that it is not the target.
    fn read_order_answer(&self, head: &ResponseHead, sent_at: Millis) -> OrderAnswer {
        let site = &self.gateway.site;
        let answer = site.read_order_answer(head);
        if answer != OrderAnswer::OtherInstance {
            let origin = AnswerOrigin {
                instance: &self.engine.instance,
                sent_at,
            };
            apply_signals(self.gateway, origin, &site.engine_signals(head));
        }
        answer
    }

    fn after_order(&self, answer: Option<OrderAnswer>, version: u64) -> NextStep {
        let report_after_ms = self.gateway.settings().weights.report_after_ms;
        match answer {
            Some(OrderAnswer::Accepted) => NextStep::Report {
                after_ms: report_after_ms,
            },
            Some(OrderAnswer::AlreadyDone) => {
                self.note_loaded(version);
                NextStep::Finished
            }
            // Without an answer the engine may be executing the order: a report shows it.
            Some(OrderAnswer::Conflict) | None => NextStep::Report {
                after_ms: REPORT_PERIOD_MS,
            },
            Some(OrderAnswer::OtherInstance) => {
                let now = self.gateway.clock.now();
                let mut beliefs = self.gateway.beliefs();
                let engines = &mut beliefs.engines;
                engines.note_misdirected(&self.engine.instance, now);
                NextStep::Finished
            }
            Some(OrderAnswer::FenceTooLow | OrderAnswer::Rejected) => NextStep::Finished,
        }
    }
}
