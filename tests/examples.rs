//! The example deployments.

use std::{
    path::Path,
    process::Command, //
};

use rstest::rstest;

/// Guards against examples that fail `carobdrum check` together with their tables, or that lack a
/// process.
#[rstest]
#[case::gazetteer("gazetteer", 11)]
#[case::van_drunen("van-drunen", 10)]
fn example_passes_the_check(#[case] name: &str, #[case] agents: usize) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    let entries = std::fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let files: Vec<_> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    let balancers = 3;
    let tables = 2;
    assert_eq!(files.len(), balancers + agents + tables);
    let output = Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .arg("check")
        .args(&files)
        .output()
        .unwrap();
    let faults = String::from_utf8(output.stderr).unwrap();
    assert_eq!((output.status.code(), faults.as_str()), (Some(0), ""));
}
