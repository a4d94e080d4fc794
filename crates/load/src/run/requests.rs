//! Requests: arrival, dispatch, retries and refusals.

use super::{ATTEMPTS, CALLER_US, Event, LEAST_ANSWER_MS, RETRY_US, World};
use crate::engine::Job;
use kernel::Name;
use rand::RngExt;
use route::{AdmissionDecision, AdmissionPolicy, Requirements, RetryDecision};

impl<'a> World<'a> {
    pub(super) fn arrive(&mut self, request: usize) {
        let kind = self.kind(request);
        self.at(self.now + (kind.deadline_ms * 1000.0) as u64, Event::Deadline(request));
        self.dispatch(request);
    }

    pub(super) fn dispatch(&mut self, request: usize) {
        if self.live[request].over {
            return;
        }
        let arrival = &self.scenario.arrivals[request];
        let kind = self.kind(request);
        let so_far = self.live[request].tokens;
        let read = if kind.model { kind.prefix_tokens + kind.prompt_tokens + so_far } else { 0 };
        let since_ms = (self.now - arrival.at_us) as f64 / 1000.0;
        let wanted = Requirements {
            serves: if kind.model { "model" } else { "plain" },
            prefix: if kind.model { arrival.prefix } else { 0 },
            prefix_tokens: kind.prefix_tokens,
            prompt_tokens: read,
            answer_tokens: kind.answer_tokens,
            first_token_ms: kind.first_token_ms - since_ms,
            between_tokens_ms: kind.between_tokens_ms,
            left_ms: kind.deadline_ms - since_ms,
            priority: kind.priority,
            avoid: &[],
            random: self.rng.random(),
        };
        let now_ms = self.now / 1000;
        if let Some(after_us) = self.refuses(request, &wanted) {
            return self.refuse(request, after_us);
        }
        let Some(name) = self.pickers[arrival.entry].choose(&wanted, now_ms) else {
            return self.refuse(request, CALLER_US);
        };
        self.pickers[arrival.entry].pool.record_sent(&name, wanted.prefix, read);
        self.live[request].attempt += 1;
        self.outcome.retries += u64::from(self.live[request].attempt > 1);
        let job = Job {
            request,
            attempt: self.live[request].attempt,
            prefix: arrival.prefix,
            prefix_tokens: kind.prefix_tokens,
            read_tokens: read,
            answer_tokens: arrival.answer_tokens - so_far,
            priority: kind.priority,
        };
        if let Some(stall_ms) = self.scenario.workload.stall_ms {
            let attempt = job.attempt;
            self.at(self.now + (stall_ms * 1000.0) as u64, Event::Stall { request, attempt });
        }
        self.send(request, &name, job);
    }

    /// Decides whether a first attempt is refused; returns when to come back, in microseconds.
    pub(super) fn refuses(&mut self, request: usize, wanted: &Requirements<'_>) -> Option<u64> {
        if self.live[request].attempt > 0 {
            return None;
        }
        let arrival = &self.scenario.arrivals[request];
        self.budgets[arrival.entry].record_request(&self.organisations[arrival.organisation]);
        if !self.scenario.protection.admission {
            return None;
        }
        let choice = self.pickers[arrival.entry].pool.choose(wanted, self.now / 1000)?;
        match AdmissionPolicy::default().decide(wanted, &choice) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse(after_ms) => Some(after_ms * 1000),
        }
    }

    /// Ends an attempt that has brought no token for long.
    pub(super) fn stalled(&mut self, request: usize, attempt: u32) {
        let live = &self.live[request];
        if live.over || live.attempt != attempt || live.tokens > 0 {
            return;
        }
        let Some((server, name)) = self.live[request].server.take() else { return };
        self.places[server].engine.cancel(request);
        self.ended(request, &name, true);
        self.again(request);
    }

    pub(super) fn send(&mut self, request: usize, name: &Name, job: Job) {
        let server = self.by_name.get(name).copied().filter(|server| self.places[*server].up);
        self.live[request].server = server.map(|server| (server, name.clone()));
        let Some(server) = server else {
            let entry = self.scenario.arrivals[request].entry;
            let now_ms = self.now / 1000;
            self.pickers[entry].pool.record_ended(name, true, now_ms);
            return self.again(request);
        };
        let now_s = self.now as f64 / 1e6;
        self.places[server].held.busy(now_s);
        self.places[server].engine.push(job);
        if !self.places[server].stepping {
            self.start_step(server);
        }
    }

    /// Sends a request once more, if it may be.
    pub(super) fn again(&mut self, request: usize) {
        if self.live[request].attempt >= ATTEMPTS || !self.has_budget(request) {
            return self.refuse(request, CALLER_US);
        }
        self.at(self.now + RETRY_US, Event::Retry(request));
    }

    pub(super) fn has_budget(&mut self, request: usize) -> bool {
        if self.scenario.protection.retry_share.is_none() {
            return true;
        }
        let arrival = &self.scenario.arrivals[request];
        let since_ms = (self.now - arrival.at_us) / 1000;
        let left_ms = (self.kind(request).deadline_ms as u64).saturating_sub(since_ms);
        let organisation = &self.organisations[arrival.organisation];
        let budgets = &mut self.budgets[arrival.entry];
        budgets.try_retry(organisation, left_ms, LEAST_ANSWER_MS) == RetryDecision::Now
    }

    /// Refuses a request; its caller may ask again after a while.
    pub(super) fn refuse(&mut self, request: usize, after_us: u64) {
        self.outcome.refused += 1;
        if self.live[request].asked >= self.scenario.workload.caller_retries
            || !self.kind(request).repeatable
        {
            self.live[request].over = true;
            return;
        }
        let live = &mut self.live[request];
        live.asked += 1;
        live.attempt = 0;
        self.at(self.now + after_us, Event::Retry(request));
    }

    pub(super) fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.live[request].over, true) {
            return;
        }
        if let Some((server, name)) = self.live[request].server.take() {
            self.places[server].engine.cancel(request);
            self.ended(request, &name, false);
        }
    }

    pub(super) fn ended(&mut self, request: usize, server: &Name, failed: bool) {
        let entry = self.scenario.arrivals[request].entry;
        let now_ms = self.now / 1000;
        self.pickers[entry].pool.record_ended(server, failed, now_ms);
    }
}
