//! The key-value service and the backend server.

use super::*;
use ledger::{Chunk, Claim, ClaimAction, ClaimResult, OwnerEvent};

/// The claims that are stored, and how the service fares.
#[derive(Default)]
pub(super) struct KvState {
    stored: HashMap<Key, NodeId>,
    pub(super) down_until: Time,
    pub(super) slow_until: Time,
}

/// A claim that an entry is making.
pub(super) struct PendingClaim {
    key: Key,
    claim: Claim,
    /// Number of the present operation; answers to earlier ones are late.
    number: u32,
}

/// One run at the backend server.
pub(super) struct Run {
    pub(super) from: NodeId,
    pub(super) key: Key,
    attempt: u32,
    so_far: Vec<String>,
    /// Whether the connection stands.
    pub(super) open: bool,
    pieces: usize,
}

impl World {
    pub(super) fn start_claim(&mut self, from: NodeId, key: Key) {
        self.serial += 1;
        let claim = Claim::new(from.to_string(), CLAIM_READS);
        self.claims.insert(self.serial, PendingClaim { key, claim, number: 0 });
        let id = self.serial;
        self.operate(from, id, true);
    }

    fn operate(&mut self, from: NodeId, claim: u64, create: bool) {
        let Some(pending) = self.claims.get_mut(&claim) else { return };
        pending.number += 1;
        let number = pending.number;
        let silent =
            Event::KvAnswer { to: from.clone(), claim, number, event: ClaimEvent::NoReply };
        self.schedule(KV_TIMEOUT, silent);
        self.schedule(KV_LATENCY, Event::Kv { from, claim, create, answered: true });
    }

    pub(super) fn on_kv(&mut self, from: &NodeId, claim: u64, create: bool, answered: bool) {
        if self.now < self.kv.down_until {
            return;
        }
        let Some(pending) = self.claims.get(&claim) else { return };
        let (key, number) = (pending.key.clone(), pending.number);
        let stored = self.kv.stored.get(&key).cloned();
        let event = match stored {
            Some(holder) => {
                let nonce = holder.to_string();
                ClaimEvent::Exists(holder, nonce.into())
            }
            None if create => {
                self.kv.stored.insert(key, from.clone());
                ClaimEvent::Created
            }
            None => ClaimEvent::Absent,
        };
        let late = if self.now < self.kv.slow_until { 2 * KV_TIMEOUT } else { KV_LATENCY };
        if answered {
            self.schedule(late, Event::KvAnswer { to: from.clone(), claim, number, event });
        }
    }

    pub(super) fn on_kv_answer(&mut self, to: &NodeId, claim: u64, number: u32, event: ClaimEvent) {
        let Some(entry) = self.entry_of(to) else { return };
        let Some(pending) = self.claims.get_mut(&claim).filter(|p| p.number == number) else {
            return;
        };
        let result = match pending.claim.handle(event) {
            ClaimAction::Create => return self.operate(to.clone(), claim, true),
            ClaimAction::ReadBack => return self.operate(to.clone(), claim, false),
            ClaimAction::Won => ClaimResult::Won,
            ClaimAction::LostTo(holder) => ClaimResult::LostTo(holder),
            ClaimAction::Undecided => ClaimResult::Undecided,
        };
        // An operation that was given up may still take effect, so the claim is kept.
        pending.number += 1;
        let key = pending.key.clone();
        self.feed(entry, Input::Claim { key, result });
    }

    /// The entry chooses a server and sends.
    pub(super) fn on_dispatch(&mut self, at: &NodeId, key: Key, attempt: u32) {
        let Some(entry) = self.entry_of(at) else { return };
        if matches!(self.life.serving, Serving::RefuseUntil(until) if self.now < until) {
            let event = OwnerEvent::NotSent { code: kernel::Code::NoServer, again: false };
            return self.feed(entry, Input::Attempt { key, attempt, event });
        }
        if !self.nodes[entry].table.may_send(&key, attempt) {
            let event = OwnerEvent::Broke { code: kernel::Code::Internal, again: false };
            return self.feed(entry, Input::Attempt { key, attempt, event });
        }
        let text = |chunk: &Chunk| String::from_utf8_lossy(&chunk.data).into_owned();
        let so_far = self.nodes[entry].table.chunks(&key).iter().map(text).collect();
        self.serial += 1;
        let run = self.serial;
        let from = at.clone();
        let started = Run { from: from.clone(), key, attempt, so_far, open: true, pieces: 0 };
        self.runs.insert(run, started);
        self.schedule(LATENCY, Event::Run { from: from.clone(), run, answered: true });
        self.schedule(STALL, Event::Stalled { to: from, run, pieces: 0 });
    }

