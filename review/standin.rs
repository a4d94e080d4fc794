//! Stand-ins and checks of the review's cases: `standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod joined_versions;
mod late_refusal;
mod plain;
mod silent_answer;
mod slow_reader;
mod torn_event;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else { std::process::exit(2) };
    world::open_record(path);
    world::record(&format!("case {case}, disruption: {}", world::has_trouble()));
    world::end_after_ms(110_000);
    let run: fn() -> i32 = match case.as_str() {
        "late-refusal" => late_refusal::run,
        "silent-answer" => silent_answer::run,
        "slow-reader" => slow_reader::run,
        "joined-versions" => joined_versions::run,
        "torn-event" => torn_event::run,
        _ => || 2,
    };
    // A stand-in that fails is no broken rule. Unwinding ends the processes that were started.
    let code = std::panic::catch_unwind(run).unwrap_or(2);
    let verdict = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    world::record(verdict);
    println!("{case}: {verdict}");
    std::process::exit(code);
}
