//! Request admission, continuous batching, preemption and completion.

use super::messages::{EngineOutput, EngineRequest, FinishReason, Refusal, RequestHandle};
use super::model::{EngineModel, NORMAL_STEP_PERCENT};
use super::prefix::PrefixChange;
use super::requests::RequestState;
use super::timers::Timer;
use crate::content::BLOCK_TOKENS;
use millpass_proto::{Duration, EngineRole, SlotId, Timestamp, Urgency};

impl EngineModel {
    /// Queues a request, or refuses it.
    pub(super) fn submit(&mut self, now: Timestamp, request: EngineRequest) {
        if let Err(refusal) = self.check_admission(now, &request) {
            self.counters.requests_refused += 1;
            let output = EngineOutput::Refused(request.handle, refusal);
            self.outputs.push(output);
            return;
        }
        let (slot, handle) = (request.slot, request.handle);
        let end = request
            .maximum_tokens
            .min(self.settings.limits.maximum_tokens);
        let queue_position = (request.urgency, self.requests.arrival());
        if let Some(deadline) = request.deadline {
            self.timers.set(deadline, Timer::Deadline(handle));
        }
        let state = RequestState {
            queue_position,
            position: request.resume_from.min(end),
            end,
            cache_bytes: self.required_cache_bytes(&request),
            started: false,
            request,
        };
        self.requests.insert(state);
        if let Some(state) = self.slots.get_mut(&slot) {
            state.batch.enqueue(queue_position, handle);
        }
        self.mark_changed(now);
        self.begin_step_if_idle(now, slot);
    }

    /// Cancels a request.
    pub(super) fn cancel(&mut self, now: Timestamp, handle: RequestHandle) {
        if self.requests.get(handle).is_none() {
            return;
        }
        self.counters.requests_cancelled += 1;
        self.finish(now, handle, FinishReason::Cancelled);
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn deadline_due(&mut self, now: Timestamp, handle: RequestHandle) {
        match self.requests.get(handle).map(|state| state.started) {
            None => {}
            Some(false) => self.refuse(now, handle, Refusal::DeadlinePassed),
            Some(true) => {
                self.counters.requests_cut += 1;
                self.finish(now, handle, FinishReason::DeadlinePassed);
            }
        }
    }

    /// Ends a step of a slot's batch: emits its tokens and starts the next step.
    pub(super) fn step_due(&mut self, now: Timestamp, slot: SlotId) {
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        if state.batch.step_ends != Some(now) {
            return;
        }
        state.batch.step_ends = None;
        for handle in state.batch.running() {
            self.emit_tokens(now, handle);
        }
        self.begin_step_if_idle(now, slot);
    }

    /// Imports a block of KV cache, if running requests leave enough cache memory.
    pub(super) fn import_cache(&mut self, now: Timestamp, slot: SlotId, prefix_hash: u64) {
        let is_loaded = self
            .slots
            .get(&slot)
            .is_some_and(|state| state.weights.is_loaded());
        if is_loaded {
            self.cache_blocks(now, slot, &[prefix_hash]);
        }
        let imported = self.has_cached(slot, prefix_hash);
        self.outputs.push(EngineOutput::CacheImported(imported));
    }

    /// Evicts all blocks of a slot's prefix cache.
    pub(super) fn clear_prefix(&mut self, now: Timestamp, slot: SlotId) {
        let mut changes = Vec::new();
        if let Some(state) = self.slots.get_mut(&slot) {
            state.prefix.shrink(0, &mut changes);
        }
        self.publish(now, slot, changes);
    }

    /// Ends a request that ran or was cancelled.
    pub(super) fn finish(&mut self, now: Timestamp, handle: RequestHandle, reason: FinishReason) {
        if let Some(slot) = self.remove_request(now, handle) {
            self.outputs.push(EngineOutput::Finished(handle, reason));
            self.release_if_idle(now, slot);
        }
    }

    /// Refuses a waiting request that never ran.
    pub(super) fn refuse(&mut self, now: Timestamp, handle: RequestHandle, refusal: Refusal) {
        if let Some(slot) = self.remove_request(now, handle) {
            self.counters.requests_refused += 1;
            self.outputs.push(EngineOutput::Refused(handle, refusal));
            self.release_if_idle(now, slot);
        }
    }

    fn check_admission(&mut self, now: Timestamp, request: &EngineRequest) -> Result<(), Refusal> {
        let own = self.settings.incarnation;
        if request.incarnation.is_some_and(|wanted| wanted != own) {
            self.counters.wrong_incarnations += 1;
            return Err(Refusal::WrongIncarnation(own));
        }
        let loaded = self.slots.get(&request.slot);
        let Some(slot) = loaded.filter(|slot| slot.weights.is_loaded()) else {
            self.counters.wrong_slot_requests += 1;
            return Err(Refusal::SlotNotLoaded);
        };
        let adapter = request.adapter.as_ref();
        if adapter.is_some_and(|name| !slot.adapters.get(name).is_some_and(|one| one.is_loaded())) {
            return Err(Refusal::AdapterNotLoaded);
        }
        if self.required_cache_bytes(request) > slot.cache_bytes {
            return Err(Refusal::TooLarge);
        }
        if !self.role_serves(request) {
            return Err(Refusal::WrongRole);
        }
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(Refusal::DeadlinePassed);
        }
        let waiting: usize = self
            .slots
            .values()
            .map(|slot| slot.batch.waiting_count() as usize)
            .sum();
        if waiting >= self.settings.limits.waiting_requests {
            let retry_after = self.settings.limits.retry_after;
            return Err(Refusal::QueueFull { retry_after });
        }
        Ok(())
    }

