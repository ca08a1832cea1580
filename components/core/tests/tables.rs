//! Faults in the tables: each is reported once, at its place, and causes no other reports.

use carobdrum_core::version::{
    read_pools,
    read_routes,
    read_tables,
    PoolEntry,
    PoolState,
    TextFaults,
    MAX_TABLE_BYTES, //
};
use compact_str::CompactString;
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

const ROUTES: &str = r#"
[[route]]
name = "lookup"
service = "api"
address = "127.0.0.1:443"
"#;

const POOLS: &str = r#"
[[pool]]
service = "api"
servers = ["api-*"]
slots = 2
connections = 2000
"#;

fn all_lines(faults: &TextFaults) -> Vec<String> {
    let routes = faults.routes.iter().map(|fault| format!("routes{fault}"));
    let pools = faults.pools.iter().map(|fault| format!("pools{fault}"));
    routes.chain(pools).collect()
}

/// Returns the faults of the valid tables above with these additions, one per line.
fn lines_of(more_routes: &str, more_pools: &str) -> Vec<String> {
    let routes = format!("{ROUTES}{more_routes}");
    let pools = format!("{POOLS}{more_pools}");
    match read_tables(routes.as_bytes(), pools.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(faults) => all_lines(&faults),
    }
}

/// Guards against rejecting valid tables, and against defaults that differ from the documented
/// ones.
#[test]
fn valid_tables_are_read() {
    let (routes, pools) = read_tables(ROUTES.as_bytes(), POOLS.as_bytes()).unwrap();
    assert_eq!(routes.routes[0].path_prefix, "/");
    assert_eq!(routes.routes[0].timeout_ms, 30_000);
    assert_eq!(pools.pools[0].state, PoolState::Active);
}

