//! How stale the state of this gateway may be, and what it may serve from it.
//!
//! Documents and departures of instances are log entries that a gateway must have applied before it
//! serves. The gateway tracks the index up to which it has applied them, and the latest time of its
//! own clock at which that index was confirmed to be the newest acknowledged one. There are two
//! sources of confirmation:
//!
//! - The leader responds to a report. The state that it had committed and sent by then was the
//!   newest when the report was sent. Delays in either direction only make the confirmed time older.
//! - A majority of the voters responds to a query round, and none of them requires an index beyond
//!   the applied one. An entry acknowledged before the round began is in the log of a member of any
//!   majority. This needs no leader.

use crate::dispatcher::Dispatcher;
use millpass_proto::{Duration, FreshnessResponse, GatewayReport, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Most reports whose send time is kept.
const MAX_REPORTS: usize = 64;
/// Shortest time between two kept reports. Urgent reports are sent every 5 ms, and the kept ones
/// must reach back beyond any staleness limit (3.2 s), as a busy leader responds late. A response to a
/// report that was not kept counts from the one kept before it.
const REPORT_KEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Most members whose responses are kept; a group has at most nine voters.
const MAX_MEMBERS: usize = 64;
/// Most rounds whose start is kept; later responses are ignored.
const MAX_ROUNDS: usize = 64;
/// Least time without confirmation before members are queried: two reports at the usual interval of
/// 300 ms went unanswered.
const QUERY_AFTER: Duration = Duration::from_millis(700);
/// The same as a fraction of the staleness limit. A leader of many gateways responds to each less
/// often, and all of them would query every member meanwhile.
const QUERY_AFTER_FRACTION: f64 = 0.35;
/// Longest gap between two rounds of a running gateway. After a longer one the process was
/// suspended or starved, and missing responses say nothing about the members.
const MAX_ROUND_GAP: Duration = Duration::from_millis(1_500);
/// Time for which members must have been queried without a confirmation before they count as
/// unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// Time for which a member's view of the leader is valid; about as long as an election takes.
const LEADERSHIP_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a leader that responded counts as alive; covers two query rounds.
const LEADER_RESPONSE_LIFETIME: Duration = Duration::from_millis(500);

/// Staleness limits of what a gateway serves.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessSettings {
    /// Time after an acknowledgement by which a change is in force at every gateway.
    pub max_staleness: Duration,
    /// Time after the acknowledgement of a departure by which no more requests arrive at the
    /// instance.
    pub max_departure_staleness: Duration,
    /// Longest time from the choice of an instance to the arrival of the request there; it is
    /// deducted from `max_departure_staleness`.
    pub max_send_delay: Duration,
    /// Time without confirmation for which a gateway that reaches no majority of the members keeps
    /// serving its known routes.
    pub max_isolated_staleness: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            max_staleness: Duration::from_millis(2_000),
            max_departure_staleness: Duration::from_millis(2_000),
            max_send_delay: Duration::from_millis(350),
            max_isolated_staleness: Duration::from_millis(300_000),
        }
    }
}

/// How fresh the state of a gateway is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Everything acknowledged longer ago than the staleness limit has been applied.
    Confirmed,
    /// No majority of the members is reachable, and no newer entry is known: known routes are
    /// served, and nothing is reported as missing.
    Isolated,
    /// The state may be stale or was never confirmed: nothing is served from it.
    Unconfirmed,
}

impl Freshness {
    /// Returns the state code used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Freshness::Confirmed => "confirmed",
            Freshness::Isolated => "cut-off",
            Freshness::Unconfirmed => "unconfirmed",
        }
    }
}

/// What members report about the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// No member has responded recently.
    Unknown,
    /// The members that responded reported no leader.
    NoLeader,
    /// The member at this peer address leads.
    Leader(SocketAddr),
}

/// The latest response of a member.
#[derive(Debug)]
struct MemberResponse {
    /// Start of the round to which it responds.
    queried_at: Timestamp,
    response: FreshnessResponse,
}

