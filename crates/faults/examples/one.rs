//! Runs one cell and prints what was seen: life number, then step and fault pairs.

use faults::{Cell, Fault, LIVES, check, run};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let life = args.first().and_then(|n| n.parse().ok()).unwrap_or(0);
    let plan = args[1..].chunks(2).filter_map(|pair| {
        let [step, fault] = pair else { return None };
        let named = |f: &&Fault| format!("{f:?}") == *fault;
        Some((step.parse().ok()?, *Fault::ALL.iter().find(named)?))
    });
    let cell = Cell { life: LIVES[life], plan: plan.collect() };
    let log = run(&cell, None);
    for (at, seen) in &log.seen {
        println!("{at} {seen:?}");
    }
    println!("{:?}", check(&log));
}
