//! Requests that are open at servers, whose marks become suspects if the server crashes.

use super::{Quarantine, Suspect};
use crate::fingerprint::is_request_mark;
use kernel::{Millis, Name};
use std::collections::{BTreeMap, HashMap};

/// Index of a whole request among the marks of its prompt: it comes after all parts.
const REQUEST_INDEX: usize = u32::MAX as usize;
/// Multiple of the longest time from a request with a mark to a crash under it, for which a server has to go on with an
/// answer to show that it lives through the mark.
const SURVIVAL_FACTOR: Millis = 2;

/// Identifies a request that was sent to a server recently.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SendId(u64);

/// A request that was sent to a server, which has not survived it yet.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    server: Name,
    /// Parts of the prompt in their order, then the mark of the request.
    marks: Vec<u64>,
    sent_at: Millis,
    /// Time at which the answer began, if it has.
    began_at: Option<Millis>,
    /// Time at which more of the answer arrived, if it has.
    went_on_at: Option<Millis>,
    /// Time at which the answer was complete, if it is.
    completed_at: Option<Millis>,
    /// Time at which this entry stopped waiting for the answer, if it has.
    ended_at: Option<Millis>,
}

impl Sent {
    /// Returns the time from which its server may crash under the request, as far as this entry knows.
    fn runs_from(&self) -> Millis {
        self.began_at.unwrap_or(self.sent_at)
    }

    /// Returns the mark with this index as a suspect.
    fn suspect(&self, mark: u64, index: usize) -> Suspect {
        let is_request = is_request_mark(mark);
        let is_at_work = self.began_at.is_some() && self.completed_at.is_none();
        Suspect {
            began_at: self.runs_from(),
            index: if is_request { REQUEST_INDEX } else { index },
            is_own: true,
            is_weak: !is_request && !is_at_work,
        }
    }

    /// Returns the time to which a survival of a mark dates. A whole request may turn bad at any time.
    fn survived_at(&self, mark: u64, now: Millis) -> Millis {
        if is_request_mark(mark) { now } else { self.runs_from() }
    }

    /// Returns the last time at which the server was seen to live, if the answer is complete or has gone on for this time.
    fn lived_on(&self, needed_ms: Millis) -> Option<Millis> {
        let went_on = || {
            let (began_at, went_on_at) = (self.began_at?, self.went_on_at?);
            (went_on_at.saturating_sub(began_at) >= needed_ms).then_some(went_on_at)
        };
        self.completed_at.or_else(went_on)
    }
}

impl Quarantine {
    /// Records that a request with these marks is sent to a server: the parts of its prompt, in their order, and its own.
    pub fn record_sent(&mut self, server: &Name, marks: Vec<u64>, now: Millis) -> SendId {
        self.last_send_id += 1;
        let id = SendId(self.last_send_id);
        let sent = Sent {
            server: server.clone(),
            marks,
            sent_at: now,
            began_at: None,
            went_on_at: None,
            completed_at: None,
            ended_at: None,
        };
        self.sent.insert(id, sent);
        id
    }

    /// Records that the answer to a request began.
    pub fn record_head(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.get_mut(&id) {
            sent.began_at = Some(now);
        }
    }

    /// Records that more of the answer to a request arrived.
    pub fn record_more(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.get_mut(&id) {
            sent.went_on_at = Some(now);
        }
    }

    /// Records that the answer to a request is complete. Its server has survived the request, and survives the parts of its
    /// prompt if it lives on.
    pub fn record_completion(&mut self, id: SendId, now: Millis) {
        let Some(mut sent) = self.sent.remove(&id) else { return };
        sent.completed_at = Some(now);
        let (requests, parts): (Vec<u64>, Vec<u64>) =
            sent.marks.into_iter().partition(|mark| is_request_mark(*mark));
        for mark in requests {
            self.add_survival(mark, now);
        }
        let is_doubted = |mark: &u64| self.held.contains_key(mark) || self.is_accused(*mark);
        self.has_new_evidence |= parts.iter().any(is_doubted);
        if !parts.is_empty() {
            self.sent.insert(id, Sent { marks: parts, ..sent });
        }
    }

    /// Records that this entry no longer waits for the answer to a request.
    pub fn record_end(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.get_mut(&id) {
            sent.ended_at = Some(now);
        }
    }

