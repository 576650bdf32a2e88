//! What clients ask of each volume, as running hosts tell it, recorded a line each and interval by interval.
use crate::control::{Status, ask};
use mallowseam_settings::{Arguments, Diagnostics, tokenize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Units a second of each volume over one interval, over all hosts that were asked.
pub type Interval = BTreeMap<String, f64>;

/// Asks hosts again and again, and tells each interval as lines `at SECONDS VOLUME asked R ended R` (units a
/// second, to a thousandth). A host that does not answer, or has started anew, is left out of that interval and
/// named in a comment. Ends after `count` intervals; 0: never.
pub fn record(controls: &[PathBuf], every: Duration, count: u64, tell: &mut dyn FnMut(&str)) {
    let began = Instant::now();
    let mut before: Vec<Option<Status>> = vec![None; controls.len()];
    let mut interval = 0;
    loop {
        let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (control, before) in controls.iter().zip(&mut before) {
            let now =
                ask(control, "status").and_then(|text| Status::read(&text).map_err(std::io::Error::other));
            let now = now.inspect_err(|e| tell(&format!("# {}: {e}", control.display()))).ok();
            if let (Some(old), Some(new)) = (before.as_ref(), now.as_ref()) {
                add(&mut sums, old, new, tell);
            }
            *before = now;
        }
        if interval > 0 {
            for (volume, (asked, ended)) in &sums {
                tell(&format!(
                    "at {} {volume} asked {asked:.3}/s ended {ended:.3}/s",
                    began.elapsed().as_secs()
                ));
            }
        }
        if count > 0 && interval == count {
            return;
        }
        interval += 1;
        let due = began + every * u32::try_from(interval).unwrap_or(u32::MAX);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

fn add(sums: &mut BTreeMap<String, (f64, f64)>, old: &Status, new: &Status, tell: &mut dyn FnMut(&str)) {
    let span = new.up_seconds - old.up_seconds;
    if span <= 0.0 {
        return tell(&format!("# {}: has started anew", new.host));
    }
    for (a, b) in old.volumes.iter().zip(&new.volumes) {
        let sum = sums.entry(b.name.clone()).or_default();
        sum.0 += (b.asked_units - a.asked_units) / span;
        sum.1 += (b.ended_units - a.ended_units) / span;
    }
}

/// Reads a record. Errors: all that is wrong in it.
pub fn read(file: &Path) -> Result<Vec<Interval>, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let mut problems = Diagnostics::new(&name);
    let mut all: Vec<(u64, Interval)> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        if first.text != "at" {
            problems.add(first.position, "at SECONDS VOLUME asked R ended R", format!("`{}`", first.text));
            continue;
        }
        let mut args = Arguments::new(&words, &mut problems);
        let at = args.integer("seconds", 0, u64::MAX);
        let volume = args.name("the name of a volume");
        args.value("asked", |w| (w == "asked").then_some(()));
        let asked = args.rate("units a second");
        args.value("ended", |w| (w == "ended").then_some(()));
        args.rate("units a second");
        args.expect_end();
        if let (Some(at), Some(volume), Some(asked)) = (at, volume, asked) {
            if all.last().is_none_or(|l| l.0 != at) {
                all.push((at, Interval::new()));
            }
            all.last_mut().expect("just put").1.insert(volume.text, asked);
        }
    }
    if problems.is_empty() {
        Ok(all.into_iter().map(|a| a.1).collect())
    } else {
        Err(problems.sorted().to_string())
    }
}
