//! The check of the platform's configuration document: findings with positions, differences, and
//! no panic on malformed documents.

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    }, //
};
use rstest::rstest;

/// A document without faults, with unknown fields as newer versions of the platform may add.
const GOOD: &str = r#"{"Version": 7, "Newer": [{}],
 "Routes": [
  {"Name": "a", "Host": "198.18.0.1", "Prefix": "/443/", "Service": "s", "Priority": 2,
   "LatencyObjectiveMs": 300, "TimeoutMs": 2500, "Newer": null},
  {"Name": "b", "Host": "198.18.0.2", "Prefix": "/443/",
   "TrafficSplit": [{"Service": "s", "Weight": 90}, {"Service": "t", "Weight": 10}]}],
 "Services": [
  {"Name": "s", "ColdStartS": 2.0, "ColdPerS": 0.0},
  {"Name": "t", "ColdPerS": 5}],
 "Limits": {"IdleTimeoutMs": 15000}}"#;

/// Longest time for a document of any content.
const MAX_TIME: Duration = Duration::from_secs(1);

/// Writes the checked document and an earlier one to a folder, and runs `carobdrum check`.
fn check(document: &[u8], earlier: &[u8], options: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("new.json"), document).unwrap();
    std::fs::write(folder.path().join("old.json"), earlier).unwrap();
    run(folder.path(), &[&["check", "new.json"], options].concat())
}

