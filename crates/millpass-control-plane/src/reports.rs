//! Responds to routers' reports and claims, only while this member is leading.

use crate::claims::RouterIncarnation;
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
    RouterName, RouterReport, RouterToControl, RouterUpdate, StreamReport, Timestamp, WatchList,
};

/// Maximum number of models with a ready estimate in one update.
const MAXIMUM_READY_ESTIMATES: usize = 256;
/// Maximum number of observations read from one report.
const MAXIMUM_OBSERVATIONS: usize = 1_024;

impl ControlPlane {
    pub(crate) fn handle_router_message(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        connection: ConnectionId,
        message: RouterToControl,
        out: &mut Outputs,
    ) {
        if let RouterToControl::Hello(hello) = message {
            self.handle_hello(now, connection, hello, out);
            return;
        }
        if let RouterToControl::Gateway(report) = message {
            self.handle_gateway_report(now, connection, &report, out);
            return;
        }
        if !self.is_leading(now) {
            self.handle_without_leadership(now, connection, &message, out);
            return;
        }
        if let RouterToControl::Credit(request) = &message {
            self.handle_credit_request(now, connection, request, out);
            return;
        }
        if let RouterToControl::Crashes(report) = &message {
            self.handle_crash_report(now, report);
            return;
        }
        if let RouterToControl::Permits(request) = &message {
            self.handle_permit_request(now, connection, request, out);
            return;
        }
        if let RouterToControl::Reach(reach) = message {
            self.handle_reach(connection, reach);
            return;
        }
        if let RouterToControl::Streams(report) = message {
            self.handle_streams(now, connection, report, out);
            return;
        }
        if let RouterToControl::Runs(query) = message {
            self.handle_runs(now, connection, query, out);
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
            | RouterToControl::Permits(_)
            | RouterToControl::Reach(_)
            | RouterToControl::Streams(_)
            | RouterToControl::Runs(_) => {}
            RouterToControl::Report(report) => {
                self.handle_report(now, connection, &hello, report, out);
            }
            RouterToControl::Claim(ClaimRequest { claim }) => {
                self.begin_claim(now, unix_millis, connection, &hello, claim, out);
            }
            RouterToControl::FinishClaim(finish) => {
                self.finish_claim(now, connection, &hello, finish, out);
            }
        }
    }

    /// Handles a message that requires leadership. A leader whose lease has expired does not
    /// redirect gateways, since all of them would reconnect to it; their credit and permit requests
    /// stay unanswered, and their crash reports are recorded.
    fn handle_without_leadership(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        message: &RouterToControl,
        out: &mut Outputs,
    ) {
        match message {
            RouterToControl::Credit(_) | RouterToControl::Permits(_) | RouterToControl::Runs(_)
                if self.role == Role::Leader => {}
            RouterToControl::Crashes(report) if self.is_established_leader() => {
                self.handle_crash_report(now, report);
            }
            RouterToControl::Reach(reach) if self.role == Role::Leader => {
                self.handle_reach(connection, reach.clone());
            }
            // Another leader may know more: what is stated is kept, questions stay unanswered.
            RouterToControl::Streams(report) if self.is_established_leader() => {
                let stated = StreamReport {
                    lookups: Vec::new(),
                    ..report.clone()
                };
                self.handle_streams(now, connection, stated, out);
            }
            _ => out.send_not_leader(connection, self.leader_peer_address()),
        }
    }

    fn handle_hello(
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
        if !self.sessions.record_hello(connection, hello) {
            out.send_not_leader(connection, None);
            return;
        }
        if !self.is_leading(now) {
            out.send_not_leader(connection, self.leader_peer_address());
            return;
        }
        self.abandon_previous_claims(now, router, incarnation, out);
    }

    /// A router that returns under a new incarnation has lost the requests of its previous ones.
    fn abandon_previous_claims(
        &mut self,
        now: Timestamp,
        router: RouterName,
        incarnation: Incarnation,
        out: &mut Outputs,
    ) {
        let replaced: Vec<RouterIncarnation> = self
            .state
            .open_claim_runs()
            .filter(|(holder, holder_incarnation, _)| {
                **holder == router && *holder_incarnation != incarnation
            })
            .map(|(holder, holder_incarnation, _)| (holder.clone(), holder_incarnation))
            .collect();
        for holder in replaced {
            self.abandon_claims(now, holder, out);
        }
    }

