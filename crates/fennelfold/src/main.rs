//! fennelfold: serves language models and plain services on reclaimable VMs.

mod cmd;
mod entry;

use kernel::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(cmd::run(&matches)),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // The reader had enough, as `head` does.
        Err(report) if cmd::out::is_closed(&report) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("fennelfold: {report:#}");
            ExitCode::from(
                report.downcast_ref::<Failure>().map_or(1, |failure| failure.code.exit()),
            )
        }
    }
}
