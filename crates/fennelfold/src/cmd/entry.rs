//! `entry`: runs the daemon.

use crate::cmd::text;
use clap::{Arg, ArgMatches, Command};
use conf::{Node, Source};
use eyre::Result;
use kernel::{Code, Failure};

pub(crate) fn command() -> Command {
    Command::new("entry")
        .about("Runs an entry: the daemon between callers and backend servers")
        .after_help("Example:\n  fennelfold entry --settings /etc/fennelfold/node.ini")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings of this process: name, data centre, addresses, platform")
                .required(true),
        )
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let source = read_source(text(matches, "settings"))?;
    let node = Node::read(&[source]);
    let node =
        node.map_err(|errors| Failure::new(Code::SettingsUnreadable, format!("\n{errors}")))?;
    crate::entry::run(node).await?;
    Ok(())
}

/// Reads a settings file.
pub(crate) fn read_source(file: &str) -> Result<Source, Failure> {
    let unreadable =
        |e: std::io::Error| Failure::new(Code::SettingsUnreadable, format!("{file}: {e}"));
    Ok(Source::new(file, std::fs::read_to_string(file).map_err(unreadable)?))
}
