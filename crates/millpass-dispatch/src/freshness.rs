//! How old what this gateway knows may be, and so what it may answer by it.
//!
//! What binds a gateway are entries of the control group's log: documents, and departures of instances. The gateway
//! knows up to which index it has been told of them, and at which moment of its own clock these were known to be
//! all that had been acknowledged. Two things tell it so:
//!
//! - The leader answers a report. What it had committed when it answered, and the gateway was told of, was the newest
//!   when the report was sent. The time that messages wait on either way only makes the moment older.
//! - A majority of the voters answers a round of questions, and none of them has an entry that binds beyond
//!   the index. An entry that was acknowledged before the round began is in the log of one of any majority.
//!   This takes no leader.

use crate::dispatcher::Dispatcher;
use millpass_proto::{Duration, FreshnessResponse, GatewayReport, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Reports whose sending is remembered.
const MAXIMUM_REPORTS: usize = 64;
/// Shortest time between two of them: urgent reports leave every 5 ms, and all that are remembered must reach back
/// beyond any bound (3.2 s), as answers of a busy leader are late. An answer to one between counts from the one before.
const REMEMBERED_INTERVAL: Duration = Duration::from_millis(50);
/// Members whose answers are kept; a group has nine voters at most.
const MAXIMUM_MEMBERS: usize = 64;
/// Rounds whose beginning is remembered. An answer that comes later is of no use any more.
const MAXIMUM_ROUNDS: usize = 64;
/// Least time without confirmation after which members are asked: two reports at the usual pause of 300 ms have gone
/// unanswered.
const ASK_AFTER: Duration = Duration::from_millis(700);
/// The same as a share of the bound for what is in force. A leader of many gateways answers each of them less often, and
/// all of them would ask every member meanwhile.
const ASK_AFTER_SHARE: f64 = 0.35;
/// Longest time between two rounds of a gateway that runs. After more it was suspended or had no processor, and what
/// it did not hear meanwhile says nothing of the members.
const RUNNING_GAP: Duration = Duration::from_millis(1_500);
/// Time for which members must have been asked in vain before they count as out of reach.
const OUT_OF_REACH_AFTER: Duration = Duration::from_millis(700);

/// Time for which a member's word on who leads is gone by: an election takes about as long.
const LEADERSHIP_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a leader that answered counts as alive; two rounds of questions fit.
const LEADER_ANSWER_LIFETIME: Duration = Duration::from_millis(500);

/// Bounds of what a gateway answers by what it knows.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessSettings {
    /// Time after an acknowledgement by which what it promises is in force at each gateway.
    pub in_force: Duration,
    /// The same of a departure: from then on no request arrives at the instance.
    pub departed: Duration,
    /// Time from the choice of an instance to the arrival of the request there, at most: what is chosen later than this
    /// before the end of `departed` would arrive after it.
    pub sending: Duration,
    /// Time without confirmation for which a gateway that reaches no majority of the members goes on with the
    /// routes that it knows.
    pub cut_off: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            in_force: Duration::from_millis(2_000),
            departed: Duration::from_millis(2_000),
            sending: Duration::from_millis(350),
            cut_off: Duration::from_millis(300_000),
        }
    }
}

/// How new what a gateway knows is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Nothing that it does not know was acknowledged longer ago than the bound.
    Confirmed,
    /// That cannot be confirmed, as no majority of the members is reached, and nothing newer was heard of: known routes are
    /// served, and nothing is said not to exist.
    CutOff,
    /// It may be outdated, or nothing was ever confirmed: nothing is answered by it.
    Unconfirmed,
}

impl Freshness {
    /// The state in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Freshness::Confirmed => "confirmed",
            Freshness::CutOff => "cut-off",
            Freshness::Unconfirmed => "unconfirmed",
        }
    }
}

/// What members say of who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// None has answered lately.
    Unknown,
    /// Those that answered know of no leader.
    Vacant,
    /// The member at this peer address leads.
    Named(SocketAddr),
}

/// A member's newest answer.
#[derive(Debug)]
struct MemberAnswer {
    /// When the round that it answers began.
    asked_at: Timestamp,
    response: FreshnessResponse,
}

