//! Runs one cell and prints what was seen: name of the life, then steps and faults.

use faults::{Cell, Fault, Life, check, run};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let plan = args[1..].chunks(2).filter_map(|pair| {
        let [step, fault] = pair else { return None };
        let named = |f: &&Fault| format!("{f:?}") == *fault;
        Some((step.parse().ok()?, *Fault::ALL.iter().find(named)?))
    });
    let cell = Cell { life: Life::named(&args[0]).expect("a life"), plan: plan.collect() };
    let log = run(&cell, None);
    for (at, seen) in &log.seen {
        println!("{at} {seen:?}");
    }
    println!("{:?}", check(&log));
}
