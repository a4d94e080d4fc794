//! What operators ask of an entry.

use crate::ask::BODY_TIME;
use crate::router::{Front, Ready};
use conf::Head;
use control::Proposal;
use kernel::prelude::*;
use ledger::Ending;
use member::MemberState;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use web::{Reply, Request, client_of, json};

/// Largest body of an operator's request; the key-value service holds values up to this size.
const BODY_LIMIT: usize = 1 << 20;

/// What `status` shows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: String,
    /// Whether it takes requests.
    pub ready: String,
    /// Generation in force there.
    pub generation: u64,
    /// Records held there.
    pub records: usize,
    /// Records that have not ended.
    pub open: usize,
    /// Entries as it sees them.
    pub entries: Vec<EntryStatus>,
    /// Backend servers as it sees them.
    pub servers: Vec<ServerStatus>,
}

/// An entry as another sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryStatus {
    /// Name and incarnation.
    pub node: String,
    /// Address for callers.
    pub address: String,
    /// Data centre.
    pub data_centre: Name,
    /// What is believed of it.
    pub state: String,
}

/// A backend server as an entry sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that this entry has open there.
    pub open: u32,
    /// Requests running there by its last report.
    pub running: u32,
}

/// The configuration in force at an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigReport {
    /// Which one.
    pub head: Head,
    /// Merged INI text.
    pub text: String,
}

/// What `explain` shows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Entry that answers.
    pub entry: String,
    /// What it is to the request.
    pub role: String,
    /// Chunks of the answer.
    pub chunks: usize,
    /// How it ended.
    pub ending: Option<String>,
    /// Name of the entry that has it now, when it moved there.
    pub moved_to: Option<Name>,
    /// What was decided, oldest first.
    pub decisions: Vec<String>,
}

/// Asks to take a backend server out of service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrainAsk {
    /// Name of the server.
    pub server: Name,
}

pub(crate) fn status(front: &Front) -> Reply {
    let entry = |member: member::Member| EntryStatus {
        node: member.node.to_string(),
        address: member.http.to_string(),
        data_centre: member.data_centre,
        state: match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }
        .to_owned(),
    };
    let server = |server: route::Server| ServerStatus {
        name: server.name,
        data_centre: server.data_centre,
        leaving: server.leaving,
        open: server.local_requests,
        running: server.report.running,
    };
    let (records, open) = front.requests.counts();
    let ready = match front.ready() {
        Ready::Yes => "yes".to_owned(),
        Ready::No(reason) => format!("no: {reason}"),
    };
    let status = Status {
        entry: front.cluster.local_node().to_string(),
        ready,
        generation: front.configuration.generation(),
        records,
        open,
        entries: front.cluster.members().into_iter().map(entry).collect(),
        servers: front.servers.all().into_iter().map(server).collect(),
    };
    json(200, &status)
}

pub(crate) fn explain(front: &Front, organisation: &str, key: &str) -> Result<Reply, Failure> {
    let key = Key::new(organisation, key);
    let unknown = || {
        Failure::new(
            Code::UnknownKey,
            format!("{key} is not held at {}", front.cluster.local_node()),
        )
    };
    let view = front.requests.describe(&key).ok_or_else(unknown)?;
    let explanation = Explanation {
        entry: front.cluster.local_node().to_string(),
        role: view.role,
        chunks: view.chunks,
        moved_to: match &view.ending {
            Some(Ending::Follow(entry)) => Some(entry.name.clone()),
            _ => None,
        },
        ending: view.ending.map(|ending| format!("{ending:?}")),
        decisions: view
            .decisions
            .iter()
            .map(|decision| format!("{} {}", decision.at_unix_ms, decision.text))
            .collect(),
    };
    Ok(json(200, &explanation))
}

async fn read<T: DeserializeOwned>(req: Request) -> Result<T, Failure> {
    let client = client_of(&req)?;
    let body = client.receive(req.into_body(), BODY_LIMIT, BODY_TIME).await?;
    serde_json::from_slice(&body).map_err(|e| Failure::new(Code::MalformedBody, e.to_string()))
}

pub(crate) fn show(front: &Front) -> Result<Reply, Failure> {
    let current = front.configuration.current()?;
    Ok(json(200, &ConfigReport { head: current.head.clone(), text: current.body.text.clone() }))
}

pub(crate) async fn history(front: &Front) -> Result<Reply, Failure> {
    Ok(json(200, &front.configuration.history().await?))
}

pub(crate) async fn apply(front: &Front, req: Request) -> Result<Reply, Failure> {
    let proposal: Proposal = read(req).await?;
    let configuration = front.configuration.clone();
    let accepted = Front::to_its_end(async move { configuration.accept(proposal).await }).await;
    if let Err(failure) = &accepted {
        warn!(front.log, "configuration refused"; "reason" => failure.to_string());
    }
    Ok(json(200, &accepted?))
}

pub(crate) async fn drain(front: &Front, req: Request) -> Result<Reply, Failure> {
    let ask: DrainAsk = read(req).await?;
    let known = front.servers.all().iter().any(|server| server.name == ask.server);
    if !known {
        return Err(Failure::new(
            Code::UnknownService,
            format!("no backend server {}", ask.server),
        ));
    }
    front.servers.drain(&ask.server);
    Ok(json(200, &ask))
}