fn run(folder: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrum"));
    command.args(args).current_dir(folder).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Generates one named case per edit of the good document, with the lines of its faults.
macro_rules! faulty_documents {
    ($($name:ident: $from:expr => $to:expr, [$($line:expr),*];)*) => {
        /// Guards against faults of a document that go unnoticed or are shown at another place.
        #[rstest]
        $(#[case::$name($from, $to, &[$($line),*])])*
        fn faults_are_reported_with_positions(
            #[case] from: &str,
            #[case] to: &str,
            #[case] lines: &[&str],
        ) {
            assert!(GOOD.contains(from));
            let output = check(GOOD.replacen(from, to, 1).as_bytes(), b"", &[]);
            let found: Vec<&str> = text(&output.stderr).lines().collect();
            assert_eq!(found, lines);
            assert_eq!(output.status.code(), Some(if lines.is_empty() { 0 } else { 2 }));
        }
    };
}

faulty_documents! {
    none: "7" => "8", [];
    syntax: "\"Services\": [" => "\"Services\" [",
        ["new.json:7:13: found expected `:`; allowed: a configuration document of the platform (JSON)"];
    wrong_type: "2500" => "\"long\"",
        ["new.json:4:49: Routes[0]: found invalid type: string \"long\", expected f64; \
          allowed: a configuration document of the platform (JSON)"];
    field_twice: "\"ColdPerS\": 5" => "\"Name\": 5",
        ["new.json:9:22: Services[1]: found duplicate field `Name`; \
          allowed: a configuration document of the platform (JSON)"];
    no_address: "198.18.0.2" => "example.org",
        ["new.json:5:3: Routes[1].Host/Prefix: found host `example.org` and prefix `/443/`; \
          allowed: an IPv4 address, and a port between slashes"];
    negative_objective: "300" => "-1",
        ["new.json:3:3: Routes[0].LatencyObjectiveMs: found -1; allowed: at least 0"];
    fraction_of_weight: "90" => "89.5",
        ["new.json:5:3: Routes[1].TrafficSplit: found weight 89.5 of `s`; \
          allowed: a whole number, at least 0"];
    null_limits: "{\"IdleTimeoutMs\": 15000}" => "null",
        ["new.json:10:15: found invalid type: null, expected the limits as an object; \
          allowed: a configuration document of the platform (JSON)"];
    shadowed_route: "198.18.0.2" => "198.18.0.1",
        ["new.json:5:3: Routes[1].Host/Prefix: found 198.18.0.1:443, as in Routes[0]; \
          allowed: an address used once"];
    route_name_twice: "\"b\"" => "\"a\"",
        ["new.json:5:3: Routes[1].Name: found `a`, as in Routes[0]; allowed: a name used once"];
    service_name_twice: "\"Name\": \"t\"" => "\"Name\": \"s\"",
        ["new.json:5:3: Routes[1].TrafficSplit: found the unknown service `t`; \
          allowed: a service of the document",
         "new.json:9:3: Services[1].Name: found `s`, as in Services[0]; allowed: a name used once"];
    unnamed_service: "\"t\"" => "\"s\"",
        ["new.json:9:3: Services[1]: found `t`, which no route names; \
          allowed: a service that a route names"];
    no_weight: "\"Service\": \"s\", \"Priority\"" => "\"Priority\"",
        ["new.json:3:3: Routes[0].TrafficSplit: found no service with a weight above 0; \
          allowed: at least one service with a weight above 0"];
    weights_over_100: "90" => "91",
        ["new.json:5:3: Routes[1].TrafficSplit: found weights that sum to 101; \
          allowed: weights that sum to at most 100"];
    service_beside_split: "\"TrafficSplit\"" => "\"Service\": \"s\", \"TrafficSplit\"", [];
    objective_above_timeout: "2500" => "299",
        ["new.json:3:3: Routes[0].LatencyObjectiveMs: found 300; \
          allowed: at most 299, the route's timeout"];
    idle_below_objective: "15000" => "299",
        ["new.json:3:3: Routes[0].LatencyObjectiveMs: found 300; \
          allowed: at most 299, the idle timeout of flows"];
    slow_cold_rate: "\"ColdPerS\": 5" => "\"ColdPerS\": 0.5",
        ["new.json:9:3: Services[1].ColdPerS: found 0.5; \
          allowed: 0 for no limit, or at least 1"];
}

/// Guards against differences that are missed, shown at a wrong place, or taken for faults.
#[rstest]
fn differences_are_no_faults() {
    let new = GOOD
        .replace("300", "200")
        .replace("198.18.0.2", "198.18.0.3")
        .replace("\"ColdPerS\": 5", "\"ColdPerS\": 6")
        .replace("15000", "9000");
    let output = check(new.as_bytes(), GOOD.as_bytes(), &["--against", "old.json"]);
    assert_eq!(output.status.code(), Some(0));
    let route = "name `b`, services s 90 + t 10, priority 0, objective 0 ms, timeout none";
    let lines: Vec<&str> = text(&output.stdout).lines().collect();
    assert_eq!(
        lines,
        [
            "new.json: ok",
            "new.json:3:3: changed route 198.18.0.1:443: objective 300 ms -> 200 ms",
            &format!("new.json:5:3: added route 198.18.0.3:443: {route}"),
            "new.json:9:3: changed service `t`: cold rate 5 requests/s -> 6 requests/s",
            "new.json:10:12: changed limits: idle timeout 15000 ms -> 9000 ms",
            &format!("old.json:5:3: removed route 198.18.0.2:443: {route}"),
        ]
    );
    let cut = &GOOD.as_bytes()[..100];
    let output = check(GOOD.as_bytes(), cut, &["--against", "old.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).starts_with("old.json:3:"));
}

/// Guards against comparisons that can't be made but look as if nothing differed.
#[rstest]
#[case::absent("new.json", "absent.json", "absent.json: found an unreadable file")]
#[case::folder("new.json", ".", ".: found a folder")]
#[case::no_document("pools.toml", "new.json", "new.json: found no configuration document")]
fn failed_comparison_is_a_fault(#[case] file: &str, #[case] other: &str, #[case] start: &str) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("new.json"), GOOD).unwrap();
    let pool = "[[pool]]\nservice = 'a'\nservers = ['a*']\nslots = 1\nconnections = 1\n";
    std::fs::write(folder.path().join("pools.toml"), pool).unwrap();
    let output = run(folder.path(), &["check", file, "--against", other]);
    assert_eq!(output.status.code(), Some(2));
    let lines: Vec<&str> = text(&output.stderr).lines().collect();
    assert!(lines.len() == 1 && lines[0].starts_with(start), "{lines:?}");
}

/// Guards against output for scripts that isn't JSON or lacks positions.
#[rstest]
fn json_names_faults_and_differences() {
    let new = GOOD.replace("300", "2501");
    let options = ["--format", "json", "--against", "old.json"];
    let output = check(new.as_bytes(), GOOD.as_bytes(), &options);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stderr.is_empty());
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let expected = serde_json::json!({
        "good_files": [],
        "faults": [{
            "file": "new.json", "line": 3, "column": 3, "field": "Routes[0].LatencyObjectiveMs",
            "found": "2501", "allowed": "at most 2500, the route's timeout",
        }],
        "differences": [{
            "file": "new.json", "line": 3, "column": 3, "change": "changed",
            "entry": "route 198.18.0.1:443", "detail": "objective 300 ms -> 2501 ms",
        }],
    });
    assert_eq!(report, expected);
}

/// Guards against an exit code of success if the report can't be written.
#[rstest]
fn unwritable_output_is_a_failure() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("new.json");
    std::fs::write(&path, GOOD).unwrap();
    let full = std::fs::File::create("/dev/full").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrum"));
    let status = command.arg("check").arg(&path).stdout(full).status();
    assert_eq!(status.unwrap().code(), Some(1));
}

/// Guards against a file that takes long, or more than one line for one fault.
#[rstest]
#[case::empty(Vec::new(), "new.json:1:1: found EOF")]
#[case::truncated(GOOD.as_bytes()[..300].to_vec(), "new.json:6:")]
#[case::other_json(b"{\"Seeds\": []}".to_vec(), "new.json:1:13: found missing field `Version`")]
#[case::toml(b"[node]\nname = 'a'\n".to_vec(), "new.json:1:")]
#[case::not_utf8(b"{\n \"\xff\"}".to_vec(), "new.json:2:3: found bytes that aren't UTF-8")]
#[case::of_50_mb(vec![b'['; 50_000_000], "new.json: found more than 1048576 bytes")]
#[case::deep([&b"{\"Newer\":"[..], &[b'['; 1_000_000]].concat(), "new.json:1:1000009: found EOF")]
#[case::deep_field(
    [&b"{\"Version\":1,\"Routes\":["[..], &[b'['; 500_000], &[b']'; 500_000], b"]}"].concat(),
    "new.json:1:"
)]
fn bad_files_are_reported_at_once(#[case] content: Vec<u8>, #[case] start: &str) {
    let began = Instant::now();
    let output = check(&content, b"", &[]);
    assert!(began.elapsed() < MAX_TIME);
    assert_eq!(output.status.code(), Some(2));
    let lines: Vec<&str> = text(&output.stderr).lines().collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with(start), "{lines:?}");
}

