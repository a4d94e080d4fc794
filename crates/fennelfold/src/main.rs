//! fennelfold: serves language models and plain services on reclaimable VMs.

mod cmd;
mod entry;

use clap::ArgMatches;
use eyre::Result;
use kernel::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::command().get_matches();
    let result = match matches.subcommand() {
        Some(("relay", matches)) => cmd::relay::run(matches),
        _ => run(&matches),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // The reader had enough, as `head` does.
        Err(report) if cmd::out::is_closed(&report) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("fennelfold: {report:#}");
            ExitCode::from(
                report.downcast_ref::<Failure>().map_or(1, |failure| failure.code.exit_code()),
            )
        }
    }
}

fn run(matches: &ArgMatches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(cmd::run(matches))
}