/// What a gateway knows of the age of its knowledge.
#[derive(Debug, Default)]
pub(crate) struct FreshnessTracker {
    as_of: u64,
    confirmed_at: Option<Timestamp>,
    /// Numbers of reports with when they were sent, the newest last.
    reports: VecDeque<(u64, Timestamp)>,
    /// Number of the newest report that the leader has answered.
    answered: u64,
    last_round: u64,
    /// Rounds with when they began, the newest last.
    rounds: VecDeque<(u64, Timestamp)>,
    /// Since when members have been asked without a confirmation, while this process ran.
    asking_since: Option<Timestamp>,
    answers: BTreeMap<MemberId, MemberAnswer>,
    /// Peer addresses of the members that are known.
    members: BTreeSet<SocketAddr>,
    /// Peer addresses of the voters, as the newest membership names them; empty before the first answer.
    voters: BTreeSet<SocketAddr>,
    /// When each address was last heard from, or connected to.
    reached: BTreeMap<SocketAddr, Timestamp>,
    /// When a leader's update last came, however old what it answers.
    leader_heard_at: Option<Timestamp>,
}

impl FreshnessTracker {
    /// Log index up to which the gateway was told of what binds it.
    pub(crate) fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Notes that the gateway holds what binds it up to this index. Members may have answered already that there is
    /// nothing beyond it.
    pub(crate) fn told(&mut self, as_of: u64) {
        if as_of > self.as_of {
            self.as_of = as_of;
            self.confirm_by_majority();
        }
    }

    /// Notes that a report leaves now.
    pub(crate) fn reported(&mut self, now: Timestamp, report: &GatewayReport) {
        let last = self.reports.back().map(|(_, at)| *at);
        if last.is_none_or(|at| now.since(at) >= REMEMBERED_INTERVAL) {
            push_bounded(&mut self.reports, (report.sequence, now), MAXIMUM_REPORTS);
        }
    }

    /// An update of a leader came: this gateway is not cut off.
    pub(crate) fn leader_heard(&mut self, now: Timestamp) {
        self.leader_heard_at = Some(now);
    }

    /// The leader answered this report with all that it had committed.
    pub(crate) fn answered(&mut self, report: u64) {
        self.answered = self.answered.max(report);
        let remembered = self.reports.iter().rev();
        let before = remembered.filter(|(sequence, _)| *sequence <= report);
        if let Some((_, sent_at)) = before.max_by_key(|(sequence, _)| *sequence) {
            self.confirm(*sent_at);
        }
    }

    fn confirm(&mut self, at: Timestamp) {
        if self.confirmed_at.is_none_or(|known| known < at) {
            self.confirmed_at = Some(at);
            self.asking_since = None;
        }
    }

    /// Age of the last confirmation; none before the first.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether members should be asked, where what is in force has this bound.
    pub(crate) fn is_asking_due(&self, now: Timestamp, in_force: Duration) -> bool {
        let after = ASK_AFTER.max(in_force.mul_f64(ASK_AFTER_SHARE));
        self.age(now).is_none_or(|age| age >= after)
    }

    /// Whether the leader has answered this report, or a later one.
    pub(crate) fn is_answered(&self, report: u64) -> bool {
        self.answered >= report
    }

    /// Begins a round of questions; gives its number.
    pub(crate) fn begin_round(&mut self, now: Timestamp) -> u64 {
        let last = self.rounds.back().map(|(_, at)| *at);
        let ran = last.is_some_and(|at| now.since(at) <= RUNNING_GAP);
        if !ran || self.asking_since.is_none() {
            self.asking_since = Some(now);
        }
        self.last_round += 1;
        push_bounded(&mut self.rounds, (self.last_round, now), MAXIMUM_ROUNDS);
        self.last_round
    }

