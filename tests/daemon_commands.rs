//! The daemons as processes, started with the settings of an example deployment.

use std::{
    net::SocketAddr,
    path::Path,
    process::{
        Child,
        Command,
        ExitStatus,
        Output, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use carobdrum_standins::{
    LoopbackRange,
    StoreServer, //
};
use tempfile::TempDir;

/// Time limit for a process to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Copies the example and replaces its addresses with those of a claimed range.
fn copy_example(store: SocketAddr, range: &LoopbackRange) -> TempDir {
    let prefix = format!("127.{}.", range.octet());
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/gazetteer");
    let copy = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(example).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let text = text
            .replace("127.10.0.9:8500", &store.to_string())
            .replace("127.10.", &prefix);
        std::fs::write(copy.path().join(path.file_name().unwrap()), text).unwrap();
    }
    copy
}

fn carobdrum(folder: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrum"));
    command.args(args).current_dir(folder);
    command
}

fn run(folder: &Path, args: &[&str]) -> Output {
    carobdrum(folder, args).output().unwrap()
}

/// A daemon that is killed if the test fails.
struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    fn start(folder: &Path, role: &str, settings: &str) -> DaemonProcess {
        let args = [role, "--settings", settings, "--log", "warn"];
        let child = carobdrum(folder, &args).spawn().unwrap();
        DaemonProcess { child }
    }

    /// Sends SIGTERM and waits until the process exits.
    fn stop(mut self) -> ExitStatus {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
        let deadline = Instant::now() + STATE_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "process did not exit after SIGTERM"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against daemons that don't start with the example's settings, don't load the applied
/// tables, don't find each other, or report failure after a graceful shutdown.
#[test]
fn daemons_run_and_report_their_status() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = runtime.block_on(StoreServer::start(address)).unwrap();
    let range = LoopbackRange::claim(46).unwrap();
    let balancer_address = format!("127.{}.1.1:7000", range.octet());
    let agent_address = format!("127.{}.2.1:7000", range.octet());
    let copy = copy_example(store.address(), &range);
    let folder = copy.path();
    let store_address = store.address().to_string();
    let apply = [
        "tables",
        "apply",
        "--folder",
        ".",
        "--base",
        "0",
        "--comment",
        "first",
        "--deployment",
        "gazetteer",
        "--store",
        &store_address,
    ];
    assert_eq!(run(folder, &apply).status.code(), Some(0));
    let balancer = DaemonProcess::start(folder, "balancer", "balancer-1.toml");
    let agent = DaemonProcess::start(folder, "agent", "agent-placename-api-1.toml");

    let status = |address: &str| {
        let args = [
            "status",
            "--secret-file",
            "secret.hex",
            "--address",
            address,
        ];
        run(folder, &[&args[..], &["--members"]].concat())
    };
    let deadline = Instant::now() + STATE_TIMEOUT;
    loop {
        let output = status(&balancer_address);
        let text = String::from_utf8(output.stdout).unwrap();
        let lines: Vec<&str> = text.lines().collect();
        // The agent gets its slots from the version in force.
        let expected = [
            "version 1 at 20".to_owned(),
            format!("balancer balancer-1 galway-a {balancer_address} warm"),
            format!("agent placename-api-1 galway-a {agent_address} cold slots=2 "),
        ];
        let mut pairs = lines.iter().zip(&expected);
        if lines.len() == expected.len()
            && pairs.all(|(line, start)| line.starts_with(start.as_str()))
        {
            break;
        }
        assert!(Instant::now() < deadline, "{text}");
        std::thread::sleep(Duration::from_millis(100));
    }
    let of_agent = status(&agent_address);
    assert!(
        of_agent.stdout.starts_with(b"version 1 at 20"),
        "{of_agent:?}"
    );

    assert_eq!(agent.stop().code(), Some(0));
    assert_eq!(balancer.stop().code(), Some(0));
    let after = status(&balancer_address);
    let stderr = String::from_utf8(after.stderr).unwrap();
    assert_eq!(
        (after.status.code(), stderr.lines().count()),
        (Some(1), 1),
        "{stderr}"
    );
}
