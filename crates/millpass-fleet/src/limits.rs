//! Limits that instances state on requests from all gateways together, as reported by gateways.

use crate::fleet::Fleet;
use crate::interface::FleetOutput;
use millpass_limits::{LimitChange, PermitsExhausted};
use millpass_proto::{PermitRequest, PermitResponse, Timestamp};

impl Fleet {
    /// Applies a gateway's limit reports and responds to its permit request.
    pub fn handle_permit_request(
        &mut self,
        now: Timestamp,
        term: u64,
        request: &PermitRequest,
    ) -> PermitResponse {
        for change in self.limits.record_limits(now, &request.observations) {
            self.log_limit(&request.gateway, &change);
        }
        let (response, exhausted) = self.limits.respond(now, term, request);
        for event in exhausted {
            self.log_exhausted(&request.gateway, &event);
        }
        response
    }

    fn log_limit(&mut self, gateway: &str, change: &LimitChange) {
        let rate = change.rate.map(|rate| rate.milli_per_second.to_string());
        let pairs = vec![
            ("instance", change.instance.0.clone()),
            (
                "milli_per_second",
                rate.unwrap_or_else(|| "none".to_owned()),
            ),
            ("gateway", gateway.to_owned()),
        ];
        self.event("instance-limit", pairs);
    }

    fn log_exhausted(&mut self, gateway: &str, event: &PermitsExhausted) {
        let pairs = vec![
            ("instance", event.instance.0.clone()),
            ("milli_per_second", event.rate.milli_per_second.to_string()),
            ("denied", event.denied.to_string()),
            ("gateway", gateway.to_owned()),
        ];
        self.event("permits-exhausted", pairs);
    }

    /// Sends changed limits to gateways.
    pub(crate) fn send_limit_updates(&mut self, now: Timestamp) {
        let revision = self.limits.revision();
        let interval = self.gateways.update_interval(self.slowdown);
        let mut update = None;
        for (connection, session) in &mut self.gateways.sessions {
            let is_backlogged = session.backlogged_since.is_some();
            if is_backlogged || !session.limits.mark_sent_if_due(now, interval, revision) {
                continue;
            }
            let update = update.get_or_insert_with(|| self.limits.update(now, self.term));
            self.out.push(FleetOutput::Limits {
                connection: *connection,
                update: update.clone(),
            });
        }
    }
}
