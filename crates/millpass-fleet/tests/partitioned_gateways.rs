//! Gateways that lose servers in overlapping series, under one leader, in virtual time.

mod harness;

use harness::at;
use harness::documents::EMPTY_CONTEXT;
use millpass_dispatch::*;
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Time from which a partition must not be noticed by callers.
const CONTACT: u64 = 3_000;
const END: u64 = 24_000;
/// Time between two requests at each gateway.
const REQUEST_INTERVAL: u64 = 40;
const SERVE_MILLIS: u64 = 15;
const HOP_MILLIS: u64 = 1;
const CONNECT_TIMEOUT: u64 = 250;
const STEP: u64 = 2;
const SERVICES: [(&str, usize); 2] = [("web", 4), ("text", 8)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Connections hang.
    Silent,
    /// Connections are refused.
    Refused,
}

/// A partition of one gateway from all instances, or from those of a service.
#[derive(Clone, Debug)]
struct Cut {
    gateway: usize,
    from: u64,
    until: u64,
    service: Option<usize>,
    failure: Failure,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    /// The request decides again.
    Decide(usize),
    /// A send to an instance ends; the flag tells whether it was served.
    SendEnds(usize, InstanceId, bool),
    /// The request arrives at another gateway.
    Arrives(usize, String),
    /// The other gateway's request ends.
    Returns(usize, bool),
    ProbeEnds(usize, InstanceId, bool),
}

/// A caller's request, and its part at another gateway if it was forwarded.
struct Request {
    gateway: usize,
    arrived: u64,
    service: usize,
    ticket: Ticket,
    /// Gateway and ticket there.
    forwarded: Option<(usize, Ticket)>,
    served: Option<bool>,
    runs: u32,
}

struct World {
    cuts: Vec<Cut>,
    gateways: Vec<Dispatcher>,
    leader: Fleet,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    /// Requests that the gateways reported to have found no engine.
    unserved_demand: u32,
    /// Process runs that gateways took for ended.
    ended_runs: usize,
    crash_reports: usize,
}

fn name(gateway: usize) -> String {
    format!("g-{gateway}")
}

fn records() -> Vec<InstanceRecord> {
    let of_service = |(service, count): (&str, usize)| {
        let service = service.to_owned();
        (0..count).map(move |number| InstanceRecord {
            instance: format!("{service}-{number}").as_str().into(),
            service: service.as_str().into(),
            address: format!("{service}-{number}:80"),
            zone: "z".into(),
            slots: 64,
            draining: false,
            warmup_millis: 0,
            sequence: 1,
            models: match service.as_str() {
                "text" => vec![HeldModel {
                    model: "a".into(),
                    adapters: Vec::new(),
                }],
                _ => Vec::new(),
            },
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            software: SoftwareStatement::default(),
        })
    };
    SERVICES.into_iter().flat_map(of_service).collect()
}

fn document() -> DeploymentDocument {
    let capacity = harness::documents::EngineCapacity {
        weights_kilobytes: 130,
        adapter_slots: 2,
        milliloads_per_second: 20_000,
    };
    let models = vec![harness::documents::model("a", 60, 0)];
    let mut document = harness::documents::engine_document(models, &capacity);
    document.services[0].name = "text".into();
    document.services.push(ServiceSpec {
        name: "web".into(),
        health_path: String::new(),
        maximum_connections: 0,
        engine: None,
    });
    document.routes = SERVICES
        .iter()
        .map(|(service, _)| RouteSpec {
            name: (*service).to_owned(),
            host: "h.example".to_owned(),
            path_prefix: format!("/{service}/"),
            kind: RouteKind::Once,
            targets: vec![RouteTarget {
                service: (*service).into(),
                weight: 1,
            }],
            ..harness::route(1, 2_000)
        })
        .collect();
    document
}

fn dispatcher(gateway: usize) -> Dispatcher {
    let day = Duration::from_secs(86_400);
    Dispatcher::new(DispatchSettings {
        name: name(gateway),
        zone: "z".into(),
        retry_ratio: 0.2,
        retry_slack: 1_000.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_timeout: Duration::from_secs(2),
        quota: QuotaTolerance::default(),
        key_lifetime: None,
        reach: ReachSettings::default(),
        parts: millpass_dispatch::PartSettings::default(),
        origins: millpass_dispatch::BegunSettings::default(),
        freshness: FreshnessSettings {
            max_staleness: day,
            max_departure_staleness: day,
            ..FreshnessSettings::default()
        },
    })
}