    /// Whether the role permits this request: a prefill engine emits at most one token, a decode engine
    /// requires mostly cached prompts.
    fn role_serves(&self, request: &EngineRequest) -> bool {
        match self.role {
            EngineRole::Mixed => true,
            EngineRole::Prefill => request.maximum_tokens <= 1,
            EngineRole::Decode => {
                let cached = self
                    .slots
                    .get(&request.slot)
                    .map_or(0, |slot| slot.prefix.cached_prefix(&request.prefix_blocks));
                let uncached = request.prompt_tokens.saturating_sub(block_tokens(cached));
                uncached <= self.settings.limits.decode_prefill_tokens
            }
        }
    }

    fn required_cache_bytes(&self, request: &EngineRequest) -> u64 {
        let limits = &self.settings.limits;
        let response = request.maximum_tokens.min(limits.maximum_tokens);
        let tokens = u64::from(request.prompt_tokens) + u64::from(response);
        tokens.saturating_mul(limits.cache_bytes_per_token)
    }

    fn begin_step_if_idle(&mut self, now: Timestamp, slot: SlotId) {
        let is_idle = self
            .slots
            .get(&slot)
            .is_some_and(|state| state.batch.step_ends.is_none());
        if !is_idle {
            return;
        }
        let prefill_tokens = self.admit(now, slot);
        let timing = &self.settings.timing;
        let (base, per_request) = (timing.step_base, timing.step_per_request);
        let prefill = timing.prefill_per_token * prefill_tokens;
        let tokens = timing.tokens_per_step.max(1);
        let percent = self.step_percent;
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        let running = state.batch.running_count();
        if running == 0 {
            return;
        }
        let decode = (base + per_request * running) * tokens;
        let ends = now + scaled(decode + prefill, percent);
        state.batch.step_ends = Some(ends);
        self.timers.set(ends, Timer::Step(slot));
    }

    /// Moves waiting requests into the batch in queue order, as batch slots and cache memory permit.
    /// Returns the number of tokens to prefill.
    fn admit(&mut self, now: Timestamp, slot: SlotId) -> u32 {
        let mut prefill_tokens = 0;
        loop {
            let Some(state) = self.slots.get(&slot) else {
                return prefill_tokens;
            };
            let Some((queue_position, handle)) = state.batch.next_waiting() else {
                return prefill_tokens;
            };
            let required = self.requests.get(handle).map_or(0, |one| one.cache_bytes);
            let has_slot =
                (state.batch.running_count() as usize) < self.settings.limits.batch_slots;
            let has_memory = state.batch.running_bytes + required <= state.cache_bytes;
            if has_slot && has_memory {
                prefill_tokens += self.start(now, slot, handle);
                continue;
            }
            let victim = state.batch.preemption_victim();
            let Some((victim_position, victim)) =
                victim.filter(|_| queue_position.0 == Urgency::Interactive)
            else {
                return prefill_tokens;
            };
            let held = self.requests.get(victim).map_or(0, |one| one.cache_bytes);
            if let Some(state) = self.slots.get_mut(&slot) {
                state.batch.preempt(victim_position, held);
            }
            self.counters.preemptions += 1;
        }
    }

