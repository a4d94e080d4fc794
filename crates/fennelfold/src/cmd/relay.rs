//! `relay`: runs an entry that relays requests by operators' rules from the platform's store.

use crate::cmd::entry::read_source;
use clap::{Arg, ArgAction, ArgMatches, Command};
use conf::Relay;
use eyre::Result;
use infra::Duties;
use kernel::{Code, Failure};
use platform::{CloudDuties, PlatformProtocol, PlatformStore};
use std::rc::Rc;
use std::sync::Arc;
use tokio::task::LocalSet;

/// The variable that names the settings file where the platform writes one.
const SETTINGS_VARIABLE: &str = "FENNELFOLD_BOOT";

pub(crate) fn command() -> Command {
    Command::new("relay")
        .about("Runs an entry that relays requests by operators' rules from the platform's store")
        .after_help(
            "Example:\n  fennelfold relay --settings /etc/fennelfold/relay.ini\n  \
             fennelfold relay --settings relay.ini --check",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env(SETTINGS_VARIABLE)
                .help("Settings of this process: name, data centre, addresses, promises")
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and runs nothing"),
        )
}

/// Runs the entry on one thread: an entry VM has a part of one core.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let source = read_source(super::text(matches, "settings"))?;
    let settings = Relay::read(&source);
    let settings =
        settings.map_err(|errors| Failure::new(Code::SettingsUnreadable, format!("\n{errors}")))?;
    if matches.get_flag("check") {
        return Ok(super::out::print(format!("{settings:#?}\n"))?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (log, lines) = relay::queue(&settings.name);
    let cloud = settings.services.cloud;
    let parts = relay::Parts {
        protocol: Rc::new(PlatformProtocol::default()),
        store: Arc::new(PlatformStore::new(settings.services.store)),
        duties: cloud.map(|address| Arc::new(CloudDuties::new(address)) as Arc<dyn Duties>),
        settings,
        log,
    };
    let ended = LocalSet::new().block_on(&runtime, relay::run(parts));
    lines.write_out();
    Ok(ended?)
}
