//! Which handler answers which path.

use crate::limit::Limit;
use crate::{answer, ask, entries, operator};
use cluster::Cluster;
use control::Configuration;
use exec::Requests;
use hyper::Method;
use kernel::Metrics;
use kernel::prelude::*;
use platform::Health;
use servers::Servers;
use web::{Reply, Request, text};

/// Answers callers and operators.
pub struct Front {
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) requests: Arc<Requests>,
    pub(crate) servers: Arc<Servers>,
    pub(crate) limit: Limit,
    health: Arc<Health>,
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
    /// Creates the front from the services of a process.
    ///
    /// # Errors
    /// [`Code::ServiceMissing`] when a service that it needs was not added.
    pub fn new(kernel: &Kernel, log: Logger) -> Result<Arc<Self>, Failure> {
        Ok(Arc::new(Self {
            cluster: kernel.find(Cluster::NAME)?,
            configuration: kernel.find(Configuration::NAME)?,
            requests: kernel.find(Requests::NAME)?,
            servers: kernel.find(Servers::NAME)?,
            limit: Limit::default(),
            health: kernel.find(Health::NAME)?,
            metrics: kernel.find("metrics")?,
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
        if let Err(failure) = self.configuration.serving() {
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
        let path = req.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["healthz"]) => Ok(text(200, "ok\n")),
            (Method::GET, ["readyz"]) => Ok(self.readyz()),
            (Method::GET, ["metrics"]) => Ok(text(200, self.metrics.render())),
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

    fn readyz(&self) -> Reply {
        match self.ready() {
            Ready::Yes => text(200, "ready\n"),
            Ready::No(reason) => text(503, format!("not ready: {reason}\n")),
        }
    }
}
