//! The command line: exit codes, one line for each error, and no panic on malformed files.

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    }, //
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

const ROUTE: &str = "[[route]]\nname = 'a'\nservice = 'api'\naddress = '127.0.0.1:443'\n";
const POOL: &str = "[[pool]]\nservice = 'api'\nservers = ['a*']\nslots = 1\nconnections = 1\n";

fn run(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .args(args)
        .current_dir(folder)
        .output()
        .unwrap()
}

fn stderr_lines(output: &Output) -> Vec<String> {
    let text = std::str::from_utf8(&output.stderr).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// Writes the files to a folder and runs `carobdrum check` once for all of them.
fn check(files: &[(&str, &[u8])]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    for (name, content) in files {
        std::fs::write(folder.path().join(name), content).unwrap();
    }
    let mut args = vec!["check"];
    args.extend(files.iter().map(|(name, _)| *name));
    run(folder.path(), &args)
}

/// Generates one named case per invalid command line.
macro_rules! invalid_arguments {
    ($($name:ident: $args:expr => $line:expr;)*) => {
        /// Guards against invalid arguments that look like success or print a help text to scripts.
        #[rstest]
        $(#[case::$name(&$args, $line)])*
        fn invalid_arguments_are_reported_in_one_line(#[case] args: &[&str], #[case] line: &str) {
            let output = run(Path::new("/"), args);
            assert_eq!(output.status.code(), Some(2));
            assert!(output.stdout.is_empty());
            assert_eq!(stderr_lines(&output), [line]);
        }
    };
}

invalid_arguments! {
    unknown_command: ["tabels"]
        => "error: unrecognized subcommand 'tabels' tip: a similar subcommand exists: 'tables'";
    no_settings: ["balancer"]
        => "error: the following required arguments were not provided: --settings <FILE>";
    no_files: ["check"] => "error: the following required arguments were not provided: <FILE>...";
    absent_settings: ["agent", "--settings", "/absent/a.toml"]
        => "error: /absent/a.toml: can't be read: No such file or directory (os error 2)";
    settings_in_a_folder: ["balancer", "--settings", "/tmp"]
        => "error: /tmp: not a regular file";
}

/// Guards against help texts and completions that go to stderr or report failure.
#[rstest]
#[case::help(&["--help"], "Usage: carobdrum <COMMAND>")]
#[case::version(&["--version"], "carobdrum 0.1.0")]
#[case::bash(&["completions", "bash"], "complete -F _carobdrum")]
#[case::zsh(&["completions", "zsh"], "#compdef carobdrum")]
fn requested_text_goes_to_stdout(#[case] args: &[&str], #[case] part: &str) {
    let output = run(Path::new("/"), args);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
    assert!(String::from_utf8(output.stdout).unwrap().contains(part));
}

/// Guards against tables that are given together but checked separately.
#[test]
fn tables_are_checked_against_each_other() {
    let good = check(&[
        ("routes.toml", ROUTE.as_bytes()),
        ("pools.toml", POOL.as_bytes()),
    ]);
    assert_eq!(good.status.code(), Some(0));
    assert_eq!(good.stdout, b"routes.toml: ok\npools.toml: ok\n");
    let pools = POOL.replace("api", "other");
    let bad = check(&[
        ("routes.toml", ROUTE.as_bytes()),
        ("pools.toml", pools.as_bytes()),
    ]);
    assert_eq!(bad.status.code(), Some(2));
    assert_eq!(
        stderr_lines(&bad),
        [
            "routes.toml:3: route[0].service: found `api`, which has no pool; \
             allowed: a service of the table of pools",
            "pools.toml:2: pool[0].service: found `other`, which has no route; \
             allowed: a service of the table of routes",
        ]
    );
}

/// Generates one named case per file that can't be used.
macro_rules! rejected_files {
    ($($name:ident: $file:expr, $content:expr => $line:expr;)*) => {
        /// Guards against a panic or a vague error for a file that can't be used.
        #[rstest]
        $(#[case::$name($file, $content, $line)])*
        fn rejected_file_is_reported_in_one_line(
            #[case] file: &str,
            #[case] content: &[u8],
            #[case] line: &str,
        ) {
            let output = check(&[(file, content)]);
            assert_eq!(output.status.code(), Some(2));
            assert_eq!(stderr_lines(&output), [line]);
        }
    };
}

rejected_files! {
    not_utf8: "routes.toml", b"# \n\xc3\x28"
        => "routes.toml:2: found bytes that aren't UTF-8; allowed: UTF-8";
    empty: "pools.toml", b"" => "pools.toml: pool: found none; allowed: at least one `[[pool]]`";
    unknown_kind: "a.toml", b"a = 1" => "a.toml: found fields of no known kind; \
        allowed: a table of routes or pools, settings of a balancer or an agent, or a \
        configuration document";
    syntax: "routes.toml", b"a =" => "routes.toml:1: found a syntax error \
        (string values must be quoted, expected literal string); allowed: TOML";
    kind_found_by_fields: "a.toml", b"pool = 1"
        => "a.toml:1: pool: found 1; allowed: sections with `service`, `servers`, `slots`, \
        `connections`, `state`";
}

/// Generates one named case per fault of the settings template.
macro_rules! faulty_templates {
    ($($name:ident: $before:expr, $after:expr => $line:expr;)*) => {
        /// Guards against deploying a template with which no process can start.
        #[rstest]
        $(#[case::$name($before, $after, $line)])*
        fn template_fault_is_reported(
            #[case] before: &str,
            #[case] after: &str,
            #[case] line: &str,
        ) {
            let good = include_str!("../platform/settings.toml.template");
            let output = check(&[("good.template", good.as_bytes())]);
            assert_eq!(output.status.code(), Some(0));
            assert!(good.contains(before));
            let bad = good.replace(before, after);
            let output = check(&[("bad.template", bad.as_bytes())]);
            assert_eq!(output.status.code(), Some(2));
            let lines = stderr_lines(&output);
            assert!(lines.iter().any(|found| found.starts_with(line)), "{lines:?}");
        }
    };
}

faulty_templates! {
    unknown_field: "{{Zone|json}}", "{{Sone|json}}"
        => "bad.template: found field `Sone`, which the platform doesn't have; allowed: ";
    open_section: "{{/app}}", "" => "bad.template: found section `app` without an end; allowed: ";
    open_placeholder: "{{/app}}", "{{/app" => "bad.template: found section `app` without an end";
    wrong_kind: "{{InternalPortRange.0}}", "{{InternalPortRange}}" => "bad.template:7: ";
    missing_setting: "min_lease_ms", "max_lease_ms" => "bad.template:";
}

/// Guards against two processes of a deployment with the same name or addresses, and against a data
/// centre that the pools don't list.
#[test]
fn settings_are_checked_against_each_other_and_the_pools() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/gazetteer");
    let copy = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, copy.path().join(path.file_name().unwrap())).unwrap();
    }
    let path = copy.path().join("agent-copy.toml");
    let agent = std::fs::read_to_string(copy.path().join("agent-placename-api-1.toml")).unwrap();
    let duplicate = agent.replace("galway-a", "galway-c");
    std::fs::write(path, duplicate).unwrap();
    let files = [
        "agent-placename-api-1.toml",
        "agent-copy.toml",
        "pools.toml",
    ];
    let output = run(copy.path(), &[&["check"], &files[..]].concat());
    let lines = stderr_lines(&output);
    let fields = [
        "process.name",
        "process.address",
        "server",
        "process.data_centre",
    ];
    assert_eq!(lines.len(), fields.len(), "{lines:?}");
    for (line, field) in lines.iter().zip(fields) {
        assert!(
            line.starts_with(&format!("agent-copy.toml: {field}: ")),
            "{line}"
        );
    }
}

/// Guards against a panic on malformed files, and against output other than one line per fault.
#[test]
fn random_files_cause_no_panic() {
    const NAMES: [&str; 5] = [
        "routes.toml",
        "pools.toml",
        "agent.toml",
        "other.toml",
        "node.template",
    ];
    let pieces = prop_oneof![
        3 => prop::sample::select(vec![
            "[[route]]\n", "[[pool]]\n", "[node]\n", "{{", "}}", "{{#Seeds}}", "{{.}}", "[process]\n", "[store]\n", "[log]\n", "name = ",
            "address = ", "server = ", "secret_file = ", "filter = ", "bootstrap = ", "\"a\"\n",
            "'127.0.0.1:1'\n", "[", "]", "{", "}", "=", "\n", "-1\n", "\"/dev/zero\"\n", "\"\\n\"\n",
        ]).prop_map(|piece| piece.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..8),
    ];
    let text = prop::collection::vec(pieces, 0..24).prop_map(|pieces| pieces.concat());
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&[(); 5].map(|()| text.clone()), |texts| {
            let contents = texts.iter().map(Vec::as_slice);
            let files: Vec<(&str, &[u8])> = NAMES.into_iter().zip(contents).collect();
            let output = check(&files);
            prop_assert!(matches!(output.status.code(), Some(0 | 2)), "{output:?}");
            for line in stderr_lines(&output) {
                let is_of_a_file = NAMES.iter().any(|name| line.starts_with(name));
                prop_assert!(is_of_a_file && line.contains("; allowed: "), "{line}");
            }
            Ok(())
        })
        .unwrap();
}
