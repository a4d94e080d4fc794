//! `story`: gathers what entries logged about one request, in the order of time.

use crate::cmd::{out, text};
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use kernel::{Code, Failure};
use serde_json::{Map, Value};
use std::io::{BufRead, BufReader, Read};

/// Fields that begin a line of the story, so that they are not told again.
const LEADING: [&str; 5] = ["ts", "entry", "msg", "level", "request"];

pub(crate) fn command() -> Command {
    Command::new("story")
        .about("Tells what entries logged about one request, in the order of time")
        .after_help(
            "Examples:\n  fennelfold story 9c41d07be2a35f68 front-*.log\n  \
             cat *.log | fennelfold story 9c41d07be2a35f68",
        )
        .arg(Arg::new("request").value_name("ID").help("Identity of the request").required(true))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .action(ArgAction::Append)
                .help("Logs of entries; standard input if there are none"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let request = text(matches, "request");
    let files: Vec<&String> = matches.get_many("file").into_iter().flatten().collect();
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(std::io::stdin().lock(), request, &mut lines)?;
    }
    for file in files {
        let unreadable =
            |e: std::io::Error| Failure::new(Code::SettingsUnreadable, format!("{file}: {e}"));
        let opened = std::fs::File::open(file).map_err(unreadable)?;
        collect(opened, request, &mut lines)?;
    }
    if lines.is_empty() {
        return Err(Failure::new(Code::UnknownKey, format!("no line names {request}")).into());
    }
    lines.sort_by_key(|line| line["ts"].as_u64());
    let first = lines.first().and_then(|line| line["ts"].as_u64()).unwrap_or(0);
    for line in &lines {
        out::line(render(line, first))?;
    }
    Ok(())
}

/// Takes the lines that name the request; what stands before an object on a line is passed over.
fn collect(from: impl Read, request: &str, lines: &mut Vec<Map<String, Value>>) -> Result<()> {
    for line in BufReader::new(from).lines() {
        let line = line?;
        let Some(start) = line.find('{').filter(|_| line.contains(request)) else { continue };
        // Other output may stand between the lines of an entry.
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
            continue;
        };
        if fields.get("request").and_then(Value::as_str) == Some(request) {
            lines.push(fields);
        }
    }
    Ok(())
}

fn render(line: &Map<String, Value>, first: u64) -> String {
    let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("?");
    let after = line.get("ts").and_then(Value::as_u64).unwrap_or(first) - first;
    let fields = line.iter().filter(|(name, _)| !LEADING.contains(&name.as_str()));
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{after:>7} ms  {}  {}: {}", text("entry"), text("msg"), fields.join(" "))
}