fn first_update(dispatcher: &mut Dispatcher, gateways: usize) {
    let acknowledged = dispatcher.report(at(1)).sequence;
    let update = GatewayUpdate {
        term: 1,
        complete: true,
        first: true,
        document: Some(document().into()),
        instances: records(),
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: gateways as u32,
        members: Vec::new(),
        provisional: false,
        loads: Vec::new(),
        acknowledged_report: acknowledged,
        as_of: 0,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: 0,
        paces: Vec::new(),
        contents: Vec::new(),
        moved_estimates: Vec::new(),
        ended_estimates: Vec::new(),
        partial: false,
    };
    dispatcher.update(at(1), update);
}

impl World {
    fn new(gateways: usize, cuts: Vec<Cut>) -> World {
        let mut leader = Fleet::new(FleetSettings::default());
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        leader.start_leading(at(1), std::iter::empty(), std::iter::empty(), &history);
        let mut world = World {
            cuts,
            gateways: (0..gateways).map(dispatcher).collect(),
            leader,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            unserved_demand: 0,
            ended_runs: 0,
            crash_reports: 0,
        };
        for gateway in 0..gateways {
            first_update(&mut world.gateways[gateway], gateways);
            let report = world.gateways[gateway].report(at(1));
            world.leader.handle_report(at(1), gateway as u64, &report);
            world.push(10 + gateway as u64, Event::Request(gateway));
        }
        world
    }

