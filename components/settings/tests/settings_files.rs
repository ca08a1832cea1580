//! Checks of settings files and of the files that they name.

use std::path::PathBuf;

use carobdrum_settings::{
    parse_flow_settings,
    read_agent,
    read_balancer,
    read_flow_settings,
    read_secret,
    FlowOptions,
    LogFormat,
    SettingsError, //
};
use rstest::rstest;
use tempfile::TempDir;

const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";

const PROCESS: &str = r#"[process]
name = "api-1"
data_centre = "galway-a"
region = "ie-west"
address = "127.0.0.1:7000"
secret_file = "secret"
bootstrap = ["127.0.0.2:7000"]
metrics_address = "127.0.0.1:7001"
[store]
address = "127.0.0.1:8500"
deployment = "gazetteer"
[log]
format = "json"
filter = "info,hop=debug"
"#;

const AGENT: &str = r#"
server = "127.0.0.1:8080"
certificate_file = "certificate.pem"
key_file = "key.pem"
drain_timeout_ms = 100
"#;

const HEDGING: &str = "[hedging]\npercent = 5\nmin_delay_ms = 30\ncross_centre = true\n";

const BALANCER: &str = "listen_ip = '127.0.0.1'\nthreads = 64\n";

/// Returns a folder with a settings file of this text and valid other files, and the path of the
/// settings file.
fn folder(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let signed = rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    let files = [
        ("secret", format!(" {SECRET}\n")),
        ("certificate.pem", signed.cert.pem()),
        ("key.pem", signed.signing_key.serialize_pem()),
        ("settings.toml", text.to_owned()),
    ];
    for (name, content) in files {
        std::fs::write(folder.path().join(name), content).unwrap();
    }
    let path = folder.path().join("settings.toml");
    (folder, path)
}

fn lines<S>(outcome: Result<S, SettingsError>) -> Vec<String> {
    match outcome {
        Ok(_) => Vec::new(),
        Err(SettingsError::Faulty { faults, .. }) => faults.iter().map(|f| f.to_string()).collect(),
        Err(other) => vec![other.to_string()],
    }
}

/// Guards against a field that the schema lacks, and against file names that are resolved against
/// the working folder instead of that of the settings file.
#[test]
fn settings_with_all_fields_are_read() {
    let (kept, path) = folder(&format!("{AGENT}{PROCESS}"));
    let agent = read_agent(&path).unwrap();
    assert_eq!(agent.process.secret_file, kept.path().join("secret"));
    assert_eq!(agent.drain_timeout_ms, 100);
    assert_eq!(agent.log.format, LogFormat::Json);
    assert!(read_secret(&agent.process.secret_file).is_ok());
    let (_kept, path) = folder(&format!("{BALANCER}{PROCESS}"));
    let balancer = read_balancer(&path).unwrap();
    assert_eq!(balancer.threads, 64);
    assert_eq!(balancer.process.bootstrap.len(), 1);
}

