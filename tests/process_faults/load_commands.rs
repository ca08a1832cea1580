//! The commands `load` and `demo`.

use std::{
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

use serde_json::Value;

use crate::process_site::ProcessSite;

/// Runs the binary on a thread of its own, so that the test's stand-ins aren't blocked.
async fn run(args: Vec<String>) -> Output {
    let running = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrum"));
        command
            .args(args)
            .output()
            .expect("cannot start the process")
    });
    running.await.expect("process task panicked")
}

fn load_args(address: &str, ca: PathBuf, more: &[&str]) -> Vec<String> {
    let ca = ca.to_string_lossy();
    let base = ["load", "--server-name", "placename-api.test", "--ca", &ca];
    let address = ["--address", address];
    let all = base.iter().chain(&address).chain(more);
    all.map(|word| (*word).to_owned()).collect()
}

fn count(report: &Value, name: &str) -> u64 {
    report[name]
        .as_u64()
        .unwrap_or_else(|| panic!("{name}: {report}"))
}

/// Guards against a load command whose counts or exit code hide failures.
#[tokio::test(flavor = "multi_thread")]
async fn load_reports_correct_responses() {
    let site = ProcessSite::start(7, 2).await;
    let address = site.service().to_string();
    let more = ["--requests", "200", "--record-share", "2", "--json"];
    let output = run(load_args(&address, site.certificate_file(), &more)).await;
    let report: Value = serde_json::from_slice(&output.stdout).expect("malformed JSON report");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(count(&report, "requests"), 200);
    assert_eq!(count(&report, "succeeded"), 200);
    assert_eq!(count(&report, "wrong_answers"), 0);
    assert_eq!(count(&report, "flows_broken"), 0);
}

/// Generates one test per load that must fail, from its arguments and exit code.
macro_rules! failing_loads {
    ($($name:ident: $address:literal, $more:expr => $code:literal;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let folder = tempfile::tempdir().expect("cannot create a temporary directory");
                let ca = folder.path().join("ca.pem");
                let signed = rcgen::generate_simple_self_signed(["x.test".to_owned()]);
                std::fs::write(
                    &ca,
                    signed.expect("cannot generate a certificate").cert.pem(),
                )
                .expect("cannot write a file");
                let output = run(load_args($address, ca, &$more)).await;
                assert_eq!(output.status.code(), Some($code), "{output:?}");
                let message = String::from_utf8_lossy(&output.stderr);
                assert_eq!(message.lines().count(), 1, "{message}");
            }
        )+
    };
}

failing_loads! {
    // Guards against load on machines that don't belong to a test.
    foreign_address_is_refused: "192.0.2.1:443", [] => 2;
    // Guards against a load that never ends.
    endless_load_is_refused: "127.0.0.1:9", ["--seconds", "100000"] => 2;
    // Guards against reporting success for a service that is down.
    unresponsive_service_fails: "127.0.0.1:9",
        ["--seconds", "1", "--timeout-ms", "200", "--repeats", "0"] => 1;
}

/// Guards against a demonstration with wrong responses, broken flows or missing figures.
#[tokio::test(flavor = "multi_thread")]
async fn demo_breaks_no_flow_elsewhere() {
    let args = ["demo", "--seconds", "4", "--json"].map(str::to_owned);
    let output = run(args.to_vec()).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("malformed JSON report");
    assert_eq!(count(&report, "wrong_answers"), 0);
    assert_eq!(count(&report, "flows_broken"), 0);
    assert_eq!(count(&report, "requests"), 1_000);
    assert!(count(&report, "config_in_force_ms") < 3_000, "{report}");
    assert!(report["imbalance"]
        .as_f64()
        .is_some_and(|found| found >= 1.0));
    for name in ["p50", "p99", "max"] {
        assert!(report["latency_ms"][name].is_number(), "{report}");
    }
}