/// Tracks the applied index and the time at which it was last confirmed.
#[derive(Debug, Default)]
pub(crate) struct FreshnessTracker {
    applied_index: u64,
    confirmed_at: Option<Timestamp>,
    /// Sequence number and send time of reports, newest last.
    reports: VecDeque<(u64, Timestamp)>,
    /// Newest report that the leader has acknowledged.
    acknowledged: u64,
    last_round: u64,
    /// Number and start of rounds, newest last.
    rounds: VecDeque<(u64, Timestamp)>,
    /// Since when members have been queried without a confirmation while this process ran.
    querying_since: Option<Timestamp>,
    responses: BTreeMap<MemberId, MemberResponse>,
    /// Peer addresses of the known members.
    members: BTreeSet<SocketAddr>,
    /// Peer addresses of the voters in the newest membership received; empty before the first
    /// response.
    voters: BTreeSet<SocketAddr>,
    /// Last contact with each address.
    last_contact: BTreeMap<SocketAddr, Timestamp>,
    /// Last update of a leader, however stale its content.
    leader_contact_at: Option<Timestamp>,
}

impl FreshnessTracker {
    /// Returns the log index up to which required entries have been applied.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Records that required entries have been applied up to this index. Earlier responses of
    /// members may already confirm it.
    pub(crate) fn record_applied(&mut self, applied_index: u64) {
        if applied_index > self.applied_index {
            self.applied_index = applied_index;
            self.confirm_by_majority();
        }
    }

    pub(crate) fn record_report(&mut self, now: Timestamp, report: &GatewayReport) {
        let last = self.reports.back().map(|(_, at)| *at);
        if last.is_none_or(|at| now.since(at) >= REPORT_KEEP_INTERVAL) {
            push_bounded(&mut self.reports, (report.sequence, now), MAX_REPORTS);
        }
    }

    /// Records an update of a leader: this gateway is not isolated.
    pub(crate) fn record_leader_contact(&mut self, now: Timestamp) {
        self.leader_contact_at = Some(now);
    }

    /// Records that the leader acknowledged a report with its whole committed state.
    pub(crate) fn record_acknowledgement(&mut self, report: u64) {
        self.acknowledged = self.acknowledged.max(report);
        let kept = self.reports.iter().rev();
        let before = kept.filter(|(sequence, _)| *sequence <= report);
        if let Some((_, sent_at)) = before.max_by_key(|(sequence, _)| *sequence) {
            self.confirm(*sent_at);
        }
    }

    fn confirm(&mut self, at: Timestamp) {
        if self.confirmed_at.is_none_or(|known| known < at) {
            self.confirmed_at = Some(at);
            self.querying_since = None;
        }
    }

    /// Returns the age of the last confirmation; none before the first.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns true if members should be queried.
    pub(crate) fn is_query_due(&self, now: Timestamp, max_staleness: Duration) -> bool {
        let after = QUERY_AFTER.max(max_staleness.mul_f64(QUERY_AFTER_FRACTION));
        self.age(now).is_none_or(|age| age >= after)
    }

    /// Returns true if the leader has acknowledged this report or a later one.
    pub(crate) fn is_acknowledged(&self, report: u64) -> bool {
        self.acknowledged >= report
    }

    /// Begins a query round and returns its number.
    pub(crate) fn begin_query_round(&mut self, now: Timestamp) -> u64 {
        let last = self.rounds.back().map(|(_, at)| *at);
        let was_running = last.is_some_and(|at| now.since(at) <= MAX_ROUND_GAP);
        if !was_running || self.querying_since.is_none() {
            self.querying_since = Some(now);
        }
        self.last_round += 1;
        push_bounded(&mut self.rounds, (self.last_round, now), MAX_ROUNDS);
        self.last_round
    }

    /// Records a member's response. Returns true if it brought a newer confirmation.
    pub(crate) fn record_response(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        response: FreshnessResponse,
    ) -> bool {
        self.record_contact(now, address);
        let Some(queried_at) = time_of(&self.rounds, response.round) else {
            return false;
        };
        let member = response.member;
        let known = self.responses.get(&member);
        if known.is_some_and(|known| known.queried_at > queried_at) {
            return false;
        }
        if known.is_none() && self.responses.len() >= MAX_MEMBERS {
            self.evict_oldest_response();
        }
        self.responses.insert(
            member,
            MemberResponse {
                queried_at,
                response,
            },
        );
        self.confirm_by_majority()
    }

