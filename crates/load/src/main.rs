//! Compares routing policies over workloads and fault schedules.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;
use load::{
    Faults, PolicyName, Protection, Row, Scenario, Total, Workload, arrivals, plot, run, table,
};
use route::Policy;
use std::path::{Path, PathBuf};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let seeds: u64 = matches.get_one("seeds").copied().unwrap_or(1);
    let out: &PathBuf = matches.get_one("out").ok_or_else(|| eyre::eyre!("no --out"))?;
    std::fs::create_dir_all(out)?;
    let mut policies = policies();
    for text in matches.get_many::<String>("variant").into_iter().flatten() {
        policies.push((text.clone(), PolicyName::Today(variant(text)?)));
    }
    let mut rows = Vec::new();
    for workload in paths(&matches, "workload") {
        let mut workload = Workload::read(workload)?;
        workload.scale(matches.get_one("scale").copied().unwrap_or(1));
        for faults in paths(&matches, "faults") {
            let faults = Faults::read(faults)?;
            let some = compare(&workload, &faults, &policies, seeds);
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
        .arg(Arg::new("variant").long("variant").action(ArgAction::Append).help(
            "Settings of today's policy to compare as well, such as fill=0.4,count_others=false",
        ))
        .arg(
            Arg::new("scale")
                .long("scale")
                .value_parser(value_parser!(usize))
                .help("Factor on entries, servers, sessions and arrivals"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_parser(value_parser!(u64))
                .help("Runs, with seeds from 1"),
        )
}

fn paths<'a>(matches: &'a ArgMatches, name: &str) -> impl Iterator<Item = &'a Path> {
    matches.get_many::<PathBuf>(name).into_iter().flatten().map(PathBuf::as_path)
}

/// Reads settings such as `fill=0.4,count_others=false`; the others are those of today.
fn variant(text: &str) -> Result<Policy> {
    let mut policy = Policy::default();
    for part in text.split(',') {
        let (key, value) = part.split_once('=').ok_or_else(|| eyre::eyre!("{part} lacks ="))?;
        match key {
            "fill" => policy.fill = value.parse()?,
            "load_bound" => policy.load_bound = value.parse()?,
            "guard_tokens" => policy.guard_tokens = value.parse()?,
            "count_others" => policy.count_others = value.parse()?,
            "average_ms" => policy.average_ms = value.parse()?,
            _ => return Err(eyre::eyre!("{key} is no setting of the policy")),
        }
    }
    Ok(policy)
}

fn policies() -> Vec<(String, PolicyName)> {
    let all = vec![
        ("random", PolicyName::Random),
        ("round-robin", PolicyName::RoundRobin),
        ("least-in-flight", PolicyName::LeastInFlight),
        ("earliest", PolicyName::Earliest),
        ("today", PolicyName::Today(Policy::default())),
    ];
    all.into_iter().map(|(name, policy)| (name.to_owned(), policy)).collect()
}

fn compare(
    workload: &Workload,
    faults: &Faults,
    policies: &[(String, PolicyName)],
    seeds: u64,
) -> Vec<Row> {
    let drawn: Vec<_> = (1..=seeds).map(|seed| (seed, arrivals(workload, seed))).collect();
    let one = |(name, policy): &(String, PolicyName)| {
        let mut total = Total::default();
        for (seed, arrivals) in &drawn {
            let today = matches!(policy, PolicyName::Today(_));
            let protection = if today { Protection::default() } else { Protection::NONE };
            let scenario = Scenario { workload, faults, arrivals, policy, protection, seed: *seed };
            total.add(workload, arrivals, run(&scenario));
        }
        Row {
            workload: workload.name.clone(),
            faults: faults.name.clone(),
            policy: name.clone(),
            summary: total.summary(),
            by_second: total.by_second(),
        }
    };
    std::thread::scope(|scope| {
        let runs: Vec<_> = policies.iter().map(|policy| scope.spawn(move || one(policy))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}
