//! What clients request of each volume, polled from running hosts and recorded interval by interval.
use crate::control_socket::send_request;
use crate::error::{FileError, read_text};
use crate::status::Status;
use mallowseam_settings::{Arguments, Diagnostics, Token, tokenize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Requested units a second of each volume over one interval, over all hosts that were polled.
pub(crate) type Interval = BTreeMap<String, f64>;

/// Units a second of one volume, over all hosts.
#[derive(Default)]
struct Rates {
    requested: f64,
    completed: f64,
}

/// Polls hosts and writes each interval as lines `at SECONDS VOLUME asked R ended R` (units a second, with
/// three decimals; `asked` are requested units, `ended` completed ones). [`read`] and scripts read this text
/// form. A host that does not answer, or has restarted, is skipped in that interval and named in a comment.
/// Ends after `count` intervals; 0: never.
pub(crate) fn record(
    control_sockets: &[PathBuf],
    every: Duration,
    count: u64,
    write_line: &mut dyn FnMut(&str),
) {
    let last_interval = (count > 0).then_some(count);
    let began = Instant::now();
    let mut hosts: Vec<PolledHost> = control_sockets.iter().map(PolledHost::new).collect();
    let mut interval = 0;
    loop {
        let mut rates: BTreeMap<String, Rates> = BTreeMap::new();
        for host in &mut hosts {
            host.poll(&mut rates, write_line);
        }
        // The first poll only begins the first interval.
        if interval > 0 {
            write_rates(&rates, began.elapsed().as_secs(), write_line);
        }
        if last_interval == Some(interval) {
            return;
        }
        interval += 1;
        let due = began + every * u32::try_from(interval).unwrap_or(u32::MAX);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

fn write_rates(rates: &BTreeMap<String, Rates>, seconds: u64, write_line: &mut dyn FnMut(&str)) {
    for (volume, rates) in rates {
        let requested = rates.requested;
        let completed = rates.completed;
        write_line(&format!(
            "at {seconds} {volume} asked {requested:.3}/s ended {completed:.3}/s"
        ));
    }
}

/// A host that is polled.
struct PolledHost<'a> {
    control_socket: &'a Path,
    /// Its status at the last poll; none: it did not answer.
    last: Option<Status>,
}

impl<'a> PolledHost<'a> {
    fn new(control_socket: &'a PathBuf) -> Self {
        PolledHost {
            control_socket,
            last: None,
        }
    }

    /// Polls the host, and adds its rates since the last poll.
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
        return write_line(&format!("# {}: has started anew", new.host));
    }
    for (before, after) in old.volumes.iter().zip(&new.volumes) {
        let rate = rates.entry(after.name.clone()).or_default();
        rate.requested += (after.requested_units - before.requested_units) / seconds;
        rate.completed += (after.completed_units - before.completed_units) / seconds;
    }
}

/// Reads a record.
pub(crate) fn read(file: &Path) -> Result<Vec<Interval>, FileError> {
    let text = read_text(file)?;
    let mut problems = Diagnostics::new(&file.display().to_string());
    // By the seconds at which they end, which lines of one interval share.
    let mut intervals: Vec<(u64, Interval)> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let tokens = tokenize(index + 1, line, &mut problems);
        let Some(line) = read_line(&tokens, &mut problems) else {
            continue;
        };
        match intervals.last_mut() {
            Some((seconds, interval)) if *seconds == line.seconds => {
                interval.insert(line.volume, line.requested);
            }
            _ => {
                let interval = Interval::from([(line.volume, line.requested)]);
                intervals.push((line.seconds, interval));
            }
        }
    }
    if !problems.is_empty() {
        return Err(FileError::Malformed(problems.sorted()));
    }
    Ok(intervals
        .into_iter()
        .map(|(_, interval)| interval)
        .collect())
}

/// A line of a record.
struct DemandLine {
    /// Seconds from the start of the record to the end of the interval.
    seconds: u64,
    volume: String,
    /// Requested units a second.
    requested: f64,
}

/// Reads a line. All its arguments are checked, also after one is refused. None: it is empty or refused.
fn read_line(tokens: &[Token], problems: &mut Diagnostics) -> Option<DemandLine> {
    let first = tokens.first()?;
    if first.text != "at" {
        let expected = "at SECONDS VOLUME asked R ended R";
        problems.add(first.position, expected, format!("`{}`", first.text));
        return None;
    }
    let mut args = Arguments::new(tokens, problems);
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
