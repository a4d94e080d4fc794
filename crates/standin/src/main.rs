//! Stand-ins as processes: each subcommand runs one.

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use standin::{engine, kv, plain, platform_api, weights};
use std::net::SocketAddr;
use std::time::Duration;

fn command() -> Command {
    let listen = || {
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .help("Address to listen on")
            .required(true)
            .value_parser(clap::value_parser!(SocketAddr))
    };
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
    };
    Command::new("standin")
        .about("Small stand-ins for the platform and for backend servers")
        .subcommand_required(true)
        .subcommand(Command::new("kv").about("Key-value service").arg(listen()))
        .subcommand(
            Command::new("platform")
                .about("VM list and cloud API")
                .arg(listen())
                .arg(
                    Arg::new("vms")
                        .long("vms")
                        .value_name("FILE")
                        .help("VMs as JSON")
                        .required(true),
                )
                .arg(number("lag-ms", "Lag of the VM list in milliseconds", "1500")),
        )
        .subcommand(
            Command::new("engine")
                .about("Model engine")
                .arg(listen())
                .arg(number("step-ms", "Milliseconds of one step", "5"))
                .arg(number("batch", "Requests that fit into the batch", "16"))
                .arg(number("cache-blocks", "Prompt blocks that the prefix cache holds", "4096"))
                .arg(
                    Arg::new("model")
                        .long("model")
                        .value_name("NAME")
                        .help("Model that is loaded; without one every model is answered for")
                        .action(ArgAction::Append),
                )
                .arg(
                    Arg::new("ignore-fencing")
                        .long("ignore-fencing")
                        .help("Takes orders with an old fencing number")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(Command::new("plain").about("Plain service").arg(listen()).arg(number(
            "delay-ms",
            "Milliseconds of one call",
            "5",
        )))
        .subcommand(
            Command::new("weights")
                .about("Weight store")
                .arg(listen())
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_name("FILE")
                        .help("Weights as JSON")
                        .required(true),
                )
                .arg(number("bytes-per-s", "Bytes a second for all readers", "1000000000"))
                .arg(number("queue-ms", "Longest queue of transfers in milliseconds", "10000")),
        )
        .subcommand(
            Command::new("ask")
                .about("Posts JSON to a stand-in, or gets its counts")
                .arg(Arg::new("url").required(true))
                .arg(Arg::new("body").help("JSON to post; nothing means a GET")),
        )
        .subcommand(
            Command::new("expect")
                .about("Prints the answer that a model engine gives")
                .arg(number("tokens", "Length of the answer", "32"))
                .arg(Arg::new("prompt").required(true)),
        )
}

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("kv", matches)) => kv::run(address(matches)).await?,
        Some(("platform", matches)) => {
            let vms = serde_json::from_str(&read(matches, "vms")?)?;
            platform_api::run(address(matches), vms, millis(matches, "lag-ms")).await?;
        }
        Some(("engine", matches)) => {
            let settings = engine::Settings {
                step: millis(matches, "step-ms"),
                batch: count(matches, "batch") as usize,
                cache_blocks: count(matches, "cache-blocks") as usize,
                models: texts(matches, "model"),
                checks_fencing: !matches.get_flag("ignore-fencing"),
                ..engine::Settings::default()
            };
            engine::run(address(matches), settings).await?;
        }
        Some(("plain", matches)) => {
            plain::run(address(matches), millis(matches, "delay-ms")).await?
        }
        Some(("weights", matches)) => {
            let held = serde_json::from_str(&read(matches, "weights")?)?;
            let rate = count(matches, "bytes-per-s");
            let store = weights::WeightStore::new(held, rate, millis(matches, "queue-ms"));
            weights::run(address(matches), store).await?;
        }
        Some(("ask", matches)) => println!("{}", ask(matches).await?),
        Some(("expect", matches)) => {
            let prompt = matches.get_one::<String>("prompt").map_or("", String::as_str);
            println!("{}", engine::expected_answer(prompt, count(matches, "tokens")));
        }
        _ => {}
    }
    Ok(())
}

async fn ask(matches: &ArgMatches) -> Result<serde_json::Value> {
    let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let client = web::Client::new(web::ClientSettings::default());
    let answer = match text("body") {
        "" => client.get(text("url")).await,
        body => {
            let body: serde_json::Value = serde_json::from_str(body)?;
            client.json(hyper::Method::POST, text("url"), &body).await
        }
    };
    Ok(answer?)
}

fn address(matches: &ArgMatches) -> SocketAddr {
    matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn read(matches: &ArgMatches, name: &str) -> Result<String> {
    let file = matches.get_one::<String>(name).map_or("", String::as_str);
    Ok(std::fs::read_to_string(file)?)
}

fn texts(matches: &ArgMatches, name: &str) -> Vec<kernel::Name> {
    let texts = matches.get_many::<String>(name).unwrap_or_default();
    texts.map(|text| kernel::Name::from(text.as_str())).collect()
}

fn count(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(count(matches, name))
}
