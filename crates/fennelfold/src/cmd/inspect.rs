//! `where`, `status`, `drain`.

use crate::cmd::caller::Caller;
use crate::cmd::{entries, entries_arg, out, text};
use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use front::{DrainAsk, EntryList, Status};
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
    out::line(format_args!("valid for {} ms", list.valid_for_ms))?;
    for entry in list.entries {
        out::line(format_args!(
            "{} {} {} {}",
            entry.name, entry.address, entry.data_centre, entry.key_prefix
        ))?;
    }
    Ok(())
}

pub(crate) async fn run_status(matches: &ArgMatches) -> Result<()> {
    let status: Status = caller(matches).get("/v1/operator/status").await?;
    out::line(format_args!(
        "entry {} ready {} generation {} records {} open {}",
        status.entry, status.ready, status.generation, status.records, status.open
    ))?;
    for entry in status.entries {
        out::line(format_args!(
            "  entry {} {} {} {}",
            entry.node, entry.address, entry.data_centre, entry.state
        ))?;
    }
    for server in status.servers {
        let state = if server.leaving { "leaving" } else { "live" };
        out::line(format_args!(
            "  server {} {} {state} open {} running {}",
            server.name, server.data_centre, server.open, server.running
        ))?;
    }
    Ok(())
}

pub(crate) async fn run_drain(matches: &ArgMatches) -> Result<()> {
    let ask = DrainAsk { server: text(matches, "server").into() };
    let body = serde_json::to_vec(&ask)?;
    let done: DrainAsk = caller(matches).post("/v1/operator/drain", body.into()).await?;
    out::line(format_args!("{} takes no new work", done.server))?;
    Ok(())
}
