//! `config`: check, show, diff, apply, history.

use crate::cmd::caller::Caller;
use crate::cmd::entry::read_source;
use crate::cmd::{entries, entries_arg, out, text};
use clap::{Arg, ArgMatches, Command};
use conf::{Config, Head, Merged, Source};
use control::{Accepted, Proposal};
use eyre::Result;
use front::{ConfigReport, EntryList, Status};
use kernel::prelude::*;
use rand::RngExt;
use std::time::Instant;

/// Time an entry may take to settle an offer.
const OFFER_TIME: Duration = Duration::from_secs(20);
/// Time within which an accepted configuration must be in force everywhere.
const EVERYWHERE: Duration = Duration::from_secs(16);

pub(crate) fn command() -> Command {
    Command::new("config")
        .about("Checks, shows, compares and applies the configuration")
        .subcommand_required(true)
        .after_help(
            "Examples:\n  fennelfold config check --base base.ini --site howrah.ini\n  \
             fennelfold config apply --base base.ini --site howrah.ini --entry 10.0.0.1:7101",
        )
        .subcommand(with_files(
            Command::new("check").about("Checks files and reports every mistake").after_help(
                "Example:\n  fennelfold config check --base base.ini --site howrah.ini",
            ),
        ))
        .subcommand(
            Command::new("show")
                .about("Prints the configuration in force")
                .after_help("Example:\n  fennelfold config show --entry 10.0.0.1:7101")
                .arg(entries_arg()),
        )
        .subcommand(
            with_files(
                Command::new("diff")
                    .about("Compares files with the configuration in force")
                    .after_help(
                        "Example:\n  fennelfold config diff --base base.ini --site howrah.ini \
                         --entry 10.0.0.1:7101",
                    ),
            )
            .arg(entries_arg()),
        )
        .subcommand(
            with_files(
                Command::new("apply")
                    .about("Offers files, and waits until they are in force")
                    .after_help(
                        "Example:\n  fennelfold config apply --base base.ini --site howrah.ini \
                         --author mira --entry 10.0.0.1:7101",
                    ),
            )
            .arg(entries_arg())
            .arg(
                Arg::new("based-on")
                    .long("based-on")
                    .value_name("GENERATION")
                    .help("Generation the files are based on; the one in force if not given")
                    .value_parser(clap::value_parser!(u64)),
            )
            .arg(
                Arg::new("nonce")
                    .long("nonce")
                    .value_name("TEXT")
                    .help("Number of an earlier offer that was not settled, to send it again"),
            )
            .arg(
                Arg::new("author")
                    .long("author")
                    .value_name("NAME")
                    .help("Who offers it")
                    .default_value("operator"),
            ),
        )
        .subcommand(
            Command::new("history")
                .about("Lists accepted configurations: generation, time, author and digest")
                .after_help("Example:\n  fennelfold config history --entry 10.0.0.1:7101")
                .arg(entries_arg()),
        )
}

fn with_files(command: Command) -> Command {
    command
        .arg(Arg::new("base").long("base").value_name("FILE").help("Base file").required(true))
        .arg(Arg::new("site").long("site").value_name("FILE").help("Overlay of a site"))
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("show", matches)) => show(matches).await,
        Some(("diff", matches)) => diff(matches).await,
        Some(("apply", matches)) => apply(matches).await,
        Some(("history", matches)) => history(matches).await,
        _ => Ok(()),
    }
}

fn check(matches: &ArgMatches) -> Result<()> {
    let (_, config) = read_files(matches)?;
    out::line(format_args!(
        "ok: {} with {} data centres, {} organisations, {} models, {} services",
        config.deployment,
        config.data_centres.len(),
        config.organisations.len(),
        config.models.len(),
        config.services.len()
    ))?;
    Ok(())
}

fn read_files(matches: &ArgMatches) -> Result<(Merged, Config), Failure> {
    let mut sources: Vec<Source> = vec![read_source(text(matches, "base"))?];
    if let Some(site) = matches.get_one::<String>("site") {
        sources.push(read_source(site)?);
    }
    let invalid =
        |errors: conf::ConfigErrors| Failure::new(Code::ConfigInvalid, format!("\n{errors}"));
    let merged = Merged::read(&sources).map_err(invalid)?;
    let config = Config::read(&merged).map_err(invalid)?;
    Ok((merged, config))
}

