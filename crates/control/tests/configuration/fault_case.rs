//! Cases of the fault matrix: one proposal, faults injected into its calls, and the checker.

use crate::fake_kv::{DisabledGuard, FAULTS, FakeKv, Fault, FaultyClient, HISTORY};
use cluster::Cluster;
use conf::Head;
use control::{Accepted, Configuration, Proposal};
use kernel::prelude::*;
use kernel::{Kernel, Metrics};
use member::{Member, MemberState};
use peer::{PeerSettings, Peers, Traffic};
use std::sync::OnceLock;
use tokio::task::JoinHandle;

const CONFIG_TEXT: &str = "\
[deployment]
name = trial
[data_centre north]
region = coast
[organisation friends]
requests_per_s = 50
[service reminder]
kind = plain
";

pub(crate) fn proposal(based_on: u64, nonce: &str, burst: u64) -> Proposal {
    let text = CONFIG_TEXT
        .replace("requests_per_s = 50", &format!("requests_per_s = 50\nburst = {burst}"));
    Proposal { text, based_on, nonce: nonce.into(), author: Name::from(format!("author-{nonce}")) }
}

/// Creates an entry that uses a client of the key-value service.
pub(crate) fn entry(kv: Arc<FaultyClient>) -> Arc<Configuration> {
    static PEERS: OnceLock<Peers> = OnceLock::new();
    let metrics = Metrics::new().expect("metrics");
    let start = || Peers::start(PeerSettings::default(), Traffic::new(&metrics)).expect("a thread");
    let peers = PEERS.get_or_init(start).clone();
    let log = Logger::root(slog::Discard, o!());
    let me = Member {
        node: NodeId::new("entry", 1),
        http: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 1).into(),
        region: "coast".into(),
        data_centre: "north".into(),
        state: MemberState::Alive,
        refutation: 0,
    };
    let settings = conf::Membership::default();
    let cluster = Cluster::new(me, settings, peers, &metrics, Clock::start(), log.clone());
    Configuration::new(kv, cluster, log)
}

/// A proposal and the result that was returned to the operator.
pub(crate) type Submission = (Proposal, Result<Accepted, Failure>);

/// One case of the fault matrix.
#[derive(Clone, Debug)]
pub(crate) struct FaultCase {
    /// Number of generations accepted beforehand.
    pub(crate) generations: u64,
    /// Faults, keyed by the number of the call.
    pub(crate) script: BTreeMap<usize, Fault>,
    /// Safeguard that is disabled.
    pub(crate) disabled: Option<DisabledGuard>,
}

impl FaultCase {
    /// Runs the case and returns the violations found, or `None` if not all faults were injected.
    pub(crate) async fn run(&self) -> Option<Vec<String>> {
        let kv = FakeKv::new(self.disabled);
        let reliable = FaultyClient::new(kv.clone(), BTreeMap::new());
        let mut submissions = Vec::new();
        for generation in 0..self.generations {
            let proposal = proposal(generation, &format!("before-{generation}"), 10 + generation);
            submissions.push((proposal.clone(), entry(reliable.clone()).accept(proposal).await));
        }
        let follower = Follower::start(entry(reliable.clone()));
        let client = FaultyClient::new(kv.clone(), self.script.clone());
        submissions.extend(self.submit(&client, &reliable).await);
        client.apply_delayed_writes();
        let mut violations = Vec::new();
        for (proposal, answer) in submissions {
            violations.extend(check_answer(
                &kv,
                &proposal,
                &resolve(&reliable, &proposal, answer).await,
            ));
        }
        violations.extend(check_store(&kv));
        violations.extend(follower.check(&kv).await);
        client.all_faults_injected().then_some(violations)
    }

