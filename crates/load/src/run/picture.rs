//! What entries know: load reports and the VM list.

use super::{Event, Place, World};
use kernel::Name;
use rand::RngExt;
use route::{LoadReport, Server};
use std::net::SocketAddr;

impl<'a> World<'a> {
    pub(super) fn poll(&mut self, entry: usize) {
        let up = self.places.iter().filter(|place| place.up);
        let model = up.filter(|place| self.scenario.workload.groups[place.group].model);
        let batch = model.map(|place| (place.name.clone(), place.engine.report())).collect();
        self.reports.push(batch);
        let lag = (self.scenario.workload.report_lag_ms * 1000.0 * self.lag) as u64;
        let batch = self.reports.len() - 1;
        self.at(self.now + lag, Event::Deliver { entry, batch });
        let every = self.scenario.workload.report_every_ms * 1000.0;
        if (self.now as f64) < self.scenario.workload.duration_s * 1e6 {
            let wait = every * self.rng.random_range(0.8..1.2);
            self.at(self.now + wait as u64, Event::Poll(entry));
        }
    }

    pub(super) fn deliver(&mut self, entry: usize, batch: usize) {
        let now_ms = self.now / 1000;
        for (name, report) in std::mem::take(&mut self.reports[batch]) {
            self.pickers[entry].pool.record_report(&name, report, now_ms);
        }
    }

    /// Lets every entry read the VM list.
    pub(super) fn list(&mut self) {
        if self.deaf {
            return;
        }
        let up = self.places.iter().filter(|place| place.up);
        let listed: Vec<Server> = up.map(|place| self.listed(place)).collect();
        for picker in &mut self.pickers {
            picker.pool.update(listed.clone());
        }
    }

    pub(super) fn listed(&self, place: &Place) -> Server {
        let group = &self.scenario.workload.groups[place.group];
        let report = LoadReport {
            step_ms: group.engine.step_ms,
            prompt_tokens_per_s: group.engine.prompt_tokens_per_s,
            batch: group.engine.batch,
            ..LoadReport::default()
        };
        Server {
            name: place.name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: Name::from(format!("dc-{}", group.data_centre)),
            price_per_hour: group.price_per_hour,
            reclaimable: group.reclaimable,
            is_model: group.model,
            serves: vec![Name::from(if group.model { "model" } else { "plain" })],
            leaving: false,
            report,
            reported_at: 0,
            local_requests: 0,
            sent_since_report: 0,
            prompt_tokens_since_report: 0,
            failures: 0,
            backoff_until: 0,
        }
    }
}
