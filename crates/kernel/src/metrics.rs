//! OpenTelemetry metrics, exported in the Prometheus text format.

use crate::{Code, Failure};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Prefix of all metric names.
const NAMESPACE: &str = "fennelfold";

/// The meter of a process and the registry that the `/metrics` endpoint renders.
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
    /// [`Code::Internal`] if the exporter cannot be built.
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
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a histogram of durations in seconds.
    pub fn seconds(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        self.meter.f64_histogram(name).with_description(description).with_unit("s").build()
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder.encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