    fn evict_oldest_response(&mut self) {
        let oldest = self
            .responses
            .iter()
            .min_by_key(|(_, found)| found.queried_at);
        if let Some(member) = oldest.map(|(member, _)| *member) {
            self.responses.remove(&member);
        }
    }

    /// Confirms the latest time at which a majority of each voter set required nothing beyond the
    /// applied index. The voters are those of the newest membership received: if a newer one were
    /// in force, a member of each majority would hold it.
    fn confirm_by_majority(&mut self) -> bool {
        let responses = self.responses.values();
        let Some(newest) = responses.max_by_key(|found| found.response.membership_index) else {
            return false;
        };
        let response = &newest.response;
        let addresses = response.addresses.iter();
        let addresses: BTreeSet<SocketAddr> =
            addresses.filter_map(|text| text.parse().ok()).collect();
        let voters = self.confirmed_by(&response.voters);
        let outgoing = match response.outgoing_voters.is_empty() {
            true => voters,
            false => self.confirmed_by(&response.outgoing_voters),
        };
        self.voters = addresses;
        let (Some(voters), Some(outgoing)) = (voters, outgoing) else {
            return false;
        };
        let before = self.confirmed_at;
        self.confirm(voters.min(outgoing));
        self.confirmed_at != before
    }

    /// Returns the latest time at which a majority of these voters required nothing newer.
    fn confirmed_by(&self, voters: &[MemberId]) -> Option<Timestamp> {
        let agrees = |voter: &MemberId| {
            let found = self.responses.get(voter)?;
            (found.response.required_index <= self.applied_index).then_some(found.queried_at)
        };
        let mut times: Vec<Timestamp> = voters.iter().filter_map(agrees).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(voters.len() / 2).copied()
    }

    pub(crate) fn record_contact(&mut self, now: Timestamp, address: SocketAddr) {
        if self.last_contact.len() < MAX_MEMBERS || self.last_contact.contains_key(&address) {
            self.last_contact.insert(address, now);
        }
    }

    /// Sets the peer addresses of the known members.
    pub(crate) fn set_members(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.members = addresses;
    }

    /// Returns the peer addresses to query: all that are known, so that a group whose voters have
    /// all moved is found.
    pub(crate) fn members_to_query(&self) -> Vec<SocketAddr> {
        let known = self.members.union(&self.voters);
        known.copied().take(MAX_MEMBERS).collect()
    }

    /// Returns the leader recently reported by the member with the highest term.
    pub(crate) fn leadership(&self, now: Timestamp) -> Leadership {
        let responses = self.responses.values();
        let fresh = responses.filter(|found| now.since(found.queried_at) <= LEADERSHIP_LIFETIME);
        let newest = fresh.max_by_key(|found| {
            let response = &found.response;
            (response.term, response.leader.is_some())
        });
        let Some(newest) = newest else {
            return Leadership::Unknown;
        };
        let leader = newest.response.leader.as_deref();
        let leader = leader.and_then(|text| text.parse().ok());
        leader.map_or(Leadership::NoLeader, Leadership::Leader)
    }

    /// Returns true if the member at this address responded recently and is reported to lead.
    pub(crate) fn is_leading(&self, now: Timestamp, address: SocketAddr) -> bool {
        let contact = self.last_contact.get(&address);
        let has_responded = contact.is_some_and(|at| now.since(*at) <= LEADER_RESPONSE_LIFETIME);
        has_responded && self.leadership(now) == Leadership::Leader(address)
    }

    /// Returns the newest index that members require.
    pub(crate) fn newest_required(&self) -> u64 {
        let responses = self.responses.values();
        responses
            .map(|found| found.response.required_index)
            .max()
            .unwrap_or(0)
    }

