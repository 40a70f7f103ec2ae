//! Decision records of other nodes, and the announcement of a planned stop.

use super::*;

impl NodeCore {
    /// Requests every live node's decision records on a request.
    pub fn request_decisions(&mut self, request: &str) -> Ticket {
        let ticket = self.new_ticket();
        let message = ploverlift_wire::messages::ExplainRequest {
            ticket: ticket.0,
            request: request.to_owned(),
        };
        let targets: Vec<SocketAddr> = self
            .members
            .live()
            .map(|(_, member)| member.identity.address)
            .collect();
        for target in targets {
            self.outbox
                .send(target, Body::ExplainRequest(message.clone()));
        }
        ticket
    }

    pub(super) fn on_explain_request(
        &mut self,
        from: SocketAddr,
        request: &ploverlift_wire::messages::ExplainRequest,
    ) {
        let id = ploverlift_policy::ids::RequestId(request.request.clone());
        let records = self.router.decisions_on(&id);
        if records.is_empty() {
            return;
        }
        let answer = ploverlift_wire::messages::ExplainAnswer {
            ticket: request.ticket,
            decisions: serde_json::to_vec(&records).unwrap_or_default(),
        };
        self.outbox.send(from, Body::ExplainAnswer(answer));
    }

    /// Announces a planned stop to other members.
    pub fn leave(&mut self) {
        let digests = self.digests();
        self.members.leave(&mut self.outbox, digests);
    }
}
