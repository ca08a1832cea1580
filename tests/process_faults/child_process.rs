//! A daemon that runs in a process of its own.

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

/// Interval of the check whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of last log lines that a failed test prints.
const SHOWN_LOG_LINES: usize = 30;

/// A daemon in a process of its own, which is killed when the value is dropped.
pub(crate) struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `carobdrum ROLE --settings FILE` and writes its output to the file `log`.
    pub(crate) fn spawn(role: &str, settings: &Path, log: PathBuf) -> ChildProcess {
        let output = File::create(&log).expect("cannot create the log file");
        let errors = output.try_clone().expect("cannot create the log file");
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
                // The kernel kills the process even if the test is killed and nothing is dropped.
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("cannot start the process");
        ChildProcess { child, log }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: i32) {
        let id = self.child.id() as libc::pid_t;
        // SAFETY: The process was started here and isn't reaped as long as `child` exists, so the
        // id belongs to it.
        let sent = unsafe { libc::kill(id, signal) };
        assert_eq!(sent, 0, "cannot send signal {signal}");
    }

    /// Waits until the process exits; `None` if it doesn't within `limit`.
    pub(crate) async fn exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("cannot read the process status")
            {
                return Some(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        None
    }

    fn show_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let skipped = text.lines().count().saturating_sub(SHOWN_LOG_LINES);
        println!("--- {}", self.log.display());
        for line in text.lines().skip(skipped) {
            println!("{line}");
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.show_log();
        }
    }
}
