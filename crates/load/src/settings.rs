//! Workloads and fault schedules, read from INI files.

use conf::Priority;
use eyre::{Result, WrapErr, eyre};
use ini::{Ini, Properties};
use std::path::Path;
use std::str::FromStr;

/// How fast and large one server is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Milliseconds of a step of an empty batch.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_per_request_ms: f64,
    /// Requests that fit into the batch.
    pub batch: u32,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Prompt tokens read at most in one step.
    pub chunk_tokens: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
}

/// Servers that are alike.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerGroup {
    /// Name, which starts the names of the servers.
    pub name: String,
    /// Data centre, by number.
    pub data_centre: usize,
    /// Number of servers.
    pub count: usize,
    /// Price of an hour.
    pub price_per_hour: f64,
    /// Whether they can be reclaimed.
    pub reclaimable: bool,
    /// Whether they are model engines.
    pub model: bool,
    /// Speed and size.
    pub engine: EngineSettings,
}

/// An organisation and its share of the arrivals.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Share of the arrivals, in parts of the sum.
    pub share: f64,
    /// Conversations or assemblies that are open at once.
    pub sessions: u64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name of the service.
    pub name: String,
    /// Whether model engines answer it.
    pub model: bool,
    /// Arrivals a second.
    pub per_s: f64,
    /// Tokens that requests of one session share at the start of the prompt.
    pub prefix_tokens: u64,
    /// Tokens after the shared start.
    pub prompt_tokens: u64,
    /// Mean tokens of an answer.
    pub answer_tokens: u64,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Time by which the answer is complete, in milliseconds.
    pub deadline_ms: f64,
    /// Priority.
    pub priority: Priority,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A time of more arrivals.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Start, in seconds.
    pub at_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
    /// Factor on the arrivals.
    pub factor: f64,
}

/// What a deployment has and what is asked of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Length of the arrivals, in seconds.
    pub duration_s: f64,
    /// Number of entries.
    pub entries: usize,
    /// Time between two load reports to one entry, in milliseconds.
    pub report_every_ms: f64,
    /// Age of a load report when it arrives, in milliseconds.
    pub report_lag_ms: f64,
    /// Time without a token after which an entry gives an attempt up, in milliseconds.
    pub stall_ms: Option<f64>,
    /// Times that a caller asks again after it was refused.
    pub caller_retries: u32,
    /// Mean time that a session lasts, in seconds.
    pub session_s: f64,
    /// Servers.
    pub groups: Vec<ServerGroup>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Times of more arrivals.
    pub bursts: Vec<Burst>,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// All reclaimable servers of a data centre get a notice, and go.
    Reclaim,
    /// All servers of a data centre are gone at once.
    Lost,
    /// The first model engine of a data centre is slower by the factor.
    Slow,
    /// Load reports are later by the factor.
    Lag,
    /// The VM list and notices are not heard.
    Platform,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When, in seconds.
    pub at_s: f64,
    /// How long, in seconds.
    pub for_s: f64,
    /// Seconds of notice before a reclaim.
    pub notice_s: f64,
    /// Data centre, by number.
    pub data_centre: usize,
    /// Factor of a slow engine or of late reports.
    pub factor: f64,
}

/// A schedule of faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Name.
    pub name: String,
    /// Faults in any order.
    pub list: Vec<Fault>,
}

impl Workload {
    /// Reads a workload.
    ///
    /// # Errors
    /// A file that can't be read, or the section and key that is missing or wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let ini = load(path)?;
        let run = Section::find(&ini, "run")?;
        let mut workload = Self {
            name: file_name(path),
            duration_s: run.get("duration_s")?,
            entries: run.get("entries")?,
            report_every_ms: run.get("report_every_ms")?,
            report_lag_ms: run.get("report_lag_ms")?,
            stall_ms: None,
            caller_retries: 0,
            session_s: run.get("session_s")?,
            groups: Vec::new(),
            organisations: Vec::new(),
            kinds: Vec::new(),
            bursts: Vec::new(),
        };
        for (kind, section) in sections(&ini) {
            match kind {
                "servers" => workload.groups.push(group(&ini, &section)?),
                "organisation" => workload.organisations.push(organisation(&section)?),
                "request" => workload.kinds.push(request(&section)?),
                "burst" => workload.bursts.push(burst(&section)?),
                _ => {}
            }
        }
        Ok(workload)
    }
}

impl Workload {
    /// Multiplies entries, servers, sessions and arrivals.
    pub fn scale(&mut self, by: usize) {
        self.entries *= by;
        for group in &mut self.groups {
            group.count *= by;
        }
        for organisation in &mut self.organisations {
            organisation.sessions *= by as u64;
        }
        for kind in &mut self.kinds {
            kind.per_s *= by as f64;
        }
    }
}

