//! Plays the cases of the second review that can't be put as a day of the bench.
//!
//! Usage: `review-site CASE FOLDER BINARY TEMPORARY`. It writes `record.txt` to FOLDER, runs the project's BINARY, and
//! keeps settings and logs in TEMPORARY. It exits with 1 if the rule of the case was broken, with 0 if it held, and
//! with 2 if the case couldn't run. With `TROUBLE=0` in the environment there is no disruption.

mod caller;
mod cases;
mod http;
mod packet;
mod record;
mod server;
mod site;
mod store;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use record::Record;
use site::Site;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [case, folder, binary, temporary] = arguments.as_slice() else {
        eprintln!("usage: review-site CASE FOLDER BINARY TEMPORARY");
        return ExitCode::from(2);
    };
    match play(case, folder, binary, temporary).await {
        Ok(breaks) => ExitCode::from(u8::from(breaks > 0)),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns how often the rule was broken.
async fn play(
    case: &Path,
    folder: &Path,
    binary: &Path,
    temporary: &Path,
) -> std::io::Result<usize> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(format!(
        "case {}, disruption: {has_trouble}",
        case.display()
    ));
    let mut site = Site::new(record.clone(), temporary, binary).await?;
    let breaks = match case.to_str() {
        Some("early-restart") => cases::early_restart::play(&mut site, has_trouble).await?,
        Some("silent-watch") => cases::silent_watch::play(&mut site, has_trouble).await?,
        Some("all-killed") => cases::all_killed::play(&mut site, has_trouble).await?,
        Some("late-heartbeat") => cases::late_heartbeat::play(&mut site, has_trouble).await?,
        Some("odd-heartbeat") => cases::odd_heartbeat::play(&mut site, has_trouble).await?,
        _ => return Err(std::io::Error::other("no such case")),
    };
    record.line(format!(
        "broken {breaks} times; ended by themselves: {:?}",
        site.ended_nodes()
    ));
    Ok(breaks)
}
