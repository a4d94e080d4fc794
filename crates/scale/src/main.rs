//! Measures the cost of membership per entry for several cluster sizes; prints a table and writes
//! it as JSON.

use scale::{Figures, measure};

/// Cluster sizes to measure, in entries.
const CLUSTER_SIZES: [usize; 4] = [8, 50, 200, 400];
/// Seed of the random source.
const SEED: u64 = 7;

fn main() -> std::io::Result<()> {
    let out = std::env::args().nth(1).unwrap_or_else(|| "target/membership.json".to_owned());
    println!(
        "entries | quiet B/s (worst) msg/s core% | wave B/s (worst) core% | \
              restart B/s (worst) core% | known after ms: leaving server death wave restart"
    );
    let all: Vec<Figures> =
        CLUSTER_SIZES.iter().map(|entries| measure(*entries, SEED)).inspect(print).collect();
    std::fs::write(&out, serde_json::to_string_pretty(&all)?)?;
    println!("written to {out}");
    Ok(())
}

fn print(f: &Figures) {
    let ms = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| ms.to_string());
    println!(
        "{:>7} | {:.0} ({:.0}) {:.1} {:.3} | {:.0} ({:.0}) {:.3} | {:.0} ({:.0}) {:.3} | {} {} {} {} {}",
        f.entries,
        f.quiet.bytes,
        f.quiet.bytes_worst,
        f.quiet.messages,
        f.quiet.core_percent,
        f.wave.bytes,
        f.wave.bytes_worst,
        f.wave.core_percent,
        f.restart.bytes,
        f.restart.bytes_worst,
        f.restart.core_percent,
        ms(f.leaving_ms),
        ms(f.server_ms),
        ms(f.death_ms),
        ms(f.wave_ms),
        ms(f.restart_ms),
    );
}