    fn push(&mut self, now: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((now, self.count, event)));
    }

    /// Returns how connections of a gateway to an instance fail now, if they do.
    fn failure(&self, now: u64, gateway: usize, instance: &InstanceId) -> Option<Failure> {
        let mut cuts = self.cuts.iter();
        let found = cuts.find(|cut| {
            let concerns = |service: usize| instance.0.starts_with(SERVICES[service].0);
            cut.gateway == gateway
                && (cut.from..cut.until).contains(&now)
                && cut.service.is_none_or(concerns)
        });
        found.map(|cut| cut.failure)
    }

    fn run(&mut self) {
        let mut now = 0;
        while now < END + 3_000 {
            self.exchange_with_leader(now);
            while let Some(Reverse((due, _, _))) = self.events.peek()
                && *due <= now
            {
                let Some(Reverse((_, _, event))) = self.events.pop() else {
                    break;
                };
                self.handle(now, event);
            }
            self.probe(now);
            now += STEP;
        }
    }

    fn exchange_with_leader(&mut self, now: u64) {
        for gateway in 0..self.gateways.len() {
            let endpoint = PeerEndpoint {
                address: name(gateway),
                key: String::new(),
            };
            let core = &mut self.gateways[gateway];
            self.ended_runs += core.take_ended_runs().len();
            self.crash_reports += usize::from(core.crash_report(at(now)).is_some());
            if now.is_multiple_of(300) {
                let report = core.report(at(now));
                let unserved = report.demand.iter().map(|demand| demand.unserved);
                self.unserved_demand += unserved.sum::<u32>();
                self.leader.handle_report(at(now), gateway as u64, &report);
            }
            if let Some(reach) = core.reach_statement(&endpoint, true) {
                self.leader.handle_reach(gateway as u64, reach);
            }
        }
        for output in self.leader.run(at(now), 1, None, &EMPTY_CONTEXT) {
            if let FleetOutput::Peers { connection, update } = output {
                self.gateways[connection as usize].apply_peers(update);
            }
        }
    }

    fn probe(&mut self, now: u64) {
        for gateway in 0..self.gateways.len() {
            let core = &mut self.gateways[gateway];
            let probes = core.take_probes().into_iter();
            let probes: Vec<_> = probes.chain(core.take_path_probes(at(now))).collect();
            for (instance, _) in probes {
                let (ends, works) = self.connect(now, gateway, &instance);
                self.push(ends, Event::ProbeEnds(gateway, instance, works));
            }
        }
    }

    /// Returns when a new connection ends, and whether it works.
    fn connect(&self, now: u64, gateway: usize, instance: &InstanceId) -> (u64, bool) {
        match self.failure(now, gateway, instance) {
            None => (now + HOP_MILLIS, true),
            Some(Failure::Refused) => (now + HOP_MILLIS, false),
            Some(Failure::Silent) => (now + CONNECT_TIMEOUT, false),
        }
    }

    fn record_connection(&mut self, now: u64, gateway: usize, instance: &InstanceId, works: bool) {
        let failure = self.failure(now, gateway, instance);
        let core = &mut self.gateways[gateway];
        match (works, failure) {
            (true, _) => core.record_connected(at(now), instance),
            (false, Some(Failure::Refused)) => core.record_refused(at(now), instance),
            (false, _) => core.record_connect_failed(at(now), instance),
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Request(gateway) => self.begin(now, gateway),
            Event::Decide(request) => self.decide(now, request),
            Event::SendEnds(request, instance, served) => {
                self.end_send(now, request, &instance, served);
            }
            Event::Arrives(request, peer) => self.arrive(now, request, &peer),
            Event::Returns(request, served) => self.finish_forward(now, request, served),
            Event::ProbeEnds(gateway, instance, works) => {
                self.record_connection(now, gateway, &instance, works);
            }
        }
    }

    fn begin(&mut self, now: u64, gateway: usize) {
        let service = self.requests.len() % SERVICES.len();
        let core = &mut self.gateways[gateway];
        let path = format!("/{}/", SERVICES[service].0);
        let route = core.route(at(now), "h.example", &path).expect("route");
        let description = RequestDescription {
            attempt: "r".to_owned(),
            model: (SERVICES[service].0 == "text").then(|| "a".into()),
            // The same bytes again and again, as callers that return send them.
            fingerprint: RequestFingerprint { high: 1, low: 1 },
            ..RequestDescription::default()
        };
        let ticket = core.begin(at(now), route, None, description, 0.5);
        self.requests.push(Request {
            gateway,
            arrived: now,
            service,
            ticket,
            forwarded: None,
            served: None,
            runs: 0,
        });
        self.decide(now, self.requests.len() - 1);
        if now < END {
            self.push(now + REQUEST_INTERVAL, Event::Request(gateway));
        }
    }

    fn decide(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let (gateway, ticket) = match &mut request.forwarded {
            Some((gateway, ticket)) => (*gateway, ticket),
            None => (request.gateway, &mut request.ticket),
        };
        let is_forwarded = ticket.forwarded.is_some();
        match self.gateways[gateway].choose(at(now), ticket) {
            Choice::Send { instance, .. } => {
                let (ends, works) = self.connect(now, gateway, &instance);
                let ends = if works { ends + SERVE_MILLIS } else { ends };
                if works {
                    self.requests[number].runs += 1;
                    self.record_connection(now, gateway, &instance, true);
                }
                self.push(ends, Event::SendEnds(number, instance, works));
            }
            Choice::Forward { peer } => {
                assert!(!is_forwarded, "forwarded twice");
                self.push(now + HOP_MILLIS, Event::Arrives(number, peer.gateway));
            }
            Choice::Wait { until } => {
                let until = until.as_millis().clamp(now + 1, now + 10);
                self.push(until, Event::Decide(number));
            }
            Choice::Refuse { .. } if is_forwarded => {
                self.push(now + HOP_MILLIS, Event::Returns(number, false));
            }
            Choice::Refuse { .. } => self.requests[number].served = Some(false),
        }
    }

    fn end_send(&mut self, now: u64, number: usize, instance: &InstanceId, served: bool) {
        let request = &mut self.requests[number];
        let (gateway, ticket) = match &mut request.forwarded {
            Some((gateway, ticket)) => (*gateway, ticket),
            None => (request.gateway, &mut request.ticket),
        };
        let record = ticket.send_record(instance);
        let is_forwarded = ticket.forwarded.is_some();
        if !served {
            ticket.sends -= 1;
        }
        let failure = self.failure(now, gateway, instance);
        let is_broken = served && failure.is_some();
        let outcome = match (served, failure) {
            (true, None) => SendOutcome::Responded(Duration::from_millis(SERVE_MILLIS)),
            // The partition began while the request ran.
            (true, Some(_)) => SendOutcome::Broken,
            (false, Some(Failure::Refused)) => SendOutcome::ConnectionRefused,
            (false, _) => SendOutcome::Unreachable,
        };
        self.gateways[gateway].record_send_outcome(at(now), &record, outcome);
        if is_broken {
            // It may have run, and must not run again.
            self.requests[number].served = Some(false);
            return;
        }
        match (served, is_forwarded) {
            (true, true) => self.push(now + HOP_MILLIS, Event::Returns(number, true)),
            (true, false) => self.requests[number].served = Some(true),
            (false, _) => self.decide(now, number),
        }
    }

    fn arrive(&mut self, now: u64, number: usize, peer: &str) {
        let request = &self.requests[number];
        let gateway = peer
            .trim_start_matches("g-")
            .parse::<usize>()
            .expect("number");
        let terms = ForwardTerms {
            from: name(request.gateway),
            elapsed: Duration::from_millis(now - request.arrived),
            service: request.ticket.service.clone(),
            tried: request.ticket.tried.clone(),
            is_arrival: !request.ticket.is_arrival_recorded,
            start_within: None,
        };
        let route = request.ticket.route.clone();
        let description = request.ticket.description.clone();
        let core = &mut self.gateways[gateway];
        let ticket = core.begin_forwarded(at(now), route, None, description, terms);
        self.requests[number].forwarded = Some((gateway, ticket));
        self.decide(now, number);
    }

    fn finish_forward(&mut self, now: u64, number: usize, served: bool) {
        let request = &mut self.requests[number];
        let Some((peer, _)) = request.forwarded.take() else {
            return;
        };
        let (outcome, sends) = match served {
            true => (ForwardOutcome::Responded, 1),
            false => (ForwardOutcome::Declined, 0),
        };
        let core = &mut self.gateways[request.gateway];
        core.record_forward_outcome(at(now), &mut request.ticket, &name(peer), outcome, sends);
        match served {
            true => request.served = Some(true),
            false => self.decide(now, number),
        }
    }

    /// Gateways that reached a service all the time from `CONTACT` before a moment.
    fn in_contact(&self, now: u64, service: usize) -> BTreeSet<usize> {
        let is_cut = |gateway: usize| {
            self.cuts.iter().any(|cut| {
                let concerns = cut.service.is_none_or(|found| found == service);
                cut.gateway == gateway && concerns && cut.from <= now && now < cut.until + CONTACT
            })
        };
        (0..self.gateways.len()).filter(|it| !is_cut(*it)).collect()
    }

    /// Requests not served by gateway that were sent when the gateway's state had held for
    /// `CONTACT`, and another gateway reached the service.
    fn lost_in_touch(&self) -> BTreeMap<usize, Vec<u64>> {
        let mut lost: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        for request in &self.requests {
            let changed_lately = self.cuts.iter().any(|cut| {
                let moments = [cut.from, cut.until];
                let mut moments = moments.iter();
                // A request that runs when the path of another gateway is lost may be lost there.
                let begins = |at: u64| at.saturating_sub(2 * SERVE_MILLIS);
                moments.any(|at| (begins(*at)..at + CONTACT).contains(&request.arrived))
            });
            let helpers = self.in_contact(request.arrived, request.service);
            if request.served != Some(true) && !changed_lately && !helpers.is_empty() {
                lost.entry(request.gateway)
                    .or_default()
                    .push(request.arrived);
            }
        }
        lost
    }
}