/// Generates one named case per fault: a part of valid settings, its replacement, and the start of
/// the only line that is reported.
macro_rules! single_faults {
    ($($name:ident: $valid:expr => $invalid:expr, $line:expr;)*) => {
        /// Guards against a daemon that starts with an invalid value or without a file that it
        /// needs.
        #[rstest]
        $(#[case::$name($valid, $invalid, $line)])*
        fn fault_of_an_agent_is_reported(
            #[case] valid: &str,
            #[case] invalid: &str,
            #[case] line: &str,
        ) {
            let text = format!("{AGENT}{PROCESS}");
            assert!(text.contains(valid));
            let (_kept, path) = folder(&text.replacen(valid, invalid, 1));
            let lines = lines(read_agent(&path));
            assert_eq!(lines.len(), 1, "{lines:?}");
            assert!(lines[0].starts_with(line), "{lines:?}");
        }
    };
}

single_faults! {
    unspecified_address: "127.0.0.1:7000" => "0.0.0.0:7000",
        ":10: process.address: found 0.0.0.0:7000; allowed: the address of one host";
    multicast_address: "127.0.0.1:7000" => "224.0.0.1:7000",
        ":10: process.address: found 224.0.0.1:7000";
    port_0: "127.0.0.1:8500" => "127.0.0.1:0", ":15: store.address: found 127.0.0.1:0";
    address_without_port: "127.0.0.1:8080" => "127.0.0.1", ":2: server: found `127.0.0.1`";
    server_is_the_agent: "127.0.0.1:8080" => "127.0.0.1:7000", ":2: server: found 127.0.0.1:7000";
    metrics_on_the_control_port: "127.0.0.1:7001" => "127.0.0.1:7000",
        ":13: process.metrics_address: found 127.0.0.1:7000";
    bad_bootstrap: "127.0.0.2:7000" => "127.0.0.2:0",
        ":12: process.bootstrap[0]: found 127.0.0.2:0";
    name: "api-1" => "api 1", ":7: process.name: found `api 1`; allowed: 1 to 100 letters";
    empty_data_centre: "galway-a" => "", ":8: process.data_centre: found ``";
    region: "ie-west" => "ie/west", ":9: process.region: found `ie/west`";
    deployment: "gazetteer" => "a/b", ":16: store.deployment: found `a/b`";
    deployment_of_dots: "gazetteer" => "..", ":16: store.deployment: found `..`";
    no_name: "name = \"api-1\"" => "", ":6: process.name: found nothing";
    unknown_field: "name =" => "title = 1\nname =", ":7: process.title: found an unknown field";
    drain_too_short: "drain_timeout_ms = 100" => "drain_timeout_ms = 99",
        ":5: drain_timeout_ms: found 99; allowed: a whole number from 100 to 3600000";
    log_format: "json" => "xml", ":18: log.format: found `xml`; allowed: `text`, `json`";
    log_filter: "hop=debug" => "hop=loud", ":19: log.filter: found `info,hop=loud`";
    secret_missing: "\"secret\"" => "\"absent\"", ":11: process.secret_file: found ";
    secret_too_short: "\"secret\"" => "\"settings.toml\"", ":11: process.secret_file: found ";
    certificate_missing: "certificate.pem" => "absent", ":3: certificate_file: found ";
    certificate_of_another_kind: "certificate.pem" => "key.pem", ":3: certificate_file: found ";
    key_is_a_folder: "key.pem" => ".", ":4: key_file: found ";
    key_of_another_kind: "key.pem" => "certificate.pem", ":4: key_file: found ";
}

/// Guards against hedging that is on although the settings don't name it, and against limits that are
/// out of range or not read.
#[rstest]
#[case::percent("percent = 5", "percent = 101", ":21: hedging.percent: found 101")]
#[case::negative("percent = 5", "percent = -1", ":21: hedging.percent: found ")]
#[case::no_delay(
    "min_delay_ms = 30",
    "min_delay_ms = 0",
    ":22: hedging.min_delay_ms: found 0"
)]
#[case::word("= true", "= 'near'", ":23: hedging.cross_centre: found `near`")]
fn limits_of_hedging_are_checked(#[case] valid: &str, #[case] invalid: &str, #[case] line: &str) {
    let (_kept, path) = folder(&format!("{AGENT}{PROCESS}"));
    let agent = read_agent(&path).expect("the section is optional");
    assert_eq!((agent.hedging.percent, agent.hedging.min_delay_ms), (0, 20));
    assert!(!agent.hedging.cross_centre);
    let text = format!("{AGENT}{PROCESS}{HEDGING}");
    let (_kept, path) = folder(&text);
    let agent = read_agent(&path).expect("these limits are allowed");
    assert_eq!((agent.hedging.percent, agent.hedging.min_delay_ms), (5, 30));
    assert!(agent.hedging.cross_centre);
    assert!(text.contains(valid));
    let (_kept, path) = folder(&text.replacen(valid, invalid, 1));
    let lines = lines(read_agent(&path));
    assert!(lines.len() == 1 && lines[0].starts_with(line), "{lines:?}");
}

/// Guards against a thread count above the limit, and against a balancer that starts with an
/// agent's settings.
#[test]
fn faults_of_a_balancer_are_reported() {
    let invalid = BALANCER.replace("64", "65") + AGENT;
    let (_kept, path) = folder(&format!("{invalid}{PROCESS}"));
    let lines = lines(read_balancer(&path));
    assert!(lines[0].starts_with(":2: threads: found 65; allowed: a whole number from 1 to 64"));
    assert_eq!(lines.len(), 5, "{lines:?}");
}

const FLOW_NODE: &str = r#"[node]
name = "b"
data_centre = "north"
ip = "127.0.0.1"
peer_port = 7000
packets = "127.0.0.1:8000"
ready = "127.0.0.1:8001"
"#;

