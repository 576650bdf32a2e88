//! The command line of `mallowseam`.
use crate::control::{self, Status};
use crate::shares;
use clap::{Parser, Subcommand, ValueEnum};
use mallowseam_settings::GatewayConfig;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit codes: 0 done, 1 could not be done, 2 a bad command line (clap's own) or file.
pub(crate) const FAILED: u8 = 1;
pub(crate) const BAD_FILE: u8 = 2;
/// Worked-out shares: proven that nothing fits.
const IMPOSSIBLE: u8 = 3;

#[derive(Parser)]
#[command(name = "mallowseam", version, about = "A storage gateway for small sites", max_term_width = 100)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Run this host in the foreground until SIGTERM or SIGINT; a second one ends it at once
    Run {
        /// The configuration file
        file: PathBuf,
        #[arg(long, value_enum, default_value = "info")]
        log: Level,
        /// Log lines as JSON objects
        #[arg(long)]
        json: bool,
    },
    /// Run a real host of the users' platform in the foreground, by the configuration that GW_CONFIG names;
    /// SIGHUP reads it anew, SIGTERM ends it once all it took is answered
    Host {
        /// Log lines as JSON objects
        #[arg(long)]
        json: bool,
        /// Milliseconds that one call takes of the list service, 0 to 10000: all hosts together spread their calls
        /// so that it can handle them (30 where this is not given)
        #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u16).range(..=10_000))]
        list_turn: Option<u16>,
    },
    /// Run the catalog of snapshots and clones in the foreground until SIGTERM or SIGINT
    Catalog {
        /// The configuration file
        file: PathBuf,
        /// End without a word at this step, counted from the start: for tests of what a crash leaves
        #[arg(long, hide = true)]
        die_at: Option<u64>,
        #[arg(long, value_enum, default_value = "info")]
        log: Level,
        /// Log lines as JSON objects
        #[arg(long)]
        json: bool,
    },
    /// Run the control service of plans in the foreground until SIGTERM or SIGINT
    Control {
        /// A configuration file with a section `tariffs`
        file: PathBuf,
        #[arg(long, value_enum, default_value = "info")]
        log: Level,
        /// Log lines as JSON objects
        #[arg(long)]
        json: bool,
    },
    /// Plans at the control service: in versions, with who changed what and why
    Plan {
        #[command(subcommand)]
        what: PlanWhat,
    },
    /// Work out ahead of time which nodes volumes lie on
    Shares {
        #[command(subcommand)]
        what: Shares,
    },
    /// With the catalog stopped, walk its store and all nodes and count references
    Verify {
        file: PathBuf,
        /// Give back what nothing refers to
        #[arg(long)]
        mend: bool,
    },
    /// Snapshots and clones of mapped volumes
    Snapshot {
        #[command(subcommand)]
        what: Snapshot,
    },
    /// Read a configuration and name all its problems
    Check { file: PathBuf },
    /// Show the view that a running host has of its fleet
    Fleet(crate::fleet::Options),
    /// Tell what a running host is doing
    Status {
        #[command(flatten)]
        at: At,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Record what clients ask of each volume, over all these hosts, as lines that `shares replay` reads
    Demand {
        /// The hosts' configuration files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Seconds of an interval
        #[arg(long, default_value_t = 10)]
        every: u64,
        /// Intervals; 0: until it is ended
        #[arg(long, default_value_t = 0)]
        count: u64,
    },
    /// Have a running host take up the plans of its changed file, and which volume has which; all else must be as
    /// it was
    Reload {
        /// The host's configuration file
        file: PathBuf,
    },
    /// Close a running host to new logins; what is in hand ends
    Drain {
        #[command(flatten)]
        at: At,
    },
    /// Open it again
    Undrain {
        #[command(flatten)]
        at: At,
    },
    /// Drain a running host and end it
    Stop {
        #[command(flatten)]
        at: At,
    },
}

#[derive(Subcommand)]
enum Shares {
    /// The best placement, or a good one with a proven gap; code 3 and the contradiction if nothing fits
    WorkOut {
        /// The problem's file
        file: PathBuf,
        /// Time for a problem too large to be searched through
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// How full each node is with a placement
    Explain { file: PathBuf, placement: PathBuf },
    /// What two placements are worth, side by side
    Compare { file: PathBuf, one: PathBuf, other: PathBuf },
    /// Write the shares of an answer into a host's configuration; without --write, tell what would change
    Apply {
        file: PathBuf,
        /// What `work-out` told
        answer: PathBuf,
        /// The host's configuration
        conf: PathBuf,
        #[arg(long)]
        write: bool,
    },
    /// What answers would have earned with the demand that `mallowseam demand` recorded
    Replay {
        file: PathBuf,
        record: PathBuf,
        #[arg(required = true)]
        answers: Vec<PathBuf>,
    },
    /// The steps from where volumes lie today, in an order that breaks no reserve and no zone wish on the way
    Moves {
        file: PathBuf,
        placement: PathBuf,
        /// Data that may be moved at most, in the file's own unit
        #[arg(long)]
        data: Option<u64>,
    },
}

/// Who changes a plan, and how.
#[derive(clap::Args)]
pub(crate) struct By {
    #[arg(long)]
    pub author: String,
    #[arg(long)]
    pub reason: String,
    /// Tell what would come of it, and change nothing
    #[arg(long)]
    pub dry_run: bool,
    /// Wait until it is in force at all hosts, or say what it waits for
    #[arg(long)]
    pub wait: bool,
}

#[derive(Subcommand)]
pub(crate) enum PlanWhat {
    /// Set figures of a plan (a new one starts from nothing); rates such as limit=40
    Set {
        file: PathBuf,
        plan: String,
        /// usual, reserve, limit, burst, weight or price, as NAME=NUMBER
        #[arg(required = true)]
        figures: Vec<String>,
        /// The version it is made for: refused if another one stands
        #[arg(long)]
        expected: Option<u64>,
        #[command(flatten)]
        by: By,
    },
    /// Give a volume another plan
    Of {
        file: PathBuf,
        volume: String,
        plan: String,
        #[command(flatten)]
        by: By,
    },
    /// Drop a plan that no volume has
    Drop {
        file: PathBuf,
        plan: String,
        #[command(flatten)]
        by: By,
    },
    /// Plans and volumes as they stand, or stood at a version
    Show { file: PathBuf, version: Option<u64> },
    /// Lines of the trail
    History {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 1000)]
        most: usize,
    },
    /// What is different between two versions
    Diff { file: PathBuf, one: u64, other: u64 },
    /// Take a version's change back, as a new version
    Undo {
        file: PathBuf,
        version: u64,
        #[command(flatten)]
        by: By,
    },
    /// Which version is in force at all hosts, and what the newest one waits for
    Hosts { file: PathBuf },
    /// A host has stopped for good: no version waits for it any more
    Gone { file: PathBuf, host: String },
    /// Replay the whole trail from nothing and hold it against what stands
    Replay { file: PathBuf },
}