impl Faults {
    /// Reads a schedule of faults.
    ///
    /// # Errors
    /// A file that can't be read, or the section and key that is missing or wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let ini = load(path)?;
        let list: Result<Vec<Fault>> = sections(&ini)
            .filter(|(kind, _)| *kind == "fault")
            .map(|(_, section)| fault(&section))
            .collect();
        Ok(Self { name: file_name(path), list: list? })
    }
}

struct Section<'a> {
    name: &'a str,
    label: &'a str,
    values: &'a Properties,
}

impl<'a> Section<'a> {
    fn find(ini: &'a Ini, name: &'a str) -> Result<Self> {
        let values = ini.section(Some(name)).ok_or_else(|| eyre!("no section [{name}]"))?;
        Ok(Self { name, label: "", values })
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.values.get(key).ok_or_else(|| eyre!("[{}] lacks {key}", self.name))?;
        text.parse().map_err(|_| eyre!("[{}] {key} = {text} can't be read", self.name))
    }

    fn get_or<T: FromStr>(&self, key: &str, default: T) -> Result<T> {
        if self.values.contains_key(key) { self.get(key) } else { Ok(default) }
    }
}

fn load(path: &Path) -> Result<Ini> {
    Ini::load_from_file(path).wrap_err_with(|| format!("{}", path.display()))
}

fn file_name(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn sections(ini: &Ini) -> impl Iterator<Item = (&str, Section<'_>)> {
    ini.iter().filter_map(|(name, values)| {
        let name = name?;
        let (kind, label) = name.split_once(' ')?;
        Some((kind, Section { name, label, values }))
    })
}

fn group(ini: &Ini, section: &Section<'_>) -> Result<ServerGroup> {
    let model = section.get_or("model", true)?;
    let engine = Section::find(ini, if model { "engine" } else { "plain" })?;
    Ok(ServerGroup {
        name: section.label.to_owned(),
        data_centre: section.get("data_centre")?,
        count: section.get("count")?,
        price_per_hour: section.get("price_per_hour")?,
        reclaimable: section.get("reclaimable")?,
        model,
        engine: EngineSettings {
            step_ms: engine.get("step_ms")?,
            step_per_request_ms: engine.get("step_per_request_ms")?,
            batch: engine.get("batch")?,
            prompt_tokens_per_s: engine.get_or("prompt_tokens_per_s", 1e9)?,
            chunk_tokens: engine.get_or("chunk_tokens", 1 << 20)?,
            cache_tokens: engine.get_or("cache_tokens", 0)?,
        },
    })
}

fn organisation(section: &Section<'_>) -> Result<Organisation> {
    Ok(Organisation {
        name: section.label.to_owned(),
        share: section.get("share")?,
        sessions: section.get("sessions")?,
    })
}

fn request(section: &Section<'_>) -> Result<RequestKind> {
    let priority: String = section.get("priority")?;
    Ok(RequestKind {
        name: section.label.to_owned(),
        model: section.get_or("model", true)?,
        per_s: section.get("per_s")?,
        prefix_tokens: section.get_or("prefix_tokens", 0)?,
        prompt_tokens: section.get_or("prompt_tokens", 0)?,
        answer_tokens: section.get_or("answer_tokens", 1)?,
        first_token_ms: section.get("first_token_ms")?,
        between_tokens_ms: section.get_or("between_tokens_ms", 40.0)?,
        deadline_ms: section.get("deadline_ms")?,
        priority: match priority.as_str() {
            "high" => Priority::High,
            "low" => Priority::Low,
            _ => Priority::Normal,
        },
        repeatable: section.get_or("repeatable", true)?,
    })
}

fn burst(section: &Section<'_>) -> Result<Burst> {
    Ok(Burst {
        at_s: section.get("at_s")?,
        for_s: section.get("for_s")?,
        factor: section.get("factor")?,
    })
}

fn fault(section: &Section<'_>) -> Result<Fault> {
    let kind: String = section.get("kind")?;
    Ok(Fault {
        kind: match kind.as_str() {
            "reclaim" => FaultKind::Reclaim,
            "lost" => FaultKind::Lost,
            "slow" => FaultKind::Slow,
            "lag" => FaultKind::Lag,
            "platform" => FaultKind::Platform,
            other => return Err(eyre!("[{}] kind = {other} is unknown", section.name)),
        },
        at_s: section.get("at_s")?,
        for_s: section.get("for_s")?,
        notice_s: section.get_or("notice_s", 0.0)?,
        data_centre: section.get_or("data_centre", 0)?,
        factor: section.get_or("factor", 1.0)?,
    })
}