/// Declares one named case per fault: what is added to the valid tables, and how the only reported
/// line starts.
macro_rules! single_faults {
    ($($name:ident: $routes:expr, $pools:expr => $line:expr;)*) => {
        /// Guards against a fault that is accepted, is reported at the wrong place or causes
        /// others.
        #[rstest]
        $(#[case::$name($routes, $pools, $line)])*
        fn fault_is_reported_once(#[case] routes: &str, #[case] pools: &str, #[case] line: &str) {
            let lines = lines_of(routes, pools);
            assert_eq!(lines.len(), 1, "{lines:?}");
            assert!(lines[0].starts_with(line), "{lines:?}");
        }
    };
}

single_faults! {
    two_methods: "methods = ['GET', 'a b']", "" => "routes:6: route[0].methods: found `a b`; allowed";
    unknown_field: "colour = 1", "" => "routes:6: route[0].colour: found an unknown field; allowed";
    range: "timeout_ms = 9", "" => "routes:6: route[0].timeout_ms: found 9; allowed: a whole number";
    wrong_type: "methods = 7", "" => "routes:6: route[0].methods: found 7; allowed: a list of texts";
    method_case: "methods = ['get']", "" => "routes:6: route[0].methods: found `get`; allowed";
    prefix: "path_prefix = 'a'", "" => "routes:6: route[0].path_prefix: found `a`; allowed";
    missing_name: "[[route]]\nservice = 'api'\naddress = '127.0.0.1:443'\npath_prefix = '/a'", ""
        => "routes:6: route[1].name: found nothing; allowed: a text";
    duplicate_name:
        "[[route]]\nname = 'lookup'\nservice = 'api'\naddress = '127.0.0.1:443'\npath_prefix = '/a'",
        "" => "routes:7: route[1].name: found `lookup` twice; allowed";
    equal_match: "[[route]]\nname = 'b'\nservice = 'api'\naddress = '127.0.0.1:443'", ""
        => "routes:6: route[1].path_prefix: found the same match as route `lookup`";
    equal_match_elsewhere:
        "[[route]]\nname = 'b'\nservice = 'api'\naddress = '127.0.0.1:444'\ntimeout_ms = 10", ""
        => "routes:6: route[1].path_prefix: found other limits than route `lookup`";
    no_pool: "[[route]]\nname = 'b'\nservice = 'other'\naddress = '127.0.0.1:444'", ""
        => "routes:8: route[1].service: found `other`, which has no pool";
    no_route: "", "[[pool]]\nservice = 'b'\nservers = ['b']\nslots = 1\nconnections = 1"
        => "pools:8: pool[1].service: found `b`, which has no route";
    duplicate_centre: "", "[[data_centre]]\nname = 'a'\n[[data_centre]]\nname = 'a'"
        => "pools:10: data_centre[1].name: found `a` twice";
    syntax: "", "state =" => "pools:7: found a syntax error (";
    line_break_in_name: "[[route]]\nname = \"a\\nb\"\nservice = 'api'\naddress = '1.2.3.4:5'", ""
        => "routes:7: route[1].name: found `a\\nb`; allowed";
}

/// Guards against two services at one address, which would deliver packets to the wrong one.
#[test]
fn address_of_two_services_is_reported() {
    let route = "[[route]]\nname = 'b'\nservice = 'b'\naddress = '127.0.0.1:443'";
    let pool = "[[pool]]\nservice = 'b'\nservers = ['b']\nslots = 1\nconnections = 1";
    let lines = lines_of(route, pool);
    assert_eq!(
        lines,
        [
            "routes:8: route[1].service: found `b` at 127.0.0.1:443, which belongs to `api`; \
          allowed: one service at one address"
        ]
    );
}

/// Guards against a check that stops at the first fault of a file.
#[test]
fn all_faults_are_reported_by_line() {
    let lines = lines_of("timeout_ms = 1\na = 1\npriority = 'x'", "state = 1\nb = 2");
    let starts: Vec<&str> = lines.iter().map(|line| &line[..8]).collect();
    assert_eq!(
        starts,
        ["routes:6", "routes:7", "routes:8", "pools:7:", "pools:8:"]
    );
}

/// Guards against an empty file that removes every service, and against files that are too long for
/// the store or aren't UTF-8.
#[test]
fn unusable_texts_are_reported() {
    let line = |faults: Vec<_>| -> String { format!("{}", faults[0]) };
    let empty = line(read_routes(b"").unwrap_err());
    assert_eq!(
        empty,
        ": route: found none; allowed: at least one `[[route]]`"
    );
    let binary = line(read_pools(b"[[pool]]\n\xff").unwrap_err());
    assert_eq!(binary, ":2: found bytes that aren't UTF-8; allowed: UTF-8");
    let long = line(read_pools(&vec![b'#'; MAX_TABLE_BYTES + 1]).unwrap_err());
    assert!(long.starts_with(": found more than 163840 bytes"), "{long}");
}

/// Guards against memory and output that grow with the square of the number of faulty rows.
#[test]
fn faults_of_a_check_are_bounded() {
    let row = "[[route]]\nname = 'a'\nservice = 'a'\naddress = '1.2.3.4:5'\n";
    let faults = read_routes(row.repeat(1_000).as_bytes()).unwrap_err();
    assert_eq!(faults.len(), 1_000);
    let notice = "1000 faults or more; the rest is not listed";
    assert!(faults.iter().any(|fault| fault.found == notice));
}

/// Returns all texts of 1 to `longest` characters of `alphabet`.
fn texts(alphabet: &[char], longest: usize) -> Vec<String> {
    let mut all = vec![String::new()];
    let mut start = 0;
    for _ in 0..longest {
        let end = all.len();
        for index in start..end {
            for letter in alphabet {
                let text = format!("{}{letter}", all[index]);
                all.push(text);
            }
        }
        start = end;
    }
    all.split_off(1)
}

/// Reference matcher, which tries every length for every `*`.
fn matches_by_trial(pattern: &[u8], name: &[u8]) -> bool {
    match pattern.split_first() {
        None => name.is_empty(),
        Some((b'*', rest)) => (0..=name.len()).any(|at| matches_by_trial(rest, &name[at..])),
        Some((first, rest)) => name.first() == Some(first) && matches_by_trial(rest, &name[1..]),
    }
}

fn pool_of(pattern: &str) -> PoolEntry {
    PoolEntry {
        service: "api".into(),
        servers: vec![CompactString::from(pattern)],
        slots: 1,
        connections: 1,
        state: PoolState::Active,
    }
}

/// Guards against a server that belongs to two pools or to none.
///
/// For all pairs of patterns of up to 3 characters, the check must find an overlap exactly if a
/// name of up to 6 characters matches both. Longer names need not be tried, because a shortest
/// common name has at most as many characters as both patterns together.
#[test]
fn overlap_is_found_exactly_if_a_name_matches_both() {
    let patterns = texts(&['a', 'b', '*'], 3);
    let names = texts(&['a', 'b'], 6);
    let matched: Vec<Vec<bool>> = patterns
        .iter()
        .map(|pattern| {
            let pool = pool_of(pattern);
            names.iter().map(|name| pool.matches_server(name)).collect()
        })
        .collect();
    for (left, left_names) in patterns.iter().zip(&matched) {
        for (name, matched) in names.iter().zip(left_names) {
            let expected = matches_by_trial(left.as_bytes(), name.as_bytes());
            assert_eq!(*matched, expected, "{left} {name}");
        }
        for (right, right_names) in patterns.iter().zip(&matched) {
            let expected = left_names.iter().zip(right_names).any(|(l, r)| *l && *r);
            let pools = format!(
                "[[pool]]\nservice = 'l'\nservers = ['{left}']\nslots = 1\nconnections = 1\n\
                 [[pool]]\nservice = 'r'\nservers = ['{right}']\nslots = 1\nconnections = 1\n"
            );
            assert_eq!(
                read_pools(pools.as_bytes()).is_err(),
                expected,
                "{left} {right}"
            );
        }
    }
}

/// Guards against matching time that is exponential in the number of `*`, which would stall a
/// process that adopts the tables.
#[test]
fn match_of_many_wildcards_ends() {
    let pattern = "*a".repeat(49) + "b";
    let name = "a".repeat(100);
    assert!(!pool_of(&pattern).matches_server(&name));
}

/// Guards against a panic on corrupt files, and against faults that take more than one line.
#[test]
fn random_tables_cause_no_panic() {
    let pieces = prop_oneof![
        3 => prop::sample::select(vec![
            "[[route]]\n", "[[pool]]\n", "[[data_centre]]\n", "name = ", "service = ", "servers = ",
            "address = ", "slots = ", "state = ", "\"a\"\n", "'127.0.0.1:1'\n", "[", "]", "{", "}",
            "=", ",", "\n", "-1\n", "1e9\n", "0x7fffffffffffffff\n", "1979-05-27\n", "route = 3\n",
        ]).prop_map(|piece| piece.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..8),
    ];
    let text = prop::collection::vec(pieces, 0..24).prop_map(|pieces| pieces.concat());
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&(text.clone(), text), |(routes, pools)| {
            if let Err(faults) = read_tables(&routes, &pools) {
                let lines = all_lines(&faults);
                prop_assert!(!lines.is_empty());
                prop_assert!(lines.iter().all(|line| line.lines().count() == 1));
            }
            Ok(())
        })
        .unwrap();
}