    /// Takes a member's answer. True when it brought a newer confirmation.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        response: FreshnessResponse,
    ) -> bool {
        self.note_reached(now, address);
        let Some(asked_at) = time_of(&self.rounds, response.round) else {
            return false;
        };
        let member = response.member;
        let known = self.answers.get(&member);
        if known.is_some_and(|known| known.asked_at > asked_at) {
            return false;
        }
        if known.is_none() && self.answers.len() >= MAXIMUM_MEMBERS {
            self.drop_oldest_answer();
        }
        self.answers
            .insert(member, MemberAnswer { asked_at, response });
        self.confirm_by_majority()
    }

    fn drop_oldest_answer(&mut self) {
        let oldest = self.answers.iter().min_by_key(|(_, found)| found.asked_at);
        if let Some(member) = oldest.map(|(member, _)| *member) {
            self.answers.remove(&member);
        }
    }

    /// The newest moment for which a majority of each set of voters says that nothing binds beyond what is known. The
    /// voters are those of the newest membership that any answer holds: had a newer one come into force, a
    /// member of each majority would hold it.
    fn confirm_by_majority(&mut self) -> bool {
        let answers = self.answers.values();
        let Some(newest) = answers.max_by_key(|found| found.response.membership_index) else {
            return false;
        };
        let response = &newest.response;
        let addresses = response.addresses.iter();
        let addresses: BTreeSet<SocketAddr> =
            addresses.filter_map(|text| text.parse().ok()).collect();
        let voters = self.agreed_at(&response.voters);
        let outgoing = match response.outgoing_voters.is_empty() {
            true => voters,
            false => self.agreed_at(&response.outgoing_voters),
        };
        self.voters = addresses;
        let (Some(voters), Some(outgoing)) = (voters, outgoing) else {
            return false;
        };
        let before = self.confirmed_at;
        self.confirm(voters.min(outgoing));
        self.confirmed_at != before
    }

    /// The newest moment at which a majority of these voters had nothing newer.
    fn agreed_at(&self, voters: &[MemberId]) -> Option<Timestamp> {
        let agrees = |voter: &MemberId| {
            let found = self.answers.get(voter)?;
            (found.response.required_index <= self.as_of).then_some(found.asked_at)
        };
        let mut moments: Vec<Timestamp> = voters.iter().filter_map(agrees).collect();
        moments.sort_unstable_by(|left, right| right.cmp(left));
        moments.get(voters.len() / 2).copied()
    }

    /// Notes that a member was connected to or heard.
    pub(crate) fn note_reached(&mut self, now: Timestamp, address: SocketAddr) {
        if self.reached.len() < MAXIMUM_MEMBERS || self.reached.contains_key(&address) {
            self.reached.insert(address, now);
        }
    }

    /// Takes the addresses of the members that are known.
    pub(crate) fn set_members(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.members = addresses;
    }

    /// Peer addresses to ask: all that are known, so that a group whose voters have all moved is found.
    pub(crate) fn members_to_ask(&self) -> Vec<SocketAddr> {
        let known = self.members.union(&self.voters);
        known.copied().take(MAXIMUM_MEMBERS).collect()
    }

    /// What members said lately of who leads, the highest term first.
    pub(crate) fn leadership(&self, now: Timestamp) -> Leadership {
        let answers = self.answers.values();
        let fresh = answers.filter(|found| now.since(found.asked_at) <= LEADERSHIP_LIFETIME);
        let newest = fresh.max_by_key(|found| {
            let response = &found.response;
            (response.term, response.leader.is_some())
        });
        let Some(newest) = newest else {
            return Leadership::Unknown;
        };
        let leader = newest.response.leader.as_deref();
        let leader = leader.and_then(|text| text.parse().ok());
        leader.map_or(Leadership::Vacant, Leadership::Named)
    }

    /// Whether the member at this address has answered lately, and is said to lead.
    pub(crate) fn is_leading(&self, now: Timestamp, address: SocketAddr) -> bool {
        let reached = self.reached.get(&address);
        let answered = reached.is_some_and(|at| now.since(*at) <= LEADER_ANSWER_LIFETIME);
        answered && self.leadership(now) == Leadership::Named(address)
    }

    /// Index of the newest entry that binds, of those that members told of.
    pub(crate) fn newest_heard(&self) -> u64 {
        let answers = self.answers.values();
        answers
            .map(|found| found.response.required_index)
            .max()
            .unwrap_or(0)
    }

    /// What may be answered now.
    pub(crate) fn freshness(&self, now: Timestamp, settings: &FreshnessSettings) -> Freshness {
        let Some(age) = self.age(now) else {
            return Freshness::Unconfirmed;
        };
        if age <= settings.in_force {
            return Freshness::Confirmed;
        }
        // What members spoke of may be in force, whether they are still reached or not.
        let knows_all_heard = self.newest_heard() <= self.as_of;
        let cut_off = age <= settings.cut_off && self.is_out_of_reach(now, settings.in_force);
        match cut_off && knows_all_heard {
            true => Freshness::CutOff,
            false => Freshness::Unconfirmed,
        }
    }

    /// Whether members were asked for some time by a process that ran, and a majority of them was neither heard
    /// nor connected to within `recent`.
    fn is_out_of_reach(&self, now: Timestamp, recent: Duration) -> bool {
        let asked = self
            .asking_since
            .is_some_and(|since| now.since(since) >= OUT_OF_REACH_AFTER);
        let last = self.rounds.back().map(|(_, at)| *at);
        let runs = last.is_some_and(|at| now.since(at) <= RUNNING_GAP);
        let is_reached = |address: &&SocketAddr| {
            let at = self.reached.get(*address);
            at.is_some_and(|at| now.since(*at) <= recent)
        };
        let voters = match self.voters.is_empty() {
            true => &self.members,
            false => &self.voters,
        };
        let reached = voters.iter().filter(is_reached).count();
        let hears_leader = self
            .leader_heard_at
            .is_some_and(|at| now.since(at) <= recent);
        asked && runs && !hears_leader && reached * 2 <= voters.len()
    }
}

