//! Answers routers' reports and claims, only while this member is in charge.

use crate::claims::RouterRun;
use crate::interface::ConnectionId;
use crate::observations::Proposal;
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use crate::proposals::{InternalKey, Waiter};
use crate::sessions::Admission;
use millpass_consensus::Role;
use millpass_proto::{
    AbandonClaims, BackendName, BackendObservation, ClaimBegin, ClaimFinish, ClaimRequest, Command,
    ControlToRouter, Incarnation, LoadEstimate, PlacementDelta, PlacementRevision, RouterHello,
    RouterName, RouterReport, RouterToControl, RouterUpdate, Timestamp, WatchList,
};

/// Most models whose outlook one update carries.
const MAXIMUM_OUTLOOKS: usize = 256;
/// Most observations taken from one report.
const MAXIMUM_OBSERVATIONS: usize = 1_024;

impl ControlPlane {
    pub(crate) fn take_router(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        connection: ConnectionId,
        message: RouterToControl,
        out: &mut Outputs,
    ) {
        if let RouterToControl::Hello(hello) = message {
            self.take_hello(now, connection, hello, out);
            return;
        }
        if let RouterToControl::Gateway(report) = message {
            self.take_gateway_report(now, connection, &report, out);
            return;
        }
        if !self.in_charge(now) {
            self.take_without_charge(now, connection, &message, out);
            return;
        }
        if let RouterToControl::Credit(request) = &message {
            self.take_credit_request(now, connection, request, out);
            return;
        }
        if let RouterToControl::Crashes(report) = &message {
            self.take_crash_report(now, report);
            return;
        }
        if let RouterToControl::Permits(request) = &message {
            self.take_permit_request(now, connection, request, out);
            return;
        }
        let Some(hello) = self.sessions.identity(connection).cloned() else {
            let pairs = vec![("connection", connection.0.to_string())];
            out.event("router-without-hello", pairs);
            out.send_not_leader(connection, None);
            return;
        };
        match message {
            RouterToControl::Hello(_)
            | RouterToControl::Gateway(_)
            | RouterToControl::Credit(_)
            | RouterToControl::Crashes(_)
            | RouterToControl::Permits(_) => {}
            RouterToControl::Report(report) => {
                self.take_report(now, connection, &hello, report, out);
            }
            RouterToControl::Claim(ClaimRequest { claim }) => {
                self.begin_claim(now, unix_millis, connection, &hello, claim, out);
            }
            RouterToControl::FinishClaim(finish) => {
                self.finish_claim(now, connection, &hello, finish, out);
            }
        }
    }

    /// A message that this member cannot act on. A leader whose lease has run out is late, not deposed: a gateway that it
    /// sent away would come back to it, with all others. Its asks for credit and permits are left unanswered meanwhile.
    fn take_without_charge(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        message: &RouterToControl,
        out: &mut Outputs,
    ) {
        match message {
            RouterToControl::Credit(_) | RouterToControl::Permits(_)
                if self.role == Role::Leader => {}
            RouterToControl::Crashes(report) if self.is_late_leader() => {
                self.take_crash_report(now, report);
            }
            _ => out.send_not_leader(connection, self.leader_peer_address()),
        }
    }

    fn take_hello(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        hello: RouterHello,
        out: &mut Outputs,
    ) {
        if hello.group != self.settings.consensus.group {
            let pairs = vec![
                ("router", hello.router.to_string()),
                ("group", hello.group.to_string()),
            ];
            out.event("router-of-another-group", pairs);
            out.send_not_leader(connection, None);
            return;
        }
        let pairs = vec![
            ("router", hello.router.to_string()),
            ("zone", hello.zone.to_string()),
            ("incarnation", hello.incarnation.to_string()),
        ];
        out.event("router-connected", pairs);
        let (router, incarnation) = (hello.router.clone(), hello.incarnation);
        if !self.sessions.hello(connection, hello) {
            out.send_not_leader(connection, None);
            return;
        }
        if !self.in_charge(now) {
            out.send_not_leader(connection, self.leader_peer_address());
            return;
        }
        self.router_returned(now, router, incarnation, out);
    }

