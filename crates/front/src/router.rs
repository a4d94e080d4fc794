//! Which handler answers which path.

use crate::limit::Limit;
use crate::{answer, ask, entries, operator};
use cluster::Cluster;
use control::Configuration;
use exec::{Holder, Requests};
use hyper::Method;
use infra::Health;
use kernel::Metrics;
use kernel::prelude::*;
use ledger::RequestSpec;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use servers::Servers;
use std::future::Future;
use web::{ClientMeters, ClientRegistry, Reply, Request, text};

/// Answers callers and operators.
pub struct Front {
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) requests: Arc<Requests>,
    pub(crate) servers: Arc<Servers>,
    pub(crate) limit: Limit,
    clients: Arc<ClientRegistry>,
    client_meters: ClientMeters,
    health: Arc<Health>,
    failures: Counter<u64>,
    metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

/// Whether an entry may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ready {
    /// It takes requests.
    Yes,
    /// It does not, for this reason.
    No(String),
}

impl Front {
    /// Creates the front from the services of a process, for these clients.
    ///
    /// # Errors
    /// [`Code::ServiceMissing`] when a service that it needs was not added.
    pub fn new(
        kernel: &Kernel,
        clients: Arc<ClientRegistry>,
        log: Logger,
    ) -> Result<Arc<Self>, Failure> {
        let metrics: Arc<Metrics> = kernel.find("metrics")?;
        Ok(Arc::new(Self {
            client_meters: ClientMeters::new(&metrics),
            clients,
            failures: metrics.counter("failures", "Failures that callers were told, by code"),
            metrics,
            cluster: kernel.find(Cluster::NAME)?,
            configuration: kernel.find(Configuration::NAME)?,
            requests: kernel.find(Requests::NAME)?,
            servers: kernel.find(Servers::NAME)?,
            limit: Limit::default(),
            health: kernel.find(Health::NAME)?,
            log,
        }))
    }

    /// Tells whether this entry may be used.
    pub fn ready(&self) -> Ready {
        if self.requests.is_leaving() {
            return Ready::No("leaving".to_owned());
        }
        if self.configuration.generation() == 0 {
            return Ready::No(self.why_no_configuration());
        }
        if let Err(failure) = self.configuration.confirmed() {
            return Ready::No(format!("no current configuration: {}", failure.context));
        }
        Ready::Yes
    }

    fn why_no_configuration(&self) -> String {
        match self.health.failure(Health::KV) {
            Some(failure) => format!("no configuration: {}: {failure}", Health::KV),
            None => "no configuration: none was accepted yet, or it is still being read".to_owned(),
        }
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn handle(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        let answered = self.clone().route(req).await;
        if let Err(failure) = &answered {
            self.note(failure);
        }
        answered
    }

    /// Counts a failure and logs why the request was not served.
    fn note(&self, failure: &Failure) {
        let number = failure.code.number();
        self.failures.add(1, &[KeyValue::new("code", i64::from(number))]);
        // Mistakes of callers are many, and the caller is told.
        if failure.code.outcome() == Outcome::Rejected {
            debug!(self.log, "not served"; "code" => number, "reason" => failure.to_string());
        } else {
            info!(self.log, "not served"; "code" => number, "reason" => failure.to_string());
        }
    }

    async fn route(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        let path = req.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["healthz"]) => Ok(text(200, "ok\n")),
            (Method::GET, ["readyz"]) => Ok(self.readyz()),
            (Method::GET, ["metrics"]) => Ok(self.metrics()),
            (Method::GET, ["v1", "entries"]) => entries::list(&self),
            (Method::POST, ["v1", "chat", "completions"]) => ask::chat(&self, req).await,
            (Method::POST, ["v1", "services", service, rest @ ..]) => {
                ask::plain(&self, req, service, rest).await
            }
            (Method::GET, ["v1", "requests", key]) => answer::resume(&self, &req, key).await,
            (Method::GET, ["v1", "operator", "explain", organisation, key]) => {
                operator::explain(&self, organisation, key)
            }
            (Method::GET, ["v1", "operator", "status"]) => Ok(operator::status(&self)),
            (Method::GET, ["v1", "operator", "config"]) => operator::show(&self),
            (Method::GET, ["v1", "operator", "config", "history"]) => {
                operator::history(&self).await
            }
            (Method::POST, ["v1", "operator", "config"]) => operator::apply(&self, req).await,
            (Method::POST, ["v1", "operator", "drain"]) => operator::drain(&self, req).await,
            (method, _) => Err(Failure::new(Code::UnknownPath, format!("{method} {path}"))),
        }
    }

    /// Runs work to its end, also when the caller that asked for it goes away.
    pub(crate) async fn to_its_end<T: Send + 'static>(
        work: impl Future<Output = Result<T, Failure>> + Send + 'static,
    ) -> Result<T, Failure> {
        let ended = tokio::spawn(work).await;
        ended.unwrap_or_else(|e| Err(Failure::new(Code::Internal, e.to_string())))
    }

    /// Takes a request to its home.
    pub(crate) async fn submit(&self, terms: RequestSpec) -> Result<(Key, Holder), Failure> {
        let requests = self.requests.clone();
        Self::to_its_end(async move { requests.submit(terms).await }).await
    }

    fn metrics(&self) -> Reply {
        self.client_meters.record(&self.clients);
        text(200, self.metrics.render())
    }

    fn readyz(&self) -> Reply {
        match self.ready() {
            Ready::Yes => text(200, "ready\n"),
            Ready::No(reason) => text(503, format!("not ready: {reason}\n")),
        }
    }
}