const FLOW_STORE: &str = "[store]\naddress = \"127.0.0.1:8500\"\nmin_lease_ms = 1000\n";

/// Guards against a process that panics at its shutdown because a time in its settings is negative,
/// infinite or no number.
#[rstest]
#[case::negative("grace_s = '-1'")]
#[case::infinite("grace_s = 'inf'")]
#[case::not_a_number("flow_lifetime_s = 'NaN'")]
#[case::too_large("flow_lifetime_s = '1e300'")]
fn times_out_of_range_are_refused(#[case] line: &str) {
    let (_kept, path) = folder(&format!("{FLOW_NODE}{line}\n{FLOW_STORE}"));
    assert!(read_flow_settings(&path).is_err());
    let (_kept, path) = folder(&format!("{FLOW_NODE}{FLOW_STORE}"));
    let settings = read_flow_settings(&path).expect("both times have defaults");
    assert!((settings.node.flow_lifetime_s - 60.0).abs() < f64::EPSILON);
}

/// Guards against an optional feature that is on although the settings don't name it, and against a
/// word in place of a boolean that is read as one.
#[test]
fn options_of_flows_are_off_unless_named() {
    let (_kept, path) = folder(&format!("{FLOW_NODE}{FLOW_STORE}"));
    let settings = read_flow_settings(&path).expect("the section is optional");
    assert_eq!(settings.flows, FlowOptions::default());
    let text = format!("{FLOW_NODE}{FLOW_STORE}[flows]\nreset_lost = true\n");
    let (_kept, path) = folder(&text);
    let settings = read_flow_settings(&path).expect("booleans are allowed");
    assert!(settings.flows.reset_lost && !settings.flows.weigh_servers);
    let (_kept, path) = folder(&text.replace("true", "'yes'"));
    assert!(read_flow_settings(&path).is_err());
}

/// Guards against an agent that saves flows in the store although nothing resets lost ones, and against intervals that
/// are out of range.
#[rstest]
#[case::contradiction(
    "save_flows_s = 4",
    "12: flows.save_flows_s: found 4; allowed: 0, unless"
)]
#[case::too_long(
    "reset_lost = true\nsave_flows_s = 61",
    "13: flows.save_flows_s: found 61"
)]
#[case::longest("reset_lost = true\nsave_flows_s = 60", "")]
#[case::off("save_flows_s = 0", "")]
fn interval_of_saves_is_checked(#[case] options: &str, #[case] expected: &str) {
    let text = format!("{FLOW_NODE}{FLOW_STORE}[flows]\n{options}\n");
    let (_kept, path) = folder(&text);
    let line = lines(read_flow_settings(&path)).concat();
    assert!(line.trim_start_matches(':').starts_with(expected), "{line}");
    let is_valid = parse_flow_settings(text.as_bytes()).is_ok();
    assert_eq!(
        (line.is_empty(), is_valid),
        (expected.is_empty(), expected.is_empty())
    );
}

/// Guards against copies of packets that are on although the settings don't name them, and against limits
/// that are out of range: a delay of 150 ms leaves no time before the ends retransmit.
#[rstest]
#[case::percent("= 5", "= 21", ":12: flows.resend_percent: found 21")]
#[case::negative("= 5", "= -1", ":12: flows.resend_percent: found ")]
#[case::no_delay("= 30", "= 0", ":13: flows.resend_min_delay_ms: found 0")]
#[case::long_delay("= 30", "= 151", ":13: flows.resend_min_delay_ms: found 151")]
fn limits_of_early_copies_are_checked(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: &str,
) {
    let off = FlowOptions::default();
    assert_eq!((off.resend_percent, off.resend_min_delay_ms), (0, 20));
    let limits = "[flows]\nresend_percent = 5\nresend_min_delay_ms = 30\n";
    let text = format!("{FLOW_NODE}{FLOW_STORE}{limits}");
    let (_kept, path) = folder(&text);
    let flows = read_flow_settings(&path).expect("in range").flows;
    assert_eq!((flows.resend_percent, flows.resend_min_delay_ms), (5, 30));
    let (_kept, path) = folder(&text.replacen(valid, invalid, 1));
    let lines = lines(read_flow_settings(&path));
    assert!(lines.len() == 1 && lines[0].starts_with(line), "{lines:?}");
}
