//! Quotas in virtual time: many gateways, messages that take time, cuts, restarts and changes of leader. Over
//! every window the sum stays within what the contract bears, and what is asked below the limit is granted.

use millpass_proto::codec;
use millpass_proto::*;
use millpass_tenancy::{CreditLedger, CreditOutcome, CreditPool, QuotaTerms, TenantLimit};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const TERMS: QuotaTerms = QuotaTerms {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack_units: 110_000,
};
/// One way between a gateway and a member.
const DELAY: u64 = 2;
const REPORT_INTERVAL: u64 = 300;
const PATIENCE: Duration = Duration::from_millis(160);
/// Time for which a request waits for a leader.
const LONGEST_WAIT: u64 = 400;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn document(limit: TenantLimit, version: u64) -> DeploymentDocument {
    DeploymentDocument {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: vec![TenantAccess {
            name: "t".into(),
            key_hashes: Vec::new(),
            priority: 0,
            unit: QuotaUnit::Tokens,
            plain_cost: 200,
            units_per_second: limit.units_per_second,
            burst_units: limit.burst_units,
        }],
    }
}

enum Message {
    ToLeader(usize, CreditRequest),
    ToGateway(usize, CreditResponse),
}

struct Request {
    gateway: usize,
    units: u64,
    opened: u64,
    claim: millpass_tenancy::CreditClaim,
}

/// One tenant's requests at many gateways before one leader at a time.
struct World {
    now: u64,
    random: u64,
    limit: TenantLimit,
    version: u64,
    pools: Vec<CreditPool>,
    cut: Vec<bool>,
    leader: Option<CreditLedger>,
    term: u64,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    waiting: Vec<Request>,
    /// When and how much ran.
    ran: Vec<(u64, u64)>,
    asked: u64,
    granted: u64,
    credit_messages: u64,
}

impl World {
    fn new(seed: u64, gateways: usize, limit: TenantLimit) -> World {
        World {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            limit,
            version: 1,
            pools: (0..gateways).map(|_| CreditPool::new(TERMS)).collect(),
            cut: vec![false; gateways],
            leader: Some(CreditLedger::new(at(0), TERMS)),
            term: 1,
            messages: BTreeMap::new(),
            sent: 0,
            waiting: Vec::new(),
            ran: Vec::new(),
            asked: 0,
            granted: 0,
            credit_messages: 0,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn post(&mut self, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + DELAY, self.sent), message);
    }

    /// One millisecond in which this many units a second are asked for, in requests of 200 or `large` units.
    fn step(&mut self, units_per_second: f64, large: u64) {
        self.now += 1;
        self.deliver();
        let mean = 0.5 * (200 + large) as f64;
        let mut expected = units_per_second / 1_000.0 / mean;
        while expected > 0.0 {
            if self.draw() < expected {
                self.arrive(large);
            }
            expected -= 1.0;
        }
        self.settle();
        self.talk();
    }

    fn arrive(&mut self, large: u64) {
        let units = if self.draw() < 0.5 { 200 } else { large };
        let gateway = (self.draw() * self.pools.len() as f64) as usize;
        self.asked += units;
        let tenant = "t".into();
        let pool = &mut self.pools[gateway];
        let claim = pool.open(at(self.now), &tenant, self.limit, units, PATIENCE);
        let opened = self.now;
        self.waiting.push(Request {
            gateway,
            units,
            opened,
            claim,
        });
    }

    fn settle(&mut self) {
        let now = at(self.now);
        let gateways = u32::try_from(self.pools.len()).expect("few");
        for request in std::mem::take(&mut self.waiting) {
            let pool = &mut self.pools[request.gateway];
            match pool.outcome(now, request.claim, gateways) {
                CreditOutcome::Covered => {
                    pool.close(now, request.claim, true);
                    self.ran.push((self.now, request.units));
                    self.granted += request.units;
                }
                CreditOutcome::Denied { .. } => pool.close(now, request.claim, false),
                CreditOutcome::Pending { .. } if self.now - request.opened >= LONGEST_WAIT => {
                    pool.close(now, request.claim, false);
                }
                CreditOutcome::Pending { .. } => self.waiting.push(request),
            }
        }
    }

