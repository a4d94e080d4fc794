//! Steps of the engines, and what they bring.

use super::{Event, World};

impl<'a> World<'a> {
    pub(super) fn start_step(&mut self, server: usize) {
        let place = &mut self.places[server];
        if place.engine.is_idle() {
            place.stepping = false;
            place.held.idle(self.now as f64 / 1e6);
            return;
        }
        place.stepping = true;
        let run = place.run;
        let (length, entered) = place.engine.start_step();
        for (request, cached) in entered {
            self.count_recomputed(request, cached);
        }
        self.at(self.now + length.max(1), Event::Step { server, run });
    }

    /// Counts what an attempt reads again of what an attempt before it had.
    pub(super) fn count_recomputed(&mut self, request: usize, cached: u64) {
        let kind = self.kind(request);
        let live = &mut self.live[request];
        let read = kind.prefix_tokens + kind.prompt_tokens + live.tokens;
        self.outcome.recomputed += live.computed.min(read.saturating_sub(cached));
        live.computed = read;
    }

    pub(super) fn end_step(&mut self, server: usize, run: u32) {
        if self.places[server].run != run || !self.places[server].up {
            return;
        }
        for progress in self.places[server].engine.end_step() {
            self.token(progress.request, progress.done);
        }
        self.start_step(server);
    }

    pub(super) fn token(&mut self, request: usize, done: bool) {
        let asked = self.scenario.arrivals[request].at_us;
        let model = self.kind(request).model;
        let live = &mut self.live[request];
        let end = &mut self.outcome.ends[request];
        live.tokens += 1;
        live.computed += 1;
        end.tokens = live.tokens;
        if end.first_us.is_none() {
            end.first_us = Some(self.now - asked);
            if model {
                self.outcome.first.saturating_record(self.now - asked);
            }
        } else {
            self.outcome.between.saturating_record(self.now - live.last_us);
        }
        live.last_us = self.now;
        if !done {
            return;
        }
        live.over = true;
        end.whole_us = Some(self.now - asked);
        if let Some((_, name)) = live.server.take() {
            self.ended(request, &name, false);
        }
    }
}
