//! Servers that end and come back.

use super::*;

impl Day {
    pub(super) fn crash(&mut self, server: usize, run: u64) {
        if !self.is_running(server, run) {
            return;
        }
        self.outcome.crashes += 1;
        if self.outcome.crashes == 3 {
            self.third_crash = Some((self.now, server, run));
        }
        let notice_ms = self.draw_notice_times();
        self.end(server, &notice_ms);
    }

    /// Returns the time that each entry takes to notice what happens now.
    pub(super) fn draw_notice_times(&mut self) -> Vec<Millis> {
        let longest = |entry: usize| if entry < SLOW_ENTRIES { SLOW_NOTICE_MS } else { 3 };
        (0..ENTRIES).map(|entry| self.draw(0..longest(entry) + 1)).collect()
    }

    /// Ends a server that has an open sound request of which at most one server has ended.
    pub(super) fn end_under_sound(&mut self) {
        let candidates: Vec<usize> = self
            .open
            .values()
            .filter(|open| self.is_running(open.server, open.run))
            .filter(|open| {
                open.request.content.is_some_and(|content| {
                    content >= HOT_CONTENTS && self.ends.get(&content) != Some(&2)
                })
            })
            .map(|open| open.server)
            .collect();
        // The last request is often a retry of one whose server has just ended.
        if let Some(server) = candidates.last() {
            self.outcome.other_ends += 1;
            let notice_ms = self.draw_notice_times();
            self.end(*server, &notice_ms);
            let again_in_ms = if self.rng.random_bool(0.5) {
                self.draw(20..250)
            } else {
                self.draw(6_000..10_000)
            };
            self.schedule(again_in_ms, Event::EndUnderSound);
        } else {
            self.schedule(50, Event::EndUnderSound);
        }
    }

    pub(super) fn end_domain(&mut self) {
        let domain = self.rng.random_range(0..self.settings.domains);
        let notice_ms = self.draw_notice_times();
        for server in (domain..self.settings.servers).step_by(self.settings.domains) {
            if self.servers[server].is_up {
                self.outcome.other_ends += 1;
                self.end(server, &notice_ms);
            }
        }
        let again_in_ms = self.draw(8_000..16_000);
        self.schedule(again_in_ms, Event::EndDomain);
    }

    /// Ends a server; entries with open requests there notice it after these times.
    pub(super) fn end(&mut self, server: usize, notice_ms: &[Millis]) {
        self.servers[server].is_up = false;
        let run = self.servers[server].run;
        let back_in_ms = self.draw(3_000..3_500);
        self.schedule(back_in_ms, Event::Return(server));
        let open = self.open.values().filter(|open| open.server == server && open.run == run);
        let mut contents: Vec<u64> = open.clone().filter_map(|open| open.request.content).collect();
        contents.sort_unstable();
        contents.dedup();
        let mut entries: Vec<usize> = open.map(|open| open.request.entry).collect();
        entries.sort_unstable();
        entries.dedup();
        for content in contents {
            *self.ends.entry(content).or_default() += 1;
        }
        for entry in entries {
            let incarnation = self.entries[entry].incarnation;
            let event = Event::Broke { entry, incarnation, server, run };
            self.schedule(notice_ms[entry], event);
        }
    }

    pub(super) fn bring_back(&mut self, server: usize) {
        self.servers[server].is_up = true;
        self.servers[server].run += 1;
        for entry in 0..ENTRIES {
            let learns_in_ms = self.draw(0..100);
            self.entries[entry].learns_at[server] = self.now + learns_in_ms;
        }
    }
}
