//! Claims: the one run of a request that may not be repeated.
//!
//! Invariant: a key that is not expired has at most one attempt to which the run was granted,
//! unless that attempt itself said that nothing ran. A claim is forgotten only when its key was
//! born before the threshold, and such keys are never granted again. Over its bounds the table
//! refuses new claims; it never forgets early.

use crate::refusal::Refusal;
use millpass_proto::{
    AbandonClaims, ClaimBegin, ClaimConclusion, ClaimDecision, ClaimFinish, ClaimKey, ExpireClaims,
    Incarnation, RecordedAnswer, RouterName, TenantName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Claims kept over all tenants.
pub const MAXIMUM_CLAIMS: usize = 500_000;
/// Claims kept of one tenant, so that no tenant takes the table from the others.
pub const MAXIMUM_CLAIMS_PER_TENANT: usize = MAXIMUM_CLAIMS / 8;
/// Largest recorded answer, in bytes of its body and content type.
pub const MAXIMUM_ANSWER_BYTES: usize = 64 * 1024;
/// Bytes of recorded answers kept of one tenant.
pub const MAXIMUM_ANSWER_BYTES_PER_TENANT: u64 = 16 * 1024 * 1024;
/// Bytes of recorded answers kept over all tenants.
pub const MAXIMUM_TOTAL_ANSWER_BYTES: u64 = 128 * 1024 * 1024;
/// Longest time from a key's birth in which it may be claimed, in milliseconds, whatever the
/// deployment's setting says.
pub const MAXIMUM_CLAIM_AGE_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// How far a key's birth may lie ahead of the greatest time seen, in milliseconds: the allowance
/// for clocks that differ.
pub const MAXIMUM_CLOCK_SKEW_MILLIS: u64 = 5 * 60 * 1_000;

/// Runs of routers whose attempts at one key are remembered. Beyond it the oldest is forgotten: a
/// copy of its attempt that comes later still can hold the key until that run ends, yet nothing
/// runs under it.
pub const MAXIMUM_REMEMBERED_RUNS: usize = 32;

/// BLAKE3 hash of tenant and key: a fixed size whatever callers send.
type ClaimId = [u8; 32];

/// Who holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    router: RouterName,
    incarnation: Incarnation,
    attempt: u64,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// The holder may dispatch, or has.
    Open,
    /// It ran and this is its answer.
    Answered(RecordedAnswer),
    /// It may have run and is never run again.
    MayHaveRun,
    /// The holder said that nothing ran; another attempt may claim the key.
    Released,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    tenant: TenantName,
    digest: [u8; 32],
    born_unix_millis: u64,
    holder: Holder,
    phase: Phase,
    /// Latest attempt of each run of a router that was decided on, oldest run first. A router
    /// counts its attempts upwards, so that an attempt no later than this is a copy.
    decided: Vec<Holder>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TenantUsage {
    claims: usize,
    answer_bytes: u64,
}

/// The table of claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    claims: BTreeMap<ClaimId, Claim>,
    by_birth: BTreeSet<(u64, ClaimId)>,
    /// Open claims of each run of a router.
    open: BTreeMap<(RouterName, Incarnation), BTreeSet<ClaimId>>,
    usage: BTreeMap<TenantName, TenantUsage>,
    total_answer_bytes: u64,
    /// Keys born before are expired.
    born_after_unix_millis: u64,
    /// Greatest wall-clock time seen in a claim.
    latest_unix_millis: u64,
}

impl Claims {
    pub(crate) fn begin(&mut self, begin: &ClaimBegin) -> ClaimDecision {
        self.latest_unix_millis = self.latest_unix_millis.max(begin.at_unix_millis);
        let id = claim_id(&begin.tenant, &begin.key);
        if let Some(claim) = self.claims.get(&id) {
            return self.begin_again(id, claim.decide(begin), begin);
        }
        if let Some(refusal) = self.refuse_new(begin) {
            return refusal;
        }
        self.insert(id, begin);
        ClaimDecision::Granted
    }

