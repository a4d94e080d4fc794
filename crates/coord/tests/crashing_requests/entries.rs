//! Entries that notice the ends of servers, tell each other of them and restart.

use super::*;

impl Day {
    /// Removes the open requests of an entry that match; their attempts end.
    pub(super) fn end_attempts(
        &mut self,
        entry: usize,
        matches: impl Fn(&Open) -> bool,
    ) -> Vec<Request> {
        let is_ended = |open: &Open| open.request.entry == entry && matches(open);
        let ids: Vec<u64> =
            self.open.iter().filter(|(_, open)| is_ended(open)).map(|(id, _)| *id).collect();
        let ended: Vec<Open> = ids.iter().filter_map(|id| self.open.remove(id)).collect();
        for open in &ended {
            self.entries[entry].quarantine.record_end(open.sent, self.now);
        }
        ended.into_iter().map(|open| open.request).collect()
    }

    /// Lets an entry notice that its connections to a server broke. A request under which servers crashed
    /// before waits until it is known why.
    pub(super) fn notice(&mut self, entry: usize, server: usize, run: u64) {
        if self.is_killed_by_third_crash(entry, server, run) {
            return self.restart(entry);
        }
        let checked_in_ms = self.draw(1..10);
        let incarnation = self.entries[entry].incarnation;
        let event = Event::Checked { entry, incarnation, server, broke_at: self.now };
        self.schedule(checked_in_ms, event);
        for request in self.end_attempts(entry, |open| open.server == server && open.run == run) {
            let marks = self.marks(request.content);
            if self.entries[entry].quarantine.is_suspect(marks.into_iter()) {
                self.schedule(checked_in_ms, Event::Retry(request, incarnation));
            } else {
                self.retry(request);
            }
        }
    }

    pub(super) fn retry(&mut self, request: Request) {
        let marks = self.marks(request.content);
        let is_held = self.entries[request.entry].quarantine.is_held(marks.into_iter());
        if request.sends < MAX_SENDS && !is_held {
            self.send(request);
        } else {
            self.fail(&request);
        }
    }

    pub(super) fn is_killed_by_third_crash(
        &mut self,
        entry: usize,
        server: usize,
        run: u64,
    ) -> bool {
        let is_third = self.third_crash.is_some_and(|(_, at, of)| (at, of) == (server, run));
        let is_killed = is_third
            && self.settings.restarts == Restarts::WitnessOfThirdCrash
            && !self.is_witness_killed
            && self.open.values().any(|open| {
                (open.request.entry, open.server, open.run) == (entry, server, run)
                    && open.request.content.is_none()
            });
        self.is_witness_killed |= is_killed;
        is_killed
    }

    pub(super) fn record_crash(&mut self, entry: usize, server: usize, broke_at: Millis) {
        let run = server_run(server, self.known_run(entry, server));
        let suspects = self.entries[entry].quarantine.record_crash(run, broke_at);
        self.update(entry);
        if !suspects.is_empty() {
            self.send_news(entry);
        }
    }

    /// Fails a request; some callers send it again.
    pub(super) fn fail(&mut self, request: &Request) {
        if request.repeats < MAX_REPEATS && self.rng.random_bool(0.5) {
            let repeated_in_ms = self.draw(100..1_000);
            let event = Event::Repeat(request.content, request.repeats + 1);
            self.schedule(repeated_in_ms, event);
        }
    }

    /// Applies the evidence of an entry, and takes back what it then holds.
    pub(super) fn update(&mut self, entry: usize) {
        let changes = self.entries[entry].quarantine.update(self.now);
        for change in changes {
            let QuarantineChange::Held(mark, _) = change else { continue };
            let contents: Vec<Content> = self
                .open
                .values()
                .map(|open| open.request.content)
                .filter(|content| self.marks(*content).contains(&mark))
                .collect();
            let is_held = |open: &Open| !open.has_head && contents.contains(&open.request.content);
            for request in self.end_attempts(entry, is_held) {
                self.fail(&request);
            }
        }
    }

    pub(super) fn send_news(&mut self, from: usize) {
        let news = self.entries[from].quarantine.news(self.now);
        if !self.settings.shares_news || news.is_empty() || !self.is_connected(from) {
            return;
        }
        for to in (0..ENTRIES).filter(|to| *to != from) {
            if self.is_connected(to) && !self.rng.random_bool(NEWS_LOSS) {
                let incarnation = self.entries[to].incarnation;
                let takes_ms = self.draw(1..30);
                let event = Event::News { to, incarnation, news: Box::new(news.clone()) };
                self.schedule(takes_ms, event);
            }
        }
    }

    pub(super) fn is_connected(&self, entry: usize) -> bool {
        self.now >= self.entries[entry].connected_from
    }

    pub(super) fn restart(&mut self, entry: usize) {
        let ended = self.end_attempts(entry, |_| true);
        let incarnation = self.entries[entry].incarnation + 1;
        self.entries[entry] = self.new_entry(entry, incarnation);
        for request in ended {
            self.fail(&request);
        }
    }
}