    /// A router that comes back under a new run has lost the requests of its old ones.
    fn router_returned(
        &mut self,
        now: Timestamp,
        router: RouterName,
        incarnation: Incarnation,
        out: &mut Outputs,
    ) {
        let replaced: Vec<RouterRun> = self
            .state
            .open_claim_runs()
            .filter(|(holder, run, _)| **holder == router && *run != incarnation)
            .map(|(holder, run, _)| (holder.clone(), run))
            .collect();
        for run in replaced {
            self.abandon_claims(now, run, out);
        }
    }

    fn take_report(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        hello: &RouterHello,
        report: RouterReport,
        out: &mut Outputs,
    ) {
        // Left unanswered: the router asks again with its next report.
        if self.needs_copy(&report) && !self.copies.take(now) {
            return;
        }
        match self.sessions.report(now, connection, hello, &report) {
            Admission::Stale => return,
            Admission::Full => {
                out.send_not_leader(connection, None);
                return;
            }
            Admission::New => {
                self.router_returned(now, hello.router.clone(), hello.incarnation, out);
                let pairs = vec![("router", hello.router.to_string())];
                out.event("router-reports", pairs);
            }
            Admission::Known => {}
        }
        self.scheduler
            .observe_router(now, &hello.router, hello.incarnation, &report);
        self.refresh_watch_if_due(now);
        self.take_observations(now, &hello.router, &report, out);
        if !self.platform.leases_may_go(now, &self.state) {
            return out.event(
                "lease-held-back",
                vec![("router", hello.router.to_string())],
            );
        }
        let update = self.update(now, &hello.router, &report);
        out.send_router(connection, ControlToRouter::Update(update));
    }

    /// Whether the answer would hold the whole catalog or all routes.
    fn needs_copy(&self, report: &RouterReport) -> bool {
        let without_catalog =
            report.configuration.0 == 0 && self.state.configuration_revision().0 > 0;
        let without_routes = report.placement.0 == 0 && self.state.placement_revision().0 > 0;
        without_catalog || without_routes
    }

    /// Shares follow routers and back ends with a short delay: looking at all of them costs far
    /// more than a report, and many routers report at once.
    fn refresh_watch_if_due(&mut self, now: Timestamp) {
        if !self.watch.is_due(now) {
            return;
        }
        let backends = self.platform.watchable(&self.state);
        self.watch.refresh(self.sessions.watchers(), backends);
    }

    fn take_observations(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        report: &RouterReport,
        out: &mut Outputs,
    ) {
        for observation in report.observations.iter().take(MAXIMUM_OBSERVATIONS) {
            for (key, command) in self.observed(now, router, observation, out) {
                self.propose_internal(now, key, command, out);
            }
        }
    }

    fn observed(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        observation: &BackendObservation,
        out: &mut Outputs,
    ) -> Vec<Proposal> {
        match observation {
            BackendObservation::Engine(report) => {
                self.scheduler.observe_engine(now, report);
                let from_watcher = self.watches(router, &report.backend);
                self.observations
                    .engine(report, from_watcher, &self.state, &self.platform)
            }
            BackendObservation::Web(report) => {
                let from_watcher = self.watches(router, &report.backend);
                self.observations
                    .web(report, from_watcher, &self.state, &self.platform)
                    .into_iter()
                    .collect()
            }
            BackendObservation::Unreachable(backend) => {
                let pairs = vec![
                    ("backend", backend.to_string()),
                    ("router", router.to_string()),
                ];
                out.event("backend-unreachable", pairs);
                Vec::new()
            }
        }
    }

    fn watches(&self, router: &RouterName, backend: &BackendName) -> bool {
        self.watch.watcher(backend) == Some(router)
    }

