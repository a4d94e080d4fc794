//! The active configuration of this entry; its generation never decreases.

use crate::config_sync::{Availability, ConfigSync, SyncSettings};
use cluster::Cluster;
use conf::{Body, Config, Head};
use infra::Kv;
use kernel::StopSignal;
use kernel::prelude::*;
use rand::RngExt;
use std::sync::atomic::AtomicI64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum backoff before a failed call to the platform or to another entry is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The active configuration.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Head that identifies it.
    pub head: Head,
    /// Text and digest.
    pub body: Body,
    /// Parsed settings.
    pub config: Config,
}

/// Service that holds the active configuration of this entry and keeps it up to date.
pub struct Configuration {
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) log: Logger,
    pub(crate) revision: AtomicI64,
    current: watch::Sender<Option<Arc<ActiveConfig>>>,
    sync: Mutex<ConfigSync>,
    started: Instant,
}

impl Configuration {
    /// Name under which other services look up this service.
    pub const NAME: &'static str = "configuration";

    /// Creates the service with default settings and no active configuration.
    pub fn new(kv: Arc<dyn Kv>, cluster: Arc<Cluster>, log: Logger) -> Arc<Self> {
        Self::with_settings(kv, cluster, SyncSettings::default(), log)
    }

    /// Creates the service with the given synchronisation settings.
    pub fn with_settings(
        kv: Arc<dyn Kv>,
        cluster: Arc<Cluster>,
        settings: SyncSettings,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            kv,
            cluster,
            log,
            revision: AtomicI64::new(0),
            current: watch::channel(None).0,
            sync: Mutex::new(ConfigSync::new(settings)),
            started: Instant::now(),
        })
    }

    /// Returns the active configuration.
    ///
    /// # Errors
    /// [`Code::NoConfiguration`] if none has been activated yet.
    pub fn current(&self) -> Result<Arc<ActiveConfig>, Failure> {
        let current = self.current.borrow().clone();
        let missing = || {
            Failure::new(Code::NoConfiguration, "no configuration has been read since the start")
                .rejected()
        };
        current.ok_or_else(missing)
    }

    /// Returns the active configuration if this entry may accept new requests under it.
    ///
    /// # Errors
    /// [`Code::NoConfiguration`] if none has been activated yet, or if neither the platform nor
    /// another entry has confirmed it recently.
    pub fn confirmed(&self) -> Result<Arc<ActiveConfig>, Failure> {
        let current = self.current()?;
        let reason = match self.sync().availability(self.now()) {
            Availability::Current => return Ok(current),
            Availability::Unconfirmed => {
                "not confirmed by the platform or another entry since the start".to_owned()
            }
            Availability::Isolated(ms) => {
                format!("not confirmed by the platform or another entry for {} s", ms / 1000)
            }
        };
        Err(Failure::new(Code::NoConfiguration, reason).rejected())
    }

    /// Subscribes to changes of the active configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.current.subscribe()
    }

    /// Returns the active generation, or 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |current| current.head.generation)
    }

    /// Activates a configuration if its generation is higher than the active one, and returns
    /// whether it was activated.
    ///
    /// # Errors
    /// [`Code::ConfigInvalid`] if the body does not match the digest in the head or is invalid.
    pub fn activate(&self, head: Head, text: String) -> Result<bool, Failure> {
        if head.generation <= self.generation() {
            return Ok(false);
        }
        let body = Body::from_text(text);
        if body.digest != head.digest {
            return Err(Failure::new(
                Code::ConfigInvalid,
                "configuration body does not match the digest in its head",
            ));
        }
        let config = body
            .config()
            .map_err(|errors| Failure::new(Code::ConfigInvalid, errors.to_string()))?;
        let generation = head.generation;
        let mut new = Some(Arc::new(ActiveConfig { head, body, config }));
        let activated = self.current.send_if_modified(|current| {
            let current_generation = current.as_ref().map_or(0, |current| current.head.generation);
            let is_newer = generation > current_generation;
            if is_newer {
                *current = new.take();
            }
            is_newer
        });
        if activated {
            info!(self.log, "configuration in force"; "generation" => generation);
            self.cluster.set_generation(generation);
        }
        Ok(activated)
    }

    /// Keeps the configuration up to date from the platform and from other entries until the stop
    /// signal.
    pub async fn run(self: Arc<Self>, stop: StopSignal) {
        tokio::join!(self.run_sync(stop.clone()), self.fetch_gossiped(stop));
    }

    pub(crate) fn sync(&self) -> MutexGuard<'_, ConfigSync> {
        self.sync.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the service was created, in milliseconds.
    pub(crate) fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Converts a time in milliseconds, as returned by [`Self::now`], to an instant.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started + Duration::from_millis(at)
    }
}

/// Returns a backoff with jitter that doubles with each consecutive failure.
pub(crate) fn backoff(failures: u32) -> Duration {
    let base = Duration::from_millis(50) * 2_u32.pow(failures.min(10));
    base.min(MAX_BACKOFF).mul_f64(rand::rng().random_range(0.5..1.0))
}
