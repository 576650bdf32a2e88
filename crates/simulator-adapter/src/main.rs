//! Runs schedulers behind the text protocol of the users' simulator, which `deploy/sites/wire.json` describes: lines
//! with events on standard input, lines with actions on standard output.
//!
//! Modules, from the outside in:
//! - `adapter`: parses batches of lines and dispatches their messages to instances.
//! - `fields`: reads the fields of one line.
//! - `instance`: runs one scheduler and translates events to calls on it.
//! - `names`: maps names of the simulator to the scheduler's indices.
//! - `action_writer`: implements the scheduler's host and writes its calls as lines.
//!
//! Exit status: 0 at the end of the input, 1 if the output cannot be written, 2 if the input is invalid, with the error
//! on standard error.
mod action_writer;
mod adapter;
mod error;
mod fields;
mod instance;
mod names;

use adapter::{Adapter, Progress};
use error::InputError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Exit status if the output cannot be written.
const OUTPUT_CLOSED: u8 = 1;
/// Exit status if the input is invalid.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    // A panic of a scheduler is reported as an action of its instance, not on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    for number in 1u64.. {
        match read_line(&mut input, &mut line, &mut adapter) {
            Ok(Step::EndOfInput) => break,
            Ok(Step::Line(Progress::WithinBatch)) => {}
            Ok(Step::Line(Progress::BatchComplete)) => {
                if write_batch(&mut output, adapter.complete_batch()).is_err() {
                    return ExitCode::from(OUTPUT_CLOSED);
                }
            }
            Err(error) => {
                eprintln!("line {number}: {error}");
                return ExitCode::from(INVALID_INPUT);
            }
        }
    }
    ExitCode::SUCCESS
}

/// Result of reading a line.
enum Step {
    EndOfInput,
    Line(Progress),
}

fn read_line(
    input: &mut impl BufRead,
    line: &mut String,
    adapter: &mut Adapter,
) -> Result<Step, InputError> {
    line.clear();
    if input.read_line(line)? == 0 {
        return Ok(Step::EndOfInput);
    }
    adapter
        .handle_line(line.trim_end_matches(['\n', '\r']))
        .map(Step::Line)
}

fn write_batch(output: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    output.write_all(bytes)?;
    output.flush()
}
