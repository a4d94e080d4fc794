//! Faults on their schedule.

use super::{CALLER_US, Event, LIST_US, NOTICE_US, RETRY_US, World};
use crate::engine::Engine;
use crate::settings::{Fault, FaultKind};
use kernel::Name;

impl<'a> World<'a> {
    pub(super) fn fault(&self, index: usize) -> &'a Fault {
        &self.scenario.faults.list[index]
    }

    /// Servers of a fault's data centre.
    pub(super) fn struck(&self, fault: &Fault) -> Vec<usize> {
        let all = 0..self.places.len();
        let group = |server: &usize| &self.scenario.workload.groups[self.places[*server].group];
        all.filter(|server| group(server).data_centre == fault.data_centre)
            .filter(|server| fault.kind != FaultKind::Reclaim || group(server).reclaimable)
            .collect()
    }

    pub(super) fn start_fault(&mut self, index: usize) {
        let fault = self.fault(index);
        match fault.kind {
            FaultKind::Reclaim => {
                for server in self.struck(fault) {
                    let run = self.places[server].run;
                    self.at(self.now + NOTICE_US, Event::Notice { server, run });
                    let left = (fault.notice_s * 1e6) as u64;
                    self.at(self.now + left, Event::Gone { server, run });
                }
            }
            FaultKind::Lost => {
                for server in self.struck(fault) {
                    let run = self.places[server].run;
                    self.kill(server, run);
                }
            }
            FaultKind::Slow => self.set_slow(fault, fault.factor),
            FaultKind::Lag => self.lag = fault.factor,
            FaultKind::Platform => self.deaf = true,
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = self.fault(index);
        match fault.kind {
            FaultKind::Reclaim | FaultKind::Lost => {
                for server in self.struck(fault) {
                    self.replace(server);
                }
                self.at(self.now + LIST_US, Event::List);
            }
            FaultKind::Slow => self.set_slow(fault, 1.0),
            FaultKind::Lag => self.lag = 1.0,
            FaultKind::Platform => {
                self.deaf = false;
                self.list();
            }
        }
    }

    pub(super) fn set_slow(&mut self, fault: &Fault, factor: f64) {
        if let Some(server) = self.struck(fault).first() {
            self.places[*server].engine.set_slow(factor);
        }
    }

    pub(super) fn hear_notice(&mut self, server: usize, run: u32) {
        if self.deaf || self.places[server].run != run {
            return;
        }
        self.places[server].announced = true;
        let name = self.places[server].name.clone();
        for picker in &mut self.pickers {
            picker.pool.mark_leaving(&name);
        }
    }

    pub(super) fn kill(&mut self, server: usize, run: u32) {
        if self.places[server].run != run || !self.places[server].up {
            return;
        }
        let now_s = self.now as f64 / 1e6;
        let place = &mut self.places[server];
        place.up = false;
        place.stepping = false;
        self.outcome.read += std::mem::take(&mut place.engine.tokens_read);
        place.held.end(now_s);
        let name = place.name.clone();
        let lost = place.engine.kill();
        let announced = std::mem::take(&mut place.announced);
        for (request, _) in lost {
            self.live[request].server = None;
            self.ended(request, &name, true);
            match (self.kind(request).repeatable, announced) {
                (true, true) => self.at(self.now + RETRY_US, Event::Retry(request)),
                (true, false) => self.again(request),
                (false, _) => self.refuse(request, CALLER_US),
            }
        }
        self.at(self.now + LIST_US, Event::List);
    }

    /// Starts another VM in the place of one that is gone.
    pub(super) fn replace(&mut self, server: usize) {
        let place = &mut self.places[server];
        if place.up {
            return;
        }
        let settings = &self.scenario.workload.groups[place.group];
        self.by_name.remove(&place.name);
        place.run += 1;
        place.up = true;
        place.engine = Engine::new(settings.engine);
        place.name = Name::from(format!("{}-{server}-{}", settings.name, place.run));
        self.by_name.insert(place.name.clone(), server);
    }
}
