//! A daemon in a process of its own.

use std::{
    fs::File,
    os::unix::process::CommandExt,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Pace at which the end of a process is looked for.
const EXIT_PACE: Duration = Duration::from_millis(20);
/// Lines of a log that a failed test shows.
const SHOWN_LINES: usize = 30;

/// A daemon in a process of its own, which ends at the latest when the value is dropped.
pub(crate) struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `carobdrum ROLE --settings FILE` with its log in a file.
    pub(crate) fn spawn(role: &str, settings: &Path, log: PathBuf) -> ChildProcess {
        let output = File::create(&log).expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrum"));
        command
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors);
        // SAFETY: `prctl` is a single system call that neither allocates nor takes a lock, which is
        // what may run between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // The process ends even if the test is killed and nothing is dropped.
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("a process");
        ChildProcess { child, log }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: i32) {
        let id = self.child.id() as libc::pid_t;
        // SAFETY: The process was started here and isn't reaped as long as `child` exists, so the
        // id belongs to it.
        let sent = unsafe { libc::kill(id, signal) };
        assert_eq!(sent, 0, "signal {signal} not sent");
    }

    /// Waits until the process ends; `None` if it doesn't within `limit`.
    pub(crate) async fn exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            tokio::time::sleep(EXIT_PACE).await;
        }
        None
    }

    fn show_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let skipped = text.lines().count().saturating_sub(SHOWN_LINES);
        println!("--- {}", self.log.display());
        for line in text.lines().skip(skipped) {
            println!("{line}");
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.show_log();
        }
    }
}