async fn show(matches: &ArgMatches) -> Result<()> {
    let report = in_force(&caller(matches)).await?;
    out::line(format_args!("# generation {} by {}", report.head.generation, report.head.author))?;
    out::print(report.text)?;
    Ok(())
}

fn caller(matches: &ArgMatches) -> Caller {
    Caller::new(entries(matches), OFFER_TIME)
}

async fn in_force(caller: &Caller) -> Result<ConfigReport, Failure> {
    caller.get("/v1/operator/config").await
}

async fn diff(matches: &ArgMatches) -> Result<()> {
    let (merged, _) = read_files(matches)?;
    let report = in_force(&caller(matches)).await?;
    let (old, new) = (lines(&report.text), lines(&merged.render()));
    for line in old.difference(&new) {
        out::line(format_args!("- {line}"))?;
    }
    for line in new.difference(&old) {
        out::line(format_args!("+ {line}"))?;
    }
    Ok(())
}

/// Returns each setting with its section, so that lines can be compared as a set.
fn lines(text: &str) -> std::collections::BTreeSet<String> {
    let mut section = "";
    let mut lines = std::collections::BTreeSet::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        if line.starts_with('[') {
            section = line;
        } else {
            lines.insert(format!("{section} {line}"));
        }
    }
    lines
}

async fn apply(matches: &ArgMatches) -> Result<()> {
    let (merged, _) = read_files(matches)?;
    let caller = caller(matches);
    let based_on = match matches.get_one::<u64>("based-on") {
        Some(generation) => *generation,
        None => match in_force(&caller).await {
            Ok(report) => report.head.generation,
            Err(failure) if failure.code == Code::NoConfiguration => 0,
            Err(failure) => return Err(failure.into()),
        },
    };
    let drawn = || format!("{:016x}", rand::rng().random::<u64>());
    let nonce = matches.get_one::<String>("nonce").cloned().unwrap_or_else(drawn);
    let proposal = Proposal {
        text: merged.render(),
        based_on,
        nonce: nonce.as_str().into(),
        author: text(matches, "author").into(),
    };
    let body = serde_json::to_vec(&proposal)?;
    let started = Instant::now();
    let accepted: Accepted = match caller.post("/v1/operator/config", body.into()).await {
        Ok(accepted) => accepted,
        Err(failure) if [Code::PeerUnreachable, Code::ConfigUnsettled].contains(&failure.code) => {
            let how = format!(
                "{}; settle it with --based-on {based_on} --nonce {nonce}",
                failure.context
            );
            return Err(Failure::new(Code::ConfigUnsettled, how).into());
        }
        Err(failure) => return Err(failure.into()),
    };
    // The exit code tells whether it is in force everywhere, so a closed pipe must not end the wait.
    let _ = out::line(format_args!("accepted as generation {}", accepted.head.generation));
    let entries = wait_everywhere(&caller, accepted.head.generation, started).await?;
    let took = started.elapsed().as_secs_f64();
    Ok(out::line(format_args!("in force at {entries} of {entries} entries in {took:.2} s"))?)
}

/// Waits until every entry in use has the generation in force, and returns their number.
async fn wait_everywhere(
    caller: &Caller,
    generation: u64,
    started: Instant,
) -> Result<usize, Failure> {
    loop {
        let list: EntryList = caller.get("/v1/entries").await?;
        let mut late = Vec::new();
        for entry in &list.entries {
            let one = Caller::new(vec![entry.address], Duration::from_secs(1));
            let status: Result<Status, Failure> = one.get("/v1/operator/status").await;
            if !status.is_ok_and(|status| status.ready == "yes" && status.generation >= generation)
            {
                late.push(entry.name.clone());
            }
        }
        let (all, took) = (list.entries.len(), started.elapsed());
        if late.is_empty() {
            return Ok(all);
        }
        if took > EVERYWHERE {
            let text = format!("{} of {all} entries lack it: {}", late.len(), late.join(", "));
            return Err(Failure::new(Code::ConfigNotEverywhere, text));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn history(matches: &ArgMatches) -> Result<()> {
    let heads: Vec<Head> = caller(matches).get("/v1/operator/config/history").await?;
    for head in heads {
        out::line(format_args!(
            "{} {} {} {}",
            head.generation, head.at_unix_ms, head.author, head.digest
        ))?;
    }
    Ok(())
}