    /// Submits the proposal until some entry answers; after a crash or pause, to another entry.
    async fn submit(
        &self,
        client: &Arc<FaultyClient>,
        reliable: &Arc<FaultyClient>,
    ) -> Vec<Submission> {
        let own = proposal(self.generations, "mine", 100);
        let (mut submissions, mut paused) = (Vec::new(), Vec::new());
        loop {
            let (to, proposal) = (entry(client.clone()), own.clone());
            let mut accepting = tokio::spawn(async move { to.accept(proposal).await });
            match observe(&mut accepting, client, reliable, &mut submissions).await {
                Observation::Answer(answer) => {
                    submissions.push((own.clone(), answer));
                    break;
                }
                Observation::Crash => accepting.abort(),
                Observation::Pause => paused.push(accepting),
            }
        }
        client.resume();
        for accepting in &mut paused {
            match observe(accepting, client, reliable, &mut submissions).await {
                Observation::Answer(answer) => submissions.push((own.clone(), answer)),
                Observation::Crash | Observation::Pause => accepting.abort(),
            }
        }
        submissions
    }
}

/// Observed behaviour of an entry that handles a proposal.
enum Observation {
    Answer(Result<Accepted, Failure>),
    Crash,
    Pause,
}

/// Waits until an entry answers, crashes or is paused. Submits a concurrent proposal of another
/// operator whenever the client requests one.
async fn observe(
    accepting: &mut JoinHandle<Result<Accepted, Failure>>,
    client: &FaultyClient,
    reliable: &Arc<FaultyClient>,
    submissions: &mut Vec<Submission>,
) -> Observation {
    loop {
        tokio::select! {
            answer = &mut *accepting => return Observation::Answer(answer.expect("no panic")),
            () = client.crashed.notified() => return Observation::Crash,
            () = client.paused.notified() => return Observation::Pause,
            () = client.race.notified() => {
                submissions.push(submit_concurrently(reliable, submissions.len()).await);
                client.raced.notify_one();
            }
        }
    }
}

/// Submits the same proposal again if the operator did not learn the outcome.
async fn resolve(
    reliable: &Arc<FaultyClient>,
    proposal: &Proposal,
    answer: Result<Accepted, Failure>,
) -> Result<Accepted, Failure> {
    match answer {
        Err(failure) if failure.code == Code::ConfigUnsettled => {
            entry(reliable.clone()).accept(proposal.clone()).await
        }
        answer => answer,
    }
}

/// Submits the proposal of another operator, based on the latest generation.
async fn submit_concurrently(reliable: &Arc<FaultyClient>, number: usize) -> Submission {
    let based_on = reliable.kv.heads().last().map_or(0, |head| head.generation);
    let proposal = proposal(based_on, &format!("race-{number}"), 200 + number as u64);
    let answer = entry(reliable.clone()).accept(proposal.clone()).await;
    (proposal, answer)
}

fn check_answer(
    kv: &FakeKv,
    proposal: &Proposal,
    answer: &Result<Accepted, Failure>,
) -> Option<String> {
    let heads = kv.heads();
    let describes = |head: &Head, text: &str| {
        let generation = format!("generation {}", head.generation);
        let parts = [generation.as_str(), head.author.as_str(), head.digest.as_str()];
        parts.iter().all(|part| text.contains(part))
    };
    let nonce = &proposal.nonce;
    let written: Vec<u64> =
        heads.iter().filter(|head| head.nonce == *nonce).map(|head| head.generation).collect();
    let expected = proposal.based_on + 1;
    match answer {
        Ok(accepted) if written != [expected] || accepted.head.generation != expected => {
            Some(format!(
                "{nonce}: reported as accepted with generation {}, written as {written:?}",
                accepted.head.generation
            ))
        }
        Ok(_) => None,
        Err(failure) if failure.code != Code::ConfigConflict => {
            Some(format!("{nonce}: outcome not resolved: {failure}"))
        }
        Err(_) if !written.is_empty() => {
            Some(format!("{nonce}: reported as a conflict but was accepted"))
        }
        Err(failure) => {
            let winner = heads.iter().find(|head| head.generation == expected);
            let is_winner_named = winner.is_some_and(|head| describes(head, &failure.context));
            (!is_winner_named).then(|| {
                format!("{nonce}: conflict does not name the accepted proposal: {failure}")
            })
        }
    }
}

