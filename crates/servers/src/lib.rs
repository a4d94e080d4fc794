//! Tracks the backend servers by the VM list, load reports and reclaim notices, and applies limits,
//! admission control and retry budgets to requests.

use backend::Engines;
use cluster::Cluster;
use infra::{Cloud, Vm, VmList, VmRole, VmState};
use kernel::StopSignal;
use kernel::prelude::*;
use rand::RngExt;
use route::{
    AdmissionDecision, AdmissionPolicy, Choice, Limit, LimitDecision, Limits, LoadReport,
    OfferedLoad, Pool, Requirements, RetryBudgets, RetryDecision, Server,
};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Shortest time in which an answer can arrive, in milliseconds.
const MIN_ANSWER_MS: u64 = 20;

/// Intervals and timeouts of the pollers.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between two reads of the VM list.
    pub list_interval: Duration,
    /// Interval between two reads of the load of a model engine.
    pub load_interval: Duration,
    /// Maximum time that one call waits for reclaim notices.
    pub notice_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            list_interval: Duration::from_secs(1),
            load_interval: Duration::from_millis(250),
            notice_wait: Duration::from_secs(20),
        }
    }
}

/// The backend servers, as known to this entry, and its decisions about requests to them.
pub struct Servers {
    pool: Mutex<Pool>,
    limits: Mutex<Limits>,
    budgets: Mutex<RetryBudgets>,
    engine: Arc<dyn Engines>,
    list: Arc<dyn VmList>,
    cloud: Arc<dyn Cloud>,
    cluster: Arc<Cluster>,
    clock: Clock,
    log: Logger,
    settings: Settings,
    reclaim_notice: watch::Sender<Option<Duration>>,
}

impl Servers {
    /// Name under which other services of the entry find this one.
    pub const NAME: &'static str = "servers";

    /// Creates the service without any backend server.
    pub fn new(
        engine: Arc<dyn Engines>,
        list: Arc<dyn VmList>,
        cloud: Arc<dyn Cloud>,
        cluster: Arc<Cluster>,
        clock: Clock,
        log: Logger,
    ) -> Arc<Self> {
        let settings = Settings::default();
        let pool = Mutex::new(Pool::new(route::Policy::default()));
        let reclaim_notice = watch::channel(None).0;
        let (limits, budgets) = (Mutex::default(), Mutex::default());
        Arc::new(Self {
            pool,
            limits,
            budgets,
            engine,
            list,
            cloud,
            cluster,
            clock,
            log,
            settings,
            reclaim_notice,
        })
    }

    /// Chooses a backend server for a request and logs the choice.
    pub fn choose(&self, key: &Key, requirements: &Requirements<'_>) -> Option<Choice> {
        let entries = self.entry_count();
        let choice = {
            let mut pool = self.pool();
            pool.set_entries(entries);
            pool.choose(requirements, self.clock.now())
        };
        match &choice {
            Some(choice) => info!(self.log, "routed"; "key" => key.to_string(),
                "server" => choice.server.as_str(), "predicted_ms" => choice.predicted_ms,
                "price_per_hour" => choice.price_per_hour, "cached" => choice.cached,
                "candidates" => choice.candidates, "reason" => format!("{:?}", choice.reason)),
            None => {
                warn!(self.log, "not routed"; "key" => key.to_string(),
                    "serves" => requirements.serves)
            }
        }
        choice
    }

    /// Applies the routing policy of the active configuration.
    pub fn set_policy(&self, policy: &conf::Policy) {
        self.pool().set_policy(policy.into());
        lock(&self.budgets).set_share(policy.retry_share);
    }

