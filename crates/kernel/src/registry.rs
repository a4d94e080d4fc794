//! The micro-kernel: services under names, and an orderly stop.

use crate::{Code, Failure, Name};
use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::watch;

/// A signal that resolves once the process is asked to stop.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

impl StopSignal {
    /// Waits until the process is asked to stop.
    pub async fn wait(&mut self) {
        // An error means that the kernel is gone, which is a stop as well.
        let _ = self.0.wait_for(|stopping| *stopping).await;
    }

    /// Tells whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        *self.0.borrow()
    }
}

type Shared = Arc<dyn Any + Send + Sync>;

/// Holds the services of a process under their names.
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
    services: RwLock<BTreeMap<Name, Shared>>,
    stop: watch::Sender<bool>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Arc<Self> {
        let (stop, _) = watch::channel(false);
        Arc::new(Self { services: RwLock::default(), stop })
    }

    /// Adds a service; a service of the same name is replaced.
    pub fn add<T: Any + Send + Sync>(&self, name: &'static str, service: Arc<T>) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.insert(Name::from(name), service);
    }

    /// Finds a service by its name.
    ///
    /// # Errors
    /// [`Code::ServiceMissing`] when no service of that name and type was added.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, Failure> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let found = services.get(name).cloned();
        let typed = found.and_then(|service| service.downcast::<T>().ok());
        typed.ok_or_else(|| Failure::new(Code::ServiceMissing, name))
    }

    /// Lists the names of the services.
    pub fn names(&self) -> Vec<Name> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.keys().cloned().collect()
    }

    /// Returns a signal for the stop of the process.
    pub fn stop_signal(&self) -> StopSignal {
        StopSignal(self.stop.subscribe())
    }

    /// Asks every service to stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}
