//! Record of a run: what was sent, answered and run, with seconds since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

/// Writes lines to the record of a run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is created"),
            )),
        }
    }

    /// Returns the time since the start of the run.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.duration_since(self.start)
    }

    /// Writes a line for an event that happened now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = self.since_start(at).as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        // A full disk shows in the missing lines.
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }
}
