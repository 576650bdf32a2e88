//! Processes of the gateway: how they are started, and how they end.
use crate::error::RunError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a process of the gateway is started: a program, and its arguments before the subcommand.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Arguments before the subcommand.
    pub args: Vec<String>,
}

impl Program {
    /// A command line of this program, without standard input.
    pub(crate) fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.args).stdin(Stdio::null());
        command
    }
}

/// A process that is killed when this is dropped.
pub(crate) struct KilledOnDrop(Child);

impl KilledOnDrop {
    /// Starts a subcommand on a configuration file.
    pub(crate) fn start(
        program: &Program,
        subcommand: &[&str],
        file: &Path,
    ) -> Result<Self, RunError> {
        let mut command = program.command();
        command.args(subcommand).arg(file).stdout(Stdio::null());
        let child = command
            .spawn()
            .map_err(RunError::io(program.path.display().to_string()))?;
        Ok(KilledOnDrop(child))
    }

    /// Process id.
    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Kills a process, if it runs; whether it did.
pub(crate) fn kill_now(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else {
        return false;
    };
    let _ = child.kill();
    let _ = child.wait();
    true
}

/// Sends a process a signal. One that has ended already gets none.
pub(crate) fn send_signal(child: &Child, signal: Signal) {
    let _ = kill(Pid::from_raw(child.id() as i32), signal);
}

/// Terminates a process and waits for it; whether it ended with code 0. True where none runs.
pub(crate) fn terminate(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else {
        return true;
    };
    send_signal(&child, Signal::SIGTERM);
    child.wait().is_ok_and(|status| status.success())
}