fn cuts(gateways: usize) -> impl Strategy<Value = Vec<Cut>> {
    let failure = prop_oneof![Just(Failure::Silent), Just(Failure::Refused)];
    let service = prop_oneof![3 => Just(None), 1 => (0..SERVICES.len()).prop_map(Some)];
    let cut = (0..gateways, 500..16_000u64, 200..9_000u64, service, failure);
    let cut = cut.prop_map(|(gateway, from, length, service, failure)| Cut {
        gateway,
        from,
        until: from + length,
        service,
        failure,
    });
    prop::collection::vec(cut, 1..8)
}

fn assert_served_everywhere(gateways: usize, cuts: Vec<Cut>) {
    let mut world = World::new(gateways, cuts);
    world.run();
    let unfinished = world.requests.iter().filter(|it| it.served.is_none());
    assert_eq!(unfinished.count(), 0, "requests without an end");
    assert!(world.requests.iter().all(|it| it.runs <= 1), "run twice");
    assert_eq!(world.ended_runs, 0, "no process run ends here");
    assert_eq!(world.crash_reports, 0, "no instance crashes here");
    let lost = world.lost_in_touch();
    assert!(lost.is_empty(), "not served, by gateway: {lost:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against callers of a gateway without contact that are served worse than the others'.
    #[test]
    fn callers_of_few_gateways_are_served_alike(cuts in cuts(4)) {
        assert_served_everywhere(4, cuts);
    }

    #[test]
    fn callers_of_many_gateways_are_served_alike(cuts in cuts(12)) {
        assert_served_everywhere(12, cuts);
    }
}

/// Guards against loads for models that are loaded but out of reach of some gateways.
#[test]
fn gateways_without_contact_state_no_unserved_demand() {
    let cut = |gateway, failure| Cut {
        gateway,
        from: 2_000,
        until: 12_000,
        service: None,
        failure,
    };
    let mut world = World::new(5, vec![cut(0, Failure::Silent), cut(1, Failure::Refused)]);
    world.run();
    assert_eq!(world.unserved_demand, 0);
}

/// Guards against requests that travel between gateways, or wait, while nobody reaches the servers.
#[test]
fn nobody_in_contact_refuses_at_once() {
    let cuts: Vec<Cut> = (0..4)
        .map(|gateway| Cut {
            gateway,
            from: 2_000,
            until: 12_000,
            service: None,
            failure: Failure::Silent,
        })
        .collect();
    let mut world = World::new(4, cuts);
    world.run();
    let during = world
        .requests
        .iter()
        .filter(|it| (5_000..11_500).contains(&it.arrived));
    for request in during {
        assert_eq!(request.served, Some(false));
        assert_eq!(request.runs, 0);
        assert!(request.ticket.forwarded_to.is_empty(), "sent round");
    }
}
