//! Grants gateways credit from tenants' quotas, only while this member is leading.

use crate::interface::ConnectionId;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_proto::{ControlToRouter, CreditRequest, Timestamp};
use millpass_tenancy::{
    CreditEvent, CreditLedger, CreditTotals, MAXIMUM_OPENINGS_PER_WINDOW, QuotaExhausted,
};

impl ControlPlane {
    /// Creates the ledger when this member starts leading; tenants' buckets fill from then on.
    pub(crate) fn start_credit(&mut self, now: Timestamp) {
        if let Some(fleet) = &self.settings.fleet {
            let quota = fleet.quota;
            let begun = self.terms.begun_within(now, quota.window);
            let has_opening_credit = begun <= MAXIMUM_OPENINGS_PER_WINDOW;
            self.credit.get_or_insert_with(|| {
                let ledger = CreditLedger::new(now, quota);
                match has_opening_credit {
                    true => ledger,
                    false => ledger.without_opening_credit(),
                }
            });
        }
    }

    pub(crate) fn handle_credit_request(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        request: &CreditRequest,
        out: &mut Outputs,
    ) {
        // A request can arrive before the first periodic run after an election.
        self.start_credit(now);
        let (Some(document), Some(ledger)) = (self.state.document(), &mut self.credit) else {
            return;
        };
        ledger.apply_document(now, document);
        let (response, events) = ledger.handle_request(now, self.term, connection.0, request);
        out.send_router(connection, ControlToRouter::Credit(response));
        let fleet = self.fleet.as_ref();
        let gateway = fleet.and_then(|fleet| fleet.gateway_name(connection.0));
        for event in events {
            match event {
                CreditEvent::Exhausted(event) => {
                    log_exhausted(&event, gateway.unwrap_or("unknown"), out);
                }
                CreditEvent::Totals(totals) => log_totals(&totals, self.term, out),
            }
        }
    }
}

fn log_totals(totals: &CreditTotals, term: u64, out: &mut Outputs) {
    let pairs = vec![
        ("tenant", totals.tenant.0.clone()),
        ("term", term.to_string()),
        ("level", format!("{:.0}", totals.level)),
        ("granted", totals.granted.to_string()),
        ("promised", totals.promised.to_string()),
        ("prefetched", totals.prefetched.to_string()),
        ("returned", totals.returned.to_string()),
        ("overdrawn", totals.overdrawn.to_string()),
        ("uncharged", totals.uncharged.to_string()),
    ];
    out.event("credit-totals", pairs);
}

fn log_exhausted(event: &QuotaExhausted, gateway: &str, out: &mut Outputs) {
    let wanted: Vec<String> = event
        .wanted
        .iter()
        .map(|(rank, units)| format!("{rank}:{units:.0}"))
        .collect();
    let pairs = vec![
        ("tenant", event.tenant.0.clone()),
        ("units_per_second", event.limit.units_per_second.to_string()),
        ("burst_units", event.limit.burst_units.to_string()),
        ("level", format!("{:.0}", event.level)),
        ("denied", event.denied.to_string()),
        ("gateway", gateway.to_owned()),
        (
            "denied_rank",
            event
                .denied_rank
                .map_or_else(|| "none".to_owned(), |rank| rank.to_string()),
        ),
        ("threshold", format!("{:.0}", event.threshold)),
        ("wanted_by_rank", wanted.join(",")),
    ];
    out.event("quota-exhausted", pairs);
}
