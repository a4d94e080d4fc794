//! The configuration in force at this entry; it never goes back.

use crate::config_sync::{Availability, ConfigSync, Times};
use cluster::Cluster;
use conf::{Body, Config, Head};
use infra::Kv;
use kernel::Stop;
use kernel::prelude::*;
use rand::RngExt;
use std::sync::atomic::AtomicI64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::Instant;

/// Longest pause before a failed read of the platform is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// A configuration that is in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Which one it is.
    pub head: Head,
    /// Its body.
    pub body: Body,
    /// What it says.
    pub config: Config,
}

/// The configuration in force at this entry.
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
    /// The name under which services find the configuration.
    pub const NAME: &'static str = "configuration";

    /// Creates the service without a configuration in force.
    pub fn new(kv: Arc<dyn Kv>, cluster: Arc<Cluster>, log: Logger) -> Arc<Self> {
        Self::with_times(kv, cluster, Times::default(), log)
    }

    /// Creates the service with other times than the usual ones.
    pub fn with_times(
        kv: Arc<dyn Kv>,
        cluster: Arc<Cluster>,
        times: Times,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            kv,
            cluster,
            log,
            revision: AtomicI64::new(0),
            current: watch::channel(None).0,
            sync: Mutex::new(ConfigSync::new(times)),
            started: Instant::now(),
        })
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// [`Code::NoConfiguration`] before there is one.
    pub fn current(&self) -> Result<Arc<ActiveConfig>, Failure> {
        let current = self.current.borrow().clone();
        let none =
            || Failure::new(Code::NoConfiguration, "none was read since the start").rejected();
        current.ok_or_else(none)
    }

    /// Returns the configuration in force, if this entry may take new requests by it.
    ///
    /// # Errors
    /// [`Code::NoConfiguration`] before there is one, and while neither the platform nor another
    /// entry has confirmed it lately.
    pub fn confirmed(&self) -> Result<Arc<ActiveConfig>, Failure> {
        let current = self.current()?;
        let reason = match self.sync().availability(self.now()) {
            Availability::Current => return Ok(current),
            Availability::Unconfirmed => {
                "neither the platform nor an entry answered yet".to_owned()
            }
            Availability::Isolated(ms) => {
                format!("neither the platform nor an entry answered for {} s", ms / 1000)
            }
        };
        Err(Failure::new(Code::NoConfiguration, reason).rejected())
    }

    /// Follows the configuration in force.
    pub fn follow(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.current.subscribe()
    }

    /// Returns the generation in force, 0 for none.
    pub fn generation(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |current| current.head.generation)
    }

    /// Puts a configuration in force if it is newer than the present one.
    ///
    /// # Errors
    /// [`Code::ConfigInvalid`] when the body is not the one that the head names, or has mistakes.
    pub fn adopt(&self, head: Head, text: String) -> Result<bool, Failure> {
        if head.generation <= self.generation() {
            return Ok(false);
        }
        let body = Body::from_text(text);
        if body.digest != head.digest {
            return Err(Failure::new(Code::ConfigInvalid, "the body does not match its digest"));
        }
        let config = body
            .config()
            .map_err(|mistakes| Failure::new(Code::ConfigInvalid, mistakes.to_string()))?;
        let generation = head.generation;
        let mut new = Some(Arc::new(ActiveConfig { head, body, config }));
        let adopted = self.current.send_if_modified(|current| {
            let known = current.as_ref().map_or(0, |current| current.head.generation);
            let newer = generation > known;
            if newer {
                *current = new.take();
            }
            newer
        });
        if adopted {
            info!(self.log, "configuration in force"; "generation" => generation);
            self.cluster.set_generation(generation);
        }
        Ok(adopted)
    }

    /// Keeps up with the platform and with other entries until the stop.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        tokio::join!(self.run_sync(stop.clone()), self.fetch_gossiped(stop));
    }

    pub(crate) fn sync(&self) -> MutexGuard<'_, ConfigSync> {
        self.sync.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the milliseconds since the start.
    pub(crate) fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Returns the time at which the clock reads `at`.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started + Duration::from_millis(at)
    }
}

/// Returns a jittered pause that doubles with each failure in a row.
pub(crate) fn pause(failures: u32) -> Duration {
    let base = Duration::from_millis(50) * 2_u32.pow(failures.min(10));
    base.min(LONGEST_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0))
}