    /// Counts a new request of an organisation against its limit, and adds to its retry budget.
    ///
    /// # Errors
    /// [`Code::OverLimit`] with the time to retry after, if the organisation exceeds its limit.
    pub fn check_limit(
        &self,
        organisation: &Name,
        config: &conf::Organisation,
    ) -> Result<(), Failure> {
        lock(&self.budgets).record_request(organisation);
        let limit = Limit { per_s: config.requests_per_s, burst: config.burst as f64 };
        let (entries, now) = (self.entry_count(), self.clock.now());
        match lock(&self.limits).try_take(organisation, limit, entries, now) {
            LimitDecision::Within => Ok(()),
            LimitDecision::Exceeded(after_ms) => {
                Err(self.refuse(Code::OverLimit, organisation, after_ms))
            }
        }
    }

    /// Returns the offered load of this entry, to be sent to every other entry.
    pub fn report_offered(&self) -> OfferedLoad {
        lock(&self.limits).report_offered(self.clock.now())
    }

    /// Records the offered load that another entry reported.
    pub fn record_offered(&self, entry: &Name, offered: OfferedLoad) {
        lock(&self.limits).record_offered(entry, offered, self.clock.now());
    }

    /// Checks that a new request can be answered in time. Passes if no server can be chosen at all.
    ///
    /// # Errors
    /// [`Code::TooLate`] with the time to retry after, if the answer is predicted too late.
    pub fn check_admission(&self, requirements: &Requirements<'_>) -> Result<(), Failure> {
        let now = self.clock.now();
        let Some(choice) = self.pool().choose(requirements, now) else { return Ok(()) };
        match AdmissionPolicy::default().decide(requirements, &choice) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Refuse(after_ms) => {
                Err(self.refuse(Code::TooLate, requirements.serves, after_ms))
            }
        }
    }

    /// Whether a request of an organisation may be retried with this time left to its deadline. If
    /// so, takes a retry from the organisation's budget.
    pub fn may_retry(&self, organisation: &Name, left: Duration) -> bool {
        let left_ms = left.as_millis() as u64;
        let decision = lock(&self.budgets).try_retry(organisation, left_ms, MIN_ANSWER_MS);
        if decision != RetryDecision::Now {
            warn!(self.log, "not sent again"; "organisation" => organisation.as_str(),
                "reason" => format!("{decision:?}"));
        }
        decision == RetryDecision::Now
    }

    /// Logs a refusal and returns its failure, which says that only this attempt was not accepted.
    fn refuse(&self, code: Code, context: &str, after_ms: Millis) -> Failure {
        info!(self.log, "refused"; "code" => code.number(), "for" => context,
            "retry_after_ms" => after_ms);
        Failure::new(code, context).retry_after(Duration::from_millis(after_ms)).rejected()
    }

    /// Returns the number of entries that accept new requests.
    fn entry_count(&self) -> u32 {
        self.cluster.members().iter().filter(|member| accepts_requests(member)).count() as u32
    }

    /// Records a request sent to a server, which is then assumed to cache the prompt prefix.
    pub fn record_sent(&self, server: &str, prefix: u64, prompt_tokens: u64) {
        self.pool().record_sent(server, prefix, prompt_tokens);
    }

    /// Records the end of a request at a server.
    pub fn record_ended(&self, server: &str, failed: bool) {
        let now = self.clock.now();
        self.pool().record_ended(server, failed, now);
    }

    /// Whether a server is leaving or not in the VM list any more.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.pool().get(server).is_none_or(|server| server.leaving)
    }

    /// Returns all servers.
    pub fn all(&self) -> Vec<Server> {
        self.pool().all().cloned().collect()
    }

    /// Sends no new requests to a server, and announces to the other entries that it is leaving.
    pub fn drain(&self, server: &Name) {
        if self.pool().mark_leaving(server) {
            info!(self.log, "server leaving"; "server" => server.as_str());
        }
        self.cluster.announce_leaving_server(server);
    }

    /// Returns a channel that holds the time left, once this entry's own VM is to be reclaimed.
    pub fn reclaim_notice(&self) -> watch::Receiver<Option<Duration>> {
        self.reclaim_notice.subscribe()
    }

    /// Runs the pollers until the stop signal.
    pub async fn run(self: Arc<Self>, mut stop: StopSignal) {
        let pollers = async {
            tokio::join!(
                self.poll_list(),
                self.poll_load(),
                self.poll_reclaim_notices(),
                self.watch_leaving_servers()
            );
        };
        tokio::select! {
            () = pollers => {}
            () = stop.wait() => {}
        }
    }

    /// Reads the VM list at each interval and applies it.
    async fn poll_list(&self) {
        loop {
            match self.list.list().await {
                Ok(listed) => {
                    let leaving = self.cluster.leaving_servers().borrow().clone();
                    let listed = listed.into_iter().map(|vm| server_from(vm, &leaving)).collect();
                    self.pool().update(listed);
                }
                Err(failure) => {
                    warn!(self.log, "VM list could not be read"; "reason" => failure.to_string())
                }
            }
            tokio::time::sleep(jitter(self.settings.list_interval)).await;
        }
    }

    /// Reads the load of all model engines at each interval.
    async fn poll_load(&self) {
        loop {
            let engines: Vec<Server> =
                self.all().into_iter().filter(|server| server.is_model).collect();
            let reads = engines.iter().map(|server| self.read_load(server));
            futures::future::join_all(reads).await;
            tokio::time::sleep(jitter(self.settings.load_interval)).await;
        }
    }

    async fn read_load(&self, server: &Server) {
        // A server that does not report keeps its last report; failed requests put it in backoff.
        let Ok(load) = self.engine.load(server.address).await else { return };
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
            step_ms: load.step_ms,
            prompt_tokens_per_s: load.prompt_tokens_per_s,
            batch: load.batch,
        };
        let now = self.clock.now();
        self.pool().record_report(&server.name, report, now);
    }

    /// Polls the reclaim notices of the cloud provider. A notice for another VM drains its server.
    async fn poll_reclaim_notices(&self) {
        let mut last_number = 0;
        loop {
            let wait_ms = self.settings.notice_wait.as_millis() as u64;
            let Ok(notices) = self.cloud.notices(last_number, wait_ms).await else {
                tokio::time::sleep(jitter(self.settings.list_interval)).await;
                continue;
            };
            for notice in notices {
                last_number = last_number.max(notice.number);
                if notice.vm == self.cluster.local_node().name {
                    let left = Duration::from_millis(notice.in_ms);
                    self.reclaim_notice.send_replace(Some(left));
                } else {
                    self.drain(&notice.vm);
                }
            }
        }
    }

    /// Marks the servers that other entries announce as leaving.
    async fn watch_leaving_servers(&self) {
        let mut leaving = self.cluster.leaving_servers();
        while leaving.changed().await.is_ok() {
            let servers = leaving.borrow_and_update().clone();
            for server in servers {
                self.pool().mark_leaving(&server);
            }
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }
}

/// Locks a mutex, also after a panic of another holder.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accepts_requests(member: &member::Member) -> bool {
    member.state == member::MemberState::Alive
}

/// Returns the server of a VM, without load and failures; `leaving` lists the servers that entries
/// have announced as leaving.
fn server_from(vm: Vm, leaving: &[Name]) -> Server {
    Server {
        leaving: vm.state == VmState::Leaving || leaving.contains(&vm.name),
        is_model: vm.role == VmRole::Model,
        name: vm.name,
        address: vm.address,
        data_centre: vm.data_centre,
        price_per_hour: vm.price_per_hour,
        reclaimable: vm.reclaimable,
        serves: vm.serves,
        report: LoadReport::default(),
        reported_at: 0,
        local_requests: 0,
        sent_since_report: 0,
        prompt_tokens_since_report: 0,
        failures: 0,
        backoff_until: 0,
    }
}

/// Varies an interval by up to 20 %, so that the pollers of many entries spread over time.
fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.8..1.2))
}
