//! The configuration in force at this entry; it never goes back.

use crate::keys;
use cluster::Cluster;
use conf::{Body, Config, Head};
use kernel::Stop;
use kernel::prelude::*;
use peer::{Reply, Request};
use platform::Kv;
use rand::RngExt;
use tokio::sync::watch;

/// Longest pause before a failed read of the platform is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// A configuration that is in force.
#[derive(Debug)]
pub struct InForce {
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
    current: watch::Sender<Option<Arc<InForce>>>,
}

impl Configuration {
    /// The name under which services find the configuration.
    pub const NAME: &'static str = "configuration";

    /// Creates the service without a configuration in force.
    pub fn new(kv: Arc<dyn Kv>, cluster: Arc<Cluster>, log: Logger) -> Arc<Self> {
        Arc::new(Self { kv, cluster, log, current: watch::channel(None).0 })
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// [`Code::NoConfiguration`] before there is one.
    pub fn current(&self) -> Result<Arc<InForce>, Failure> {
        let current = self.current.borrow().clone();
        let none =
            || Failure::new(Code::NoConfiguration, "none was read since the start").rejected();
        current.ok_or_else(none)
    }

    /// Follows the configuration in force.
    pub fn follow(&self) -> watch::Receiver<Option<Arc<InForce>>> {
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
        let mut new = Some(Arc::new(InForce { head, body, config }));
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
        tokio::join!(self.follow_platform(stop.clone()), self.follow_peers(stop));
    }

    async fn follow_platform(&self, mut stop: Stop) {
        let mut failures = 0;
        let mut revision = 0;
        while !stop.is_stopping() {
            let step = async {
                match self.read_platform().await {
                    Ok(found) => {
                        failures = 0;
                        revision = found.unwrap_or(revision);
                        // A watch that ends without news is made again after a fresh read.
                        let _ = self.kv.changed(keys::HEAD, revision).await;
                    }
                    Err(failure) => {
                        failures += 1;
                        warn!(self.log, "configuration not read"; "reason" => failure.to_string());
                    }
                }
                tokio::time::sleep(pause(failures)).await;
            };
            tokio::select! {
                () = step => {}
                () = stop.wait() => return,
            }
        }
    }

    /// Reads the head and its body, and returns the revision of the head.
    async fn read_platform(&self) -> Result<Option<i64>, Failure> {
        let Some(stored) = self.kv.get(keys::HEAD).await? else { return Ok(None) };
        let head: Head = serde_json::from_slice(&stored.value)
            .map_err(|e| Failure::new(Code::ConfigInvalid, format!("head: {e}")))?;
        if head.generation > self.generation() {
            let body = self.kv.get(&keys::body(&head.digest)).await?;
            let gone =
                || Failure::new(Code::ConfigInvalid, format!("body {} is missing", head.digest));
            let body = body.ok_or_else(gone)?;
            self.adopt(head, String::from_utf8_lossy(&body.value).into_owned())?;
        }
        Ok(Some(stored.revision))
    }

    async fn follow_peers(&self, mut stop: Stop) {
        let mut heard = self.cluster.heard_generation();
        loop {
            tokio::select! {
                changed = heard.changed() => if changed.is_err() { return },
                () = stop.wait() => return,
            }
            let (generation, from) = heard.borrow_and_update().clone();
            let Some(from) = from.filter(|_| generation > self.generation()) else { continue };
            if let Err(failure) = self.read_peer(&from).await {
                warn!(self.log, "configuration not read from entry"; "entry" => from.to_string(),
                    "reason" => failure.to_string());
            }
        }
    }

    async fn read_peer(&self, from: &NodeId) -> Result<(), Failure> {
        let reply = self.cluster.call(from, Request::Configuration, None).await?;
        let Reply::Configuration { head, body } = reply else {
            return Err(Failure::new(Code::PeerUnreachable, "unexpected reply"));
        };
        let head = serde_json::from_str(&head)
            .map_err(|e| Failure::new(Code::ConfigInvalid, e.to_string()))?;
        self.adopt(head, body.to_string()).map(drop)
    }
}

/// Returns a jittered pause that doubles with each failure in a row.
pub(crate) fn pause(failures: u32) -> Duration {
    let base = Duration::from_millis(50) * 2_u32.pow(failures.min(10));
    base.min(LONGEST_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0))
}