    /// Starts a waiting request and returns the number of tokens to prefill.
    fn start(&mut self, now: Timestamp, slot: SlotId, handle: RequestHandle) -> u32 {
        let Some(one) = self.requests.get_mut(handle) else {
            return 0;
        };
        let is_first = !one.started;
        one.started = true;
        let (queue_position, bytes) = (one.queue_position, one.cache_bytes);
        let context = one.request.prompt_tokens.saturating_add(one.position);
        let is_complete = one.position >= one.end;
        let blocks = one.request.prefix_blocks.clone();
        let request = one.request.clone();
        if is_first {
            self.record_start(&request);
        }
        let mut cached = 0;
        if let Some(state) = self.slots.get_mut(&slot) {
            state.batch.start(queue_position, bytes);
            cached = state.prefix.use_prefix(&blocks);
        }
        self.cache_blocks(now, slot, &blocks);
        if is_complete {
            self.counters.requests_finished += 1;
            self.finish(now, handle, FinishReason::Complete);
            return 0;
        }
        context.saturating_sub(block_tokens(cached))
    }

    fn record_start(&mut self, request: &EngineRequest) {
        self.outputs.push(EngineOutput::Started(request.handle));
        self.counters.requests_started += 1;
        if let Some(key) = &request.idempotency_key {
            self.key_runs.count(&request.tenant, key);
        }
        if request.resume_from > 0 {
            self.counters.requests_resumed += 1;
        } else {
            self.request_runs
                .count(&request.tenant, &request.request_id);
        }
    }

    fn emit_tokens(&mut self, now: Timestamp, handle: RequestHandle) {
        let per_step = self.settings.timing.tokens_per_step.max(1);
        let Some(one) = self.requests.get_mut(handle) else {
            return;
        };
        let from = one.position;
        let count = per_step.min(one.end - from);
        one.position += count;
        let is_complete = one.position >= one.end;
        self.counters.tokens += u64::from(count);
        self.outputs.push(EngineOutput::Tokens {
            request: handle,
            from,
            count,
        });
        if is_complete {
            self.counters.requests_finished += 1;
            self.finish(now, handle, FinishReason::Complete);
        }
    }

    /// Caches blocks in the memory that running requests leave, and publishes the changes.
    fn cache_blocks(&mut self, now: Timestamp, slot: SlotId, blocks: &[u64]) {
        let block_bytes = self.block_bytes();
        let mut changes = Vec::new();
        if let Some(state) = self.slots.get_mut(&slot) {
            let free = state.cache_bytes - state.batch.running_bytes;
            let capacity = usize::try_from(free / block_bytes).unwrap_or(usize::MAX);
            state.prefix.insert(blocks, capacity, &mut changes);
        }
        self.publish(now, slot, changes);
    }

    fn publish(&mut self, now: Timestamp, slot: SlotId, changes: Vec<PrefixChange>) {
        for (prefix_hash, change) in changes {
            self.events.record(now, slot, prefix_hash, change);
        }
    }

    /// Removes a request from all tables and returns its slot.
    fn remove_request(&mut self, now: Timestamp, handle: RequestHandle) -> Option<SlotId> {
        let state = self.requests.remove(handle)?;
        if let Some(deadline) = state.request.deadline {
            self.timers.clear(deadline, Timer::Deadline(handle));
        }
        let slot = state.request.slot;
        if let Some(owner) = self.slots.get_mut(&slot) {
            owner.batch.remove(state.queue_position, state.cache_bytes);
        }
        self.mark_changed(now);
        Some(slot)
    }
}

fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks * BLOCK_TOKENS).unwrap_or(u32::MAX)
}

fn scaled(time: Duration, percent: u32) -> Duration {
    time * percent / NORMAL_STEP_PERCENT
}
