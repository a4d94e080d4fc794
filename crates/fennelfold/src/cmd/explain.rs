//! `explain`: gathers what was decided for a request from the entries that had it.

use crate::cmd::caller::Caller;
use crate::cmd::inspect::organisation_arg;
use crate::cmd::{entries, entries_arg, out, text};
use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use front::{Explanation, Status};
use kernel::prelude::*;
use ledger::Home;
use std::net::SocketAddr;

/// Time an entry may take to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Tells what was decided for a request, and why")
        .long_about(
            "Tells what was decided for a request, and why. Asks the entries that are named, the \
             two that the key names as its home, and those that the request moved to.",
        )
        .after_help(
            "Example:\n  fennelfold explain --entry 10.0.0.1:7101 --organisation friends KEY",
        )
        .arg(entries_arg())
        .arg(organisation_arg())
        .arg(Arg::new("key").value_name("KEY").help("Key of the request").required(true))
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let (organisation, key) = (text(matches, "organisation"), text(matches, "key"));
    check_path_part(organisation)?;
    check_path_part(key)?;
    let path = format!("/v1/operator/explain/{organisation}/{key}");
    let known = Known::ask(entries(matches), key).await;
    let mut found = false;
    let mut to_ask = known.first.clone();
    let mut asked = Vec::new();
    while let Some(entry) = to_ask.pop() {
        if asked.contains(&entry) {
            continue;
        }
        asked.push(entry);
        let one = Caller::new(vec![entry], ANSWER_TIME);
        match one.get::<Explanation>(&path).await {
            Ok(explanation) => {
                found = true;
                print(&explanation)?;
                to_ask.extend(explanation.moved_to.and_then(|name| known.address(&name)));
            }
            Err(failure) => out::line(format_args!("{entry}: {failure}"))?,
        }
    }
    if found { Ok(()) } else { Err(Failure::new(Code::UnknownKey, key).into()) }
}

/// Entries to ask first, and the addresses of all others.
struct Known {
    first: Vec<SocketAddr>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Known {
    async fn ask(named: Vec<SocketAddr>, key: &str) -> Self {
        let status: Result<Status, Failure> =
            Caller::new(named.clone(), ANSWER_TIME).get("/v1/operator/status").await;
        let listed = status.map(|status| status.entries).unwrap_or_default();
        let address = |entry: front::EntryStatus| {
            let name = entry.node.split('.').next().unwrap_or_default().to_owned();
            entry.address.parse().ok().map(|address| (name, address))
        };
        let addresses = listed.into_iter().filter_map(address).collect();
        let mut known = Self { first: named, addresses };
        // The last one is asked first: the owner tells most.
        if let Some(home) = Home::parse(key) {
            known.first.extend(known.address(&home.witness.name));
            known.first.extend(known.address(&home.owner.name));
        }
        known
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}

fn print(explanation: &Explanation) -> std::io::Result<()> {
    let Explanation { entry, role, chunks, ending, decisions, .. } = explanation;
    let ending = ending.as_deref().unwrap_or("none yet");
    out::line(format_args!("{entry}: {role}, {chunks} chunks, ending {ending}"))?;
    decisions.iter().try_for_each(|decision| out::line(format_args!("  {decision}")))
}

/// Checks that a name can stand in a path as it is.
fn check_path_part(part: &str) -> Result<(), Failure> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "._-~:".contains(c);
    if part.is_empty() || !part.chars().all(fits) {
        let text = format!("{part:?}: letters, digits and . _ - ~ : only");
        return Err(Failure::new(Code::MalformedKey, text));
    }
    Ok(())
}
