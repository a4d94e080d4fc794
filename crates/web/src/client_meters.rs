//! Metrics of the clients of a process.

use crate::clients::{ClientCounts, ClientRegistry};
use kernel::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};
use std::sync::{Mutex, PoisonError};

/// Metrics of the clients of a process.
#[derive(Debug)]
pub struct ClientMeters {
    turned_away: Counter<u64>,
    connections: Gauge<u64>,
    memory: Gauge<u64>,
    /// Counts of the last record.
    counted: Mutex<ClientCounts>,
}

impl ClientMeters {
    /// Creates the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            turned_away: metrics.counter(
                "clients_turned_away",
                "Connections refused or closed and requests refused, by reason",
            ),
            connections: metrics.gauge("client_connections", "Open connections of clients"),
            memory: metrics.gauge("client_memory_bytes", "Memory that clients hold, in bytes"),
            counted: Mutex::default(),
        }
    }

    /// Records what is in use, and how often clients were turned away since the last record.
    pub fn record(&self, clients: &ClientRegistry) {
        let usage = clients.usage();
        self.connections.record(usage.connections as u64, &[]);
        self.memory.record(usage.memory as u64, &[]);
        let counts = clients.counts();
        let before = {
            let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *counted, counts)
        };
        let reasons = [
            ("connection refused", counts.refused_connections - before.refused_connections),
            ("request refused", counts.refused_requests - before.refused_requests),
            ("dismissed", counts.dismissed - before.dismissed),
            ("expired", counts.expired - before.expired),
        ];
        for (reason, count) in reasons.into_iter().filter(|(_, count)| *count > 0) {
            self.turned_away.add(count, &[KeyValue::new("reason", reason)]);
        }
    }
}