fn check_store(kv: &FakeKv) -> Vec<String> {
    let heads = kv.heads();
    let mut violations = Vec::new();
    for (index, head) in heads.iter().enumerate() {
        if head.generation != index as u64 + 1 {
            violations.push(format!(
                "generation {} was written at position {}",
                head.generation,
                index + 1
            ));
        }
        if kv.read(&format!("fennelfold/config/body/{}", head.digest)).is_none() {
            violations.push(format!("generation {} has no body", head.generation));
        }
        let history = kv.read(&format!("{HISTORY}{:012}", head.generation));
        let history: Option<Head> = history.and_then(|s| serde_json::from_slice(&s.value).ok());
        let is_last = index + 1 == heads.len();
        if !is_last && history.map(|stored| stored.digest) != Some(head.digest.clone()) {
            violations.push(format!("generation {} is not in the history", head.generation));
        }
    }
    violations
}

/// An entry that follows the platform, and the generations that it activated.
struct Follower {
    configuration: Arc<Configuration>,
    activated: tokio::task::JoinHandle<Vec<u64>>,
    kernel: Arc<Kernel>,
}

impl Follower {
    fn start(configuration: Arc<Configuration>) -> Self {
        let kernel = Kernel::new();
        tokio::spawn(configuration.clone().run(kernel.stop_signal()));
        let (mut changes, mut stop) = (configuration.subscribe(), kernel.stop_signal());
        let activated = tokio::spawn(async move {
            let mut generations = Vec::new();
            loop {
                tokio::select! {
                    biased;
                    _ = changes.changed() => {
                        let current = changes.borrow_and_update().clone();
                        generations.extend(current.map(|current| current.head.generation));
                    }
                    () = stop.wait() => return generations,
                }
            }
        });
        Self { configuration, activated, kernel }
    }

    /// Waits for the latest generation, and checks that the activated generations only increased.
    async fn check(self, kv: &FakeKv) -> Vec<String> {
        let expected = kv.heads().last().map_or(0, |head| head.generation);
        let mut changes = self.configuration.subscribe();
        let reached = changes.wait_for(|current| {
            current.as_ref().map_or(0, |current| current.head.generation) >= expected
        });
        // Guaranteed distribution time, measured on the paused clock.
        let reached = tokio::time::timeout(Duration::from_secs(16), reached).await.is_ok();
        self.kernel.stop();
        let activated = self.activated.await.expect("no panic");
        let mut violations = Vec::new();
        if !reached {
            violations.push(format!("generation {expected} was not active within 16 s"));
        }
        if activated.windows(2).any(|pair| pair[0] >= pair[1]) {
            violations.push(format!("an entry activated generations out of order: {activated:?}"));
        }
        violations
    }
}

/// Number of calls at which a script may start; without faults a proposal makes at most four calls.
const START_CALLS: usize = 4;

/// Returns the cases of every fault at every call, and of every combination of faults at up to
/// `max_faults` consecutive calls, each without and with earlier generations.
pub(crate) fn fault_cases(disabled: Option<DisabledGuard>, max_faults: usize) -> Vec<FaultCase> {
    let mut scripts = vec![BTreeMap::new()];
    for start in 0..START_CALLS {
        let mut last = vec![BTreeMap::new()];
        for call in start..start + max_faults {
            let add_fault = |script: &BTreeMap<usize, Fault>, fault| {
                let mut script = script.clone();
                script.insert(call, fault);
                script
            };
            let extend = |script| FAULTS.map(|fault| add_fault(script, fault));
            last = last.iter().flat_map(extend).collect();
            scripts.extend(last.clone());
        }
    }
    let cases_after = |generations: u64| {
        let scripts = scripts.iter().cloned();
        scripts.map(move |script| FaultCase { generations, script, disabled })
    };
    cases_after(0).chain(cases_after(2)).collect()
}
