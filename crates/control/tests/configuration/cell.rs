//! Cells of the fault matrix for acceptance: one offer, faults at its calls, and the checker.

use crate::kv::{self, Client, Fault, HISTORY, Model, Off};
use cluster::Cluster;
use conf::Head;
use control::{Accepted, Configuration, Proposal};
use kernel::prelude::*;
use kernel::{Kernel, Metrics};
use member::{Member, MemberState};
use peer::{PeerSettings, Peers, Traffic};
use std::sync::OnceLock;
use tokio::task::JoinHandle;

const TEXT: &str = "\
[deployment]
name = trial
[data_centre north]
region = coast
[organisation friends]
requests_per_s = 50
[service reminder]
kind = plain
";

pub(crate) fn offer(based_on: u64, nonce: &str, burst: u64) -> Proposal {
    let text =
        TEXT.replace("requests_per_s = 50", &format!("requests_per_s = 50\nburst = {burst}"));
    Proposal { text, based_on, nonce: nonce.into(), author: Name::from(format!("author-{nonce}")) }
}

/// One entry over a client of the key-value service.
pub(crate) fn entry(kv: Arc<Client>) -> Arc<Configuration> {
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

/// What an operator was told in the end, and whether it had to ask again.
pub(crate) type Told = (Proposal, Result<Accepted, Failure>);

/// One cell: the generations there before, and the faults by number of call.
#[derive(Clone, Debug)]
pub(crate) struct Cell {
    pub(crate) generations: u64,
    pub(crate) script: BTreeMap<usize, Fault>,
    pub(crate) off: Option<Off>,
}

impl Cell {
    /// Runs the cell and lists what broke a promise; none when a fault was not met.
    pub(crate) async fn run(&self) -> Option<Vec<String>> {
        let model = Model::new(self.off);
        let calm = Client::new(model.clone(), BTreeMap::new());
        let mut told = Vec::new();
        for generation in 0..self.generations {
            let offer = offer(generation, &format!("before-{generation}"), 10 + generation);
            told.push((offer.clone(), entry(calm.clone()).accept(offer).await));
        }
        let reader = Reader::start(entry(calm.clone()));
        let client = Client::new(model.clone(), self.script.clone());
        told.extend(self.offer(&client, &calm).await);
        client.land_all();
        let mut broken = Vec::new();
        for (offer, answer) in told {
            broken.extend(check_answer(&model, &offer, &settle(&calm, &offer, answer).await));
        }
        broken.extend(check_store(&model));
        broken.extend(reader.check(&model).await);
        client.met_all().then_some(broken)
    }

    /// Offers until some entry answers: one that dies or pauses is followed by another.
    async fn offer(&self, client: &Arc<Client>, calm: &Arc<Client>) -> Vec<Told> {
        let mine = offer(self.generations, "mine", 100);
        let (mut told, mut paused) = (Vec::new(), Vec::new());
        loop {
            let (asked, offer) = (entry(client.clone()), mine.clone());
            let mut accepting = tokio::spawn(async move { asked.accept(offer).await });
            match watch(&mut accepting, client, calm, &mut told).await {
                Seen::Answer(answer) => {
                    told.push((mine.clone(), answer));
                    break;
                }
                Seen::Crash => accepting.abort(),
                Seen::Pause => paused.push(accepting),
            }
        }
        client.resume();
        for accepting in &mut paused {
            match watch(accepting, client, calm, &mut told).await {
                Seen::Answer(answer) => told.push((mine.clone(), answer)),
                Seen::Crash | Seen::Pause => accepting.abort(),
            }
        }
        told
    }
}

/// What is seen of an entry that was given an offer.
enum Seen {
    Answer(Result<Accepted, Failure>),
    Crash,
    Pause,
}

/// Waits for the answer of an entry, its death or its pause; lets other operators race it.
async fn watch(
    accepting: &mut JoinHandle<Result<Accepted, Failure>>,
    client: &Client,
    calm: &Arc<Client>,
    told: &mut Vec<Told>,
) -> Seen {
    loop {
        tokio::select! {
            answer = &mut *accepting => return Seen::Answer(answer.expect("no panic")),
            () = client.crashed.notified() => return Seen::Crash,
            () = client.paused.notified() => return Seen::Pause,
            () = client.race.notified() => {
                told.push(race(calm, told.len()).await);
                client.raced.notify_one();
            }
        }
    }
}

/// An operator who was not told for certain sends the same offer again.
async fn settle(
    calm: &Arc<Client>,
    offer: &Proposal,
    answer: Result<Accepted, Failure>,
) -> Result<Accepted, Failure> {
    match answer {
        Err(failure) if failure.code == Code::ConfigUnsettled => {
            entry(calm.clone()).accept(offer.clone()).await
        }
        answer => answer,
    }
}

/// Another operator offers on top of whatever is in force.
async fn race(calm: &Arc<Client>, number: usize) -> Told {
    let based_on = calm.model.heads().last().map_or(0, |head| head.generation);
    let offer = offer(based_on, &format!("race-{number}"), 200 + number as u64);
    let answer = entry(calm.clone()).accept(offer.clone()).await;
    (offer, answer)
}

fn check_answer(
    model: &Model,
    offer: &Proposal,
    answer: &Result<Accepted, Failure>,
) -> Option<String> {
    let heads = model.heads();
    let named = |head: &Head, text: &str| {
        let generation = format!("generation {}", head.generation);
        let parts = [generation.as_str(), head.author.as_str(), head.digest.as_str()];
        parts.iter().all(|part| text.contains(part))
    };
    let nonce = &offer.nonce;
    let written: Vec<u64> =
        heads.iter().filter(|head| head.nonce == *nonce).map(|head| head.generation).collect();
    let expected = offer.based_on + 1;
    match answer {
        Ok(accepted) if written != [expected] || accepted.head.generation != expected => Some(
            format!("{nonce}: told accepted {}, written {written:?}", accepted.head.generation),
        ),
        Ok(_) => None,
        Err(failure) if failure.code != Code::ConfigConflict => {
            Some(format!("{nonce}: not settled: {failure}"))
        }
        Err(_) if !written.is_empty() => {
            Some(format!("{nonce}: told conflict, but it was accepted"))
        }
        Err(failure) => {
            let winner = heads.iter().find(|head| head.generation == expected);
            let told = winner.is_some_and(|head| named(head, &failure.context));
            (!told).then(|| format!("{nonce}: winner not named: {failure}"))
        }
    }
}

fn check_store(model: &Model) -> Vec<String> {
    let heads = model.heads();
    let mut broken = Vec::new();
    for (place, head) in heads.iter().enumerate() {
        if head.generation != place as u64 + 1 {
            broken.push(format!("generation {} written as number {}", head.generation, place + 1));
        }
        if model.read(&format!("fennelfold/config/body/{}", head.digest)).is_none() {
            broken.push(format!("generation {} has no body", head.generation));
        }
        let history = model.read(&format!("{HISTORY}{:012}", head.generation));
        let history: Option<Head> = history.and_then(|s| serde_json::from_slice(&s.value).ok());
        let last = place + 1 == heads.len();
        if !last && history.map(|known| known.digest) != Some(head.digest.clone()) {
            broken.push(format!("generation {} is not in the history", head.generation));
        }
    }
    broken
}

/// An entry that follows the platform, and what it ran.
struct Reader {
    configuration: Arc<Configuration>,
    ran: tokio::task::JoinHandle<Vec<u64>>,
    kernel: Arc<Kernel>,
}

impl Reader {
    fn start(configuration: Arc<Configuration>) -> Self {
        let kernel = Kernel::new();
        tokio::spawn(configuration.clone().run(kernel.stop_signal()));
        let (mut follow, mut stop) = (configuration.subscribe(), kernel.stop_signal());
        let ran = tokio::spawn(async move {
            let mut generations = Vec::new();
            loop {
                tokio::select! {
                    biased;
                    _ = follow.changed() => {
                        let current = follow.borrow_and_update().clone();
                        generations.extend(current.map(|current| current.head.generation));
                    }
                    () = stop.wait() => return generations,
                }
            }
        });
        Self { configuration, ran, kernel }
    }

    /// Waits for the last head, and checks that the generations only rose.
    async fn check(self, model: &Model) -> Vec<String> {
        let wanted = model.heads().last().map_or(0, |head| head.generation);
        let mut follow = self.configuration.subscribe();
        let there = follow.wait_for(|current| {
            current.as_ref().map_or(0, |current| current.head.generation) >= wanted
        });
        // The stated bound, on the paused clock.
        let there = tokio::time::timeout(Duration::from_secs(16), there).await.is_ok();
        self.kernel.stop();
        let ran = self.ran.await.expect("no panic");
        let mut broken = Vec::new();
        if !there {
            broken.push(format!("generation {wanted} not in force within 16 s"));
        }
        if ran.windows(2).any(|pair| pair[0] >= pair[1]) {
            broken.push(format!("an entry went back: {ran:?}"));
        }
        broken
    }
}

/// Calls at which a script may start; an offer without faults makes at most four.
const STARTS: usize = 4;

/// Every fault at every call, and every combination of up to `depth` at neighbouring calls.
pub(crate) fn cells(off: Option<Off>, depth: usize) -> Vec<Cell> {
    let mut scripts = vec![BTreeMap::new()];
    for start in 0..STARTS {
        let mut last = vec![BTreeMap::new()];
        for call in start..start + depth {
            let with = |script: &BTreeMap<usize, Fault>, fault| {
                let mut script = script.clone();
                script.insert(call, fault);
                script
            };
            let longer = |script| kv::FAULTS.map(|fault| with(script, fault));
            last = last.iter().flat_map(longer).collect();
            scripts.extend(last.clone());
        }
    }
    let with = |generations: u64| {
        let scripts = scripts.iter().cloned();
        scripts.map(move |script| Cell { generations, script, off })
    };
    with(0).chain(with(2)).collect()
}
