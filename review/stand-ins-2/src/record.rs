//! The record of a case: what was sent, answered and run, each with its time.
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// File with one line for each event, in milliseconds since the case began.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).unwrap_or_else(|e| not_run(&format!("no record: {e}")));
        Record {
            began: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Milliseconds since the case began.
    pub fn ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let now = self.ms();
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{now:10.2} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Whether the disruption is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn not_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    crate::process::end_all();
    std::process::exit(NOT_RUN)
}