#[derive(Subcommand)]
enum Snapshot {
    /// Take one: VOLUME@NAME holds every write acknowledged before, none begun after
    Take { file: PathBuf, volume: String, name: String },
    /// Volumes, clones and snapshots, with the LUN of each
    List { file: PathBuf },
    /// Runs of blocks in which two of them may differ
    Diff { file: PathBuf, one: String, other: String },
    /// Make a writable clone of VOLUME@NAME
    Clone { file: PathBuf, snapshot: String, name: String },
    /// Show a volume as it stood at VOLUME@NAME; what came later is given up
    Rollback { file: PathBuf, volume: String, snapshot: String },
    /// Write VOLUME@NAME to a file, compressed and checksummed; a broken one is gone on with
    Export { file: PathBuf, snapshot: String, to: PathBuf },
    /// Write such a file into a volume or clone, which then shows just that
    Import { file: PathBuf, from: PathBuf, name: String },
    /// Delete a snapshot or a clone; its space is given back in the background
    Delete { file: PathBuf, name: String },
}

impl Snapshot {
    /// What is said to the catalog; none for what goes through a host.
    fn line(&self) -> Option<(&Path, String)> {
        Some(match self {
            Snapshot::Export { .. } | Snapshot::Import { .. } => return None,
            Snapshot::Take { file, volume, name } => (file, format!("snapshot {volume} {name}")),
            Snapshot::List { file } => (file, "list".into()),
            Snapshot::Diff { file, one, other } => (file, format!("diff {one} {other}")),
            Snapshot::Clone { file, snapshot, name } => (file, format!("clone {snapshot} {name}")),
            Snapshot::Rollback { file, volume, snapshot } => (file, format!("rollback {volume} {snapshot}")),
            Snapshot::Delete { file, name } => (file, format!("delete {name}")),
        })
    }
}