    /// Forgets a request that its server has not run, or of which nothing is known.
    pub fn forget_sent(&mut self, id: SendId) {
        self.sent.remove(&id);
    }

    /// Notes that it is being found out whether a server crashed. Until [`Self::end_check`], it survives nothing.
    pub fn begin_check(&mut self, server: &Name) {
        self.in_doubt.insert(server.clone());
    }

    /// Notes that it is known whether a server crashed.
    pub fn end_check(&mut self, server: &Name) {
        self.in_doubt.remove(server);
    }

    /// Forgets the requests at a server that may have crashed, without accusing their marks.
    pub fn discard_requests(&mut self, server: &Name) {
        self.sent.retain(|_, sent| sent.server != *server);
    }

    /// Forgets the requests at a server that crashed, and returns the marks of those that were open there or had just
    /// ended.
    pub(super) fn take_suspects(
        &mut self,
        server: &Name,
        crashed_at: Millis,
    ) -> BTreeMap<u64, Suspect> {
        let mut suspects: BTreeMap<u64, Suspect> = BTreeMap::new();
        let suspect_ms = self.settings.suspect_ms;
        let is_recent = |at: Millis| crashed_at.saturating_sub(at) <= suspect_ms;
        self.sent.retain(|_, sent| {
            let was_there = sent.server == *server && sent.sent_at <= crashed_at;
            if was_there && sent.ended_at.is_none_or(is_recent) {
                for (index, mark) in sent.marks.iter().enumerate() {
                    let suspect = sent.suspect(*mark, index);
                    let known = suspects.entry(*mark).or_insert(suspect);
                    if suspect.began_at > known.began_at {
                        *known = suspect;
                    }
                }
            }
            !was_there
        });
        suspects
    }

    /// Turns answers after which their servers lived on into survivals.
    pub(super) fn record_survivals(&mut self, now: Millis) {
        let settle_ms = self.settings.settle_ms;
        let is_settled = |sent: &Sent| {
            sent.completed_at.is_some_and(|at| now.saturating_sub(at) > settle_ms)
                && !self.in_doubt.contains(&sent.server)
        };
        let settled: Vec<SendId> =
            self.sent.iter().filter(|(_, sent)| is_settled(sent)).map(|(id, _)| *id).collect();
        for id in settled {
            let Some(sent) = self.sent.remove(&id) else { continue };
            for mark in &sent.marks {
                self.add_survival(*mark, sent.runs_from());
            }
        }
    }

    /// Finds the suspects that servers live through now: an answer is complete, or goes on for much longer than others did
    /// before their servers crashed.
    pub(super) fn find_living(&mut self) {
        let mut living: HashMap<u64, Millis> = HashMap::new();
        let is_any_doubted = !self.accused.is_empty() || !self.held.is_empty();
        let is_counted =
            |sent: &&Sent| sent.ended_at.is_none() && !self.in_doubt.contains(&sent.server);
        let open = self.sent.values().filter(|sent| is_any_doubted && is_counted(sent));
        for (sent, mark) in open.flat_map(|sent| sent.marks.iter().map(move |mark| (sent, *mark))) {
            let Some(needed_ms) = self.needed_to_survive(mark) else { continue };
            if let Some(seen_at) = sent.lived_on(needed_ms) {
                let at = sent.survived_at(mark, seen_at);
                living.entry(mark).and_modify(|known| *known = at.max(*known)).or_insert(at);
            }
        }
        self.has_new_evidence |= living != self.living;
        self.living = living;
    }

    /// Returns the time for which a server has to go on with an answer to show that it survives a mark; `None` for a mark
    /// that nothing accuses.
    fn needed_to_survive(&self, mark: u64) -> Option<Millis> {
        let longest_ms = self.accused.get(&mark).map(|accusation| accusation.longest_ms);
        let is_doubted = longest_ms.is_some() || self.held.contains_key(&mark);
        let needed_ms = SURVIVAL_FACTOR * longest_ms.unwrap_or_default();
        is_doubted.then_some(needed_ms.max(self.settings.survival_ms))
    }

    /// Forgets requests for whose answers this entry stopped waiting too long ago to hear of a crash.
    pub(super) fn forget_ended(&mut self, now: Millis) {
        let news_ms = self.settings.news_ms;
        self.sent.retain(|_, sent| sent.ended_at.is_none_or(|at| now.saturating_sub(at) < news_ms));
    }
}