    fn talk(&mut self) {
        for gateway in 0..self.pools.len() {
            let periodic = (self.now + gateway as u64 * 7).is_multiple_of(REPORT_INTERVAL);
            if self.cut[gateway] || !(periodic || self.pools[gateway].is_urgent()) {
                continue;
            }
            let message = self.pools[gateway].message(at(self.now), "g", periodic);
            if let Some(request) = message {
                self.credit_messages += 1;
                self.post(Message::ToLeader(gateway, request));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::ToLeader(gateway, request) => self.lend(gateway, &request),
                Message::ToGateway(gateway, answer) if !self.cut[gateway] => {
                    self.pools[gateway].answer(at(self.now), &answer);
                }
                Message::ToGateway(..) => {}
            }
        }
    }

    fn lend(&mut self, gateway: usize, request: &CreditRequest) {
        let document = document(self.limit, self.version);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.put_in_force(at(self.now), &document);
        let (answer, _) = leader.answer(at(self.now), self.term, request);
        self.post(Message::ToGateway(gateway, answer));
    }

    /// The leader is gone, with all that is on its way.
    fn lose_leader(&mut self) {
        self.leader = None;
        self.messages.clear();
        for pool in &mut self.pools {
            pool.disconnected(at(self.now));
        }
    }

    fn elect(&mut self) {
        self.term += 1;
        self.leader = Some(CreditLedger::new(at(self.now), TERMS));
    }

    fn cut_off(&mut self, gateway: usize) {
        self.cut[gateway] = true;
        self.pools[gateway].disconnected(at(self.now));
    }

    /// A gateway starts anew and knows nothing.
    fn restart(&mut self, gateway: usize) {
        self.pools[gateway] = CreditPool::new(TERMS);
        self.waiting.retain(|request| request.gateway != gateway);
    }

    fn run(&mut self, millis: u64, units_per_second: f64, large: u64) {
        for _ in 0..millis {
            self.step(units_per_second, large);
        }
    }

