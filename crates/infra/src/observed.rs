//! Counts the calls to the platform, and remembers whether its services answer.

use crate::{Cloud, Kv, Lease, Notice, Stored, Swap, Vm, VmList};
use async_trait::async_trait;
use bytes::Bytes;
use kernel::{Failure, Metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The last failure of each service of the platform, and counts of calls.
#[derive(Debug)]
pub struct Health {
    calls: Counter<u64>,
    failures: Mutex<BTreeMap<&'static str, Failure>>,
}

impl Health {
    /// The name under which services find the health of the platform.
    pub const NAME: &'static str = "platform-health";
    /// The key-value service.
    pub const KV: &'static str = "key-value service";
    /// The VM list.
    pub const VM_LIST: &'static str = "VM list";
    /// The cloud API.
    pub const CLOUD: &'static str = "cloud API";

    /// Creates the health of a platform that has not failed yet.
    pub fn new(metrics: &Metrics) -> Arc<Self> {
        let calls =
            metrics.counter("platform_calls", "Calls to the platform, by service and result");
        Arc::new(Self { calls, failures: Mutex::default() })
    }

    /// Returns why the last call to a service failed; none when it was answered.
    pub fn failure(&self, service: &str) -> Option<Failure> {
        self.failures().get(service).cloned()
    }

    fn note<T>(&self, service: &'static str, result: Result<T, Failure>) -> Result<T, Failure> {
        self.count(service, result.is_ok());
        match &result {
            Ok(_) => drop(self.failures().remove(service)),
            Err(failure) => drop(self.failures().insert(service, failure.clone())),
        }
        result
    }

    fn count(&self, service: &'static str, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.calls.add(1, &[KeyValue::new("service", service), KeyValue::new("result", result)]);
    }

    fn failures(&self) -> MutexGuard<'_, BTreeMap<&'static str, Failure>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A service of the platform whose calls are counted.
pub struct Observed<T> {
    inner: T,
    health: Arc<Health>,
}

impl<T> Observed<T> {
    /// Observes a service.
    pub fn new(inner: T, health: &Arc<Health>) -> Self {
        Self { inner, health: health.clone() }
    }
}

#[async_trait]
impl<T: Kv> Kv for Observed<T> {
    async fn get(&self, key: &str) -> Result<Option<Stored>, Failure> {
        self.health.note(Health::KV, self.inner.get(key).await)
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(String, Stored)>, Failure> {
        self.health.note(Health::KV, self.inner.range(prefix).await)
    }

    async fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Failure> {
        self.health.note(Health::KV, self.inner.swap(key, expected, value, lease).await)
    }

    async fn grant(&self, seconds: i64) -> Result<Lease, Failure> {
        self.health.note(Health::KV, self.inner.grant(seconds).await)
    }

    async fn renew(&self, lease: Lease) -> Result<bool, Failure> {
        self.health.note(Health::KV, self.inner.renew(lease).await)
    }

    async fn changed(&self, key: &str, revision: i64) -> Result<Stored, Failure> {
        // A watch that ends without news says nothing about the service's health.
        let changed = self.inner.changed(key, revision).await;
        self.health.count(Health::KV, changed.is_ok());
        changed
    }
}

#[async_trait]
impl<T: VmList> VmList for Observed<T> {
    async fn list(&self) -> Result<Vec<Vm>, Failure> {
        self.health.note(Health::VM_LIST, self.inner.list().await)
    }
}

#[async_trait]
impl<T: Cloud> Cloud for Observed<T> {
    async fn notices(&self, after: u64, wait_ms: u64) -> Result<Vec<Notice>, Failure> {
        self.health.note(Health::CLOUD, self.inner.notices(after, wait_ms).await)
    }
}