    /// The request reaches the backend server.
    pub(super) fn on_run(&mut self, run: u64, answered: bool) {
        let Some(running) = self.runs.get(&run) else { return };
        let (key, to) = (running.key.clone(), running.from.clone());
        let so_far = running.so_far.clone();
        let request = self.request_of(&key);
        self.see(Seen::Ran { request, resumed: so_far.len() });
        if self.mutation == Some(Mutation::RepeatInPool) {
            self.see(Seen::Ran { request, resumed: so_far.len() });
        }
        if !answered {
            return;
        }
        // A sampled answer: another run goes on with other words, unless it is given the text.
        let words = so_far.first().and_then(|text| text.rsplit(':').next());
        let words = words.map_or_else(|| run.to_string(), str::to_owned);
        let mut after = LATENCY;
        for number in so_far.len()..CHUNKS {
            if self.breaks_at(number) {
                self.broken_once = true;
                return self.schedule(
                    after + self.life.step,
                    Event::Stalled { to, run, pieces: usize::MAX },
                );
            }
            after += self.life.step;
            let crossed = self.mutation == Some(Mutation::CrossAnswers) && number == 1;
            let shown = if crossed { request + 1 } else { request };
            let text = format!("{shown}:{number}:{words}");
            self.schedule(after, Event::Piece { to: to.clone(), run, number, text });
        }
        self.schedule(after + 1, Event::RunEnd { to, run });
    }

    fn breaks_at(&self, number: usize) -> bool {
        !self.broken_once
            && matches!(self.life.serving, Serving::BreaksAfter(pieces) if pieces == number)
    }

    /// Breaks every connection to the backend server.
    pub(super) fn break_server(&mut self) {
        let mut broken: Vec<(u64, NodeId)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.open)
            .map(|(id, run)| (*id, run.from.clone()))
            .collect();
        broken.sort();
        for (run, to) in broken {
            self.schedule(LATENCY, Event::Stalled { to, run, pieces: usize::MAX });
        }
    }

    pub(super) fn on_piece(&mut self, to: &NodeId, run: u64, number: usize, text: String) {
        let ignore = self.mutation == Some(Mutation::IgnoreAttempt);
        let Some(entry) = self.entry_of(to) else { return };
        let Some(running) = self.runs.get_mut(&run) else { return };
        if !running.open && !ignore {
            return;
        }
        // What was lost on the way breaks the stream.
        if number != running.pieces + running.so_far.len() {
            return;
        }
        running.pieces += 1;
        let (key, attempt, pieces) = (running.key.clone(), running.attempt, running.pieces);
        let attempts = if ignore { 1..=ATTEMPTS } else { attempt..=attempt };
        for attempt in attempts {
            let data = bytes::Bytes::from(text.clone());
            let (key, chunk) = (key.clone(), Chunk::new(1, data));
            self.feed(entry, Input::Chunk { key, attempt, number, chunk });
        }
        self.schedule(STALL, Event::Stalled { to: to.clone(), run, pieces });
    }

    pub(super) fn on_run_end(&mut self, to: &NodeId, run: u64) {
        let Some(entry) = self.entry_of(to) else { return };
        let Some(running) = self.runs.get_mut(&run).filter(|run| run.open) else { return };
        if running.pieces + running.so_far.len() != CHUNKS {
            return;
        }
        running.open = false;
        let (key, attempt) = (running.key.clone(), running.attempt);
        self.feed(entry, Input::Attempt { key, attempt, event: OwnerEvent::Answered });
    }

    /// The stream stopped: nothing came for a while, or the connection broke.
    pub(super) fn on_stalled(&mut self, to: &NodeId, run: u64, pieces: usize) {
        let Some(entry) = self.entry_of(to) else { return };
        let accepts = self.mutation == Some(Mutation::AcceptCutStream);
        let Some(running) = self.runs.get_mut(&run).filter(|run| run.open) else { return };
        if pieces != usize::MAX && pieces != running.pieces {
            return;
        }
        running.open = false;
        let (key, attempt) = (running.key.clone(), running.attempt);
        let again = attempt < ATTEMPTS;
        let event = match accepts {
            true => OwnerEvent::Answered,
            false => OwnerEvent::Broke { code: kernel::Code::BackendBroke, again },
        };
        self.feed(entry, Input::Attempt { key, attempt, event });
    }

    fn request_of(&self, key: &Key) -> usize {
        self.callers.iter().find(|caller| caller.key == *key).map_or(0, |caller| caller.request)
    }
}