    /// A claim of a key that is in the table; `decision` is none if the key was released.
    fn begin_again(
        &mut self,
        id: ClaimId,
        decision: Option<ClaimDecision>,
        begin: &ClaimBegin,
    ) -> ClaimDecision {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.remember(holder_of(begin));
        }
        if let Some(decision) = decision {
            return decision;
        }
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.holder = holder_of(begin);
            claim.phase = Phase::Open;
        }
        self.open_claim(id, begin);
        ClaimDecision::Granted
    }

    fn refuse_new(&self, begin: &ClaimBegin) -> Option<ClaimDecision> {
        let born = begin.created_unix_millis;
        let oldest = self
            .latest_unix_millis
            .saturating_sub(MAXIMUM_CLAIM_AGE_MILLIS);
        if born < self.born_after_unix_millis || born < oldest {
            return Some(ClaimDecision::Expired);
        }
        let youngest = self
            .latest_unix_millis
            .saturating_add(MAXIMUM_CLOCK_SKEW_MILLIS);
        if born > youngest {
            return Some(ClaimDecision::BornInFuture);
        }
        let usage = self.usage.get(&begin.tenant);
        let of_tenant = usage.map_or(0, |usage| usage.claims);
        if self.claims.len() >= MAXIMUM_CLAIMS || of_tenant >= MAXIMUM_CLAIMS_PER_TENANT {
            return Some(ClaimDecision::Overloaded);
        }
        None
    }

    fn insert(&mut self, id: ClaimId, begin: &ClaimBegin) {
        let claim = Claim {
            tenant: begin.tenant.clone(),
            digest: *blake3::hash(begin.digest.as_bytes()).as_bytes(),
            born_unix_millis: begin.created_unix_millis,
            holder: holder_of(begin),
            phase: Phase::Open,
            decided: vec![holder_of(begin)],
        };
        self.claims.insert(id, claim);
        self.by_birth.insert((begin.created_unix_millis, id));
        self.usage.entry(begin.tenant.clone()).or_default().claims += 1;
        self.open_claim(id, begin);
    }

    fn open_claim(&mut self, id: ClaimId, begin: &ClaimBegin) {
        let run = (begin.router.clone(), begin.router_incarnation);
        self.open.entry(run).or_default().insert(id);
    }

    fn close_claim(&mut self, id: ClaimId, holder: &Holder) {
        let run = (holder.router.clone(), holder.incarnation);
        if let Some(claims) = self.open.get_mut(&run) {
            claims.remove(&id);
            if claims.is_empty() {
                self.open.remove(&run);
            }
        }
    }

    pub(crate) fn finish(&mut self, finish: &ClaimFinish) -> Result<(), Refusal> {
        let id = claim_id(&finish.tenant, &finish.key);
        let claim = self.claims.get(&id).ok_or(Refusal::ClaimNotHeld)?;
        if !claim.holder.is(finish) {
            return Err(Refusal::ClaimNotHeld);
        }
        // A claim that was abandoned meanwhile still takes its holder's word: only the holder
        // knows, and its word can only narrow `MayHaveRun`.
        if !matches!(claim.phase, Phase::Open | Phase::MayHaveRun) {
            return Err(Refusal::NoChange);
        }
        let holder = claim.holder.clone();
        let tenant = claim.tenant.clone();
        let phase = self.concluded(&tenant, &finish.conclusion);
        if let Phase::Answered(answer) = &phase {
            let bytes = answer_bytes(answer);
            self.total_answer_bytes += bytes;
            self.usage.entry(tenant).or_default().answer_bytes += bytes;
        }
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.phase = phase;
        }
        self.close_claim(id, &holder);
        Ok(())
    }

    /// The phase that a conclusion leads to. An answer over the bounds is not kept: the claim then
    /// says that it may have run, which is true, and no half answer is ever given.
    fn concluded(&self, tenant: &TenantName, conclusion: &ClaimConclusion) -> Phase {
        let answer = match conclusion {
            ClaimConclusion::NotRun => return Phase::Released,
            ClaimConclusion::Unknown => return Phase::MayHaveRun,
            ClaimConclusion::Answered(answer) => answer,
        };
        let bytes = answer_bytes(answer);
        let used = self.usage.get(tenant).map_or(0, |usage| usage.answer_bytes);
        let fits = bytes <= MAXIMUM_ANSWER_BYTES as u64
            && used + bytes <= MAXIMUM_ANSWER_BYTES_PER_TENANT
            && self.total_answer_bytes + bytes <= MAXIMUM_TOTAL_ANSWER_BYTES;
        if fits {
            Phase::Answered(answer.clone())
        } else {
            Phase::MayHaveRun
        }
    }

    pub(crate) fn abandon(&mut self, abandon: &AbandonClaims) -> Result<(), Refusal> {
        let run = (abandon.router.clone(), abandon.router_incarnation);
        let open = self.open.remove(&run).ok_or(Refusal::NoChange)?;
        for id in open {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.phase = Phase::MayHaveRun;
            }
        }
        Ok(())
    }

    pub(crate) fn expire(&mut self, expire: &ExpireClaims) -> Result<(), Refusal> {
        if expire.created_before_unix_millis <= self.born_after_unix_millis {
            return Err(Refusal::NoChange);
        }
        self.born_after_unix_millis = expire.created_before_unix_millis;
        while let Some((born, id)) = self.by_birth.first().copied() {
            if born >= self.born_after_unix_millis {
                break;
            }
            self.by_birth.pop_first();
            self.forget(id);
        }
        Ok(())
    }

    fn forget(&mut self, id: ClaimId) {
        let Some(claim) = self.claims.remove(&id) else {
            return;
        };
        self.close_claim(id, &claim.holder);
        let bytes = match &claim.phase {
            Phase::Answered(answer) => answer_bytes(answer),
            _ => 0,
        };
        self.total_answer_bytes -= bytes;
        if let Some(usage) = self.usage.get_mut(&claim.tenant) {
            usage.claims -= 1;
            usage.answer_bytes -= bytes;
            if usage.claims == 0 {
                self.usage.remove(&claim.tenant);
            }
        }
    }

    pub(crate) fn born_after(&self) -> u64 {
        self.born_after_unix_millis
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Runs of routers that hold open claims, with how many.
    pub(crate) fn open_runs(&self) -> impl Iterator<Item = (&RouterName, Incarnation, usize)> {
        let runs = self.open.iter();
        runs.map(|((router, incarnation), claims)| (router, *incarnation, claims.len()))
    }
}