impl Dispatcher {
    /// How new what is known here is.
    pub fn freshness(&self, now: Timestamp) -> Freshness {
        self.freshness.freshness(now, &self.settings.freshness)
    }

    /// How new what is known here will be when a request that is sent now arrives.
    pub(crate) fn freshness_on_arrival(&self, now: Timestamp) -> Freshness {
        let settings = &self.settings.freshness;
        let earlier = settings.in_force.saturating_sub(settings.departed);
        self.freshness(now + settings.sending + earlier)
    }

    /// Time since what is known here was last confirmed to be the newest; none before the first time.
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Log index up to which this gateway was told of what binds it, and the newest that members spoke of.
    pub fn binding_indexes(&self) -> (u64, u64) {
        (self.freshness.as_of(), self.freshness.newest_heard())
    }

    /// Begins a round of questions to the members if one is due, or at once; gives its number.
    pub fn begin_round(&mut self, now: Timestamp, at_once: bool) -> Option<u64> {
        let in_force = self.settings.freshness.in_force;
        let due = at_once || self.freshness.is_asking_due(now, in_force);
        due.then(|| self.freshness.begin_round(now))
    }

    /// Peer addresses to ask.
    pub fn members_to_ask(&self) -> Vec<SocketAddr> {
        self.freshness.members_to_ask()
    }

    /// Takes the answer of the member at a peer address. True when it confirms what is known anew.
    pub fn take_freshness(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        response: FreshnessResponse,
    ) -> bool {
        self.freshness.take(now, address, response)
    }

    /// The member at this peer address was connected to, or heard.
    pub fn member_reached(&mut self, now: Timestamp, address: SocketAddr) {
        self.freshness.note_reached(now, address);
    }

    /// Takes the peer addresses of the members that are known.
    pub fn set_members(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.freshness.set_members(addresses);
    }

    /// What members said lately of who leads.
    pub fn leadership(&self, now: Timestamp) -> Leadership {
        self.freshness.leadership(now)
    }

    /// Whether the member at this peer address has answered lately, and is said to lead.
    pub fn is_leading(&self, now: Timestamp, address: SocketAddr) -> bool {
        self.freshness.is_leading(now, address)
    }

    /// Whether members hold something that binds and was not told here: any of them can pass on what is
    /// committed.
    pub fn lacks_news(&self) -> bool {
        let (as_of, newest) = self.binding_indexes();
        as_of == 0 || newest > as_of
    }
}

fn push_bounded(list: &mut VecDeque<(u64, Timestamp)>, entry: (u64, Timestamp), most: usize) {
    list.push_back(entry);
    if list.len() > most {
        list.pop_front();
    }
}

fn time_of(list: &VecDeque<(u64, Timestamp)>, number: u64) -> Option<Timestamp> {
    let found = list.iter().rev().find(|(listed, _)| *listed == number);
    found.map(|(_, at)| *at)
}
