//! Puts the planned faults at their steps.

use super::*;

/// Delay of a message that arrives after its sender stopped waiting.
const LATE: Time = 400;
/// Delay of a message that arrives long after.
const VERY_LATE: Time = 6_000;

impl World {
    /// Counts a step and puts the fault planned for it; returns what is left to process.
    pub(super) fn inject(&mut self, event: Event) -> Option<Event> {
        let Some((from, at)) = self.ends(&event) else { return Some(event) };
        let cut = from.is_some_and(|from| self.is_cut(from, at));
        let step = self.steps;
        self.steps += 1;
        let faults: Vec<Fault> =
            self.plan.iter().filter(|(s, _)| *s == step).map(|(_, fault)| *fault).collect();
        let event = (!cut).then_some(event);
        faults.into_iter().fold(event, |event, fault| self.strike(fault, from, at, event))
    }

    /// Returns the entries that an event goes from and to, if it is a step.
    fn ends(&self, event: &Event) -> Option<(Option<usize>, usize)> {
        match event {
            Event::Message { from, to, .. } | Event::Answer { from, to, .. } => {
                Some((Some(self.index_of(from)), self.index_of(to)))
            }
            Event::KvAnswer { event: ClaimEvent::NoReply, .. } => None,
            Event::KvAnswer { to, .. } | Event::Piece { to, .. } | Event::RunEnd { to, .. } => {
                Some((None, self.index_of(to)))
            }
            Event::Kv { from, .. } | Event::Run { from, .. } => Some((None, self.index_of(from))),
            Event::Dispatch { at, .. } => Some((None, self.index_of(at))),
            Event::Submit { caller } => Some((None, self.callers[*caller].entry())),
            _ => None,
        }
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|(f, t, until)| (*f, *t) == (from, to) && self.now < *until)
    }

    fn strike(
        &mut self,
        fault: Fault,
        from: Option<usize>,
        at: usize,
        event: Option<Event>,
    ) -> Option<Event> {
        let id = self.nodes[at].id.clone();
        match fault {
            Fault::CrashBefore => self.crash(&id),
            Fault::CrashAfter => {
                if let Some(event) = event {
                    self.process(event);
                }
                self.crash(&id);
                return None;
            }
            Fault::Pause => self.pause(at),
            Fault::Lose => return event.and_then(|event| self.lose(event)),
            Fault::Twice => self.repeat(LATENCY, event.clone()),
            Fault::TwiceLate => self.repeat(VERY_LATE, event.clone()),
            Fault::Late => return event.and_then(|event| self.delay(LATE, event)),
            Fault::VeryLate => return event.and_then(|event| self.delay(VERY_LATE, event)),
            Fault::LoseAnswer => return event.map(unanswered),
            Fault::CutIn => self.cut(from, Some(at)),
            Fault::CutOut => self.cut(Some(at), from),
            Fault::Restart => self.restart(at),
            Fault::KvDown => self.kv.down_until = self.now + KV_OUTAGE,
            Fault::KvSlow => self.kv.slow_until = self.now + KV_OUTAGE,
            Fault::Reclaim => self.reclaim(at),
            Fault::ReclaimDataCentre => self.reclaim_data_centre(at),
            Fault::ServerBreaks => self.break_server(),
            Fault::ReclaimBoth => {
                self.reclaim(at);
                self.break_server();
            }
        }
        event
    }

    /// Cuts one direction; without a sender, all that comes in or goes out.
    fn cut(&mut self, from: Option<usize>, to: Option<usize>) {
        let until = self.now + CUT;
        let all = || 0..ENTRIES.len();
        let froms: Vec<usize> = from.map_or_else(|| all().collect(), |from| vec![from]);
        let tos: Vec<usize> = to.map_or_else(|| all().collect(), |to| vec![to]);
        for from in &froms {
            self.cuts.extend(tos.iter().filter(|to| *to != from).map(|to| (*from, *to, until)));
        }
    }

    /// A caller's connection is not a message that can be lost alone.
    fn lose(&mut self, event: Event) -> Option<Event> {
        matches!(event, Event::Submit { .. } | Event::Dispatch { .. }).then_some(event)
    }

    fn delay(&mut self, time: Time, event: Event) -> Option<Event> {
        if matches!(event, Event::Submit { .. }) {
            return Some(event);
        }
        self.schedule(time, event);
        None
    }

    /// Messages may come twice; a request to a backend server is sent once.
    fn repeat(&mut self, after: Time, event: Option<Event>) {
        let Some(event) = event else { return };
        if matches!(event, Event::Message { .. } | Event::Answer { .. } | Event::Kv { .. }) {
            self.schedule(after, event);
        }
    }

    fn reclaim_data_centre(&mut self, at: usize) {
        for entry in (0..ENTRIES.len()).filter(|entry| ENTRIES[*entry].1 == ENTRIES[at].1) {
            self.reclaim(entry);
        }
    }
}

fn unanswered(event: Event) -> Event {
    match event {
        Event::Message { from, to, call, message, .. } => {
            Event::Message { from, to, call, message, answered: false }
        }
        Event::Kv { from, claim, create, .. } => Event::Kv { from, claim, create, answered: false },
        Event::Run { from, run, .. } => Event::Run { from, run, answered: false },
        other => other,
    }
}
