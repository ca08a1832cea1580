//! What the callers sent and got, and what the servers took and ran.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    net::SocketAddrV4,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// Identity of a flow: the caller's address and the route's.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// A server that took an opening packet or ran a request, and when, in milliseconds.
#[derive(Clone, Debug)]
pub struct ServerEvent {
    pub server: String,
    pub service: String,
    pub at: u64,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Pending,
    Answered(u16),
    Reset { was_open: bool },
    NotOpened,
    Deadline,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent: u64,
    pub balancer: SocketAddrV4,
    pub taken: Vec<ServerEvent>,
    pub ran: Vec<ServerEvent>,
    pub outcome: Outcome,
    pub ended: u64,
}

#[derive(Default)]
struct Entries {
    attempts: HashMap<FlowKey, Attempt>,
    notes: Vec<(u64, String)>,
    /// Requests that a server ran without a caller's attempt, and packets that were changed.
    foreign: u64,
}

/// Log of a case, shared by its stand-ins.
#[derive(Clone)]
pub struct CaseLog {
    start: Instant,
    entries: Arc<Mutex<Entries>>,
}

impl CaseLog {
    pub fn new() -> CaseLog {
        CaseLog {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Adds a line about what the case did, and returns its time.
    pub fn note(&self, text: impl Into<String>) -> u64 {
        let now = self.now();
        let text = text.into();
        println!("{:8.3} s  {text}", now as f64 / 1_000.0);
        self.lock().notes.push((now, text));
        now
    }

    pub fn sent(&self, key: FlowKey, id: String, balancer: SocketAddrV4) {
        let attempt = Attempt {
            id,
            sent: self.now(),
            balancer,
            taken: Vec::new(),
            ran: Vec::new(),
            outcome: Outcome::Pending,
            ended: 0,
        };
        self.lock().attempts.insert(key, attempt);
    }

    /// Records that a server took the opening packet of a flow; copies don't count again.
    pub fn taken(&self, key: FlowKey, server: &str, service: &str) {
        let at = self.now();
        let mut entries = self.lock();
        let Some(attempt) = entries.attempts.get_mut(&key) else {
            entries.foreign += 1;
            return;
        };
        if attempt.taken.iter().all(|event| event.server != server) {
            attempt.taken.push(ServerEvent {
                server: server.into(),
                service: service.into(),
                at,
            });
        }
    }

    pub fn ran(&self, key: FlowKey, server: &str, service: &str) {
        let at = self.now();
        let mut entries = self.lock();
        match entries.attempts.get_mut(&key) {
            Some(attempt) => attempt.ran.push(ServerEvent {
                server: server.into(),
                service: service.into(),
                at,
            }),
            None => entries.foreign += 1,
        }
    }

    pub fn changed_packet(&self) {
        self.lock().foreign += 1;
    }

    pub fn ended(&self, key: FlowKey, outcome: Outcome) {
        let now = self.now();
        if let Some(attempt) = self.lock().attempts.get_mut(&key) {
            attempt.outcome = outcome;
            attempt.ended = now;
        }
    }

    /// Returns all attempts with their flows, by the time of their sending.
    pub fn attempts(&self) -> Vec<(FlowKey, Attempt)> {
        let entries = self.lock();
        let attempts = entries.attempts.iter();
        let mut attempts: Vec<_> = attempts.map(|(key, one)| (*key, one.clone())).collect();
        attempts.sort_by_key(|(key, attempt)| (attempt.sent, *key));
        attempts
    }

    /// Writes what was sent, answered and run, one line an attempt, between the notes.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines: BTreeMap<u64, Vec<String>> = BTreeMap::new();
        for ((caller, route), attempt) in self.attempts() {
            let mut line = format!(
                "{} {caller} > {route} via {}",
                attempt.id,
                attempt.balancer.ip()
            );
            for event in &attempt.taken {
                let _ = write!(
                    line,
                    "; taken {} by {} ({})",
                    event.at, event.server, event.service
                );
            }
            for event in &attempt.ran {
                let _ = write!(line, "; ran {} at {}", event.at, event.server);
            }
            let _ = write!(line, "; {:?} {}", attempt.outcome, attempt.ended);
            lines.entry(attempt.sent).or_default().push(line);
        }
        let entries = self.lock();
        for (at, note) in &entries.notes {
            lines.entry(*at).or_default().push(format!("== {note}"));
        }
        let mut text = String::from("times in ms since the start of the case\n");
        for (at, lines) in lines {
            for line in lines {
                let _ = writeln!(text, "{at} {line}");
            }
        }
        let _ = writeln!(text, "packets that no caller sent so: {}", entries.foreign);
        std::fs::write(path, text)
    }
}
