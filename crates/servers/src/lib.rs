//! Backend servers: the VM list, load reports, and notices that a server is leaving.

use backend::Engines;
use cluster::Cluster;
use infra::{Cloud, Vm, VmList, VmRole, VmState};
use kernel::Stop;
use kernel::prelude::*;
use rand::RngExt;
use route::{
    Admission, Choice, Limit, Limits, Offered, Pool, Report, Retry, RetryBudgets, Server, Verdict,
    Wanted, Within,
};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Milliseconds that an answer takes at least.
const LEAST_ANSWER_MS: u64 = 20;

/// Times of the pollers.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two reads of the VM list.
    pub list_every: Duration,
    /// Time between two load reports of a model engine.
    pub load_every: Duration,
    /// Time that one call for notices waits.
    pub notice_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            list_every: Duration::from_secs(1),
            load_every: Duration::from_millis(250),
            notice_wait: Duration::from_secs(20),
        }
    }
}

/// The backend servers as this entry sees them.
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
    reclaimed: watch::Sender<Option<Duration>>,
}

impl Servers {
    /// The name under which services find the backend servers.
    pub const NAME: &'static str = "servers";

    /// Creates the service without any server.
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
        let reclaimed = watch::channel(None).0;
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
            reclaimed,
        })
    }

    /// Chooses a server and logs the choice.
    pub fn choose(&self, key: &Key, wanted: &Wanted<'_>) -> Option<Choice> {
        let entries = self.entries();
        let choice = {
            let mut pool = self.pool();
            pool.set_entries(entries);
            pool.choose(wanted, self.clock.now())
        };
        match &choice {
            Some(choice) => info!(self.log, "routed"; "key" => key.to_string(),
                "server" => choice.server.as_str(), "predicted_ms" => choice.predicted_ms,
                "price_per_hour" => choice.price_per_hour, "cached" => choice.cached,
                "candidates" => choice.candidates, "reason" => format!("{:?}", choice.reason)),
            None => {
                warn!(self.log, "not routed"; "key" => key.to_string(), "serves" => wanted.serves)
            }
        }
        choice
    }

    /// Sets the policy of the configuration in force.
    pub fn set_policy(&self, policy: &conf::Policy) {
        self.pool().set_policy(policy.into());
        lock(&self.budgets).set_share(policy.retry_share);
    }

    /// Counts a new request of an organisation against its limit.
    ///
    /// # Errors
    /// [`Code::OverLimit`], with the time after which to come back.
    pub fn within_limit(
        &self,
        organisation: &Name,
        to: &conf::Organisation,
    ) -> Result<(), Failure> {
        lock(&self.budgets).request(organisation);
        let limit = Limit { per_s: to.requests_per_s, burst: to.burst as f64 };
        let (entries, now) = (self.entries(), self.clock.now());
        match lock(&self.limits).take(organisation, limit, entries, now) {
            Within::Yes => Ok(()),
            Within::No(after) => Err(self.refuse(Code::OverLimit, organisation, after)),
        }
    }

    /// Returns the rates that this entry is asked for, for a message to every other entry.
    pub fn tell_offered(&self) -> Offered {
        lock(&self.limits).tell(self.clock.now())
    }

    /// Takes in the rates that another entry is asked for.
    pub fn hear_offered(&self, entry: &Name, offered: Offered) {
        lock(&self.limits).hear(entry, offered, self.clock.now());
    }

    /// Checks that a new request can be answered in time.
    ///
    /// # Errors
    /// [`Code::TooLate`], with the time after which to come back.
    pub fn admit(&self, wanted: &Wanted<'_>) -> Result<(), Failure> {
        let now = self.clock.now();
        let Some(choice) = self.pool().choose(wanted, now) else { return Ok(()) };
        match Admission::default().decide(wanted, &choice) {
            Verdict::Admit => Ok(()),
            Verdict::Refuse(after) => Err(self.refuse(Code::TooLate, wanted.serves, after)),
        }
    }

    /// Decides whether an organisation's request may be sent again, with this time left.
    pub fn may_retry(&self, organisation: &Name, left: Duration) -> bool {
        let left_ms = left.as_millis() as u64;
        let retry = lock(&self.budgets).retry(organisation, left_ms, LEAST_ANSWER_MS);
        if retry != Retry::Now {
            warn!(self.log, "not sent again"; "organisation" => organisation.as_str(),
                "reason" => format!("{retry:?}"));
        }
        retry == Retry::Now
    }

    fn refuse(&self, code: Code, context: &str, after_ms: Millis) -> Failure {
        info!(self.log, "refused"; "code" => code.number(), "for" => context,
            "retry_after_ms" => after_ms);
        Failure::new(code, context).retry_after(Duration::from_millis(after_ms)).rejected()
    }

    /// Counts the entries that take new requests.
    fn entries(&self) -> u32 {
        self.cluster.members().iter().filter(|member| takes_new(member)).count() as u32
    }

    /// Notes a request sent to a server, and that it reads a prompt with this start.
    pub fn sent(&self, server: &str, prefix: u64, prompt_tokens: u64) {
        self.pool().sent(server, prefix, prompt_tokens);
    }

    /// Notes the end of a request at a server.
    pub fn ended(&self, server: &str, failed: bool) {
        let now = self.clock.now();
        self.pool().ended(server, failed, now);
    }

    /// Tells whether a server is leaving or gone.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.pool().get(server).is_none_or(|server| server.leaving)
    }

    /// Lists the servers.
    pub fn all(&self) -> Vec<Server> {
        self.pool().all().cloned().collect()
    }

    /// Takes a server out of service and tells the other entries.
    pub fn drain(&self, server: &Name) {
        if self.pool().leaving(server) {
            info!(self.log, "server leaving"; "server" => server.as_str());
        }
        self.cluster.announce_leaving_server(server);
    }

    /// Follows the notice that this entry's own VM is reclaimed, with the time left.
    pub fn reclaimed(&self) -> watch::Receiver<Option<Duration>> {
        self.reclaimed.subscribe()
    }

    /// Polls until the stop.
    pub async fn run(self: Arc<Self>, mut stop: Stop) {
        let polling = async {
            tokio::join!(
                self.poll_list(),
                self.poll_load(),
                self.follow_notices(),
                self.follow_entries()
            );
        };
        tokio::select! {
            () = polling => {}
            () = stop.wait() => {}
        }
    }

    async fn poll_list(&self) {
        loop {
            match self.list.list().await {
                Ok(listed) => {
                    let known = self.cluster.leaving_servers().borrow().clone();
                    let listed = listed.into_iter().map(|vm| server(vm, &known)).collect();
                    self.pool().update(listed);
                }
                Err(failure) => {
                    warn!(self.log, "VM list not read"; "reason" => failure.to_string())
                }
            }
            tokio::time::sleep(jitter(self.settings.list_every)).await;
        }
    }

    async fn poll_load(&self) {
        loop {
            let models: Vec<Server> =
                self.all().into_iter().filter(|server| server.model).collect();
            let reads = models.iter().map(|server| self.read_load(server));
            futures::future::join_all(reads).await;
            tokio::time::sleep(jitter(self.settings.load_every)).await;
        }
    }

    async fn read_load(&self, server: &Server) {
        // A server that does not report keeps its last report; failed requests shun it.
        let Ok(load) = self.engine.load(server.address).await else { return };
        let report = Report {
            running: load.running,
            waiting: load.waiting,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
            step_ms: load.step_ms,
            prompt_tokens_per_s: load.prompt_tokens_per_s,
            batch: load.batch,
        };
        let now = self.clock.now();
        self.pool().report(&server.name, report, now);
    }

    async fn follow_notices(&self) {
        let mut after = 0;
        loop {
            let wait = self.settings.notice_wait.as_millis() as u64;
            let Ok(notices) = self.cloud.notices(after, wait).await else {
                tokio::time::sleep(jitter(self.settings.list_every)).await;
                continue;
            };
            for notice in notices {
                after = after.max(notice.number);
                if notice.vm == self.cluster.local_node().name {
                    let left = Duration::from_millis(notice.in_ms);
                    self.reclaimed.send_replace(Some(left));
                } else {
                    self.drain(&notice.vm);
                }
            }
        }
    }

    async fn follow_entries(&self) {
        let mut leaving = self.cluster.leaving_servers();
        while leaving.changed().await.is_ok() {
            let servers = leaving.borrow_and_update().clone();
            for server in servers {
                self.pool().leaving(&server);
            }
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn takes_new(member: &member::Member) -> bool {
    member.state == member::MemberState::Alive
}

fn server(vm: Vm, leaving: &[Name]) -> Server {
    Server {
        leaving: vm.state == VmState::Leaving || leaving.contains(&vm.name),
        model: vm.role == VmRole::Model,
        name: vm.name,
        address: vm.address,
        data_centre: vm.data_centre,
        price_per_hour: vm.price_per_hour,
        reclaimable: vm.reclaimable,
        serves: vm.serves,
        report: Report::default(),
        reported_at: 0,
        mine: 0,
        sent_since: 0,
        prompt_since: 0,
        failures: 0,
        shunned_until: 0,
    }
}

/// Spreads pollers of many entries over time.
fn jitter(every: Duration) -> Duration {
    every.mul_f64(rand::rng().random_range(0.8..1.2))
}
