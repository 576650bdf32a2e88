//! Runs schedulers on the simulator's wire: reads its lines from standard input, answers on standard output.
mod wire;

use std::io::{BufRead, Write};

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut wire = wire::Wire::default();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        let read = match input.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => wire.line(line.trim_end_matches(['\n', '\r'])),
            Err(e) => Err(format!("the input: {e}")),
        };
        let sent = match read {
            Ok(false) => Ok(()),
            Ok(true) => output.write_all(wire.reply()).and_then(|()| output.flush()),
            Err(what) => {
                eprintln!("line {number}: {what}");
                std::process::exit(2);
            }
        };
        if sent.is_err() {
            std::process::exit(1);
        }
    }
}
