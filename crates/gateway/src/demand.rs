//! Demand of each volume, polled from running hosts and recorded in intervals.
use crate::control_socket::send_request;
use mallowseam_files::text_file::{FileError, read_text};
use mallowseam_iscsi_host::status::Status;
use mallowseam_settings::{Arguments, Diagnostics, Token, tokenize};
use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Requested units per second of each volume in one interval, summed over all polled hosts.
pub(crate) type Interval = BTreeMap<String, f64>;

/// Units per second of one volume, summed over all hosts.
#[derive(Default)]
struct Rates {
    requested: f64,
    completed: f64,
}

/// Polls hosts and writes each interval as lines `at SECONDS VOLUME asked R ended R` (units per second with
/// three decimals; `asked` are requested units, `ended` completed ones). [`read`] and scripts parse this
/// format. A host that does not answer, or has restarted, is skipped in that interval and named in a comment.
/// Returns after `count` intervals, or never if there is no count.
pub(crate) fn record(
    control_sockets: &[PathBuf],
    every: Duration,
    count: Option<NonZeroU64>,
    write_line: &mut dyn FnMut(&str),
) {
    let began = Instant::now();
    let mut hosts: Vec<PolledHost> = control_sockets.iter().map(PolledHost::new).collect();
    let mut interval = 0;
    loop {
        let mut rates: BTreeMap<String, Rates> = BTreeMap::new();
        for host in &mut hosts {
            host.poll(&mut rates, write_line);
        }
        // The first poll only reads the initial values of the counters.
        if interval > 0 {
            write_rates(&rates, began, write_line);
        }
        if count.is_some_and(|count| interval == count.get()) {
            return;
        }
        interval += 1;
        let due = began + every * u32::try_from(interval).unwrap_or(u32::MAX);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Writes the rates of an interval that ends now, one line per volume.
fn write_rates(rates: &BTreeMap<String, Rates>, began: Instant, write_line: &mut dyn FnMut(&str)) {
    for (volume, rate) in rates {
        let seconds = began.elapsed().as_secs();
        write_line(&format!(
            "at {seconds} {volume} asked {:.3}/s ended {:.3}/s",
            rate.requested, rate.completed
        ));
    }
}

/// A host that is polled.
struct PolledHost<'a> {
    control_socket: &'a Path,
    /// Status of the host at the last poll; none if it did not answer.
    last: Option<Status>,
}

impl<'a> PolledHost<'a> {
    fn new(control_socket: &'a PathBuf) -> Self {
        PolledHost {
            control_socket,
            last: None,
        }
    }

    /// Polls the host and adds its rates since the last poll.
    fn poll(&mut self, rates: &mut BTreeMap<String, Rates>, write_line: &mut dyn FnMut(&str)) {
        let status = poll(self.control_socket, write_line);
        if let (Some(old), Some(new)) = (&self.last, &status) {
            add_rates(rates, old, new, write_line);
        }
        self.last = status;
    }
}

/// Requests the status of a host. A failure is written as a comment.
fn poll(socket: &Path, write_line: &mut dyn FnMut(&str)) -> Option<Status> {
    let status = match send_request(socket, "status") {
        Ok(text) => Status::from_json(&text).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    status
        .inspect_err(|e| write_line(&format!("# {}: {e}", socket.display())))
        .ok()
}

fn add_rates(
    rates: &mut BTreeMap<String, Rates>,
    old: &Status,
    new: &Status,
    write_line: &mut dyn FnMut(&str),
) {
    let seconds = new.up_seconds - old.up_seconds;
    if seconds <= 0.0 {
        return write_line(&format!(
            "# host {} has restarted; it is skipped in this interval",
            new.host
        ));
    }
    for (before, after) in old.volumes.iter().zip(&new.volumes) {
        let rate = rates.entry(after.name.clone()).or_default();
        rate.requested += (after.requested_units - before.requested_units) / seconds;
        rate.completed += (after.completed_units - before.completed_units) / seconds;
    }
}

/// Reads a record file.
pub(crate) fn read(file: &Path) -> Result<Vec<Interval>, FileError> {
    let text = read_text(file)?;
    let mut problems = Diagnostics::new(&file.display().to_string());
    let mut record = Record::default();
    for (index, line) in text.lines().enumerate() {
        let tokens = tokenize(index + 1, line, &mut problems);
        if let Some(line) = read_line(&tokens, &mut problems) {
            record.add(line);
        }
    }
    if problems.is_empty() {
        Ok(record.intervals)
    } else {
        Err(FileError::Malformed(problems.sorted()))
    }
}

/// Intervals that have been read from a record file.
#[derive(Default)]
struct Record {
    intervals: Vec<Interval>,
    /// End of the last interval, in seconds; none before the first line.
    last_end: Option<u64>,
}

impl Record {
    /// Adds a line to the last interval if both end at the same time, else to a new one.
    fn add(&mut self, line: DemandLine) {
        if self.last_end != Some(line.seconds) {
            self.intervals.push(Interval::new());
            self.last_end = Some(line.seconds);
        }
        if let Some(interval) = self.intervals.last_mut() {
            interval.insert(line.volume, line.requested);
        }
    }
}

/// A line of a record.
struct DemandLine {
    /// Seconds from the start of the record to the end of the interval.
    seconds: u64,
    volume: String,
    /// Requested units per second.
    requested: f64,
}

/// Reads a line; returns none if it is empty, a comment or malformed.
fn read_line(tokens: &[Token], problems: &mut Diagnostics) -> Option<DemandLine> {
    let first = tokens.first()?;
    if first.text != "at" {
        let found = format!("`{}`", first.text);
        problems.add(first.position, "at SECONDS VOLUME asked R ended R", found);
        return None;
    }
    read_arguments(&mut Arguments::new(tokens, problems))
}

/// Reads the arguments of a line. All of them are checked, also after an invalid one.
fn read_arguments(args: &mut Arguments) -> Option<DemandLine> {
    let seconds = args.integer("seconds", 0, u64::MAX);
    let volume = args.name("the name of a volume");
    args.value("asked", |text| (text == "asked").then_some(()));
    let requested = args.rate("units a second");
    args.value("ended", |text| (text == "ended").then_some(()));
    args.rate("units a second");
    args.expect_end();
    Some(DemandLine {
        seconds: seconds?,
        volume: volume?.text,
        requested: requested?,
    })
}