    fn update(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        report: &RouterReport,
    ) -> RouterUpdate {
        RouterUpdate {
            term: self.term,
            sequence: report.sequence,
            lease_millis: self.settings.router_lease.as_millis() as u64,
            configuration: self.state.configuration_since(report.configuration),
            placement: self.placement_for(report.placement),
            watch: self.watch_change(router),
            load_estimates: self.outlook(now, report),
            claims_created_after_unix_millis: self.state.claims_born_after(),
        }
    }

    /// Route changes for a router at a revision, if any. Whole copies of one revision are built
    /// once: routers that join together ask for the same.
    fn placement_for(&mut self, held: PlacementRevision) -> Option<PlacementDelta> {
        if held.0 == 0 && self.state.placement_revision().0 > 0 {
            return Some(self.route_copy.of(&self.state));
        }
        self.state.placement_since(held)
    }

    /// The router's share, if it differs from what was last sent on this connection.
    fn watch_change(&mut self, router: &RouterName) -> Option<WatchList> {
        let share = self.watch.share(router);
        let session = self.sessions.get_mut(router)?;
        let wanted: Vec<(BackendName, String)> = share
            .iter()
            .map(|watched| (watched.backend.clone(), watched.address.clone()))
            .collect();
        if session.watch_sent.as_ref() == Some(&wanted) {
            return None;
        }
        session.watch_sent = Some(wanted);
        Some(WatchList {
            backends: share.to_vec(),
        })
    }

    fn outlook(&self, now: Timestamp, report: &RouterReport) -> Vec<LoadEstimate> {
        let mut models: Vec<_> = report
            .demand
            .iter()
            .filter(|demand| demand.waiting > 0)
            .map(|demand| &demand.model)
            .collect();
        models.sort();
        models.dedup();
        models
            .into_iter()
            .take(MAXIMUM_OUTLOOKS)
            .map(|model| self.scheduler.outlook(now, &self.state, model))
            .collect()
    }

    fn begin_claim(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        connection: ConnectionId,
        hello: &RouterHello,
        mut claim: ClaimBegin,
        out: &mut Outputs,
    ) {
        let holder = (&claim.router, claim.router_incarnation);
        if !self.admit_claim(connection, hello, holder, out) {
            return;
        }
        claim.at_unix_millis = unix_millis;
        let waiter = Waiter::Claim {
            connection,
            attempt: claim.attempt,
        };
        self.propose(now, waiter, Command::BeginClaim(claim), out);
    }

    fn finish_claim(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        hello: &RouterHello,
        finish: ClaimFinish,
        out: &mut Outputs,
    ) {
        let holder = (&finish.router, finish.router_incarnation);
        if !self.admit_claim(connection, hello, holder, out) {
            return;
        }
        let waiter = Waiter::ClaimFinish {
            connection,
            attempt: finish.attempt,
        };
        self.propose(now, waiter, Command::FinishClaim(finish), out);
    }

    /// Whether a claim may be proposed: it is the connection's own, and there is room. Otherwise
    /// the router is told that nothing was done.
    fn admit_claim(
        &mut self,
        connection: ConnectionId,
        hello: &RouterHello,
        holder: (&RouterName, Incarnation),
        out: &mut Outputs,
    ) -> bool {
        let own = holder == (&hello.router, hello.incarnation);
        if own && self.proposals.has_room() && self.drain.is_none() {
            return true;
        }
        if !own {
            let pairs = vec![
                ("router", hello.router.to_string()),
                ("claimed", holder.0.to_string()),
            ];
            out.event("claim-of-another-router", pairs);
        }
        out.send_not_leader(connection, None);
        false
    }

    /// Concludes the open claims of a run of a router that is no more.
    pub(crate) fn abandon_claims(&mut self, now: Timestamp, run: RouterRun, out: &mut Outputs) {
        let (router, router_incarnation) = run;
        let pairs = vec![
            ("router", router.to_string()),
            ("incarnation", router_incarnation.to_string()),
        ];
        out.event("claims-abandoned", pairs);
        let key = InternalKey::AbandonClaims(router.clone(), router_incarnation);
        let command = Command::AbandonClaims(AbandonClaims {
            router,
            router_incarnation,
        });
        self.propose_internal(now, key, command, out);
    }
}