    /// The largest sum over any window, as a part of what the contract bears.
    fn worst_window(&self) -> f64 {
        let window = TERMS.window.as_millis() as u64;
        let limit = self.limit;
        let seconds = TERMS.window.as_secs_f64();
        let stated = limit.units_per_second as f64 * seconds + limit.burst_units as f64;
        let borne = stated * (1.0 + TERMS.overage) + TERMS.slack_units as f64;
        let mut first = 0;
        let mut sum = 0;
        let mut worst = 0;
        for (now, units) in &self.ran {
            sum += units;
            while self.ran[first].0 + window <= *now {
                sum -= self.ran[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst as f64 / borne
    }
}

const LARGE_TENANT: TenantLimit = TenantLimit {
    units_per_second: 850_000,
    burst_units: 850_000,
};
/// Its large requests cost a third of what it may use in a second.
const SMALL_TENANT: TenantLimit = TenantLimit {
    units_per_second: 29_000,
    burst_units: 29_000,
};

#[rstest]
fn below_the_limit_nearly_all_is_granted(
    #[values(2, 81, 500)] gateways: usize,
    #[values(LARGE_TENANT, SMALL_TENANT)] limit: TenantLimit,
) {
    let mut world = World::new(7, gateways, limit);
    world.run(12_000, limit.units_per_second as f64 / 1.8, 9_800);
    let share = world.granted as f64 / world.asked as f64;
    assert!(share > 0.95, "granted {share:.3}");
    assert!(world.worst_window() <= 1.0);
}

#[rstest]
fn a_flood_gets_the_limit_and_no_more(
    #[values(2, 81, 500)] gateways: usize,
    #[values(LARGE_TENANT, SMALL_TENANT)] limit: TenantLimit,
) {
    let mut world = World::new(8, gateways, limit);
    world.run(3_000, limit.units_per_second as f64 / 1.8, 9_800);
    let before = world.granted;
    world.run(10_000, limit.units_per_second as f64 * 7.5 / 1.8, 9_800);
    assert!(world.worst_window() <= 1.0, "{:.3}", world.worst_window());
    let used = (world.granted - before) as f64 / limit.units_per_second as f64 / 10.0;
    assert!(used > 0.95, "of the limit {used:.3} was used");
}

/// Over a change of leader large requests wait and plain ones go on; in all less than a tenth is lost.
#[rstest]
fn a_change_of_leader_costs_little(#[values(LARGE_TENANT, SMALL_TENANT)] limit: TenantLimit) {
    let mut world = World::new(9, 81, limit);
    let usual = limit.units_per_second as f64 / 1.8;
    world.run(4_000, usual, 9_800);
    world.lose_leader();
    world.run(700, usual, 9_800);
    world.elect();
    world.run(7_000, usual, 9_800);
    let share = world.granted as f64 / world.asked as f64;
    assert!(share > 0.9, "granted {share:.3}");
    assert!(world.worst_window() <= 1.0);
}

/// Found in an incident: half a second after a loss of all power a large tenant's usual requests were refused, as a
/// new leader began with the same few units whatever the limit.
#[test]
fn after_a_loss_of_everything_a_new_leader_begins_with_what_a_large_tenant_needs() {
    let mut world = World::new(13, 81, LARGE_TENANT);
    world.run(4_000, 470_000.0, 9_800);
    world.lose_leader();
    for gateway in 0..81 {
        world.restart(gateway);
    }
    world.run(1_700, 0.0, 9_800);
    world.elect();
    let (asked, granted) = (world.asked, world.granted);
    // What was held back comes with what is usual.
    world.run(100, 4_000_000.0, 9_800);
    world.run(400, 0.0, 9_800);
    let share = (world.granted - granted) as f64 / (world.asked - asked) as f64;
    // 0.50 before, 0.88 with it.
    assert!(share > 0.8, "granted {share:.3}");
    assert!(world.worst_window() <= 1.0);
}

#[test]
fn a_limit_that_was_lowered_far_below_demand_binds_within_a_window() {
    let mut world = World::new(10, 81, LARGE_TENANT);
    world.run(5_000, 470_000.0, 9_800);
    world.limit = SMALL_TENANT;
    world.version = 2;
    let lowered = world.now;
    // What was lent before, one window and the time to the next word.
    world.run(10_000, 470_000.0, 9_800);
    world.ran.retain(|(now, _)| *now > lowered + 1_500);
    assert!(world.worst_window() <= 1.0, "{:.3}", world.worst_window());
}

#[test]
fn one_message_a_gateway_carries_many_requests() {
    let mut world = World::new(11, 1, LARGE_TENANT);
    world.run(5_000, 850_000.0 * 4.0, 9_800);
    let share = world.credit_messages as f64 / 5_000.0;
    assert!(share < 0.5, "a message in {share:.2} of the milliseconds");
}

#[test]
fn a_leader_that_owes_an_answer_for_long_counts_as_silent_and_a_slow_one_does_not() {
    let tenant = "t".into();
    let mut pool = CreditPool::new(TERMS);
    let ask = |pool: &mut CreditPool, now: u64| {
        pool.open(at(now), &tenant, LARGE_TENANT, 9_800, PATIENCE);
        pool.message(at(now), "g", false).expect("something to ask")
    };
    let first = ask(&mut pool, 0);
    assert!(!pool.is_leader_silent(at(400), at(0)));
    assert!(pool.is_leader_silent(at(600), at(0)));
    // Something else of it was heard.
    assert!(!pool.is_leader_silent(at(600), at(500)));
    // Answers that take 200 ms make it a slow one.
    let mut answered = first;
    for turn in 1..20 {
        let answer = CreditResponse {
            term: 1,
            sequence: answered.sequence,
            grants: Vec::new(),
        };
        pool.answer(at(turn * 300 - 100), &answer);
        answered = ask(&mut pool, turn * 300);
    }
    assert!(!pool.is_leader_silent(at(19 * 300 + 1_000), at(0)));
    assert!(pool.is_leader_silent(at(19 * 300 + 2_000), at(0)));
}

/// Gateways left a busy leader, found the same one again half a second later and were told everything anew, which made
/// it busier: its answers came after half a second, and each was thrown away with the connection that it was owed on, so
/// that the gateway never learned how long this leader takes. Evidence: the same leader found three times in four
/// seconds by one gateway, and told all instances each time.
#[test]
fn a_gateway_that_left_a_leader_for_silent_waits_longer_for_its_next_answer() {
    let tenant = "t".into();
    let mut pool = CreditPool::new(TERMS);
    let mut patience = Vec::new();
    for turn in 0..4 {
        let begun = turn * 10_000;
        pool.open(at(begun), &tenant, LARGE_TENANT, 9_800, PATIENCE);
        pool.message(at(begun), "g", false)
            .expect("something to ask");
        let silent = (begun..begun + 10_000).find(|now| pool.is_leader_silent(at(*now), at(begun)));
        let silent = silent.expect("a leader that says nothing counts as silent");
        patience.push(silent - begun);
        pool.disconnected(at(silent));
    }
    assert!(
        patience.is_sorted_by(|one, next| one < next),
        "{patience:?}"
    );
    // Whoever answers at once after that is soon expected to.
    for turn in 0..40 {
        let asked = 50_000 + turn * 100;
        pool.open(at(asked), &tenant, LARGE_TENANT, 9_800, PATIENCE);
        let message = pool.message(at(asked), "g", false);
        let answer = CreditResponse {
            term: 1,
            sequence: message.expect("something to ask").sequence,
            grants: Vec::new(),
        };
        pool.answer(at(asked + 4), &answer);
    }
    pool.open(at(60_000), &tenant, LARGE_TENANT, 9_800, PATIENCE);
    pool.message(at(60_000), "g", false);
    assert!(pool.is_leader_silent(at(60_600), at(60_000)));
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Lose,
    Elect,
    Cut(usize),
    Heal(usize),
    Restart(usize),
    Calm,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        Just(Fault::Lose),
        Just(Fault::Elect),
        (0..8_usize).prop_map(Fault::Cut),
        (0..8_usize).prop_map(Fault::Heal),
        (0..8_usize).prop_map(Fault::Restart),
        Just(Fault::Calm),
    ];
    prop::collection::vec(fault, 1..16)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// Whatever fails, and however often, no window holds more than the contract bears.
    #[test]
    fn no_window_holds_more_than_the_contract_bears(
        seed in any::<u64>(),
        gateways in 2..24_usize,
        large_tenant in any::<bool>(),
        excess in 0.5..6.0_f64,
        faults in faults(),
    ) {
        let limit = if large_tenant { LARGE_TENANT } else { SMALL_TENANT };
        let mut world = World::new(seed, gateways, limit);
        let mut changes = 0;
        for fault in faults {
            match fault {
                Fault::Lose => world.lose_leader(),
                // Two changes of leader in a window are what the opening part is made for; elections take as
                // long as a lease.
                Fault::Elect if world.leader.is_none() && changes < 2 => {
                    changes += 1;
                    world.run(500, limit.units_per_second as f64 * excess, 9_800);
                    world.elect();
                }
                Fault::Cut(gateway) => world.cut_off(gateway % gateways),
                Fault::Heal(gateway) => world.cut[gateway % gateways] = false,
                Fault::Restart(gateway) => world.restart(gateway % gateways),
                Fault::Elect | Fault::Calm => {}
            }
            world.run(700, limit.units_per_second as f64 * excess, 9_800);
        }
        prop_assert!(world.worst_window() <= 1.0, "{:.3}", world.worst_window());
    }
}

/// Messages to the leader for each request: figures of docs/CAPACITY.md. Where many requests come, units are lent
/// ahead.
#[rstest]
#[case::today(81, 1.0, 1.5)]
#[case::size_to_design_for(490, 150.0, 0.3)]
fn messages_stay_few(#[case] gateways: usize, #[case] tenants: f64, #[case] most: f64) {
    let mut world = World::new(12, gateways, LARGE_TENANT);
    world.limit.units_per_second = (850_000.0 * tenants) as u64;
    world.limit.burst_units = world.limit.units_per_second;
    world.run(2_000, 470_000.0 * tenants, 9_800);
    let (before, ran) = (world.credit_messages, world.ran.len());
    world.run(2_000, 470_000.0 * tenants, 9_800);
    let messages = (world.credit_messages - before) as f64;
    let requests = (world.ran.len() - ran) as f64;
    let each = messages / requests;
    assert!(
        each < most,
        "{each:.2} messages a request, {messages} messages"
    );
}

/// Bytes of docs/CAPACITY.md.
#[test]
fn an_ask_for_one_request_is_small() {
    let mut pool = CreditPool::new(TERMS);
    let tenant = TenantName::from("tenant-0001");
    pool.open(at(0), &tenant, LARGE_TENANT, 9_800, PATIENCE);
    let request = pool
        .message(at(0), "front-zone-a-12", false)
        .expect("something to ask");
    let message = LinkMessage::Router(RouterToControl::Credit(request));
    let mut frame = Vec::new();
    codec::write_frame(&mut frame, &message).expect("encodes");
    assert!(frame.len() <= 48, "{} bytes", frame.len());
}
