//! Compares routing policies over workloads and fault schedules.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;
use load::{Faults, PolicyName, Row, Scenario, Workload, arrivals, bound, plot, run, table};
use route::Policy;
use std::path::{Path, PathBuf};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let seed: u64 = matches.get_one("seed").copied().unwrap_or(1);
    let out: &PathBuf = matches.get_one("out").ok_or_else(|| eyre::eyre!("no --out"))?;
    std::fs::create_dir_all(out)?;
    let mut rows = Vec::new();
    for workload in paths(&matches, "workload") {
        let workload = Workload::read(workload)?;
        for faults in paths(&matches, "faults") {
            let faults = Faults::read(faults)?;
            let some = compare(&workload, &faults, &policies(), seed);
            print!("{}", table(&some));
            plot(&some, &out.join(format!("{}-{}.svg", workload.name, faults.name)))?;
            rows.extend(some);
        }
    }
    std::fs::write(out.join("table.txt"), table(&rows))?;
    std::fs::write(out.join("figures.json"), serde_json::to_vec_pretty(&rows)?)?;
    Ok(())
}

fn command() -> Command {
    let path = |name: &'static str| {
        Arg::new(name).long(name).action(ArgAction::Append).value_parser(value_parser!(PathBuf))
    };
    Command::new("load")
        .about("Compares routing policies in virtual time")
        .arg(path("workload").required(true).help("Settings file of a workload"))
        .arg(path("faults").required(true).help("Schedule of faults"))
        .arg(path("out").action(ArgAction::Set).required(true).help("Directory for results"))
        .arg(Arg::new("seed").long("seed").value_parser(value_parser!(u64)).help("Seed"))
}

fn paths<'a>(matches: &'a ArgMatches, name: &str) -> impl Iterator<Item = &'a Path> {
    matches.get_many::<PathBuf>(name).into_iter().flatten().map(PathBuf::as_path)
}

fn policies() -> Vec<(&'static str, PolicyName)> {
    vec![
        ("random", PolicyName::Random),
        ("round-robin", PolicyName::RoundRobin),
        ("least-in-flight", PolicyName::LeastInFlight),
        ("earliest", PolicyName::Earliest),
        ("today", PolicyName::Today(Policy::default())),
    ]
}

fn compare(
    workload: &Workload,
    faults: &Faults,
    policies: &[(&str, PolicyName)],
    seed: u64,
) -> Vec<Row> {
    let arrivals = arrivals(workload, seed);
    let bound = bound(workload, &arrivals);
    let one = |(name, policy): &(&str, PolicyName)| {
        let scenario = Scenario { workload, faults, arrivals: &arrivals, policy, seed };
        let outcome = run(&scenario);
        Row {
            workload: workload.name.clone(),
            faults: faults.name.clone(),
            policy: (*name).to_owned(),
            summary: outcome.summary(workload, &arrivals, bound.per_thousand),
            by_second: outcome.by_second,
        }
    };
    policies.iter().map(one).collect()
}