    /// Returns what may be served now.
    pub(crate) fn freshness(&self, now: Timestamp, settings: &FreshnessSettings) -> Freshness {
        let Some(age) = self.age(now) else {
            return Freshness::Unconfirmed;
        };
        if age <= settings.max_staleness {
            return Freshness::Confirmed;
        }
        // Entries that members require may be in force even if these members are no longer
        // reachable.
        let has_all_required = self.newest_required() <= self.applied_index;
        let is_isolated = age <= settings.max_isolated_staleness
            && self.is_majority_unreachable(now, settings.max_staleness);
        match is_isolated && has_all_required {
            true => Freshness::Isolated,
            false => Freshness::Unconfirmed,
        }
    }

    /// Returns true if members have been queried for some time by a running process, and there was
    /// no contact with a majority of the voters, nor with a leader, within `recent`.
    fn is_majority_unreachable(&self, now: Timestamp, recent: Duration) -> bool {
        let queried = self
            .querying_since
            .is_some_and(|since| now.since(since) >= UNREACHABLE_AFTER);
        let last = self.rounds.back().map(|(_, at)| *at);
        let is_running = last.is_some_and(|at| now.since(at) <= MAX_ROUND_GAP);
        let has_contact = |address: &&SocketAddr| {
            let at = self.last_contact.get(*address);
            at.is_some_and(|at| now.since(*at) <= recent)
        };
        let voters = match self.voters.is_empty() {
            true => &self.members,
            false => &self.voters,
        };
        let contacted = voters.iter().filter(has_contact).count();
        let has_leader_contact = self
            .leader_contact_at
            .is_some_and(|at| now.since(at) <= recent);
        queried && is_running && !has_leader_contact && contacted * 2 <= voters.len()
    }
}

impl Dispatcher {
    /// Returns how fresh the state of this gateway is.
    pub fn freshness(&self, now: Timestamp) -> Freshness {
        // Callers have seen the effect of a newer document through another gateway.
        if self.shown_version > self.version() {
            return Freshness::Unconfirmed;
        }
        self.freshness.freshness(now, &self.settings.freshness)
    }

    /// Returns how fresh the state will be when a request that is sent now arrives.
    pub(crate) fn freshness_on_arrival(&self, now: Timestamp) -> Freshness {
        let settings = &self.settings.freshness;
        let margin = settings
            .max_staleness
            .saturating_sub(settings.max_departure_staleness);
        self.freshness(now + settings.max_send_delay + margin)
    }

    /// Returns the time since the state was last confirmed to be the newest; none before the first
    /// confirmation.
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns the log index up to which required entries have been applied, and the newest that
    /// members require.
    pub fn required_indexes(&self) -> (u64, u64) {
        (
            self.freshness.applied_index(),
            self.freshness.newest_required(),
        )
    }

    /// Begins a query round if one is due or `at_once` is set, and returns its number.
    pub fn begin_query_round(&mut self, now: Timestamp, at_once: bool) -> Option<u64> {
        let max_staleness = self.settings.freshness.max_staleness;
        let due = at_once || self.freshness.is_query_due(now, max_staleness);
        due.then(|| self.freshness.begin_query_round(now))
    }

    /// Returns the peer addresses to query.
    pub fn members_to_query(&self) -> Vec<SocketAddr> {
        self.freshness.members_to_query()
    }

    /// Records the response of the member at a peer address. Returns true if it brought a newer
    /// confirmation.
    pub fn record_freshness_response(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        response: FreshnessResponse,
    ) -> bool {
        self.freshness.record_response(now, address, response)
    }

    /// Records contact with the member at this peer address.
    pub fn record_member_contact(&mut self, now: Timestamp, address: SocketAddr) {
        self.freshness.record_contact(now, address);
    }

    /// Sets the peer addresses of the known members.
    pub fn set_members(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.freshness.set_members(addresses);
    }

    /// Returns what members recently reported about the leader.
    pub fn leadership(&self, now: Timestamp) -> Leadership {
        self.freshness.leadership(now)
    }

    /// Returns true if the member at this peer address responded recently and is reported to lead.
    pub fn is_leading(&self, now: Timestamp, address: SocketAddr) -> bool {
        self.freshness.is_leading(now, address)
    }

    /// Returns true if nothing has been applied yet, or if members require newer entries. Any
    /// member can relay committed entries.
    pub fn is_missing_updates(&self) -> bool {
        let (applied_index, newest) = self.required_indexes();
        applied_index == 0 || newest > applied_index
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
