//! Requests that are open at servers, whose marks become suspects if the server crashes.

use super::{Quarantine, Suspect};
use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Index of a whole request among the marks of its prompt: it comes after all parts.
const REQUEST_INDEX: usize = u32::MAX as usize;

/// Identifies an answer that began recently.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AnswerId(u64);

/// A prompt that a server began to answer.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    id: AnswerId,
    server: Name,
    parts: Vec<u64>,
    began_at: Millis,
    /// Whether the server went on with the answer after it could have crashed under it.
    went_on: bool,
}

/// Identifies a request that was sent to a server recently.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SendId(u64);

/// A request that was sent to a server, which has not survived it yet.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    server: Name,
    mark: u64,
    sent_at: Millis,
    /// Time at which the answer began, if it has.
    began_at: Option<Millis>,
    /// Time at which this entry stopped waiting for the answer, if it has.
    ended_at: Option<Millis>,
}

impl Quarantine {
    /// Records that a server began to answer a prompt with these parts.
    pub fn record_answer(&mut self, server: &Name, parts: Vec<u64>, now: Millis) -> AnswerId {
        self.last_answer_id += 1;
        let id = AnswerId(self.last_answer_id);
        let answer = Answer { id, server: server.clone(), parts, began_at: now, went_on: false };
        self.answers.push_back(answer);
        id
    }

    /// Records that more of an answer arrived. It went on if a crash would no longer make it suspect.
    pub fn record_progress(&mut self, id: AnswerId, now: Millis) {
        let suspect_ms = self.settings.suspect_ms;
        if let Some(answer) = self.answer_mut(id) {
            answer.went_on |= now.saturating_sub(answer.began_at) > suspect_ms;
        }
    }

    /// Records that an answer is complete.
    pub fn record_completion(&mut self, id: AnswerId) {
        if let Some(answer) = self.answer_mut(id) {
            answer.went_on = true;
        }
    }

    fn answer_mut(&mut self, id: AnswerId) -> Option<&mut Answer> {
        let index = self.answers.binary_search_by_key(&id, |answer| answer.id).ok()?;
        self.answers.get_mut(index)
    }

    /// Records that a request with this mark is sent to a server.
    pub fn record_sent(&mut self, server: &Name, mark: u64, now: Millis) -> SendId {
        self.last_send_id += 1;
        let id = SendId(self.last_send_id);
        let server = server.clone();
        self.sent.insert(id, Sent { server, mark, sent_at: now, began_at: None, ended_at: None });
        id
    }

    /// Records that the answer to a request began.
    pub fn record_head(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.get_mut(&id) {
            sent.began_at = Some(now);
        }
    }

    /// Records that more of the answer to a request arrived. Its server has survived the request if it
    /// goes on after a crash would no longer make the request suspect.
    pub fn record_more(&mut self, id: SendId, now: Millis) {
        let began_at = self.sent.get(&id).and_then(|sent| sent.began_at);
        if began_at.is_some_and(|began_at| now.saturating_sub(began_at) > self.settings.suspect_ms)
        {
            self.record_survival(id, now);
        }
    }

    /// Records that a server has survived a request, as its answer is complete.
    pub fn record_survival(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.remove(&id) {
            self.add_survival(sent.mark, now);
        }
    }

    /// Records that this entry no longer waits for the answer to a request.
    pub fn record_end(&mut self, id: SendId, now: Millis) {
        if let Some(sent) = self.sent.get_mut(&id) {
            sent.ended_at = Some(now);
        }
    }

    /// Records that a server states that it has not run a request.
    pub fn record_not_run(&mut self, id: SendId) {
        self.sent.remove(&id);
    }

    /// Forgets the answers and requests of a server that may have crashed, without accusing their marks.
    pub fn discard_answers(&mut self, server: &Name) {
        self.answers.retain(|answer| answer.server != *server);
        self.sent.retain(|_, sent| sent.server != *server);
    }

    /// Forgets the answers and requests of a server that crashed, and returns the parts of answers that had
    /// just begun and the requests without an answer or with one that had just begun.
    pub(super) fn take_suspects(
        &mut self,
        server: &Name,
        crashed_at: Millis,
    ) -> BTreeMap<u64, Suspect> {
        let mut suspects = BTreeMap::new();
        let suspect_ms = self.settings.suspect_ms;
        self.answers.retain(|answer| {
            let is_broken = answer.server == *server && answer.began_at <= crashed_at;
            if is_broken && crashed_at - answer.began_at <= suspect_ms {
                // Answers are in the order of their beginning.
                for (index, part) in answer.parts.iter().enumerate() {
                    let suspect = Suspect { began_at: answer.began_at, index, is_own: true };
                    suspects.insert(*part, suspect);
                }
            }
            !is_broken
        });
        let is_recent = |at: Millis| crashed_at.saturating_sub(at) <= suspect_ms;
        self.sent.retain(|_, sent| {
            let was_there = sent.server == *server && sent.sent_at <= crashed_at;
            if was_there
                && sent.began_at.is_none_or(is_recent)
                && sent.ended_at.is_none_or(is_recent)
            {
                let (began_at, index) = (sent.sent_at, REQUEST_INDEX);
                suspects.insert(sent.mark, Suspect { began_at, index, is_own: true });
            }
            !was_there
        });
        suspects
    }

    /// Turns answers that began long enough ago into survivals.
    pub(super) fn record_survivals(&mut self, now: Millis) {
        let survival_ms = self.settings.survival_ms;
        let is_survived = |answer: &Answer| now.saturating_sub(answer.began_at) >= survival_ms;
        while self.answers.front().is_some_and(is_survived) {
            let Some(answer) = self.answers.pop_front() else { return };
            let survived = if answer.went_on { answer.parts } else { Vec::new() };
            for part in survived {
                self.add_survival(part, answer.began_at);
            }
        }
    }

    /// Forgets requests for whose answers this entry stopped waiting too long ago to hear of a crash.
    pub(super) fn forget_ended(&mut self, now: Millis) {
        let news_ms = self.settings.news_ms;
        self.sent.retain(|_, sent| sent.ended_at.is_none_or(|at| now.saturating_sub(at) < news_ms));
    }
}
