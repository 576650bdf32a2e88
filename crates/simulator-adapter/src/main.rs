//! Runs schedulers behind the text protocol of the users' simulator, which is described by
//! `deploy/sites/wire.json`: lines of events on standard input, lines of actions on standard output.
//!
//! Modules, from the outside in:
//! - `adapter`: batches of lines, dispatched to instances.
//! - `fields`: the values of one line.
//! - `instance`: one scheduler; translates events to calls on it.
//! - `names`: names of the simulator and the scheduler's indices for them.
//! - `action_writer`: the scheduler's host; writes its calls as lines.
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

const OUTPUT_CLOSED: u8 = 1;
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
        .take_line(line.trim_end_matches(['\n', '\r']))
        .map(Step::Line)
}

fn write_batch(output: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    output.write_all(bytes)?;
    output.flush()
}