    fn handle_report(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        hello: &RouterHello,
        report: RouterReport,
        out: &mut Outputs,
    ) {
        // No response; the router retries with its next report.
        if self.needs_full_copy(&report) && !self.full_copies.try_acquire(now) {
            return;
        }
        match self.sessions.record_report(now, connection, hello, &report) {
            Admission::Stale => return,
            Admission::Full => {
                out.send_not_leader(connection, None);
                return;
            }
            Admission::New => {
                self.abandon_previous_claims(now, hello.router.clone(), hello.incarnation, out);
                let pairs = vec![("router", hello.router.to_string())];
                out.event("router-reports", pairs);
            }
            Admission::Known => {}
        }
        self.scheduler
            .observe_router(now, &hello.router, hello.incarnation, &report);
        self.refresh_watch_if_due(now);
        self.handle_observations(now, &hello.router, &report, out);
        if !self.platform.leases_allowed(now, &self.state) {
            return out.event(
                "lease-held-back",
                vec![("router", hello.router.to_string())],
            );
        }
        let update = self.update(now, &hello.router, &report);
        out.send_router(connection, ControlToRouter::Update(update));
    }

    /// Returns true if the response would contain the whole catalog or all routes.
    fn needs_full_copy(&self, report: &RouterReport) -> bool {
        let without_catalog =
            report.configuration.0 == 0 && self.state.configuration_revision().0 > 0;
        let without_routes = report.placement.0 == 0 && self.state.placement_revision().0 > 0;
        without_catalog || without_routes
    }

    /// Reassigns back ends to routers at intervals: a scan of all routers and back ends costs far
    /// more than a report, and many routers report at once.
    fn refresh_watch_if_due(&mut self, now: Timestamp) {
        if !self.watch.is_due(now) {
            return;
        }
        let backends = self.platform.watchable(&self.state);
        self.watch.refresh(self.sessions.watchers(), backends);
    }

    fn handle_observations(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        report: &RouterReport,
        out: &mut Outputs,
    ) {
        for observation in report.observations.iter().take(MAXIMUM_OBSERVATIONS) {
            for (key, command) in self.observation_proposals(now, router, observation, out) {
                self.propose_internal(now, key, command, out);
            }
        }
    }

    fn observation_proposals(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        observation: &BackendObservation,
        out: &mut Outputs,
    ) -> Vec<Proposal> {
        match observation {
            BackendObservation::Engine(report) => {
                self.scheduler.observe_engine(now, report);
                let from_watcher = self.is_watcher(router, &report.backend);
                self.observations
                    .engine(report, from_watcher, &self.state, &self.platform)
            }
            BackendObservation::Web(report) => {
                let from_watcher = self.is_watcher(router, &report.backend);
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

    fn is_watcher(&self, router: &RouterName, backend: &BackendName) -> bool {
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
            load_estimates: self.ready_estimates(now, report),
            claims_created_after_unix_millis: self.state.claims_expired_before(),
        }
    }

    /// Returns the route changes since a revision, if any. Full copies of a revision are cached,
    /// since many routers request them at once after a start.
    fn placement_for(&mut self, since: PlacementRevision) -> Option<PlacementDelta> {
        if since.0 == 0 && self.state.placement_revision().0 > 0 {
            return Some(self.full_routes.get(&self.state));
        }
        self.state.placement_since(since)
    }

    /// Returns the back ends assigned to the router if they differ from those last sent on this
    /// connection.
    fn watch_change(&mut self, router: &RouterName) -> Option<WatchList> {
        let assigned = self.watch.assigned(router);
        let session = self.sessions.get_mut(router)?;
        let targets: Vec<(BackendName, String)> = assigned
            .iter()
            .map(|watched| (watched.backend.clone(), watched.address.clone()))
            .collect();
        if session.watch_sent.as_ref() == Some(&targets) {
            return None;
        }
        session.watch_sent = Some(targets);
        Some(WatchList {
            backends: assigned.to_vec(),
        })
    }

    fn ready_estimates(&self, now: Timestamp, report: &RouterReport) -> Vec<LoadEstimate> {
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
            .take(MAXIMUM_READY_ESTIMATES)
            .map(|model| self.scheduler.ready_estimate(now, &self.state, model))
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

    /// Returns true if a claim may be proposed: it belongs to the router of the connection, and
    /// there is free capacity. Otherwise responds that it had no effect.
    fn admit_claim(
        &mut self,
        connection: ConnectionId,
        hello: &RouterHello,
        holder: (&RouterName, Incarnation),
        out: &mut Outputs,
    ) -> bool {
        let is_own = holder == (&hello.router, hello.incarnation);
        if is_own && self.proposals.has_capacity() && self.drain.is_none() {
            return true;
        }
        if !is_own {
            let pairs = vec![
                ("router", hello.router.to_string()),
                ("claimed", holder.0.to_string()),
            ];
            out.event("claim-of-another-router", pairs);
        }
        out.send_not_leader(connection, None);
        false
    }

    /// Concludes the open claims of an ended router incarnation.
    pub(crate) fn abandon_claims(
        &mut self,
        now: Timestamp,
        holder: RouterIncarnation,
        out: &mut Outputs,
    ) {
        let (router, router_incarnation) = holder;
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
