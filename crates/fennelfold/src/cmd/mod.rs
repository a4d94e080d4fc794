//! The command line.

mod call;
mod caller;
mod config;
mod entry;
mod explain;
mod inspect;
pub(crate) mod out;
pub(crate) mod relay;
mod story;

use clap::{Arg, ArgAction, ArgMatches, Command};
use clap_complete::Shell;
use eyre::Result;
use std::net::SocketAddr;

/// Builds the whole command line.
pub(crate) fn command() -> Command {
    let command = Command::new("fennelfold")
        .version(clap::crate_version!())
        .about("Serves language models and plain services on reclaimable VMs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry::command())
        .subcommand(relay::command())
        .subcommand(config::command())
        .subcommand(inspect::where_command())
        .subcommand(call::command())
        .subcommand(inspect::status_command())
        .subcommand(explain::command())
        .subcommand(story::command())
        .subcommand(inspect::drain_command())
        .subcommand(completions());
    debug_assert!(is_sound(&command));
    command
}

/// Runs the chosen subcommand.
pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("entry", matches)) => entry::run(matches).await,
        Some(("config", matches)) => config::run(matches).await,
        Some(("where", matches)) => inspect::run_where(matches).await,
        Some(("call", matches)) => call::run(matches).await,
        Some(("status", matches)) => inspect::run_status(matches).await,
        Some(("explain", matches)) => explain::run(matches).await,
        Some(("story", matches)) => story::run(matches),
        Some(("drain", matches)) => inspect::run_drain(matches).await,
        Some(("completions", matches)) => {
            let shell = matches.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
            // The generator panics when it cannot write, so it writes into memory.
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command(), "fennelfold", &mut script);
            Ok(out::print(String::from_utf8_lossy(&script))?)
        }
        _ => Ok(()),
    }
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .after_help("Example:\n  fennelfold completions bash")
        .arg(
            Arg::new("shell")
                .help("Shell to print them for")
                .required(true)
                .value_parser(clap::value_parser!(Shell)),
        )
}

/// The argument that names entries to talk to.
pub(crate) fn entries_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .help("Address of an entry; give several to go on when one does not answer")
        .required(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(clap::value_parser!(SocketAddr))
}

/// Returns the entries that were named.
pub(crate) fn entries(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches
        .get_many::<SocketAddr>("entry")
        .map(|entries| entries.copied().collect())
        .unwrap_or_default()
}

/// Returns a text argument.
pub(crate) fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Checks that every subcommand says what it does and shows an example.
fn is_sound(command: &Command) -> bool {
    command
        .get_subcommands()
        .all(|sub| sub.get_about().is_some() && sub.get_after_help().is_some() && is_sound(sub))
}
