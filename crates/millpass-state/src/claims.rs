//! Claims: at-most-once execution of requests that must not be repeated.
//!
//! Invariant: execution of an unexpired key is granted to at most one attempt, unless that attempt
//! itself reported that nothing ran. A claim is removed only if its key was created before the
//! expiry threshold, and such keys are never granted again. When the table is full, new claims are
//! refused; existing ones are never evicted.

use crate::refusal::Refusal;
use millpass_proto::{
    AbandonClaims, ClaimBegin, ClaimConclusion, ClaimDecision, ClaimFinish, ClaimKey, ExpireClaims,
    Incarnation, RecordedAnswer, RouterName, TenantName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum claims of all tenants.
pub const MAXIMUM_CLAIMS: usize = 500_000;
/// Maximum claims per tenant, so that no tenant can fill the table.
pub const MAXIMUM_CLAIMS_PER_TENANT: usize = MAXIMUM_CLAIMS / 8;
/// Maximum size of a recorded answer (body and content type), in bytes.
pub const MAXIMUM_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum bytes of recorded answers per tenant.
pub const MAXIMUM_ANSWER_BYTES_PER_TENANT: u64 = 16 * 1024 * 1024;
/// Maximum bytes of recorded answers of all tenants.
pub const MAXIMUM_TOTAL_ANSWER_BYTES: u64 = 128 * 1024 * 1024;
/// Maximum age of a key that may be claimed, in milliseconds. Upper limit of the deployment setting.
pub const MAXIMUM_CLAIM_AGE_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum time that a key's creation may be ahead of the latest observed time, in milliseconds.
pub const MAXIMUM_CLOCK_SKEW_MILLIS: u64 = 5 * 60 * 1_000;

/// Maximum router incarnations per key whose attempts are tracked. A delayed duplicate from an
/// evicted incarnation can hold the key until that incarnation ends, but nothing is executed.
pub const MAXIMUM_TRACKED_INCARNATIONS: usize = 32;

/// BLAKE3 hash of tenant and key; its size does not depend on caller input.
type ClaimId = [u8; 32];

/// Holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    router: RouterName,
    incarnation: Incarnation,
    attempt: u64,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// The holder may dispatch the request or has done so.
    Open,
    /// The request ran, with this recorded answer.
    Answered(RecordedAnswer),
    /// The request may have run and must not be run again.
    MayHaveRun,
    /// The holder reported that nothing ran; another attempt may claim the key.
    Released,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    tenant: TenantName,
    digest: [u8; 32],
    created_unix_millis: u64,
    holder: Holder,
    phase: Phase,
    /// Latest decided attempt of each router incarnation, oldest incarnation first. Attempt numbers
    /// increase per router, so an attempt that is not newer is a duplicate.
    decided: Vec<Holder>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TenantUsage {
    claims: usize,
    answer_bytes: u64,
}

/// Table of claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    claims: BTreeMap<ClaimId, Claim>,
    by_creation: BTreeSet<(u64, ClaimId)>,
    /// Open claims of each router incarnation.
    open: BTreeMap<(RouterName, Incarnation), BTreeSet<ClaimId>>,
    usage: BTreeMap<TenantName, TenantUsage>,
    total_answer_bytes: u64,
    /// Keys created before this are expired.
    expired_before_unix_millis: u64,
    /// Latest wall-clock time observed in a claim.
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

    /// Handles a claim of a key that is in the table. `decision` is `None` if the key was released.
    fn begin_again(
        &mut self,
        id: ClaimId,
        decision: Option<ClaimDecision>,
        begin: &ClaimBegin,
    ) -> ClaimDecision {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.record_attempt(holder_of(begin));
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
        let created = begin.created_unix_millis;
        let oldest = self
            .latest_unix_millis
            .saturating_sub(MAXIMUM_CLAIM_AGE_MILLIS);
        if created < self.expired_before_unix_millis || created < oldest {
            return Some(ClaimDecision::Expired);
        }
        let newest = self
            .latest_unix_millis
            .saturating_add(MAXIMUM_CLOCK_SKEW_MILLIS);
        if created > newest {
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
            created_unix_millis: begin.created_unix_millis,
            holder: holder_of(begin),
            phase: Phase::Open,
            decided: vec![holder_of(begin)],
        };
        self.claims.insert(id, claim);
        self.by_creation.insert((begin.created_unix_millis, id));
        self.usage.entry(begin.tenant.clone()).or_default().claims += 1;
        self.open_claim(id, begin);
    }

    fn open_claim(&mut self, id: ClaimId, begin: &ClaimBegin) {
        let incarnation = (begin.router.clone(), begin.router_incarnation);
        self.open.entry(incarnation).or_default().insert(id);
    }

    fn close_claim(&mut self, id: ClaimId, holder: &Holder) {
        let incarnation = (holder.router.clone(), holder.incarnation);
        if let Some(claims) = self.open.get_mut(&incarnation) {
            claims.remove(&id);
            if claims.is_empty() {
                self.open.remove(&incarnation);
            }
        }
    }

    pub(crate) fn finish(&mut self, finish: &ClaimFinish) -> Result<(), Refusal> {
        let id = claim_id(&finish.tenant, &finish.key);
        let claim = self.claims.get(&id).ok_or(Refusal::ClaimNotHeld)?;
        if !claim.holder.matches(finish) {
            return Err(Refusal::ClaimNotHeld);
        }
        // The holder's conclusion is also accepted after the claim was abandoned, since it can only
        // make `MayHaveRun` more precise.
        if !matches!(claim.phase, Phase::Open | Phase::MayHaveRun) {
            return Err(Refusal::NoChange);
        }
        let holder = claim.holder.clone();
        let tenant = claim.tenant.clone();
        let phase = self.phase_after(&tenant, &finish.conclusion);
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

    /// Returns the phase after a conclusion. An answer that exceeds the limits is not stored; the
    /// claim becomes `MayHaveRun` instead.
    fn phase_after(&self, tenant: &TenantName, conclusion: &ClaimConclusion) -> Phase {
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
        let incarnation = (abandon.router.clone(), abandon.router_incarnation);
        let open = self.open.remove(&incarnation).ok_or(Refusal::NoChange)?;
        for id in open {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.phase = Phase::MayHaveRun;
            }
        }
        Ok(())
    }

    pub(crate) fn expire(&mut self, expire: &ExpireClaims) -> Result<(), Refusal> {
        if expire.created_before_unix_millis <= self.expired_before_unix_millis {
            return Err(Refusal::NoChange);
        }
        self.expired_before_unix_millis = expire.created_before_unix_millis;
        while let Some((created, id)) = self.by_creation.first().copied() {
            if created >= self.expired_before_unix_millis {
                break;
            }
            self.by_creation.pop_first();
            self.remove(id);
        }
        Ok(())
    }

    fn remove(&mut self, id: ClaimId) {
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

    pub(crate) fn expired_before(&self) -> u64 {
        self.expired_before_unix_millis
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns the router incarnations that hold open claims, with the number of claims.
    pub(crate) fn open_runs(&self) -> impl Iterator<Item = (&RouterName, Incarnation, usize)> {
        let incarnations = self.open.iter();
        incarnations.map(|((router, incarnation), claims)| (router, *incarnation, claims.len()))
    }
}

impl Claim {
    /// Returns the decision for a claim of this key, or `None` if the key was released.
    fn decide(&self, begin: &ClaimBegin) -> Option<ClaimDecision> {
        let same_digest = self.digest == *blake3::hash(begin.digest.as_bytes()).as_bytes();
        // The creation time is part of the key: a different one means a different request.
        if !same_digest || self.created_unix_millis != begin.created_unix_millis {
            return Some(ClaimDecision::DigestMismatch);
        }
        let same_holder = self.holder == holder_of(begin);
        match &self.phase {
            Phase::Answered(answer) => Some(ClaimDecision::Answered(answer.clone())),
            Phase::MayHaveRun => Some(ClaimDecision::MayHaveRun),
            Phase::Open if same_holder => Some(ClaimDecision::Granted),
            Phase::Open => Some(ClaimDecision::InProgress),
            // A delayed duplicate of a decided attempt must not claim the key: its router has
            // finished the attempt and would never release it.
            Phase::Released if self.was_decided(begin) => Some(ClaimDecision::InProgress),
            Phase::Released => None,
        }
    }

    /// Returns whether this attempt, or a later one of the same incarnation, was already decided.
    fn was_decided(&self, begin: &ClaimBegin) -> bool {
        let attempt = holder_of(begin);
        let mut decided = self.decided.iter();
        decided
            .any(|latest| latest.is_same_incarnation(&attempt) && latest.attempt >= attempt.attempt)
    }

    /// Records a decided attempt.
    fn record_attempt(&mut self, attempt: Holder) {
        let decided = self.decided.iter_mut();
        let mut same_incarnation = decided.filter(|latest| latest.is_same_incarnation(&attempt));
        if let Some(latest) = same_incarnation.next() {
            latest.attempt = latest.attempt.max(attempt.attempt);
            return;
        }
        if self.decided.len() == MAXIMUM_TRACKED_INCARNATIONS {
            self.decided.remove(0);
        }
        self.decided.push(attempt);
    }
}

impl Holder {
    fn is_same_incarnation(&self, other: &Holder) -> bool {
        self.router == other.router && self.incarnation == other.incarnation
    }

    fn matches(&self, finish: &ClaimFinish) -> bool {
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
    // The length prefix prevents collisions of concatenated tenant and key.
    hasher.update(&(tenant.0.len() as u64).to_le_bytes());
    hasher.update(tenant.0.as_bytes());
    hasher.update(key.0.as_bytes());
    *hasher.finalize().as_bytes()
}
