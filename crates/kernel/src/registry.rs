//! Service registry of a process, and the signal for its shutdown.

use crate::{Code, Failure, Name};
use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::watch;

/// A signal that is set when the process is requested to stop.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

impl StopSignal {
    /// Waits until the process is requested to stop.
    pub async fn wait(&mut self) {
        // An error means that the kernel was dropped, which also stops the process.
        let _ = self.0.wait_for(|stopping| *stopping).await;
    }

    /// Returns whether the process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        *self.0.borrow()
    }
}

type AnyService = Arc<dyn Any + Send + Sync>;

/// Registry of the services of a process by name.
///
/// # Examples
/// ```
/// # use std::sync::Arc;
/// let kernel = kernel::Kernel::new();
/// kernel.add("greeting", Arc::new(String::from("hello")));
/// let greeting = kernel.find::<String>("greeting").expect("it was added above");
/// assert_eq!(*greeting, "hello");
/// ```
#[derive(Debug)]
pub struct Kernel {
    services: RwLock<BTreeMap<Name, AnyService>>,
    stop: watch::Sender<bool>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Arc<Self> {
        let (stop, _) = watch::channel(false);
        Arc::new(Self { services: RwLock::default(), stop })
    }

    /// Registers a service and replaces any service of the same name.
    pub fn add<T: Any + Send + Sync>(&self, name: &'static str, service: Arc<T>) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.insert(Name::from(name), service);
    }

    /// Returns the service with the given name and type.
    ///
    /// # Errors
    /// [`Code::ServiceMissing`] if no service of this name and type is registered.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, Failure> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).cloned();
        let typed = service.and_then(|service| service.downcast::<T>().ok());
        typed.ok_or_else(|| Failure::new(Code::ServiceMissing, name))
    }

    /// Returns the names of all services in alphabetical order.
    pub fn names(&self) -> Vec<Name> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.keys().cloned().collect()
    }

    /// Returns a signal that is set when the process is requested to stop.
    pub fn stop_signal(&self) -> StopSignal {
        StopSignal(self.stop.subscribe())
    }

    /// Signals all services to stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}
