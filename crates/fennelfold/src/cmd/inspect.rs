//! `where`, `status`, `explain`, `drain`.

use crate::cmd::caller::Caller;
use crate::cmd::{entries, entries_arg, text};
use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use front::{DrainAsk, EntryList, Explanation, Status};
use kernel::prelude::*;

/// Time an entry may take to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

pub(crate) fn where_command() -> Command {
    Command::new("where")
        .about("Tells which entries to use, and for how long")
        .after_help("Example:\n  fennelfold where --entry 10.0.0.1:7101,10.0.0.2:7101")
        .arg(entries_arg())
}

pub(crate) fn status_command() -> Command {
    Command::new("status")
        .about("Shows entries, backend servers and requests as one entry sees them")
        .after_help("Example:\n  fennelfold status --entry 10.0.0.1:7101")
        .arg(entries_arg())
}

pub(crate) fn explain_command() -> Command {
    Command::new("explain")
        .about("Tells what was decided for a request, and why")
        .after_help(
            "Example:\n  fennelfold explain --entry 10.0.0.1:7101 --organisation friends KEY",
        )
        .arg(entries_arg())
        .arg(organisation_arg())
        .arg(Arg::new("key").value_name("KEY").help("Key of the request").required(true))
}

pub(crate) fn drain_command() -> Command {
    Command::new("drain")
        .about("Takes a backend server out of service, at every entry")
        .after_help("Example:\n  fennelfold drain --entry 10.0.0.1:7101 engine-3")
        .arg(entries_arg())
        .arg(
            Arg::new("server")
                .value_name("SERVER")
                .help("Name of the backend server")
                .required(true),
        )
}

/// The argument that names the caller's organisation.
pub(crate) fn organisation_arg() -> Arg {
    Arg::new("organisation")
        .long("organisation")
        .value_name("NAME")
        .help("Organisation that the request belongs to")
        .required(true)
}

fn caller(matches: &ArgMatches) -> Caller {
    Caller::new(entries(matches), ANSWER_TIME)
}

pub(crate) async fn run_where(matches: &ArgMatches) -> Result<()> {
    let list: EntryList = caller(matches).get("/v1/entries").await?;
    println!("valid for {} ms", list.valid_for_ms);
    for entry in list.entries {
        println!("{} {} {} {}", entry.name, entry.address, entry.data_centre, entry.key_prefix);
    }
    Ok(())
}

pub(crate) async fn run_status(matches: &ArgMatches) -> Result<()> {
    let status: Status = caller(matches).get("/v1/operator/status").await?;
    println!(
        "entry {} ready {} generation {} records {} open {}",
        status.entry, status.ready, status.generation, status.records, status.open
    );
    for entry in status.entries {
        println!("  entry {} {} {} {}", entry.node, entry.address, entry.data_centre, entry.state);
    }
    for server in status.servers {
        let state = if server.leaving { "leaving" } else { "live" };
        println!(
            "  server {} {} {state} open {} running {}",
            server.name, server.data_centre, server.open, server.running
        );
    }
    Ok(())
}

pub(crate) async fn run_explain(matches: &ArgMatches) -> Result<()> {
    let path =
        format!("/v1/operator/explain/{}/{}", text(matches, "organisation"), text(matches, "key"));
    let mut found = false;
    for entry in entries(matches) {
        let one = Caller::new(vec![entry], ANSWER_TIME);
        let explanation: Explanation = match one.get(&path).await {
            Ok(explanation) => explanation,
            Err(failure) => {
                println!("{entry}: {failure}");
                continue;
            }
        };
        found = true;
        println!(
            "{}: {}, {} chunks, ending {:?}",
            explanation.entry, explanation.role, explanation.chunks, explanation.ending
        );
        for decision in explanation.decisions {
            println!("  {decision}");
        }
    }
    if found { Ok(()) } else { Err(Failure::new(Code::UnknownKey, text(matches, "key")).into()) }
}

pub(crate) async fn run_drain(matches: &ArgMatches) -> Result<()> {
    let ask = DrainAsk { server: text(matches, "server").into() };
    let body = serde_json::to_vec(&ask)?;
    let done: DrainAsk = caller(matches).post("/v1/operator/drain", body.into()).await?;
    println!("{} takes no new work", done.server);
    Ok(())
}