/// Guards against a time that grows with the square of the entries, all of them with faults.
#[rstest]
fn many_faults_are_reported_at_once() {
    let route = r#"{"Name":"a","Host":"198.18.0.1","Prefix":"1","Service":"s"}"#;
    let routes = [route; 17_000].join(",");
    let document = format!(r#"{{"Version":1,"Routes":[{routes}]}}"#);
    let began = Instant::now();
    let output = check(
        document.as_bytes(),
        GOOD.as_bytes(),
        &["--against", "old.json"],
    );
    assert!(began.elapsed() < MAX_TIME);
    // Each route names an unknown service; all but the first repeat an address and a name.
    assert_eq!(text(&output.stderr).lines().count(), 3 * 17_000 - 2);
}

/// Guards against panics, and against faults without a file, on random bytes and mutated documents.
#[rstest]
fn mutated_documents_give_lines() {
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let mutated =
        (edits, any::<prop::sample::Index>(), any::<bool>()).prop_map(|(edits, end, cut)| {
            let mut bytes = GOOD.as_bytes().to_vec();
            for (at, byte) in edits {
                let at = at.index(bytes.len());
                bytes[at] = byte;
            }
            if cut {
                bytes.truncate(end.index(bytes.len()));
            }
            bytes
        });
    let content = prop_oneof![
        1 => prop::collection::vec(any::<u8>(), 0..200),
        4 => mutated,
    ];
    let config = Config {
        cases: 128,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&content, |content| {
            let output = check(&content, &content, &["--against", "old.json"]);
            let lines: Vec<&str> = text(&output.stderr).lines().collect();
            let code = if lines.is_empty() { 0 } else { 2 };
            prop_assert_eq!(output.status.code(), Some(code));
            for line in lines {
                let is_of_a_file = line.starts_with("new.json:") || line.starts_with("old.json:");
                prop_assert!(is_of_a_file && line.contains("; allowed: "), "{}", line);
            }
            Ok(())
        })
        .unwrap();
}
