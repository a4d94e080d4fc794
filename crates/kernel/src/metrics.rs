//! Metrics by opentelemetry, exposed in the Prometheus text format.

use crate::{Code, Failure};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// First part of the name of each metric.
const NAMESPACE: &str = "fennelfold";

/// The meter of a process and the registry that `/metrics` is rendered from.
#[derive(Debug)]
pub struct Metrics {
    meter: Meter,
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the meter of this process.
    ///
    /// # Errors
    /// [`Code::Internal`] when the exporter cannot be built.
    pub fn new() -> Result<Self, Failure> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .build();
        let exporter = exporter.map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { meter: provider.meter("fennelfold"), registry, _provider: provider })
    }

    /// Creates a counter.
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(about).build()
    }

    /// Creates a histogram of seconds.
    pub fn seconds(&self, name: &'static str, about: &'static str) -> Histogram<f64> {
        self.meter.f64_histogram(name).with_description(about).with_unit("s").build()
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str, about: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(about).build()
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder.encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