impl Claim {
    /// What a claim of this key is told; none when the key is free again.
    fn decide(&self, begin: &ClaimBegin) -> Option<ClaimDecision> {
        let same_digest = self.digest == *blake3::hash(begin.digest.as_bytes()).as_bytes();
        // A key says itself when it was born: another birth is another request.
        if !same_digest || self.born_unix_millis != begin.created_unix_millis {
            return Some(ClaimDecision::DigestMismatch);
        }
        let same_holder = self.holder == holder_of(begin);
        match &self.phase {
            Phase::Answered(answer) => Some(ClaimDecision::Answered(answer.clone())),
            Phase::MayHaveRun => Some(ClaimDecision::MayHaveRun),
            Phase::Open if same_holder => Some(ClaimDecision::Granted),
            Phase::Open => Some(ClaimDecision::InProgress),
            // A late copy of an attempt that was granted or turned away must not take the key:
            // its router has ended it and would never release it.
            Phase::Released if self.was_decided(begin) => Some(ClaimDecision::InProgress),
            Phase::Released => None,
        }
    }

    /// Whether this attempt, or a later one of the same run, was decided on before.
    fn was_decided(&self, begin: &ClaimBegin) -> bool {
        let asked = holder_of(begin);
        let mut known = self.decided.iter();
        known.any(|latest| latest.is_same_run(&asked) && latest.attempt >= asked.attempt)
    }

    /// Notes an attempt that is decided on.
    fn remember(&mut self, asked: Holder) {
        let known = self.decided.iter_mut();
        let mut of_run = known.filter(|latest| latest.is_same_run(&asked));
        if let Some(latest) = of_run.next() {
            latest.attempt = latest.attempt.max(asked.attempt);
            return;
        }
        if self.decided.len() == MAXIMUM_REMEMBERED_RUNS {
            self.decided.remove(0);
        }
        self.decided.push(asked);
    }
}

impl Holder {
    fn is_same_run(&self, other: &Holder) -> bool {
        self.router == other.router && self.incarnation == other.incarnation
    }

    fn is(&self, finish: &ClaimFinish) -> bool {
        self.router == finish.router
            && self.incarnation == finish.router_incarnation
            && self.attempt == finish.attempt
    }
}

fn holder_of(begin: &ClaimBegin) -> Holder {
    Holder {
        router: begin.router.clone(),
        incarnation: begin.router_incarnation,
        attempt: begin.attempt,
    }
}

fn answer_bytes(answer: &RecordedAnswer) -> u64 {
    (answer.body.len() + answer.content_type.len()) as u64
}

fn claim_id(tenant: &TenantName, key: &ClaimKey) -> ClaimId {
    let mut hasher = blake3::Hasher::new();
    // The length keeps (tenant, key) pairs apart whose texts run together.
    hasher.update(&(tenant.0.len() as u64).to_le_bytes());
    hasher.update(tenant.0.as_bytes());
    hasher.update(key.0.as_bytes());
    *hasher.finalize().as_bytes()
}
