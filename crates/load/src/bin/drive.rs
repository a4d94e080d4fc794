//! Drives a running entry or engine and prints one line of JSON.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use load::{DriveSettings, drive};
use std::net::SocketAddr;

#[tokio::main]
async fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("drive")
        .about("Sends streamed requests, a fixed number at once")
        .arg(
            Arg::new("target")
                .long("target")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .arg(Arg::new("model").long("model").default_value("recall"))
        .arg(Arg::new("organisation").long("organisation").default_value("friends"))
        .arg(number("streams", "32"))
        .arg(number("requests", "2000"))
        .arg(number("tokens", "32"))
        .get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let count = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let target = matches.get_one::<SocketAddr>("target").copied();
    let settings = DriveSettings {
        target: target.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        organisation: text("organisation"),
        model: text("model"),
        streams: count("streams"),
        requests: count("requests"),
        tokens: count("tokens"),
    };
    let requests = settings.requests;
    let driven = drive(settings).await?;
    let seconds = driven.took.as_secs_f64();
    let ms = |times: &hdrhistogram::Histogram<u64>| {
        [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile) as f64 / 1000.0)
    };
    let line = serde_json::json!({
        "seconds": seconds,
        "requests_per_s": (requests - driven.failed) as f64 / seconds,
        "events_per_s": driven.events as f64 / seconds,
        "failed": driven.failed,
        "reason": driven.reason,
        "first_ms": ms(&driven.first),
        "whole_ms": ms(&driven.whole),
    });
    println!("{line}");
    Ok(())
}