#[derive(clap::Args)]
#[group(required = true, multiple = false)]
struct At {
    /// The host's configuration file, which names its control socket
    file: Option<PathBuf>,
    /// The control socket itself
    #[arg(long)]
    control: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Level {
    Error,
    Warn,
    Info,
    Debug,
}

/// Runs the program with these arguments, the first being its name.
pub fn main(args: impl Iterator<Item = OsString>) -> ExitCode {
    let line = match Line::try_parse_from(args) {
        Ok(line) => line,
        Err(e) => e.exit(),
    };
    let done = match line.what {
        What::Run { file, log, json } => {
            start_log(log, json);
            load(&file).and_then(|site| crate::run(site).map_err(|e| (FAILED, e.to_string())))
        }
        What::Host { json, list_turn } => {
            start_log(Level::Info, json);
            let path = std::env::var_os("GW_CONFIG").map(PathBuf::from);
            let path = path.ok_or_else(|| (BAD_FILE, "GW_CONFIG: names no configuration".to_owned()));
            path.and_then(|p| {
                mallowseam_platform_host::run(&p, list_turn.map(u64::from))
                    .map_err(|e| (FAILED, e.to_string()))
            })
        }
        What::Catalog { file, die_at, log, json } => {
            start_log(log, json);
            load(&file)
                .and_then(|site| crate::catalog::run(site, die_at).map_err(|e| (FAILED, e.to_string())))
        }
        What::Control { file, log, json } => {
            start_log(log, json);
            load(&file).and_then(|site| crate::tariffs::run(&site).map_err(|e| (FAILED, e.to_string())))
        }
        What::Plan { what } => crate::plan_cli::run(what).map(|text| println!("{text}")),
        What::Shares { what } => {
            let ended = match what {
                Shares::WorkOut { file, seconds, seed } => {
                    shares::work_out(&file, std::time::Duration::from_secs(seconds), seed)
                }
                Shares::Explain { file, placement } => shares::explain(&file, &placement),
                Shares::Apply { file, answer, conf, write } => shares::apply(&file, &answer, &conf, write),
                Shares::Replay { file, record, answers } => shares::replay(&file, &record, &answers),
                Shares::Moves { file, placement, data } => shares::moves(&file, &placement, data),
                Shares::Compare { file, one, other } => shares::compare(&file, &one, &other),
            };
            match ended {
                shares::Ended::Done(text) => {
                    println!("{text}");
                    Ok(())
                }
                shares::Ended::Impossible(why) => Err((IMPOSSIBLE, why)),
                shares::Ended::Wrong(why) => Err((BAD_FILE, why)),
            }
        }
        What::Verify { file, mend } => load(&file).and_then(|site| {
            let found = crate::verify::run(&site, mend).map_err(|e| (FAILED, e))?;
            found.faults.iter().for_each(|f| println!("fault: {f}"));
            for (layer, place) in &found.leaked {
                let what = if mend { "given back" } else { "leaked" };
                let node = &site.nodes[place.node as usize].name;
                println!("{what}: layer {layer}, place {} at {node}", place.slot);
            }
            println!(
                "places {}, of which hold data {}; leaked {}; faults {}",
                found.places,
                found.held,
                found.leaked.len(),
                found.faults.len()
            );
            let sound = found.faults.is_empty() && (mend || found.leaked.is_empty());
            if sound { Ok(()) } else { Err((FAILED, "not sound".into())) }
        }),
        What::Snapshot { what } => {
            let Some((file, line)) = what.line() else {
                return finish(
                    match &what {
                        Snapshot::Export { file, snapshot, to } => load(file).and_then(|site| {
                            crate::archive::export(&site, snapshot, to).map_err(|e| (FAILED, e))
                        }),
                        Snapshot::Import { file, from, name } => load(file).and_then(|site| {
                            crate::archive::import(&site, from, name).map_err(|e| (FAILED, e))
                        }),
                        _ => Ok(String::new()),
                    }
                    .map(|text| println!("{text}")),
                );
            };
            ask(file, "catalog", |site| site.catalog?.control_socket, &line).map(|text| println!("{text}"))
        }
        What::Demand { files, every, count } => {
            let control = |file: &PathBuf| control_path(file, "host", |site| site.host.control_socket);
            files.iter().map(control).collect::<Result<Vec<_>, _>>().map(|controls| {
                let every = std::time::Duration::from_secs(every.max(1));
                crate::demand::record(&controls, every, count, &mut |line| println!("{line}"));
            })
        }
        What::Reload { file } => {
            std::path::absolute(&file).map_err(|e| (FAILED, e.to_string())).and_then(|whole| {
                let line = format!("plans {}", whole.display());
                ask(&file, "host", |site| site.host.control_socket, &line).map(|text| println!("{text}"))
            })
        }
        What::Check { file } => load(&file).map(|site| {
            println!(
                "{}: sound; host {}, {} volumes on {} nodes, {} plans, {} groups",
                file.display(),
                site.host.name,
                site.volumes.len(),
                site.nodes.len(),
                site.plans.len(),
                site.io_classes.len()
            );
        }),
        What::Fleet(options) => crate::fleet::run(&options).map_err(|e| (FAILED, e)),
        What::Status { at, json } => tell(&at, "status").and_then(|text| {
            if json {
                println!("{text}");
                return Ok(());
            }
            let status = Status::read(&text).map_err(|e| (FAILED, format!("the host's answer: {e}")))?;
            print!("{status}");
            Ok(())
        }),
        What::Drain { at } => tell(&at, "drain").map(|text| println!("{text}")),
        What::Undrain { at } => tell(&at, "undrain").map(|text| println!("{text}")),
        What::Stop { at } => tell(&at, "stop").map(|text| println!("{text}")),
    };
    finish(done)
}

fn finish(done: Result<(), (u8, String)>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            eprintln!("{text}");
            ExitCode::from(code)
        }
    }
}

