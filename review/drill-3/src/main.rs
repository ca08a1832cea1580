//! Scenarios of the scripts in `review/11` to `review/15`.

mod client;
mod cold_case;
mod config;
mod heartbeat_case;
mod record;
mod return_cases;
mod server;
mod site;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use record::Record;
use tokio::time::timeout;

/// Time after which a run that goes on counts as one that couldn't run.
const RUN_TIMEOUT: Duration = Duration::from_secs(112);

/// What a run has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: drill-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.say(&format!("case {case}, trouble: {has_trouble}"));
    let run = tokio::spawn(timeout(
        RUN_TIMEOUT,
        run_case(case, record.clone(), has_trouble),
    ));
    // A run that panics or takes too long couldn't run.
    let verdict = match run.await {
        Ok(Ok(verdict)) => verdict,
        _ => Verdict::NotRun,
    };
    record.say(&format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}

async fn run_case(case: String, record: Record, has_trouble: bool) -> Verdict {
    match case.as_str() {
        "evacuation" => return_cases::evacuation(record, has_trouble).await,
        "dropped-route" => return_cases::dropped_route(record, has_trouble).await,
        "added-route" => return_cases::added_route(record, has_trouble).await,
        "odd-start" => heartbeat_case::odd_start(record, has_trouble).await,
        "odd-heartbeat" => heartbeat_case::odd_heartbeat(record, has_trouble).await,
        "cold-return" => cold_case::cold_return(record, has_trouble).await,
        _ => Verdict::NotRun,
    }
}