pub(crate) fn load(file: &Path) -> Result<GatewayConfig, (u8, String)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| (BAD_FILE, format!("{name}: {e}")))?;
    mallowseam_settings::parse(&name, &text).map_err(|problems| (BAD_FILE, problems.to_string()))
}

/// The control socket that a section of a configuration names.
fn control_path(
    file: &Path,
    section: &str,
    of: impl FnOnce(GatewayConfig) -> Option<PathBuf>,
) -> Result<PathBuf, (u8, String)> {
    let path = of(load(file)?);
    path.ok_or_else(|| (BAD_FILE, format!("{}: no `control` in section {section}", file.display())))
}

/// Asks the process behind it.
pub(crate) fn ask(
    file: &Path,
    section: &str,
    of: impl FnOnce(GatewayConfig) -> Option<PathBuf>,
    line: &str,
) -> Result<String, (u8, String)> {
    let path = control_path(file, section, of)?;
    control::ask(&path, line).map_err(|e| (FAILED, e.to_string()))
}

fn tell(at: &At, what: &str) -> Result<String, (u8, String)> {
    let path = match (&at.control, &at.file) {
        (Some(path), _) => path.clone(),
        (None, Some(file)) => control_path(file, "host", |site| site.host.control_socket)?,
        (None, None) => unreachable!("clap asks for one of them"),
    };
    control::ask(&path, what).map_err(|e| (FAILED, format!("{}: {e}", path.display())))
}

fn start_log(level: Level, json: bool) {
    let level = match level {
        Level::Error => tracing::Level::ERROR,
        Level::Warn => tracing::Level::WARN,
        Level::Info => tracing::Level::INFO,
        Level::Debug => tracing::Level::DEBUG,
    };
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    if json {
        log.json().init();
    } else {
        log.with_ansi(false).init();
    }
}
